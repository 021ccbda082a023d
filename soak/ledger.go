package soak

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"turmericroute/batch"
)

// ledger records what callers, operators and workers observe and checks the
// invariants of the system against it. The text of a violation names the rule by
// a word in capitals.
type ledger struct {
	mu         sync.Mutex
	startedAt  time.Time
	jobs       map[string]*job
	tasks      map[batch.TaskID]*task
	violations []string
	runs       int // runs started
	// recovery is how long after a disruption the invariants with a time bound hold again.
	recovery time.Duration
	// disruptions holds the times of faults and of orders about data centres.
	disruptions []span
	// active holds the tasks with an active run, by worker.
	active map[*worker]map[batch.TaskID]bool
	// submissions holds the calls that submitted jobs, in the order of their begins.
	submissions []*submission
	// documents holds the configurations that were sent, by version.
	documents map[uint64]string
	// newestConfig is the newest version that was acknowledged.
	newestConfig uint64
}

// job records the observations about one job.
type job struct {
	id   string
	spec batch.Spec
	// rejected and indeterminate count the submissions that were refused (429 or 503)
	// and those without a definite result (no response, 502 or 504).
	rejected, indeterminate int
	accepted                bool
	// cancelSent reports whether a cancellation may have arrived.
	cancelSent  bool
	cancelledAt time.Time // when a cancellation was acknowledged; zero when none was
	finalState  string    // empty until a final state is reported
	started     bool
}

// task records the observations about one task.
type task struct {
	// running holds the numbers of the active runs by worker.
	running map[*worker]activeRun
	// doneRuns holds the runs that ended as done, by number.
	doneRuns map[int]*doneRun
	// failedRuns counts the runs that ended as failed, ackedFailures those of them
	// whose end was acknowledged while the lease was valid.
	failedRuns, ackedFailures int
	checkpoints               map[string]bool // checkpoints that the task produced
}

// activeRun is a run that has started and not ended.
type activeRun struct {
	number    int
	startedAt time.Time
}

// span is a time span.
type span struct{ from, to time.Time }

// doneRun records a run that ended as done.
type doneRun struct {
	// acked reports whether the end was acknowledged and the lease had not expired before.
	acked bool
	// laterRun describes a run that started later; empty when none did.
	laterRun string
}

// submission is one call that submitted a job.
type submission struct {
	began    time.Time
	accepted bool
}

func newLedger(recovery time.Duration) *ledger {
	return &ledger{
		startedAt: time.Now(), recovery: recovery, jobs: map[string]*job{}, tasks: map[batch.TaskID]*task{}, documents: map[uint64]string{},
		active: map[*worker]map[batch.TaskID]bool{},
	}
}

// noteDisruption records a disruption that begins now and lasts d.
func (l *ledger) noteDisruption(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.disruptions = append(l.disruptions, span{now, now.Add(d)})
}

// submissionBegan records a call that submits a job. The caller may change it with l.mu held.
func (l *ledger) submissionBegan(began time.Time) *submission {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := &submission{began: began}
	l.submissions = append(l.submissions, s)
	return s
}

// submissionsSince returns how many calls that began after a time submitted jobs, and
// how many of them have been accepted.
func (l *ledger) submissionsSince(from time.Time) (sent, accepted int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.submissions {
		if s.began.Before(from) {
			continue
		}
		sent++
		if s.accepted {
			accepted++
		}
	}
	return sent, accepted
}

// disruptedLocked reports whether a disruption was active between from and to or in the
// recovery time before. The caller holds l.mu.
func (l *ledger) disruptedLocked(from, to time.Time) bool {
	return slices.ContainsFunc(l.disruptions, func(s span) bool {
		return !s.from.After(to) && !s.to.Add(l.recovery).Before(from)
	})
}

// recordViolation records a violation.
func (l *ledger) recordViolation(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recordViolationLocked(format, args...)
}

// recordViolationLocked records a violation. The caller holds l.mu.
func (l *ledger) recordViolationLocked(format string, args ...any) {
	l.violations = append(l.violations, fmt.Sprintf("%.3f s: ", time.Since(l.startedAt).Seconds())+fmt.Sprintf(format, args...))
}

// task returns the record of a task and creates it when needed. The caller holds l.mu.
func (l *ledger) task(id batch.TaskID) *task {
	t := l.tasks[id]
	if t == nil {
		t = &task{running: map[*worker]activeRun{}, doneRuns: map[int]*doneRun{}, checkpoints: map[string]bool{}}
		l.tasks[id] = t
	}
	return t
}

// addJob records a job. It is called before the job is submitted for the first time.
func (l *ledger) addJob(j *job) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.jobs[j.id] = j
}

// updateJob calls f with l.mu held, so that f may change the job.
func (l *ledger) updateJob(j *job, f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f()
}

// step returns the step and the job of a task, and false when no caller submitted
// such a task. The caller holds l.mu.
func (l *ledger) step(id batch.TaskID) (batch.Step, *job, bool) {
	j := l.jobs[id.Job]
	if j == nil || id.Round != 0 || id.Step >= len(j.spec.Steps) || id.Index >= j.spec.Steps[id.Step].Count {
		return batch.Step{}, nil, false
	}
	return j.spec.Steps[id.Step], j, true
}

// runStarted records the start of a run on a worker and checks it.
func (l *ledger) runStarted(w *worker, id batch.TaskID, run int, text, checkpoint string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs++
	step, j, ok := l.step(id)
	if !ok || j.spec.Text != text {
		l.recordViolationLocked("UNASKED: %s run %d on %s matches no submitted job", id, run, w.id)
		return
	}
	j.started = true
	t := l.task(id)
	if checkpoint != "" && !l.producedCheckpoint(id, step, checkpoint) {
		l.recordViolationLocked("UNASKED: %s run %d on %s with checkpoint %q of another task", id, run, w.id, checkpoint)
	}
	for other, otherRun := range t.running {
		l.recordViolationLocked("TWICE: %s run %d on %s while run %d, started %.3f s before, is active on %s, whose lease lasts for %d ms",
			id, run, w.id, otherRun.number, time.Since(otherRun.startedAt).Seconds(), other.id, other.leaseLeft().Milliseconds())
	}
	for _, d := range t.doneRuns {
		d.laterRun = fmt.Sprintf("run %d on %s at %.3f s", run, w.id, time.Since(l.startedAt).Seconds())
		l.checkDone(id, d)
	}
	if t.ackedFailures >= maxFailures {
		l.recordViolationLocked("BUDGET: %s run %d started after %d failures", id, run, t.ackedFailures)
	}
	for _, dependency := range step.After {
		if !l.stepDone(j, dependency) {
			l.recordViolationLocked("ORDER: %s run %d started before step %d was done", id, run, dependency)
		}
	}
	if !j.cancelledAt.IsZero() && time.Since(j.cancelledAt) > 2*l.recovery {
		l.recordViolationLocked("UNASKED: %s run %d started %.1f s after the cancellation was acknowledged", id, run, time.Since(j.cancelledAt).Seconds())
	}
	t.running[w] = activeRun{run, time.Now()}
	if l.active[w] == nil {
		l.active[w] = map[batch.TaskID]bool{}
	}
	l.active[w][id] = true
}

// producedCheckpoint reports whether the task, or any member of its gang, produced
// the checkpoint. The caller holds l.mu.
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

// stepDone reports whether all tasks of a step have ended as done. A gang is done
// when one of its members is.
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

// checkDone checks that no run started after an acknowledged end as done.
func (l *ledger) checkDone(id batch.TaskID, d *doneRun) {
	if d.acked && d.laterRun != "" {
		l.recordViolationLocked("TWICE: %s: %s started after an end as done was acknowledged", id, d.laterRun)
		d.laterRun = ""
	}
}

// checkpointSaved records a checkpoint that a run of the task produced.
func (l *ledger) checkpointSaved(id batch.TaskID, checkpoint string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.task(id).checkpoints[checkpoint] = true
}

// runEnded records the end of a run on a worker.
func (l *ledger) runEnded(w *worker, id batch.TaskID, run int, reason batch.EndReason) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.task(id)
	startedAt := t.running[w].startedAt
	delete(t.running, w)
	delete(l.active[w], id)
	switch reason {
	case batch.EndGangIncomplete:
		l.checkWaitedAloneLocked(w, id, run, startedAt)
	case batch.EndDone:
		t.doneRuns[run] = &doneRun{}
	case batch.EndFailed:
		t.failedRuns++
	}
}

// checkWaitedAloneLocked checks that a member of a gang that ended because the others
// did not start was disrupted, or its job cancelled. The caller holds l.mu.
func (l *ledger) checkWaitedAloneLocked(w *worker, id batch.TaskID, run int, startedAt time.Time) {
	_, j, ok := l.step(id)
	if now := time.Now(); ok && !j.cancelSent && !l.disruptedLocked(startedAt, now) {
		l.recordViolationLocked("GANG: %s run %d on %s started at %.3f s and ended because it waited alone, without a disruption near",
			id, run, w.id, startedAt.Sub(l.startedAt).Seconds())
	}
}

// endAcknowledged records that the system acknowledged the end of a run. The end
// does not count when the lease had expired before.
func (l *ledger) endAcknowledged(e pendingEnd) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.task(e.Task)
	switch {
	case e.leaseExpired:
	case e.Reason == batch.EndDone:
		t.doneRuns[e.Run].acked = true
		l.checkDone(e.Task, t.doneRuns[e.Run])
	case e.Reason == batch.EndFailed:
		t.ackedFailures++
	}
}

// workerEnded records the end of a worker, and with it that of all its runs.
func (l *ledger) workerEnded(w *worker) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id := range l.active[w] {
		delete(l.task(id).running, w)
	}
	delete(l.active, w)
}

// stateReported records the state of a job that a caller received, and checks it.
func (l *ledger) stateReported(j *job, state string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch state {
	case "succeeded":
		for i := range j.spec.Steps {
			if !l.stepDone(j, i) {
				l.recordViolationLocked("MIXED: job %s is reported as succeeded before step %d is done", j.id, i)
			}
		}
	case "failed":
		if !l.mayFail(j) {
			l.recordViolationLocked("LOST: job %s is reported as failed, but no task failed %d times", j.id, maxFailures)
		}
	case "canceled":
		if !j.cancelSent {
			l.recordViolationLocked("LOST: job %s is reported as cancelled, but no caller cancelled it", j.id)
		}
	}
	if j.finalState != "" && j.finalState != state {
		l.recordViolationLocked("MIXED: job %s was reported as %s and is now reported as %s", j.id, j.finalState, state)
	}
	if state == "succeeded" || state == "failed" || state == "canceled" {
		j.finalState = state
	}
}

// mayFail reports whether a task, or all members of a gang together, failed at
// least maxFailures times.
func (l *ledger) mayFail(j *job) bool {
	for i, st := range j.spec.Steps {
		gangFailures := 0
		for k := range st.Count {
			if t := l.tasks[batch.TaskID{Job: j.id, Step: i, Index: k}]; t != nil {
				gangFailures += t.failedRuns
				if t.failedRuns >= maxFailures {
					return true
				}
			}
		}
		if st.Gang && gangFailures >= maxFailures {
			return true
		}
	}
	return false
}

// jobUnknown records that the system reported a job as unknown, a violation if it was accepted.
func (l *ledger) jobUnknown(j *job) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if j.accepted {
		l.recordViolationLocked("LOST: job %s was accepted but is unknown", j.id)
	}
}

// configAcknowledged records that a configuration version was acknowledged.
func (l *ledger) configAcknowledged(version uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.newestConfig = max(l.newestConfig, version)
}

// newestAcknowledged returns the newest acknowledged configuration version.
func (l *ledger) newestAcknowledged() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.newestConfig
}

// configRead checks a configuration that a machine returned. The version minVersion
// was acknowledged before the read was sent.
func (l *ledger) configRead(machine string, version, minVersion uint64, document string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if version < minVersion {
		l.recordViolationLocked("CONFIG: %s returns version %d after version %d was acknowledged", machine, version, minVersion)
	}
	if sent, ok := l.documents[version]; !ok || sent != document {
		l.recordViolationLocked("CONFIG: %s returns version %d with a document that no operator sent", machine, version)
	}
}

// unfinished returns the IDs of the accepted jobs that no caller tried to cancel and
// that have not been reported in a final state.
func (l *ledger) unfinished() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var ids []string
	for id, j := range maps.All(l.jobs) {
		if j.accepted && !j.cancelSent && j.finalState == "" {
			ids = append(ids, id)
		}
	}
	return ids
}

// finalChecks makes the checks that need the whole soak and fills in the report.
func (l *ledger) finalChecks(r *Report) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, j := range l.jobs {
		if j.started && !j.accepted && j.indeterminate == 0 {
			l.recordViolationLocked("REFUSED: job %s ran although all its submissions were refused", id)
		}
	}
	r.Jobs, r.Runs, r.Versions, r.Violations = len(l.jobs), l.runs, len(l.documents), l.violations
}
