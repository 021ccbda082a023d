package batch

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"sync"

	"turmericroute/model"
)

// Ledger is one replica of the state of stepped jobs. Apply must not be called concurrently with itself; View may be
// called at any time.
type Ledger struct {
	mu    sync.RWMutex
	state State
	// changesMu guards the exchange of state.changes while mu is held for reading.
	changesMu sync.Mutex
}

// State is the content of a ledger. Callers of View must not modify it.
type State struct {
	Catalog Catalog
	// OutOfService holds the data centres that are out of service.
	OutOfService map[string]bool
	Jobs         map[string]*Job
	// Open holds the jobs that are not in a final state.
	Open map[string]*Job
	// Runs indexes the active runs: the run number of each active task, by worker.
	Runs  map[string]map[TaskID]int
	Waves map[int64]*Wave
	// Tombstones holds the jobs that were cancelled before they were submitted, with the time of the latest
	// cancellation in Unix milliseconds. They are never accepted.
	Tombstones map[string]int64
	// Health holds what a new leader needs to know of workers at once, by worker.
	Health map[string]WorkerHealth
	// changes records what Apply changes, nil while nobody asks.
	changes *Changes
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	l := &Ledger{}
	l.state = newState()
	return l
}

func newState() State {
	return State{
		OutOfService: map[string]bool{}, Jobs: map[string]*Job{}, Open: map[string]*Job{},
		Runs: map[string]map[TaskID]int{}, Waves: map[int64]*Wave{}, Tombstones: map[string]int64{},
		Health: map[string]WorkerHealth{},
	}
}

// View calls f with the state, which does not change until f returns.
func (l *Ledger) View(f func(b *State)) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	f(&l.state)
}

// Apply applies a change and returns its result.
func (l *Ledger) Apply(c Change) Result {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := &l.state
	switch {
	case c.Accept != nil:
		return b.accept(*c.Accept, c.AtMS)
	case c.Cancel != nil:
		return b.cancel(c.Cancel.ID, c.AtMS)
	case c.Starts != nil:
		b.startRuns(c.Starts)
	case c.Ends != nil:
		for _, e := range c.Ends {
			b.endRun(e, c.AtMS)
		}
	case c.Catalog != nil:
		if c.Catalog.Version > b.Catalog.Version {
			b.Catalog = c.Catalog.indexed()
			b.changes.markAll()
		}
	case c.Outage != nil:
		b.changes.markAll()
		if c.Outage.Out {
			b.OutOfService[c.Outage.DataCentre] = true
		} else {
			delete(b.OutOfService, c.Outage.DataCentre)
		}
	case c.Wave != nil:
		if _, ok := b.Waves[c.Wave.Number]; !ok {
			w := *c.Wave
			w.StartedMS = c.AtMS
			b.Waves[w.Number] = &w
		}
	case c.WaveProgress != nil:
		b.recordWaveProgress(*c.WaveProgress)
	case c.Purge != nil:
		for _, id := range c.Purge {
			// A run that is still active needs its job until its end is recorded.
			if j, ok := b.Jobs[id]; ok && j.State.Final() && !j.active() {
				delete(b.Jobs, id)
			}
		}
		b.dropOldHealth(c.AtMS)
	case c.PurgeTombstonesBeforeMS != 0:
		maps.DeleteFunc(b.Tombstones, func(_ string, atMS int64) bool { return atMS < c.PurgeTombstonesBeforeMS })
	}
	return Result{}
}

func (b *State) accept(a Accept, atMS int64) Result {
	if j, ok := b.Jobs[a.ID]; ok {
		return Result{State: j.State, Duplicate: true}
	}
	if overtaken := b.Overtaken(a.ID); overtaken != nil {
		return Result{Failure: overtaken}
	}
	j := NewJob(a, atMS)
	b.Jobs[a.ID], b.Open[a.ID] = j, j
	b.changes.markJob(j.ID)
	return Result{State: j.State}
}

func (b *State) cancel(id string, atMS int64) Result {
	j, ok := b.Jobs[id]
	if !ok {
		return b.cancelUnknown(id, atMS)
	}
	if !j.State.Final() {
		b.finish(j, JobCancelled, "cancelled by the caller", atMS)
	}
	return Result{State: j.State}
}

// cancelUnknown leaves a tombstone for a job that is unknown. An acknowledged cancellation must not be forgotten while
// the submission may arrive, so it is refused when there are too many, in place of dropping older ones.
func (b *State) cancelUnknown(id string, atMS int64) Result {
	before, ok := b.Tombstones[id]
	if !ok && len(b.Tombstones) >= MaxTombstones {
		return Result{Failure: model.NotRun(model.CodeOverloaded, "too many jobs were cancelled before they were submitted: %d", len(b.Tombstones))}
	}
	b.Tombstones[id] = max(before, atMS)
	return Result{NoJob: true}
}

// MaxTombstones bounds the tombstones.
const MaxTombstones = 20000

// CodeCancelled is the code of a submission that its cancellation has overtaken.
const CodeCancelled model.Code = "cancelled"

// Overtaken returns the error of a submission that its cancellation has overtaken, nil if there was none.
func (b *State) Overtaken(id string) *model.Error {
	if _, ok := b.Tombstones[id]; !ok {
		return nil
	}
	return model.NotRun(CodeCancelled, "job %s was cancelled before its submission arrived", id)
}

func (b *State) finish(j *Job, s JobState, reason string, atMS int64) {
	j.State, j.Reason, j.FinishedMS = s, reason, atMS
	delete(b.Open, j.ID)
	b.changes.markJob(j.ID)
}

// startRuns records the runs that can start. The members of a gang start together or not at all.
func (b *State) startRuns(list []Start) {
	first := func(id TaskID) TaskID { id.Index = 0; return id }
	refused := map[TaskID]bool{} // by the first task of the step
	for _, s := range list {
		if !b.canStart(s) {
			refused[first(s.Task)] = true
		}
	}
	for _, s := range list {
		if !b.canStart(s) {
			continue
		}
		j := b.Open[s.Task.Job]
		if j.Spec.Steps[s.Task.Step].Gang && refused[first(s.Task)] {
			continue
		}
		t := j.Task(s.Task)
		t.Run, t.Active, t.Worker, t.Incarnation = s.Run, true, s.Worker, s.Incarnation
		b.dropFormerHealth(s.Worker, s.Incarnation)
		b.changes.markJob(j.ID)
		b.changes.markWorker(s.Worker)
		b.indexRun(s.Worker, s.Task, s.Run)
	}
}

// canStart reports whether the task can start the given run now.
func (b *State) canStart(s Start) bool {
	j := b.Open[s.Task.Job]
	if j == nil {
		return false
	}
	t := j.Task(s.Task)
	return t != nil && !t.Active && !t.Done && s.Run > t.Run && j.Ready(s.Task.Round, s.Task.Step)
}

// LatestLife returns the latest incarnation of a worker that has active runs, and false if none has.
func (b *State) LatestLife(worker string) (incarnation int64, ok bool) {
	for id := range b.Runs[worker] {
		if i := b.Jobs[id.Job].Task(id).Incarnation; !ok || i > incarnation {
			incarnation, ok = i, true
		}
	}
	return incarnation, ok
}

// indexRun adds an active run to the index of its worker.
func (b *State) indexRun(worker string, id TaskID, run int) {
	if b.Runs[worker] == nil {
		b.Runs[worker] = map[TaskID]int{}
	}
	b.Runs[worker][id] = run
}

// endRun records the end of a run, and ends the job if it is complete or has failed. Ends of runs that have been
// replaced are ignored, except for late failures.
func (b *State) endRun(e End, atMS int64) {
	j := b.Jobs[e.Task.Job]
	if j == nil {
		return
	}
	t := j.Task(e.Task)
	if t == nil {
		return
	}
	if e.LateFailure(*t) {
		t.UnresolvedRun = 0
		if !t.Done && !j.State.Final() {
			b.recordFailure(j, e, atMS)
		}
		return
	}
	if e.Run != t.Run {
		return
	}
	b.changes.markJob(j.ID)
	b.changes.markWorker(t.Worker)
	if e.Health != nil && t.Active {
		b.recordHealth(t.Worker, t.Incarnation, *e.Health, atMS)
	}
	if t.Active {
		t.Active = false
		if e.MayHaveFailed {
			t.UnresolvedRun = e.Run
		}
		delete(b.Runs[t.Worker], e.Task)
		if len(b.Runs[t.Worker]) == 0 {
			delete(b.Runs, t.Worker)
		}
	} else if e.Reason != EndDone {
		return
	}
	if e.Checkpoint != "" {
		t.Checkpoint = e.Checkpoint
	}
	if t.Done || j.State.Final() {
		return
	}
	step := j.Spec.Steps[e.Task.Step]
	st := &j.Rounds[e.Task.Round][e.Task.Step]
	switch {
	case step.LongRunning:
	case e.Reason == EndDone && step.Gang:
		// When one member is done, the gang is; the others' resources are released when their own ends are recorded.
		for i := range st.Tasks {
			st.Tasks[i].Done = true
		}
		st.Done = len(st.Tasks)
	case e.Reason == EndDone:
		t.Done = true
		st.Done++
	case e.Reason == EndFailed:
		b.recordFailure(j, e, atMS)
	}
	if !j.State.Final() && j.complete() {
		b.finish(j, JobSucceeded, "", atMS)
	}
}

// recordFailure counts a failed run, once for all members of a gang, and fails the job when MaxFailures is reached.
func (b *State) recordFailure(j *Job, e End, atMS int64) {
	st := &j.Rounds[e.Task.Round][e.Task.Step]
	if !j.Spec.Steps[e.Task.Step].Gang {
		t := j.Task(e.Task)
		if t.Failures++; t.Failures >= j.MaxFailures {
			b.finish(j, JobFailed, fmt.Sprintf("task %s failed %d times", e.Task, t.Failures), atMS)
		}
		return
	}
	if slices.Contains(st.FailedRuns, e.Run) {
		return
	}
	st.FailedRuns = append(st.FailedRuns, e.Run)
	if n := len(st.FailedRuns); n >= j.MaxFailures {
		b.finish(j, JobFailed, fmt.Sprintf("gang of %s failed %d times", e.Task, n), atMS)
	}
}

func (b *State) recordWaveProgress(p WaveProgress) {
	w, ok := b.Waves[p.Wave]
	if !ok {
		return
	}
	if p.Machine != "" && !slices.Contains(w.StartedMachines, p.Machine) {
		w.StartedMachines = append(w.StartedMachines, p.Machine)
	}
	w.Done = w.Done || p.Done
}

// Snapshot is the encoding of a ledger's state.
type Snapshot struct {
	Catalog      Catalog  `json:"catalog"`
	OutOfService []string `json:"out,omitempty"`
	Jobs         []*Job   `json:"jobs,omitempty"`
	Waves        []*Wave  `json:"waves,omitempty"`
	// Tombstones and Health are encoded with sorted keys.
	Tombstones map[string]int64        `json:"tombstones,omitempty"`
	Health     map[string]WorkerHealth `json:"health,omitempty"`
}

// EncodeSnapshot returns the state as JSON, in a deterministic order.
func (l *Ledger) EncodeSnapshot() (json.RawMessage, error) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	snap := Snapshot{Catalog: l.state.Catalog, OutOfService: slices.Sorted(maps.Keys(l.state.OutOfService)), Tombstones: l.state.Tombstones, Health: l.state.Health}
	for _, id := range slices.Sorted(maps.Keys(l.state.Jobs)) {
		snap.Jobs = append(snap.Jobs, l.state.Jobs[id])
	}
	for _, n := range slices.Sorted(maps.Keys(l.state.Waves)) {
		snap.Waves = append(snap.Waves, l.state.Waves[n])
	}
	data, err := json.Marshal(snap)
	if err != nil {
		return nil, fmt.Errorf("encode ledger: %w", err)
	}
	return data, nil
}

// Restore replaces the state by a snapshot; empty data means an empty ledger.
func (l *Ledger) Restore(data json.RawMessage) error {
	var snap Snapshot
	if len(data) > 0 {
		if err := json.Unmarshal(data, &snap); err != nil {
			return fmt.Errorf("decode ledger: %w", err)
		}
	}
	b := newState()
	b.Catalog = snap.Catalog.indexed()
	for _, dc := range snap.OutOfService {
		b.OutOfService[dc] = true
	}
	for _, j := range snap.Jobs {
		b.Jobs[j.ID] = j
		if !j.State.Final() {
			b.Open[j.ID] = j
		}
		b.indexJob(j)
	}
	for _, w := range snap.Waves {
		b.Waves[w.Number] = w
	}
	maps.Copy(b.Tombstones, snap.Tombstones)
	maps.Copy(b.Health, snap.Health)
	l.mu.Lock()
	defer l.mu.Unlock()
	b.changes = l.state.changes
	b.changes.markAll()
	l.state = b
	return nil
}

// indexJob adds the active runs of a job to the index.
func (b *State) indexJob(j *Job) {
	for r, round := range j.Rounds {
		for s, st := range round {
			for i, t := range st.Tasks {
				if t.Active {
					b.indexRun(t.Worker, TaskID{Job: j.ID, Round: r, Step: s, Index: i}, t.Run)
				}
			}
		}
	}
}
