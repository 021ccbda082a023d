package webapi

import (
	"context"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"

	"turmericroute/auth"
	"turmericroute/config"
	"turmericroute/model"
	"turmericroute/state"
)

// Headers of requests and responses.
const (
	HeaderTeam      = "Turmericroute-Team"
	HeaderTimeout   = "Turmericroute-Timeout-Ms"
	HeaderRequestID = "Turmericroute-Request-Id"
	HeaderOutcome   = "Turmericroute-Outcome"
	HeaderViewAge   = "Turmericroute-View-Age-Ms"
)

const (
	// defaultTimeout bounds a request without a timeout header.
	defaultTimeout = 10 * time.Second
	// maxTimeout bounds the timeout that a request may set.
	maxTimeout = 5 * time.Minute
	// responseReadGrace is how long a caller may take to read a response after maxTimeout has passed.
	responseReadGrace = 30 * time.Second
	// maxJobBytes bounds the body of a job submission.
	maxJobBytes = 256 << 10
	// maxPollBytes bounds the body of a worker's poll; 64 tasks with long messages take about 100 KB.
	maxPollBytes = 512 << 10
	// maxUpstreamBytes bounds the body of an upstream's announcement or departure.
	maxUpstreamBytes = 16 << 10
)

// ServiceHandler forwards requests to upstream services; package entry implements it.
type ServiceHandler interface {
	ServeService(w http.ResponseWriter, r *http.Request)
}

// Replica gives access to the replicated state and to the leader.
type Replica interface {
	state.Replica
	state.Inquirer
}

// Config holds the dependencies and settings of the API.
type Config struct {
	Replica Replica
	// Entry forwards requests to upstream services; nil on instances that do not.
	Entry  ServiceHandler
	Logger log.Logger
	// Metrics collects the request metrics and is served at GET /metrics.
	Metrics *metrics.Set
	// Tokens authenticates callers; nil gives every caller the role of an operator.
	Tokens Authenticator
	// Dump returns the state of the process for GET /dump.
	Dump func() any
	// Ready returns an error that says why the process should receive no requests, or nil.
	Ready func() error
	// CheckConfig returns the reasons why the guarantees of a configuration cannot all hold.
	CheckConfig func(config.Config) []string
	// CheckJob returns a *model.Error if the job can never run.
	CheckJob func(config.Config, model.JobSpec) error
	// Peers are all instances of the deployment; the status of one instance lists them.
	Peers []Peer
	// Executors returns what this instance observes of upstream executors, by service.
	Executors func() []ExecutorCounts
	// Refresh updates the metrics that are computed only when they are read.
	Refresh func()
	// Closing reports whether the process is shutting down and refuses new requests.
	Closing func() bool
	// Now returns the current time; the default is time.Now.
	Now func() time.Time
}

type api struct {
	Config
	mux *http.ServeMux
}

// handler serves one request and returns the value to encode as the JSON response.
type handler func(r *http.Request) (any, error)

// New returns the HTTP handler of the API.
func New(cfg Config) http.Handler {
	if cfg.Logger == nil {
		cfg.Logger = log.NewNopLogger()
	}
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewSet()
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	a := &api{Config: cfg, mux: http.NewServeMux()}
	a.routes()
	return a
}

func (a *api) routes() {
	a.handle("POST", "/v1/jobs", a.submitJob, auth.RoleTeam)
	a.handle("GET", "/v1/jobs", a.listJobs, auth.RoleTeam)
	a.handle("GET", "/v1/jobs/{id}", a.getJob, auth.RoleTeam)
	a.handle("DELETE", "/v1/jobs/{id}", a.cancelJob, auth.RoleTeam)
	a.handle("GET", "/v1/jobs/{id}/explain", a.explainJob, auth.RoleTeam)
	a.handle("GET", "/v1/overview", a.getOverview)
	a.handle("GET", "/v1/tasks", a.countTasks)
	a.handle("GET", "/v1/config", a.getConfig)
	a.handle("POST", "/v1/config/plan", a.planConfig)
	a.handle("POST", "/v1/config/patches", a.patchConfig)
	a.handle("GET", "/v1/config/history", a.getHistory)
	a.handle("GET", "/v1/workers", a.listWorkers)
	a.handle("GET", "/v1/upstreams", a.listUpstreams)
	a.handle("POST", "/v1/workers/{name}/poll", a.pollWorker, auth.RoleWorker)
	a.handle("POST", "/v1/upstreams/{name}/announce", a.announceUpstream, auth.RoleUpstream)
	a.handle("POST", "/v1/upstreams/{name}/leave", a.leaveUpstream, auth.RoleUpstream)
	a.handleAlways("GET", "/v1/status", a.requireRole(a.getStatus))
	a.handleAlways("GET", "/dump", a.requireRole(a.getDump))
	a.handleAlways("GET", "/readyz", a.getReady)
	a.handleAlways("GET", "/livez", func(*http.Request) (any, error) { return map[string]bool{"live": true}, nil })
	a.mux.HandleFunc("GET /metrics", a.serveMetrics)
	a.mux.HandleFunc("/v1/services/{service}/{path...}", a.serveService)
	a.handleOtherMethods()
	a.handle("", "/", func(r *http.Request) (any, error) {
		return nil, model.NotRun(model.CodeNotFound, "no resource %s", r.URL.Path)
	})
}

// handleOtherMethods answers unsupported methods on the registered paths with a typed error.
func (a *api) handleOtherMethods() {
	for _, path := range []string{
		"/v1/jobs", "/v1/jobs/{id}", "/v1/jobs/{id}/explain", "/v1/overview", "/v1/tasks",
		"/v1/config", "/v1/config/plan", "/v1/config/patches", "/v1/config/history", "/v1/workers",
		"/v1/upstreams", "/v1/status", "/v1/workers/{name}/poll", "/v1/upstreams/{name}/announce",
		"/v1/upstreams/{name}/leave", "/dump", "/readyz", "/livez", "/metrics",
	} {
		a.handle("", path, func(r *http.Request) (any, error) {
			return nil, model.NotRun(codeMethodNotAllowed, "method %s is not supported on this path", r.Method)
		})
	}
}

// handle registers a JSON handler for callers with one of the roles and for
// operators; it refuses requests during a shutdown.
func (a *api) handle(method, path string, h handler, roles ...auth.Role) {
	a.handleAlways(method, path, a.requireRole(func(r *http.Request) (any, error) {
		if a.Closing != nil && a.Closing() {
			return nil, refusalBeforeLookup(r, model.NotRun(model.CodeShuttingDown, "this instance is shutting down"))
		}
		return h(r)
	}, roles...))
}

// requireRole wraps a handler so that only callers with one of the roles and operators reach it.
func (a *api) requireRole(h handler, roles ...auth.Role) handler {
	return func(r *http.Request) (any, error) {
		r, err := a.authorise(r, roles)
		if err != nil {
			return nil, err
		}
		return h(r)
	}
}

// handleAlways registers a JSON handler without a check of the role; it also serves during a shutdown.
func (a *api) handleAlways(method, path string, h handler) {
	pattern := path
	if method != "" {
		pattern = method + " " + path
	}
	a.mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel, err := withDeadline(r)
		if err != nil {
			writeError(w, err)
			return
		}
		defer cancel()
		setReadDeadline(ctx, w)
		v, err := h(r.WithContext(ctx))
		if err != nil {
			writeError(w, err)
			return
		}
		writeJSON(w, r, v)
	})
}

// withDeadline returns the context of a request, bounded by its timeout.
func withDeadline(r *http.Request) (context.Context, context.CancelFunc, error) {
	d, err := requestTimeout(r)
	if err != nil {
		return nil, nil, err
	}
	ctx, cancel := context.WithTimeout(r.Context(), d)
	return ctx, cancel, nil
}

// setReadDeadline aborts the reading of a body that arrives too slowly. Connections
// that do not support deadlines, as in unit tests, stay unbounded.
func setReadDeadline(ctx context.Context, w http.ResponseWriter) {
	if d, ok := ctx.Deadline(); ok {
		// The bound is 1 s later, so that a request past its deadline still gets a response.
		http.NewResponseController(w).SetReadDeadline(d.Add(time.Second)) //nolint:errcheck // see above
	}
}

func (a *api) serveMetrics(w http.ResponseWriter, r *http.Request) {
	if _, err := a.authorise(r, nil); err != nil {
		writeError(w, err)
		return
	}
	if a.Refresh != nil {
		a.Refresh()
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	a.Metrics.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

func (a *api) serveService(w http.ResponseWriter, r *http.Request) {
	r, err := a.authorise(r, []auth.Role{auth.RoleTeam})
	if err == nil {
		err = setTeamHeader(r)
	}
	if err == nil && a.Entry == nil {
		err = refusalBeforeLookup(r, model.NotRun(model.CodeUnavailable, "this instance does not forward requests to services"))
	}
	if err != nil {
		writeError(w, err)
		return
	}
	if a.Tokens != nil {
		// The token is for this API; upstreams must not see it.
		r.Header.Del("Authorization")
	}
	a.Entry.ServeService(w, r)
}
