package webapi_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing/iotest"
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"turmericroute/config"
	"turmericroute/fakes"
	"turmericroute/model"
	"turmericroute/state"
	"turmericroute/webapi"
)

// response is a decoded HTTP response; fields that do not apply are empty.
type response struct {
	status  int
	header  http.Header
	outcome model.Outcome
	model.Error
	body string
}

// unreliableReplica is a replica whose calls return the errors that are set:
// executeErr before a command is executed, afterExecuteErr after it.
type unreliableReplica struct {
	*fakes.Replica
	executeErr, afterExecuteErr, barrierErr *model.Error
	executed                                int
}

func (r *unreliableReplica) Execute(ctx context.Context, c state.Command) (state.Result, error) {
	if r.executeErr != nil {
		return state.Result{}, r.executeErr
	}
	r.executed++
	res, err := r.Replica.Execute(ctx, c)
	if r.afterExecuteErr != nil {
		return state.Result{}, r.afterExecuteErr
	}
	return res, err
}

func (r *unreliableReplica) Barrier(ctx context.Context) error {
	if r.barrierErr != nil {
		return r.barrierErr
	}
	return r.Replica.Barrier(ctx)
}

type fixture struct {
	replica   *unreliableReplica
	api       http.Handler
	log       *bytes.Buffer
	ready     error
	closing   bool
	shortages []string
}

// basePatch declares the data centre, service and teams that the tests refer to.
const basePatch = `{"id":"base","base_version":0,"changes":[
	{"put_data_centre":{"name":"norte","region":"andes","racks":[]}},
	{"put_service":{"name":"fabrication","slots":8,"connections":64}},
	{"put_team":{"name":"tejados"}},{"put_team":{"name":"patina"}}]}`

// drainPatch takes a data centre out of service.
const drainPatch = `{"id":"d1","base_version":1,"changes":[{"set_data_centre":{"name":"norte","out_of_service":true}}]}`

// newFixture serves the API on a replica with basePatch applied or, if there are
// options, on an empty replica with the options applied to the API's settings.
func newFixture(options ...func(*webapi.Config)) *fixture {
	f := &fixture{replica: &unreliableReplica{Replica: fakes.NewReplica()}, log: &bytes.Buffer{}}
	cfg := webapi.Config{
		Replica: f.replica, Logger: log.NewLogfmtLogger(f.log),
		Ready: func() error { return f.ready }, Closing: func() bool { return f.closing },
		Dump:        func() any { return map[string]int{"b": 1, "a": 2} },
		CheckConfig: func(config.Config) []string { return f.shortages },
		CheckJob: func(_ config.Config, s model.JobSpec) error {
			if s.Shape.GPUs > 8 {
				return model.NotRun(model.CodeImpossible, "no worker has %d accelerators", s.Shape.GPUs)
			}
			return nil
		},
	}
	for _, o := range options {
		o(&cfg)
	}
	f.api = webapi.New(cfg)
	if len(options) == 0 {
		Expect(f.post("/v1/config/patches", basePatch).status).To(Equal(http.StatusOK))
	}
	return f
}

func (f *fixture) send(method, path, body string, header ...string) response {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	w := httptest.NewRecorder()
	f.api.ServeHTTP(w, r)
	a := response{status: w.Code, header: w.Header(), outcome: model.Outcome(w.Header().Get(webapi.HeaderOutcome)), body: w.Body.String()}
	if a.status >= http.StatusBadRequest {
		Expect(json.Unmarshal(w.Body.Bytes(), &a.Error)).To(Succeed())
		Expect(a.Outcome).To(Equal(a.outcome), "header and body carry the same outcome")
	}
	return a
}

func (f *fixture) post(path, body string) response {
	return f.send("POST", path, body, "Content-Type", "application/json")
}

func (f *fixture) get(path string) response { return f.send("GET", path, "") }

const job = `{"id":"j1","team":"tejados","shape":{"tasks":2,"gpus":8,"cores":4,"memory_mb":1024}}`

var _ = Describe("bodies", func() {
	// Guards against a caller being told that a request has not run, when the body of its second sending was cut and
	// the first has run.
	It("that are cut have an unknown outcome", func() {
		f := newFixture()
		Expect(f.post("/v1/jobs", job).status).To(BeNumerically("<", 300))
		r := httptest.NewRequest("POST", "/v1/jobs", io.MultiReader(strings.NewReader(job[:20]), iotest.ErrReader(io.ErrUnexpectedEOF)))
		r.Header.Set("Content-Type", "application/json")
		w := httptest.NewRecorder()
		f.api.ServeHTTP(w, r)
		Expect(w.Header().Get(webapi.HeaderOutcome)).To(Equal(string(model.OutcomeUnknown)))
	})

	DescribeTable("are refused with a specific code and the outcome not_run", func(body string, code model.Code, want string) {
		f := newFixture()
		before := f.replica.executed
		a := f.post("/v1/jobs", body)
		Expect(a.Code).To(Equal(code))
		Expect(a.status).To(Equal(webapi.StatusOf(code)))
		Expect(a.outcome).To(Equal(model.OutcomeNotRun))
		Expect(a.body).To(ContainSubstring(want))
		Expect(f.replica.executed).To(Equal(before))
	},
		Entry("malformed", `{"id":`, model.CodeInvalid, "ends within"),
		Entry("empty", ``, model.CodeInvalid, "empty"),
		Entry("unknown field", `{"id":"j","priority":3}`, model.CodeInvalid, "priority"),
		Entry("repeated field", `{"id":"j","id":"k"}`, model.CodeInvalid, "occurs twice"),
		Entry("trailing data", job+`{}`, model.CodeInvalid, "data follows"),
		Entry("number too large for its type", `{"id":"j","shape":{"tasks":1e30}}`, model.CodeInvalid, "tasks"),
		Entry("fraction for a whole number", `{"id":"j","shape":{"tasks":1.5}}`, model.CodeInvalid, "tasks"),
		Entry("not UTF-8", "{\"id\":\"\xff\"}", model.CodeInvalid, "UTF-8"),
		Entry("deep nesting", strings.Repeat(`{"a":`, 50)+"1"+strings.Repeat("}", 50), model.CodeInvalid, "nested deeper"),
		Entry("too large", `{"payload":"`+strings.Repeat("x", 300<<10)+`"}`, model.CodeTooLarge, "bytes"),
		Entry("negative shape", `{"id":"j","team":"tejados","shape":{"tasks":-1,"gpus":1}}`, model.CodeInvalid, "shape.tasks: is -1"),
		Entry("too many tasks", `{"id":"j","team":"tejados","shape":{"tasks":65,"gpus":1}}`, model.CodeInvalid, "must be 1 to 64"),
		Entry("unsafe ID", `{"id":"../x","team":"tejados","shape":{"tasks":1,"gpus":1}}`, model.CodeInvalid, "is not a valid name"),
		Entry("unknown team", `{"id":"j","team":"nobody","shape":{"tasks":1,"gpus":1}}`, model.CodeImpossible, "no team nobody"),
		Entry("job that can never run", `{"id":"j","team":"tejados","shape":{"tasks":1,"gpus":9}}`, model.CodeImpossible, "9 accelerators"),
	)

	It("require the JSON content type", func() {
		f := newFixture()
		for _, ct := range []string{"", "text/plain", "application/json-patch+json", ";"} {
			a := f.send("POST", "/v1/jobs", job, "Content-Type", ct)
			Expect(a.status).To(Equal(http.StatusUnsupportedMediaType), ct)
		}
		Expect(f.send("POST", "/v1/jobs", job, "Content-Type", "application/json; charset=utf-8").status).To(Equal(http.StatusOK))
	})

	It("report all faults at once", func() {
		a := newFixture().post("/v1/jobs", `{"id":"/","team":"","shape":{"tasks":0},"max_attempts":-1}`)
		Expect(a.Faults).To(HaveLen(5))
	})
})

var _ = Describe("jobs", func() {
	It("are accepted once when sent repeatedly, and conflict with another specification under the same ID", func() {
		f := newFixture()
		Expect(f.post("/v1/jobs", job).status).To(Equal(http.StatusOK))
		Expect(f.post("/v1/jobs", job).status).To(Equal(http.StatusOK))
		Expect(f.replica.Machine().Jobs()).To(HaveLen(1))
		a := f.post("/v1/jobs", strings.Replace(job, `"gpus":8`, `"gpus":4`, 1))
		Expect(a.Code).To(Equal(model.CodeConflict))
	})

	It("return the first response to a resend that could no longer be accepted", func() {
		// A refusal would report that an accepted job was not run.
		f := newFixture()
		Expect(f.post("/v1/jobs", job).status).To(Equal(http.StatusOK))
		Expect(f.post("/v1/config/patches", `{"id":"p2","base_version":1,"changes":[{"put_team":{"name":"tejados","max_gpus":4}}]}`).status).To(Equal(http.StatusOK))
		Expect(f.post("/v1/jobs", job).status).To(Equal(http.StatusOK))
	})

	It("have an unknown outcome when the ID was not looked up", func() {
		f := newFixture()
		f.replica.executeErr = model.NotRun(model.CodeNoLeader, "no leader")
		a := f.post("/v1/jobs", job)
		Expect(a.status).To(Equal(http.StatusServiceUnavailable))
		Expect(a.outcome).To(Equal(model.OutcomeUnknown))
		a = f.post("/v1/jobs", strings.Replace(job, `"id":"j1",`, "", 1))
		Expect(a.outcome).To(Equal(model.OutcomeNotRun), "an ID generated by the API was never sent before")
	})

	It("can be listed by team and state, read and cancelled", func() {
		f := newFixture()
		f.post("/v1/jobs", job)
		Expect(f.get("/v1/jobs?team=patina").body).To(Equal("[]\n"))
		Expect(f.get("/v1/jobs?team=tejados&state=waiting").body).To(ContainSubstring(`"j1"`))
		Expect(f.send("DELETE", "/v1/jobs/j1", "").body).To(ContainSubstring(`"cancelled"`))
		Expect(f.get("/v1/jobs/j1").body).To(ContainSubstring(`"cancelled"`))
		Expect(f.get("/v1/jobs/j2").Code).To(Equal(model.CodeNotFound))
		Expect(f.send("DELETE", "/v1/jobs/j2", "").Code).To(Equal(model.CodeNotFound))
	})

	It("are listed without payloads, page by page", func() {
		f := newFixture()
		f.post("/v1/jobs", strings.Replace(job, `"j1"`, `"j1","payload":"secret plan"`, 1))
		f.post("/v1/jobs", strings.Replace(job, "j1", "j2", 1))
		Expect(f.get("/v1/jobs").body).NotTo(ContainSubstring("secret plan"))
		Expect(f.get("/v1/jobs/j1").body).To(ContainSubstring("secret plan"))
		Expect(f.get("/v1/jobs?after=j1").body).To(And(ContainSubstring(`"j2"`), Not(ContainSubstring(`"j1"`))))
		Expect(f.get("/v1/jobs?after=j2").body).To(Equal("[]\n"))
	})

	It("are not read from a copy that may be stale", func() {
		f := newFixture()
		f.replica.barrierErr = model.NotRun(model.CodeStaleView, "partitioned")
		Expect(f.get("/v1/jobs/j1").Code).To(Equal(model.CodeStaleView))
		Expect(f.get("/v1/config").Code).To(Equal(model.CodeStaleView))
	})
})

var _ = Describe("patches", func() {
	It("return the first response to a resend, even after a lost response and later changes", func() {
		f := newFixture()
		f.replica.afterExecuteErr = model.Unknown(model.CodeUnavailable, "connection lost")
		Expect(f.post("/v1/config/patches", drainPatch).outcome).To(Equal(model.OutcomeUnknown))
		f.replica.afterExecuteErr = nil
		Expect(f.post("/v1/config/patches", `{"id":"d2","base_version":2,"changes":[{"drain_worker":{"worker":"w"}}]}`).body).To(ContainSubstring(`"version":3`))
		a := f.post("/v1/config/patches", drainPatch)
		Expect(a.body).To(ContainSubstring(`{"version":2,"resent":true}`))
		Expect(f.replica.Machine().Config().Version).To(Equal(uint64(3)))
	})

	It("for a stale version are refused with the current version", func() {
		f := newFixture()
		f.post("/v1/config/patches", drainPatch)
		a := f.post("/v1/config/patches", strings.Replace(drainPatch, "d1", "d9", 1))
		Expect(a.Code).To(Equal(model.CodeStaleVersion))
		Expect(a.status).To(Equal(http.StatusConflict))
		Expect(a.Version).To(Equal(uint64(2)))
		Expect(a.outcome).To(Equal(model.OutcomeNotRun))
	})

	It("that result in an invalid configuration are refused with all faults", func() {
		f := newFixture()
		a := f.post("/v1/config/patches", `{"id":"p","base_version":1,"changes":[
			{"put_team":{"name":"tejados","services":["design"],"data_centres":["sur"]}}]}`)
		Expect(a.Code).To(Equal(model.CodeInvalid))
		Expect(a.Faults).To(HaveLen(2))
		Expect(f.replica.Machine().Config().Version).To(Equal(uint64(1)))
	})

	It("whose guarantees cannot hold are refused", func() {
		f := newFixture()
		f.shortages = []string{"team tejados: 1 shape missing"}
		a := f.post("/v1/config/patches", drainPatch)
		Expect(a.Code).To(Equal(model.CodeImpossible))
		Expect(a.Faults).To(Equal(f.shortages))
	})

	It("have an unknown outcome when the ID was not looked up", func() {
		f := newFixture()
		f.replica.barrierErr = model.NotRun(model.CodeStaleView, "partitioned")
		Expect(f.post("/v1/config/patches", drainPatch).outcome).To(Equal(model.OutcomeUnknown))
	})

	It("are listed in the history", func() {
		f := newFixture()
		f.post("/v1/config/patches", drainPatch)
		Expect(f.get("/v1/config/history?since=1").body).To(ContainSubstring(`"d1"`))
		Expect(f.get("/v1/config/history?since=1").body).NotTo(ContainSubstring(`"base"`))
		Expect(f.get("/v1/config/history?since=x").Code).To(Equal(model.CodeInvalid))
	})
})

var _ = Describe("upstreams and workers", func() {
	const announcement = `{"name":"u1","incarnation":5,"service":"fabrication","data_centre":"norte","address":"127.0.0.1:9","slots":8,"connections":64}`

	It("commit an announcement once and treat repeated ones as heartbeats", func() {
		f := newFixture()
		Expect(f.post("/v1/upstreams/u1/announce", announcement).status).To(Equal(http.StatusOK))
		n := f.replica.executed
		Expect(f.post("/v1/upstreams/u1/announce", announcement).status).To(Equal(http.StatusOK))
		Expect(f.replica.executed).To(Equal(n))
		Expect(f.post("/v1/upstreams/u1/announce", strings.Replace(announcement, ":9", ":10", 1)).status).To(Equal(http.StatusOK))
		Expect(f.replica.executed).To(Equal(n + 1))
	})

	It("refuse an incarnation that has left, without an entry in the replicated log", func() {
		f := newFixture()
		f.post("/v1/upstreams/u1/announce", announcement)
		Expect(f.post("/v1/upstreams/u1/leave", `{"incarnation":5}`).status).To(Equal(http.StatusOK))
		n := f.replica.executed
		Expect(f.post("/v1/upstreams/u1/announce", announcement).Code).To(Equal(model.CodeConflict))
		Expect(f.replica.executed).To(Equal(n))
		Expect(f.post("/v1/upstreams/u1/announce", strings.Replace(announcement, "5", "6", 1)).status).To(Equal(http.StatusOK))
	})

	It("do not confirm a heartbeat when the view is stale", func() {
		f := newFixture()
		f.post("/v1/upstreams/u1/announce", announcement)
		f.replica.SetViewAge(2 * time.Second)
		Expect(f.post("/v1/upstreams/u1/announce", announcement).Code).To(Equal(model.CodeStaleView))
	})

	DescribeTable("refuse invalid announcements", func(from, to string, code model.Code) {
		Expect(newFixture().post("/v1/upstreams/u1/announce", strings.Replace(announcement, from, to, 1)).Code).To(Equal(code))
	},
		Entry("name that differs from the path", `"u1"`, `"u2"`, model.CodeInvalid),
		Entry("host name", "127.0.0.1:9", "localhost:9", model.CodeInvalid),
		Entry("no port", "127.0.0.1:9", "127.0.0.1", model.CodeInvalid),
		Entry("port beyond the range", ":9", ":99999", model.CodeInvalid),
		Entry("no slots", `"slots":8`, `"slots":0`, model.CodeInvalid),
		Entry("negative incarnation", `"incarnation":5`, `"incarnation":-5`, model.CodeInvalid),
		Entry("unknown data centre", "norte", "sur", model.CodeNotFound),
		Entry("unknown service", "fabrication", "design", model.CodeNotFound),
	)

	It("forward polls to the leader with a bounded wait", func() {
		f := newFixture()
		var got model.PollRequest
		f.replica.PollFunc = func(_ context.Context, req model.PollRequest) (model.PollResponse, error) {
			got = req
			return model.PollResponse{Epoch: 3}, nil
		}
		body := `{"worker":{"name":"w1","data_centre":"norte","rack":"r1","incarnation":"x","capacity":{"gpus":8,"cores":32,"memory_mb":65536}},"epoch":2,"wait_ms":60000}`
		Expect(f.post("/v1/workers/w1/poll", body).body).To(ContainSubstring(`"epoch":3`))
		Expect(got.WaitMS).To(Equal(500))
		Expect(f.post("/v1/workers/w2/poll", body).Code).To(Equal(model.CodeInvalid))
		f.replica.PollFunc = func(context.Context, model.PollRequest) (model.PollResponse, error) {
			return model.PollResponse{}, model.NotRun(model.CodeNoLeader, "no leader")
		}
		Expect(f.post("/v1/workers/w1/poll", body).status).To(Equal(http.StatusServiceUnavailable))
	})
})

var _ = Describe("the API", func() {
	It("answers unknown paths and methods with typed errors", func() {
		f := newFixture()
		Expect(f.get("/v2/jobs").status).To(Equal(http.StatusNotFound))
		Expect(f.send("PUT", "/v1/jobs", "").status).To(Equal(http.StatusMethodNotAllowed))
		Expect(f.get("/v1/services/fabrication/x").Code).To(Equal(model.CodeUnavailable))
	})

	It("keeps a safe request ID, replaces an unsafe one, and logs it", func() {
		f := newFixture()
		Expect(f.send("DELETE", "/v1/jobs/j1", "", webapi.HeaderRequestID, "abc-1").header.Get(webapi.HeaderRequestID)).To(Equal("abc-1"))
		Expect(f.log.String()).To(ContainSubstring("request_id=abc-1"))
		generated := f.send("DELETE", "/v1/jobs/j1", "", webapi.HeaderRequestID, "a b\nc").header.Get(webapi.HeaderRequestID)
		Expect(generated).To(HaveLen(26))
		Expect(f.log.String()).NotTo(ContainSubstring("a b"))
	})

	It("bounds the timeout that a request sets", func() {
		f := newFixture()
		for _, v := range []string{"0", "-1", "x", "99999999999999999999", "1.5"} {
			Expect(f.send("GET", "/v1/config", "", webapi.HeaderTimeout, v).Code).To(Equal(model.CodeInvalid), v)
		}
		Expect(f.send("GET", "/v1/config", "", webapi.HeaderTimeout, "1500").status).To(Equal(http.StatusOK))
	})

	It("reports liveness, readiness, status and metrics, even from a stale copy", func() {
		f := newFixture()
		f.replica.barrierErr = model.NotRun(model.CodeStaleView, "partitioned")
		f.ready = errors.New("view is old")
		Expect(f.get("/livez").status).To(Equal(http.StatusOK))
		Expect(f.get("/readyz").status).To(Equal(http.StatusServiceUnavailable))
		Expect(f.get("/v1/status").body).To(ContainSubstring(`"not_ready":"view is old"`))
		Expect(f.get("/metrics").body).To(ContainSubstring(`turmericroute_http_requests_total{method="GET",route="/livez",status="200"} 1`))
		Expect(f.get("/dump").body).To(MatchRegexp(`(?s)"a": 2.*"b": 1`))
	})

	It("refuses requests with the correct outcome during a shutdown", func() {
		f := newFixture()
		f.closing = true
		a := f.send("DELETE", "/v1/jobs/j1", "")
		Expect(a.Code).To(Equal(model.CodeShuttingDown))
		Expect(a.outcome).To(Equal(model.OutcomeNotRun))
		Expect(f.post("/v1/jobs", job).outcome).To(Equal(model.OutcomeUnknown), "an earlier request may have run")
		Expect(f.get("/livez").status).To(Equal(http.StatusOK))
		Expect(f.get("/metrics").body).To(And(
			ContainSubstring(`turmericroute_http_refusals_total{route="/v1/jobs/{id}",outcome="not_run",code="shutting_down"} 1`),
			ContainSubstring(`turmericroute_http_refusals_total{route="/v1/jobs",outcome="unknown",code="shutting_down"} 1`)))
	})
})
