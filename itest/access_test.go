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

// codeOf returns the error code of a call.
func codeOf(err error) model.Code {
	if err == nil {
		return ""
	}
	return model.AsError(err).Code
}

var _ = Describe("access to a deployment", func() {
	It("by the token of one team ends at another team's jobs", func(ctx SpecContext) {
		s := newSecured(three)
		s.ready(ctx)
		site := s.populate(ctx, 1, fakes.Behaviour{})
		owner, borrower := s.clientOf("owner", s.Addresses()...), s.clientOf("borrower", s.Addresses()...)
		spec := model.JobSpec{ID: "theirs", Team: "owner", Shape: whole, Payload: `{"work_seconds": 1000}`}
		_, err := owner.SubmitJob(ctx, spec)
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() int { return site.Ledger.Running("theirs") }, "10s", "5ms").Should(Equal(2))

		for _, n := range s.Nodes {
			c := s.clientOf("borrower", n.HTTP)
			_, err = c.Job(ctx, "theirs")
			Expect(codeOf(err)).To(Equal(model.CodeNotFound), n.Spec.Name)
			_, err = c.Explain(ctx, "theirs")
			Expect(codeOf(err)).To(Equal(model.CodeNotFound))
			_, err = c.CancelJob(ctx, "theirs")
			Expect(codeOf(err)).To(Equal(model.CodeNotFound))
			Expect(c.Jobs(ctx, "owner", "")).To(BeEmpty())
			_, err = c.SubmitJob(ctx, spec)
			Expect(codeOf(err)).To(Equal(model.CodeForbidden), "submitting in the other team's name")
			for _, read := range []func() error{
				func() error { _, err := c.Config(ctx); return err },
				func() error { _, err := c.Overview(ctx); return err },
				func() error { _, err := c.Status(ctx); return err },
				func() error { _, err := c.Dump(ctx); return err },
				func() error { _, err := c.Workers(ctx); return err },
			} {
				Expect(codeOf(read())).To(Equal(model.CodeForbidden))
			}
			Expect(s.plan(ctx, s.http, n, "borrower", nil, "Turmericroute-Team", "owner")).To(MatchError(ContainSubstring("403")))
			Expect(s.plan(ctx, s.http, n, "worker", nil)).To(MatchError(ContainSubstring("403")))
			Expect(s.plan(ctx, s.http, n, "nobody", nil)).To(MatchError(ContainSubstring("401")))
		}
		_, err = borrower.SubmitJob(ctx, model.JobSpec{ID: "theirs", Team: "borrower", Shape: whole})
		Expect(codeOf(err)).To(Equal(model.CodeConflict), "taking the ID over")
		j, err := owner.Job(ctx, "theirs")
		Expect(err).NotTo(HaveOccurred())
		Expect(j.State).To(Equal(model.JobRunning))
		Expect(j.Attempt).To(Equal(1))
	}, NodeTimeout(60*time.Second))

	It("between processes needs a valid certificate of the authority with the name of a peer", func(ctx SpecContext) {
		s := newSecured(three)
		now := time.Now()
		s.certificate("expired", "c2", now.Add(-48*time.Hour), now.Add(-time.Hour))
		s.certificate("future", "c2", now.Add(time.Hour), now.Add(48*time.Hour))
		s.certificate("stranger", "d1", now.Add(-time.Hour), now.Add(time.Hour))
		foreign, err := auth.NewAuthority(filepath.Join(s.dir, "foreign"))
		Expect(err).NotTo(HaveOccurred())
		Expect(foreign.Issue("c2", nil)).To(Succeed())
		late := s.Node("c2")
		for _, n := range s.Nodes {
			if n != late {
				Expect(n.Start()).To(Succeed())
			}
		}
		Eventually(func() *itest.Node { return s.Leader(ctx) }, "20s", "20ms").ShouldNot(BeNil())

		for _, bad := range []string{"expired", "future", "stranger", "foreign/c2", ""} {
			Expect(s.identify(ctx, s.Node("a1"), bad)).NotTo(Succeed(), bad)
			s.use(late, bad)
			if bad == "" {
				late.Settings.GRPC.TLS = nil
			}
			Expect(late.Start()).To(Succeed())
			Eventually(func() error { _, err := late.Status(ctx); return err }, "10s", "20ms").Should(Succeed(), bad)
			Consistently(func() error { return late.Fresh(ctx) }, "1s", "50ms").ShouldNot(Succeed(), bad)
			late.Kill()
		}
		Expect(s.Node("a1").Log() + s.Node("b1").Log() + s.Node("c1").Log()).To(ContainSubstring("event=peer_refused"))
		Expect(s.identify(ctx, s.Node("a1"), tlsOnly)).NotTo(Succeed())
		Expect(s.identify(ctx, s.Node("a1"), "c2")).To(Succeed())
		s.use(late, "c2")
		Expect(late.Start()).To(Succeed())
		Eventually(func() error { return late.Fresh(ctx) }, "10s", "20ms").Should(Succeed())
	}, NodeTimeout(60*time.Second))

	It("goes on without a failed request while all certificates are replaced", func(ctx SpecContext) {
		s := newSecured(three)
		s.ready(ctx)
		s.populate(ctx, 1, fakes.Behaviour{Delay: 5 * time.Millisecond})
		stop := s.load(ctx, 4)
		for range 3 {
			r := commandIn(ctx, nil, "keys", "renew", "-settings", filepath.Join(filepath.Dir(s.dir), "a1.yaml"), "-dir", s.dir)
			Expect(r.Code).To(Equal(0), r.Err)
			for _, n := range s.Nodes {
				want, err := tls.LoadX509KeyPair(s.path(n.Spec.Name+".crt"), s.path(n.Spec.Name+".key"))
				Expect(err).NotTo(HaveOccurred())
				for _, address := range []string{n.HTTP, n.Settings.GRPC.Address} {
					Eventually(func() (string, error) { return s.presented(ctx, address) }, "10s", "50ms").Should(Equal(want.Leaf.SerialNumber.String()), n.Spec.Name)
				}
			}
		}
		sent, failures := stop()
		Expect(failures).To(BeEmpty())
		Expect(sent).To(BeNumerically(">", 100))
		// Processes that start now find peers with the new certificates.
		late := s.Node("c2")
		late.Kill()
		Expect(late.Start()).To(Succeed())
		Eventually(func() error { return late.Fresh(ctx) }, "10s", "20ms").Should(Succeed())
	}, NodeTimeout(90*time.Second))

	It("is not disturbed by slow clients on any listener", func(ctx SpecContext) {
		s := newSecured(three)
		s.ready(ctx)
		s.populate(ctx, 1, fakes.Behaviour{Delay: 5 * time.Millisecond})
		for _, n := range s.Nodes {
			s.crawl(ctx, n, 20)
		}
		stop := s.load(ctx, 4)
		// Longer than the time limit for headers, after which slow connections are closed.
		pauseFor(ctx, 7*time.Second)
		sent, failures := stop()
		Expect(failures).To(BeEmpty())
		Expect(sent).To(BeNumerically(">", 100))
		Expect(s.AllFresh(ctx)).To(Succeed())
	}, NodeTimeout(60*time.Second))

	It("leaves no secret in the dump, the metrics and the logs of any process", func(ctx SpecContext) {
		s := newSecured(three)
		s.ready(ctx)
		s.populate(ctx, 1, fakes.Behaviour{})
		const key, body, payload = "key-4711-of-the-caller", "body-of-the-caller", "payload-of-the-caller"
		for _, n := range s.Nodes {
			Expect(s.plan(ctx, s.http, n, "owner", strings.NewReader(body), "Turmericroute-Idempotent", "false",
				"Idempotency-Key", key+n.Spec.Name, "Turmericroute-Key-Time", fmt.Sprint(time.Now().UnixMilli()))).To(Succeed())
		}
		_, err := s.clientOf("owner", s.Addresses()...).SubmitJob(ctx, model.JobSpec{ID: "j", Team: "owner", Shape: whole, Payload: fmt.Sprintf(`{"x":%q}`, payload)})
		Expect(err).NotTo(HaveOccurred())
		Expect(s.plan(ctx, s.http, s.Nodes[0], "nobody", nil)).NotTo(Succeed())

		file := filepath.Join(tempDir(), "dump.json")
		r := s.command(ctx, "operator", "dump", "-o", file)
		Expect(r.Code).To(Equal(0), r.Err)
		Expect(dumped(file)).To(HaveLen(len(s.Nodes)))
		b, err := os.ReadFile(file)
		Expect(err).NotTo(HaveOccurred())
		places := map[string]string{"dump": string(b)}
		for _, n := range s.Nodes {
			places["log of "+n.Spec.Name] = n.Log()
			places["metrics of "+n.Spec.Name] = s.get(ctx, n, "/metrics")
			places["status of "+n.Spec.Name] = s.get(ctx, n, "/v1/status")
		}
		for where, text := range places {
			Expect(len(text)).To(BeNumerically(">", 500), where)
			for what, secret := range s.allSecrets() {
				Expect(strings.Contains(text, secret)).To(BeFalse(), "%s holds %s", where, what)
			}
			for _, private := range []string{key, body, payload} {
				Expect(strings.Contains(text, private)).To(BeFalse(), "%s holds %s", where, private)
			}
		}
	}, NodeTimeout(60*time.Second))
})

// tlsOnly names no certificate, but uses TLS.
const tlsOnly = "tls-without-certificate"

// identify makes a call between processes with a certificate; the empty name means plain TCP.
func (s *secured) identify(ctx context.Context, n *itest.Node, name string) error {
	creds := grpc.WithTransportCredentials(insecure.NewCredentials())
	switch name {
	case "":
	case tlsOnly:
		creds = grpc.WithTransportCredentials(credentials.NewTLS(&tls.Config{InsecureSkipVerify: true}))
	default:
		keys, err := auth.ReadTLSKeys(auth.TLSFiles{Cert: s.path(name + ".crt"), Key: s.path(name + ".key"), CA: s.path("ca.crt")}, auth.Watch{})
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

// presented returns the serial number of the certificate at an address.
func (s *secured) presented(ctx context.Context, address string) (string, error) {
	pair, err := tls.LoadX509KeyPair(s.path("a1.crt"), s.path("a1.key"))
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

// maxTook is how long a request under load may take on a busy machine.
const maxTook = 3 * time.Second

// load sends requests to services, submissions and reads through every instance
// until stopped, on kept and on new connections, and returns how many were sent and all failures.
func (s *secured) load(ctx context.Context, perNode int) (stop func() (int, []string)) {
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	var sent atomic.Int64
	var mu sync.Mutex
	var failures []string
	fresh := &http.Client{Transport: &http.Transport{TLSClientConfig: s.tls(), DisableKeepAlives: true}, Timeout: 10 * time.Second}
	run := func(n *itest.Node, worker int) {
		c := s.clientOf("owner", n.HTTP)
		for i := 0; ctx.Err() == nil; i++ {
			began := time.Now()
			var err error
			// Requests in flight at the end are finished, so that none is cut by the test itself.
			call, done := context.WithTimeout(context.WithoutCancel(ctx), 10*time.Second)
			switch i % 4 {
			case 0:
				err = s.plan(call, s.http, n, "owner", nil)
			case 1:
				err = s.plan(call, fresh, n, "owner", nil)
			case 2:
				_, err = c.SubmitJob(call, model.JobSpec{ID: fmt.Sprintf("%s-%d-%d", n.Spec.Name, worker, i), Team: "owner", Shape: model.Shape{Tasks: 1, Cores: 1}, Payload: `{"work_seconds":0.1}`})
			case 3:
				_, err = c.Jobs(call, "", model.JobRunning)
			}
			done()
			took := time.Since(began)
			sent.Add(1)
			if err != nil || took > maxTook {
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

// crawl opens count slow connections of each kind to both listeners of an instance.
func (s *secured) crawl(ctx context.Context, n *itest.Node, count int) {
	GinkgoHelper()
	head := "POST /v1/jobs HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + s.secrets["owner"] + "\r\n"
	big := "GET /metrics HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + s.secrets["operator"] + "\r\n\r\n"
	for range count {
		for _, address := range []string{n.HTTP, n.Settings.GRPC.Address} {
			s.drip(ctx, nil, address, "")
			// The first bytes of a handshake that never ends.
			s.drip(ctx, nil, address, "\x16\x03\x01\x02\x00\x01\x00\x01\xfc")
		}
		s.drip(ctx, s.tls(), n.HTTP, head)
		s.drip(ctx, s.tls(), n.HTTP, head+"Content-Type: application/json\r\nContent-Length: 10000\r\n\r\n{\"id\":\"")
		s.drip(ctx, s.tls(), n.HTTP, strings.Repeat(big, 200))
		s.drip(ctx, s.peerTLS(), n.Settings.GRPC.Address, "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n")
	}
	s.stalledWatch(ctx, n)
}

// peerTLS returns the settings of a process that presents the certificate of c2.
func (s *secured) peerTLS() *tls.Config {
	GinkgoHelper()
	pair, err := tls.LoadX509KeyPair(s.path("c2.crt"), s.path("c2.key"))
	Expect(err).NotTo(HaveOccurred())
	return &tls.Config{InsecureSkipVerify: true, Certificates: []tls.Certificate{pair}, NextProtos: []string{"h2"}}
}

// drip opens a connection, sends the beginning and then a byte now and then, and never reads.
func (s *secured) drip(ctx context.Context, cfg *tls.Config, address, begin string) {
	GinkgoHelper()
	c, err := dial(ctx, cfg, address)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { c.Close() })
	go func() {
		w := bufio.NewWriter(c)
		w.WriteString(begin)
		for w.Flush() == nil && ctx.Err() == nil {
			pauseFor(ctx, 300*time.Millisecond)
			w.WriteString("a")
		}
	}()
}

// stalledWatch follows the log of an instance without ever reading what it gets.
func (s *secured) stalledWatch(ctx context.Context, n *itest.Node) {
	GinkgoHelper()
	keys, err := auth.ReadTLSKeys(auth.TLSFiles{Cert: s.path("c2.crt"), Key: s.path("c2.key"), CA: s.path("ca.crt")}, auth.Watch{})
	Expect(err).NotTo(HaveOccurred())
	conn, err := grpc.NewClient("passthrough:///"+n.Settings.GRPC.Address, grpc.WithNoProxy(),
		grpc.WithTransportCredentials(keys.PeerCredentials([]string{n.Spec.Name}, nil)), grpc.WithInitialWindowSize(64<<10))
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(conn.Close)
	_, err = wire.NewControlClient(conn).Watch(ctx, &wire.WatchRequest{From: 1})
	Expect(err).NotTo(HaveOccurred())
}

// get returns the body of an operator's GET.
func (s *secured) get(ctx context.Context, n *itest.Node, path string) string {
	GinkgoHelper()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "https://"+n.HTTP+path, nil)
	Expect(err).NotTo(HaveOccurred())
	r.Header.Set("Authorization", "Bearer "+s.secrets["operator"])
	resp, err := s.http.Do(r)
	Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	Expect(resp.StatusCode).To(Equal(http.StatusOK))
	var b strings.Builder
	_, err = bufio.NewReader(resp.Body).WriteTo(&b)
	Expect(err).NotTo(HaveOccurred())
	return b.String()
}

// allSecrets returns every token, hash of a token and line of a private key in use, also as JSON would show it.
func (s *secured) allSecrets() map[string]string {
	GinkgoHelper()
	out := map[string]string{}
	add := func(what, secret string) {
		out[what] = secret
		if b, err := json.Marshal(secret); err == nil {
			out[what+" in JSON"] = strings.Trim(string(b), `"`)
		}
	}
	for name, secret := range s.secrets {
		add("the token "+name, secret)
		add("the hash of the token "+name, auth.HashSecret(secret))
	}
	files, err := filepath.Glob(filepath.Join(s.dir, "*.key"))
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
