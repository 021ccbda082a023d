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
	// spinWithin is how long before an arrival the generator stops sleeping; a sleep
	// ends late by about this much.
	spinWithin = 200 * time.Microsecond
	maxLatency = time.Minute
)

// loadRequest describes one piece of load.
type loadRequest struct {
	Name string `json:"name"`
	// Targets are base URLs up to and without the path; requests go to them at random.
	Targets []string `json:"targets"`
	// Other gets half of the requests at random when set; they are summarised apart.
	Other   string        `json:"other"`
	Rate    float64       `json:"rate"`
	For     time.Duration `json:"for"`
	Timeout time.Duration `json:"timeout"`
	// WorkUS is the mean of the exponential time at the executor, cut at maxWork, 0 for none.
	WorkUS float64 `json:"work_us"`
	// KeyedShare is the share of non-idempotent requests.
	KeyedShare float64 `json:"keyed_share"`
	BodyBytes  int     `json:"body_bytes"`
	// Closed sends with that many callers one after the other instead of at Rate.
	Closed int `json:"closed"`
	// IdealSlots asks for the latencies of one central queue with that many slots.
	IdealSlots int `json:"ideal_slots"`
	// Open opens connections with one request each, which takes WorkUS, and keeps them.
	Open int `json:"open"`
	// Idle opens connections one after the other with one request each and keeps them.
	Idle int `json:"idle"`
	// Release closes the connections of Open and Idle.
	Release bool `json:"release"`
}

// loadResponse is what came of a piece of load; times are in microseconds.
type loadResponse struct {
	Sent      int            `json:"sent"`
	OK        int            `json:"ok"`
	Wrong     int            `json:"wrong"`
	Codes     map[string]int `json:"codes"`
	NotRun    []string       `json:"not_run"`
	P50       int64          `json:"p50"`
	P99       int64          `json:"p99"`
	WaitP50   int64          `json:"wait_p50"`
	WaitP99   int64          `json:"wait_p99"`
	IdealP99  int64          `json:"ideal_p99"`
	IdealWait int64          `json:"ideal_wait_p99"`
	Seconds   float64        `json:"seconds"`
	// Goodput is the good answers a second in the last three quarters of the time.
	Goodput float64 `json:"goodput"`
	// LagP99 is how late the generator itself was; a large one spoils the other figures.
	LagP99 int64 `json:"lag_p99"`
	// Other is what came of the requests to Other.
	Other *loadResponse `json:"other,omitempty"`
}

type loader struct {
	client *http.Client
	held   []net.Conn
	seed   atomic.Uint64
}

func newLoader() *loader {
	return &loader{client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4000, DisableCompression: true}}}
}

func runLoad() error {
	return answerLines(newLoader().serve)
}

type sample struct {
	at, work time.Duration
	latency  time.Duration
	lag      time.Duration
	outcome  model.Outcome
	code     string
	id       string
	ok       bool
	wrong    bool
	other    bool
}

func (l *loader) serve(req loadRequest) (loadResponse, error) {
	switch {
	case req.Release:
		l.client.CloseIdleConnections()
		for _, c := range l.held {
			c.Close()
		}
		l.held = nil
		return loadResponse{}, nil
	case req.Idle > 0:
		return l.idle(req)
	case req.Open > 0:
		return l.open(req), nil
	case req.Closed > 0:
		return l.closed(req), nil
	}
	return l.openLoop(req), nil
}

// openLoop sends at Poisson times whatever the answers do; latencies count from the intended time.
func (l *loader) openLoop(req loadRequest) loadResponse {
	rnd := rand.New(rand.NewPCG(l.seed.Add(1), 7))
	var plan []*sample
	for at := time.Duration(0); at < req.For; at += time.Duration(rnd.ExpFloat64() / req.Rate * float64(time.Second)) {
		s := &sample{at: at, id: fmt.Sprintf("%s-%d", req.Name, len(plan))}
		if req.WorkUS > 0 {
			s.work = time.Duration(min(rnd.ExpFloat64(), maxWork) * req.WorkUS * float64(time.Microsecond))
		}
		if rnd.Float64() < req.KeyedShare {
			s.id = keyPrefix + s.id
		}
		plan = append(plan, s)
	}
	var wg sync.WaitGroup
	start := time.Now()
	for _, s := range plan {
		due := start.Add(s.at)
		if d := time.Until(due); d > spinWithin {
			time.Sleep(d - spinWithin)
		}
		for time.Now().Before(due) {
		}
		target := req.Targets[rnd.IntN(len(req.Targets))]
		if req.Other != "" && rnd.IntN(2) == 0 {
			s.other, target = true, req.Other
		}
		wg.Go(func() { l.send(req, s, target, due) })
	}
	wg.Wait()
	if req.Other != "" {
		return summariseApart(plan)
	}
	resp := summarise(plan)
	resp.Seconds = req.For.Seconds()
	for _, s := range plan {
		if end := s.at + s.latency; s.ok && end > req.For/4 && end <= req.For {
			resp.Goodput += 4 / (3 * resp.Seconds)
		}
	}
	if req.IdealSlots > 0 {
		resp.IdealP99, resp.IdealWait = ideal(plan, req.IdealSlots)
	}
	return resp
}

func (l *loader) closed(req loadRequest) loadResponse {
	var mu sync.Mutex
	var all []*sample
	var wg sync.WaitGroup
	end := time.Now().Add(req.For)
	for c := range req.Closed {
		wg.Go(func() {
			var mine []*sample
			for i := 0; time.Now().Before(end); i++ {
				s := &sample{id: fmt.Sprintf("%s-%d-%d", req.Name, c, i)}
				l.send(req, s, req.Targets[c%len(req.Targets)], time.Now())
				mine = append(mine, s)
			}
			mu.Lock()
			all = append(all, mine...)
			mu.Unlock()
		})
	}
	wg.Wait()
	resp := summarise(all)
	resp.Seconds = req.For.Seconds()
	return resp
}

// open sends Open requests at once and leaves their connections open.
func (l *loader) open(req loadRequest) loadResponse {
	var wg sync.WaitGroup
	all := make([]*sample, req.Open)
	for i := range all {
		all[i] = &sample{id: fmt.Sprintf("%s-%d", req.Name, i), work: time.Duration(req.WorkUS) * time.Microsecond}
		wg.Go(func() { l.send(req, all[i], req.Targets[i%len(req.Targets)], time.Now()) })
	}
	wg.Wait()
	return summarise(all)
}

func (l *loader) idle(req loadRequest) (loadResponse, error) {
	resp := loadResponse{Sent: req.Idle}
	for i := range req.Idle {
		u, err := url.Parse(req.Targets[i%len(req.Targets)])
		if err != nil {
			return resp, fmt.Errorf("parse target: %w", err)
		}
		c, err := net.Dial("tcp", u.Host)
		if err != nil {
			return resp, fmt.Errorf("open idle connection: %w", err)
		}
		l.held = append(l.held, c)
		if _, err := fmt.Fprintf(c, "GET %s/idle HTTP/1.1\r\nHost: x\r\n%s: %s\r\n\r\n", u.Path, entry.HeaderTeam, teamName); err != nil {
			return resp, fmt.Errorf("send on idle connection: %w", err)
		}
		answer, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			return resp, fmt.Errorf("read on idle connection: %w", err)
		}
		answer.Body.Close()
		if answer.StatusCode == http.StatusOK {
			resp.OK++
		}
	}
	return resp, nil
}

func (l *loader) send(req loadRequest, s *sample, target string, due time.Time) {
	s.lag = time.Since(due)
	ctx, cancel := context.WithTimeout(context.Background(), req.Timeout+time.Second)
	defer cancel()
	hr, err := http.NewRequestWithContext(ctx, http.MethodPost, target+"/plan", strings.NewReader(strings.Repeat("x", req.BodyBytes)))
	if err != nil {
		s.code = "request"
		return
	}
	hr.GetBody = nil
	hr.Header.Set(entry.HeaderTeam, teamName)
	hr.Header.Set(entry.HeaderRequestID, s.id)
	hr.Header.Set(entry.HeaderTimeout, strconv.FormatInt(req.Timeout.Milliseconds(), 10))
	if s.work > 0 {
		hr.Header.Set(headerWork, strconv.FormatInt(s.work.Microseconds(), 10))
	}
	if strings.HasPrefix(s.id, keyPrefix) {
		hr.Header.Set(entry.HeaderIdempotent, "false")
		hr.Header.Set(entry.HeaderIdempotencyKey, s.id)
		hr.Header.Set(entry.HeaderKeyTime, strconv.FormatInt(time.Now().UnixMilli(), 10))
	}
	resp, err := l.client.Do(hr)
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

// summariseApart summarises the requests to Other and the rest.
func summariseApart(plan []*sample) loadResponse {
	var rest, other []*sample
	for _, s := range plan {
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
	h.RecordValue(min(max(1, d.Microseconds()), maxLatency.Microseconds())) //nolint:errcheck // always within the bounds
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

// ideal computes the p99 of latency and wait of the same arrivals and times in one central queue
// that sees all slots and costs nothing.
func ideal(plan []*sample, slots int) (latencyP99, waitP99 int64) {
	free := make(freeTimes, slots)
	latency := hdrhistogram.New(1, maxLatency.Microseconds(), 3)
	wait := hdrhistogram.New(1, maxLatency.Microseconds(), 3)
	for _, s := range plan {
		begin := max(s.at, free[0])
		free[0] = begin + s.work
		heap.Fix(&free, 0)
		record(latency, begin+s.work-s.at)
		record(wait, begin-s.at)
	}
	return latency.ValueAtQuantile(99), wait.ValueAtQuantile(99)
}
