package main

import (
	"bufio"
	"container/heap"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"turmericroute/entry"
	"turmericroute/fakes"
	"turmericroute/model"
)

const (
	serviceName = "fabrication"
	teamName    = "canaletas"
	// keyPrefix marks the IDs of requests with a key.
	keyPrefix = "key-"
	// spinWindow is how long before an arrival the generator stops sleeping and spins:
	// sleeps overrun by about this much.
	spinWindow = 200 * time.Microsecond
	maxLatency = time.Minute
)

// loadRequest describes one run of the load generator.
type loadRequest struct {
	Name string `json:"name"`
	// Targets are base URLs without the path. Requests at Rate go to random ones, all others to each in turn.
	Targets []string `json:"targets"`
	// OtherTarget, if set, gets half of the requests at random; these are summarised separately.
	OtherTarget string        `json:"other"`
	Rate        float64       `json:"rate"`
	Duration    time.Duration `json:"for"`
	Timeout     time.Duration `json:"timeout"`
	// WorkUS is the mean of the exponential service time at the executor in
	// microseconds, bounded by maxWorkFactor; 0 means no delay.
	WorkUS float64 `json:"work_us"`
	// KeyedShare is the share of non-idempotent requests.
	KeyedShare float64 `json:"keyed_share"`
	BodyBytes  int     `json:"body_bytes"`
	// Callers is the number of closed-loop callers, which replace the arrivals at Rate if it is set.
	Callers int `json:"closed"`
	// IdealSlots, if set, requests the latencies of one central queue with that many slots.
	IdealSlots int `json:"ideal_slots"`
	// Burst is the number of simultaneous requests, each of which takes WorkUS; their connections stay open.
	Burst int `json:"open"`
	// IdleConns is the number of connections to open in sequence, with one request each; they stay open.
	IdleConns int `json:"idle"`
	// Release closes the connections of Burst and IdleConns.
	Release bool `json:"release"`
}

// loadResponse is the result of a loadRequest; latencies are in microseconds.
type loadResponse struct {
	Sent         int            `json:"sent"`
	OK           int            `json:"ok"`
	Wrong        int            `json:"wrong"`
	Codes        map[string]int `json:"codes"`
	NotRun       []string       `json:"not_run"`
	P50          int64          `json:"p50"`
	P99          int64          `json:"p99"`
	WaitP50      int64          `json:"wait_p50"`
	WaitP99      int64          `json:"wait_p99"`
	IdealP99     int64          `json:"ideal_p99"`
	IdealWaitP99 int64          `json:"ideal_wait_p99"`
	Seconds      float64        `json:"seconds"`
	// Goodput is the number of good responses per second in the last three quarters of the run.
	Goodput float64 `json:"goodput"`
	// LagP99 is the p99 delay of the generator itself; a large value invalidates the other figures.
	LagP99 int64 `json:"lag_p99"`
	// Other is the result of the requests to OtherTarget.
	Other *loadResponse `json:"other,omitempty"`
}

type loader struct {
	client    *http.Client
	heldConns []net.Conn
	seed      atomic.Uint64
}

func newLoader() *loader {
	return &loader{client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4000, DisableCompression: true}}}
}

func runLoad() error {
	return serveLines(newLoader().handle)
}

type sample struct {
	arrival, work time.Duration
	latency       time.Duration
	lag           time.Duration
	outcome       model.Outcome
	code          string
	id            string
	ok            bool
	wrong         bool
	other         bool
}

func (l *loader) handle(req loadRequest) (loadResponse, error) {
	switch {
	case req.Release:
		l.client.CloseIdleConnections()
		for _, c := range l.heldConns {
			c.Close()
		}
		l.heldConns = nil
		return loadResponse{}, nil
	case req.IdleConns > 0:
		return l.openIdleConns(req)
	case req.Burst > 0:
		return l.sendAtOnce(req), nil
	case req.Callers > 0:
		return l.closedLoop(req), nil
	}
	return l.openLoop(req), nil
}

// openLoop sends requests with Poisson arrivals, independent of the responses.
// Latencies count from the intended arrival time.
func (l *loader) openLoop(req loadRequest) loadResponse {
	rnd := rand.New(rand.NewPCG(l.seed.Add(1), 7))
	var samples []*sample
	for at := time.Duration(0); at < req.Duration; at += time.Duration(rnd.ExpFloat64() / req.Rate * float64(time.Second)) {
		s := &sample{arrival: at, id: fmt.Sprintf("%s-%d", req.Name, len(samples))}
		if req.WorkUS > 0 {
			s.work = time.Duration(min(rnd.ExpFloat64(), maxWorkFactor) * req.WorkUS * float64(time.Microsecond))
		}
		if rnd.Float64() < req.KeyedShare {
			s.id = keyPrefix + s.id
		}
		samples = append(samples, s)
	}
	var wg sync.WaitGroup
	start := time.Now()
	for _, s := range samples {
		due := start.Add(s.arrival)
		if d := time.Until(due); d > spinWindow {
			time.Sleep(d - spinWindow)
		}
		for time.Now().Before(due) {
		}
		target := req.Targets[rnd.IntN(len(req.Targets))]
		if req.OtherTarget != "" && rnd.IntN(2) == 0 {
			s.other, target = true, req.OtherTarget
		}
		wg.Go(func() { l.send(req, s, target, due) })
	}
	wg.Wait()
	if req.OtherTarget != "" {
		return summariseByTarget(samples)
	}
	resp := summarise(samples)
	resp.Seconds = req.Duration.Seconds()
	for _, s := range samples {
		if end := s.arrival + s.latency; s.ok && end > req.Duration/4 && end <= req.Duration {
			resp.Goodput += 4 / (3 * resp.Seconds)
		}
	}
	if req.IdealSlots > 0 {
		resp.IdealP99, resp.IdealWaitP99 = centralQueueP99(samples, req.IdealSlots)
	}
	return resp
}

// closedLoop sends requests from Callers concurrent callers, each of which waits for the response before it sends the next.
func (l *loader) closedLoop(req loadRequest) loadResponse {
	var mu sync.Mutex
	var all []*sample
	var wg sync.WaitGroup
	end := time.Now().Add(req.Duration)
	for c := range req.Callers {
		wg.Go(func() {
			var own []*sample
			for i := 0; time.Now().Before(end); i++ {
				s := &sample{id: fmt.Sprintf("%s-%d-%d", req.Name, c, i)}
				l.send(req, s, req.Targets[c%len(req.Targets)], time.Now())
				own = append(own, s)
			}
			mu.Lock()
			all = append(all, own...)
			mu.Unlock()
		})
	}
	wg.Wait()
	resp := summarise(all)
	resp.Seconds = req.Duration.Seconds()
	return resp
}

// sendAtOnce sends Burst requests simultaneously and leaves their connections open.
func (l *loader) sendAtOnce(req loadRequest) loadResponse {
	var wg sync.WaitGroup
	all := make([]*sample, req.Burst)
	for i := range all {
		all[i] = &sample{id: fmt.Sprintf("%s-%d", req.Name, i), work: time.Duration(req.WorkUS) * time.Microsecond}
		wg.Go(func() { l.send(req, all[i], req.Targets[i%len(req.Targets)], time.Now()) })
	}
	wg.Wait()
	return summarise(all)
}

func (l *loader) openIdleConns(req loadRequest) (loadResponse, error) {
	resp := loadResponse{Sent: req.IdleConns}
	for i := range req.IdleConns {
		u, err := url.Parse(req.Targets[i%len(req.Targets)])
		if err != nil {
			return resp, fmt.Errorf("parse target: %w", err)
		}
		c, err := net.Dial("tcp", u.Host)
		if err != nil {
			return resp, fmt.Errorf("dial idle connection: %w", err)
		}
		l.heldConns = append(l.heldConns, c)
		if _, err := fmt.Fprintf(c, "GET %s/idle HTTP/1.1\r\nHost: x\r\n%s: %s\r\n\r\n", u.Path, entry.HeaderTeam, teamName); err != nil {
			return resp, fmt.Errorf("send on idle connection: %w", err)
		}
		httpResp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			return resp, fmt.Errorf("read on idle connection: %w", err)
		}
		httpResp.Body.Close()
		if httpResp.StatusCode == http.StatusOK {
			resp.OK++
		}
	}
	return resp, nil
}

func (l *loader) send(req loadRequest, s *sample, target string, due time.Time) {
	s.lag = time.Since(due)
	ctx, cancel := context.WithTimeout(context.Background(), req.Timeout+time.Second)
	defer cancel()
	httpReq, err := http.NewRequestWithContext(ctx, http.MethodPost, target+"/plan", strings.NewReader(strings.Repeat("x", req.BodyBytes)))
	if err != nil {
		s.code = "request"
		return
	}
	httpReq.GetBody = nil
	httpReq.Header.Set(entry.HeaderTeam, teamName)
	httpReq.Header.Set(entry.HeaderRequestID, s.id)
	httpReq.Header.Set(entry.HeaderTimeout, strconv.FormatInt(req.Timeout.Milliseconds(), 10))
	if s.work > 0 {
		httpReq.Header.Set(headerWorkTime, strconv.FormatInt(s.work.Microseconds(), 10))
	}
	if strings.HasPrefix(s.id, keyPrefix) {
		httpReq.Header.Set(entry.HeaderIdempotent, "false")
		httpReq.Header.Set(entry.HeaderIdempotencyKey, s.id)
		httpReq.Header.Set(entry.HeaderKeyTime, strconv.FormatInt(time.Now().UnixMilli(), 10))
	}
	resp, err := l.client.Do(httpReq)
	if err != nil {
		s.code, s.latency = "transport", time.Since(due)
		return
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	s.latency = time.Since(due)
	s.outcome = model.Outcome(resp.Header.Get(entry.HeaderOutcome))
	switch {
	case err != nil:
		s.code = "cut"
	case resp.StatusCode != http.StatusOK:
		s.code = errorCode(string(body), resp.StatusCode)
	default:
		s.wrong = string(body) != string(fakes.ResponseBody(s.id, 0))
		s.ok = !s.wrong && s.latency <= req.Timeout
		if !s.ok {
			s.code = "late"
		}
	}
}

func errorCode(body string, status int) string {
	if _, rest, ok := strings.Cut(body, `"code":"`); ok {
		code, _, _ := strings.Cut(rest, `"`)
		return code
	}
	return strconv.Itoa(status)
}

// summariseByTarget summarises the requests to OtherTarget separately from the others.
func summariseByTarget(samples []*sample) loadResponse {
	var rest, other []*sample
	for _, s := range samples {
		if s.other {
			other = append(other, s)
		} else {
			rest = append(rest, s)
		}
	}
	resp, o := summarise(rest), summarise(other)
	resp.Other = &o
	return resp
}

func summarise(all []*sample) loadResponse {
	resp := loadResponse{Sent: len(all), Codes: map[string]int{}}
	latency := hdrhistogram.New(1, maxLatency.Microseconds(), 3)
	wait := hdrhistogram.New(1, maxLatency.Microseconds(), 3)
	lag := hdrhistogram.New(1, maxLatency.Microseconds(), 3)
	for _, s := range all {
		record(lag, s.lag)
		if s.code != "" {
			resp.Codes[s.code]++
		}
		if s.wrong {
			resp.Wrong++
		}
		if s.outcome == model.OutcomeNotRun {
			resp.NotRun = append(resp.NotRun, s.id)
		}
		if !s.ok {
			continue
		}
		resp.OK++
		record(latency, s.latency)
		record(wait, s.latency-s.work)
	}
	resp.P50, resp.P99 = latency.ValueAtQuantile(50), latency.ValueAtQuantile(99)
	resp.LagP99 = lag.ValueAtQuantile(99)
	resp.WaitP50, resp.WaitP99 = wait.ValueAtQuantile(50), wait.ValueAtQuantile(99)
	return resp
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	h.RecordValue(min(max(1, d.Microseconds()), maxLatency.Microseconds())) //nolint:errcheck // the value is within the bounds
}

type freeTimes []time.Duration

func (f freeTimes) Len() int           { return len(f) }
func (f freeTimes) Less(i, j int) bool { return f[i] < f[j] }
func (f freeTimes) Swap(i, j int)      { f[i], f[j] = f[j], f[i] }
func (f *freeTimes) Push(v any)        { *f = append(*f, v.(time.Duration)) }
func (f *freeTimes) Pop() any {
	v := (*f)[len(*f)-1]
	*f = (*f)[:len(*f)-1]
	return v
}

// centralQueueP99 returns the p99 of latency and wait in microseconds for the same
// arrivals and service times in one central queue without overhead for all slots.
func centralQueueP99(samples []*sample, slots int) (latencyP99, waitP99 int64) {
	free := make(freeTimes, slots)
	latency := hdrhistogram.New(1, maxLatency.Microseconds(), 3)
	wait := hdrhistogram.New(1, maxLatency.Microseconds(), 3)
	for _, s := range samples {
		start := max(s.arrival, free[0])
		free[0] = start + s.work
		heap.Fix(&free, 0)
		record(latency, start+s.work-s.arrival)
		record(wait, start-s.arrival)
	}
	return latency.ValueAtQuantile(99), wait.ValueAtQuantile(99)
}
