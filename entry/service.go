package entry

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"sync"
	"time"

	"turmericroute/config"
	"turmericroute/model"
	"turmericroute/route"
)

const (
	// dispatchInterval is how often waiting requests are looked at while nothing ends.
	dispatchInterval = 5 * time.Millisecond
	// minServiceTime keeps rates finite before any request has ended.
	minServiceTime = time.Millisecond
)

// service is the state of one service in this entry.
type service struct {
	entry *Entry
	name  string

	mu                sync.Mutex
	declared          config.Service
	upstreams         []model.Upstream
	entries           int
	set               *route.Set
	queue             *route.Queue
	budget            *route.Budget
	client            *http.Client
	maxConnsPerHost   int
	cfg               config.Config
	allowedByTeam     map[string]map[string]bool // data centres by team, of cfg
	dispatchScheduled bool
}

// grant is what a waiting request gets.
type grant struct {
	lease route.Lease
	err   *model.Error
}

type queuedRequest struct {
	query   route.Query
	team    string
	granted chan grant // buffered, gets exactly one grant unless removed
}

func newService(e *Entry, name string) *service {
	e.metrics.registerQueueGauge(e, name)
	return &service{
		entry: e, name: name,
		set:           route.NewSet(e.cfg.Route),
		queue:         route.NewQueue(e.cfg.QueueLength),
		budget:        route.NewBudget(e.cfg.RetryRatio, 0),
		allowedByTeam: map[string]map[string]bool{},
	}
}

func (s *service) update(now time.Time, cfg config.Config, decl config.Service, ups []model.Upstream, entries int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.allowedByTeam = map[string]map[string]bool{}
	s.cfg, s.declared = cfg, decl
	s.upstreams, s.entries = ups, entries
	s.updateClient()
	s.updateExecutors(now)
	s.dispatch(now)
}

// setEntries takes over another number of live entries.
func (s *service) setEntries(entries int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.entries == entries {
		return
	}
	s.entries = entries
	s.updateClient()
	s.updateExecutors(s.entry.cfg.Clock.Now())
}

// updateClient sets the connections to one executor to this entry's part of what the service declares.
func (s *service) updateClient() {
	perHost := 0
	if s.declared.Connections > 0 {
		perHost = max(1, s.declared.Connections/s.entries)
	}
	if s.client != nil && s.maxConnsPerHost == perHost {
		return
	}
	if s.client != nil && s.entry.cfg.Client == nil {
		s.client.CloseIdleConnections()
	}
	s.maxConnsPerHost = perHost
	if s.client = s.entry.cfg.Client; s.client == nil {
		s.client = newClient(perHost)
	}
}

func (s *service) updateExecutors(now time.Time) {
	list := make([]route.Executor, 0, len(s.upstreams))
	for _, u := range s.upstreams {
		x := route.Executor{
			ID:         route.ID{Name: u.Name, Incarnation: u.Incarnation},
			DataCentre: u.DataCentre, Address: u.Address, HealthPath: u.HealthPath, Slots: u.Slots,
		}
		if s.declared.Slots > 0 && (x.Slots <= 0 || x.Slots > s.declared.Slots) {
			x.Slots = s.declared.Slots
		}
		x.Slots = max(1, x.Slots)
		x.Limit = x.Slots
		if s.maxConnsPerHost > 0 {
			x.Limit = min(x.Limit, s.maxConnsPerHost)
		}
		if u.Connections > 0 {
			x.Limit = min(x.Limit, max(1, u.Connections/s.entries))
		}
		list = append(list, x)
	}
	s.set.Update(now, list)
}

func (s *service) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set.Update(s.entry.cfg.Clock.Now(), nil)
	s.dispatch(s.entry.cfg.Clock.Now())
	if s.client != nil && s.entry.cfg.Client == nil {
		s.client.CloseIdleConnections()
	}
}

// allowedDataCentres returns where the team's requests to this service may go now.
func (s *service) allowedDataCentres(team string) map[string]bool {
	if a, ok := s.allowedByTeam[team]; ok {
		return a
	}
	a := map[string]bool{}
	t, ok := s.cfg.Team(team)
	for _, dc := range s.cfg.DataCentres {
		a[dc.Name] = ok && !dc.OutOfService &&
			(len(t.DataCentres) == 0 || slices.Contains(t.DataCentres, dc.Name)) &&
			(len(s.declared.DataCentres) == 0 || slices.Contains(s.declared.DataCentres, dc.Name))
	}
	s.allowedByTeam[team] = a
	return a
}

func (s *service) pace() route.Pace {
	lat := max(s.set.Latency(), minServiceTime)
	return route.Pace{PerSecond: float64(s.set.InFlight()) / lat.Seconds(), Service: s.set.Expected()}
}

// acquire chooses an executor for the request, waiting in the queue when none has a free slot.
func (s *service) acquire(ctx context.Context, q *request, tried []string) (route.Lease, *model.Error) {
	now := s.entry.cfg.Clock.Now()
	s.mu.Lock()
	query := route.Query{Near: s.entry.cfg.DataCentre, Allowed: s.allowedDataCentres(q.team), Tried: tried, Rand: s.entry.cfg.Rand}
	if s.queue.Len() == 0 {
		x, v := s.set.Pick(now, query)
		if v != route.Full {
			s.mu.Unlock()
			return x, s.verdictError(v)
		}
	}
	wt := &queuedRequest{query: query, team: q.team, granted: make(chan grant, 1)}
	w := &route.Waiter{Team: q.team, Weight: q.weight, Deadline: q.deadline, Value: wt}
	evicted, ok := s.queue.Push(now, w, s.pace())
	if evicted != nil {
		evicted.Value.(*queuedRequest).granted <- grant{err: overloadedError(s.name)}
	}
	if ok {
		s.dispatch(now)
		s.scheduleDispatch()
	}
	s.mu.Unlock()
	if !ok {
		return route.Lease{}, overloadedError(s.name)
	}
	return s.waitGrant(ctx, w, wt)
}

func (s *service) waitGrant(ctx context.Context, w *route.Waiter, wt *queuedRequest) (route.Lease, *model.Error) {
	select {
	case g := <-wt.granted:
		return g.lease, g.err
	case <-ctx.Done():
	}
	s.mu.Lock()
	removed := s.queue.Remove(w)
	s.mu.Unlock()
	if !removed {
		if g := <-wt.granted; g.err == nil {
			s.release(g.lease, route.Result{Kind: route.Dropped})
		}
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		return route.Lease{}, callerGoneError()
	}
	return route.Lease{}, overloadedError(s.name)
}

func callerGoneError() *model.Error {
	return model.NotRun(model.CodeUnavailable, "the caller went away")
}

func overloadedError(service string) *model.Error {
	return model.NotRun(model.CodeOverloaded, "service %s has no free slot before the deadline", service)
}

func (s *service) verdictError(v route.Verdict) *model.Error {
	if v == route.None {
		return model.NotRun(model.CodeNoUpstream, "service %s has no executor in use for this team", s.name)
	}
	return nil
}

// canServeInTime reports whether a request could be served in time now, without holding a place for it.
func (s *service) canServeInTime(q *request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.queue.Len() == 0 {
		return true
	}
	w := &route.Waiter{Team: q.team, Weight: q.weight, Deadline: q.deadline}
	return s.queue.Expects(s.entry.cfg.Clock.Now(), w, s.pace())
}

// release ends a request to an executor and lets waiting ones have its slot.
func (s *service) release(x route.Lease, r route.Result) {
	now := s.entry.cfg.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set.Done(now, x, r)
	s.dispatch(now)
}

// dispatch gives free slots to waiting requests; the caller holds the lock.
func (s *service) dispatch(now time.Time) {
	if s.queue.Len() == 0 {
		return
	}
	for _, w := range s.queue.Expire(now, s.set.Expected()) {
		w.Value.(*queuedRequest).granted <- grant{err: overloadedError(s.name)}
	}
	for {
		var g grant
		w := s.queue.Pop(func(w *route.Waiter) route.Choice {
			wt := w.Value.(*queuedRequest)
			wt.query.Allowed = s.allowedDataCentres(wt.team)
			x, v := s.set.Pick(now, wt.query)
			if v == route.Full {
				return route.Skip
			}
			g = grant{lease: x, err: s.verdictError(v)}
			return route.Take
		})
		if w == nil {
			return
		}
		w.Value.(*queuedRequest).granted <- g
	}
}

// scheduleDispatch looks at the queue from time to time, because estimates of load change without any request ending.
func (s *service) scheduleDispatch() {
	if s.dispatchScheduled || s.queue.Len() == 0 {
		return
	}
	s.dispatchScheduled = true
	time.AfterFunc(dispatchInterval, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.dispatchScheduled = false
		s.dispatch(s.entry.cfg.Clock.Now())
		s.scheduleDispatch()
	})
}
