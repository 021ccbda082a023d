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

// eventLog records events in order.
type eventLog struct {
	mu     sync.Mutex
	events []string
}

func (l *eventLog) record(event string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.events = append(l.events, event)
}

func (l *eventLog) list() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.events...)
}

// fakeNode records Start and Close.
type fakeNode struct {
	*fakes.Replica
	events   *eventLog
	startErr error
	failed   chan struct{}
}

func (n *fakeNode) Start(context.Context) error { n.events.record("start"); return n.startErr }
func (n *fakeNode) Close(context.Context) error { n.events.record("close"); return nil }
func (n *fakeNode) Failed() <-chan struct{}     { return n.failed }
func (n *fakeNode) Dump() any                   { return nil }

// fakeServices blocks each request until release is closed.
type fakeServices struct {
	events   *eventLog
	entered  chan struct{}
	release  chan struct{}
	states   atomic.Pointer[[]entry.ServiceState]
	inFlight sync.WaitGroup
}

func (s *fakeServices) ServeService(w http.ResponseWriter, _ *http.Request) {
	s.inFlight.Add(1)
	defer s.inFlight.Done()
	close(s.entered)
	<-s.release
	s.events.record("answered")
	io.WriteString(w, "whole answer")
}

func (s *fakeServices) Run(ctx context.Context) { <-ctx.Done(); s.events.record("stopped") }
func (s *fakeServices) Dump() any               { return nil }
func (s *fakeServices) Ready() error            { return nil }
func (s *fakeServices) States() []entry.ServiceState {
	if list := s.states.Load(); list != nil {
		return *list
	}
	return nil
}

func (s *fakeServices) Drain(context.Context) error {
	s.events.record("drain")
	s.inFlight.Wait()
	return nil
}

// testProcess is a running process with a fake node and fake services.
type testProcess struct {
	events   *eventLog
	node     *fakeNode
	services *fakeServices
	baseURL  string
	stop     context.CancelFunc
	done     chan error
}

// startProcess starts a process; a nil node means one without faults.
func startProcess(s serve.Settings, n *fakeNode) *testProcess {
	GinkgoHelper()
	r := &testProcess{events: &eventLog{}, done: make(chan error, 1)}
	r.services = &fakeServices{events: r.events, entered: make(chan struct{}), release: make(chan struct{})}
	r.node = n
	if n == nil {
		r.node = &fakeNode{}
	}
	r.node.Replica, r.node.events = fakes.NewReplica(), r.events
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	r.baseURL = "http://" + l.Addr().String()
	var ctx context.Context
	ctx, r.stop = context.WithCancel(context.Background())
	p := serve.NewProcess(s, serve.Components{Node: r.node, Services: r.services, Metrics: metrics.NewSet(), Logger: log.NewNopLogger()})
	go func() { r.done <- p.Serve(ctx, l) }()
	return r
}

// getStatus returns the status of a GET on a new connection, 0 if there is no response.
func (r *testProcess) getStatus(path string) int {
	c := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 5 * time.Second}
	res, err := c.Get(r.baseURL + path)
	if err != nil {
		return 0
	}
	defer res.Body.Close()
	return res.StatusCode
}

var _ = Describe("a graceful shutdown", func() {
	It("reports not ready, keeps serving for the drain delay, refuses new requests, finishes those in flight, then closes", func() {
		s := serve.DefaultSettings()
		s.DrainDelay = 300 * time.Millisecond
		r := startProcess(s, nil)
		Eventually(func() int { return r.getStatus("/readyz") }).Should(Equal(http.StatusOK))
		body := make(chan string, 1)
		go func() {
			res, err := http.Get(r.baseURL + "/v1/services/fabrication/plan")
			if err != nil {
				body <- err.Error()
				return
			}
			defer res.Body.Close()
			b, _ := io.ReadAll(res.Body)
			body <- string(b)
		}()
		Eventually(r.services.entered).Should(BeClosed())
		r.stop()
		Eventually(func() int { return r.getStatus("/readyz") }).Should(Equal(http.StatusServiceUnavailable))
		Expect(r.getStatus("/v1/jobs")).To(Equal(http.StatusOK), "requests are served during the drain delay")
		Eventually(func() int { return r.getStatus("/v1/jobs") }).Should(Equal(http.StatusServiceUnavailable))
		Expect(r.events.list()).To(Equal([]string{"start", "drain"}), "the replica stays open while a request is in flight")
		close(r.services.release)
		Eventually(r.done, 5).Should(Receive(BeNil()))
		Expect(<-body).To(Equal("whole answer"))
		Expect(r.events.list()).To(Equal([]string{"start", "drain", "answered", "close", "stopped"}))
	})

	It("abandons requests in flight after the timeout and returns an error", func() {
		s := serve.DefaultSettings()
		s.DrainDelay, s.ShutdownTimeout = 0, 50*time.Millisecond
		r := startProcess(s, nil)
		go r.getStatus("/v1/services/fabrication/plan")
		Eventually(r.services.entered).Should(BeClosed())
		r.services.inFlight.Done() // Drain returns at once while the request is still open in the HTTP server.
		defer func() { r.services.inFlight.Add(1); close(r.services.release) }()
		r.stop()
		var err error
		Eventually(r.done, 5).Should(Receive(&err))
		Expect(err).To(MatchError(ContainSubstring("finish requests")))
		Expect(r.events.list()).To(ContainElement("close"))
	})
})

var _ = Describe("a process", func() {
	It("returns an error if the replica cannot start, and closes its listener", func() {
		r := startProcess(serve.DefaultSettings(), &fakeNode{startErr: errors.New("data folder is damaged")})
		Eventually(r.done).Should(Receive(MatchError(ContainSubstring("data folder is damaged"))))
		Expect(r.getStatus("/livez")).To(Equal(0))
	})

	// Guards against a process that keeps running when it cannot sync its log.
	It("returns an error when the log can no longer be written", func() {
		s := serve.DefaultSettings()
		s.DrainDelay = 0
		n := &fakeNode{failed: make(chan struct{})}
		r := startProcess(s, n)
		Eventually(func() int { return r.getStatus("/readyz") }).Should(Equal(http.StatusOK))
		close(n.failed)
		Eventually(r.done, 5).Should(Receive(MatchError(ContainSubstring("log can no longer be written"))))
	})

	It("is not ready while its view is stale", func() {
		r := startProcess(serve.DefaultSettings(), nil)
		defer r.stop()
		Eventually(func() int { return r.getStatus("/readyz") }).Should(Equal(http.StatusOK))
		r.node.SetViewAge(2 * time.Second)
		Expect(r.getStatus("/readyz")).To(Equal(http.StatusServiceUnavailable))
	})

	It("dumps its settings in the form of the settings file", func() {
		s := serve.DefaultSettings()
		s.Name = "c1"
		r := startProcess(s, nil)
		defer r.stop()
		res, err := http.Get(r.baseURL + "/dump")
		Expect(err).NotTo(HaveOccurred())
		defer res.Body.Close()
		b, err := io.ReadAll(res.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(b)).To(MatchRegexp(`(?s)"drain_delay": "2s".*"name": "c1"`))
	})

	It("bounds the size of request headers", func() {
		s := serve.DefaultSettings()
		s.Limits.MaxHeaderBytes = 4 << 10
		r := startProcess(s, nil)
		defer r.stop()
		req, err := http.NewRequest(http.MethodGet, r.baseURL+"/livez", nil)
		Expect(err).NotTo(HaveOccurred())
		req.Header.Set("X-Long", strings.Repeat("a", 16<<10))
		res, err := http.DefaultClient.Do(req)
		Expect(err).NotTo(HaveOccurred())
		defer res.Body.Close()
		Expect(res.StatusCode).To(Equal(http.StatusRequestHeaderFieldsTooLarge))
	})
})
