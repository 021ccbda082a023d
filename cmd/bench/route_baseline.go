package main

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"turmericroute/model"
	"turmericroute/state"
)

// commitDelay simulates a majority commit between data centres 0.5 ms apart: one round trip and one sync.
const commitDelay = 2 * time.Millisecond

// memoryReplica is a replica shared by all entries, which applies commands to an
// in-memory state machine after commitDelay.
type memoryReplica struct {
	machine  *state.Machine
	mu       sync.Mutex
	index    uint64
	commits  atomic.Int64
	commitNS atomic.Int64
}

func (r *memoryReplica) apply(c state.Command) state.Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.index++
	return r.machine.Apply(r.index, c)
}

func (r *memoryReplica) Execute(_ context.Context, c state.Command) (state.Result, error) {
	start := time.Now()
	time.Sleep(commitDelay)
	res := r.apply(c)
	r.commits.Add(1)
	r.commitNS.Add(int64(time.Since(start)))
	return res, nil
}

func (r *memoryReplica) ExecuteIn(ctx context.Context, _ uint64, c state.Command) (state.Result, error) {
	return r.Execute(ctx, c)
}

func (r *memoryReplica) Barrier(context.Context) error { return nil }
func (r *memoryReplica) Machine() *state.Machine       { return r.machine }
func (r *memoryReplica) ViewAge() time.Duration        { return 0 }
func (r *memoryReplica) Status() state.ReplicaStatus   { return state.ReplicaStatus{} }
func (r *memoryReplica) Poll(context.Context, model.PollRequest) (model.PollResponse, error) {
	return model.PollResponse{}, model.NotRun(model.CodeNoLeader, "no leader")
}

const (
	// maxBaselineAttempts bounds how often the baseline sends a request.
	maxBaselineAttempts = 4
	// baselineRefreshInterval is the interval at which the baseline reads the list of executors.
	baselineRefreshInterval = time.Second
)

// baseline is a round-robin proxy that retries failed requests immediately, without
// retry budget, queue, probes or ejection.
type baseline struct {
	machine  *state.Machine
	client   *http.Client
	next     atomic.Uint64
	attempts *atomic.Int64

	mu        sync.Mutex
	cached    []model.Upstream
	refreshed time.Time
}

func newBaseline(m *state.Machine, attempts *atomic.Int64) *baseline {
	return &baseline{machine: m, attempts: attempts, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8, DisableCompression: true}}}
}

func (b *baseline) executors() []model.Upstream {
	b.mu.Lock()
	defer b.mu.Unlock()
	if time.Since(b.refreshed) > baselineRefreshInterval {
		b.refreshed = time.Now()
		b.cached = nil
		cfg := b.machine.Config()
		for _, u := range b.machine.Upstreams() {
			if !u.Left && cfg.InService(u.DataCentre) {
				b.cached = append(b.cached, u)
			}
		}
	}
	return b.cached
}

// ServeHTTP forwards one request to up to maxBaselineAttempts executors in turn.
func (b *baseline) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	_, path, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/v1/services/"), "/")
	for range maxBaselineAttempts {
		list := b.executors()
		u := list[b.next.Add(1)%uint64(len(list))]
		b.attempts.Add(1)
		if b.forward(w, r, "http://"+u.Address+"/"+path, body) {
			return
		}
	}
	w.Header().Set("Turmericroute-Outcome", "unknown")
	w.WriteHeader(http.StatusBadGateway)
}

// forward sends a request to url and copies the response to w. It reports false, with
// nothing written, if the request failed or the status is 500 or above.
func (b *baseline) forward(w http.ResponseWriter, r *http.Request, url string, body []byte) bool {
	req, err := http.NewRequestWithContext(r.Context(), r.Method, url, bytes.NewReader(body))
	if err != nil {
		return false
	}
	req.Header = r.Header.Clone()
	req.Header.Del("Idempotency-Key")
	if k := r.Header.Get("Idempotency-Key"); k != "" {
		req.Header.Set("Turmericroute-Key", k)
	}
	resp, err := b.client.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	respBody, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode >= 500 {
		return false
	}
	for k, v := range resp.Header {
		w.Header()[k] = v
	}
	w.WriteHeader(resp.StatusCode)
	w.Write(respBody)
	return true
}
