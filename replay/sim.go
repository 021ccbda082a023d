package replay

import (
	"container/heap"
	"math"
	"slices"
	"time"

	"turmericroute/config"
	"turmericroute/model"
	"turmericroute/place"
)

// Scheduler receives the events of a replay and makes its decisions;
// place.Policy and the baselines implement it.
type Scheduler interface {
	Step(now time.Time, e place.Event)
	Decide(now time.Time) []place.Decision
}

const (
	// stopSeconds is the time to checkpoint, throttle and stop a gang.
	stopSeconds = 1.2
	// leaseSeconds is the time until a lost worker has ended its tasks.
	leaseSeconds = 10
	// failSeconds is the time from the start of a task until it fails, on a
	// worker that fails its tasks or as part of a job that always fails.
	failSeconds = 20
	// reportIntervalSeconds is the interval of progress reports; the reported
	// progress lags by half of it on average.
	reportIntervalSeconds = 120
	// tickIntervalSeconds is the interval at which waiting jobs are decided on and shortages are read.
	tickIntervalSeconds = 5
	// sampleIntervalSeconds is the interval at which fragmentation is sampled.
	sampleIntervalSeconds = 60
	// maxFailures is the number of failures after which a job that always fails ends.
	maxFailures = 5
)

// virtualEpoch is the time at virtual second 0.
var virtualEpoch = time.Unix(1_700_000_000, 0)

// virtualTime returns the time at a virtual second.
func virtualTime(t float64) time.Time {
	return virtualEpoch.Add(time.Duration(t * float64(time.Second)))
}

// runState is the state of a run.
type runState int

const (
	runWaiting runState = iota
	runRunning
	runStopping
	runEnded
)

// run is a submitted job with all its attempts. Times are in virtual seconds,
// progress and checkpoints in seconds of work.
type run struct {
	traceJob
	state                runState
	attempt              int
	failures             int
	workers              []*simWorker
	progress             float64 // at updatedAt
	checkpoint           float64 // progress at the last checkpoint
	attemptStartProgress float64 // progress at the start of the attempt
	rate                 float64 // seconds of work per second; at most 1
	updatedAt            float64 // time of the last progress update
	readyAt              float64 // time from which the attempt progresses
	waitingSince         float64
	totalWait            float64 // seconds, summed over all attempts
	firstWait            float64 // seconds from submission to the first start; -1 before that
	finishedAt           float64 // 0 if the work has not been completed
	lostWork             float64 // seconds of work lost to stops
	failingWorker        string  // worker on which a task of this attempt will fail; empty if none
	generation           int     // events of older generations are ignored
	cancelled            bool
	index                int // position in sim.queue or sim.active
	rateRound            int // last call of updateRates that visited the run
}

// simWorker is a worker in the replay.
type simWorker struct {
	model.Worker
	up         bool
	failsTasks bool            // fails every task that starts on it
	runs       []*run          // one entry per task
	usedCores  int             // actual use
	free       model.Resources // capacity less declared use
}

// sim replays one trace through one scheduler.
type sim struct {
	trace         trace
	scheduler     Scheduler
	cfg           config.Config
	now           float64
	seq           int
	events        eventHeap
	workers       []*simWorker
	workersByName map[string]*simWorker
	runs          []*run
	runsByID      map[string]*run
	openRuns      int    // number of runs that have not ended, submitted or not
	queue         runSet // waiting runs
	active        runSet // running or stopping runs
	rateRound     int    // number of calls of updateRates
	meter         *meter
	giveUpAt      float64 // virtual second at which the replay ends even if runs are open
}

// newSim returns a replay of a trace. It passes the configuration and the
// workers to the scheduler.
func newSim(tr trace, sched Scheduler) *sim {
	s := &sim{
		trace: tr, scheduler: sched, cfg: tr.size.Config, workersByName: map[string]*simWorker{},
		runsByID: map[string]*run{}, giveUpAt: tr.submitEnd * 6,
	}
	sched.Step(virtualTime(0), place.ConfigChanged{Config: s.cfg})
	for _, w := range declaredWorkers(s.cfg) {
		sw := &simWorker{Worker: w, up: true, free: w.Capacity}
		s.workers = append(s.workers, sw)
		s.workersByName[w.Name] = sw
		sched.Step(virtualTime(0), place.WorkerJoined{Worker: w})
	}
	for _, j := range tr.jobs {
		r := &run{traceJob: j, firstWait: -1}
		s.runs = append(s.runs, r)
		s.runsByID[j.spec.ID] = r
		s.schedule(event{t: j.submitAt, kind: evSubmit, run: r})
		if j.cancelAt > 0 {
			s.schedule(event{t: j.cancelAt, kind: evCancel, run: r})
		}
	}
	s.openRuns = len(s.runs)
	s.meter = newMeter(s)
	for _, f := range tr.faults {
		s.schedule(event{t: f.start, kind: evFaultStart, fault: f})
		s.schedule(event{t: f.end, kind: evFaultEnd, fault: f})
	}
	s.schedule(event{t: tickIntervalSeconds, kind: evTick})
	s.schedule(event{t: sampleIntervalSeconds, kind: evSample})
	s.schedule(event{t: reportIntervalSeconds, kind: evReport})
	return s
}

// schedule adds an event.
func (s *sim) schedule(e event) {
	s.seq++
	e.seq = s.seq
	heap.Push(&s.events, e)
}

// replay runs the replay until every job has ended or giveUpAt is reached, and returns its meter.
func (s *sim) replay() *meter {
	s.applyDecisions()
	for s.openRuns > 0 && s.now < s.giveUpAt {
		e := heap.Pop(&s.events).(event)
		s.meter.integrate(e.t)
		s.now = e.t
		changed := s.handleEvent(e)
		for len(s.events) > 0 && s.events[0].t <= s.now {
			changed = s.handleEvent(heap.Pop(&s.events).(event)) || changed
		}
		if changed {
			s.applyDecisions()
		}
	}
	s.meter.finish()
	return s.meter
}

// handleEvent applies an event and reports whether the scheduler must decide afterwards.
func (s *sim) handleEvent(e event) bool {
	switch e.kind {
	case evSubmit:
		s.enqueue(e.run)
		s.scheduler.Step(virtualTime(s.now), place.JobSubmitted{Job: model.Job{Spec: e.run.spec, State: model.JobWaiting}, At: virtualTime(s.now)})
	case evCancel:
		s.cancelRun(e.run)
	case evAttemptEnd:
		if e.run.state != runRunning || e.generation != e.run.generation {
			return false
		}
		s.endAttempt(e.run)
	case evReleased:
		if e.generation != e.run.generation {
			return false
		}
		s.finishStop(e.run)
	case evFaultStart:
		s.startFault(e.fault)
		s.meter.updateCapacity()
	case evFaultEnd:
		s.endFault(e.fault)
		s.meter.updateCapacity()
	case evTick:
		if p, ok := s.scheduler.(interface{ Shortages() []place.Shortage }); ok && !s.meter.duringDeparture(s.now) {
			s.meter.guarantees.recordShortages(p.Shortages(), s.now)
		}
		s.schedule(event{t: s.now + tickIntervalSeconds, kind: evTick})
		return len(s.queue.runs) > 0
	case evSample:
		s.schedule(event{t: s.now + sampleIntervalSeconds, kind: evSample})
		s.meter.sampleFragmentation()
		return false
	case evReport:
		s.schedule(event{t: s.now + reportIntervalSeconds, kind: evReport})
		s.reportProgress()
		return false
	}
	return true
}

// applyDecisions asks the scheduler for decisions and carries them out.
func (s *sim) applyDecisions() {
	for _, d := range s.meter.timeDecide(func() []place.Decision { return s.scheduler.Decide(virtualTime(s.now)) }) {
		switch d := d.(type) {
		case place.Start:
			s.startRun(s.runsByID[d.ID], d.Placement.Workers)
		case place.Preempt:
			s.meter.recordPreemption(s.runsByID[d.ID], d)
			s.stopRun(s.runsByID[d.ID])
		case place.Refuse:
			r := s.runsByID[d.ID]
			s.removeQueued(r)
		}
	}
}

// startRun starts an attempt of a waiting run on the named workers, one name per task.
func (s *sim) startRun(r *run, names []string) {
	s.meter.recordStart(r, names)
	r.state, r.attempt = runRunning, r.attempt+1
	r.totalWait += s.now - r.waitingSince
	if r.firstWait < 0 {
		r.firstWait = s.now - r.submitAt
	}
	s.queue.remove(r)
	r.workers, r.failingWorker = r.workers[:0], ""
	for _, name := range names {
		w := s.workersByName[name]
		w.runs = append(w.runs, r)
		w.usedCores += r.usage.Cores
		w.free = subtractTasks(w.free, r.spec.Shape, 1)
		r.workers = append(r.workers, w)
		if w.failsTasks || r.alwaysFails {
			r.failingWorker = name
		}
	}
	r.progress, r.attemptStartProgress = r.checkpoint, r.checkpoint
	r.updatedAt, r.readyAt, r.rate = s.now, s.now+startupSeconds, 0
	s.active.add(r)
	s.scheduler.Step(virtualTime(s.now), place.JobStarted{ID: r.spec.ID, Attempt: r.attempt})
	s.updateRates(r.workers)
	if r.failingWorker != "" {
		s.schedule(event{t: s.now + failSeconds, kind: evAttemptEnd, run: r, generation: r.generation})
	}
}

// updateRates sets the rates of all runs on the workers. If the tasks on a
// worker use more cores than it has, all of them slow down equally. Repeated
// workers must be adjacent in ws.
func (s *sim) updateRates(ws []*simWorker) {
	s.rateRound++
	for i, w := range ws {
		if i > 0 && ws[i-1] == w {
			continue
		}
		for _, r := range w.runs {
			if r.rateRound != s.rateRound {
				r.rateRound = s.rateRound
				s.updateRate(r)
			}
		}
	}
}

// updateRate sets the rate of a run to the speed of its slowest worker and
// schedules its end if the rate has changed.
func (s *sim) updateRate(r *run) {
	rate := 1.0
	for i, w := range r.workers {
		if i == 0 || r.workers[i-1] != w {
			rate = math.Min(rate, w.speed())
		}
	}
	if rate == r.rate || r.failingWorker != "" || r.state != runRunning {
		return
	}
	s.updateProgress(r)
	r.rate = rate
	r.generation++
	s.schedule(event{t: max(s.now, r.readyAt) + (r.workSeconds-r.progress)/rate, kind: evAttemptEnd, run: r, generation: r.generation})
}

// runSet is a set of runs with a deterministic order of iteration. A run is in at most one set.
type runSet struct{ runs []*run }

// add appends a run and sets its index.
func (s *runSet) add(r *run) {
	r.index = len(s.runs)
	s.runs = append(s.runs, r)
}

// remove removes a run by moving the last run to its place.
func (s *runSet) remove(r *run) {
	last := s.runs[len(s.runs)-1]
	s.runs[r.index], last.index = last, r.index
	s.runs = s.runs[:len(s.runs)-1]
}

// speed returns the rate, at most 1, at which tasks progress on the worker.
func (w *simWorker) speed() float64 {
	if w.usedCores <= w.Capacity.Cores {
		return 1
	}
	return float64(w.Capacity.Cores) / float64(w.usedCores)
}

// updateProgress advances the progress and the checkpoint of a run to the current time.
func (s *sim) updateProgress(r *run) {
	from := math.Max(r.updatedAt, r.readyAt)
	if r.state == runRunning && r.failingWorker == "" && s.now > from {
		r.progress = math.Min(r.workSeconds, r.progress+(s.now-from)*r.rate)
		r.checkpoint = math.Max(r.checkpoint, math.Floor(r.progress/r.checkpointInterval)*r.checkpointInterval)
	}
	r.updatedAt = s.now
}

// stopRun stops the attempt of a run. The workers are released after the
// checkpoint or, if one of them is lost, when its lease has ended.
func (s *sim) stopRun(r *run) {
	s.updateProgress(r)
	delay := stopSeconds
	checkpoints := r.checkpointsOnStop
	for _, w := range r.workers {
		if !w.up {
			delay, checkpoints = leaseSeconds, false
		}
	}
	if checkpoints {
		r.checkpoint = math.Max(r.checkpoint, r.progress)
	}
	r.lostWork += r.progress - r.checkpoint
	r.state = runStopping
	r.generation++
	s.schedule(event{t: s.now + delay, kind: evReleased, run: r, generation: r.generation})
}

// releaseWorkers removes the tasks of a run from its workers and updates the
// rates of the other runs on them.
func (s *sim) releaseWorkers(r *run) {
	for _, w := range r.workers {
		if i := slices.Index(w.runs, r); i >= 0 {
			w.runs = slices.Delete(w.runs, i, i+1)
			w.usedCores -= r.usage.Cores
			w.free = subtractTasks(w.free, r.spec.Shape, -1)
		}
	}
	s.active.remove(r)
	s.meter.recordRelease(r)
	ws := r.workers
	r.workers = nil
	s.updateRates(ws)
}

// finishStop releases the workers of a stopped run and requeues the run unless it was cancelled.
func (s *sim) finishStop(r *run) {
	s.releaseWorkers(r)
	e := place.JobReleased{ID: r.spec.ID, Attempt: r.attempt, Requeue: !r.cancelled, Checkpoint: r.checkpoint}
	if r.cancelled {
		s.markEnded(r)
	} else {
		s.enqueue(r)
	}
	s.scheduler.Step(virtualTime(s.now), e)
}

// enqueue adds a run to the queue.
func (s *sim) enqueue(r *run) {
	r.state, r.waitingSince = runWaiting, s.now
	s.queue.add(r)
	s.meter.recordWait(r)
}

// removeQueued removes a waiting run from the queue and ends it.
func (s *sim) removeQueued(r *run) {
	s.queue.remove(r)
	s.meter.removeWaiting(r)
	s.markEnded(r)
}

// markEnded marks a run as ended.
func (s *sim) markEnded(r *run) {
	r.state = runEnded
	s.openRuns--
}

// endAttempt ends an attempt that has completed its work or failed. A failed
// run is requeued, unless it always fails and has reached maxFailures.
func (s *sim) endAttempt(r *run) {
	s.updateProgress(r)
	r.generation++
	s.releaseWorkers(r)
	e := place.JobReleased{ID: r.spec.ID, Attempt: r.attempt, FailedOn: r.failingWorker, Checkpoint: r.checkpoint}
	switch {
	case r.failingWorker == "":
		r.finishedAt = s.now
		s.markEnded(r)
	case r.alwaysFails && r.failures+1 >= maxFailures:
		s.markEnded(r)
	default:
		r.failures++
		e.Requeue = true
		s.enqueue(r)
	}
	s.scheduler.Step(virtualTime(s.now), e)
}

// cancelRun cancels a run: it removes a waiting run and stops a running one.
func (s *sim) cancelRun(r *run) {
	r.cancelled = true
	switch r.state {
	case runWaiting:
		s.removeQueued(r)
		s.scheduler.Step(virtualTime(s.now), place.JobRemoved{ID: r.spec.ID})
	case runRunning:
		s.scheduler.Step(virtualTime(s.now), place.JobRemoved{ID: r.spec.ID})
		s.stopRun(r)
	}
}

// reportProgress reports the progress of all running runs to the scheduler, as workers do when they poll.
func (s *sim) reportProgress() {
	for _, r := range s.active.runs {
		if r.state != runRunning {
			continue
		}
		s.updateProgress(r)
		s.scheduler.Step(virtualTime(s.now), place.JobProgress{ID: r.spec.ID, Progress: r.progress, Checkpoint: r.checkpoint, Usage: r.usage})
	}
}
