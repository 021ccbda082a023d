package serve_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"turmericroute/config"
	"turmericroute/entry"
	"turmericroute/serve"
	"turmericroute/state"
)

// scrapeMetrics returns the body of GET /metrics, or the error.
func (r *testProcess) scrapeMetrics() string {
	res, err := http.Get(r.baseURL + "/metrics")
	if err != nil {
		return err.Error()
	}
	defer res.Body.Close()
	b, _ := io.ReadAll(res.Body)
	return string(b)
}

var _ = Describe("metrics of a process", func() {
	It("measure the delay until a configuration version is in force, except while the view is stale", func() {
		r := startProcess(serve.DefaultSettings(), nil)
		defer r.stop()
		applyPatch := func(version uint64) {
			GinkgoHelper()
			p := config.Patch{ID: fmt.Sprint(version), BaseVersion: version, Changes: []config.Change{{PutTeam: &config.Team{Name: "t"}}}}
			acceptedMS := time.Now().Add(-300 * time.Millisecond).UnixMilli()
			res, err := r.node.Execute(context.Background(), state.PatchConfig{Patch: p, AtMS: acceptedMS})
			Expect(err).NotTo(HaveOccurred())
			Expect(res.Failure).To(BeNil())
		}
		Eventually(r.scrapeMetrics).Should(ContainSubstring("turmericroute_config_version_number 0\n"))
		applyPatch(0)
		Eventually(r.scrapeMetrics).Should(And(
			ContainSubstring("turmericroute_config_version_number 1\n"), ContainSubstring("turmericroute_config_delay_seconds_count 1\n"),
			MatchRegexp(`turmericroute_config_version_age_seconds 0\.[3-9]`)))
		r.node.SetViewAge(2 * time.Second)
		applyPatch(1)
		Eventually(r.scrapeMetrics).Should(ContainSubstring("turmericroute_config_version_number 2\n"))
		Consistently(r.scrapeMetrics, "200ms").Should(ContainSubstring("turmericroute_config_delay_seconds_count 1\n"))
	})

	It("count queued requests by team, and report 0 once a team's queue is empty again", func() {
		r := startProcess(serve.DefaultSettings(), nil)
		defer r.stop()
		r.services.states.Store(&[]entry.ServiceState{{Service: "a", Queued: map[string]int{"t": 2}}, {Service: "b", Queued: map[string]int{"t": 1}}})
		Eventually(r.scrapeMetrics).Should(ContainSubstring(`turmericroute_entry_queued_requests_count{team="t"} 3`))
		r.services.states.Store(&[]entry.ServiceState{})
		Expect(r.scrapeMetrics()).To(ContainSubstring(`turmericroute_entry_queued_requests_count{team="t"} 0`))
	})
})
