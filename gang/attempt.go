package gang

import (
	"fmt"
	"math"
	"time"

	"turmericroute/model"
	"turmericroute/place"
	"turmericroute/state"
)

const (
	// startTimeout bounds the time from the commit of the start until all tasks
	// run; it covers the validity of a start command and the report of its effect.
	startTimeout = 3 * time.Second
	// checkpointTimeout and throttleTimeout bound the steps of a reclaim before
	// the stop. Together they take 0.9 s of the 2.1 s within which an urgent job
	// must start.
	checkpointTimeout = 700 * time.Millisecond
	throttleTimeout   = 200 * time.Millisecond
	// defaultMaxAttempts is the number of failed attempts after which a job fails; only failures of its own tasks count.
	defaultMaxAttempts = 3
)

// taskLost is the state of a task whose worker is silent or no longer reports it.
const taskLost model.TaskState = "lost"

// task is the leader's view of one task of an attempt.
type task struct {
	worker     string
	state      model.TaskState
	progress   float64
	checkpoint float64
	// checkpointSeq is the sequence number of the last checkpoint command that the worker completed,
	// reclaimSeq that of the checkpoint command sent for a reclaim.
	checkpointSeq, reclaimSeq uint64
	usage                     model.Resources
	// message is the worker's explanation of how the task ended.
	message string
	// confirmedGone reports whether the worker has confirmed that it does not have the
	// task, so that no lease needs to run out.
	confirmedGone bool
}

// hasEnded reports whether the worker has reported the task's end.
func (t *task) hasEnded() bool {
	return t.state == model.TaskDone || t.state == model.TaskFailed || t.state == model.TaskStopped
}

// reclaimStep is the current step in the preemption of an attempt.
type reclaimStep int

const (
	reclaimNone reclaimStep = iota
	reclaimCheckpoint
	reclaimThrottle
	reclaimStop
)

// attempt is the leader's view of one placement of a job.
type attempt struct {
	job   model.Job
	tasks []task
	// stateSince is when the leader first saw the current state.
	stateSince time.Time
	// recovered reports whether the attempt began under another leader.
	recovered bool
	// committing reports whether a change of the state is being committed.
	committing bool
	// commandsSent reports whether the commands of the current state have been queued.
	commandsSent bool
	// started reports whether all tasks have been seen running or done.
	started bool
	// dirty reports whether there is progress that the policy has not been told.
	dirty bool
	// failedOn names the worker whose task failed first.
	failedOn string
	reclaim  reclaimStep
	// reclaimAt is when the current reclaim step began.
	reclaimAt     time.Time
	reclaimReason string
}

func newAttempt(j model.Job, now time.Time, recovered bool) *attempt {
	a := &attempt{job: j, stateSince: now, recovered: recovered, tasks: make([]task, len(j.Placement.Workers))}
	for i, w := range j.Placement.Workers {
		a.tasks[i].worker = w
		a.tasks[i].checkpoint = j.Checkpoint
	}
	return a
}

// update replaces the job by its committed form.
func (a *attempt) update(j model.Job, now time.Time) {
	if j.State != a.job.State {
		a.stateSince, a.commandsSent = now, false
	}
	a.job, a.committing = j, false
}

// taskID returns the ID of the task with index i.
func (a *attempt) taskID(i int) model.TaskID {
	return model.TaskID{Job: a.job.Spec.ID, Attempt: a.job.Attempt, Index: i}
}

// allIn reports whether every task is in one of the states.
func (a *attempt) allIn(states ...model.TaskState) bool {
	for _, t := range a.tasks {
		if !contains(states, t.state) {
			return false
		}
	}
	return true
}

// firstIn returns the first task in the state s, and false if there is none.
func (a *attempt) firstIn(s model.TaskState) (task, bool) {
	for _, t := range a.tasks {
		if t.state == s {
			return t, true
		}
	}
	return task{}, false
}

func contains(list []model.TaskState, s model.TaskState) bool {
	for _, v := range list {
		if v == s {
			return true
		}
	}
	return false
}

// checkpoint returns the seconds of work that every task of the gang has checkpointed.
func (a *attempt) checkpoint() float64 {
	least := math.Inf(1)
	for _, t := range a.tasks {
		least = min(least, t.checkpoint)
	}
	return least
}

// progress returns the seconds of work that every task of the gang has done.
func (a *attempt) progress() float64 {
	least := math.Inf(1)
	for _, t := range a.tasks {
		least = min(least, t.progress)
	}
	return least
}

// sendPrepare tells all workers of a new attempt to reserve the resources of their tasks.
func (l *leaderState) sendPrepare(a *attempt) {
	shape := a.job.Spec.Shape
	for i, t := range a.tasks {
		l.sessions.get(t.worker).push(model.Command{
			Kind: model.CommandPrepare, Task: a.taskID(i), Payload: a.job.Spec.Payload, Checkpoint: a.job.Checkpoint,
			Use: model.Resources{GPUs: shape.GPUs, Cores: shape.Cores, MemoryMB: shape.MemoryMB},
		})
	}
}

// sendAll queues a command of the kind for every task of an attempt.
func (l *leaderState) sendAll(a *attempt, kind model.CommandKind) {
	for i, t := range a.tasks {
		c := model.Command{Kind: kind, Task: a.taskID(i)}
		if kind == model.CommandStart {
			c.ValidMS = model.StartValidity.Milliseconds()
		}
		l.sessions.get(t.worker).push(c)
	}
}

// advance moves an attempt on according to the states of its tasks and its deadlines. It
// does nothing while a change of state is being committed.
func (l *leaderState) advance(a *attempt, now time.Time) {
	if a.committing {
		return
	}
	switch a.job.State {
	case model.JobPreparing:
		l.advancePreparing(a, now)
	case model.JobRunning:
		l.advanceRunning(a, now)
	case model.JobStopping:
		l.advanceStopping(a, now)
	}
}

func (l *leaderState) advancePreparing(a *attempt, now time.Time) {
	switch {
	case a.reclaim != reclaimNone:
		l.stopAttempt(a, model.JobWaiting, a.reclaimReason, now)
	case a.recovered:
		l.stopAttempt(a, model.JobWaiting, "the leader changed while the gang was being prepared", now)
	case a.allIn(model.TaskPrepared):
		l.changeState(a, state.MoveJob{To: model.JobRunning}, now)
	default:
		if t, ok := a.firstIn(model.TaskFailed); ok {
			a.failedOn = t.worker
			l.stopAttempt(a, model.JobWaiting, "worker "+t.worker+" could not prepare its task", now)
			return
		}
		if t, ok := a.firstIn(taskLost); ok {
			l.stopAttempt(a, model.JobWaiting, "worker "+t.worker+" was lost", now)
			return
		}
		if now.Sub(a.stateSince) > model.PrepareTimeout {
			l.stopAttempt(a, model.JobWaiting, "not all workers were prepared in time", now)
		}
	}
}

func (l *leaderState) advanceRunning(a *attempt, now time.Time) {
	if t, ok := a.firstIn(model.TaskFailed); ok {
		l.failAttempt(a, t, now)
		return
	}
	for _, lost := range []model.TaskState{taskLost, model.TaskStopped} {
		if t, ok := a.firstIn(lost); ok {
			l.stopAttempt(a, model.JobWaiting, "the task on worker "+t.worker+" was lost", now)
			return
		}
	}
	if a.allIn(model.TaskDone) {
		l.changeState(a, state.MoveJob{To: model.JobDone}, now)
		return
	}
	if !a.commandsSent && !a.recovered {
		if a.reclaim != reclaimNone {
			l.stopAttempt(a, model.JobWaiting, a.reclaimReason, now)
			return
		}
		a.commandsSent = true
		l.sendAll(a, model.CommandStart)
	}
	if a.reclaim != reclaimNone {
		l.advanceReclaim(a, now)
		return
	}
	if !a.started {
		l.checkStart(a, now)
	}
}

// checkStart handles a running attempt of which not all tasks are known to run yet: it
// records the start once they do, and stops the attempt when startTimeout has passed.
func (l *leaderState) checkStart(a *attempt, now time.Time) {
	switch {
	case a.allIn(model.TaskRunning, model.TaskDone):
		a.started = true
		l.policy.Step(now, place.JobStarted{ID: a.job.Spec.ID, Attempt: a.job.Attempt})
		l.recordReclaim(a.job.Spec.ID, now)
		if !a.recovered {
			l.metrics.jobStarted(a.job, now)
			l.cfg.Logger.Log("event", "job_started", "job", a.job.Spec.ID, "attempt", a.job.Attempt, "tasks", len(a.tasks))
		}
	case a.recovered && !a.commandsSent && a.allIn(model.TaskPrepared, model.TaskRunning, model.TaskDone):
		// The start was committed under another leader; this starts the tasks that its
		// commands did not reach.
		a.commandsSent = true
		l.sendAll(a, model.CommandStart)
	case now.Sub(a.stateSince) > startTimeout+l.graceAfterElection(a):
		l.stopAttempt(a, model.JobWaiting, "not all tasks started in time", now)
	}
}

// graceAfterElection returns the extra time that workers of a recovered attempt have to find the new leader.
func (l *leaderState) graceAfterElection(a *attempt) time.Duration {
	if a.recovered {
		return silenceTimeout
	}
	return 0
}

// failAttempt stops an attempt because the job's own task t failed. If this was
// the last allowed attempt, the job fails, otherwise it waits again.
func (l *leaderState) failAttempt(a *attempt, t task, now time.Time) {
	a.failedOn = t.worker
	limit := a.job.Spec.MaxAttempts
	if limit == 0 {
		limit = defaultMaxAttempts
	}
	next := model.JobWaiting
	reason := fmt.Sprintf("a task failed on worker %s", t.worker)
	if a.job.Failures+1 >= limit {
		next = model.JobFailed
		reason = fmt.Sprintf("a task failed on worker %s, the last of %d attempts", t.worker, limit)
	}
	l.changeState(a, state.MoveJob{To: model.JobStopping, Next: next, Reason: reason, Failed: true, Checkpoint: a.checkpoint()}, now)
}

// stopAttempt commits the stop of an attempt; next is the job's state once all its tasks have ended.
func (l *leaderState) stopAttempt(a *attempt, next model.JobState, reason string, now time.Time) {
	l.changeState(a, state.MoveJob{To: model.JobStopping, Next: next, Reason: reason, Checkpoint: a.checkpoint()}, now)
}

// changeState commits a change of the attempt's state; advance does nothing until the
// change is applied or refused.
func (l *leaderState) changeState(a *attempt, c state.MoveJob, now time.Time) {
	c.ID, c.Attempt, c.From, c.AtMS = a.job.Spec.ID, a.job.Attempt, []model.JobState{a.job.State}, now.UnixMilli()
	a.committing = true
	l.execute(c)
}

// advanceStopping sends the stop commands and commits the next state once all tasks have ended.
func (l *leaderState) advanceStopping(a *attempt, now time.Time) {
	if !a.commandsSent {
		a.commandsSent = true
		l.sendAll(a, model.CommandStop)
	}
	for _, t := range a.tasks {
		if !l.taskEnded(t, now) {
			return
		}
	}
	next := a.job.Next
	if next == "" {
		next = model.JobWaiting
	}
	l.changeState(a, state.MoveJob{To: next, Reason: a.job.Reason, Checkpoint: a.checkpoint()}, now)
}

// taskEnded reports whether a task can no longer run: its worker reported its end, or its lease has expired.
func (l *leaderState) taskEnded(t task, now time.Time) bool {
	if t.hasEnded() || t.confirmedGone {
		return true
	}
	lease := time.Duration(float64(model.TaskLease) * (1 + model.MaxClockDrift))
	return now.Sub(l.lastLeaseGrant(t.worker)) > lease
}
