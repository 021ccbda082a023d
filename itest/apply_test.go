package itest_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"turmericroute/itest"
	"turmericroute/state"
)

// maxRequestsLine matches a team's request limit in the output of "config get".
var maxRequestsLine = regexp.MustCompile(`\n    max_requests: \d+`)

// writeWithLimit writes the current configuration to a file, with the request limit of one team changed, and returns
// the path.
func writeWithLimit(ctx context.Context, c *itest.Cluster, team string, limit int) string {
	GinkgoHelper()
	r := runCommand(ctx, c.Addresses(), "config", "get")
	Expect(r.Code).To(Equal(0), r.Err)
	before, after, ok := strings.Cut(r.Out, "  - name: "+team+"\n")
	Expect(ok).To(BeTrue())
	entry, rest, _ := strings.Cut(after, "\n  - ")
	entry = fmt.Sprintf("    max_requests: %d\n", limit) + strings.TrimPrefix(maxRequestsLine.ReplaceAllString("\n"+entry, ""), "\n")
	path := filepath.Join(tempDir(), "config.yaml")
	text := before + "  - name: " + team + "\n" + entry
	if rest != "" {
		text += "\n  - " + rest
	}
	Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
	return path
}

// configHistory returns the configuration changes after a version.
func configHistory(ctx context.Context, c *itest.Cluster, since uint64) []state.Record {
	GinkgoHelper()
	records, err := c.Client().History(ctx, since)
	Expect(err).NotTo(HaveOccurred())
	return records
}

var _ = Describe("operators change the configuration", func() {
	var c *itest.Cluster

	BeforeEach(func(ctx SpecContext) { c = startCluster(ctx, fiveVoters) })

	It("concurrently from two plans of the same version: one is applied and the other is told what changed", func(ctx SpecContext) {
		teams := []string{"owner", "borrower"}
		for round := range 5 {
			version := uint64(round + 1)
			plans := make([]string, 2)
			for i, team := range teams {
				plans[i] = filepath.Join(tempDir(), "plan.json")
				file := writeWithLimit(ctx, c, team, 100+round)
				r := runCommand(ctx, c.Addresses(), "config", "plan", "-f", file, "-author", "operator-of-"+team, "-reason", "raise "+team, "-o", plans[i])
				Expect(r.Code).To(Equal(0), r.Err)
			}
			results := make([]commandResult, 2)
			var wg sync.WaitGroup
			for i := range plans {
				wg.Go(func() {
					defer GinkgoRecover()
					results[i] = runCommand(ctx, []string{c.Nodes[(round+i)%len(c.Nodes)].HTTP}, "config", "apply", "-plan", plans[i])
				})
			}
			wg.Wait()
			winner, loser := 0, 1
			if results[0].Code != 0 {
				winner, loser = 1, 0
			}
			Expect(results[winner].Code).To(Equal(0), results[winner].Err)
			Expect(results[winner].Out).To(ContainSubstring(fmt.Sprintf("is version %d\n", version+1)))
			Expect(results[loser].Code).To(Equal(3), results[loser].Err)
			Expect(results[loser].Err).To(MatchRegexp(`changed meanwhile: version %d at \S+ by operator-of-%s, raise %s: put team %s\n`,
				version+1, teams[winner], teams[winner], teams[winner]))
			records := configHistory(ctx, c, version)
			Expect(records).To(HaveLen(1))
			Expect(records[0].Patch.Author).To(Equal("operator-of-" + teams[winner]))
		}
	}, NodeTimeout(90*time.Second))

	It("by an apply that is killed at each step and repeated: the change is applied once", func(ctx SpecContext) {
		steps := []struct {
			name, path    string
			afterResponse bool
			committed     bool
		}{
			{"before it reads the configuration", "/v1/config", false, false},
			{"before it receives the configuration", "/v1/config", true, false},
			{"before it sends the patch", "/v1/config/patches", false, false},
			{"after the patch is accepted and before it receives the response", "/v1/config/patches", true, true},
		}
		for i, step := range steps {
			before := uint64(i + 1)
			file := writeWithLimit(ctx, c, "owner", 500+i)
			args := []string{"config", "apply", "-f", file, "-reason", "step " + fmt.Sprint(i)}
			proxy := newHoldingProxy(c.Nodes[i].HTTP, step.path, step.afterResponse)
			cmd := exec.CommandContext(ctx, binary, args...)
			cmd.Env = []string{"TURMERICROUTE_ADDRESSES=" + proxy.server.URL, "USER=ana"}
			Expect(cmd.Start()).To(Succeed())
			Eventually(proxy.reached, "10s").Should(BeClosed(), step.name)
			Expect(cmd.Process.Kill()).To(Succeed())
			Expect(cmd.Wait()).NotTo(Succeed())
			proxy.server.CloseClientConnections()
			Expect(len(configHistory(ctx, c, before)) == 1).To(Equal(step.committed), step.name)

			for range 2 {
				r := runCommand(ctx, c.Addresses(), args...)
				Expect(r.Code).To(Equal(0), step.name+": "+r.Err)
			}
			records := configHistory(ctx, c, before)
			Expect(records).To(HaveLen(1), step.name)
			Expect(records[0].Patch.Reason).To(Equal("step " + fmt.Sprint(i)))
			cfg, err := c.Client().Config(ctx)
			Expect(err).NotTo(HaveOccurred())
			team, _ := cfg.Team("owner")
			Expect(team.MaxRequests).To(Equal(500 + i))
		}
	}, NodeTimeout(90*time.Second))
})

// holdingProxy forwards requests to an instance but holds those for one path until the caller disconnects: either
// before forwarding the request or before returning the response.
type holdingProxy struct {
	server *httptest.Server
	// reached is closed when the first request is held.
	reached   chan struct{}
	reachOnce sync.Once
}

func newHoldingProxy(address, path string, afterResponse bool) *holdingProxy {
	p := &holdingProxy{reached: make(chan struct{})}
	p.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		matches := r.URL.Path == path
		if matches && !afterResponse {
			p.hold(r)
			return
		}
		resp, err := forward(r, address)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		defer resp.Body.Close()
		if matches {
			p.hold(r)
			return
		}
		w.WriteHeader(resp.StatusCode)
		io.Copy(w, resp.Body)
	}))
	DeferCleanup(p.server.Close)
	return p
}

// hold closes reached and blocks until the caller disconnects.
func (p *holdingProxy) hold(r *http.Request) {
	// The server detects that a caller has disconnected only after the body has been read.
	io.Copy(io.Discard, r.Body)
	p.reachOnce.Do(func() { close(p.reached) })
	<-r.Context().Done()
}

// forward sends a request to the address and does not cancel it when the caller disconnects.
func forward(r *http.Request, address string) (*http.Response, error) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	next, err := http.NewRequestWithContext(context.WithoutCancel(r.Context()), r.Method, "http://"+address+r.URL.RequestURI(), strings.NewReader(string(body)))
	if err != nil {
		return nil, err
	}
	next.Header = r.Header.Clone()
	return http.DefaultClient.Do(next)
}
