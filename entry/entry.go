package entry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"

	"turmericroute/model"
	"turmericroute/route"
	"turmericroute/state"
)

// Default values of Config.
const (
	DefaultMaxBodyBytes  = 8 << 20
	DefaultTimeout       = 30 * time.Second
	DefaultMaxTimeout    = 10 * time.Minute
	DefaultProbeInterval = time.Second
	DefaultProbeTimeout  = time.Second
	DefaultRemoveAfter   = 60 * time.Second
)

const (
	// SmallResponseBytes is the size up to which a response is read whole before any of it is
	// passed on, and up to which the response to a keyed request is recorded for resends.
	SmallResponseBytes = 64 << 10
	// maxBufferedResponseBytes bounds how much of the response to a keyed request is buffered. A
	// response that fits is sent to the caller after its claim is finished; a larger one is
	// streamed, and the claim is finished afterwards.
	maxBufferedResponseBytes = 8 << 20
	// refreshInterval bounds the delay until a change of the local state takes effect in the entry.
	refreshInterval = 50 * time.Millisecond
	// maxSendDelay bounds the time from the choice of an executor to the first byte sent. With the
	// bound on the view age it ensures that an executor that leaves gets no new requests after 3 s.
	maxSendDelay = time.Second
)

// Clock returns the current time.
type Clock interface{ Now() time.Time }

type systemClock struct{}

func (systemClock) Now() time.Time { return time.Now() }

// Config configures an Entry; zero limits take the defaults.
type Config struct {
	Replica    state.Replica
	Name       string
	DataCentre string
	// Client sends requests to executors; nil means clients that bound the connections to each
	// executor. A custom client must not follow redirects, decompress or resend on its own.
	Client  *http.Client
	Logger  log.Logger
	Metrics *metrics.Set
	Clock   Clock
	// Entries returns the names of the live entries, which share team limits and
	// connections; nil means this entry alone.
	Entries func() []string
	// Rand returns a random number in [0, 1) and must be safe for concurrent use.
	Rand func() float64

	MaxBodyBytes   int64
	DefaultTimeout time.Duration
	MaxTimeout     time.Duration
	QueueLength    int
	RetryRatio     float64
	ProbeInterval  time.Duration
	ProbeTimeout   time.Duration
	RemoveAfter    time.Duration
	Route          route.Config
}

func (c Config) withDefaults() Config {
	if c.Logger == nil {
		c.Logger = log.NewNopLogger()
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewSet()
	}
	if c.Clock == nil {
		c.Clock = systemClock{}
	}
	if c.Entries == nil {
		c.Entries = func() []string { return nil }
	}
	if c.Rand == nil {
		c.Rand = rand.Float64
	}
	setDefault(&c.MaxBodyBytes, DefaultMaxBodyBytes)
	setDefault(&c.DefaultTimeout, DefaultTimeout)
	setDefault(&c.MaxTimeout, DefaultMaxTimeout)
	setDefault(&c.ProbeInterval, DefaultProbeInterval)
	setDefault(&c.ProbeTimeout, DefaultProbeTimeout)
	setDefault(&c.RemoveAfter, DefaultRemoveAfter)
	return c
}

func setDefault[T comparable](v *T, def T) {
	var zero T
	if *v == zero {
		*v = def
	}
}

// Entry forwards the requests of callers to upstream executors.
type Entry struct {
	cfg     Config
	metrics *requestMetrics

	mu          sync.Mutex // guards the fields below
	services    map[string]*service
	refreshedAt time.Time
	// firstFreshIndex is the applied index of the first fresh view. ready is set once the entry has
	// refreshed to that index and probed every executor.
	firstFreshIndex uint64
	ready           bool
	applied         uint64
	teamInFlight    map[string]int // requests in flight by team
	inFlight        int
	draining        bool
	drained         chan struct{} // closed when draining and nothing is in flight
	probes          map[string]*probe
}

// New returns an Entry with the executors in the replica's current state.
func New(cfg Config) *Entry {
	e := &Entry{
		cfg:          cfg.withDefaults(),
		services:     map[string]*service{},
		teamInFlight: map[string]int{},
		drained:      make(chan struct{}),
		probes:       map[string]*probe{},
	}
	e.metrics = newRequestMetrics(e.cfg.Metrics, e)
	e.refresh(true)
	return e
}

// admitRequest counts a request as in flight. It refuses the request while the entry drains, while
// its view is stale, and beyond this entry's share of the team's limit.
func (e *Entry) admitRequest(q *request) *model.Error {
	if err := e.checkViewAge(); err != nil {
		return err
	}
	share := q.limit
	if q.limit > 0 {
		share = route.LimitShare(q.limit, q.team, e.cfg.Name, e.cfg.Entries())
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.draining {
		return model.NotRun(model.CodeShuttingDown, "this entry is shutting down")
	}
	if q.limit > 0 && e.teamInFlight[q.team] >= share {
		return model.NotRun(model.CodeLimit, "team %s has %d requests in flight, this entry's share of the limit of %d", q.team, e.teamInFlight[q.team], q.limit)
	}
	e.inFlight++
	e.teamInFlight[q.team]++
	return nil
}

// addInFlight counts background work, so that Drain waits for it.
func (e *Entry) addInFlight() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.inFlight++
}

// releaseInFlight counts a request or background work as ended and completes Drain after the last one.
func (e *Entry) releaseInFlight() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.inFlight--
	if e.draining && e.inFlight == 0 {
		close(e.drained)
	}
}

// Drain refuses new requests and waits for those in flight; it returns an error when ctx ends first.
func (e *Entry) Drain(ctx context.Context) error {
	e.mu.Lock()
	if !e.draining {
		e.draining = true
		if e.inFlight == 0 {
			close(e.drained)
		}
	}
	n := e.inFlight
	e.mu.Unlock()
	e.cfg.Logger.Log("event", "draining", "in_flight", n)
	select {
	case <-e.drained:
		return nil
	case <-ctx.Done():
		return model.Unknown(model.CodeDeadline, "requests were still in flight: %v", ctx.Err())
	}
}

// releaseTeam counts a request of the team as ended.
func (e *Entry) releaseTeam(team string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.teamInFlight[team]--; e.teamInFlight[team] == 0 {
		delete(e.teamInFlight, team)
	}
}

// checkViewAge returns an error when the local view is too old to base decisions on.
func (e *Entry) checkViewAge() *model.Error {
	if age := e.cfg.Replica.ViewAge(); age > model.MaxViewAge {
		return model.NotRun(model.CodeStaleView, "the view of the state is %d ms old", age.Milliseconds())
	}
	return nil
}

// refresh applies changes to upstreams and configuration, at most once per refreshInterval unless forced.
func (e *Entry) refresh(force bool) {
	now := e.cfg.Clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if !force && now.Sub(e.refreshedAt) < refreshInterval {
		return
	}
	m := e.cfg.Replica.Machine()
	applied := m.Applied()
	changed := e.refreshedAt.IsZero() || applied != e.applied
	e.refreshedAt, e.applied = now, applied
	entries := max(1, len(e.cfg.Entries()))
	if !changed {
		for _, s := range e.services {
			s.setEntries(entries)
		}
		return
	}
	cfg := m.Config()
	byService := map[string][]model.Upstream{}
	for _, u := range m.Upstreams() {
		if !u.Left {
			byService[u.Service] = append(byService[u.Service], u)
		}
	}
	for _, d := range cfg.Services {
		if e.services[d.Name] == nil {
			e.services[d.Name] = newService(e, d.Name)
		}
	}
	for name, s := range e.services {
		d, ok := cfg.Service(name)
		if !ok {
			s.close()
			delete(e.services, name)
			continue
		}
		s.update(now, cfg, d, byService[name], entries)
	}
}

// service returns the named service, or nil. It forces a refresh before it returns nil, since the
// service may have been configured just now.
func (e *Entry) service(name string) *service {
	for _, force := range []bool{false, true} {
		e.refresh(force)
		e.mu.Lock()
		s := e.services[name]
		e.mu.Unlock()
		if s != nil {
			return s
		}
	}
	return nil
}
