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
	// dispatchInterval is how often the queue is dispatched while no request ends.
	dispatchInterval = 5 * time.Millisecond
	// minServiceTime keeps rates finite before any request has ended.
	minServiceTime = time.Millisecond
)

// service is this entry's state of one service: its executors and the requests queued for them.
type service struct {
	entry *Entry
	name  string

	mu                sync.Mutex
	declared          config.Service // as configured
	upstreams         []model.Upstream
	entries           int // live entries
	set               *route.Set
	queue             *route.Queue
	budget            *route.Budget
	client            *http.Client
	maxConnsPerHost   int // connections of this entry to one executor; 0 means no bound
	cfg               config.Config
	allowedByTeam     map[string]map[string]bool // allowed data centres of each team by cfg
	dispatchScheduled bool
}

// grant is the result of waiting in the queue: an executor or an error.
type grant struct {
	assignment route.Assignment
	err        *model.Error
}

// queuedRequest is a request that waits for an executor.
type queuedRequest struct {
	query   route.Query
	team    string
	granted chan grant // buffered; receives exactly one grant unless the request is removed from the queue
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

// update applies a changed configuration or changed upstreams.
func (s *service) update(now time.Time, cfg config.Config, declared config.Service, upstreams []model.Upstream, entries int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.allowedByTeam = map[string]map[string]bool{}
	s.cfg, s.declared = cfg, declared
	s.upstreams, s.entries = upstreams, entries
	s.updateClient()
	s.updateExecutors(now)
	s.dispatch(now)
}

// setEntries sets the number of live entries that share the connections to executors.
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

// updateClient bounds the connections to each executor by this entry's share of what the service
// declares. It replaces the client when that bound has changed. The caller holds the lock.
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

// updateExecutors passes the upstreams to the executor set, with slots bounded by what the service
// declares and requests bounded by this entry's share of the connections. The caller holds the lock.
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

// close removes all executors, which fails the queued requests, and closes idle connections.
func (s *service) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set.Update(s.entry.cfg.Clock.Now(), nil)
	s.dispatch(s.entry.cfg.Clock.Now())
	if s.client != nil && s.entry.cfg.Client == nil {
		s.client.CloseIdleConnections()
	}
}

// allowedDataCentres returns the data centres that the team's requests to this service may use now.
// The caller holds the lock.
func (s *service) allowedDataCentres(team string) map[string]bool {
	if allowed, ok := s.allowedByTeam[team]; ok {
		return allowed
	}
	allowed := map[string]bool{}
	t, ok := s.cfg.Team(team)
	for _, dc := range s.cfg.DataCentres {
		allowed[dc.Name] = ok && !dc.OutOfService &&
			(len(t.DataCentres) == 0 || slices.Contains(t.DataCentres, dc.Name)) &&
			(len(s.declared.DataCentres) == 0 || slices.Contains(s.declared.DataCentres, dc.Name))
	}
	s.allowedByTeam[team] = allowed
	return allowed
}

// throughput estimates how fast requests leave the queue. The caller holds the lock.
func (s *service) throughput() route.Throughput {
	latency := max(s.set.Latency(), minServiceTime)
	return route.Throughput{PerSecond: float64(s.set.InFlight()) / latency.Seconds(), ServiceTime: s.set.ExpectedLatency()}
}

// acquire chooses an executor for the request and queues the request while none has a free slot.
// Executors in tried are used only when no other is left.
func (s *service) acquire(ctx context.Context, q *request, tried []string) (route.Assignment, *model.Error) {
	now := s.entry.cfg.Clock.Now()
	s.mu.Lock()
	query := route.Query{PreferredDataCentre: s.entry.cfg.DataCentre, AllowedDataCentres: s.allowedDataCentres(q.team), Tried: tried, Rand: s.entry.cfg.Rand}
	if s.queue.Len() == 0 {
		assignment, status := s.set.Pick(now, query)
		if status != route.Full {
			s.mu.Unlock()
			return assignment, s.pickError(status)
		}
	}
	queued := &queuedRequest{query: query, team: q.team, granted: make(chan grant, 1)}
	waiter := &route.Waiter{Team: q.team, Weight: q.weight, Deadline: q.deadline, Value: queued}
	evicted, ok := s.queue.Push(now, waiter, s.throughput())
	if evicted != nil {
		evicted.Value.(*queuedRequest).granted <- grant{err: overloadedError(s.name)}
	}
	if ok {
		s.dispatch(now)
		s.scheduleDispatch()
	}
	s.mu.Unlock()
	if !ok {
		return route.Assignment{}, overloadedError(s.name)
	}
	return s.waitGrant(ctx, waiter, queued)
}

// waitGrant waits until a queued request gets its grant or ctx ends.
func (s *service) waitGrant(ctx context.Context, waiter *route.Waiter, queued *queuedRequest) (route.Assignment, *model.Error) {
	select {
	case g := <-queued.granted:
		return g.assignment, g.err
	case <-ctx.Done():
	}
	s.mu.Lock()
	removed := s.queue.Remove(waiter)
	s.mu.Unlock()
	if !removed {
		if g := <-queued.granted; g.err == nil {
			s.release(g.assignment, route.Result{Kind: route.Abandoned})
		}
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		return route.Assignment{}, callerGoneError()
	}
	return route.Assignment{}, overloadedError(s.name)
}

func callerGoneError() *model.Error {
	return model.NotRun(model.CodeUnavailable, "the caller has disconnected")
}

func overloadedError(service string) *model.Error {
	return model.NotRun(model.CodeOverloaded, "service %s has no free slot before the deadline", service)
}

// pickError returns the error for a pick without an executor, or nil.
func (s *service) pickError(status route.PickStatus) *model.Error {
	if status == route.Unavailable {
		return model.NotRun(model.CodeNoUpstream, "service %s has no usable executor for this team", s.name)
	}
	return nil
}

// canServeInTime reports whether a request that is queued now would end before its deadline. It does
// not reserve a place in the queue.
func (s *service) canServeInTime(q *request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.queue.Len() == 0 {
		return true
	}
	waiter := &route.Waiter{Team: q.team, Weight: q.weight, Deadline: q.deadline}
	return s.queue.WouldAccept(s.entry.cfg.Clock.Now(), waiter, s.throughput())
}

// release records the result of a request to an executor and gives its slot to a queued request.
func (s *service) release(assignment route.Assignment, r route.Result) {
	now := s.entry.cfg.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set.Done(now, assignment, r)
	s.dispatch(now)
}

// dispatch expires queued requests that cannot end in time and gives free slots to the others. The
// caller holds the lock.
func (s *service) dispatch(now time.Time) {
	if s.queue.Len() == 0 {
		return
	}
	for _, waiter := range s.queue.Expire(now, s.set.ExpectedLatency()) {
		waiter.Value.(*queuedRequest).granted <- grant{err: overloadedError(s.name)}
	}
	for {
		var g grant
		waiter := s.queue.Pop(func(waiter *route.Waiter) route.Choice {
			queued := waiter.Value.(*queuedRequest)
			queued.query.AllowedDataCentres = s.allowedDataCentres(queued.team)
			assignment, status := s.set.Pick(now, queued.query)
			if status == route.Full {
				return route.Skip
			}
			g = grant{assignment: assignment, err: s.pickError(status)}
			return route.Take
		})
		if waiter == nil {
			return
		}
		waiter.Value.(*queuedRequest).granted <- g
	}
}

// scheduleDispatch dispatches the queue every dispatchInterval until it is empty, because load
// estimates change even while no request ends. The caller holds the lock.
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
