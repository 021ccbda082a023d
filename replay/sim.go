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
	// reportSeconds is the interval of progress reports, which so lag by half of it on average.
	reportSeconds = 120
	tickSeconds   = 5
	sampleSeconds = 60
	maxFailures   = 5
)

// epoch is the start of virtual time.
var epoch = time.Unix(1_700_000_000, 0)

func at(t float64) time.Time { return epoch.Add(time.Duration(t * float64(time.Second))) }

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
	state      runState
	attempt    int
	failures   int
	workers    []*machine
	progress   float64 // at the time of the last update
	checkpoint float64
	base       float64 // progress that the attempt began from
	rate       float64
	updated    float64
	readyAt    float64
	waitSince  float64
	waited     float64
	firstWait  float64 // until the first start, -1 before
	finished   float64 // 0 unless the work was done
	lostWork   float64
	failOn     string // worker whose task is going to fail
	epoch      int    // invalidates older finish events
	cancelled  bool
	index      int // in the queue or among the active runs
	round      int // of updateRates
}

// machine is a worker in the replay.
type machine struct {
	model.Worker
	up    bool
	sick  bool
	runs  []*run          // one entry for each task
	cores int             // in use really
	free  model.Resources // by declaration
}

type eventKind int

const (
	evSubmit eventKind = iota
	evCancel
	evEnd
	evReleased
	evFault
	evRecover
	evTick
	evSample
	evReport
)

type event struct {
	t     float64
	seq   int
	kind  eventKind
	run   *run
	epoch int
	fault fault
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
	tr     trace
	sched  Scheduler
	cfg    config.Config
	now    float64
	seq    int
	events eventHeap
	ws     []*machine
	byName map[string]*machine
	runs   []*run
	byID   map[string]*run
	open   int    // jobs that have not ended
	queue  runSet // waiting
	active runSet // running or stopping
	round  int
	m      *meter
	bound  float64 // at which the replay gives up
}

func newSim(tr trace, sched Scheduler) *sim {
	s := &sim{
		tr: tr, sched: sched, cfg: tr.size.Config, byName: map[string]*machine{},
		byID: map[string]*run{}, bound: tr.end * 6,
	}
	sched.Step(at(0), place.ConfigChanged{Config: s.cfg})
	for _, w := range workersOf(s.cfg) {
		m := &machine{Worker: w, up: true, free: w.Capacity}
		s.ws = append(s.ws, m)
		s.byName[w.Name] = m
		sched.Step(at(0), place.WorkerJoined{Worker: w})
	}
	for _, j := range tr.jobs {
		r := &run{traceJob: j, firstWait: -1}
		s.runs = append(s.runs, r)
		s.byID[j.spec.ID] = r
		s.push(event{t: j.at, kind: evSubmit, run: r})
		if j.cancel > 0 {
			s.push(event{t: j.cancel, kind: evCancel, run: r})
		}
	}
	s.open = len(s.runs)
	s.m = newMeter(s)
	for _, f := range tr.faults {
		s.push(event{t: f.at, kind: evFault, fault: f})
		s.push(event{t: f.until, kind: evRecover, fault: f})
	}
	s.push(event{t: tickSeconds, kind: evTick})
	s.push(event{t: sampleSeconds, kind: evSample})
	s.push(event{t: reportSeconds, kind: evReport})
	return s
}

func (s *sim) push(e event) {
	s.seq++
	e.seq = s.seq
	heap.Push(&s.events, e)
}

// run replays until every job has ended.
func (s *sim) run() *meter {
	s.decide()
	for s.open > 0 && s.now < s.bound {
		e := heap.Pop(&s.events).(event)
		s.m.advance(e.t)
		s.now = e.t
		changed := s.handle(e)
		for len(s.events) > 0 && s.events[0].t <= s.now {
			changed = s.handle(heap.Pop(&s.events).(event)) || changed
		}
		if changed {
			s.decide()
		}
	}
	s.m.finish()
	return s.m
}

// handle applies an event and reports whether the scheduler has something to decide.
func (s *sim) handle(e event) bool {
	switch e.kind {
	case evSubmit:
		s.requeue(e.run)
		s.sched.Step(at(s.now), place.JobSubmitted{Job: model.Job{Spec: e.run.spec, State: model.JobWaiting}, At: at(s.now)})
	case evCancel:
		s.cancelRun(e.run)
	case evEnd:
		if e.run.state != runRunning || e.epoch != e.run.epoch {
			return false
		}
		s.end(e.run)
	case evReleased:
		if e.epoch != e.run.epoch {
			return false
		}
		s.released(e.run)
	case evFault:
		s.disturb(e.fault)
		s.m.siteChanged()
	case evRecover:
		s.recover(e.fault)
		s.m.siteChanged()
	case evTick:
		if p, ok := s.sched.(interface{ Shortages() []place.Shortage }); ok && !s.m.away(s.now) {
			s.m.guarantees.reported(p.Shortages(), s.now)
		}
		s.push(event{t: s.now + tickSeconds, kind: evTick})
		return len(s.queue.runs) > 0
	case evSample:
		s.push(event{t: s.now + sampleSeconds, kind: evSample})
		s.m.sample()
		return false
	case evReport:
		s.push(event{t: s.now + reportSeconds, kind: evReport})
		s.report()
		return false
	}
	return true
}

// decide carries out the scheduler's decisions.
func (s *sim) decide() {
	for _, d := range s.m.timed(func() []place.Decision { return s.sched.Decide(at(s.now)) }) {
		switch d := d.(type) {
		case place.Start:
			s.start(s.byID[d.ID], d.Placement.Workers)
		case place.Preempt:
			s.m.preempted(s.byID[d.ID], d)
			s.stop(s.byID[d.ID])
		case place.Refuse:
			r := s.byID[d.ID]
			s.drop(r)
		}
	}
}

func (s *sim) start(r *run, names []string) {
	s.m.started(r, names)
	r.state, r.attempt = runRunning, r.attempt+1
	r.waited += s.now - r.waitSince
	if r.firstWait < 0 {
		r.firstWait = s.now - r.at
	}
	s.queue.remove(r)
	r.workers, r.failOn = r.workers[:0], ""
	for _, n := range names {
		w := s.byName[n]
		w.runs = append(w.runs, r)
		w.cores += r.usage.Cores
		w.free = minus(w.free, r.spec.Shape, 1)
		r.workers = append(r.workers, w)
		if w.sick || r.broken {
			r.failOn = n
		}
	}
	r.progress, r.base = r.checkpoint, r.checkpoint
	r.updated, r.readyAt, r.rate = s.now, s.now+startupSeconds, 0
	s.active.add(r)
	s.sched.Step(at(s.now), place.JobStarted{ID: r.spec.ID, Attempt: r.attempt})
	s.updateRates(r.workers)
	if r.failOn != "" {
		s.push(event{t: s.now + failSeconds, kind: evEnd, run: r, epoch: r.epoch})
	}
}

// updateRates sets the speed of all runs on some workers: cores that are asked
// for beyond a worker's capacity slow all its tasks alike.
func (s *sim) updateRates(ws []*machine) {
	s.round++
	for i, w := range ws {
		if i > 0 && ws[i-1] == w {
			continue
		}
		for _, r := range w.runs {
			if r.round != s.round {
				r.round = s.round
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
	if rate == r.rate || r.failOn != "" || r.state != runRunning {
		return
	}
	s.update(r)
	r.rate = rate
	r.epoch++
	s.push(event{t: max(s.now, r.readyAt) + (r.work-r.progress)/rate, kind: evEnd, run: r, epoch: r.epoch})
}

// runSet is a set of runs in an order that repeats.
type runSet struct{ runs []*run }

func (l *runSet) add(r *run) {
	r.index = len(l.runs)
	l.runs = append(l.runs, r)
}

func (l *runSet) remove(r *run) {
	last := l.runs[len(l.runs)-1]
	l.runs[r.index], last.index = last, r.index
	l.runs = l.runs[:len(l.runs)-1]
}

func (w *machine) speed() float64 {
	if w.cores <= w.Capacity.Cores {
		return 1
	}
	return float64(w.Capacity.Cores) / float64(w.cores)
}

// update advances a run's progress to now.
func (s *sim) update(r *run) {
	from := math.Max(r.updated, r.readyAt)
	if r.state == runRunning && r.failOn == "" && s.now > from {
		r.progress = math.Min(r.work, r.progress+(s.now-from)*r.rate)
		r.checkpoint = math.Max(r.checkpoint, math.Floor(r.progress/r.every)*r.every)
	}
	r.updated = s.now
}

// stop ends a run; it leaves after its checkpoint, or when the lease of a lost worker ends.
func (s *sim) stop(r *run) {
	s.update(r)
	wait := stopSeconds
	quick := r.quick
	for _, w := range r.workers {
		if !w.up {
			wait, quick = leaseSeconds, false
		}
	}
	if quick {
		r.checkpoint = math.Max(r.checkpoint, r.progress)
	}
	r.lostWork += r.progress - r.checkpoint
	r.state = runStopping
	r.epoch++
	s.push(event{t: s.now + wait, kind: evReleased, run: r, epoch: r.epoch})
}

func (s *sim) leave(r *run) {
	for _, w := range r.workers {
		if i := slices.Index(w.runs, r); i >= 0 {
			w.runs = slices.Delete(w.runs, i, i+1)
			w.cores -= r.usage.Cores
			w.free = minus(w.free, r.spec.Shape, -1)
		}
	}
	s.active.remove(r)
	s.m.left(r)
	ws := r.workers
	r.workers = nil
	s.updateRates(ws)
}

// released hands a stopped run back to the scheduler.
func (s *sim) released(r *run) {
	s.leave(r)
	e := place.JobReleased{ID: r.spec.ID, Attempt: r.attempt, Requeue: !r.cancelled, Checkpoint: r.checkpoint}
	if r.cancelled {
		s.close(r)
	} else {
		s.requeue(r)
	}
	s.sched.Step(at(s.now), e)
}

func (s *sim) requeue(r *run) {
	r.state, r.waitSince = runWaiting, s.now
	s.queue.add(r)
	s.m.waits(r)
}

// drop ends a waiting run.
func (s *sim) drop(r *run) {
	s.queue.remove(r)
	s.m.dropped(r)
	s.close(r)
}

func (s *sim) close(r *run) {
	r.state = runEnded
	s.open--
}

// end finishes or fails a run.
func (s *sim) end(r *run) {
	s.update(r)
	r.epoch++
	s.leave(r)
	e := place.JobReleased{ID: r.spec.ID, Attempt: r.attempt, FailedOn: r.failOn, Checkpoint: r.checkpoint}
	switch {
	case r.failOn == "":
		r.finished = s.now
		s.close(r)
	case r.broken && r.failures+1 >= maxFailures:
		s.close(r)
	default:
		r.failures++
		e.Requeue = true
		s.requeue(r)
	}
	s.sched.Step(at(s.now), e)
}

func (s *sim) cancelRun(r *run) {
	r.cancelled = true
	switch r.state {
	case runWaiting:
		s.drop(r)
		s.sched.Step(at(s.now), place.JobRemoved{ID: r.spec.ID})
	case runRunning:
		s.sched.Step(at(s.now), place.JobRemoved{ID: r.spec.ID})
		s.stop(r)
	}
}

func (s *sim) disturb(f fault) {
	switch {
	case f.dc != "":
		s.setDataCentre(f.dc, true)
	case f.sick:
		s.byName[f.worker].sick = true
	default:
		s.byName[f.worker].up = false
		s.sched.Step(at(s.now), place.WorkerLost{Name: f.worker})
	}
}

func (s *sim) recover(f fault) {
	switch {
	case f.dc != "":
		s.setDataCentre(f.dc, false)
	case f.sick:
		s.byName[f.worker].sick = false
	default:
		w := s.byName[f.worker]
		w.up = true
		w.Incarnation += "1"
		s.sched.Step(at(s.now), place.WorkerJoined{Worker: w.Worker})
	}
}

func (s *sim) setDataCentre(name string, out bool) {
	cfg, err := config.Apply(s.cfg, config.Patch{Changes: []config.Change{
		{SetDataCentre: &config.DataCentreState{Name: name, OutOfService: out}},
	}})
	if err != nil {
		panic(err) // the trace names a data centre that its site does not have
	}
	s.cfg = cfg
	s.sched.Step(at(s.now), place.ConfigChanged{Config: cfg})
}

// report sends the progress of all runs, as workers do in their polls.
func (s *sim) report() {
	for _, r := range s.active.runs {
		if r.state != runRunning {
			continue
		}
		s.update(r)
		s.sched.Step(at(s.now), place.JobProgress{ID: r.spec.ID, Progress: r.progress, Checkpoint: r.checkpoint, Usage: r.usage})
	}
}
