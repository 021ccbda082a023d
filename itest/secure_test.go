package itest_test

import (
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"io"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.yaml.in/yaml/v3"

	"turmericroute/auth"
	"turmericroute/client"
	"turmericroute/config"
	"turmericroute/fakes"
	"turmericroute/itest"
	"turmericroute/model"
)

// three is three control instances and an entry without a disk.
var three = []itest.Spec{
	{Name: "a1", DataCentre: "dc1", Control: true, Entry: true},
	{Name: "b1", DataCentre: "dc2", Control: true, Entry: true},
	{Name: "c1", DataCentre: "dc3", Control: true, Entry: true},
	{Name: "c2", DataCentre: "dc3", Entry: true},
}

// secured is a cluster with TLS on all listeners, mutual between processes, and tokens.
type secured struct {
	*itest.Cluster
	dir       string
	authority *auth.Authority
	// secrets are the tokens by name: operator, owner, borrower and worker.
	secrets map[string]string
	http    *http.Client
}

func newSecured(specs []itest.Spec) *secured {
	GinkgoHelper()
	dir := tempDir()
	c, err := itest.New(itest.Config{Binary: binary, Dir: dir, Instances: specs})
	Expect(err).NotTo(HaveOccurred())
	closeAfter(c)
	s := &secured{Cluster: c, dir: filepath.Join(dir, "keys"), secrets: map[string]string{}}
	s.authority, err = auth.NewAuthority(s.dir)
	Expect(err).NotTo(HaveOccurred())
	var file auth.File
	for name, e := range map[string]auth.Entry{
		"operator": {Role: auth.RoleOperator}, "owner": {Role: auth.RoleTeam, Subject: "owner"},
		"borrower": {Role: auth.RoleTeam, Subject: "borrower"}, "worker": {Role: auth.RoleWorker, Subject: "dc1-r1-1"},
	} {
		s.secrets[name], e.SHA256 = auth.NewSecret()
		e.Name = name
		file.Tokens = append(file.Tokens, e)
	}
	b, err := yaml.Marshal(file)
	Expect(err).NotTo(HaveOccurred())
	Expect(os.WriteFile(s.path("tokens.yaml"), b, 0o600)).To(Succeed())
	s.http = &http.Client{Transport: &http.Transport{TLSClientConfig: s.tls(), MaxIdleConnsPerHost: 64}, Timeout: 10 * time.Second}
	for _, n := range c.Nodes {
		Expect(s.authority.Issue(n.Spec.Name, []net.IP{net.IPv4(127, 0, 0, 1)})).To(Succeed())
		s.use(n, n.Spec.Name)
		n.Settings.Tokens = s.path("tokens.yaml")
		n.Client = s.clientOf("operator", n.HTTP)
	}
	return s
}

func (s *secured) path(name string) string { return filepath.Join(s.dir, name) }

// use makes an instance present the certificate with the name to its peers and callers.
func (s *secured) use(n *itest.Node, name string) {
	n.Settings.HTTP.TLS = &auth.Files{Cert: s.path(n.Spec.Name + ".crt"), Key: s.path(n.Spec.Name + ".key")}
	n.Settings.GRPC.TLS = &auth.Files{Cert: s.path(name + ".crt"), Key: s.path(name + ".key"), CA: s.path("ca.crt")}
}

func (s *secured) tls() *tls.Config {
	GinkgoHelper()
	pool, err := auth.ReadPool(s.path("ca.crt"))
	Expect(err).NotTo(HaveOccurred())
	return &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}
}

func (s *secured) clientOf(token string, addresses ...string) *client.Client {
	return client.New(client.Config{Addresses: addresses, Token: s.secrets[token], TLS: s.tls()})
}

// ready starts the instances and gives them the small configuration.
func (s *secured) ready(ctx context.Context) {
	GinkgoHelper()
	Expect(s.Start()).To(Succeed())
	Eventually(s.AllFresh, "20s", "20ms").WithContext(ctx).Should(Succeed())
	_, err := s.clientOf("operator", s.Addresses()...).Patch(ctx, config.Patch{ID: "first", Changes: config.Diff(config.Config{}, smallConfig())})
	Expect(err).NotTo(HaveOccurred())
}

// populate starts the workers and n executors in each data centre.
func (s *secured) populate(ctx context.Context, n int, b fakes.Behaviour) *itest.Site {
	GinkgoHelper()
	site := itest.NewSite(s.Addresses())
	DeferCleanup(site.Close)
	site.AddWorkers(smallConfig(), fakes.WorkerConfig{Token: s.secrets["operator"], Scheme: "https", HTTP: s.http, StepInterval: 20 * time.Millisecond})
	c := s.clientOf("operator", s.Addresses()...)
	for i := range 3 * n {
		u, err := fakes.StartUpstream(fakes.UpstreamConfig{
			Upstream: model.Upstream{
				Name: fmt.Sprint("plans-", i), Incarnation: 1, Service: "plans", DataCentre: fmt.Sprint("dc", i%3+1), Slots: 8, Connections: 64,
			},
			Behaviour: b,
		})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(u.Close)
		// The instance asked may not have taken over the first configuration yet.
		Eventually(c.Announce, "10s", "20ms").WithContext(ctx).WithArguments(u.Upstream()).Should(Succeed())
	}
	Eventually(func() (int, error) {
		ws, err := c.Workers(ctx)
		return len(ws), err
	}, "10s").Should(Equal(6))
	for _, node := range s.Nodes {
		// Each entry sends requests to an executor only after a probe of its own.
		Eventually(func() error { return s.plan(ctx, s.http, node, "owner", nil) }, "10s").Should(Succeed())
	}
	return site
}

// command runs the program with the token of the name and the authority of the deployment.
func (s *secured) command(ctx context.Context, token string, args ...string) result {
	GinkgoHelper()
	return commandIn(ctx, []string{
		"TURMERICROUTE_ADDRESSES=" + strings.Join(s.Addresses(), ","), "TURMERICROUTE_TOKEN=" + s.secrets[token],
		"TURMERICROUTE_CA=" + s.path("ca.crt"), "USER=ana",
	}, args...)
}

// plan sends a request to the service through an instance; headers are added in pairs.
func (s *secured) plan(ctx context.Context, c *http.Client, n *itest.Node, token string, body io.Reader, header ...string) error {
	method := http.MethodPost
	if body == nil {
		body = strings.NewReader("plan")
	}
	r, err := http.NewRequestWithContext(ctx, method, "https://"+n.HTTP+"/v1/services/plans/x", body)
	if err != nil {
		return fmt.Errorf("make request: %w", err)
	}
	r.Header.Set("Authorization", "Bearer "+s.secrets[token])
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	resp, err := c.Do(r)
	if err != nil {
		return fmt.Errorf("send request to %s: %w", n.Spec.Name, err)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return fmt.Errorf("read answer of %s: %w", n.Spec.Name, err)
	}
	if resp.StatusCode != http.StatusOK || !bytes.HasPrefix(b, []byte("ran ")) {
		return fmt.Errorf("%s answered %d: %s", n.Spec.Name, resp.StatusCode, b)
	}
	return nil
}

// certificate makes a certificate of the deployment's authority with a life of its own.
func (s *secured) certificate(file, name string, from, to time.Time) {
	GinkgoHelper()
	ca, err := tls.LoadX509KeyPair(s.path("ca.crt"), s.path("ca.key"))
	Expect(err).NotTo(HaveOccurred())
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	Expect(err).NotTo(HaveOccurred())
	t := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), Subject: pkix.Name{CommonName: name}, DNSNames: []string{name}, NotBefore: from, NotAfter: to,
		KeyUsage: x509.KeyUsageDigitalSignature, ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, t, ca.Leaf, &key.PublicKey, ca.PrivateKey)
	Expect(err).NotTo(HaveOccurred())
	secret, err := x509.MarshalPKCS8PrivateKey(key)
	Expect(err).NotTo(HaveOccurred())
	Expect(os.WriteFile(s.path(file+".crt"), pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), 0o600)).To(Succeed())
	Expect(os.WriteFile(s.path(file+".key"), pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: secret}), 0o600)).To(Succeed())
}

// dial opens a connection, with TLS if there are settings for it.
func dial(ctx context.Context, cfg *tls.Config, address string) (net.Conn, error) {
	if cfg == nil {
		var d net.Dialer
		return d.DialContext(ctx, "tcp", address)
	}
	return (&tls.Dialer{Config: cfg}).DialContext(ctx, "tcp", address)
}

// pauseFor lets load or slow clients go on for a time.
func pauseFor(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
