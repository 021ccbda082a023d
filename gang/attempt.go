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
	// startTimeout bounds the time from the committed start until all tasks run;
	// it covers the validity of a start command and its report.
	startTimeout = 3 * time.Second
	// checkpointTimeout, throttleTimeout and stopTimeout bound the steps of a
	// reclaim; together they leave 0.9 s of the 2.1 s for urgent work to the rest.
	checkpointTimeout = 700 * time.Millisecond
	throttleTimeout   = 200 * time.Millisecond
	// defaultMaxAttempts is how often a job may fail by its own tasks.
	defaultMaxAttempts = 3
)

// taskLost is the state of a task whose worker is silent or no longer has it.
const taskLost model.TaskState = "lost"

// task is what is known of one task of an attempt.
type task struct {
	worker     string
	state      model.TaskState
	progress   float64
	checkpoint float64
	// checkpointSeq is the last checkpoint command completed, reclaimSeq the one sent for a reclaim.
	checkpointSeq, reclaimSeq uint64
	usage                     model.Resources
	// message is what the worker said of the task's end.
	message string
	// confirmedGone reports that the worker itself said that it does not have the task, so no lease is running.
	confirmedGone bool
}

// reclaimStep is how far the preemption of a running attempt has come.
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
	// stateSince is when the current state was first seen.
	stateSince time.Time
	// recovered says that the attempt began under another leader.
	recovered bool
	// committing says that a change of the state is being committed.
	committing bool
	// commandsSent says that the commands of the current state were sent.
	commandsSent bool
	started      bool
	// dirty says that progress has not been handed to the policy.
	dirty    bool
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

func (a *attempt) update(j model.Job, now time.Time) {
	if j.State != a.job.State {
		a.stateSince, a.commandsSent = now, false
	}
	a.job, a.committing = j, false
}

func (a *attempt) taskID(i int) model.TaskID {
	return model.TaskID{Job: a.job.Spec.ID, Attempt: a.job.Attempt, Index: i}
}

func (a *attempt) allIn(in ...model.TaskState) bool {
	for _, t := range a.tasks {
		if !contains(in, t.state) {
			return false
		}
	}
	return true
}

// firstIn returns the first task in a state.
func (a *attempt) firstIn(in model.TaskState) (task, bool) {
	for _, t := range a.tasks {
		if t.state == in {
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

// checkpoint returns the work that every task of the gang keeps.
func (a *attempt) checkpoint() float64 {
	least := math.Inf(1)
	for _, t := range a.tasks {
		least = min(least, t.checkpoint)
	}
	return least
}

// progress returns the work that every task of the gang has done.
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

// sendAll gives one command to every task of an attempt.
func (l *leaderState) sendAll(a *attempt, kind model.CommandKind) {
	for i, t := range a.tasks {
		c := model.Command{Kind: kind, Task: a.taskID(i)}
		if kind == model.CommandStart {
			c.ValidMS = model.StartValidity.Milliseconds()
		}
		l.sessions.get(t.worker).push(c)
	}
}

// advance takes the next step of an attempt that its tasks and deadlines call for.
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
		// The start was committed under another leader; the tasks that it did not reach start now.
		a.commandsSent = true
		l.sendAll(a, model.CommandStart)
	case now.Sub(a.stateSince) > startTimeout+l.graceAfterElection(a):
		l.stopAttempt(a, model.JobWaiting, "not all tasks started in time", now)
	}
}

// graceAfterElection gives workers of a recovered attempt the time to find the new leader.
func (l *leaderState) graceAfterElection(a *attempt) time.Duration {
	if a.recovered {
		return silenceTimeout
	}
	return 0
}

// failAttempt ends an attempt of which a task failed by itself.
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

func (l *leaderState) stopAttempt(a *attempt, next model.JobState, reason string, now time.Time) {
	l.changeState(a, state.MoveJob{To: model.JobStopping, Next: next, Reason: reason, Checkpoint: a.checkpoint()}, now)
}

// changeState commits a change of the attempt's state; advance waits until it is seen or refused.
func (l *leaderState) changeState(a *attempt, c state.MoveJob, now time.Time) {
	c.ID, c.Attempt, c.From, c.AtMS = a.job.Spec.ID, a.job.Attempt, []model.JobState{a.job.State}, now.UnixMilli()
	a.committing = true
	l.execute(c)
}

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

// taskEnded reports whether a task cannot run any more: its worker said so, or its lease has run out.
func (l *leaderState) taskEnded(t task, now time.Time) bool {
	switch t.state {
	case model.TaskDone, model.TaskFailed, model.TaskStopped:
		return true
	}
	if t.confirmedGone {
		return true
	}
	lease := time.Duration(float64(model.TaskLease) * (1 + model.MaxClockDrift))
	return now.Sub(l.lastLeaseGrant(t.worker)) > lease
}
