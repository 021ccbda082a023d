package fakes

import (
	"fmt"
	"sync"
	"time"

	"turmericroute/model"
)

// Ledger records which tasks ran when on fake workers, for checks of what must hold; nil records nothing.
type Ledger struct {
	mu         sync.Mutex
	runs       []TaskRun
	runsByTask map[model.TaskID][]int
}

// TaskRun is one run of a task on one worker.
type TaskRun struct {
	Task       model.TaskID
	Worker     string
	DataCentre string
	Start      time.Time
	// End is zero while the task runs.
	End   time.Time
	State model.TaskState
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{runsByTask: map[model.TaskID][]int{}} }

func (l *Ledger) taskStarted(w model.Worker, id model.TaskID) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runsByTask[id] = append(l.runsByTask[id], len(l.runs))
	l.runs = append(l.runs, TaskRun{Task: id, Worker: w.Name, DataCentre: w.DataCentre, Start: time.Now()})
}

func (l *Ledger) taskEnded(w model.Worker, id model.TaskID, s model.TaskState) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, i := range l.runsByTask[id] {
		if r := &l.runs[i]; r.Worker == w.Name && r.End.IsZero() {
			r.End, r.State = time.Now(), s
		}
	}
}

// Runs returns a copy of all runs in the order of their start.
func (l *Ledger) Runs() []TaskRun {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]TaskRun(nil), l.runs...)
}

// Running returns the number of tasks of a job that run now.
func (l *Ledger) Running(job string) int {
	n := 0
	for _, r := range l.Runs() {
		if r.Task.Job == job && r.End.IsZero() {
			n++
		}
	}
	return n
}

// Overlaps describes runs of two attempts of one job that ran at the same time, or of one task twice.
func (l *Ledger) Overlaps() []string {
	var found []string
	last := map[string][]TaskRun{}
	for _, r := range l.Runs() {
		for _, o := range last[r.Task.Job] {
			if (o.Task.Attempt != r.Task.Attempt || o.Task.Index == r.Task.Index) && (o.End.IsZero() || o.End.After(r.Start)) {
				found = append(found, fmt.Sprintf("task %v on %s overlaps %v on %s", r.Task, r.Worker, o.Task, o.Worker))
			}
		}
		last[r.Task.Job] = append(last[r.Task.Job], r)
	}
	return found
}

// StartsIn returns the runs that started in a data centre after a time.
func (l *Ledger) StartsIn(dc string, after time.Time) []TaskRun {
	var found []TaskRun
	for _, r := range l.Runs() {
		if r.DataCentre == dc && r.Start.After(after) {
			found = append(found, r)
		}
	}
	return found
}
