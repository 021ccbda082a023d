package serve_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"turmericroute/entry"
	"turmericroute/fakes"
	"turmericroute/serve"
)

// journal records the order of events.
type journal struct {
	mu     sync.Mutex
	events []string
}

func (j *journal) note(event string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.events = append(j.events, event)
}

func (j *journal) all() []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]string(nil), j.events...)
}

type node struct {
	*fakes.Replica
	j        *journal
	startErr error
	failed   chan struct{}
}

func (n *node) Start(context.Context) error { n.j.note("start"); return n.startErr }
func (n *node) Close(context.Context) error { n.j.note("close"); return nil }
func (n *node) Failed() <-chan struct{}     { return n.failed }
func (n *node) Dump() any                   { return nil }

// services holds each request until it is released.
type services struct {
	j        *journal
	entered  chan struct{}
	release  chan struct{}
	states   atomic.Pointer[[]entry.ServiceState]
	inFlight sync.WaitGroup
}

func (s *services) ServeService(w http.ResponseWriter, _ *http.Request) {
	s.inFlight.Add(1)
	defer s.inFlight.Done()
	close(s.entered)
	<-s.release
	s.j.note("answered")
	io.WriteString(w, "whole answer")
}

func (s *services) Run(ctx context.Context) { <-ctx.Done(); s.j.note("stopped") }
func (s *services) Dump() any               { return nil }
func (s *services) Ready() error            { return nil }
func (s *services) States() []entry.ServiceState {
	if list := s.states.Load(); list != nil {
		return *list
	}
	return nil
}

func (s *services) Drain(context.Context) error {
	s.j.note("drain")
	s.inFlight.Wait()
	return nil
}

type running struct {
	j    *journal
	n    *node
	s    *services
	base string
	stop context.CancelFunc
	done chan error
}

func start(s serve.Settings, n *node) *running {
	GinkgoHelper()
	r := &running{j: &journal{}, done: make(chan error, 1)}
	r.s = &services{j: r.j, entered: make(chan struct{}), release: make(chan struct{})}
	r.n = n
	if n == nil {
		r.n = &node{}
	}
	r.n.Replica, r.n.j = fakes.NewReplica(), r.j
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	r.base = "http://" + l.Addr().String()
	var ctx context.Context
	ctx, r.stop = context.WithCancel(context.Background())
	p := serve.NewProcess(s, serve.Parts{Node: r.n, Services: r.s, Metrics: metrics.NewSet(), Logger: log.NewNopLogger()})
	go func() { r.done <- p.Serve(ctx, l) }()
	return r
}

// get returns the status of a GET on a connection of its own, 0 without an answer.
func (r *running) get(path string) int {
	c := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 5 * time.Second}
	res, err := c.Get(r.base + path)
	if err != nil {
		return 0
	}
	defer res.Body.Close()
	return res.StatusCode
}

var _ = Describe("a graceful shutdown", func() {
	It("turns readiness off, keeps serving for the drain delay, refuses, finishes what is in flight, then closes", func() {
		s := serve.DefaultSettings()
		s.DrainDelay = 300 * time.Millisecond
		r := start(s, nil)
		Eventually(func() int { return r.get("/readyz") }).Should(Equal(http.StatusOK))
		body := make(chan string, 1)
		go func() {
			res, err := http.Get(r.base + "/v1/services/fabrication/plan")
			if err != nil {
				body <- err.Error()
				return
			}
			defer res.Body.Close()
			b, _ := io.ReadAll(res.Body)
			body <- string(b)
		}()
		Eventually(r.s.entered).Should(BeClosed())
		r.stop()
		Eventually(func() int { return r.get("/readyz") }).Should(Equal(http.StatusServiceUnavailable))
		Expect(r.get("/v1/jobs")).To(Equal(http.StatusOK), "requests are served until the load balancer has noticed")
		Eventually(func() int { return r.get("/v1/jobs") }).Should(Equal(http.StatusServiceUnavailable))
		Expect(r.j.all()).To(Equal([]string{"start", "drain"}), "the replica stays open while a request is in flight")
		close(r.s.release)
		Eventually(r.done, 5).Should(Receive(BeNil()))
		Expect(<-body).To(Equal("whole answer"))
		Expect(r.j.all()).To(Equal([]string{"start", "drain", "answered", "close", "stopped"}))
	})

	It("gives up on requests in flight after the timeout and reports it", func() {
		s := serve.DefaultSettings()
		s.DrainDelay, s.ShutdownTimeout = 0, 50*time.Millisecond
		r := start(s, nil)
		go r.get("/v1/services/fabrication/plan")
		Eventually(r.s.entered).Should(BeClosed())
		r.s.inFlight.Done() // Drain returns at once; the HTTP server still holds the request.
		defer func() { r.s.inFlight.Add(1); close(r.s.release) }()
		r.stop()
		var err error
		Eventually(r.done, 5).Should(Receive(&err))
		Expect(err).To(MatchError(ContainSubstring("finish requests")))
		Expect(r.j.all()).To(ContainElement("close"))
	})
})

var _ = Describe("a start", func() {
	It("fails when the replica cannot start, and frees the address", func() {
		r := start(serve.DefaultSettings(), &node{startErr: errors.New("data folder is damaged")})
		Eventually(r.done).Should(Receive(MatchError(ContainSubstring("data folder is damaged"))))
		Expect(r.get("/livez")).To(Equal(0))
	})

	// A process that cannot sync its log must not go on as if it could.
	It("happens with an error when the log can no longer be kept", func() {
		s := serve.DefaultSettings()
		s.DrainDelay = 0
		n := &node{failed: make(chan struct{})}
		r := start(s, n)
		Eventually(func() int { return r.get("/readyz") }).Should(Equal(http.StatusOK))
		close(n.failed)
		Eventually(r.done, 5).Should(Receive(MatchError(ContainSubstring("log can no longer be kept"))))
	})

	It("is not ready on an old view", func() {
		r := start(serve.DefaultSettings(), nil)
		defer r.stop()
		Eventually(func() int { return r.get("/readyz") }).Should(Equal(http.StatusOK))
		r.n.SetViewAge(2 * time.Second)
		Expect(r.get("/readyz")).To(Equal(http.StatusServiceUnavailable))
	})

	It("dumps its settings as they are written", func() {
		s := serve.DefaultSettings()
		s.Name = "c1"
		r := start(s, nil)
		defer r.stop()
		res, err := http.Get(r.base + "/dump")
		Expect(err).NotTo(HaveOccurred())
		defer res.Body.Close()
		b, err := io.ReadAll(res.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(b)).To(MatchRegexp(`(?s)"drain_delay": "2s".*"name": "c1"`))
	})

	It("bounds the size of headers", func() {
		s := serve.DefaultSettings()
		s.Limits.MaxHeaderBytes = 4 << 10
		r := start(s, nil)
		defer r.stop()
		req, err := http.NewRequest(http.MethodGet, r.base+"/livez", nil)
		Expect(err).NotTo(HaveOccurred())
		req.Header.Set("X-Long", strings.Repeat("a", 16<<10))
		res, err := http.DefaultClient.Do(req)
		Expect(err).NotTo(HaveOccurred())
		defer res.Body.Close()
		Expect(res.StatusCode).To(Equal(http.StatusRequestHeaderFieldsTooLarge))
	})
})
