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

// clock is a time that tests move on.
type clock struct{ t time.Time }

func (c *clock) now() time.Time { return c.t }

func (c *clock) pass(d time.Duration) { c.t = c.t.Add(d) }

func tokensFile(path, content string) {
	GinkgoHelper()
	Expect(os.WriteFile(path, []byte(content), 0o600)).To(Succeed())
}

var _ = Describe("tokens", func() {
	const ana = "trk_ana"

	It("identify their holder by the hash, and follow changes of the file", func() {
		path := filepath.Join(GinkgoT().TempDir(), "tokens.yaml")
		tokensFile(path, "tokens:\n  - {name: ana, role: operator, sha256: "+auth.HashOf(ana)+"}\n")
		c := &clock{t: time.Unix(1000, 0)}
		var failed []error
		tokens, faults, err := auth.ReadTokens(path, auth.Watch{Now: c.now, OnError: func(err error) { failed = append(failed, err) }})
		Expect(err).NotTo(HaveOccurred())
		Expect(faults).To(BeEmpty())
		id, ok := tokens.Identify(ana)
		Expect(ok).To(BeTrue())
		Expect(id).To(Equal(auth.Identity{Name: "ana", Role: auth.RoleOperator}))
		for _, wrong := range []string{"", "trk_an", ana + " ", auth.HashOf(ana)} {
			_, ok = tokens.Identify(wrong)
			Expect(ok).To(BeFalse(), wrong)
		}

		tokensFile(path, "tokens: [broken\n")
		c.pass(2 * time.Second)
		_, ok = tokens.Identify(ana)
		Expect(ok).To(BeTrue(), "a faulty file keeps the last good content in use")
		Expect(failed).To(HaveLen(1))

		tokensFile(path, "tokens: []\n")
		c.pass(2 * time.Second)
		_, ok = tokens.Identify(ana)
		Expect(ok).To(BeFalse(), "a removed token ends without a restart")
	})

	DescribeTable("are refused in a faulty file", func(entry, want string) {
		path := filepath.Join(GinkgoT().TempDir(), "tokens.yaml")
		tokensFile(path, "tokens:\n  - "+entry+"\n")
		_, faults, err := auth.ReadTokens(path, auth.Watch{})
		Expect(err).NotTo(HaveOccurred())
		Expect(config.FaultStrings(faults)).To(ContainElement(ContainSubstring(want)))
	},
		Entry("unknown role", "{name: a, role: root, sha256: "+auth.HashOf("a")+"}", `tokens[0].role: is "root"`),
		Entry("team token without a team", "{name: a, role: team, sha256: "+auth.HashOf("a")+"}", "tokens[0].subject: is missing"),
		Entry("operator for someone else", "{name: a, role: operator, subject: b, sha256: "+auth.HashOf("a")+"}", "tokens[0].subject: is set"),
		Entry("plain secret instead of a hash", "{name: a, role: operator, sha256: trk_secret}", "tokens[0].sha256: is no SHA-256"),
		Entry("secret under an unknown key", "{name: a, role: operator, secret: x}", "tokens[0].secret: unknown key"),
	)
})

// authority makes one with certificates for the names.
func authority(names ...string) (string, *auth.Authority) {
	GinkgoHelper()
	dir := GinkgoT().TempDir()
	a, err := auth.NewAuthority(dir)
	Expect(err).NotTo(HaveOccurred())
	for _, n := range names {
		Expect(a.Issue(n, []net.IP{net.IPv4(127, 0, 0, 1)})).To(Succeed())
	}
	return dir, a
}

func keysOf(dir, name string, how auth.Watch) *auth.Keys {
	GinkgoHelper()
	k, err := auth.ReadKeys(auth.Files{
		Cert: filepath.Join(dir, name+".crt"), Key: filepath.Join(dir, name+".key"), CA: filepath.Join(dir, "ca.crt"),
	}, how)
	Expect(err).NotTo(HaveOccurred())
	return k
}

// shake runs a handshake and returns the errors of both sides; a refusal by
// the server reaches the client with its first read.
func shake(client, server credentials.TransportCredentials) (serial string, clientErr, serverErr error) {
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

	It("accept instances of the deployment in both directions", func() {
		dir, _ := authority("c1", "c2")
		a, b := keysOf(dir, "c1", auth.Watch{}), keysOf(dir, "c2", auth.Watch{})
		_, clientErr, serverErr := shake(a.Peers(names, nil), b.Peers(names, nil))
		Expect(clientErr).NotTo(HaveOccurred())
		Expect(serverErr).NotTo(HaveOccurred())
	})

	It("refuse another authority, another name and no certificate at all", func() {
		dir, _ := authority("c1", "c2", "intruder")
		other, _ := authority("c2")
		good := keysOf(dir, "c1", auth.Watch{}).Peers(names, nil)
		stranger := keysOf(other, "c2", auth.Watch{}).Peers(names, nil)
		intruder := keysOf(dir, "intruder", auth.Watch{}).Peers(append(names, "intruder"), nil)
		for _, bad := range []credentials.TransportCredentials{stranger, intruder} {
			_, clientErr, _ := shake(good, bad)
			Expect(clientErr).To(HaveOccurred())
			_, _, serverErr := shake(bad, good)
			Expect(serverErr).To(HaveOccurred())
		}
		nobody := credentials.NewTLS(&tls.Config{InsecureSkipVerify: true})
		_, _, serverErr := shake(nobody, good)
		Expect(serverErr).To(HaveOccurred())
	})

	It("use renewed certificates without a restart", func() {
		dir, _ := authority("c1", "c2")
		c := &clock{t: time.Unix(1000, 0)}
		a, b := keysOf(dir, "c1", auth.Watch{}), keysOf(dir, "c2", auth.Watch{Now: c.now})
		before, _, _ := shake(a.Peers(names, nil), b.Peers(names, nil))
		again, err := auth.OpenAuthority(dir)
		Expect(err).NotTo(HaveOccurred())
		Expect(again.Issue("c2", nil)).To(Succeed())
		c.pass(2 * time.Second)
		after, clientErr, _ := shake(a.Peers(names, nil), b.Peers(names, nil))
		Expect(clientErr).NotTo(HaveOccurred())
		Expect(after).NotTo(Equal(before))
	})

	It("are never overwritten by a second init", func() {
		dir, _ := authority()
		_, err := auth.NewAuthority(dir)
		Expect(err).To(MatchError(ContainSubstring("holds an authority already")))
	})
})
