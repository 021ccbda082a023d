package batch

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"sync"

	"turmericroute/model"
)

// Ledger is one copy of the replicated state of stepped jobs. Apply has one
// caller at a time; View may run at any time.
type Ledger struct {
	mu sync.RWMutex
	b  Book
}

// Book is the content of a ledger. Whoever holds it by View must not modify it.
type Book struct {
	Catalog Catalog
	// Out holds the data centres out of service.
	Out  map[string]bool
	Jobs map[string]*Job
	// Open holds the jobs that are not in a final state.
	Open map[string]*Job
	// Runs holds, by worker, the run of each active task.
	Runs  map[string]map[TaskID]int
	Waves map[int64]*Wave
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	l := &Ledger{}
	l.b = newBook()
	return l
}

func newBook() Book {
	return Book{
		Out: map[string]bool{}, Jobs: map[string]*Job{}, Open: map[string]*Job{},
		Runs: map[string]map[TaskID]int{}, Waves: map[int64]*Wave{},
	}
}

// View calls f with the content, which does not change meanwhile.
func (l *Ledger) View(f func(b *Book)) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	f(&l.b)
}

// Apply makes a change.
func (l *Ledger) Apply(c Change) Result {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := &l.b
	switch {
	case c.Accept != nil:
		return b.accept(*c.Accept, c.AtMS)
	case c.Cancel != nil:
		return b.cancel(c.Cancel.ID, c.AtMS)
	case c.Starts != nil:
		b.start(c.Starts)
	case c.Ends != nil:
		for _, e := range c.Ends {
			b.end(e, c.AtMS)
		}
	case c.Catalog != nil:
		if c.Catalog.Version > b.Catalog.Version {
			b.Catalog = *c.Catalog
		}
	case c.Service != nil:
		if c.Service.Out {
			b.Out[c.Service.DataCentre] = true
		} else {
			delete(b.Out, c.Service.DataCentre)
		}
	case c.Wave != nil:
		if _, ok := b.Waves[c.Wave.Number]; !ok {
			w := *c.Wave
			w.StartedMS = c.AtMS
			b.Waves[w.Number] = &w
		}
	case c.Upkeep != nil:
		b.upkeep(*c.Upkeep)
	case c.Forget != nil:
		for _, id := range c.Forget {
			if j, ok := b.Jobs[id]; ok && j.State.Final() {
				delete(b.Jobs, id)
			}
		}
	}
	return Result{}
}

func (b *Book) accept(a Accept, atMS int64) Result {
	if j, ok := b.Jobs[a.ID]; ok {
		return Result{State: j.State, Known: true}
	}
	j := &Job{
		ID: a.ID, Queue: a.Queue, Service: a.Service, Priority: a.Priority, MaxFailures: a.MaxFailures, Team: a.Team,
		Spec: a.Spec, State: JobOpen, AcceptedMS: atMS, Rounds: newRounds(a.Spec),
	}
	b.Jobs[a.ID], b.Open[a.ID] = j, j
	return Result{State: j.State}
}

func (b *Book) cancel(id string, atMS int64) Result {
	j, ok := b.Jobs[id]
	if !ok {
		return Result{Failure: model.NotRun(model.CodeNotFound, "no job %s", id)}
	}
	if !j.State.Final() {
		b.finish(j, JobCancelled, "cancelled by the caller", atMS)
	}
	return Result{State: j.State}
}

func (b *Book) finish(j *Job, s JobState, reason string, atMS int64) {
	j.State, j.Reason, j.FinishedMS = s, reason, atMS
	delete(b.Open, j.ID)
}

// start gives out runs. Members of a gang get theirs together or not at all.
func (b *Book) start(list []Start) {
	first := func(id TaskID) TaskID { id.Index = 0; return id }
	refused := map[TaskID]bool{} // by the first task of the step
	for _, s := range list {
		if !b.startable(s) {
			refused[first(s.Task)] = true
		}
	}
	for _, s := range list {
		if !b.startable(s) {
			continue
		}
		j := b.Open[s.Task.Job]
		if j.Spec.Steps[s.Task.Step].Gang && refused[first(s.Task)] {
			continue
		}
		t := j.Task(s.Task)
		t.Run, t.Active, t.Worker, t.Life = s.Run, true, s.Worker, s.Life
		b.enter(s.Worker, s.Task, s.Run)
	}
}

// startable reports whether a task may get the run now.
func (b *Book) startable(s Start) bool {
	j := b.Open[s.Task.Job]
	if j == nil {
		return false
	}
	t := j.Task(s.Task)
	return t != nil && !t.Active && !t.Done && s.Run > t.Run && j.Ready(s.Task.Round, s.Task.Step)
}

// enter adds an active run to the index of its worker.
func (b *Book) enter(worker string, id TaskID, run int) {
	if b.Runs[worker] == nil {
		b.Runs[worker] = map[TaskID]int{}
	}
	b.Runs[worker][id] = run
}

func (b *Book) end(e End, atMS int64) {
	j := b.Jobs[e.Task.Job]
	if j == nil {
		return
	}
	t := j.Task(e.Task)
	if t == nil {
		return
	}
	if e.LateFailure(*t) {
		t.Unsure = 0
		if !t.Done && !j.State.Final() {
			b.fail(j, e, atMS)
		}
		return
	}
	if e.Run != t.Run {
		return
	}
	if t.Active {
		t.Active = false
		if e.Unsure {
			t.Unsure = e.Run
		}
		delete(b.Runs[t.Worker], e.Task)
		if len(b.Runs[t.Worker]) == 0 {
			delete(b.Runs, t.Worker)
		}
	} else if e.How != EndDone {
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
	case step.Lasting:
	case e.How == EndDone && step.Gang:
		// One member's end stands for all; the others report theirs for the sake of the room that they hold.
		for i := range st.Tasks {
			st.Tasks[i].Done = true
		}
		st.Done = len(st.Tasks)
	case e.How == EndDone:
		t.Done = true
		st.Done++
	case e.How == EndFailed:
		b.fail(j, e, atMS)
	}
	if !j.State.Final() && j.complete() {
		b.finish(j, JobSucceeded, "", atMS)
	}
}

// fail counts a failed run, of a gang once for all members, and ends the job that has failed too often.
func (b *Book) fail(j *Job, e End, atMS int64) {
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

func (b *Book) upkeep(u Upkeep) {
	w, ok := b.Waves[u.Wave]
	if !ok {
		return
	}
	if u.Machine != "" && !slices.Contains(w.Begun, u.Machine) {
		w.Begun = append(w.Begun, u.Machine)
	}
	w.Done = w.Done || u.Done
}

// Image is the encodable content of a ledger.
type Image struct {
	Catalog Catalog  `json:"catalog"`
	Out     []string `json:"out,omitempty"`
	Jobs    []*Job   `json:"jobs,omitempty"`
	Waves   []*Wave  `json:"waves,omitempty"`
}

// Image copies the content as JSON; lists are in a fixed order.
func (l *Ledger) Image() (json.RawMessage, error) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	im := Image{Catalog: l.b.Catalog, Out: slices.Sorted(maps.Keys(l.b.Out))}
	for _, id := range slices.Sorted(maps.Keys(l.b.Jobs)) {
		im.Jobs = append(im.Jobs, l.b.Jobs[id])
	}
	for _, n := range slices.Sorted(maps.Keys(l.b.Waves)) {
		im.Waves = append(im.Waves, l.b.Waves[n])
	}
	data, err := json.Marshal(im)
	if err != nil {
		return nil, fmt.Errorf("encode ledger: %w", err)
	}
	return data, nil
}

// Restore replaces the content by an image; empty means an empty ledger.
func (l *Ledger) Restore(data json.RawMessage) error {
	var im Image
	if len(data) > 0 {
		if err := json.Unmarshal(data, &im); err != nil {
			return fmt.Errorf("decode ledger: %w", err)
		}
	}
	b := newBook()
	b.Catalog = im.Catalog
	for _, dc := range im.Out {
		b.Out[dc] = true
	}
	for _, j := range im.Jobs {
		b.Jobs[j.ID] = j
		if !j.State.Final() {
			b.Open[j.ID] = j
		}
		b.index(j)
	}
	for _, w := range im.Waves {
		b.Waves[w.Number] = w
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.b = b
	return nil
}

// index enters the active runs of a job.
func (b *Book) index(j *Job) {
	for r, round := range j.Rounds {
		for s, st := range round {
			for i, t := range st.Tasks {
				if t.Active {
					b.enter(t.Worker, TaskID{Job: j.ID, Round: r, Step: s, Index: i}, t.Run)
				}
			}
		}
	}
}
