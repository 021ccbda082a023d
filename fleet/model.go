package fleet

import (
	"maps"
	"slices"
	"time"

	"turmericroute/batch"
)

const (
	// soundAfter is how long a run must have been at work to show that its worker can start runs.
	soundAfter = time.Second
	// soundFactor is the multiple of the time after which runs have failed on a worker that a run must be at work there.
	soundFactor = 2
	// maxStreak bounds the failures in a row that are kept of a worker.
	maxStreak = 8
	// maxEnded bounds the ended runs that are kept of a worker. It reports an end again until its commit is acknowledged.
	maxEnded = 64
	// stepRetention is how long a step is kept after its latest report.
	stepRetention = 30 * time.Second
)

// RunID identifies a run of a task.
type RunID struct {
	Task batch.TaskID
	Run  int
}

// stepOf returns the first task of the step that a run belongs to.
func (r RunID) stepOf() batch.TaskID {
	first := r.Task
	first.Index = 0
	return first
}

// counts reports whether the run counts among those placed: a gang counts as one, with its first member.
func (r RunID) counts(gang bool) bool { return !gang || r.Task.Index == 0 }

// Progress is what a worker reports of a run.
type Progress struct {
	RunID
	Percent int
	// Fresh means that the task has saved no progress, so that any progress is that of this run.
	Fresh bool
	// Estimate is the caller's estimate of the duration of the run's task, 0 if there is none.
	Estimate time.Duration
	// Gang means that the run stays at 100 percent until all members of its gang are done.
	Gang bool
}

// Profile is what the model needs to know of a worker itself.
type Profile struct {
	Service string
	// Size is the worker's part in the capacity of its service.
	Size int
}

// Worker is one life of a worker.
type Worker struct {
	id      string
	profile Profile
	runs    map[RunID]*run
	ended   []RunID
	// joinedAt is when the model first heard of the worker, heardAt when it last did.
	joinedAt, heardAt time.Duration
	// streak holds the failures since the latest sound run, oldest first, and inherited counts those under earlier
	// leaders.
	streak    []failure
	inherited int
	// unexplained counts the failures in a row that their jobs do not explain, as of when the worker was last judged.
	unexplained int
	// soundAt is when the latest sound run started; valid if sound is set.
	soundAt time.Duration
	sound   bool
	// doneAt is when a run was last done, and doneAfter how long it was seen at work.
	doneAt, doneAfter time.Duration
	probation
	rates []stepSpeed
	speed Speed
}

// run is a run that is at work on a worker.
type run struct {
	// startedAt is the time and startPercent the progress of the first report. The run started after notBefore, when the
	// worker reported without it.
	startedAt, notBefore time.Duration
	startPercent         int
	// base is the first report that shows progress; a member of a gang may have waited before.
	base point
	// measured is the progress since base at the latest measurement of the rate.
	measured int
	estimate time.Duration
	sound    bool
}

// point is a progress at a time; moved is set once there is one.
type point struct {
	at      time.Duration
	percent int
	moved   bool
}

// Model is what a leader knows of all workers.
type Model struct {
	workers  map[string]*Worker
	services map[string]*service
	steps    map[batch.TaskID]*step
	paces    paces
	// changed holds the workers whose standing has changed since TakeChanged.
	changed map[string]bool
}

// Standing is what placement needs to know of a worker, apart from whether it is proven now.
type Standing struct {
	// Probation workers get no runs but probes.
	Probation bool
	// Suspect workers have failed a run lately that its job does not explain, Failing ones several in a row.
	Suspect, Failing bool
	SpeedClass       int
}

// step is what is known of a step of a job.
type step struct {
	reportedAt time.Duration
	// placed counts the runs, a gang counting as one, and failures those that have failed, on the workers in failedOn.
	// soundRuns counts the sound ones.
	placed, failures int
	failedOn         map[string]bool
	soundRuns        int
	scale            scale
}

// New returns a model without workers.
func New() *Model {
	return &Model{workers: map[string]*Worker{}, services: map[string]*service{}, steps: map[batch.TaskID]*step{}, changed: map[string]bool{}, paces: newPaces()}
}

// TakeChanged returns the workers whose standing may have changed since the last call.
func (m *Model) TakeChanged() []string {
	if len(m.changed) == 0 {
		return nil
	}
	ids := slices.Sorted(maps.Keys(m.changed))
	clear(m.changed)
	return ids
}

// Standing returns the standing of a worker.
func (m *Model) Standing(w *Worker, now time.Duration) Standing {
	state := m.State(w, now)
	return Standing{
		Probation: state == Probation, Suspect: state == Suspect, Failing: state == Suspect && w.Failing(),
		SpeedClass: w.speed.Class(),
	}
}

// Failing reports whether the worker has failed several runs in a row that their jobs do not explain.
func (w *Worker) Failing() bool { return w.unexplained >= maxFailures }

// SuspectUntil returns until when a worker is suspect, 0 if it is not or if time does not end that.
func (w *Worker) SuspectUntil() time.Duration {
	if w.out || w.unexplained == 0 || len(w.streak) == 0 {
		return 0
	}
	return w.lastFailure().at + suspectFor
}

// Join adds a life of a worker with what the ledger holds of it, and replaces an earlier life.
func (m *Model) Join(id string, p Profile, known batch.Health, now time.Duration) (*Worker, []Event) {
	m.Leave(id)
	w := &Worker{id: id, profile: p, runs: map[RunID]*run{}, inherited: known.Failures, joinedAt: now}
	if known.SpeedPercent > 0 {
		w.speed = Speed{Factor: float64(known.SpeedPercent) / 100, Runs: minSpeedRuns}
		w.rates = []stepSpeed{{residual: w.speed.log(), weight: minSpeedRuns, compared: true}}
	}
	m.workers[id] = w
	m.service(p.Service).add(w)
	m.changed[id] = true
	return w, m.judge(w, false, now)
}

// Leave drops a worker.
func (m *Model) Leave(id string) {
	w := m.workers[id]
	if w == nil {
		return
	}
	m.service(w.profile.Service).remove(w)
	delete(m.workers, id)
}

// Update records a change of a worker's profile.
func (m *Model) Update(w *Worker, p Profile) {
	if w.profile == p {
		return
	}
	m.service(w.profile.Service).remove(w)
	w.profile = p
	m.service(p.Service).add(w)
}

// Placed records that a run is to start on a worker of a service.
func (m *Model) Placed(name string, id RunID, gang bool, now time.Duration) {
	if !id.counts(gang) {
		return
	}
	m.service(name).notePlaced(now)
	m.stepFor(id, now).placed++
}

// Report records the progress of a run.
func (m *Model) Report(w *Worker, p Progress, now time.Duration) []Event {
	if m.workers[w.id] != w {
		return nil
	}
	r := w.runs[p.RunID]
	if r == nil {
		if w.heardAt == 0 && p.counts(p.Gang) {
			m.stepFor(p.RunID, now).placed++ // by an earlier leader
		}
		r = &run{startedAt: now, notBefore: w.heardAt, startPercent: p.Percent, estimate: p.Estimate}
		if p.Fresh && p.Percent > 0 {
			r.base = point{at: now, percent: p.Percent, moved: true}
		}
		w.runs[p.RunID] = r
		m.stepFor(p.RunID, now).scale.noteBegun(w)
		return nil
	}
	switch {
	case r.base.moved:
		m.measure(w, r, p, now)
	case p.Percent > r.startPercent:
		r.base = point{at: now, percent: p.Percent, moved: true}
	}
	if r.sound || !r.base.moved || now-r.startedAt < w.soundTime() {
		return nil
	}
	r.sound = true
	return m.noteSound(w, p.RunID, r.notBefore, now)
}

// soundTime returns how long a run must be at work to show that the worker is sound.
func (w *Worker) soundTime() time.Duration {
	d := soundAfter
	for _, f := range w.streak {
		d = max(d, soundFactor*f.lasted)
	}
	return d
}

// Heard records that a worker's report has been processed whole.
func (w *Worker) Heard(now time.Duration) { w.heardAt = now }

// End records the end of a run. Ends that are reported again have no effect.
func (m *Model) End(w *Worker, id RunID, how batch.EndReason, gang bool, now time.Duration) []Event {
	if m.workers[w.id] != w || slices.Contains(w.ended, id) {
		return nil
	}
	w.ended = append(w.ended, id)
	if len(w.ended) > maxEnded {
		w.ended = slices.Delete(w.ended, 0, 1)
	}
	r := w.runs[id]
	delete(w.runs, id)
	probed := w.endProbe(id)
	if r == nil {
		r = &run{startedAt: now, notBefore: w.heardAt} // it has started and ended since the report before
	}
	switch how {
	case batch.EndDone:
		w.doneAt, w.doneAfter = now, now-r.startedAt
		if r.base.moved && !gang {
			m.measure(w, r, Progress{RunID: id, Percent: 100, Estimate: r.estimate}, now)
		}
		return m.noteSound(w, id, r.notBefore, now)
	case batch.EndFailed:
		return m.noteFailure(w, id, r.startedAt, probed, now)
	}
	return nil
}

// Retain drops the runs of a worker that it no longer has.
func (w *Worker) Retain(has func(RunID) bool) {
	maps.DeleteFunc(w.runs, func(id RunID, _ *run) bool { return !has(id) })
}

// stepFor returns the record of a run's step.
func (m *Model) stepFor(id RunID, now time.Duration) *step {
	first := id.stepOf()
	st := m.steps[first]
	if st == nil {
		st = &step{failedOn: map[string]bool{}}
		m.steps[first] = st
	}
	st.reportedAt = now
	return st
}

// Health returns what the ledger keeps of the worker for the next leader.
func (m *Model) Health(w *Worker) batch.Health {
	h := batch.Health{Failures: w.unexplained}
	if w.speed.Known() {
		h.SpeedPercent = w.speed.percent()
	}
	return h
}

// Tick does what is due by time alone: it ends probations without probes, and drops steps that are no longer reported.
func (m *Model) Tick(now time.Duration) []Event {
	for first, st := range m.steps {
		if now-st.reportedAt > stepRetention {
			delete(m.steps, first)
		}
	}
	m.recentre()
	var events []Event
	for _, s := range m.services {
		events = append(events, m.review(s, now)...)
	}
	return events
}
