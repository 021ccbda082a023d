package sched

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"

	"turmericroute/batch"
	"turmericroute/clock"
	"turmericroute/fleet"
	"turmericroute/loss"
	"turmericroute/model"
	"turmericroute/state"
)

const (
	// leaseDuration is the lease that each heartbeat renews, unless Limits.MaxLease is shorter. It spans three
	// heartbeats and a change of leader, and is short enough that the tasks of a lost worker restart soon.
	leaseDuration = 4500 * time.Millisecond
	// maxClockDrift is the fraction by which a worker's clock may run slower than the leader's.
	maxClockDrift = 0.03
	// leaseMargin allows for the time that a worker takes to end its runs after its lease has expired.
	leaseMargin = 300 * time.Millisecond
	// passInterval is the time between periodic placement passes.
	passInterval = 100 * time.Millisecond
	// commitWait bounds how long the answer to a heartbeat waits for a commit; workers discard answers after one second.
	commitWait = 600 * time.Millisecond
	// passWait bounds how long the answer to a heartbeat waits for a placement pass.
	passWait = 60 * time.Millisecond
	// settleRetryDelay is the pause after an attempt to settle the proposals of an earlier session has failed.
	settleRetryDelay = 50 * time.Millisecond
	// maxOpenJobs bounds the accepted jobs that have not ended; further submissions are refused.
	maxOpenJobs = 5000
)

// Scheduler schedules stepped jobs while this process leads.
type Scheduler struct {
	cfg     Config
	metrics schedulerMetrics

	mu     sync.Mutex
	leader *leaderState
	// former is the state of the latest session, nil once another one has begun.
	former *leaderState
	// refused holds the workers whose heartbeats are refused in a term, see answerSafely.
	refused struct {
		term    uint64
		workers map[string]bool
	}
}

// leaderState is the state of a leader for one session, in which it holds the leader lease without interruption.
type leaderState struct {
	ctx     context.Context
	end     context.CancelFunc // ends ctx
	term    uint64
	replica state.Replica
	ledger  *batch.Ledger
	// began is the boot time at which the session began.
	began time.Duration
	// wake holds at most one request for a placement pass.
	wake chan struct{}
	// passDone is closed when the current placement pass has finished, its commit included, and is then replaced. It is
	// guarded by Scheduler.mu.
	passDone chan struct{}
	*memory
}

// memory is what a leader knows beyond the ledger; its fields are guarded by Scheduler.mu.
//
// It lasts for a term, unless a call panics. A leader that regains its lease in the same term was never replaced, since a
// majority has acknowledged it in that term and votes for a later one only afterwards. So the workers have had orders and
// leases from nobody else meanwhile, and what it knows of them, of gangs, stops, tickets and preemptions still holds. What
// was in flight has been settled: the goroutines of the earlier session have ended, no starts are pending, and those that
// were proposed are in the ledger. Its calls may still be at work, on the same memory. Everything counts as changed in the
// ledger.
type memory struct {
	// spoiled is set when a call that worked on the memory has panicked.
	spoiled bool
	// since is the boot time at which the term's first session began.
	since time.Duration
	// pending holds the starts whose commit has not completed, pendingOn their tasks by worker.
	pending   map[batch.TaskID]batch.Start
	pendingOn map[string][]batch.TaskID
	// room and waiting are what placement passes work on; they are updated where something changes.
	room    *room
	waiting *waitingSteps
	// use is what each team may have running.
	use *quotaUse
	// weights orders the teams by their weights.
	weights *weights
	// reservations are the placements that are reserved until the next full pass.
	reservations []reservation
	passNumber   uint64
	// fullPassAt is the boot time before which there is no further full pass, nextRetryAt the one at which a full pass
	// is due although nothing has changed, 0 if there is none.
	fullPassAt, nextRetryAt time.Duration
	// changedSinceFull is set if room or waiting steps have changed since the last full pass.
	changedSinceFull bool
	// gaugesDueAt is the boot time at which the gauges by team are set again.
	gaugesDueAt time.Duration
	// workers holds the workers that have sent a heartbeat, by ID; byAddress and byMachine find those that have not
	// ended.
	workers              map[string]*worker
	byAddress, byMachine workerIndex
	// fleet is what is known of the speed and soundness of the workers.
	fleet *fleet.Model
	// ignoredLoggedAt is the boot time at which an ignored heartbeat was last logged.
	ignoredLoggedAt time.Duration
	// startedJobs holds the jobs of which a worker has reported a run.
	startedJobs map[string]bool
	// heartbeatRate is how many heartbeats per second the leader asks for of all workers together.
	heartbeatRate int
	// forming holds the gang runs that are not known to be at work yet, by gangRef.
	forming map[RunRef]*formingGang
	// formed holds the gang runs that are known to be at work, by gangRef.
	formed map[RunRef]bool
	// preempting holds the runs that are being preempted, with the ID of the job that they make room for.
	preempting map[RunRef]string
	// givenUp holds the runs that were given up and whose ends are not in the ledger yet.
	givenUp map[RunRef]*givenUpRun
	// lingering holds the worker that reports a run of a task which is over by the ledger, or given up.
	lingering map[batch.TaskID]string
	// notOrdered holds the worker of each run that this leader has placed in this term and not ordered to start; nil if calls
	// of an earlier session may still order runs on other memory.
	notOrdered map[RunRef]string
	// losses tells what is lost with each run that ends; lossesPrunedAt is the boot time of its last pruning.
	losses         *loss.Book
	lossesPrunedAt time.Duration
	// maintainedAt holds the boot time at which the maintenance of each machine was ordered, until it is over.
	maintainedAt map[string]time.Duration
	// provenSince holds since when last attempts wait for proven workers.
	provenSince map[batch.TaskID]time.Duration
	// tickets holds the tickets of each step, by stepName.
	tickets  map[string]*tickets
	overload *overload
}

// New returns a scheduler that is idle until Lead is called.
func New(cfg Config) *Scheduler {
	if cfg.Logger == nil {
		cfg.Logger = log.NewNopLogger()
	}
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewSet()
	}
	if cfg.BootClock == nil {
		cfg.BootClock = clock.SinceBoot
	}
	if cfg.WallClock == nil {
		cfg.WallClock = time.Now
	}
	s := &Scheduler{cfg: cfg}
	s.metrics = newSchedulerMetrics(cfg.Metrics, s)
	return s
}

// lease returns the duration of the lease that a heartbeat renews.
func (s *Scheduler) lease() time.Duration { return min(leaseDuration, s.cfg.Limits.MaxLease) }

// leaseExpiry returns how long after the arrival of a heartbeat its lease has certainly expired, whatever the
// worker's clock drift.
func (s *Scheduler) leaseExpiry() time.Duration {
	return time.Duration(float64(s.lease())*(1+maxClockDrift)) + leaseMargin
}

// Lead schedules jobs as the leader of a term until ctx ends, which happens when the leader lease or the term is lost.
func (s *Scheduler) Lead(ctx context.Context, term uint64, r state.Replica) {
	for ctx.Err() == nil {
		s.lead(ctx, term, r)
	}
}

// lead schedules jobs until ctx ends or the in-memory state can no longer be used.
func (s *Scheduler) lead(ctx context.Context, term uint64, r state.Replica) {
	if err := s.settle(ctx, term, r); err != nil {
		s.cfg.Logger.Log("event", "scheduling_delayed", "term", term, "err", err)
		clock.Sleep(ctx, settleRetryDelay)
		return
	}
	l := s.begin(ctx, term, r)
	defer l.end()
	l.ledger.View(func(b *batch.State) {
		s.cfg.Logger.Log("event", "scheduling_began", "term", term, "open_jobs", len(b.Open), "config_version", b.Catalog.Version, "workers_with_runs", len(b.Runs))
	})
	var wg sync.WaitGroup
	wg.Go(func() { s.runPlacement(l) })
	wg.Go(func() { s.sweep(l) })
	wg.Go(func() { s.runMaintenance(l) })
	wg.Go(func() { s.requestTickets(l) })
	wg.Go(func() { s.adaptRate(l) })
	wg.Wait()
	l.ledger.DropChanges()
	s.finish(l)
	s.cfg.Logger.Log("event", "scheduling_ended", "term", term)
}

// settle waits until the ledger has what an earlier session of the same term has proposed. The first session of a term
// begins with all entries of earlier terms applied.
func (s *Scheduler) settle(ctx context.Context, term uint64, r state.Replica) error {
	s.mu.Lock()
	first := s.former == nil || s.former.term != term
	s.mu.Unlock()
	if first {
		return nil
	}
	return state.Settle(ctx, r, term) //nolint:wrapcheck // names what failed.
}

// begin starts a session, in which calls are answered.
func (s *Scheduler) begin(ctx context.Context, term uint64, r state.Replica) *leaderState {
	ctx, end := context.WithCancel(ctx)
	l := &leaderState{
		ctx: ctx, end: end, term: term, replica: r, ledger: r.Machine().Batch(), began: s.cfg.BootClock(),
		wake: make(chan struct{}, 1), passDone: make(chan struct{}),
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	l.memory = newMemory(l.began)
	if f := s.former; f != nil && f.term == term && f.ledger == l.ledger {
		if f.spoiled {
			l.givenUp = f.givenUp // their ends may still be committed
			for _, g := range l.givenUp {
				g.awaited = false
			}
			l.notOrdered = nil
		} else {
			l.memory = f.memory
		}
	}
	s.former, s.leader = nil, l
	return l
}

func newMemory(since time.Duration) *memory {
	return &memory{
		since: since, pending: map[batch.TaskID]batch.Start{}, pendingOn: map[string][]batch.TaskID{},
		workers: map[string]*worker{}, byAddress: workerIndex{}, byMachine: workerIndex{},
		fleet: fleet.New(), heartbeatRate: initialHeartbeatRate, room: newRoom(), waiting: newWaitingSteps(), use: newQuotaUse(), weights: newWeights(), startedJobs: map[string]bool{}, tickets: map[string]*tickets{},
		forming: map[RunRef]*formingGang{}, formed: map[RunRef]bool{}, preempting: map[RunRef]string{}, givenUp: map[RunRef]*givenUpRun{}, lingering: map[batch.TaskID]string{}, notOrdered: map[RunRef]string{}, losses: loss.NewBook(), maintainedAt: map[string]time.Duration{},
		provenSince: map[batch.TaskID]time.Duration{}, overload: newOverload(),
	}
}

// finish ends a session once its goroutines have returned.
func (s *Scheduler) finish(l *leaderState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leader, s.former = nil, l
	s.setTeamGauges(teamCounts{})
}

// current returns the state of the current term, or an error with CodeNoLeader while this instance does not lead.
func (s *Scheduler) current() (*leaderState, *model.Error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leader == nil || s.leader.ctx.Err() != nil {
		return nil, model.NotRun(model.CodeNoLeader, "this instance is not scheduling")
	}
	return s.leader, nil
}

// commit replicates a change in the leader's term; a failure in the result is returned as the error.
func (l *leaderState) commit(ctx context.Context, c batch.Change) (batch.Result, error) {
	res, err := l.replica.ExecuteIn(ctx, l.term, state.ChangeBatch{Change: c})
	switch {
	case err != nil:
		return batch.Result{}, fmt.Errorf("commit change: %w", err)
	case res.Failure != nil:
		return batch.Result{}, res.Failure
	case res.Batch == nil:
		return batch.Result{}, errors.New("commit change: no result")
	}
	return *res.Batch, nil
}

// triggerPass requests a placement pass without waiting for it.
func (l *leaderState) triggerPass() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Respond answers an encoded Call; it fails with CodeNoLeader while this instance does not lead.
func (s *Scheduler) Respond(ctx context.Context, request []byte) ([]byte, error) {
	c, err := decodeCall(request)
	if err != nil {
		return nil, model.NotRun(model.CodeInvalid, "%v", err)
	}
	a, err := s.Answer(ctx, c)
	if err != nil {
		return nil, err
	}
	data, err := json.Marshal(a)
	if err != nil {
		return nil, model.Unknown(model.CodeInternal, "encode answer: %v", err)
	}
	return data, nil
}

// Answer answers a call; it fails with CodeNoLeader while this instance does not lead.
func (s *Scheduler) Answer(ctx context.Context, c Call) (Answer, error) {
	l, failure := s.current()
	if failure != nil {
		return Answer{}, failure
	}
	return s.answerSafely(ctx, l, c)
}

func (s *Scheduler) answer(ctx context.Context, l *leaderState, c Call) (Answer, error) {
	switch {
	case c.Heartbeat != nil:
		return s.heartbeat(ctx, l, *c.Heartbeat)
	case c.Submit != nil:
		return s.submit(ctx, l, *c.Submit)
	case c.Show != nil:
		return s.show(l, *c.Show)
	case c.Cancel != nil:
		return s.cancel(ctx, l, *c.Cancel)
	case c.Declare != nil:
		return s.declare(ctx, l, *c.Declare)
	case c.Catalog:
		var a Answer
		l.ledger.View(func(b *batch.State) { a.Source = b.Catalog.Source })
		return a, nil
	case c.Outage != nil:
		return s.setOutage(ctx, l, c)
	case c.Wave != nil:
		_, err := l.commit(ctx, batch.Change{Wave: c.Wave})
		s.cfg.Logger.Log("event", "wave_started", "wave", c.Wave.Number, "machines", strings.Join(c.Wave.Machines, ","), "maximum", c.Wave.MaxConcurrent, "duration_ms", c.Wave.DurationMS, "err", err)
		return Answer{}, err
	case c.WaveStatus != nil:
		return l.waveStatus(*c.WaveStatus)
	case c.Leave != nil:
		return s.leave(l, c.Leave.Worker), nil
	case c.Ping:
		return Answer{Stamp: s.stamp(l)}, nil
	case c.ConfirmLeader:
		return Answer{}, nil
	default:
		return Answer{}, model.NotRun(model.CodeInvalid, "call has no field set")
	}
}

// Dump returns the leader's in-memory state for the process dump, nil while this instance does not lead.
func (s *Scheduler) Dump() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leader == nil {
		return nil
	}
	type dumpedWorker struct {
		Incarnation int64  `json:"life"`
		AgeMS       int64  `json:"age_ms"`
		Running     int    `json:"running"`
		Draining    bool   `json:"draining,omitempty"`
		Gone        bool   `json:"gone,omitempty"`
		Rack        string `json:"rack"`
		// Health is the state that placement goes by, Speed the speed relative to the median worker.
		Health   string  `json:"health"`
		Failures int     `json:"failures_in_row,omitempty"`
		Speed    float64 `json:"speed,omitempty"`
	}
	out := struct {
		Term     uint64                  `json:"term"`
		Workers  map[string]dumpedWorker `json:"workers"`
		Pending  int                     `json:"pending"`
		Stopping map[string]string       `json:"stopping"`
		// Lost is the work lost in the last minute by cause.
		Lost     loss.Table             `json:"lost"`
		Overload dumpedOverload         `json:"overload"`
		Teams    map[string]*dumpedTeam `json:"teams"`
	}{Term: s.leader.term, Workers: map[string]dumpedWorker{}, Pending: len(s.leader.pending), Stopping: map[string]string{}}
	now := s.cfg.BootClock()
	out.Overload = s.leader.overload.dump(now)
	for id, w := range maps.All(s.leader.workers) {
		health := s.leader.fleet.Health(w.health)
		out.Workers[id] = dumpedWorker{
			Health: s.leader.fleet.State(w.health, now).String(), Failures: health.Failures, Speed: float64(health.SpeedPercent) / 100,
			Incarnation: w.hb.Incarnation, AgeMS: (now - w.heardAt).Milliseconds(), Running: len(w.running), Draining: w.hb.Draining, Gone: w.gone, Rack: w.hb.Rack,
		}
	}
	out.Lost = s.leader.losses.Recent.Table(now)
	for run, job := range s.leader.preempting {
		out.Stopping[run.Task.String()] = job
	}
	s.leader.ledger.View(func(b *batch.State) { out.Teams = s.leader.dumpTeams(b, now) })
	return out
}
