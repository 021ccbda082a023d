package itest_test

import (
	"bufio"
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"turmericroute/auth"
	"turmericroute/fakes"
	"turmericroute/itest"
	"turmericroute/model"
	"turmericroute/wire"
)

// codeOf returns the error code of a call, or the empty code if the call succeeded.
func codeOf(err error) model.Code {
	if err == nil {
		return ""
	}
	return model.AsError(err).Code
}

var _ = Describe("access to a deployment", func() {
	It("with the token of one team does not extend to another team's jobs", func(ctx SpecContext) {
		s := newSecureCluster(threeVoters)
		s.startConfigured(ctx)
		backends := s.startBackends(ctx, 1, fakes.Behaviour{})
		owner, borrower := s.clientFor("owner", s.Addresses()...), s.clientFor("borrower", s.Addresses()...)
		spec := model.JobSpec{ID: "theirs", Team: "owner", Shape: wholeRack, Payload: `{"work_seconds": 1000}`}
		_, err := owner.SubmitJob(ctx, spec)
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() int { return backends.TaskRuns.Running("theirs") }, "10s", "5ms").Should(Equal(2))

		for _, n := range s.Nodes {
			c := s.clientFor("borrower", n.HTTP)
			_, err = c.Job(ctx, "theirs")
			Expect(codeOf(err)).To(Equal(model.CodeNotFound), n.Spec.Name)
			_, err = c.Explain(ctx, "theirs")
			Expect(codeOf(err)).To(Equal(model.CodeNotFound))
			_, err = c.CancelJob(ctx, "theirs")
			Expect(codeOf(err)).To(Equal(model.CodeNotFound))
			Expect(c.Jobs(ctx, "owner", "")).To(BeEmpty())
			_, err = c.SubmitJob(ctx, spec)
			Expect(codeOf(err)).To(Equal(model.CodeForbidden), "submitting for the other team")
			for _, read := range []func() error{
				func() error { _, err := c.Config(ctx); return err },
				func() error { _, err := c.Overview(ctx); return err },
				func() error { _, err := c.Status(ctx); return err },
				func() error { _, err := c.Dump(ctx); return err },
				func() error { _, err := c.Workers(ctx); return err },
			} {
				Expect(codeOf(read())).To(Equal(model.CodeForbidden))
			}
			Expect(s.callService(ctx, s.httpClient, n, "borrower", nil, "Turmericroute-Team", "owner")).To(MatchError(ContainSubstring("403")))
			Expect(s.callService(ctx, s.httpClient, n, "worker", nil)).To(MatchError(ContainSubstring("403")))
			Expect(s.callService(ctx, s.httpClient, n, "nobody", nil)).To(MatchError(ContainSubstring("401")))
		}
		_, err = borrower.SubmitJob(ctx, model.JobSpec{ID: "theirs", Team: "borrower", Shape: wholeRack})
		Expect(codeOf(err)).To(Equal(model.CodeConflict), "reusing the other team's job ID")
		j, err := owner.Job(ctx, "theirs")
		Expect(err).NotTo(HaveOccurred())
		Expect(j.State).To(Equal(model.JobRunning))
		Expect(j.Attempt).To(Equal(1))
	}, NodeTimeout(60*time.Second))

	It("between processes requires a valid certificate of the deployment's authority with the name of a peer", func(ctx SpecContext) {
		s := newSecureCluster(threeVoters)
		now := time.Now()
		s.issueCertificate("expired", "c2", now.Add(-48*time.Hour), now.Add(-time.Hour))
		s.issueCertificate("future", "c2", now.Add(time.Hour), now.Add(48*time.Hour))
		s.issueCertificate("stranger", "d1", now.Add(-time.Hour), now.Add(time.Hour))
		foreign, err := auth.NewAuthority(filepath.Join(s.keyDir, "foreign"))
		Expect(err).NotTo(HaveOccurred())
		Expect(foreign.Issue("c2", nil)).To(Succeed())
		c2 := s.Node("c2")
		for _, n := range s.Nodes {
			if n != c2 {
				Expect(n.Start()).To(Succeed())
			}
		}
		Eventually(func() *itest.Node { return s.Leader(ctx) }, "20s", "20ms").ShouldNot(BeNil())

		for _, certificate := range []string{"expired", "future", "stranger", "foreign/c2", ""} {
			Expect(s.callIdentify(ctx, s.Node("a1"), certificate)).NotTo(Succeed(), certificate)
			s.presentCertificate(c2, certificate)
			if certificate == "" {
				c2.Settings.GRPC.TLS = nil
			}
			Expect(c2.Start()).To(Succeed())
			Eventually(func() error { _, err := c2.Status(ctx); return err }, "10s", "20ms").Should(Succeed(), certificate)
			Consistently(func() error { return c2.CheckReady(ctx) }, "1s", "50ms").ShouldNot(Succeed(), certificate)
			c2.Kill()
		}
		Expect(s.Node("a1").Log() + s.Node("b1").Log() + s.Node("c1").Log()).To(ContainSubstring("event=peer_refused"))
		Expect(s.callIdentify(ctx, s.Node("a1"), tlsOnly)).NotTo(Succeed())
		Expect(s.callIdentify(ctx, s.Node("a1"), "c2")).To(Succeed())
		s.presentCertificate(c2, "c2")
		Expect(c2.Start()).To(Succeed())
		Eventually(func() error { return c2.CheckReady(ctx) }, "10s", "20ms").Should(Succeed())
	}, NodeTimeout(60*time.Second))

	It("continues without failed requests while all certificates are replaced", func(ctx SpecContext) {
		s := newSecureCluster(threeVoters)
		s.startConfigured(ctx)
		s.startBackends(ctx, 1, fakes.Behaviour{Delay: 5 * time.Millisecond})
		stop := s.startLoad(ctx, 4)
		for range 3 {
			r := runCommandEnv(ctx, nil, "keys", "renew", "-settings", filepath.Join(filepath.Dir(s.keyDir), "a1.yaml"), "-dir", s.keyDir)
			Expect(r.Code).To(Equal(0), r.Err)
			for _, n := range s.Nodes {
				want, err := tls.LoadX509KeyPair(s.keyPath(n.Spec.Name+".crt"), s.keyPath(n.Spec.Name+".key"))
				Expect(err).NotTo(HaveOccurred())
				for _, address := range []string{n.HTTP, n.Settings.GRPC.Address} {
					Eventually(func() (string, error) { return s.serialNumber(ctx, address) }, "10s", "50ms").Should(Equal(want.Leaf.SerialNumber.String()), n.Spec.Name)
				}
			}
		}
		sent, failures := stop()
		Expect(failures).To(BeEmpty())
		Expect(sent).To(BeNumerically(">", 100))
		// A process that starts now connects to peers that present the new certificates.
		c2 := s.Node("c2")
		c2.Kill()
		Expect(c2.Start()).To(Succeed())
		Eventually(func() error { return c2.CheckReady(ctx) }, "10s", "20ms").Should(Succeed())
	}, NodeTimeout(90*time.Second))

	It("is not affected by slow clients on any listener", func(ctx SpecContext) {
		s := newSecureCluster(threeVoters)
		s.startConfigured(ctx)
		s.startBackends(ctx, 1, fakes.Behaviour{Delay: 5 * time.Millisecond})
		for _, n := range s.Nodes {
			s.openSlowConnections(ctx, n, 20)
		}
		stop := s.startLoad(ctx, 4)
		// 7 s exceeds the read timeout for headers, after which slow connections are closed.
		sleep(ctx, 7*time.Second)
		sent, failures := stop()
		Expect(failures).To(BeEmpty())
		Expect(sent).To(BeNumerically(">", 100))
		Expect(s.CheckReady(ctx)).To(Succeed())
	}, NodeTimeout(60*time.Second))

	It("exposes no secret in the dump, metrics, status or logs of any process", func(ctx SpecContext) {
		s := newSecureCluster(threeVoters)
		s.startConfigured(ctx)
		s.startBackends(ctx, 1, fakes.Behaviour{})
		const key, body, payload = "key-4711-of-the-caller", "body-of-the-caller", "payload-of-the-caller"
		for _, n := range s.Nodes {
			Expect(s.callService(ctx, s.httpClient, n, "owner", strings.NewReader(body), "Turmericroute-Idempotent", "false",
				"Idempotency-Key", key+n.Spec.Name, "Turmericroute-Key-Time", fmt.Sprint(time.Now().UnixMilli()))).To(Succeed())
		}
		_, err := s.clientFor("owner", s.Addresses()...).SubmitJob(ctx, model.JobSpec{ID: "j", Team: "owner", Shape: wholeRack, Payload: fmt.Sprintf(`{"x":%q}`, payload)})
		Expect(err).NotTo(HaveOccurred())
		Expect(s.callService(ctx, s.httpClient, s.Nodes[0], "nobody", nil)).NotTo(Succeed())

		file := filepath.Join(tempDir(), "dump.json")
		r := s.command(ctx, "operator", "dump", "-o", file)
		Expect(r.Code).To(Equal(0), r.Err)
		Expect(readDumps(file)).To(HaveLen(len(s.Nodes)))
		b, err := os.ReadFile(file)
		Expect(err).NotTo(HaveOccurred())
		outputs := map[string]string{"dump": string(b)}
		for _, n := range s.Nodes {
			outputs["log of "+n.Spec.Name] = n.Log()
			outputs["metrics of "+n.Spec.Name] = s.get(ctx, n, "/metrics")
			outputs["status of "+n.Spec.Name] = s.get(ctx, n, "/v1/status")
		}
		for output, text := range outputs {
			Expect(len(text)).To(BeNumerically(">", 500), output)
			for name, secret := range s.allSecrets() {
				Expect(strings.Contains(text, secret)).To(BeFalse(), "%s holds %s", output, name)
			}
			for _, private := range []string{key, body, payload} {
				Expect(strings.Contains(text, private)).To(BeFalse(), "%s holds %s", output, private)
			}
		}
	}, NodeTimeout(60*time.Second))
})

// tlsOnly makes callIdentify use TLS without a client certificate.
const tlsOnly = "tls-without-certificate"

// callIdentify sends an Identify request, as processes send each other, with the named certificate; the empty name means
// plain TCP.
func (s *secureCluster) callIdentify(ctx context.Context, n *itest.Node, name string) error {
	creds := grpc.WithTransportCredentials(insecure.NewCredentials())
	switch name {
	case "":
	case tlsOnly:
		creds = grpc.WithTransportCredentials(credentials.NewTLS(&tls.Config{InsecureSkipVerify: true}))
	default:
		keys, err := auth.ReadTLSKeys(auth.TLSFiles{Cert: s.keyPath(name + ".crt"), Key: s.keyPath(name + ".key"), CA: s.keyPath("ca.crt")}, auth.ReloadOptions{})
		if err != nil {
			return err
		}
		creds = grpc.WithTransportCredentials(keys.PeerCredentials([]string{n.Spec.Name}, nil))
	}
	conn, err := grpc.NewClient("passthrough:///"+n.Settings.GRPC.Address, creds, grpc.WithNoProxy())
	if err != nil {
		return err
	}
	defer conn.Close()
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	_, err = wire.NewControlClient(conn).Identify(ctx, &wire.IdentifyRequest{})
	return err
}

// serialNumber returns the serial number of the certificate that the listener at an address presents.
func (s *secureCluster) serialNumber(ctx context.Context, address string) (string, error) {
	pair, err := tls.LoadX509KeyPair(s.keyPath("a1.crt"), s.keyPath("a1.key"))
	if err != nil {
		return "", err
	}
	d := tls.Dialer{Config: &tls.Config{InsecureSkipVerify: true, Certificates: []tls.Certificate{pair}, NextProtos: []string{"h2"}}}
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return "", err
	}
	defer c.Close()
	return c.(*tls.Conn).ConnectionState().PeerCertificates[0].SerialNumber.String(), nil
}

// maxLatency is the maximum duration of a request under load, with a margin for busy test machines.
const maxLatency = 3 * time.Second

// startLoad sends service requests, job submissions and reads through every instance, over both kept-alive and new
// connections. The returned function stops the load and returns the number of requests and all failures, which include
// requests that took longer than maxLatency.
func (s *secureCluster) startLoad(ctx context.Context, perNode int) (stop func() (int, []string)) {
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	var sent atomic.Int64
	var mu sync.Mutex
	var failures []string
	noKeepAlive := &http.Client{Transport: &http.Transport{TLSClientConfig: s.tlsConfig(), DisableKeepAlives: true}, Timeout: 10 * time.Second}
	run := func(n *itest.Node, loop int) {
		c := s.clientFor("owner", n.HTTP)
		for i := 0; ctx.Err() == nil; i++ {
			began := time.Now()
			var err error
			// Stopping the load must not cancel requests in flight, which would count as failures.
			callCtx, cancelCall := context.WithTimeout(context.WithoutCancel(ctx), 10*time.Second)
			switch i % 4 {
			case 0:
				err = s.callService(callCtx, s.httpClient, n, "owner", nil)
			case 1:
				err = s.callService(callCtx, noKeepAlive, n, "owner", nil)
			case 2:
				_, err = c.SubmitJob(callCtx, model.JobSpec{ID: fmt.Sprintf("%s-%d-%d", n.Spec.Name, loop, i), Team: "owner", Shape: model.Shape{Tasks: 1, Cores: 1}, Payload: `{"work_seconds":0.1}`})
			case 3:
				_, err = c.Jobs(callCtx, "", model.JobRunning)
			}
			cancelCall()
			took := time.Since(began)
			sent.Add(1)
			if err != nil || took > maxLatency {
				mu.Lock()
				failures = append(failures, fmt.Sprintf("%s after %s: %v", n.Spec.Name, took, err))
				mu.Unlock()
			}
		}
	}
	for _, n := range s.Nodes {
		for w := range perNode {
			wg.Go(func() { run(n, w) })
		}
	}
	return func() (int, []string) {
		cancel()
		wg.Wait()
		return int(sent.Load()), failures
	}
}

// openSlowConnections opens count slow connections of each kind to both listeners of an instance.
func (s *secureCluster) openSlowConnections(ctx context.Context, n *itest.Node, count int) {
	GinkgoHelper()
	partialHead := "POST /v1/jobs HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + s.tokens["owner"] + "\r\n"
	metricsRequest := "GET /metrics HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + s.tokens["operator"] + "\r\n\r\n"
	for range count {
		for _, address := range []string{n.HTTP, n.Settings.GRPC.Address} {
			s.openSlowConnection(ctx, nil, address, "")
			// The first bytes of a TLS handshake that never completes.
			s.openSlowConnection(ctx, nil, address, "\x16\x03\x01\x02\x00\x01\x00\x01\xfc")
		}
		s.openSlowConnection(ctx, s.tlsConfig(), n.HTTP, partialHead)
		s.openSlowConnection(ctx, s.tlsConfig(), n.HTTP, partialHead+"Content-Type: application/json\r\nContent-Length: 10000\r\n\r\n{\"id\":\"")
		s.openSlowConnection(ctx, s.tlsConfig(), n.HTTP, strings.Repeat(metricsRequest, 200))
		s.openSlowConnection(ctx, s.peerTLSConfig(), n.Settings.GRPC.Address, "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n")
	}
	s.openStalledWatch(ctx, n)
}

// peerTLSConfig returns the TLS settings of a client that presents the certificate of c2.
func (s *secureCluster) peerTLSConfig() *tls.Config {
	GinkgoHelper()
	pair, err := tls.LoadX509KeyPair(s.keyPath("c2.crt"), s.keyPath("c2.key"))
	Expect(err).NotTo(HaveOccurred())
	return &tls.Config{InsecureSkipVerify: true, Certificates: []tls.Certificate{pair}, NextProtos: []string{"h2"}}
}

// openSlowConnection opens a connection, sends the prefix and then one byte every 300 ms, and never reads.
func (s *secureCluster) openSlowConnection(ctx context.Context, cfg *tls.Config, address, prefix string) {
	GinkgoHelper()
	c, err := dial(ctx, cfg, address)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { c.Close() })
	go func() {
		w := bufio.NewWriter(c)
		w.WriteString(prefix)
		for w.Flush() == nil && ctx.Err() == nil {
			sleep(ctx, 300*time.Millisecond)
			w.WriteString("a")
		}
	}()
}

// openStalledWatch starts a Watch stream of an instance's log and never reads from it.
func (s *secureCluster) openStalledWatch(ctx context.Context, n *itest.Node) {
	GinkgoHelper()
	keys, err := auth.ReadTLSKeys(auth.TLSFiles{Cert: s.keyPath("c2.crt"), Key: s.keyPath("c2.key"), CA: s.keyPath("ca.crt")}, auth.ReloadOptions{})
	Expect(err).NotTo(HaveOccurred())
	conn, err := grpc.NewClient("passthrough:///"+n.Settings.GRPC.Address, grpc.WithNoProxy(),
		grpc.WithTransportCredentials(keys.PeerCredentials([]string{n.Spec.Name}, nil)), grpc.WithInitialWindowSize(64<<10))
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(conn.Close)
	_, err = wire.NewControlClient(conn).Watch(ctx, &wire.WatchRequest{From: 1})
	Expect(err).NotTo(HaveOccurred())
}

// get returns the response body of a GET request with the operator's token.
func (s *secureCluster) get(ctx context.Context, n *itest.Node, path string) string {
	GinkgoHelper()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "https://"+n.HTTP+path, nil)
	Expect(err).NotTo(HaveOccurred())
	r.Header.Set("Authorization", "Bearer "+s.tokens["operator"])
	resp, err := s.httpClient.Do(r)
	Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	Expect(resp.StatusCode).To(Equal(http.StatusOK))
	var b strings.Builder
	_, err = bufio.NewReader(resp.Body).WriteTo(&b)
	Expect(err).NotTo(HaveOccurred())
	return b.String()
}

// allSecrets returns every token, token hash and private key line in use, both as they are and as encoded in JSON.
func (s *secureCluster) allSecrets() map[string]string {
	GinkgoHelper()
	out := map[string]string{}
	add := func(name, secret string) {
		out[name] = secret
		if b, err := json.Marshal(secret); err == nil {
			out[name+" in JSON"] = strings.Trim(string(b), `"`)
		}
	}
	for name, secret := range s.tokens {
		add("the token "+name, secret)
		add("the hash of the token "+name, auth.HashSecret(secret))
	}
	files, err := filepath.Glob(filepath.Join(s.keyDir, "*.key"))
	Expect(err).NotTo(HaveOccurred())
	Expect(len(files)).To(BeNumerically(">=", len(s.Nodes)+1))
	for _, f := range files {
		b, err := os.ReadFile(f)
		Expect(err).NotTo(HaveOccurred())
		for i, line := range strings.Split(string(b), "\n") {
			if len(line) > 20 && !strings.HasPrefix(line, "-----") {
				add(fmt.Sprintf("line %d of %s", i+1, filepath.Base(f)), line)
			}
		}
	}
	return out
}
