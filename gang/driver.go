package gang

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"

	"turmericroute/config"
	"turmericroute/model"
	"turmericroute/place"
	"turmericroute/state"
)

// tickInterval is how often deadlines are checked.
const tickInterval = 50 * time.Millisecond

// Config configures a Driver.
type Config struct {
	Logger  log.Logger
	Metrics *metrics.Set
	// Place configures the placement policy.
	Place place.Config
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// Ticks drives deadlines; nil means a ticker of 50 ms.
	Ticks <-chan time.Time
}

// Driver implements ctrl.LeaderRole; it does nothing while another instance leads.
type Driver struct {
	cfg     Config
	metrics driverMetrics
	lead    atomic.Pointer[lead]
}

// New returns a driver that waits for leadership.
func New(cfg Config) *Driver {
	if cfg.Logger == nil {
		cfg.Logger = log.NewNopLogger()
	}
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewSet()
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	d := &Driver{cfg: cfg, metrics: newDriverMetrics(cfg.Metrics)}
	d.watchLeases(cfg.Metrics)
	return d
}

// lead is the state of one term of leadership.
type lead struct {
	cfg     Config
	metrics driverMetrics
	term    uint64
	start   time.Time
	r       state.Replica
	ctx     context.Context
	events  chan event
	workers sessions

	// mu guards the fields below; the loop holds it while it handles an event.
	mu       sync.Mutex
	policy   *place.Policy
	attempts map[string]*attempt
	// waiting holds the jobs that the policy knows and that have no attempt; the value says that a placement is being committed.
	waiting map[string]bool
	feed    uint64
	// replan says that resources or jobs changed since the policy last looked.
	replan bool
	// expired is when keys were last expired.
	expired time.Time
	// placed is when the policy last looked for placements.
	placed time.Time
	tried  tries
	// reclaiming holds the time of the first preemption for a job that has not started yet.
	reclaiming map[string]time.Time
	gaugesAt   time.Time

	overviews overviews
	forecasts chan struct{} // holds a token while one is being made
}

// Lead runs until ctx ends.
func (d *Driver) Lead(ctx context.Context, term uint64, r state.Replica) {
	l := &lead{
		cfg: d.cfg, metrics: d.metrics, term: term, start: d.cfg.Now(), r: r, ctx: ctx,
		events: make(chan event, 4096), workers: newSessions(),
		policy:   place.New(d.cfg.Place),
		attempts: map[string]*attempt{}, waiting: map[string]bool{},
		tried: newTries(), reclaiming: map[string]time.Time{}, forecasts: make(chan struct{}, 1),
	}
	for r.Barrier(ctx) != nil {
		if ctx.Err() != nil {
			return
		}
	}
	l.recover()
	d.lead.Store(l)
	defer d.lead.CompareAndSwap(l, nil)
	d.cfg.Logger.Log("event", "lead_started", "term", term, "attempts", len(l.attempts), "waiting", len(l.waiting))
	l.run(d.ticks(ctx))
	d.metrics.setWaiting(nil)
	d.cfg.Logger.Log("event", "lead_ended", "term", term)
}

func (d *Driver) ticks(ctx context.Context) <-chan time.Time {
	if d.cfg.Ticks != nil {
		return d.cfg.Ticks
	}
	t := time.NewTicker(tickInterval)
	context.AfterFunc(ctx, t.Stop)
	return t.C
}

func (l *lead) run(ticks <-chan time.Time) {
	for {
		changed := l.r.Machine().Changed()
		l.sync()
		select {
		case <-l.ctx.Done():
			return
		case <-changed:
		case e := <-l.events:
			l.handle(e)
		case <-ticks:
			l.tick()
		}
	}
}

// Admit checks a command against the current state before it is proposed.
func (d *Driver) Admit(m *state.Machine, c state.Command) *model.Error {
	switch c := c.(type) {
	case state.SubmitJob:
		return admitJob(m, c.Spec)
	case state.PatchConfig:
		return admitPatch(m, c.Patch)
	default:
		return nil
	}
}

func admitJob(m *state.Machine, spec model.JobSpec) *model.Error {
	if _, ok := m.Job(spec.ID); ok {
		return nil
	}
	if err := place.CheckJob(m.Config(), spec); err != nil {
		return model.AsError(err)
	}
	return nil
}

func admitPatch(m *state.Machine, p config.Patch) *model.Error {
	if _, ok, fail := m.CheckPatch(p); ok || fail != nil {
		return fail
	}
	next, err := config.Apply(m.Config(), p)
	if err != nil {
		return model.AsError(err)
	}
	var faults []string
	for _, f := range config.Validate(next) {
		faults = append(faults, f.String())
	}
	for _, s := range place.CheckGuarantees(next.WithDataCentresInService()) {
		faults = append(faults, s.String())
	}
	if len(faults) == 0 {
		return nil
	}
	fail := model.NotRun(model.CodeInvalid, "the patched configuration has %d faults", len(faults))
	fail.Faults = faults
	return fail
}
