package auth_test

import (
	"context"
	"crypto/tls"
	"net"
	"os"
	"path/filepath"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/grpc/credentials"

	"turmericroute/auth"
	"turmericroute/config"
)

// fakeClock is a clock that tests advance.
type fakeClock struct{ t time.Time }

func (c *fakeClock) now() time.Time { return c.t }

func (c *fakeClock) advance(d time.Duration) { c.t = c.t.Add(d) }

func writeTokensFile(path, content string) {
	GinkgoHelper()
	Expect(os.WriteFile(path, []byte(content), 0o600)).To(Succeed())
}

var _ = Describe("tokens", func() {
	const ana = "trk_ana"

	It("identify their holder and are reloaded when the file changes", func() {
		path := filepath.Join(GinkgoT().TempDir(), "tokens.yaml")
		writeTokensFile(path, "tokens:\n  - {name: ana, role: operator, sha256: "+auth.HashSecret(ana)+"}\n")
		c := &fakeClock{t: time.Unix(1000, 0)}
		var failed []error
		tokens, faults, err := auth.ReadTokens(path, auth.ReloadOptions{Now: c.now, OnError: func(err error) { failed = append(failed, err) }})
		Expect(err).NotTo(HaveOccurred())
		Expect(faults).To(BeEmpty())
		id, ok := tokens.Identify(ana)
		Expect(ok).To(BeTrue())
		Expect(id).To(Equal(auth.Identity{Name: "ana", Role: auth.RoleOperator}))
		for _, wrong := range []string{"", "trk_an", ana + " ", auth.HashSecret(ana)} {
			_, ok = tokens.Identify(wrong)
			Expect(ok).To(BeFalse(), wrong)
		}

		writeTokensFile(path, "tokens: [broken\n")
		c.advance(2 * time.Second)
		_, ok = tokens.Identify(ana)
		Expect(ok).To(BeTrue(), "the last valid content stays in use while the file is faulty")
		Expect(failed).To(HaveLen(1))

		writeTokensFile(path, "tokens: []\n")
		c.advance(2 * time.Second)
		_, ok = tokens.Identify(ana)
		Expect(ok).To(BeFalse(), "a removed token is rejected without a restart")
	})

	DescribeTable("are refused in a faulty file", func(entry, want string) {
		path := filepath.Join(GinkgoT().TempDir(), "tokens.yaml")
		writeTokensFile(path, "tokens:\n  - "+entry+"\n")
		_, faults, err := auth.ReadTokens(path, auth.ReloadOptions{})
		Expect(err).NotTo(HaveOccurred())
		Expect(config.FaultStrings(faults)).To(ContainElement(ContainSubstring(want)))
	},
		Entry("unknown role", "{name: a, role: root, sha256: "+auth.HashSecret("a")+"}", `tokens[0].role: is "root"`),
		Entry("team token without a team", "{name: a, role: team, sha256: "+auth.HashSecret("a")+"}", "tokens[0].subject: is missing"),
		Entry("operator token with a subject", "{name: a, role: operator, subject: b, sha256: "+auth.HashSecret("a")+"}", "tokens[0].subject: is set"),
		Entry("plain secret instead of a hash", "{name: a, role: operator, sha256: trk_secret}", "tokens[0].sha256: is not a SHA-256"),
		Entry("secret under an unknown key", "{name: a, role: operator, secret: x}", "tokens[0].secret: unknown key"),
	)
})

// newAuthority creates an authority in a temporary folder and issues certificates for the names.
func newAuthority(names ...string) (string, *auth.Authority) {
	GinkgoHelper()
	dir := GinkgoT().TempDir()
	a, err := auth.NewAuthority(dir)
	Expect(err).NotTo(HaveOccurred())
	for _, n := range names {
		Expect(a.Issue(n, []net.IP{net.IPv4(127, 0, 0, 1)})).To(Succeed())
	}
	return dir, a
}

func readTLSKeys(dir, name string, opts auth.ReloadOptions) *auth.TLSKeys {
	GinkgoHelper()
	k, err := auth.ReadTLSKeys(auth.TLSFiles{
		Cert: filepath.Join(dir, name+".crt"), Key: filepath.Join(dir, name+".key"), CA: filepath.Join(dir, "ca.crt"),
	}, opts)
	Expect(err).NotTo(HaveOccurred())
	return k
}

// handshake runs a handshake and returns the errors of both sides. The client can succeed although the
// server refuses: it receives the refusal with its first read after the handshake.
func handshake(client, server credentials.TransportCredentials) (serial string, clientErr, serverErr error) {
	GinkgoHelper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer l.Close()
	done := make(chan error, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			done <- err
			return
		}
		defer c.Close()
		_, _, err = server.ServerHandshake(c)
		done <- err
	}()
	c, err := net.Dial("tcp", l.Addr().String())
	Expect(err).NotTo(HaveOccurred())
	defer c.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	_, info, err := client.ClientHandshake(ctx, "127.0.0.1:1", c)
	if t, ok := info.(credentials.TLSInfo); ok {
		serial = t.State.PeerCertificates[0].SerialNumber.String()
	}
	return serial, err, <-done
}

var _ = Describe("credentials between processes", func() {
	names := []string{"c1", "c2"}

	It("accept instances of the deployment as clients and as servers", func() {
		dir, _ := newAuthority("c1", "c2")
		a, b := readTLSKeys(dir, "c1", auth.ReloadOptions{}), readTLSKeys(dir, "c2", auth.ReloadOptions{})
		_, clientErr, serverErr := handshake(a.PeerCredentials(names, nil), b.PeerCredentials(names, nil))
		Expect(clientErr).NotTo(HaveOccurred())
		Expect(serverErr).NotTo(HaveOccurred())
	})

	It("reject certificates of another authority or name, and connections without a certificate", func() {
		dir, _ := newAuthority("c1", "c2", "intruder")
		other, _ := newAuthority("c2")
		valid := readTLSKeys(dir, "c1", auth.ReloadOptions{}).PeerCredentials(names, nil)
		otherAuthority := readTLSKeys(other, "c2", auth.ReloadOptions{}).PeerCredentials(names, nil)
		intruder := readTLSKeys(dir, "intruder", auth.ReloadOptions{}).PeerCredentials(append(names, "intruder"), nil)
		for _, invalid := range []credentials.TransportCredentials{otherAuthority, intruder} {
			_, clientErr, _ := handshake(valid, invalid)
			Expect(clientErr).To(HaveOccurred())
			_, _, serverErr := handshake(invalid, valid)
			Expect(serverErr).To(HaveOccurred())
		}
		withoutCertificate := credentials.NewTLS(&tls.Config{InsecureSkipVerify: true})
		_, _, serverErr := handshake(withoutCertificate, valid)
		Expect(serverErr).To(HaveOccurred())
	})

	It("use renewed certificates without a restart", func() {
		dir, _ := newAuthority("c1", "c2")
		c := &fakeClock{t: time.Unix(1000, 0)}
		a, b := readTLSKeys(dir, "c1", auth.ReloadOptions{}), readTLSKeys(dir, "c2", auth.ReloadOptions{Now: c.now})
		before, _, _ := handshake(a.PeerCredentials(names, nil), b.PeerCredentials(names, nil))
		reopened, err := auth.OpenAuthority(dir)
		Expect(err).NotTo(HaveOccurred())
		Expect(reopened.Issue("c2", nil)).To(Succeed())
		c.advance(2 * time.Second)
		after, clientErr, _ := handshake(a.PeerCredentials(names, nil), b.PeerCredentials(names, nil))
		Expect(clientErr).NotTo(HaveOccurred())
		Expect(after).NotTo(Equal(before))
	})

	It("are not overwritten by creating an authority again", func() {
		dir, _ := newAuthority()
		_, err := auth.NewAuthority(dir)
		Expect(err).To(MatchError(ContainSubstring("holds an authority already")))
	})
})
