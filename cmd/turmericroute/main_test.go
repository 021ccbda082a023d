package main_test

import (
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const example = "../../examples/cobreria/config.yaml"

func tempFile(name, content string) string {
	path := filepath.Join(GinkgoT().TempDir(), name)
	Expect(os.WriteFile(path, []byte(content), 0o600)).To(Succeed())
	return path
}

var _ = DescribeTable("an invalid command line exits with 2 and prints a hint", func(message, hint string, args ...string) {
	r := &runner{}
	res := r.run(args...)
	Expect(res.code).To(Equal(2), res.err)
	Expect(res.out).To(BeEmpty())
	Expect(res.err).To(ContainSubstring(message))
	Expect(res.err).To(ContainSubstring("next: "))
	Expect(res.err).To(ContainSubstring(hint))
},
	Entry("no subcommand", "needs a subcommand", "turmericroute -h"),
	Entry("unknown subcommand", `no subcommand "serv"`, `did you mean "serve"?`, "serv"),
	Entry("unknown subcommand of a group", `no subcommand "aply"`, `did you mean "apply"?`, "config", "aply"),
	Entry("unknown subcommand without a similar name", `no subcommand "frobnicate"`, "see: turmericroute -h", "frobnicate"),
	Entry("unknown flag", "-temm", "did you mean -team?", "job", "submit", "-temm", "x"),
	Entry("invalid flag value", `invalid value "many"`, "turmericroute job submit -h", "job", "submit", "-tasks", "many"),
	Entry("missing argument", "takes one argument, got 0", "job get -h", "job", "get"),
	Entry("flag after an argument", "flags come first", "[FLAGS] ID", "job", "get", "j1", "-json"),
	Entry("no team", "names no team", "-team NAME", "job", "submit"),
	Entry("no declarations", "no declarations are named", "-f FILE", "config", "apply"),
	Entry("missing declarations", "no such file", "path after -f", "config", "validate", "-f", "/nonexistent.yaml"),
	Entry("drain without a reason", "needs a reason", "-reason", "drain", "data-centre", "norte"),
	Entry("no settings", "no settings file is named", "-settings FILE", "serve"),
)

var _ = Describe("exit codes", func() {
	It("is 5 when no instance is reached", func() {
		l := httptest.NewServer(nil)
		l.Close()
		res := (&runner{}).run("status", "-addresses", l.URL, "-timeout", "2s")
		Expect(res.code).To(Equal(5), res.err)
		Expect(res.err).To(ContainSubstring("check -addresses"))
	})

	It("is 3 when a request was refused and not run", func() {
		res := newRunner().run("job", "get", "j1")
		Expect(res.code).To(Equal(3))
		Expect(res.err).To(ContainSubstring("no job j1 (not_found)"))
		Expect(res.err).To(ContainSubstring("next: check the name"))
	})

	It("is 4 when the outcome is unknown, and the hint says how to retry safely", func() {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { panic(http.ErrAbortHandler) }))
		DeferCleanup(s.Close)
		res := (&runner{}).run("job", "submit", "-id", "j1", "-team", "tejados", "-gpus", "1", "-addresses", s.URL)
		Expect(res.code).To(Equal(4), res.err)
		Expect(res.err).To(ContainSubstring("submit again with -id j1"))
	})

	It("is 2 for invalid declarations, and every fault is listed with file, line and key", func() {
		path := tempFile("c.yaml", "services:\n  - {name: a/b, slots: 0, connections: 1}\n")
		res := (&runner{}).run("config", "validate", "-f", path)
		Expect(res.code).To(Equal(2))
		Expect(res.err).To(ContainSubstring("c.yaml:2: services[0].name: "))
		Expect(res.err).To(ContainSubstring("c.yaml:2: services[0].slots: is 0, must be 1 to 4096"))
	})

	It("is 0 for help, which goes to standard output", func() {
		for _, args := range [][]string{{"-h"}, {"job", "-h"}, {"job", "submit", "-h"}, {"config", "apply", "-help"}} {
			out := (&runner{}).ok(args...)
			Expect(out).To(ContainSubstring("USAGE"), strings.Join(args, " "))
		}
	})
})

var _ = Describe("declarations", func() {
	It("are planned, applied once, and unchanged after 'config get'", func() {
		r := newRunner()
		plan := r.ok("config", "plan", "-f", example)
		Expect(plan).To(ContainSubstring("put team tejados"))
		Expect(r.replica.Machine().Config().Version).To(Equal(uint64(0)))
		Expect(r.ok("config", "apply", "-f", example, "-reason", "first")).To(ContainSubstring("is version 1"))
		Expect(r.ok("config", "apply", "-f", example)).To(ContainSubstring("no changes needed: version 1"))
		Expect(r.ok("config", "diff", "-f", example)).To(BeEmpty())
		Expect(r.ok("config", "diff", "-f", tempFile("running.yaml", r.ok("config", "get")))).To(BeEmpty())
		Expect(r.ok("config", "history")).To(MatchRegexp(`1 .* ana .* first .*put team tejados`))
	})

	It("are compared line by line", func() {
		r := newRunner()
		r.ok("config", "apply", "-f", example)
		running := r.ok("config", "get")
		changed := tempFile("c.yaml", strings.Replace(running, "max_requests: 200", "max_requests: 201", 1))
		Expect(r.ok("config", "diff", "-f", changed)).To(Equal("-    max_requests: 200\n+    max_requests: 201\n"))
		Expect(r.ok("config", "plan", "-f", changed)).To(ContainSubstring(`+  "max_requests": 201`))
	})

	It("return nothing to service without -restore", func() {
		r := newRunner()
		r.ok("config", "apply", "-f", example)
		r.ok("drain", "-reason", "cooling repair", "data-centre", "norte")
		Expect(r.ok("config", "apply", "-f", example)).To(ContainSubstring("no changes"))
		Expect(r.replica.Machine().Config().InService("norte")).To(BeFalse())
		r.ok("config", "apply", "-f", example, "-restore")
		Expect(r.replica.Machine().Config().InService("norte")).To(BeTrue())
	})
})

var _ = Describe("drains", func() {
	It("take workers and data centres out of service and return them, and are safe to repeat", func() {
		r := newRunner()
		r.ok("config", "apply", "-f", example)
		r.ok("drain", "-reason", "bad memory", "worker", "norte-r1-w3")
		Expect(r.ok("drain", "-reason", "bad memory", "worker", "norte-r1-w3")).To(ContainSubstring("no changes"))
		Expect(r.replica.Machine().Config().Drained("norte-r1-w3")).To(BeTrue())
		r.ok("undrain", "worker", "norte-r1-w3")
		Expect(r.replica.Machine().Config().Drained("norte-r1-w3")).To(BeFalse())
		res := r.run("drain", "-reason", "x", "data-centre", "nowhere")
		Expect(res.code).To(Equal(2))
		Expect(res.err).To(ContainSubstring(`no data centre is named "nowhere"`))
		res = r.run("drain", "-reason", "x", "datacentre", "norte")
		Expect(res.err).To(ContainSubstring(`did you mean "data-centre"?`))
	})
})

var _ = Describe("jobs", func() {
	It("are submitted from flags and files, listed, shown and cancelled", func() {
		r := newRunner()
		r.ok("config", "apply", "-f", example)
		Expect(r.ok("job", "submit", "-id", "j1", "-team", "tejados", "-tasks", "2", "-gpus", "8")).To(Equal("job j1 is waiting\n"))
		r.in = `{"id":"j2","team":"patina","shape":{"tasks":1,"gpus":1,"cores":1,"memory_mb":1}}`
		Expect(r.ok("job", "submit", "-f", "-")).To(Equal("job j2 is waiting\n"))
		Expect(r.ok("job", "list", "-team", "patina")).To(MatchRegexp(`(?s)^ID +TEAM .*j2 +patina +waiting`))
		Expect(r.ok("job", "list", "-json")).To(ContainSubstring(`"id": "j1"`))
		Expect(r.ok("job", "get", "j1")).To(MatchRegexp(`shape +2x\(8 gpus`))
		Expect(r.ok("job", "cancel", "j1")).To(Equal("job j1 is cancelled\n"))
		r.in = `{"id":"j3","teem":"patina"}`
		res := r.run("job", "submit", "-f", "-")
		Expect(res.code).To(Equal(2))
		Expect(res.err).To(ContainSubstring("teem"))
	})
})

var _ = Describe("flags", func() {
	It("take precedence in the order command line, environment, -defaults file", func() {
		r := newRunner()
		r.ok("config", "apply", "-f", example)
		defaults := tempFile("defaults.yaml", "json: true\naddresses: 127.0.0.1:1\n")
		Expect(r.ok("job", "list", "-defaults", defaults)).To(Equal("[]\n"))
		Expect(r.ok("job", "list", "-defaults", defaults, "-json=false")).To(HavePrefix("ID"))
		res := r.run("job", "list", "-defaults", tempFile("bad.yaml", "jsn: x\n"))
		Expect(res.code).To(Equal(2))
		Expect(res.err).To(ContainSubstring(`no command has the flag "jsn"`))
		r.env = append(r.env, "TURMERICROUTE_TIMEOUT=soon")
		res = r.run("job", "list")
		Expect(res.code).To(Equal(2))
		Expect(res.err).To(ContainSubstring("TURMERICROUTE_TIMEOUT"))
	})
})

var _ = Describe("settings", func() {
	It("of all examples are valid", func() {
		files, err := filepath.Glob("../../examples/*/[a-z][1-7].yaml")
		Expect(err).NotTo(HaveOccurred())
		Expect(files).To(HaveLen(14))
		for _, f := range files {
			(&runner{}).ok("serve", "-check", "-settings", f)
		}
	})
})
