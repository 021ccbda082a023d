package serve_test

import (
	"bytes"
	"context"
	"crypto/tls"
	"net"
	"path/filepath"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"turmericroute/auth"
	"turmericroute/client"
	"turmericroute/fakes"
	"turmericroute/model"
	"turmericroute/serve"
)

// syncBuffer is a buffer that several goroutines can write to.
type syncBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (s *syncBuffer) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}

func (s *syncBuffer) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.String()
}

// controlAndEntry returns the settings of a control instance and an entry instance with TLS keys in dir.
func controlAndEntry(dir string) []serve.Settings {
	peers := []serve.Peer{{Name: "c1", Control: true}, {Name: "e1"}}
	addresses, err := fakes.FreeAddresses(2 * len(peers))
	Expect(err).NotTo(HaveOccurred())
	for i := range peers {
		peers[i].HTTPAddress, peers[i].GRPCAddress = addresses[2*i], addresses[2*i+1]
	}
	var settings []serve.Settings
	for _, p := range peers {
		s := serve.DefaultSettings()
		s.Name, s.DataCentre, s.Peers = p.Name, "norte", peers
		s.DrainDelay, s.ShutdownTimeout = 0, 5*time.Second
		cert, key := filepath.Join(dir, p.Name+".crt"), filepath.Join(dir, p.Name+".key")
		s.HTTP = serve.Listener{Address: p.HTTPAddress, TLS: &auth.TLSFiles{Cert: cert, Key: key}}
		s.GRPC = serve.Listener{Address: p.GRPCAddress, TLS: &auth.TLSFiles{Cert: cert, Key: key, CA: filepath.Join(dir, "ca.crt")}}
		s.Roles = []serve.Role{serve.RoleEntry}
		if p.Control {
			s.Roles, s.DataFolder, s.Bootstrap = []serve.Role{serve.RoleControl}, filepath.Join(dir, "data"), true
		}
		settings = append(settings, s)
	}
	return settings
}

// runInstances runs the instances until the end of the test.
func runInstances(settings []serve.Settings, logs *syncBuffer) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for _, s := range settings {
		wg.Go(func() {
			defer GinkgoRecover()
			Expect(serve.Run(ctx, s, serve.NewLogger(logs, "info"))).To(Succeed())
		})
	}
	DeferCleanup(func() { cancel(); wg.Wait() })
}

func tlsClient(s serve.Settings, dir string) *client.Client {
	pool, err := auth.ReadCertPool(filepath.Join(dir, "ca.crt"))
	Expect(err).NotTo(HaveOccurred())
	return client.New(client.Config{Addresses: []string{s.HTTP.Address}, TLS: &tls.Config{RootCAs: pool}})
}

// issueKeys returns a new folder with an authority and a key for each name.
func issueKeys(names ...string) string {
	dir := GinkgoT().TempDir()
	authority, err := auth.NewAuthority(dir)
	Expect(err).NotTo(HaveOccurred())
	for _, name := range names {
		Expect(authority.Issue(name, []net.IP{net.IPv4(127, 0, 0, 1)})).To(Succeed())
	}
	return dir
}

var _ = Describe("instances with TLS keys", func() {
	It("connect to each other over mutual TLS and serve HTTPS", func() {
		dir := issueKeys("c1", "e1")
		settings := controlAndEntry(dir)
		runInstances(settings, &syncBuffer{})
		c := tlsClient(settings[1], dir)
		Eventually(func() error {
			st, err := c.Status(context.Background())
			if err == nil && !st.Ready {
				return model.NotRun(model.CodeUnavailable, "%s", st.NotReady)
			}
			return err
		}, 10).Should(Succeed())
	})

	It("refuse a peer whose certificate is of another authority, and log it", func() {
		dir, otherDir := issueKeys("c1", "e1"), issueKeys("e1")
		settings := controlAndEntry(dir)
		settings[1].GRPC.TLS = &auth.TLSFiles{Cert: filepath.Join(otherDir, "e1.crt"), Key: filepath.Join(otherDir, "e1.key"), CA: filepath.Join(dir, "ca.crt")}
		logs := &syncBuffer{}
		runInstances(settings, logs)
		Eventually(logs.String, 10).Should(MatchRegexp(`event=peer_refused .*certificate signed by unknown authority`))
		st, err := tlsClient(settings[1], dir).Status(context.Background())
		Expect(err).NotTo(HaveOccurred())
		Expect(st.Ready).To(BeFalse())
	})
})
