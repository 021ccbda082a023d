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
	startedAt  time.Time
	jobs       map[string]*job
	tasks      map[batch.TaskID]*task
	violations []string
	runs       int
	// documents holds what was sent by version, highest the newest version that was acknowledged.
	documents    map[uint64]string
	newestConfig uint64
}

// job is what was seen of one job.
type job struct {
	id   string
	spec batch.Spec
	// rejected and indeterminate count the answers to attempts to hand it in.
	rejected, indeterminate int
	accepted                bool
	// cancelSent says that a cancellation may have arrived, cancelled when it was acknowledged.
	cancelSent  bool
	cancelledAt time.Time
	finalState  string
	started     bool
}

// task is what was seen of one task.
type task struct {
	// running holds the worker lives that run it now.
	running map[*worker]int
	// doneRuns holds the runs that ended as doneRuns.
	doneRuns                  map[int]*doneRun
	ackedFailures, failedRuns int // ends as failed that were noted; runs that failed at all
	checkpoints               map[string]bool
}

// doneRun is the end of a run as done.
type doneRun struct {
	// acked says that the system took note of it while it counted.
	acked bool
	// laterRun names a run that began later; empty when none did.
	laterRun string
}

func newLedger() *ledger {
	return &ledger{startedAt: time.Now(), jobs: map[string]*job{}, tasks: map[batch.TaskID]*task{}, documents: map[uint64]string{}}
}

func (l *ledger) violate(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.violateLocked(format, args...)
}

// violateLocked notes a violateLocked promise; the lock is held.
func (l *ledger) violateLocked(format string, args ...any) {
	l.violations = append(l.violations, fmt.Sprintf("%.3f s: ", time.Since(l.startedAt).Seconds())+fmt.Sprintf(format, args...))
}

func (l *ledger) task(id batch.TaskID) *task {
	t := l.tasks[id]
	if t == nil {
		t = &task{running: map[*worker]int{}, doneRuns: map[int]*doneRun{}, checkpoints: map[string]bool{}}
		l.tasks[id] = t
	}
	return t
}

// addJob notes a job before it is handed in for the first time.
func (l *ledger) addJob(j *job) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.jobs[j.id] = j
}

// updateJob changes what is known of a job.
func (l *ledger) updateJob(j *job, f func()) {
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

// runStarted checks a run that begins.
func (l *ledger) runStarted(w *worker, id batch.TaskID, run int, text, checkpoint string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs++
	step, j, ok := l.step(id)
	if !ok || j.spec.Text != text {
		l.violateLocked("UNASKED: %s run %d on %s, which no caller sent so", id, run, w.id)
		return
	}
	j.started = true
	t := l.task(id)
	if checkpoint != "" && !l.producedCheckpoint(id, step, checkpoint) {
		l.violateLocked("UNASKED: %s run %d on %s with checkpoint %q of another task", id, run, w.id, checkpoint)
	}
	for other, n := range t.running {
		l.violateLocked("TWICE: %s run %d on %s while run %d is alive on %s", id, run, w.id, n, other.id)
	}
	for _, d := range t.doneRuns {
		d.laterRun = fmt.Sprintf("run %d on %s at %.3f s", run, w.id, time.Since(l.startedAt).Seconds())
		l.checkDone(id, d)
	}
	if t.ackedFailures >= maxFailures {
		l.violateLocked("BUDGET: %s run %d after %d failures", id, run, t.ackedFailures)
	}
	for _, before := range step.After {
		if !l.stepDone(j, before) {
			l.violateLocked("ORDER: %s run %d before step %d was done", id, run, before)
		}
	}
	if !j.cancelledAt.IsZero() && time.Since(j.cancelledAt) > 2*recoveryTime {
		l.violateLocked("UNASKED: %s run %d %.1f s after the cancellation was acknowledged", id, run, time.Since(j.cancelledAt).Seconds())
	}
	t.running[w] = run
}

// producedCheckpoint reports whether a task, or any member of its gang, producedCheckpoint a checkpoint.
func (l *ledger) producedCheckpoint(id batch.TaskID, step batch.Step, checkpoint string) bool {
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
		if t := l.tasks[batch.TaskID{Job: j.id, Step: step, Index: i}]; t != nil && len(t.doneRuns) > 0 {
			done++
		}
	}
	return done == st.Count || st.Gang && done > 0
}

func (l *ledger) checkDone(id batch.TaskID, d *doneRun) {
	if d.acked && d.laterRun != "" {
		l.violateLocked("TWICE: %s: %s after an end as done that was noted", id, d.laterRun)
		d.laterRun = ""
	}
}

// checkpointSaved notes a checkpoint that a run has produced.
func (l *ledger) checkpointSaved(id batch.TaskID, checkpoint string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.task(id).checkpoints[checkpoint] = true
}

// runEnded notes the end of a run.
func (l *ledger) runEnded(w *worker, id batch.TaskID, run int, how batch.How) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.task(id)
	delete(t.running, w)
	switch how {
	case batch.EndDone:
		t.doneRuns[run] = &doneRun{}
	case batch.EndFailed:
		t.failedRuns++
	}
}

// endAcknowledged notes that the system took note of an end.
func (l *ledger) endAcknowledged(e runEnd) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.task(e.Task)
	switch {
	case e.leaseExpired:
	case e.How == batch.EndDone:
		t.doneRuns[e.Run].acked = true
		l.checkDone(e.Task, t.doneRuns[e.Run])
	case e.How == batch.EndFailed:
		t.ackedFailures++
	}
}

// workerEnded notes that a worker's life has ended, and with it all its runs.
func (l *ledger) workerEnded(w *worker) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, t := range l.tasks {
		delete(t.running, w)
	}
}

// stateReported checks a state that a caller was stateReported.
func (l *ledger) stateReported(j *job, state string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch state {
	case "succeeded":
		for i := range j.spec.Steps {
			if !l.stepDone(j, i) {
				l.violateLocked("MIXED: job %s is shown as succeeded before step %d is done", j.id, i)
			}
		}
	case "failed":
		if !l.mayFail(j) {
			l.violateLocked("LOST: job %s is shown as failed, and no task failed %d times", j.id, maxFailures)
		}
	case "canceled":
		if !j.cancelSent {
			l.violateLocked("LOST: job %s is shown as cancelled, and nobody cancelled it", j.id)
		}
	}
	if j.finalState != "" && j.finalState != state {
		l.violateLocked("MIXED: job %s was %s and is shown as %s", j.id, j.finalState, state)
	}
	if state == "succeeded" || state == "failed" || state == "canceled" {
		j.finalState = state
	}
}

// mayFail reports whether a task, or a gang in all its members, failed often enough.
func (l *ledger) mayFail(j *job) bool {
	for s, st := range j.spec.Steps {
		sum := 0
		for i := range st.Count {
			if t := l.tasks[batch.TaskID{Job: j.id, Step: s, Index: i}]; t != nil {
				sum += t.failedRuns
				if t.failedRuns >= maxFailures {
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

// jobUnknown notes that an accepted job was not known to the system.
func (l *ledger) jobUnknown(j *job) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if j.accepted {
		l.violateLocked("LOST: job %s was accepted and is not known", j.id)
	}
}

// configAcknowledged notes an configAcknowledged configuration.
func (l *ledger) configAcknowledged(version uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.newestConfig = max(l.newestConfig, version)
}

func (l *ledger) newestAcknowledged() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.newestConfig
}

// configRead checks a configuration that was read; least was acknowledged before the read was sent.
func (l *ledger) configRead(from string, version, least uint64, document string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if version < least {
		l.violateLocked("CONFIG: %s answers with version %d after %d was acknowledged", from, version, least)
	}
	if sent, ok := l.documents[version]; !ok || sent != document {
		l.violateLocked("CONFIG: %s answers with a version %d that nobody sent so", from, version)
	}
}

// unfinished returns the accepted jobs that have not ended.
func (l *ledger) unfinished() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []string
	for id, j := range maps.All(l.jobs) {
		if j.accepted && !j.cancelSent && j.finalState == "" {
			out = append(out, id)
		}
	}
	return out
}

// finalChecks makes the checks that need the whole run.
func (l *ledger) finalChecks(r *Report) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, j := range l.jobs {
		if j.started && !j.accepted && j.indeterminate == 0 {
			l.violateLocked("REFUSED: job %s ran, and all attempts to hand it in were refused", id)
		}
	}
	r.Jobs, r.Runs, r.Versions, r.Violations = len(l.jobs), l.runs, len(l.documents), l.violations
}
