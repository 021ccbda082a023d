package soak

import (
	"fmt"
	"maps"
	"sync"
	"time"

	"turmericroute/batch"
)

// ledger holds what callers, operators and workers have seen, and checks the promises against it.
type ledger struct {
	mu         sync.Mutex
	began      time.Time
	jobs       map[string]*job
	tasks      map[batch.TaskID]*task
	violations []string
	runs       int
	// documents holds what was sent by version, highest the newest version that was acknowledged.
	documents map[uint64]string
	highest   uint64
}

// job is what was seen of one job.
type job struct {
	id   string
	spec batch.Spec
	// rejected and unclear count the answers to attempts to hand it in.
	rejected, unclear int
	accepted          bool
	// cancelSent says that a cancellation may have arrived, cancelled when it was acknowledged.
	cancelSent bool
	cancelled  time.Time
	final      string
	started    bool
}

// task is what was seen of one task.
type task struct {
	// live holds the worker lives that run it now.
	live map[*life]int
	// done holds the runs that ended as done.
	done            map[int]*doneRun
	failures, worst int // ends as failed that were noted; runs that failed at all
	checkpoints     map[string]bool
}

// doneRun is the end of a run as done.
type doneRun struct {
	// noted says that the system took note of it while it counted.
	noted bool
	// startedAfter names a run that began later; empty when none did.
	startedAfter string
}

func newLedger() *ledger {
	return &ledger{began: time.Now(), jobs: map[string]*job{}, tasks: map[batch.TaskID]*task{}, documents: map[uint64]string{}}
}

func (l *ledger) violate(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.broken(format, args...)
}

// broken notes a broken promise; the lock is held.
func (l *ledger) broken(format string, args ...any) {
	l.violations = append(l.violations, fmt.Sprintf("%.3f s: ", time.Since(l.began).Seconds())+fmt.Sprintf(format, args...))
}

func (l *ledger) task(id batch.TaskID) *task {
	t := l.tasks[id]
	if t == nil {
		t = &task{live: map[*life]int{}, done: map[int]*doneRun{}, checkpoints: map[string]bool{}}
		l.tasks[id] = t
	}
	return t
}

// handIn notes a job before it is handed in for the first time.
func (l *ledger) handIn(j *job) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.jobs[j.id] = j
}

// update changes what is known of a job.
func (l *ledger) update(j *job, f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f()
}

// spec returns the step of a task, false when no caller sent such a task.
func (l *ledger) step(id batch.TaskID) (batch.Step, *job, bool) {
	j := l.jobs[id.Job]
	if j == nil || id.Round != 0 || id.Step >= len(j.spec.Steps) || id.Index >= j.spec.Steps[id.Step].Count {
		return batch.Step{}, nil, false
	}
	return j.spec.Steps[id.Step], j, true
}

// started checks a run that begins.
func (l *ledger) started(w *life, id batch.TaskID, run int, text, checkpoint string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs++
	step, j, ok := l.step(id)
	if !ok || j.spec.Text != text {
		l.broken("UNASKED: %s run %d on %s, which no caller sent so", id, run, w.id)
		return
	}
	j.started = true
	t := l.task(id)
	if checkpoint != "" && !l.produced(id, step, checkpoint) {
		l.broken("UNASKED: %s run %d on %s with checkpoint %q of another task", id, run, w.id, checkpoint)
	}
	for other, n := range t.live {
		l.broken("TWICE: %s run %d on %s while run %d is alive on %s", id, run, w.id, n, other.id)
	}
	for _, d := range t.done {
		d.startedAfter = fmt.Sprintf("run %d on %s at %.3f s", run, w.id, time.Since(l.began).Seconds())
		l.checkDone(id, d)
	}
	if t.failures >= maxFailures {
		l.broken("BUDGET: %s run %d after %d failures", id, run, t.failures)
	}
	for _, before := range step.After {
		if !l.stepDone(j, before) {
			l.broken("ORDER: %s run %d before step %d was done", id, run, before)
		}
	}
	if !j.cancelled.IsZero() && time.Since(j.cancelled) > 2*calmAfter {
		l.broken("UNASKED: %s run %d %.1f s after the cancellation was acknowledged", id, run, time.Since(j.cancelled).Seconds())
	}
	t.live[w] = run
}

// produced reports whether a task, or any member of its gang, produced a checkpoint.
func (l *ledger) produced(id batch.TaskID, step batch.Step, checkpoint string) bool {
	if !step.Gang {
		return l.task(id).checkpoints[checkpoint]
	}
	for i := range step.Count {
		id.Index = i
		if l.task(id).checkpoints[checkpoint] {
			return true
		}
	}
	return false
}

// stepDone reports whether all tasks of a step have ended as done; one member's end stands for its gang.
func (l *ledger) stepDone(j *job, step int) bool {
	st := j.spec.Steps[step]
	done := 0
	for i := range st.Count {
		if t := l.tasks[batch.TaskID{Job: j.id, Step: step, Index: i}]; t != nil && len(t.done) > 0 {
			done++
		}
	}
	return done == st.Count || st.Gang && done > 0
}

func (l *ledger) checkDone(id batch.TaskID, d *doneRun) {
	if d.noted && d.startedAfter != "" {
		l.broken("TWICE: %s: %s after an end as done that was noted", id, d.startedAfter)
		d.startedAfter = ""
	}
}

// saved notes a checkpoint that a run has produced.
func (l *ledger) saved(id batch.TaskID, checkpoint string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.task(id).checkpoints[checkpoint] = true
}

// ended notes the end of a run.
func (l *ledger) ended(w *life, id batch.TaskID, run int, how batch.EndReason) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.task(id)
	delete(t.live, w)
	switch how {
	case batch.EndDone:
		t.done[run] = &doneRun{}
	case batch.EndFailed:
		t.worst++
	}
}

// noted notes that the system took note of an end.
func (l *ledger) noted(e end) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.task(e.Task)
	switch {
	case e.lapsed:
	case e.Reason == batch.EndDone:
		t.done[e.Run].noted = true
		l.checkDone(e.Task, t.done[e.Run])
	case e.Reason == batch.EndFailed:
		t.failures++
	}
}

// gone notes that a worker's life has ended, and with it all its runs.
func (l *ledger) gone(w *life) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, t := range l.tasks {
		delete(t.live, w)
	}
}

// shown checks a state that a caller was shown.
func (l *ledger) shown(j *job, state string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch state {
	case "succeeded":
		for i := range j.spec.Steps {
			if !l.stepDone(j, i) {
				l.broken("MIXED: job %s is shown as succeeded before step %d is done", j.id, i)
			}
		}
	case "failed":
		if !l.mayFail(j) {
			l.broken("LOST: job %s is shown as failed, and no task failed %d times", j.id, maxFailures)
		}
	case "canceled":
		if !j.cancelSent {
			l.broken("LOST: job %s is shown as cancelled, and nobody cancelled it", j.id)
		}
	}
	if j.final != "" && j.final != state {
		l.broken("MIXED: job %s was %s and is shown as %s", j.id, j.final, state)
	}
	if state == "succeeded" || state == "failed" || state == "canceled" {
		j.final = state
	}
}

// mayFail reports whether a task, or a gang in all its members, failed often enough.
func (l *ledger) mayFail(j *job) bool {
	for s, st := range j.spec.Steps {
		sum := 0
		for i := range st.Count {
			if t := l.tasks[batch.TaskID{Job: j.id, Step: s, Index: i}]; t != nil {
				sum += t.worst
				if t.worst >= maxFailures {
					return true
				}
			}
		}
		if st.Gang && sum >= maxFailures {
			return true
		}
	}
	return false
}

// missing notes that an accepted job was not known to the system.
func (l *ledger) missing(j *job) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if j.accepted {
		l.broken("LOST: job %s was accepted and is not known", j.id)
	}
}

// acknowledged notes an acknowledged configuration.
func (l *ledger) acknowledged(version uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.highest = max(l.highest, version)
}

func (l *ledger) newest() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.highest
}

// readBack checks a configuration that was read; least was acknowledged before the read was sent.
func (l *ledger) readBack(from string, version, least uint64, document string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if version < least {
		l.broken("CONFIG: %s answers with version %d after %d was acknowledged", from, version, least)
	}
	if sent, ok := l.documents[version]; !ok || sent != document {
		l.broken("CONFIG: %s answers with a version %d that nobody sent so", from, version)
	}
}

// unfinished returns the accepted jobs that have not ended.
func (l *ledger) unfinished() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []string
	for id, j := range maps.All(l.jobs) {
		if j.accepted && !j.cancelSent && j.final == "" {
			out = append(out, id)
		}
	}
	return out
}

// conclude makes the checks that need the whole run.
func (l *ledger) conclude(r *Report) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, j := range l.jobs {
		if j.started && !j.accepted && j.unclear == 0 {
			l.broken("REFUSED: job %s ran, and all attempts to hand it in were refused", id)
		}
	}
	r.Jobs, r.Runs, r.Versions, r.Violations = len(l.jobs), l.runs, len(l.documents), l.violations
}
