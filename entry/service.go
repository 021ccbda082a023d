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
	e    *Entry
	name string

	mu        sync.Mutex
	decl      config.Service
	upstreams []model.Upstream
	entries   int
	set       *route.Set
	queue     *route.Queue
	budget    *route.Budget
	client    *http.Client
	perHost   int
	cfg       config.Config
	allowed   map[string]map[string]bool // data centres by team, of cfg
	ticking   bool
}

// grant is what a waiting request gets.
type grant struct {
	executor route.Assignment
	err      *model.Error
}

type waiting struct {
	query route.Query
	team  string
	ch    chan grant // buffered, gets exactly one grant unless removed
}

func newService(e *Entry, name string) *service {
	e.metrics.queue(e, name)
	return &service{
		e: e, name: name,
		set:     route.NewSet(e.cfg.Route),
		queue:   route.NewQueue(e.cfg.QueueLength),
		budget:  route.NewBudget(e.cfg.RetryRatio, 0),
		allowed: map[string]map[string]bool{},
	}
}

func (s *service) update(now time.Time, cfg config.Config, decl config.Service, ups []model.Upstream, entries int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.allowed = map[string]map[string]bool{}
	s.cfg, s.decl = cfg, decl
	s.upstreams, s.entries = ups, entries
	s.bound()
	s.apply(now)
	s.dispatch(now)
}

// divide takes over another number of live entries.
func (s *service) divide(entries int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.entries == entries {
		return
	}
	s.entries = entries
	s.bound()
	s.apply(s.e.cfg.Clock.Now())
}

// bound sets the connections to one executor to this entry's part of what the service declares.
func (s *service) bound() {
	perHost := 0
	if s.decl.Connections > 0 {
		perHost = max(1, s.decl.Connections/s.entries)
	}
	if s.client != nil && s.perHost == perHost {
		return
	}
	if s.client != nil && s.e.cfg.Client == nil {
		s.client.CloseIdleConnections()
	}
	s.perHost = perHost
	if s.client = s.e.cfg.Client; s.client == nil {
		s.client = newClient(perHost)
	}
}

func (s *service) apply(now time.Time) {
	list := make([]route.Executor, 0, len(s.upstreams))
	for _, u := range s.upstreams {
		x := route.Executor{
			ID:         route.ID{Name: u.Name, Incarnation: u.Incarnation},
			DataCentre: u.DataCentre, Address: u.Address, HealthPath: u.HealthPath, Slots: u.Slots,
		}
		if s.decl.Slots > 0 && (x.Slots <= 0 || x.Slots > s.decl.Slots) {
			x.Slots = s.decl.Slots
		}
		x.Slots = max(1, x.Slots)
		x.Limit = x.Slots
		if s.perHost > 0 {
			x.Limit = min(x.Limit, s.perHost)
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
	s.set.Update(s.e.cfg.Clock.Now(), nil)
	s.dispatch(s.e.cfg.Clock.Now())
	if s.client != nil && s.e.cfg.Client == nil {
		s.client.CloseIdleConnections()
	}
}

// dataCentres returns where the team's requests to this service may go now.
func (s *service) dataCentres(team string) map[string]bool {
	if a, ok := s.allowed[team]; ok {
		return a
	}
	a := map[string]bool{}
	t, ok := s.cfg.Team(team)
	for _, dc := range s.cfg.DataCentres {
		a[dc.Name] = ok && !dc.OutOfService &&
			(len(t.DataCentres) == 0 || slices.Contains(t.DataCentres, dc.Name)) &&
			(len(s.decl.DataCentres) == 0 || slices.Contains(s.decl.DataCentres, dc.Name))
	}
	s.allowed[team] = a
	return a
}

func (s *service) pace() route.Throughput {
	lat := max(s.set.Latency(), minServiceTime)
	return route.Throughput{PerSecond: float64(s.set.InFlight()) / lat.Seconds(), ServiceTime: s.set.ExpectedLatency()}
}

// acquire chooses an executor for the request, waiting in the queue when none has a free slot.
func (s *service) acquire(ctx context.Context, q *request, tried []string) (route.Assignment, *model.Error) {
	now := s.e.cfg.Clock.Now()
	s.mu.Lock()
	query := route.Query{PreferredDataCentre: s.e.cfg.DataCentre, AllowedDataCentres: s.dataCentres(q.team), Tried: tried, Rand: s.e.cfg.Rand}
	if s.queue.Len() == 0 {
		x, v := s.set.Pick(now, query)
		if v != route.Full {
			s.mu.Unlock()
			return x, s.noneError(v)
		}
	}
	wt := &waiting{query: query, team: q.team, ch: make(chan grant, 1)}
	w := &route.Waiter{Team: q.team, Weight: q.weight, Deadline: q.deadline, Value: wt}
	evicted, ok := s.queue.Push(now, w, s.pace())
	if evicted != nil {
		evicted.Value.(*waiting).ch <- grant{err: overloaded(s.name)}
	}
	if ok {
		s.dispatch(now)
		s.tick()
	}
	s.mu.Unlock()
	if !ok {
		return route.Assignment{}, overloaded(s.name)
	}
	return s.wait(ctx, w, wt)
}

func (s *service) wait(ctx context.Context, w *route.Waiter, wt *waiting) (route.Assignment, *model.Error) {
	select {
	case g := <-wt.ch:
		return g.executor, g.err
	case <-ctx.Done():
	}
	s.mu.Lock()
	removed := s.queue.Remove(w)
	s.mu.Unlock()
	if !removed {
		if g := <-wt.ch; g.err == nil {
			s.done(g.executor, route.Result{Kind: route.Abandoned})
		}
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		return route.Assignment{}, callerGone()
	}
	return route.Assignment{}, overloaded(s.name)
}

func callerGone() *model.Error {
	return model.NotRun(model.CodeUnavailable, "the caller went away")
}

func overloaded(service string) *model.Error {
	return model.NotRun(model.CodeOverloaded, "service %s has no free slot before the deadline", service)
}

func (s *service) noneError(v route.PickStatus) *model.Error {
	if v == route.Unavailable {
		return model.NotRun(model.CodeNoUpstream, "service %s has no executor in use for this team", s.name)
	}
	return nil
}

// admits reports whether a request could be served in time now, without holding a place for it.
func (s *service) admits(q *request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.queue.Len() == 0 {
		return true
	}
	w := &route.Waiter{Team: q.team, Weight: q.weight, Deadline: q.deadline}
	return s.queue.WouldAccept(s.e.cfg.Clock.Now(), w, s.pace())
}

// done ends a request to an executor and lets waiting ones have its slot.
func (s *service) done(x route.Assignment, r route.Result) {
	now := s.e.cfg.Clock.Now()
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
	for _, w := range s.queue.Expire(now, s.set.ExpectedLatency()) {
		w.Value.(*waiting).ch <- grant{err: overloaded(s.name)}
	}
	for {
		var g grant
		w := s.queue.Pop(func(w *route.Waiter) route.Choice {
			wt := w.Value.(*waiting)
			wt.query.AllowedDataCentres = s.dataCentres(wt.team)
			x, v := s.set.Pick(now, wt.query)
			if v == route.Full {
				return route.Skip
			}
			g = grant{executor: x, err: s.noneError(v)}
			return route.Take
		})
		if w == nil {
			return
		}
		w.Value.(*waiting).ch <- g
	}
}

// tick looks at the queue from time to time, because estimates of load change without any request ending.
func (s *service) tick() {
	if s.ticking || s.queue.Len() == 0 {
		return
	}
	s.ticking = true
	time.AfterFunc(dispatchInterval, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.ticking = false
		s.dispatch(s.e.cfg.Clock.Now())
		s.tick()
	})
}
