package itest_test

import (
	"bufio"
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"turmericroute/auth"
	"turmericroute/client"
	"turmericroute/config"
	"turmericroute/fakes"
	"turmericroute/itest"
	"turmericroute/model"
)

// pageLine is a command in a page, or a mark at which the test performs a step itself.
type pageLine struct {
	number int
	// text is the command; it is empty for a mark.
	text string
	// mark is the text of a mark; it is empty for a command.
	mark string
	// exitCode is the exit code that the page states for the command, 0 if it states none.
	exitCode int
}

var (
	exitComment = regexp.MustCompile(`\s+# exits (\d+)$`)
	testMark    = regexp.MustCompile(`^<!-- test: (.+) -->$`)
	exampleAddr = regexp.MustCompile(`127\.0\.0\.1:7[12]0[1-7]`)
)

// parsePage returns the commands in code blocks marked "sh run" and the marks, in the order of the page.
func parsePage(page string) []pageLine {
	var out []pageLine
	inBlock := false
	for i, text := range strings.Split(page, "\n") {
		text = strings.TrimSpace(text)
		if m := testMark.FindStringSubmatch(text); m != nil {
			out = append(out, pageLine{number: i + 1, mark: m[1]})
		}
		if strings.HasPrefix(text, "```") {
			inBlock = text == "```sh run"
			continue
		}
		if !inBlock || text == "" {
			continue
		}
		l := pageLine{number: i + 1, text: text}
		if m := exitComment.FindStringSubmatch(text); m != nil {
			l.exitCode, _ = strconv.Atoi(m[1])
			l.text = strings.TrimSuffix(text, m[0])
		}
		out = append(out, l)
	}
	return out
}

// shell is a bash process that runs all commands of a page.
type shell struct {
	cmd *exec.Cmd
	in  io.WriteCloser
	out *bufio.Reader
}

// endMarker begins the line after the output of each command; the command's exit code follows it.
const endMarker = "@@ended@@"

func newShell(dir, path string) *shell {
	GinkgoHelper()
	s := &shell{cmd: exec.Command("bash", "--noprofile", "--norc")}
	s.cmd.Dir = dir
	s.cmd.Env = []string{"PATH=" + path, "HOME=" + dir, "USER=ana"}
	s.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	read, write, err := os.Pipe()
	Expect(err).NotTo(HaveOccurred())
	s.cmd.Stdout, s.cmd.Stderr = write, write
	s.in, err = s.cmd.StdinPipe()
	Expect(err).NotTo(HaveOccurred())
	Expect(s.cmd.Start()).To(Succeed())
	write.Close()
	s.out = bufio.NewReader(read)
	DeferCleanup(func() {
		s.in.Close()
		s.cmd.Process.Kill()
		s.cmd.Wait()
		read.Close()
	})
	return s
}

// run runs a command and returns its output and exit code. The exit code is -1 if the command does not end within
// 2 minutes or before ctx ends.
func (s *shell) run(ctx context.Context, command string) (string, int) {
	GinkgoHelper()
	type commandEnd struct {
		out  string
		code int
	}
	done := make(chan commandEnd, 1)
	_, err := fmt.Fprintf(s.in, "%s\nprintf '\\n%s %%d\\n' $?\n", command, endMarker)
	Expect(err).NotTo(HaveOccurred())
	go func() {
		var out strings.Builder
		for {
			text, err := s.out.ReadString('\n')
			if rest, ok := strings.CutPrefix(text, endMarker+" "); ok || err != nil {
				code, convErr := strconv.Atoi(strings.TrimSpace(rest))
				if convErr != nil {
					code = -1
				}
				done <- commandEnd{out.String(), code}
				return
			}
			out.WriteString(text)
		}
	}()
	select {
	case e := <-done:
		return strings.TrimSpace(e.out), e.code
	case <-time.After(2 * time.Minute):
		return "the command did not end within 2 min", -1
	case <-ctx.Done():
		return "the test ended before the command", -1
	}
}

// copyExamples copies the examples to a new folder with their addresses replaced by free ones. It returns the folder and
// the function that replaces the addresses, for use on the commands of the page.
func copyExamples() (string, func(string) string) {
	GinkgoHelper()
	free, err := fakes.FreeAddresses(14)
	Expect(err).NotTo(HaveOccurred())
	replaceAddresses := func(text string) string {
		return exampleAddr.ReplaceAllStringFunc(text, func(a string) string {
			kind, n := a[len(a)-3], a[len(a)-1]
			return free[7*int(kind-'1')+int(n-'1')]
		})
	}
	dir := tempDir()
	Expect(os.CopyFS(filepath.Join(dir, "examples"), os.DirFS(filepath.Join("..", "examples")))).To(Succeed())
	files, err := filepath.Glob(filepath.Join(dir, "examples", "cobreria", "c?.yaml"))
	Expect(err).NotTo(HaveOccurred())
	Expect(files).To(HaveLen(7))
	for _, f := range files {
		b, err := os.ReadFile(f)
		Expect(err).NotTo(HaveOccurred())
		Expect(os.WriteFile(f, []byte(replaceAddresses(string(b))), 0o600)).To(Succeed())
	}
	return dir, replaceAddresses
}

// writeWrapper returns a folder for PATH with a script that runs the program. The kernel kills the program when the shell
// that started it exits, even if the test is killed.
func writeWrapper() string {
	GinkgoHelper()
	dir := tempDir()
	script := fmt.Sprintf("#!/bin/sh\nexec setpriv --pdeathsig KILL %s \"$@\"\n", binary)
	Expect(os.WriteFile(filepath.Join(dir, "turmericroute"), []byte(script), 0o700)).To(Succeed())
	return dir
}

// startPageBackends starts the workers and upstreams that the page expects.
func startPageBackends(ctx context.Context, sh *shell, dir string) {
	GinkgoHelper()
	cfg, faults, err := config.ReadFile(filepath.Join(dir, "config.yaml"))
	Expect(err).NotTo(HaveOccurred())
	Expect(faults).To(BeEmpty())
	pool, err := auth.ReadCertPool(filepath.Join(dir, "keys", "ca.crt"))
	Expect(err).NotTo(HaveOccurred())
	token, _ := sh.run(ctx, `echo "$TURMERICROUTE_TOKEN"`)
	addressList, _ := sh.run(ctx, `echo "$TURMERICROUTE_ADDRESSES"`)
	addresses := strings.Split(addressList, ",")
	tlsConfig := &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}
	backends := itest.NewBackends(addresses)
	DeferCleanup(backends.Close)
	backends.AddWorkers(cfg, fakes.WorkerConfig{
		Token: token, Scheme: "https", HTTP: &http.Client{Transport: &http.Transport{TLSClientConfig: tlsConfig, MaxIdleConnsPerHost: 64}},
	})
	c := client.New(client.Config{Addresses: addresses, Token: token, TLS: tlsConfig})
	for i := range 8 {
		u, err := fakes.StartUpstream(fakes.UpstreamConfig{Upstream: model.Upstream{
			Name: fmt.Sprint("executor-", i), Incarnation: 1, Service: cfg.Services[0].Name,
			DataCentre: cfg.DataCentres[i%len(cfg.DataCentres)].Name, Slots: 8, Connections: 64,
		}})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(u.Close)
		// The instance that is called may not have applied the first configuration yet.
		Eventually(c.Announce, "10s", "20ms").WithContext(ctx).WithArguments(u.Upstream()).Should(Succeed())
	}
	Eventually(func() (int, error) {
		ws, err := c.Workers(ctx)
		return len(ws), err
	}, "20s").Should(Equal(48))
}

// Guards against commands in the operations page that fail or exit with another code than the page states, since
// operators follow the page while a deployment is broken.
var _ = It("docs/OPERATIONS.md works as it is written", func(ctx SpecContext) {
	page, err := os.ReadFile(filepath.Join("..", "docs", "OPERATIONS.md"))
	Expect(err).NotTo(HaveOccurred())
	lines := parsePage(string(page))
	Expect(len(lines)).To(BeNumerically(">", 60))
	dir, replaceAddresses := copyExamples()
	sh := newShell(dir, writeWrapper()+":"+os.Getenv("PATH"))
	rehearsal := filepath.Join(dir, "rehearsal")
	DeferCleanup(func() {
		if !CurrentSpecReport().Failed() {
			return
		}
		logs, _ := filepath.Glob(filepath.Join(rehearsal, "*.log"))
		for _, f := range logs {
			b, _ := os.ReadFile(f)
			tail := strings.Split(strings.TrimSpace(string(b)), "\n")
			GinkgoWriter.Printf("== %s\n%s\n", filepath.Base(f), strings.Join(tail[max(0, len(tail)-15):], "\n"))
		}
	})
	for _, l := range lines {
		if l.mark == "workers and upstreams" {
			startPageBackends(ctx, sh, rehearsal)
			continue
		}
		Expect(l.mark).To(BeEmpty(), "line %d has an unknown mark", l.number)
		began := time.Now()
		out, code := sh.run(ctx, replaceAddresses(l.text))
		GinkgoWriter.Printf("%s line %d (%s, exit %d): %s\n%s\n", time.Now().Format(time.TimeOnly), l.number, time.Since(began).Round(time.Millisecond), code, l.text, out)
		Expect(code).To(Equal(l.exitCode), "line %d: %s\n%s", l.number, l.text, out)
	}
}, NodeTimeout(6*time.Minute))
