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

// Mode is how a fake upstream answers.
type Mode int

// The modes.
const (
	// Normal answers with the size and status of the behaviour.
	Normal Mode = iota
	// Fail runs the request and answers 500.
	Fail
	// Unavailable runs the request and answers 503 without saying that it did not.
	Unavailable
	// Refuse runs nothing and answers 503 with outcome not_run.
	Refuse
	// CutBody runs the request and closes the connection in the middle of the body.
	CutBody
	// CutHeader runs the request and closes the connection before any answer.
	CutHeader
	// CutChunkedBody runs the request and closes the connection in the middle of a chunked body.
	CutChunkedBody
	// ShortBody runs the request and declares more bytes than it sends.
	ShortBody
	// ExtraResponse runs the request and sends a second answer after the declared bytes.
	ExtraResponse
	// NoContentLength runs the request and ends the answer by closing the connection.
	NoContentLength
	// ChunkedBody runs the request and answers in chunks.
	ChunkedBody
	// OtherRequestID runs the request and sends an answer that names another one.
	OtherRequestID
	// Hang runs the request and answers nothing until the caller goes away.
	Hang
)

// Behaviour says how a fake upstream treats requests.
type Behaviour struct {
	Mode  Mode
	Delay time.Duration
	// DelayFunc gives the time of each request when set, instead of Delay.
	DelayFunc func(*http.Request) time.Duration
	// ConnRequests ends each connection after so many requests; 0 means never.
	ConnRequests int
	// ResetShare is the share of connections that are reset during one of their ConnRequests requests.
	ResetShare float64
	Status     int
	// Bytes is the size of the answer's body; 0 means that the body names the request.
	Bytes int
	// Unhealthy makes the health path answer 503.
	Unhealthy bool
}

// RequestRecord is what the ledger holds of one request ID or key.
type RequestRecord struct {
	// Started and Finished count the times that the request began and ended here.
	Started, Finished int
	// Refused counts the times that it was refused without running.
	Refused int
	// StartedAt is the time of the last start.
	StartedAt time.Time
	// Body and Header are those of the last start.
	Body   []byte
	Header http.Header
	// URL is the request target of the last start.
	URL string
}

// UpstreamConfig describes a fake upstream.
type UpstreamConfig struct {
	Upstream model.Upstream // Address may be empty: a loopback port is chosen
	// Entries are the base URLs that it announces itself to.
	Entries []string
	// Behaviour is how it starts.
	Behaviour Behaviour
	// OmitContents drops bodies and headers from the ledger.
	OmitContents bool
}

// Upstream is a fake executor on a loopback port.
type Upstream struct {
	cfg    UpstreamConfig
	srv    *http.Server
	client *http.Client
	inUse  atomic.Int64
	conns  atomic.Int64

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
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("listen for fake upstream: %w", err)
	}
	cfg.Upstream.Address = l.Addr().String()
	u := &Upstream{cfg: cfg, behaviour: cfg.Behaviour, ledger: map[string]RequestRecord{}, client: &http.Client{Timeout: 2 * time.Second}}
	u.srv = &http.Server{Handler: http.HandlerFunc(u.serve), ConnState: u.connState, ConnContext: newConnPlan}
	go u.srv.Serve(l) //nolint:errcheck // ends with Close
	return u, nil
}

// Upstream returns the announcement.
func (u *Upstream) Upstream() model.Upstream { return u.cfg.Upstream }

// Close stops the fake at once, with all connections.
func (u *Upstream) Close() { _ = u.srv.Close() }

// SetBehaviour changes the behaviour.
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

// Ledger returns what has run, by key if the request had one and else by request ID.
func (u *Upstream) Ledger() map[string]RequestRecord {
	u.mu.Lock()
	defer u.mu.Unlock()
	out := make(map[string]RequestRecord, len(u.ledger))
	for k, v := range u.ledger {
		out[k] = v
	}
	return out
}

// InUse returns the requests that are here now, refused ones included.
func (u *Upstream) InUse() int { return int(u.inUse.Load()) }

// ResetLedger empties the ledger.
func (u *Upstream) ResetLedger() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.ledger, u.maxInUse, u.maxConns = map[string]RequestRecord{}, 0, u.conns.Load()
}

// MaxInUse returns the most slots that were in use at once.
func (u *Upstream) MaxInUse() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.maxInUse
}

// MaxConnections returns the most connections that were open at once.
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

func (u *Upstream) record(key string, change func(*RequestRecord)) {
	u.mu.Lock()
	defer u.mu.Unlock()
	r := u.ledger[key]
	change(&r)
	u.ledger[key] = r
}

func (u *Upstream) serve(w http.ResponseWriter, r *http.Request) {
	b := u.currentBehaviour()
	health := u.cfg.Upstream.HealthPath
	if health == "" {
		health = model.DefaultHealthPath
	}
	if r.URL.Path == health {
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
	u.record(key, func(run *RequestRecord) {
		run.Started++
		run.StartedAt, run.Body, run.Header, run.URL = time.Now(), body, header, r.RequestURI
	})
	if !u.waitDelay(r, b) {
		return
	}
	u.record(key, func(run *RequestRecord) { run.Finished++ })
	u.respond(w, r, key, b)
}

func (u *Upstream) setLoadHeader(w http.ResponseWriter) {
	w.Header().Set("Turmericroute-Load", fmt.Sprintf("%d/%d", min(int(u.inUse.Load()), u.cfg.Upstream.Slots), u.cfg.Upstream.Slots))
}

func (u *Upstream) refuse(w http.ResponseWriter, key string) {
	u.record(key, func(run *RequestRecord) { run.Refused++ })
	u.setLoadHeader(w)
	w.Header().Set("Turmericroute-Outcome", string(model.OutcomeNotRun))
	w.WriteHeader(http.StatusServiceUnavailable)
}

// waitDelay takes the time of the request; false when the caller went away before its end.
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

// ResponseBody returns the body that a fake answers to the request with the ID or key.
func ResponseBody(key string, size int) []byte {
	line := []byte("ran " + key + "\n")
	if size <= 0 {
		return line
	}
	return bytes.Repeat(line, size/len(line)+1)[:size]
}

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
		http.NewResponseController(w).Flush() //nolint:errcheck // a failure shows in the write
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

// respondRaw writes answers that net/http would not.
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
	// The connection stays open so that the surplus can be taken for the next answer.
	c.SetReadDeadline(time.Now().Add(time.Second))  //nolint:errcheck // the read ends anyway
	io.Copy(io.Discard, io.LimitReader(rw, 64<<10)) //nolint:errcheck // only waits
}

// Announce tells one of the entries of this upstream, the first that accepts.
func (u *Upstream) Announce(ctx context.Context) error {
	return u.post(ctx, "announce", u.cfg.Upstream)
}

// Leave announces the departure of this incarnation.
func (u *Upstream) Leave(ctx context.Context) error {
	return u.post(ctx, "leave", map[string]uint64{"incarnation": u.cfg.Upstream.Incarnation})
}

func (u *Upstream) post(ctx context.Context, action string, v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return fmt.Errorf("encode %s: %w", action, err)
	}
	last := fmt.Errorf("no entry to tell")
	for _, base := range u.cfg.Entries {
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, base+"/v1/upstreams/"+u.cfg.Upstream.Name+"/"+action, bytes.NewReader(b))
		if err != nil {
			return fmt.Errorf("make request to %s: %w", base, err)
		}
		req.Header.Set("Content-Type", "application/json")
		resp, err := u.client.Do(req)
		if err != nil {
			last = fmt.Errorf("%s at %s: %w", action, base, err)
			continue
		}
		io.Copy(io.Discard, resp.Body) //nolint:errcheck // only the status counts
		resp.Body.Close()
		if resp.StatusCode < 300 {
			return nil
		}
		last = fmt.Errorf("%s at %s: status %d", action, base, resp.StatusCode)
	}
	return last
}

// Heartbeat announces again every interval until ctx ends; failures are tried again at the next one.
func (u *Upstream) Heartbeat(ctx context.Context, interval time.Duration) {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		u.Announce(ctx) //nolint:errcheck // tried again
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}
