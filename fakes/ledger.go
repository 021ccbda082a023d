package fakes

import (
	"fmt"
	"sync"
	"time"

	"turmericroute/model"
)

// Ledger records when tasks ran on fake workers. A nil *Ledger records nothing.
type Ledger struct {
	mu         sync.Mutex
	runs       []TaskRun
	runsByTask map[model.TaskID][]int // indexes in runs
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

// Runs returns a copy of all runs, ordered by their start.
func (l *Ledger) Runs() []TaskRun {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]TaskRun(nil), l.runs...)
}

// Running returns the number of tasks of a job that are running.
func (l *Ledger) Running(job string) int {
	n := 0
	for _, r := range l.Runs() {
		if r.Task.Job == job && r.End.IsZero() {
			n++
		}
	}
	return n
}

// Overlaps describes each pair of runs of one job that overlap in time and belong to
// different attempts or to the same task.
func (l *Ledger) Overlaps() []string {
	var overlaps []string
	earlier := map[string][]TaskRun{} // by job
	for _, r := range l.Runs() {
		for _, o := range earlier[r.Task.Job] {
			if (o.Task.Attempt != r.Task.Attempt || o.Task.Index == r.Task.Index) && (o.End.IsZero() || o.End.After(r.Start)) {
				overlaps = append(overlaps, fmt.Sprintf("task %v on %s overlaps %v on %s", r.Task, r.Worker, o.Task, o.Worker))
			}
		}
		earlier[r.Task.Job] = append(earlier[r.Task.Job], r)
	}
	return overlaps
}

// StartsIn returns the runs that started in the data centre dc after a time.
func (l *Ledger) StartsIn(dc string, after time.Time) []TaskRun {
	var found []TaskRun
	for _, r := range l.Runs() {
		if r.DataCentre == dc && r.Start.After(after) {
			found = append(found, r)
		}
	}
	return found
}
