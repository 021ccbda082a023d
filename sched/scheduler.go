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
	"turmericroute/model"
	"turmericroute/state"
)

const (
	// holdTime is the lease that each heartbeat gets, where the deployment allows as much: three
	// heartbeats and a change of leader fit in, and a lost worker's tasks are free soon after.
	holdTime = 4500 * time.Millisecond
	// maxClockSlowness is how much slower a worker's clock may be.
	maxClockSlowness = 0.03
	// leaseMargin covers the time from the expiry of a lease to the end of what it held.
	leaseMargin = 300 * time.Millisecond
	// minBeatInterval is the least pause that workers are asked for between heartbeats. They carry all
	// orders: members of a gang wait for each other that long.
	minBeatInterval = 100 * time.Millisecond
	// maxBeatRate bounds the heartbeats a second of all workers together, which cost the leader about 0.2 ms each.
	maxBeatRate = 1200
	// usableFor is how long after a heartbeat new runs are placed on a worker: three heartbeats and a margin
	// while there are few workers, else usableBeats of them.
	usableFor   = 900 * time.Millisecond
	usableBeats = 3
	// passInterval is how often placement runs without an event.
	passInterval = 100 * time.Millisecond
	// commitWait bounds how long a heartbeat's answer waits for commits; workers drop answers after a second.
	commitWait = 600 * time.Millisecond
	// planWait bounds how long a heartbeat's answer waits for new starts.
	planWait = 60 * time.Millisecond
	// failureMemory and flakyFailures say when a worker is avoided.
	failureMemory = 6 * time.Second
	flakyFailures = 2
	// maxOpenJobs bounds accepted jobs that have not ended; further ones are refused.
	maxOpenJobs = 5000
)

// Scheduler runs stepped jobs while this process leads.
type Scheduler struct {
	cfg     Config
	metrics figures

	mu     sync.Mutex
	office *office
}

// office is one time in office; its fields are guarded by the scheduler's lock.
type office struct {
	ctx     context.Context
	term    uint64
	replica state.Replica
	ledger  *batch.Ledger
	since   time.Duration
	// pending holds proposed starts that are not committed yet.
	pending map[batch.TaskID]batch.Start
	workers map[string]*worker
	// begun holds the open jobs of which a run was seen.
	begun map[string]bool
	// broken holds the runs of gangs, by their first member, of which a member reported that another one ended.
	broken map[RunRef]bool
	// breakers holds the runs of gangs, by their first member, of which the member that ended first is known.
	breakers map[RunRef]bool
	// stopping holds the runs that are stopped to make room, with the job that asked.
	stopping map[RunRef]string
	// blocked holds since when a gang has found no place.
	blocked map[batch.TaskID]time.Duration
	// reclaimAt is when room for a step may be looked for among others again.
	reclaimAt map[batch.TaskID]time.Duration
	tickets   map[string]*tickets
	wake      chan struct{}
	// planned is closed when the latest placement pass is committed.
	planned chan struct{}
}

// New returns a scheduler that does nothing until it leads.
func New(cfg Config) *Scheduler {
	if cfg.Logger == nil {
		cfg.Logger = log.NewNopLogger()
	}
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewSet()
	}
	if cfg.Boot == nil {
		cfg.Boot = clock.SinceBoot
	}
	if cfg.Wall == nil {
		cfg.Wall = time.Now
	}
	s := &Scheduler{cfg: cfg}
	s.metrics = newFigures(cfg.Metrics, s)
	return s
}

// hold returns the lease that heartbeats get.
func (s *Scheduler) hold() time.Duration { return min(holdTime, s.cfg.Limits.MaxHold) }

// beatInterval returns the pause that workers are asked for between heartbeats.
func (o *office) beatInterval() time.Duration {
	return max(minBeatInterval, time.Duration(len(o.workers))*time.Second/maxBeatRate)
}

// silentAfter returns how long after a heartbeat a worker does not count as silent.
func (o *office) silentAfter() time.Duration { return max(usableFor, usableBeats*o.beatInterval()) }

// expiry returns how long after a heartbeat arrived its lease has expired on any clock.
func (s *Scheduler) expiry() time.Duration {
	return time.Duration(float64(s.hold())*(1+maxClockSlowness)) + leaseMargin
}

// Lead runs until ctx ends, when the lease or the term is lost.
func (s *Scheduler) Lead(ctx context.Context, term uint64, r state.Replica) {
	o := &office{
		ctx: ctx, term: term, replica: r, ledger: r.Machine().Batch(), since: s.cfg.Boot(),
		pending: map[batch.TaskID]batch.Start{}, workers: map[string]*worker{}, begun: map[string]bool{},
		stopping: map[RunRef]string{}, broken: map[RunRef]bool{}, breakers: map[RunRef]bool{}, blocked: map[batch.TaskID]time.Duration{}, reclaimAt: map[batch.TaskID]time.Duration{}, tickets: map[string]*tickets{},
		wake: make(chan struct{}, 1), planned: make(chan struct{}),
	}
	s.mu.Lock()
	s.office = o
	s.mu.Unlock()
	o.ledger.View(func(b *batch.Book) {
		s.cfg.Logger.Log("event", "scheduling_began", "term", term, "open_jobs", len(b.Open), "config_version", b.Catalog.Version, "workers_with_runs", len(b.Runs))
	})
	var wg sync.WaitGroup
	wg.Go(func() { s.place(o) })
	wg.Go(func() { s.sweep(o) })
	wg.Go(func() { s.maintain(o) })
	wg.Go(func() { s.advise(o) })
	wg.Wait()
	s.mu.Lock()
	if s.office == o {
		s.office = nil
	}
	s.mu.Unlock()
	s.cfg.Logger.Log("event", "scheduling_ended", "term", term)
}

// current returns the present time in office.
func (s *Scheduler) current() (*office, *model.Error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.office == nil || s.office.ctx.Err() != nil {
		return nil, model.NotRun(model.CodeNoLeader, "this instance does not schedule yet")
	}
	return s.office, nil
}

// change commits a change; the result's failure is returned as the error.
func (o *office) change(ctx context.Context, c batch.Change) (batch.Result, error) {
	res, err := o.replica.ExecuteIn(ctx, o.term, state.ChangeBatch{Change: c})
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

// kick runs a placement pass soon.
func (o *office) kick() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// Respond answers an encoded Call while leading.
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

// Answer answers a call while leading.
func (s *Scheduler) Answer(ctx context.Context, c Call) (Answer, error) {
	o, fail := s.current()
	if fail != nil {
		return Answer{}, fail
	}
	switch {
	case c.Beat != nil:
		return s.beat(ctx, o, *c.Beat)
	case c.Submit != nil:
		return s.submit(ctx, o, *c.Submit)
	case c.Show != nil:
		return s.show(o, *c.Show)
	case c.Cancel != nil:
		return s.cancel(ctx, o, *c.Cancel)
	case c.Declare != nil:
		return s.declare(ctx, o, *c.Declare)
	case c.Catalog:
		var a Answer
		o.ledger.View(func(b *batch.Book) { a.Source = b.Catalog.Source })
		return a, nil
	case c.Outage != nil:
		_, err := o.change(ctx, batch.Change{Service: c.Outage})
		s.cfg.Logger.Log("event", "outage_changed", "dc", c.Outage.DataCentre, "out", c.Outage.Out, "err", err)
		o.kick()
		return Answer{}, err
	case c.Wave != nil:
		_, err := o.change(ctx, batch.Change{Wave: c.Wave})
		s.cfg.Logger.Log("event", "wave_started", "wave", c.Wave.Number, "machines", strings.Join(c.Wave.Machines, ","), "maximum", c.Wave.Maximum, "duration_ms", c.Wave.DurationMS, "err", err)
		return Answer{}, err
	case c.WaveRef != nil:
		return o.wave(*c.WaveRef)
	case c.Leave != nil:
		return s.leave(o, c.Leave.Worker), nil
	case c.Ping, c.Refer:
		return Answer{}, nil
	default:
		return Answer{}, model.NotRun(model.CodeInvalid, "empty call")
	}
}

// Dump returns the leader's own state for the process dump.
func (s *Scheduler) Dump() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.office == nil {
		return nil
	}
	type dumpedWorker struct {
		Life     int64  `json:"life"`
		AgeMS    int64  `json:"age_ms"`
		Running  int    `json:"running"`
		Draining bool   `json:"draining,omitempty"`
		Gone     bool   `json:"gone,omitempty"`
		Rack     string `json:"rack"`
	}
	out := struct {
		Term     uint64                  `json:"term"`
		Workers  map[string]dumpedWorker `json:"workers"`
		Pending  int                     `json:"pending"`
		Stopping map[string]string       `json:"stopping"`
	}{Term: s.office.term, Workers: map[string]dumpedWorker{}, Pending: len(s.office.pending), Stopping: map[string]string{}}
	now := s.cfg.Boot()
	for id, w := range maps.All(s.office.workers) {
		out.Workers[id] = dumpedWorker{Life: w.beat.Life, AgeMS: (now - w.heard).Milliseconds(), Running: len(w.running), Draining: w.beat.Draining, Gone: w.gone, Rack: w.beat.Rack}
	}
	for run, job := range s.office.stopping {
		out.Stopping[run.Task.String()] = job
	}
	return out
}
