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

// Scheduler is what a replay drives; place.Policy and the baselines are schedulers.
type Scheduler interface {
	Step(now time.Time, e place.Event)
	Decide(now time.Time) []place.Decision
}

const (
	stopSeconds  = 1.2 // checkpoint, throttle and stop of a gang
	leaseSeconds = 10  // until a lost worker has ended its tasks
	failSeconds  = 20  // until a task on a sick worker or of a broken job fails
	// reportIntervalSeconds is the interval of progress reports, which so lag by half of it on average.
	reportIntervalSeconds = 120
	tickIntervalSeconds   = 5
	sampleIntervalSeconds = 60
	maxFailures           = 5
)

// virtualEpoch is the start of virtual time.
var virtualEpoch = time.Unix(1_700_000_000, 0)

func virtualTime(t float64) time.Time {
	return virtualEpoch.Add(time.Duration(t * float64(time.Second)))
}

type runState int

const (
	runWaiting runState = iota
	runRunning
	runStopping
	runEnded
)

// run is a job in progress.
type run struct {
	traceJob
	state                runState
	attempt              int
	failures             int
	workers              []*simWorker
	progress             float64 // at the time of the last update
	checkpoint           float64
	attemptStartProgress float64 // progress that the attempt began from
	rate                 float64
	updatedAt            float64
	readyAt              float64
	waitingSince         float64
	totalWait            float64
	firstWait            float64 // until the first start, -1 before
	finishedAt           float64 // 0 unless the work was done
	lostWork             float64
	failingWorker        string // worker whose task is going to fail
	generation           int    // invalidates older finish events
	cancelled            bool
	index                int // in the queue or among the active runs
	rateRound            int // of updateRates
}

// simWorker is a worker in the replay.
type simWorker struct {
	model.Worker
	up        bool
	sick      bool
	runs      []*run          // one entry for each task
	usedCores int             // in use really
	free      model.Resources // by declaration
}

type eventKind int

const (
	evSubmit eventKind = iota
	evCancel
	evAttemptEnd
	evReleased
	evFaultStart
	evFaultEnd
	evTick
	evSample
	evReport
)

type event struct {
	t          float64
	seq        int
	kind       eventKind
	run        *run
	generation int
	fault      fault
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].t == h[j].t {
		return h[i].seq < h[j].seq
	}
	return h[i].t < h[j].t
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
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
	openRuns      int    // jobs that have not ended
	queue         runSet // waiting
	active        runSet // running or stopping
	rateRound     int
	meter         *meter
	giveUpAt      float64 // at which the replay gives up
}

func newSim(tr trace, sched Scheduler) *sim {
	s := &sim{
		trace: tr, scheduler: sched, cfg: tr.size.Config, workersByName: map[string]*simWorker{},
		runsByID: map[string]*run{}, giveUpAt: tr.submitEnd * 6,
	}
	sched.Step(virtualTime(0), place.ConfigChanged{Config: s.cfg})
	for _, w := range declaredWorkers(s.cfg) {
		m := &simWorker{Worker: w, up: true, free: w.Capacity}
		s.workers = append(s.workers, m)
		s.workersByName[w.Name] = m
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

func (s *sim) schedule(e event) {
	s.seq++
	e.seq = s.seq
	heap.Push(&s.events, e)
}

// replay replays until every job has ended.
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

// handleEvent applies an event and reports whether the scheduler has something to decide.
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

// applyDecisions carries out the scheduler's decisions.
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
		if w.sick || r.alwaysFails {
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

// updateRates sets the speed of all runs on some workers: cores that are asked
// for beyond a worker's capacity slow all its tasks alike.
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

// runSet is a set of runs in an order that repeats.
type runSet struct{ runs []*run }

func (s *runSet) add(r *run) {
	r.index = len(s.runs)
	s.runs = append(s.runs, r)
}

func (s *runSet) remove(r *run) {
	last := s.runs[len(s.runs)-1]
	s.runs[r.index], last.index = last, r.index
	s.runs = s.runs[:len(s.runs)-1]
}

func (w *simWorker) speed() float64 {
	if w.usedCores <= w.Capacity.Cores {
		return 1
	}
	return float64(w.Capacity.Cores) / float64(w.usedCores)
}

// updateProgress advances a run's progress to now.
func (s *sim) updateProgress(r *run) {
	from := math.Max(r.updatedAt, r.readyAt)
	if r.state == runRunning && r.failingWorker == "" && s.now > from {
		r.progress = math.Min(r.workSeconds, r.progress+(s.now-from)*r.rate)
		r.checkpoint = math.Max(r.checkpoint, math.Floor(r.progress/r.checkpointInterval)*r.checkpointInterval)
	}
	r.updatedAt = s.now
}

// stopRun ends a run; it leaves after its checkpoint, or when the lease of a lost worker ends.
func (s *sim) stopRun(r *run) {
	s.updateProgress(r)
	delay := stopSeconds
	saves := r.checkpointsOnStop
	for _, w := range r.workers {
		if !w.up {
			delay, saves = leaseSeconds, false
		}
	}
	if saves {
		r.checkpoint = math.Max(r.checkpoint, r.progress)
	}
	r.lostWork += r.progress - r.checkpoint
	r.state = runStopping
	r.generation++
	s.schedule(event{t: s.now + delay, kind: evReleased, run: r, generation: r.generation})
}

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

// finishStop hands a stopped run back to the scheduler.
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

func (s *sim) enqueue(r *run) {
	r.state, r.waitingSince = runWaiting, s.now
	s.queue.add(r)
	s.meter.recordWait(r)
}

// removeQueued ends a waiting run.
func (s *sim) removeQueued(r *run) {
	s.queue.remove(r)
	s.meter.removeWaiting(r)
	s.markEnded(r)
}

func (s *sim) markEnded(r *run) {
	r.state = runEnded
	s.openRuns--
}

// endAttempt finishes or fails a run.
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

func (s *sim) startFault(f fault) {
	switch {
	case f.dataCentre != "":
		s.setOutOfService(f.dataCentre, true)
	case f.failsTasks:
		s.workersByName[f.worker].sick = true
	default:
		s.workersByName[f.worker].up = false
		s.scheduler.Step(virtualTime(s.now), place.WorkerLost{Name: f.worker})
	}
}

func (s *sim) endFault(f fault) {
	switch {
	case f.dataCentre != "":
		s.setOutOfService(f.dataCentre, false)
	case f.failsTasks:
		s.workersByName[f.worker].sick = false
	default:
		w := s.workersByName[f.worker]
		w.up = true
		w.Incarnation += "1"
		s.scheduler.Step(virtualTime(s.now), place.WorkerJoined{Worker: w.Worker})
	}
}

func (s *sim) setOutOfService(name string, out bool) {
	cfg, err := config.Apply(s.cfg, config.Patch{Changes: []config.Change{
		{SetDataCentre: &config.DataCentreInService{Name: name, OutOfService: out}},
	}})
	if err != nil {
		panic(err) // the trace names a data centre that its site does not have
	}
	s.cfg = cfg
	s.scheduler.Step(virtualTime(s.now), place.ConfigChanged{Config: cfg})
}

// reportProgress sends the progress of all runs, as workers do in their polls.
func (s *sim) reportProgress() {
	for _, r := range s.active.runs {
		if r.state != runRunning {
			continue
		}
		s.updateProgress(r)
		s.scheduler.Step(virtualTime(s.now), place.JobProgress{ID: r.spec.ID, Progress: r.progress, Checkpoint: r.checkpoint, Usage: r.usage})
	}
}
