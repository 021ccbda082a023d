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

// Defaults of Config.
const (
	DefaultMaxBodyBytes  = 8 << 20
	DefaultTimeout       = 30 * time.Second
	DefaultMaxTimeout    = 10 * time.Minute
	DefaultProbeInterval = time.Second
	DefaultProbeTimeout  = time.Second
	DefaultRemoveAfter   = 60 * time.Second
)

const (
	// SmallResponseBytes is the size up to which answers are held whole before
	// anything is sent on, and up to which answers to keys are recorded.
	SmallResponseBytes = 64 << 10
	// maxBufferedResponseBytes bounds the answers to keys that are held until recorded.
	maxBufferedResponseBytes = 8 << 20
	// refreshInterval bounds how long a change of the local state waits until it is in force here.
	refreshInterval = 50 * time.Millisecond
	// maxSendDelay bounds the time from the choice of an executor to the first byte. With the
	// bound on the view age it keeps new requests out of a leaving executor after 3 s.
	maxSendDelay = time.Second
)

// Clock tells the time.
type Clock interface{ Now() time.Time }

type systemClock struct{}

func (systemClock) Now() time.Time { return time.Now() }

// Config is what an Entry needs; zero limits take the defaults.
type Config struct {
	Replica    state.Replica
	Name       string
	DataCentre string
	// Client sends requests to executors; nil means one whose connections are bounded by executor.
	// Another client must not follow redirects, decompress or resend by itself.
	Client  *http.Client
	Logger  log.Logger
	Metrics *metrics.Set
	Clock   Clock
	// Entries returns the names of the live entries, which divide team limits and
	// connections among themselves; nil means this one alone.
	Entries func() []string
	// Rand returns a number in [0, 1) and is called concurrently.
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

// Entry serves requests to upstream executors.
type Entry struct {
	cfg     Config
	metrics *requestMetrics

	mu          sync.Mutex // guards the fields below
	services    map[string]*service
	refreshedAt time.Time
	// firstFreshIndex is the index that the first fresh view held; settled says that it was taken over and its executors probed.
	firstFreshIndex uint64
	ready           bool
	applied         uint64
	teamInFlight    map[string]int // requests in flight by team
	inFlight        int
	draining        bool
	drained         chan struct{} // closed when draining and nothing is in flight
	probes          map[string]*probe
}

// New returns an Entry that knows the executors of the replica's present state.
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

// admitRequest counts a request in, or refuses it: while draining, with a stale view, or beyond this
// entry's part of the team's limit.
func (e *Entry) admitRequest(q *request) *model.Error {
	if err := e.checkViewAge(); err != nil {
		return err
	}
	share := q.limit
	if q.limit > 0 {
		share = route.Share(q.limit, q.team, e.cfg.Name, e.cfg.Entries())
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.draining {
		return model.NotRun(model.CodeShuttingDown, "this entry is shutting down")
	}
	if q.limit > 0 && e.teamInFlight[q.team] >= share {
		return model.NotRun(model.CodeLimit, "team %s has %d requests in flight, this entry's part of %d", q.team, e.teamInFlight[q.team], q.limit)
	}
	e.inFlight++
	e.teamInFlight[q.team]++
	return nil
}

func (e *Entry) addInFlight() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.inFlight++
}

func (e *Entry) releaseInFlight() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.inFlight--
	if e.draining && e.inFlight == 0 {
		close(e.drained)
	}
}

// Drain refuses new requests and waits for those in flight.
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

func (e *Entry) releaseTeam(team string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.teamInFlight[team]--; e.teamInFlight[team] == 0 {
		delete(e.teamInFlight, team)
	}
}

// checkViewAge returns an error when the local view is too old to decide anything.
func (e *Entry) checkViewAge() *model.Error {
	if age := e.cfg.Replica.ViewAge(); age > model.MaxViewAge {
		return model.NotRun(model.CodeStaleView, "the view of the state is %d ms old", age.Milliseconds())
	}
	return nil
}

// refresh takes over changed upstreams and configuration, at most once in refreshInterval unless forced.
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

// service returns the service with the name, also when it was configured just now.
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
