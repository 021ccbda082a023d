package entry

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"turmericroute/model"
	"turmericroute/route"
	"turmericroute/state"
)

const (
	// probeCheckInterval is how often due probes are started.
	probeCheckInterval = 50 * time.Millisecond
	// probeJitter is the fraction of the probe interval over which probes are spread.
	probeJitter = 0.2
	// maxProbeResponseBytes bounds the bytes that are read of the response to a probe.
	maxProbeResponseBytes = 4 << 10
	// reachedProbeIntervals is the number of probe intervals within which a success of any executor
	// shows that this entry's own network works.
	reachedProbeIntervals = 3
)

// probe is the schedule of one executor's health probes.
type probe struct {
	id         route.ID
	next       time.Time
	inProgress bool
	// completed is set once a probe has ended, successfully or not.
	completed bool
}

// Run probes executors, applies changes of the local state and, on the leader's instance, removes
// upstreams that stay unreachable. It returns when ctx ends.
func (e *Entry) Run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	tick := time.NewTicker(probeCheckInterval)
	defer tick.Stop()
	lastRemoval := time.Time{}
	for {
		changed := e.cfg.Replica.Machine().Changed()
		e.refresh(false)
		now := e.cfg.Clock.Now()
		e.startProbes(ctx, &wg, now)
		if now.Sub(lastRemoval) >= e.cfg.ProbeInterval {
			lastRemoval = now
			e.removeUnreachable(ctx, &wg, now)
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
			// Coalesces changes: under load they come faster than they need to be applied.
			select {
			case <-ctx.Done():
				return
			case <-tick.C:
			}
		case <-tick.C:
		}
	}
}

// startProbes starts the probes that are due and forgets executors that no longer exist.
func (e *Entry) startProbes(ctx context.Context, wg *sync.WaitGroup, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	current := map[string]bool{}
	for _, s := range e.services {
		for _, x := range s.executors() {
			current[x.Name] = true
			p := e.probes[x.Name]
			if p == nil || p.id != x.ID {
				p = &probe{id: x.ID, next: now}
				e.probes[x.Name] = p
			}
			if p.inProgress || now.Before(p.next) {
				continue
			}
			p.inProgress = true
			wg.Add(1)
			go func() {
				defer wg.Done()
				e.probe(ctx, s, x)
				e.mu.Lock()
				defer e.mu.Unlock()
				p.inProgress, p.completed = false, true
				p.next = now.Add(time.Duration(float64(e.cfg.ProbeInterval) * (1 + probeJitter*(e.cfg.Rand()-0.5))))
			}()
		}
	}
	for name := range e.probes {
		if !current[name] {
			delete(e.probes, name)
		}
	}
}

func (s *service) executors() []route.Executor {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.set.Executors()
}

// probe checks the health of an executor once and records the result.
func (e *Entry) probe(ctx context.Context, s *service, x route.Executor) {
	ctx, cancel := context.WithTimeout(ctx, e.cfg.ProbeTimeout)
	defer cancel()
	ct := &connTrace{entry: e, method: http.MethodGet, pickedAt: e.cfg.Clock.Now(), probe: true}
	load, err := fetchHealth(ct.withTrace(ctx), s.httpClient(), x)
	if err != nil {
		e.metrics.probeFailures.Inc()
	}
	now := e.cfg.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set.Probe(now, x.ID, err == nil, load)
	s.dispatch(now)
}

// fetchHealth requests an executor's health path. It returns the load that the executor reports, nil
// when it reports none, and an error unless the status is 200.
func fetchHealth(ctx context.Context, client *http.Client, x route.Executor) (*route.Load, error) {
	path := x.HealthPath
	if path == "" {
		path = model.DefaultHealthPath
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+x.Address+path, nil)
	if err != nil {
		return nil, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxProbeResponseBytes)); err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, model.NotRun(model.CodeUnavailable, "health check returned status %d", resp.StatusCode)
	}
	return ParseLoad(resp.Header.Get(HeaderLoad)), nil
}

// removeUnreachable removes, on the leader's instance, upstreams that stay unreachable. It removes
// none while no executor at all is reached, since the fault is then likely this instance's network.
func (e *Entry) removeUnreachable(ctx context.Context, wg *sync.WaitGroup, now time.Time) {
	status := e.cfg.Replica.Status()
	if status.Leader == "" || status.Leader != status.Name {
		return
	}
	var unreachable []route.ID
	reached := false
	e.mu.Lock()
	for _, s := range e.services {
		s.mu.Lock()
		unreachable = append(unreachable, s.set.Unreachable(now, e.cfg.RemoveAfter)...)
		reached = reached || s.set.HasRecentSuccess(now, reachedProbeIntervals*e.cfg.ProbeInterval)
		s.mu.Unlock()
	}
	e.mu.Unlock()
	if !reached {
		return
	}
	for _, id := range unreachable {
		wg.Add(1)
		go func() {
			defer wg.Done()
			ctx, cancel := context.WithTimeout(ctx, e.cfg.ProbeInterval)
			defer cancel()
			_, err := e.cfg.Replica.Execute(ctx, state.LeaveUpstream{Name: id.Name, Incarnation: id.Incarnation})
			e.cfg.Logger.Log("event", "unreachable_upstream_removed", "upstream", id.Name, "incarnation", id.Incarnation, "err", err)
		}()
	}
}
