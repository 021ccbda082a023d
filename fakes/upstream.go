package fakes

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"turmericroute/model"
)

// Mode selects how a fake upstream responds.
type Mode int

// The modes of a fake upstream.
const (
	// Normal runs the request and responds with the status and body size of the behaviour.
	Normal Mode = iota
	// Fail runs the request and responds with status 500.
	Fail
	// Unavailable runs the request and responds with status 503 and no outcome header.
	Unavailable
	// Refuse does not run the request and responds, after Delay, with status 503 and outcome not_run.
	Refuse
	// CutBody runs the request and closes the connection in the middle of the body.
	CutBody
	// CutHeader runs the request and closes the connection before the header of the response.
	CutHeader
	// CutChunkedBody runs the request and closes the connection in the middle of a chunked body.
	CutChunkedBody
	// ShortBody runs the request and sends fewer bytes than the response's Content-Length.
	ShortBody
	// ExtraResponse runs the request and sends a second response right after the first.
	ExtraResponse
	// NoContentLength runs the request and ends the body by closing the connection.
	NoContentLength
	// ChunkedBody runs the request and sends a chunked body.
	ChunkedBody
	// OtherRequestID runs the request and responds with the ID of another request.
	OtherRequestID
	// Hang starts the request and sends no response until the caller disconnects.
	Hang
)

// Behaviour configures how a fake upstream handles requests.
type Behaviour struct {
	Mode Mode
	// Delay is the run time of each request.
	Delay time.Duration
	// DelayFunc, when set, returns the run time of a request instead of Delay.
	DelayFunc func(*http.Request) time.Duration
	// ConnRequests is the number of requests after which a connection is closed; 0 means no limit.
	ConnRequests int
	// ResetShare is the share of connections, from 0 to 1, that are reset during one of
	// their ConnRequests requests.
	ResetShare float64
	// Status is the status of normal responses; 0 means 200.
	Status int
	// Bytes is the size of response bodies; 0 means one line that names the request.
	Bytes int
	// Unhealthy makes health checks fail with status 503.
	Unhealthy bool
}

// RequestRecord is the ledger's record of one request ID or idempotency key.
type RequestRecord struct {
	// Started and Finished count how often the request started and finished.
	Started, Finished int
	// Refused counts how often it was refused without running.
	Refused int
	// StartedAt is the time of the last start.
	StartedAt time.Time
	// Body and Header are those of the last start.
	Body   []byte
	Header http.Header
	// URL is the request target of the last start.
	URL string
}

// UpstreamConfig configures a fake upstream.
type UpstreamConfig struct {
	// Upstream is the announcement. An empty Address means a free loopback port.
	Upstream model.Upstream
	// Entries are the base URLs of the instances to which it announces itself.
	Entries []string
	// Behaviour is the initial behaviour.
	Behaviour Behaviour
	// OmitContents keeps bodies and headers out of the ledger.
	OmitContents bool
}

// Upstream is a fake upstream that listens on a loopback port.
type Upstream struct {
	cfg    UpstreamConfig
	srv    *http.Server
	client *http.Client
	inUse  atomic.Int64 // requests in flight
	conns  atomic.Int64 // open connections

	mu        sync.Mutex
	behaviour Behaviour
	ledger    map[string]RequestRecord
	maxInUse  int
	maxConns  int64
}

// StartUpstream starts a fake upstream; Close stops it.
func StartUpstream(cfg UpstreamConfig) (*Upstream, error) {
	addr := cfg.Upstream.Address
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("listen for fake upstream: %w", err)
	}
	cfg.Upstream.Address = ln.Addr().String()
	u := &Upstream{cfg: cfg, behaviour: cfg.Behaviour, ledger: map[string]RequestRecord{}, client: &http.Client{Timeout: 2 * time.Second}}
	u.srv = &http.Server{Handler: http.HandlerFunc(u.serve), ConnState: u.connState, ConnContext: newConnPlan}
	go u.srv.Serve(ln) //nolint:errcheck // returns after Close
	return u, nil
}

// Upstream returns the announcement.
func (u *Upstream) Upstream() model.Upstream { return u.cfg.Upstream }

// Close stops the upstream and closes its connections at once.
func (u *Upstream) Close() { _ = u.srv.Close() }

// SetBehaviour replaces the behaviour for later requests.
func (u *Upstream) SetBehaviour(b Behaviour) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.behaviour = b
}

func (u *Upstream) currentBehaviour() Behaviour {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.behaviour
}

// Ledger returns a copy of the ledger. Requests are listed by their idempotency key,
// or by their request ID when they have none.
func (u *Upstream) Ledger() map[string]RequestRecord {
	u.mu.Lock()
	defer u.mu.Unlock()
	records := make(map[string]RequestRecord, len(u.ledger))
	for k, v := range u.ledger {
		records[k] = v
	}
	return records
}

// InUse returns the number of requests in flight, including those that are being refused.
func (u *Upstream) InUse() int { return int(u.inUse.Load()) }

// ResetLedger empties the ledger and restarts the maxima.
func (u *Upstream) ResetLedger() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.ledger, u.maxInUse, u.maxConns = map[string]RequestRecord{}, 0, u.conns.Load()
}

// MaxInUse returns the highest number of slots that were in use at the same time.
func (u *Upstream) MaxInUse() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.maxInUse
}

// MaxConnections returns the highest number of connections that were open at the same time.
func (u *Upstream) MaxConnections() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return int(u.maxConns)
}

func (u *Upstream) connState(_ net.Conn, st http.ConnState) {
	switch st {
	case http.StateNew:
		n := u.conns.Add(1)
		u.mu.Lock()
		u.maxConns = max(u.maxConns, n)
		u.mu.Unlock()
	case http.StateClosed, http.StateHijacked:
		u.conns.Add(-1)
	}
}

// record calls update with the ledger's record of a key.
func (u *Upstream) record(key string, update func(*RequestRecord)) {
	u.mu.Lock()
	defer u.mu.Unlock()
	r := u.ledger[key]
	update(&r)
	u.ledger[key] = r
}

// serve handles health checks and requests.
func (u *Upstream) serve(w http.ResponseWriter, r *http.Request) {
	b := u.currentBehaviour()
	healthPath := u.cfg.Upstream.HealthPath
	if healthPath == "" {
		healthPath = model.DefaultHealthPath
	}
	if r.URL.Path == healthPath {
		u.setLoadHeader(w)
		if b.Unhealthy {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	key := r.Header.Get("Turmericroute-Key")
	if key == "" {
		key = r.Header.Get("Turmericroute-Request-Id")
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	n := int(u.inUse.Add(1))
	defer u.inUse.Add(-1)
	if b.ConnRequests > 0 {
		plan := connPlanOf(r.Context())
		plan.startRequest(w, b)
		defer plan.endRequest()
	}
	if b.Mode == Refuse && !u.waitDelay(r, b) {
		return
	}
	if b.Mode == Refuse || n > u.cfg.Upstream.Slots {
		u.refuse(w, key)
		return
	}
	header := r.Header
	if u.cfg.OmitContents {
		body, header = nil, nil
	}
	u.mu.Lock()
	u.maxInUse = max(u.maxInUse, n)
	u.mu.Unlock()
	u.record(key, func(rec *RequestRecord) {
		rec.Started++
		rec.StartedAt, rec.Body, rec.Header, rec.URL = time.Now(), body, header, r.RequestURI
	})
	if !u.waitDelay(r, b) {
		return
	}
	u.record(key, func(rec *RequestRecord) { rec.Finished++ })
	u.respond(w, r, key, b)
}

// setLoadHeader reports the slots in use and in total.
func (u *Upstream) setLoadHeader(w http.ResponseWriter) {
	w.Header().Set("Turmericroute-Load", fmt.Sprintf("%d/%d", min(int(u.inUse.Load()), u.cfg.Upstream.Slots), u.cfg.Upstream.Slots))
}

// refuse records a refusal and responds with outcome not_run.
func (u *Upstream) refuse(w http.ResponseWriter, key string) {
	u.record(key, func(rec *RequestRecord) { rec.Refused++ })
	u.setLoadHeader(w)
	w.Header().Set("Turmericroute-Outcome", string(model.OutcomeNotRun))
	w.WriteHeader(http.StatusServiceUnavailable)
}

// waitDelay waits for the run time of the request. It returns false when the caller
// disconnects first.
func (u *Upstream) waitDelay(r *http.Request, b Behaviour) bool {
	d := b.Delay
	if b.DelayFunc != nil {
		d = b.DelayFunc(r)
	}
	if b.Mode == Hang {
		d = time.Hour
	}
	if d <= 0 {
		return true
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

// ResponseBody returns the body of size bytes with which a fake upstream responds to
// the request with an ID or key. A size of 0 gives one line.
func ResponseBody(key string, size int) []byte {
	line := []byte("ran " + key + "\n")
	if size <= 0 {
		return line
	}
	return bytes.Repeat(line, size/len(line)+1)[:size]
}

// respond writes the response that the mode selects.
func (u *Upstream) respond(w http.ResponseWriter, r *http.Request, key string, b Behaviour) {
	u.setLoadHeader(w)
	body := ResponseBody(key, b.Bytes)
	switch b.Mode {
	case Fail:
		w.WriteHeader(http.StatusInternalServerError)
		w.Write(body)
	case Unavailable:
		w.WriteHeader(http.StatusServiceUnavailable)
	case OtherRequestID:
		w.Header().Set("Turmericroute-Request-Id", "other-"+key)
		w.Write(body)
	case CutHeader:
		panic(http.ErrAbortHandler)
	case CutBody, ShortBody:
		w.Header().Set("Content-Length", fmt.Sprint(len(body)))
		w.Write(body[:len(body)/2])
		http.NewResponseController(w).Flush() //nolint:errcheck // the connection is cut next
		panic(http.ErrAbortHandler)
	case CutChunkedBody:
		w.Write(body[:len(body)/2])
		http.NewResponseController(w).Flush() //nolint:errcheck // the connection is cut next
		panic(http.ErrAbortHandler)
	case ExtraResponse, NoContentLength:
		u.respondRaw(w, body, b.Mode)
	case ChunkedBody:
		http.NewResponseController(w).Flush() //nolint:errcheck // the write fails too
		w.Write(body)
	default:
		w.Header().Set("Content-Length", fmt.Sprint(len(body)))
		if b.Status != 0 {
			w.WriteHeader(b.Status)
		}
		if r.Method != http.MethodHead {
			w.Write(body)
		}
	}
}

// respondRaw writes responses that a net/http server cannot produce.
func (u *Upstream) respondRaw(w http.ResponseWriter, body []byte, mode Mode) {
	c, rw, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer c.Close()
	if mode == NoContentLength {
		fmt.Fprintf(rw, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n%s", body)
		rw.Flush() //nolint:errcheck // the connection is closed next
		return
	}
	wrong := "wrong answer"
	fmt.Fprintf(rw, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	fmt.Fprintf(rw, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(wrong), wrong)
	if rw.Flush() != nil {
		return
	}
	// Keep the connection open, so that the caller can take the extra response for that
	// to its next request.
	c.SetReadDeadline(time.Now().Add(time.Second))  //nolint:errcheck // the copy ends in any case
	io.Copy(io.Discard, io.LimitReader(rw, 64<<10)) //nolint:errcheck // only waits for the deadline
}

// Announce announces the upstream to the first of the entries that accepts it.
func (u *Upstream) Announce(ctx context.Context) error {
	return u.post(ctx, "announce", u.cfg.Upstream)
}

// Leave announces to one of the entries that this incarnation leaves.
func (u *Upstream) Leave(ctx context.Context) error {
	return u.post(ctx, "leave", map[string]uint64{"incarnation": u.cfg.Upstream.Incarnation})
}

// post sends v to the entries in turn until one responds with a status below 300. It
// returns the last error when none does.
func (u *Upstream) post(ctx context.Context, action string, v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return fmt.Errorf("encode %s: %w", action, err)
	}
	lastErr := fmt.Errorf("no entry is configured")
	for _, base := range u.cfg.Entries {
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, base+"/v1/upstreams/"+u.cfg.Upstream.Name+"/"+action, bytes.NewReader(b))
		if err != nil {
			return fmt.Errorf("create request to %s: %w", base, err)
		}
		req.Header.Set("Content-Type", "application/json")
		resp, err := u.client.Do(req)
		if err != nil {
			lastErr = fmt.Errorf("%s at %s: %w", action, base, err)
			continue
		}
		io.Copy(io.Discard, resp.Body) //nolint:errcheck // only the status matters
		resp.Body.Close()
		if resp.StatusCode < 300 {
			return nil
		}
		lastErr = fmt.Errorf("%s at %s: status %d", action, base, resp.StatusCode)
	}
	return lastErr
}

// Heartbeat announces the upstream at every interval until ctx ends. It ignores
// failures, since the next interval retries.
func (u *Upstream) Heartbeat(ctx context.Context, interval time.Duration) {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		u.Announce(ctx) //nolint:errcheck // retried at the next interval
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}
