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
	// leaseDuration is the lease that each heartbeat gets, where the deployment allows as much: three
	// heartbeats and a change of leader fit in, and a lost worker's tasks are free soon after.
	leaseDuration = 4500 * time.Millisecond
	// maxClockDrift is how much slower a worker's clock may be.
	maxClockDrift = 0.03
	// leaseMargin covers the time from the expiry of a lease to the end of what it held.
	leaseMargin = 300 * time.Millisecond
	// minHeartbeatInterval is the least pause that workers are asked for between heartbeats. They carry all
	// orders: members of a gang wait for each other that long.
	minHeartbeatInterval = 100 * time.Millisecond
	// maxHeartbeatRate bounds the heartbeats a second of all workers together, which cost the leader about 0.2 ms each.
	maxHeartbeatRate = 1200
	// minSilentAfter is how long after a heartbeat new runs are placed on a worker: three heartbeats and a margin
	// while there are few workers, else silentAfterHeartbeats of them.
	minSilentAfter        = 900 * time.Millisecond
	silentAfterHeartbeats = 3
	// passInterval is how often placement runs without an event.
	passInterval = 100 * time.Millisecond
	// commitWait bounds how long a heartbeat's answer waits for commits; workers drop answers after a second.
	commitWait = 600 * time.Millisecond
	// passWait bounds how long a heartbeat's answer waits for new starts.
	passWait = 60 * time.Millisecond
	// failureWindow and flakyFailures say when a worker is avoided.
	failureWindow = 6 * time.Second
	flakyFailures = 2
	// maxOpenJobs bounds accepted jobs that have not ended; further ones are refused.
	maxOpenJobs = 5000
)

// Scheduler runs stepped jobs while this process leads.
type Scheduler struct {
	cfg     Config
	metrics schedulerMetrics

	mu         sync.Mutex
	leadership *leadership
}

// leadership is one time in leadership; its fields are guarded by the scheduler's lock.
type leadership struct {
	ctx     context.Context
	term    uint64
	replica state.Replica
	ledger  *batch.Ledger
	since   time.Duration
	// pending holds proposed starts that are not committed yet.
	pending map[batch.TaskID]batch.Start
	workers map[string]*worker
	// startedJobs holds the open jobs of which a run was seen.
	startedJobs map[string]bool
	// brokenGangs holds the runs of gangs, by their first member, of which a member reported that another one ended.
	brokenGangs map[RunRef]bool
	// causeKnown holds the runs of gangs, by their first member, of which the member that ended first is known.
	causeKnown map[RunRef]bool
	// preempting holds the runs that are stopped to make room, with the job that asked.
	preempting map[RunRef]string
	// blockedSince holds since when a gang has found no place.
	blockedSince map[batch.TaskID]time.Duration
	// nextPreemptAt is when room for a step may be looked for among others again.
	nextPreemptAt map[batch.TaskID]time.Duration
	tickets       map[string]*tickets
	wake          chan struct{}
	// passDone is closed when the latest placement pass is committed.
	passDone chan struct{}
}

// New returns a scheduler that does nothing until it leads.
func New(cfg Config) *Scheduler {
	if cfg.Logger == nil {
		cfg.Logger = log.NewNopLogger()
	}
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewSet()
	}
	if cfg.BootClock == nil {
		cfg.BootClock = clock.Boot
	}
	if cfg.WallClock == nil {
		cfg.WallClock = time.Now
	}
	s := &Scheduler{cfg: cfg}
	s.metrics = newSchedulerMetrics(cfg.Metrics, s)
	return s
}

// lease returns the lease that heartbeats get.
func (s *Scheduler) lease() time.Duration { return min(leaseDuration, s.cfg.Limits.MaxLease) }

// heartbeatInterval returns the pause that workers are asked for between heartbeats.
func (o *leadership) heartbeatInterval() time.Duration {
	return max(minHeartbeatInterval, time.Duration(len(o.workers))*time.Second/maxHeartbeatRate)
}

// silentAfter returns how long after a heartbeat a worker does not count as silent.
func (o *leadership) silentAfter() time.Duration {
	return max(minSilentAfter, silentAfterHeartbeats*o.heartbeatInterval())
}

// leaseExpiry returns how long after a heartbeat arrived its lease has expired on any clock.
func (s *Scheduler) leaseExpiry() time.Duration {
	return time.Duration(float64(s.lease())*(1+maxClockDrift)) + leaseMargin
}

// Lead runs until ctx ends, when the lease or the term is lost.
func (s *Scheduler) Lead(ctx context.Context, term uint64, r state.Replica) {
	o := &leadership{
		ctx: ctx, term: term, replica: r, ledger: r.Machine().Batch(), since: s.cfg.BootClock(),
		pending: map[batch.TaskID]batch.Start{}, workers: map[string]*worker{}, startedJobs: map[string]bool{},
		preempting: map[RunRef]string{}, brokenGangs: map[RunRef]bool{}, causeKnown: map[RunRef]bool{}, blockedSince: map[batch.TaskID]time.Duration{}, nextPreemptAt: map[batch.TaskID]time.Duration{}, tickets: map[string]*tickets{},
		wake: make(chan struct{}, 1), passDone: make(chan struct{}),
	}
	s.mu.Lock()
	s.leadership = o
	s.mu.Unlock()
	o.ledger.View(func(b *batch.State) {
		s.cfg.Logger.Log("event", "scheduling_began", "term", term, "open_jobs", len(b.Open), "config_version", b.Catalog.Version, "workers_with_runs", len(b.Runs))
	})
	var wg sync.WaitGroup
	wg.Go(func() { s.runPlacement(o) })
	wg.Go(func() { s.sweep(o) })
	wg.Go(func() { s.runMaintenance(o) })
	wg.Go(func() { s.requestTickets(o) })
	wg.Wait()
	s.mu.Lock()
	if s.leadership == o {
		s.leadership = nil
	}
	s.mu.Unlock()
	s.cfg.Logger.Log("event", "scheduling_ended", "term", term)
}

// current returns the present time in office.
func (s *Scheduler) current() (*leadership, *model.Error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leadership == nil || s.leadership.ctx.Err() != nil {
		return nil, model.NotRun(model.CodeNoLeader, "this instance does not schedule yet")
	}
	return s.leadership, nil
}

// commit commits a commit; the result's failure is returned as the error.
func (o *leadership) commit(ctx context.Context, c batch.Change) (batch.Result, error) {
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

// triggerPass runs a placement pass soon.
func (o *leadership) triggerPass() {
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
	case c.Heartbeat != nil:
		return s.heartbeat(ctx, o, *c.Heartbeat)
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
		o.ledger.View(func(b *batch.State) { a.Source = b.Catalog.Source })
		return a, nil
	case c.Outage != nil:
		_, err := o.commit(ctx, batch.Change{Outage: c.Outage})
		s.cfg.Logger.Log("event", "outage_changed", "dc", c.Outage.DataCentre, "out", c.Outage.Out, "err", err)
		o.triggerPass()
		return Answer{}, err
	case c.Wave != nil:
		_, err := o.commit(ctx, batch.Change{Wave: c.Wave})
		s.cfg.Logger.Log("event", "wave_started", "wave", c.Wave.Number, "machines", strings.Join(c.Wave.Machines, ","), "maximum", c.Wave.MaxConcurrent, "duration_ms", c.Wave.DurationMS, "err", err)
		return Answer{}, err
	case c.WaveStatus != nil:
		return o.waveStatus(*c.WaveStatus)
	case c.Leave != nil:
		return s.leave(o, c.Leave.Worker), nil
	case c.Ping, c.ConfirmLeader:
		return Answer{}, nil
	default:
		return Answer{}, model.NotRun(model.CodeInvalid, "empty call")
	}
}

// Dump returns the leader's own state for the process dump.
func (s *Scheduler) Dump() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leadership == nil {
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
	}{Term: s.leadership.term, Workers: map[string]dumpedWorker{}, Pending: len(s.leadership.pending), Stopping: map[string]string{}}
	now := s.cfg.BootClock()
	for id, w := range maps.All(s.leadership.workers) {
		out.Workers[id] = dumpedWorker{Life: w.hb.Incarnation, AgeMS: (now - w.heardAt).Milliseconds(), Running: len(w.running), Draining: w.hb.Draining, Gone: w.gone, Rack: w.hb.Rack}
	}
	for run, job := range s.leadership.preempting {
		out.Stopping[run.Task.String()] = job
	}
	return out
}
