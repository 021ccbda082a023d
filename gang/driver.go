package gang

import (
	"context"
	"fmt"
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

// tickInterval is the interval at which deadlines are checked.
const tickInterval = 50 * time.Millisecond

// Config configures a Driver.
type Config struct {
	Logger  log.Logger
	Metrics *metrics.Set
	// Place configures the placement policy.
	Place place.Config
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// Ticks triggers the checks of deadlines; nil means a ticker with an interval of 50 ms.
	Ticks <-chan time.Time
}

// Driver implements ctrl.LeaderRole. It is idle while another instance leads.
type Driver struct {
	cfg     Config
	metrics driverMetrics
	leader  atomic.Pointer[leaderState]
	// commandSeq is the number of the latest command to a worker.
	commandSeq atomic.Uint64
	// ledTerm is the term of the latest session; only Lead uses it.
	ledTerm uint64
}

// New returns a driver that is idle until Lead is called.
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
	d.registerLeaseGauge(cfg.Metrics)
	return d
}

// leaderState is the leader's state during one term.
type leaderState struct {
	cfg      Config
	metrics  driverMetrics
	term     uint64
	start    time.Time
	replica  state.Replica
	ctx      context.Context
	events   chan event
	sessions sessions
	// proposals counts the commands that are being committed.
	proposals sync.WaitGroup

	// mu guards the fields below; the event loop holds it while it handles an event.
	mu     sync.Mutex
	policy *place.Policy
	// attempts holds the current attempt of each placed job by job ID.
	attempts map[string]*attempt
	// waiting holds the IDs of the jobs that the policy knows and that have no attempt; the
	// value reports whether a placement is being committed.
	waiting map[string]bool
	// feedPosition is the position in the feed of changes up to which they have been handled.
	feedPosition uint64
	// replan reports whether resources or jobs changed since the policy last made decisions.
	replan bool
	// keysExpiredAt is when idempotency keys were last expired.
	keysExpiredAt time.Time
	// decidedAt is when the policy last made decisions.
	decidedAt time.Time
	history   attemptHistory
	// firstPreemption maps the ID of a job that has not started yet to the time of the
	// first preemption in its favour.
	firstPreemption map[string]time.Time
	// gaugesSetAt is when the gauges of waiting jobs were last set.
	gaugesSetAt time.Time

	overviewCache overviewCache
	// forecastSlot holds a token while a forecast is computed, which limits forecasts to one at a time.
	forecastSlot chan struct{}
}

// Lead acts as the leader of the term until ctx is done.
func (d *Driver) Lead(ctx context.Context, term uint64, r state.Replica) {
	l := &leaderState{
		cfg: d.cfg, metrics: d.metrics, term: term, start: d.cfg.Now(), replica: r, ctx: ctx,
		events: make(chan event, 4096), sessions: newSessions(&d.commandSeq),
		policy:   place.New(d.cfg.Place),
		attempts: map[string]*attempt{}, waiting: map[string]bool{},
		history: newAttemptHistory(), firstPreemption: map[string]time.Time{}, forecastSlot: make(chan struct{}, 1),
	}
	for d.awaitState(ctx, term, r) != nil {
		if ctx.Err() != nil {
			return
		}
	}
	l.recover()
	d.leader.Store(l)
	defer d.leader.CompareAndSwap(l, nil)
	d.cfg.Logger.Log("event", "lead_started", "term", term, "attempts", len(l.attempts), "waiting", len(l.waiting))
	l.run(d.ticks(ctx))
	l.proposals.Wait()
	d.metrics.setWaiting(nil)
	d.cfg.Logger.Log("event", "lead_ended", "term", term)
}

// awaitState waits until the state has all that was committed before, and all that an earlier session of the same term has
// proposed: recover must not miss a placement that is committed afterwards.
func (d *Driver) awaitState(ctx context.Context, term uint64, r state.Replica) error {
	if d.ledTerm == term {
		if err := state.Settle(ctx, r, term); err != nil {
			return err //nolint:wrapcheck // names what failed.
		}
	}
	if err := r.Barrier(ctx); err != nil {
		return fmt.Errorf("await state: %w", err)
	}
	d.ledTerm = term
	return nil
}

// ticks returns the channel that triggers the checks of deadlines.
func (d *Driver) ticks(ctx context.Context) <-chan time.Time {
	if d.cfg.Ticks != nil {
		return d.cfg.Ticks
	}
	t := time.NewTicker(tickInterval)
	context.AfterFunc(ctx, t.Stop)
	return t.C
}

// run is the event loop of the term.
func (l *leaderState) run(ticks <-chan time.Time) {
	for {
		changed := l.replica.Machine().Changed()
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

// Admit checks a command against the current state before it is proposed. It returns nil if
// the command may be proposed.
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

// admitJob checks that the job can run on the declared racks; a resubmission passes.
func admitJob(m *state.Machine, spec model.JobSpec) *model.Error {
	if _, ok := m.Job(spec.ID); ok {
		return nil
	}
	if err := place.CheckJob(m.Config(), spec); err != nil {
		return model.AsError(err)
	}
	return nil
}

// admitPatch checks that the patched configuration is valid and that all its
// guarantees fit when every data centre is in service. A patch that was accepted
// before passes.
func admitPatch(m *state.Machine, p config.Patch) *model.Error {
	if _, ok, failure := m.CheckPatch(p); ok || failure != nil {
		return failure
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
	failure := model.NotRun(model.CodeInvalid, "the patched configuration has %d faults", len(faults))
	failure.Faults = faults
	return failure
}
