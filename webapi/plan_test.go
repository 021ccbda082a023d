package webapi_test

import (
	"context"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"turmericroute/config"
	"turmericroute/model"
	"turmericroute/state"
	"turmericroute/webapi"
)

var _ = Describe("plans", func() {
	It("return the effects of a patch without applying it", func() {
		var planned config.Config
		f := newFixture(func(c *webapi.Config) {
			c.CheckConfig = func(cfg config.Config) []string {
				if cfg.InService("norte") {
					return nil
				}
				return []string{"short without norte"}
			}
		})
		Expect(f.post("/v1/config/patches", basePatch).status).To(Equal(http.StatusOK))
		f.replica.InquireFunc = func(_ context.Context, q state.Inquiry) (state.Report, error) {
			planned = *q.Plan
			return state.Report{Plan: &state.Forecast{Preempted: []state.AffectedJob{{ID: "j1"}}}}, nil
		}
		Expect(f.post("/v1/config/plan", drainPatch).body).To(And(
			ContainSubstring(`"shortages":["short without norte"],"without_data_centre":[]`), ContainSubstring(`"j1"`)))
		Expect(planned.InService("norte")).To(BeFalse())
		unrelated := `{"id":"p","base_version":1,"changes":[{"remove_team":"patina"}]}`
		Expect(f.post("/v1/config/plan", unrelated).body).To(ContainSubstring(
			`"shortages":[],"without_data_centre":[{"data_centre":"norte","shortages":["short without norte"]}]`))
		Expect(f.replica.Machine().Config().Version).To(Equal(uint64(1)))
		Expect(f.log.String()).NotTo(MatchRegexp(`event=audit .*path=/v1/config/plan`))
	})

	It("are refused if the patch would be refused or if there is no leader", func() {
		f := newFixture()
		Expect(f.post("/v1/config/plan", strings.Replace(drainPatch, `"base_version":1`, `"base_version":0`, 1)).Code).To(Equal(model.CodeStaleVersion))
		Expect(f.post("/v1/config/plan", strings.Replace(drainPatch, "norte", "sur", 1)).Code).To(Equal(model.CodeInvalid))
		Expect(f.post("/v1/config/plan", drainPatch).Code).To(Equal(model.CodeNoLeader))
		Expect(f.get("/v1/overview").Code).To(Equal(model.CodeNoLeader))
	})
})

var _ = Describe("reads by operators", func() {
	It("return each version of the configuration in the history", func() {
		f := newFixture()
		f.post("/v1/config/patches", drainPatch)
		Expect(f.get("/v1/config?version=1").body).NotTo(ContainSubstring("out_of_service"))
		Expect(f.get("/v1/config?version=2").body).To(ContainSubstring("out_of_service"))
		Expect(f.get("/v1/config?version=3").Code).To(Equal(model.CodeNotFound))
		Expect(f.get("/v1/config?version=-1").Code).To(Equal(model.CodeInvalid))
	})

	It("count the tasks placed in a data centre or on a worker", func() {
		f := newFixture()
		ctx := context.Background()
		for _, w := range []model.Worker{{Name: "w1", DataCentre: "norte"}, {Name: "w2", DataCentre: "sur"}} {
			_, err := f.replica.Execute(ctx, state.RegisterWorker{Worker: w})
			Expect(err).NotTo(HaveOccurred())
		}
		f.post("/v1/jobs", job)
		Expect(f.get("/v1/tasks?data_centre=norte").body).To(ContainSubstring(`"jobs":0,"tasks":0,"examples":[]`))
		_, err := f.replica.Execute(ctx, state.PlaceJob{ID: "j1", Attempt: 1, Placement: model.Placement{Workers: []string{"w1", "w1", "w2"}}})
		Expect(err).NotTo(HaveOccurred())
		Expect(f.get("/v1/tasks?data_centre=norte").body).To(ContainSubstring(`"version":1,"jobs":1,"tasks":2,"examples":["j1"]`))
		Expect(f.get("/v1/tasks?worker=w2").body).To(ContainSubstring(`"jobs":1,"tasks":1`))
		Expect(f.get("/v1/tasks").Code).To(Equal(model.CodeInvalid))
	})
})
