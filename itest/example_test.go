package itest_test

import (
	"context"
	"encoding/json"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"turmericroute/config"
	"turmericroute/fakes"
	"turmericroute/itest"
	"turmericroute/model"
)

// Guards against example deployments that do not start with the settings and configuration in the repository.
var _ = DescribeTable("example deployment", func(ctx SpecContext, name string, gang model.Shape) {
	// Data folders are created beside the settings files, so the test uses a copy.
	folder := tempDir()
	Expect(os.CopyFS(folder, os.DirFS(filepath.Join("..", "examples", name)))).To(Succeed())
	paths, err := filepath.Glob(filepath.Join(folder, "[ac][0-9].yaml"))
	Expect(err).NotTo(HaveOccurred())
	Expect(paths).To(HaveLen(7))
	c, err := itest.FromFiles(itest.Config{Binary: binary, Dir: folder}, paths)
	Expect(err).NotTo(HaveOccurred())
	deferClose(c)
	Expect(c.Start()).To(Succeed())
	Eventually(c.CheckReady, "20s").WithContext(ctx).Should(Succeed())

	out, err := exec.CommandContext(ctx, binary, "config", "apply", "-f", filepath.Join(folder, "config.yaml"),
		"-addresses", strings.Join(c.Addresses(), ",")).CombinedOutput()
	Expect(err).NotTo(HaveOccurred(), string(out))
	cfg, err := c.Client().Config(ctx)
	Expect(err).NotTo(HaveOccurred())
	Expect(cfg.Teams).To(HaveLen(4))

	backends := itest.NewBackends(c.Addresses())
	DeferCleanup(backends.Close)
	backends.AddWorkers(cfg, fakes.WorkerConfig{})
	Expect(backends.AddUpstreams(cfg, cfg.Services[0], 48, fakes.Behaviour{Delay: 5 * time.Millisecond})).To(Succeed())
	Eventually(func() (int, error) {
		ws, err := c.Client().Workers(ctx)
		return len(ws), err
	}, "15s").Should(Equal(48))
	Eventually(func() (int, error) {
		us, err := c.Client().Upstreams(ctx)
		return len(us), err
	}, "15s").Should(Equal(48))

	team := cfg.Teams[0]
	spec := model.JobSpec{ID: "first", Team: team.Name, Shape: gang, Payload: `{"work_seconds": 1}`}
	_, err = c.Client().SubmitJob(ctx, spec)
	Expect(err).NotTo(HaveOccurred())
	Eventually(func() int { return backends.TaskRuns.Running("first") }, "5s", "5ms").Should(Equal(gang.Tasks))
	Eventually(func() (model.JobState, error) {
		j, err := c.Client().Job(ctx, "first")
		return j.State, err
	}, "10s").Should(Equal(model.JobDone))

	for _, n := range c.Nodes {
		status, outcome := callService(ctx, n.HTTP, firstService(cfg, team), team.Name, "plan")
		Expect(status).To(Equal(http.StatusOK))
		Expect(outcome).To(Equal("done"))
	}
	checkDiagnostics(ctx, c)
},
	Entry("Cobrería Andina", "cobreria", model.Shape{Tasks: 6, GPUs: 8, SameRack: true}, NodeTimeout(90*time.Second)),
	Entry("Asahikawa", "asahikawa", model.Shape{Tasks: 8, GPUs: 8, SameRack: true}, NodeTimeout(90*time.Second)),
)

// firstService returns the first service of a team.
func firstService(cfg config.Config, t config.Team) string {
	Expect(t.Services).NotTo(BeEmpty())
	Expect(cfg.Services).NotTo(BeEmpty())
	return t.Services[0]
}

// callService sends a request to a service through an instance and returns the status code and the outcome header.
func callService(ctx context.Context, address, service, team, body string) (int, string) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/services/"+service+"/x", strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	r.Header.Set("Turmericroute-Team", team)
	resp, err := http.DefaultClient.Do(r)
	Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	return resp.StatusCode, resp.Header.Get("Turmericroute-Outcome")
}

// checkDiagnostics checks that every instance serves its dump, health checks and metrics.
func checkDiagnostics(ctx context.Context, c *itest.Cluster) {
	for _, n := range c.Nodes {
		raw, err := n.Client.Dump(ctx)
		Expect(err).NotTo(HaveOccurred())
		var d map[string]any
		Expect(json.Unmarshal(raw, &d)).To(Succeed())
		Expect(d).To(HaveKey("replica"))
		for _, path := range []string{"/livez", "/readyz", "/metrics"} {
			resp, err := http.Get("http://" + n.HTTP + path)
			Expect(err).NotTo(HaveOccurred())
			resp.Body.Close()
			Expect(resp.StatusCode).To(Equal(http.StatusOK), n.Spec.Name+path)
		}
	}
}
