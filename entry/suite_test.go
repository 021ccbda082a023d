package entry_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"turmericroute/config"
	"turmericroute/entry"
	"turmericroute/fakes"
	"turmericroute/model"
	"turmericroute/state"
)

func TestEntry(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "entry")
}

// fakeReplica is a replica that applies commands to a state machine in memory.
type fakeReplica struct {
	m      *state.Machine
	age    atomic.Int64
	leader atomic.Bool

	mu    sync.Mutex
	index uint64
	// before runs before a command is applied and after runs afterwards; Execute returns their errors.
	before, after func(state.Command) error
}

func (r *fakeReplica) Execute(ctx context.Context, c state.Command) (state.Result, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := ctx.Err(); err != nil {
		return state.Result{}, model.NotRun(model.CodeDeadline, "%v", err)
	}
	if r.before != nil {
		if err := r.before(c); err != nil {
			return state.Result{}, err
		}
	}
	r.index++
	res := r.m.Apply(r.index, c)
	if r.after != nil {
		if err := r.after(c); err != nil {
			return state.Result{}, err
		}
	}
	return res, nil
}

func (r *fakeReplica) setHooks(before, after func(state.Command) error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.before, r.after = before, after
}

func (r *fakeReplica) ExecuteIn(ctx context.Context, _ uint64, c state.Command) (state.Result, error) {
	return r.Execute(ctx, c)
}
func (r *fakeReplica) Barrier(context.Context) error { return nil }
func (r *fakeReplica) Machine() *state.Machine       { return r.m }
func (r *fakeReplica) ViewAge() time.Duration        { return time.Duration(r.age.Load()) }
func (r *fakeReplica) Poll(context.Context, model.PollRequest) (model.PollResponse, error) {
	return model.PollResponse{}, model.NotRun(model.CodeNoLeader, "no leader")
}
func (r *fakeReplica) Status() state.ReplicaStatus {
	st := state.ReplicaStatus{Name: "entry-1"}
	if r.leader.Load() {
		st.Leader = "entry-1"
	}
	return st
}

// patch commits changes to the configuration.
func (r *fakeReplica) patch(changes ...config.Change) {
	v := r.m.Config().Version
	res, err := r.Execute(context.Background(), state.PatchConfig{Patch: config.Patch{ID: fmt.Sprint("p", v), BaseVersion: v, Changes: changes}})
	if err != nil || res.Failure != nil {
		panic(fmt.Sprint("patch: ", err, res.Failure))
	}
}

func newFakeReplica() *fakeReplica {
	r := &fakeReplica{m: state.New()}
	r.patch(
		config.Change{PutDataCentre: &config.DataCentre{Name: "scl-1"}},
		config.Change{PutDataCentre: &config.DataCentre{Name: "scl-2"}},
		config.Change{PutService: &config.Service{Name: "fabrication", Slots: 8, Connections: 64}},
		config.Change{PutTeam: &config.Team{Name: "canaletas", Services: []string{"fabrication"}}},
		config.Change{PutTeam: &config.Team{Name: "pequena", Services: []string{"fabrication"}, MaxRequests: 2}},
		config.Change{PutTeam: &config.Team{Name: "norte", Services: []string{"fabrication"}, DataCentres: []string{"scl-2"}}},
	)
	return r
}

// testEntry is a running entry with its HTTP server.
type testEntry struct {
	entry *entry.Entry
	srv   *httptest.Server
	stop  context.CancelFunc
	done  chan struct{}
}

func newTestEntry(r *fakeReplica, change func(*entry.Config)) *testEntry {
	cfg := entry.Config{Replica: r, Name: "entry-1", DataCentre: "scl-1", ProbeInterval: 100 * time.Millisecond, ProbeTimeout: 500 * time.Millisecond}
	if change != nil {
		change(&cfg)
	}
	s := &testEntry{entry: entry.New(cfg), done: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("/v1/services/{service}/{path...}", s.entry.ServeService)
	s.srv = httptest.NewServer(mux)
	ctx, cancel := context.WithCancel(context.Background())
	s.stop = cancel
	go func() {
		defer close(s.done)
		s.entry.Run(ctx)
	}()
	DeferCleanup(s.close)
	return s
}

func (s *testEntry) close() {
	s.stop()
	<-s.done
	s.srv.CloseClientConnections()
	s.srv.Close()
}

// startUpstream starts a fake upstream in a data centre and announces it.
func startUpstream(r *fakeReplica, name, dc string, b fakes.Behaviour) *fakes.Upstream {
	GinkgoHelper()
	u, err := fakes.StartUpstream(fakes.UpstreamConfig{Behaviour: b, Upstream: model.Upstream{
		Name: name, Incarnation: 1, Service: "fabrication", DataCentre: dc, Slots: 8, Connections: 64,
	}})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(u.Close)
	_, err = r.Execute(context.Background(), state.AnnounceUpstream{Upstream: u.Upstream()})
	Expect(err).NotTo(HaveOccurred())
	return u
}

// waitUsable waits until n executors are usable.
func (s *testEntry) waitUsable(n int) {
	GinkgoHelper()
	Eventually(func() int { return strings.Count(fmt.Sprintf("%+v", s.entry.Dump()), "Usable:true") }).
		WithTimeout(5 * time.Second).WithPolling(10 * time.Millisecond).Should(Equal(n))
}

// call is one request of a caller.
type call struct {
	team, key, body, method, path string
	id                            string
	timeout                       time.Duration
	header                        map[string]string
	ctx                           context.Context
}

// reply is what the caller receives.
type reply struct {
	status  int
	outcome model.Outcome
	code    string
	body    string
	header  http.Header
	err     error
}

func (c call) request(base string) *http.Request {
	GinkgoHelper()
	if c.method == "" {
		c.method = http.MethodPost
	}
	if c.team == "" {
		c.team = "canaletas"
	}
	if c.ctx == nil {
		c.ctx = context.Background()
	}
	req, err := http.NewRequestWithContext(c.ctx, c.method, base+"/v1/services/fabrication/"+c.path, strings.NewReader(c.body))
	Expect(err).NotTo(HaveOccurred())
	req.Header.Set(entry.HeaderTeam, c.team)
	if c.id != "" {
		req.Header.Set(entry.HeaderRequestID, c.id)
	}
	if c.timeout > 0 {
		req.Header.Set(entry.HeaderTimeout, strconv.FormatInt(c.timeout.Milliseconds(), 10))
	}
	if c.key != "" {
		req.Header.Set(entry.HeaderIdempotent, "false")
		req.Header.Set(entry.HeaderIdempotencyKey, c.key)
		req.Header.Set(entry.HeaderKeyTime, strconv.FormatInt(time.Now().UnixMilli(), 10))
	}
	for k, v := range c.header {
		req.Header.Set(k, v)
	}
	return req
}

// callerClient never resends a request on its own, since it uses each connection once.
var callerClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

func (s *testEntry) send(c call) reply {
	GinkgoHelper()
	resp, err := callerClient.Do(c.request(s.srv.URL))
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	r := reply{status: resp.StatusCode, outcome: model.Outcome(resp.Header.Get(entry.HeaderOutcome)), body: string(b), header: resp.Header, err: err}
	if _, rest, ok := strings.Cut(r.body, `"code":"`); ok {
		r.code, _, _ = strings.Cut(rest, `"`)
	}
	return r
}
