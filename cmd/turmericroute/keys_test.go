package main_test

import (
	"crypto/tls"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"turmericroute/auth"
	"turmericroute/fakes"
	"turmericroute/webapi"
)

const exampleSettings = "../../examples/cobreria/c1.yaml"

var secretPattern = regexp.MustCompile(`trk_\w+`)

var _ = Describe("keys", func() {
	It("let an operator call instances over TLS with a token, and refuse calls without one", func() {
		dir := filepath.Join(GinkgoT().TempDir(), "keys")
		out := (&runner{}).ok("keys", "init", "-settings", exampleSettings, "-dir", dir)
		secret := secretPattern.FindString(out)
		Expect(secret).NotTo(BeEmpty())
		kept, err := os.ReadFile(filepath.Join(dir, "tokens.yaml"))
		Expect(err).NotTo(HaveOccurred())
		Expect(string(kept)).NotTo(ContainSubstring(secret))

		tokens, faults, err := auth.ReadTokens(filepath.Join(dir, "tokens.yaml"), auth.ReloadOptions{})
		Expect(err).NotTo(HaveOccurred())
		Expect(faults).To(BeEmpty())
		keys, err := auth.ReadTLSKeys(auth.TLSFiles{Cert: filepath.Join(dir, "c1.crt"), Key: filepath.Join(dir, "c1.key")}, auth.ReloadOptions{})
		Expect(err).NotTo(HaveOccurred())
		s := httptest.NewUnstartedServer(webapi.New(webapi.Config{Replica: fakes.NewReplica(), Tokens: tokens}))
		s.Listener = tls.NewListener(s.Listener, keys.ServerConfig())
		s.Start()
		DeferCleanup(s.Close)
		r := &runner{env: []string{"TURMERICROUTE_ADDRESSES=" + s.Listener.Addr().String(), "TURMERICROUTE_CA=" + filepath.Join(dir, "ca.crt")}}
		res := r.run("job", "list")
		Expect(res.code).To(Equal(3), res.err)
		Expect(res.err).To(ContainSubstring("TURMERICROUTE_TOKEN"))
		r.env = append(r.env, "TURMERICROUTE_TOKEN="+secret)
		Expect(r.ok("job", "list")).To(HavePrefix("ID"))

		res = r.run("keys", "init", "-settings", exampleSettings, "-dir", dir)
		Expect(res.code).To(Equal(2))
		Expect(res.err).To(ContainSubstring("holds an authority already"))
		Expect(r.ok("keys", "renew", "-settings", exampleSettings, "-dir", dir)).To(ContainSubstring("7 instances"))
		Expect(r.ok("job", "list")).To(HavePrefix("ID"))
	})

	It("are created for a team, and refused for an unknown role", func() {
		out := (&runner{}).ok("keys", "token", "-name", "ci", "-role", "team", "-subject", "tejados")
		Expect(out).To(ContainSubstring(auth.HashSecret(secretPattern.FindString(out))))
		res := (&runner{}).run("keys", "token", "-name", "ci", "-role", "root")
		Expect(res.code).To(Equal(2))
	})

	It("are added to a tokens file, which stays unchanged if the result would be invalid", func() {
		path := tempFile("tokens.yaml", "tokens:\n  - {name: ana, role: operator, sha256: "+auth.HashSecret("x")+"}\n")
		out := (&runner{}).ok("keys", "token", "-name", "ci", "-role", "team", "-subject", "tejados", "-file", path)
		secret := secretPattern.FindString(out)
		tokens, faults, err := auth.ReadTokens(path, auth.ReloadOptions{})
		Expect(err).NotTo(HaveOccurred())
		Expect(faults).To(BeEmpty())
		id, ok := tokens.Identify(secret)
		Expect(ok).To(BeTrue())
		Expect(id.Subject).To(Equal("tejados"))
		_, ok = tokens.Identify("x")
		Expect(ok).To(BeTrue())
		before, err := os.ReadFile(path)
		Expect(err).NotTo(HaveOccurred())
		res := (&runner{}).run("keys", "token", "-name", "ci", "-role", "operator", "-file", path)
		Expect(res.code).To(Equal(2))
		Expect(res.err).To(ContainSubstring(`"ci" occurs twice`))
		Expect(os.ReadFile(path)).To(Equal(before))
	})
})

var _ = Describe("completion", func() {
	It("completes subcommands and flags, and supports three shells", func() {
		r := &runner{}
		Expect(r.ok("completion", "words", "--", "con")).To(Equal("config\n"))
		Expect(strings.Fields(r.ok("completion", "words", "--", "job", ""))).To(Equal([]string{"submit", "get", "explain", "history", "list", "cancel"}))
		Expect(r.ok("completion", "words", "--", "job", "submit", "-same")).To(Equal("-same-rack\n"))
		for _, shell := range []string{"bash", "zsh", "fish"} {
			Expect(r.ok("completion", shell)).To(ContainSubstring("completion words"))
		}
		Expect(r.run("completion", "csh").code).To(Equal(2))
	})
})

var _ = Describe("docs/commands.md", func() {
	It("lists every command and every exit code", func() {
		page, err := os.ReadFile("../../docs/commands.md")
		Expect(err).NotTo(HaveOccurred())
		r := &runner{}
		for _, name := range strings.Fields(r.ok("completion", "words", "--", "")) {
			paths := []string{name}
			if subs := strings.Fields(r.ok("completion", "words", "--", name, "")); len(subs) > 0 {
				paths = nil
				for _, s := range subs {
					paths = append(paths, name+" "+s)
				}
			}
			for _, p := range paths {
				Expect(string(page)).To(ContainSubstring("`turmericroute " + p))
			}
		}
		for _, code := range []string{"0", "1", "2", "3", "4", "5", "6"} {
			Expect(string(page)).To(ContainSubstring("\n| " + code + " | "))
		}
	})
})
