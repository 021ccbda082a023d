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

// threeVoters specifies three control instances and an entry without a data folder.
var threeVoters = []itest.Spec{
	{Name: "a1", DataCentre: "dc1", Control: true, Entry: true},
	{Name: "b1", DataCentre: "dc2", Control: true, Entry: true},
	{Name: "c1", DataCentre: "dc3", Control: true, Entry: true},
	{Name: "c2", DataCentre: "dc3", Entry: true},
}

// secureCluster is a cluster with TLS on all listeners, mutual TLS between processes, and tokens.
type secureCluster struct {
	*itest.Cluster
	keyDir    string
	authority *auth.Authority
	// tokens maps the names operator, owner, borrower and worker to tokens.
	tokens     map[string]string
	httpClient *http.Client
}

func newSecureCluster(specs []itest.Spec) *secureCluster {
	GinkgoHelper()
	dir := tempDir()
	c, err := itest.New(itest.Config{Binary: binary, Dir: dir, Instances: specs})
	Expect(err).NotTo(HaveOccurred())
	deferClose(c)
	s := &secureCluster{Cluster: c, keyDir: filepath.Join(dir, "keys"), tokens: map[string]string{}}
	s.authority, err = auth.NewAuthority(s.keyDir)
	Expect(err).NotTo(HaveOccurred())
	var file auth.TokensFile
	for name, e := range map[string]auth.TokenEntry{
		"operator": {Role: auth.RoleOperator}, "owner": {Role: auth.RoleTeam, Subject: "owner"},
		"borrower": {Role: auth.RoleTeam, Subject: "borrower"}, "worker": {Role: auth.RoleWorker, Subject: "dc1-r1-1"},
	} {
		s.tokens[name], e.SHA256 = auth.NewSecret()
		e.Name = name
		file.Tokens = append(file.Tokens, e)
	}
	b, err := yaml.Marshal(file)
	Expect(err).NotTo(HaveOccurred())
	Expect(os.WriteFile(s.keyPath("tokens.yaml"), b, 0o600)).To(Succeed())
	s.httpClient = &http.Client{Transport: &http.Transport{TLSClientConfig: s.tlsConfig(), MaxIdleConnsPerHost: 64}, Timeout: 10 * time.Second}
	for _, n := range c.Nodes {
		Expect(s.authority.Issue(n.Spec.Name, []net.IP{net.IPv4(127, 0, 0, 1)})).To(Succeed())
		s.presentCertificate(n, n.Spec.Name)
		n.Settings.Tokens = s.keyPath("tokens.yaml")
		n.Client = s.clientFor("operator", n.HTTP)
	}
	return s
}

func (s *secureCluster) keyPath(name string) string { return filepath.Join(s.keyDir, name) }

// presentCertificate makes an instance present the named certificate to other instances from its next start on; the
// HTTP listener keeps the instance's own certificate.
func (s *secureCluster) presentCertificate(n *itest.Node, name string) {
	n.Settings.HTTP.TLS = &auth.TLSFiles{Cert: s.keyPath(n.Spec.Name + ".crt"), Key: s.keyPath(n.Spec.Name + ".key")}
	n.Settings.GRPC.TLS = &auth.TLSFiles{Cert: s.keyPath(name + ".crt"), Key: s.keyPath(name + ".key"), CA: s.keyPath("ca.crt")}
}

func (s *secureCluster) tlsConfig() *tls.Config {
	GinkgoHelper()
	pool, err := auth.ReadCertPool(s.keyPath("ca.crt"))
	Expect(err).NotTo(HaveOccurred())
	return &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}
}

func (s *secureCluster) clientFor(token string, addresses ...string) *client.Client {
	return client.New(client.Config{Addresses: addresses, Token: s.tokens[token], TLS: s.tlsConfig()})
}

// startConfigured starts the instances, waits until they are ready and applies smallConfig.
func (s *secureCluster) startConfigured(ctx context.Context) {
	GinkgoHelper()
	Expect(s.Start()).To(Succeed())
	Eventually(s.CheckReady, "20s", "20ms").WithContext(ctx).Should(Succeed())
	_, err := s.clientFor("operator", s.Addresses()...).Patch(ctx, config.Patch{ID: "first", Changes: config.Diff(config.Config{}, smallConfig())})
	Expect(err).NotTo(HaveOccurred())
}

// startBackends starts the workers and n upstreams in each data centre, and waits until every entry can reach an upstream.
func (s *secureCluster) startBackends(ctx context.Context, n int, b fakes.Behaviour) *itest.Backends {
	GinkgoHelper()
	backends := itest.NewBackends(s.Addresses())
	DeferCleanup(backends.Close)
	backends.AddWorkers(smallConfig(), fakes.WorkerConfig{Token: s.tokens["operator"], Scheme: "https", HTTP: s.httpClient, StepInterval: 20 * time.Millisecond})
	c := s.clientFor("operator", s.Addresses()...)
	for i := range 3 * n {
		u, err := fakes.StartUpstream(fakes.UpstreamConfig{
			Upstream: model.Upstream{
				Name: fmt.Sprint("plans-", i), Incarnation: 1, Service: "plans", DataCentre: fmt.Sprint("dc", i%3+1), Slots: 8, Connections: 64,
			},
			Behaviour: b,
		})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(u.Close)
		// The instance that is called may not have applied the first configuration yet.
		Eventually(c.Announce, "10s", "20ms").WithContext(ctx).WithArguments(u.Upstream()).Should(Succeed())
	}
	Eventually(func() (int, error) {
		ws, err := c.Workers(ctx)
		return len(ws), err
	}, "10s").Should(Equal(6))
	for _, node := range s.Nodes {
		// An entry sends requests to an upstream only after it has probed the upstream itself.
		Eventually(func() error { return s.callService(ctx, s.httpClient, node, "owner", nil) }, "10s").Should(Succeed())
	}
	return backends
}

// command runs the program with the named token and the CA certificate of the deployment.
func (s *secureCluster) command(ctx context.Context, token string, args ...string) commandResult {
	GinkgoHelper()
	return runCommandEnv(ctx, []string{
		"TURMERICROUTE_ADDRESSES=" + strings.Join(s.Addresses(), ","), "TURMERICROUTE_TOKEN=" + s.tokens[token],
		"TURMERICROUTE_CA=" + s.keyPath("ca.crt"), "USER=ana",
	}, args...)
}

// callService sends a request to the service through an instance and returns an error unless the service ran it. The
// header arguments are alternating names and values.
func (s *secureCluster) callService(ctx context.Context, c *http.Client, n *itest.Node, token string, body io.Reader, header ...string) error {
	method := http.MethodPost
	if body == nil {
		body = strings.NewReader("plan")
	}
	r, err := http.NewRequestWithContext(ctx, method, "https://"+n.HTTP+"/v1/services/plans/x", body)
	if err != nil {
		return fmt.Errorf("create request: %w", err)
	}
	r.Header.Set("Authorization", "Bearer "+s.tokens[token])
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
		return fmt.Errorf("read response of %s: %w", n.Spec.Name, err)
	}
	if resp.StatusCode != http.StatusOK || !bytes.HasPrefix(b, []byte("ran ")) {
		return fmt.Errorf("%s returned status %d: %s", n.Spec.Name, resp.StatusCode, b)
	}
	return nil
}

// issueCertificate writes a certificate of the deployment's authority with the given validity period, and its key.
func (s *secureCluster) issueCertificate(file, name string, notBefore, notAfter time.Time) {
	GinkgoHelper()
	ca, err := tls.LoadX509KeyPair(s.keyPath("ca.crt"), s.keyPath("ca.key"))
	Expect(err).NotTo(HaveOccurred())
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	Expect(err).NotTo(HaveOccurred())
	template := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), Subject: pkix.Name{CommonName: name}, DNSNames: []string{name}, NotBefore: notBefore, NotAfter: notAfter,
		KeyUsage: x509.KeyUsageDigitalSignature, ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, ca.Leaf, &key.PublicKey, ca.PrivateKey)
	Expect(err).NotTo(HaveOccurred())
	pkcs8, err := x509.MarshalPKCS8PrivateKey(key)
	Expect(err).NotTo(HaveOccurred())
	Expect(os.WriteFile(s.keyPath(file+".crt"), pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), 0o600)).To(Succeed())
	Expect(os.WriteFile(s.keyPath(file+".key"), pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: pkcs8}), 0o600)).To(Succeed())
}

// dial opens a TCP connection, with TLS if cfg is not nil.
func dial(ctx context.Context, cfg *tls.Config, address string) (net.Conn, error) {
	if cfg == nil {
		var d net.Dialer
		return d.DialContext(ctx, "tcp", address)
	}
	return (&tls.Dialer{Config: cfg}).DialContext(ctx, "tcp", address)
}

// sleep returns after d or when ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
