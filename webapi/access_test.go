package webapi_test

import (
	"context"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"turmericroute/auth"
	"turmericroute/model"
	"turmericroute/state"
	"turmericroute/webapi"
)

// tokenTable maps the secrets of tokens to identities.
type tokenTable map[string]auth.Identity

func (t tokenTable) Identify(secret string) (auth.Identity, bool) {
	id, ok := t[secret]
	return id, ok
}

// echoEntry responds to requests to services with the team and authorisation headers that it receives.
type echoEntry struct{}

func (echoEntry) ServeService(w http.ResponseWriter, r *http.Request) {
	w.Write([]byte(r.Header.Get(webapi.HeaderTeam) + "|" + r.Header.Get("Authorization")))
}

var _ = Describe("access", func() {
	var f *fixture
	sendAs := func(secret, method, path, body string, header ...string) response {
		GinkgoHelper()
		return f.send(method, path, body, append(header, "Authorization", "Bearer "+secret, "Content-Type", "application/json")...)
	}
	BeforeEach(func() {
		f = newFixture(func(c *webapi.Config) {
			c.Entry = echoEntry{}
			c.Tokens = tokenTable{
				"op": {Name: "ana", Role: auth.RoleOperator}, "te": {Name: "ci", Role: auth.RoleTeam, Subject: "tejados"},
				"pa": {Name: "pa", Role: auth.RoleTeam, Subject: "patina"}, "w1": {Name: "w1", Role: auth.RoleWorker, Subject: "w1"},
				"u1": {Name: "u1", Role: auth.RoleUpstream, Subject: "u1"},
			}
		})
		Expect(sendAs("op", "POST", "/v1/config/patches", basePatch).status).To(Equal(http.StatusOK))
	})

	It("requires a known token except for liveness and readiness", func() {
		for _, header := range []string{"", "Bearer ", "Bearer nobody", "Basic op", "op"} {
			a := f.send("GET", "/v1/jobs", "", "Authorization", header)
			Expect(a.status).To(Equal(http.StatusUnauthorized), header)
			Expect(a.header.Get("WWW-Authenticate")).To(Equal("Bearer"))
		}
		Expect(f.get("/metrics").status).To(Equal(http.StatusUnauthorized))
		Expect(f.get("/dump").status).To(Equal(http.StatusUnauthorized))
		Expect(f.get("/livez").status).To(Equal(http.StatusOK))
		Expect(f.get("/readyz").status).To(Equal(http.StatusOK))
		Expect(f.post("/v1/jobs", job).outcome).To(Equal(model.OutcomeUnknown), "an earlier request may have run")
	})

	DescribeTable("is limited by role", func(secret, method, path string, want int) {
		Expect(sendAs(secret, method, path, "").status).To(Equal(want))
	},
		Entry("teams cannot read the configuration", "te", "GET", "/v1/config", http.StatusForbidden),
		Entry("teams cannot patch the configuration", "te", "POST", "/v1/config/patches", http.StatusForbidden),
		Entry("teams cannot read the overview", "te", "GET", "/v1/overview", http.StatusForbidden),
		Entry("teams cannot count tasks", "te", "GET", "/v1/tasks?worker=w1", http.StatusForbidden),
		Entry("teams cannot plan patches", "te", "POST", "/v1/config/plan", http.StatusForbidden),
		Entry("teams cannot list workers", "te", "GET", "/v1/workers", http.StatusForbidden),
		Entry("teams cannot read the dump", "te", "GET", "/dump", http.StatusForbidden),
		Entry("teams cannot announce upstreams", "te", "POST", "/v1/upstreams/u1/announce", http.StatusForbidden),
		Entry("workers cannot list jobs", "w1", "GET", "/v1/jobs", http.StatusForbidden),
		Entry("workers cannot send requests to services", "w1", "GET", "/v1/services/fabrication/x", http.StatusForbidden),
		Entry("workers cannot poll under another name", "w1", "POST", "/v1/workers/w2/poll", http.StatusForbidden),
		Entry("upstreams cannot leave under another name", "u1", "POST", "/v1/upstreams/u2/leave", http.StatusForbidden),
		Entry("upstreams cannot poll", "u1", "POST", "/v1/workers/u1/poll", http.StatusForbidden),
		Entry("operators can read the configuration", "op", "GET", "/v1/config", http.StatusOK),
	)

	It("limits a team to reading and cancelling its own jobs", func() {
		Expect(sendAs("te", "POST", "/v1/jobs", job).status).To(Equal(http.StatusOK))
		Expect(sendAs("pa", "POST", "/v1/jobs", job).Code).To(Equal(model.CodeForbidden))
		Expect(sendAs("pa", "GET", "/v1/jobs", "").body).To(Equal("[]\n"))
		Expect(sendAs("pa", "GET", "/v1/jobs?team=tejados", "").body).To(Equal("[]\n"))
		Expect(sendAs("pa", "GET", "/v1/jobs/j1", "").Code).To(Equal(model.CodeNotFound))
		Expect(sendAs("pa", "DELETE", "/v1/jobs/j1", "").Code).To(Equal(model.CodeNotFound))
		f.replica.InquireFunc = func(_ context.Context, q state.Inquiry) (state.Report, error) {
			return state.Report{Job: &state.JobReport{Why: "why", WaitsFor: []state.BlockingJob{{ID: "mine", Team: "tejados"}, {ID: "theirs", Team: "patina"}}}}, nil
		}
		Expect(sendAs("pa", "GET", "/v1/jobs/j1/explain", "").Code).To(Equal(model.CodeNotFound))
		Expect(sendAs("te", "GET", "/v1/jobs/j1/explain", "").body).To(And(ContainSubstring("mine"), Not(ContainSubstring("theirs"))))
		Expect(sendAs("op", "GET", "/v1/jobs/j1/explain", "").body).To(ContainSubstring("theirs"))
		Expect(sendAs("te", "DELETE", "/v1/jobs/j1", "").status).To(Equal(http.StatusOK))
	})

	It("sets the team of requests from the token and does not forward the token to upstreams", func() {
		Expect(sendAs("te", "GET", "/v1/services/fabrication/x", "").body).To(Equal("tejados|"))
		Expect(sendAs("te", "GET", "/v1/services/fabrication/x", "", webapi.HeaderTeam, "patina").Code).To(Equal(model.CodeForbidden))
		Expect(sendAs("op", "GET", "/v1/services/fabrication/x", "", webapi.HeaderTeam, "patina").body).To(Equal("patina|"))
	})

	It("is recorded in the audit log and the history without secrets", func() {
		forged := strings.Replace(drainPatch, `"id":"d1"`, `"id":"d1","author":"someone else","reason":"repair"`, 1)
		sendAs("op", "POST", "/v1/config/patches", forged)
		sendAs("te", "GET", "/v1/config", "")
		Expect(f.replica.Machine().History()[1].Patch.Author).To(Equal("ana"))
		Expect(f.log.String()).To(MatchRegexp(`event=audit .*path=/v1/config/patches status=200 .*who=ana role=operator patch=d1 reason=repair version=2`))
		Expect(f.log.String()).To(MatchRegexp(`event=audit .*path=/v1/config status=403 .*who=ci role=team .*code=forbidden`))
		Expect(f.log.String()).NotTo(ContainSubstring("Bearer"))
	})
})
