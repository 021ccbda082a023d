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
	// checkpointSeq is the last checkpoint command completed, wantSeq the one sent for a reclaim.
	checkpointSeq, wantSeq uint64
	usage                  model.Resources
	// message is what the worker said of the task's end.
	message string
	// gone reports that the worker itself said that it does not have the task, so no lease is running.
	gone bool
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
	// since is when the current state was first seen.
	since time.Time
	// recovered says that the attempt began under another leader.
	recovered bool
	// moving says that a change of the state is being committed.
	moving bool
	// sent says that the commands of the current state were sent.
	sent    bool
	started bool
	// dirty says that progress has not been handed to the policy.
	dirty    bool
	failedOn string
	reclaim  reclaimStep
	// reclaimAt is when the current reclaim step began.
	reclaimAt     time.Time
	reclaimReason string
}

func newAttempt(j model.Job, now time.Time, recovered bool) *attempt {
	a := &attempt{job: j, since: now, recovered: recovered, tasks: make([]task, len(j.Placement.Workers))}
	for i, w := range j.Placement.Workers {
		a.tasks[i].worker = w
		a.tasks[i].checkpoint = j.Checkpoint
	}
	return a
}

func (a *attempt) update(j model.Job, now time.Time) {
	if j.State != a.job.State {
		a.since, a.sent = now, false
	}
	a.job, a.moving = j, false
}

func (a *attempt) id(i int) model.TaskID {
	return model.TaskID{Job: a.job.Spec.ID, Attempt: a.job.Attempt, Index: i}
}

func (a *attempt) all(in ...model.TaskState) bool {
	for _, t := range a.tasks {
		if !contains(in, t.state) {
			return false
		}
	}
	return true
}

// first returns the first task in a state.
func (a *attempt) first(in model.TaskState) (task, bool) {
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

// prepare tells all workers of a new attempt to reserve the resources of their tasks.
func (l *lead) prepare(a *attempt) {
	shape := a.job.Spec.Shape
	for i, t := range a.tasks {
		l.workers.get(t.worker).push(model.Command{
			Kind: model.CommandPrepare, Task: a.id(i), Payload: a.job.Spec.Payload, Checkpoint: a.job.Checkpoint,
			Use: model.Resources{GPUs: shape.GPUs, Cores: shape.Cores, MemoryMB: shape.MemoryMB},
		})
	}
}

// send gives one command to every task of an attempt.
func (l *lead) send(a *attempt, kind model.CommandKind) {
	for i, t := range a.tasks {
		c := model.Command{Kind: kind, Task: a.id(i)}
		if kind == model.CommandStart {
			c.ValidMS = model.StartValidity.Milliseconds()
		}
		l.workers.get(t.worker).push(c)
	}
}

// advance takes the next step of an attempt that its tasks and deadlines call for.
func (l *lead) advance(a *attempt, now time.Time) {
	if a.moving {
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

func (l *lead) advancePreparing(a *attempt, now time.Time) {
	switch {
	case a.reclaim != reclaimNone:
		l.stop(a, model.JobWaiting, a.reclaimReason, now)
	case a.recovered:
		l.stop(a, model.JobWaiting, "the leader changed while the gang was being prepared", now)
	case a.all(model.TaskPrepared):
		l.move(a, state.MoveJob{To: model.JobRunning}, now)
	default:
		if t, ok := a.first(model.TaskFailed); ok {
			a.failedOn = t.worker
			l.stop(a, model.JobWaiting, "worker "+t.worker+" could not prepare its task", now)
			return
		}
		if t, ok := a.first(taskLost); ok {
			l.stop(a, model.JobWaiting, "worker "+t.worker+" was lost", now)
			return
		}
		if now.Sub(a.since) > model.PrepareTimeout {
			l.stop(a, model.JobWaiting, "not all workers were prepared in time", now)
		}
	}
}

func (l *lead) advanceRunning(a *attempt, now time.Time) {
	if t, ok := a.first(model.TaskFailed); ok {
		l.failed(a, t, now)
		return
	}
	for _, lost := range []model.TaskState{taskLost, model.TaskStopped} {
		if t, ok := a.first(lost); ok {
			l.stop(a, model.JobWaiting, "the task on worker "+t.worker+" was lost", now)
			return
		}
	}
	if a.all(model.TaskDone) {
		l.move(a, state.MoveJob{To: model.JobDone}, now)
		return
	}
	if !a.sent && !a.recovered {
		if a.reclaim != reclaimNone {
			l.stop(a, model.JobWaiting, a.reclaimReason, now)
			return
		}
		a.sent = true
		l.send(a, model.CommandStart)
	}
	if a.reclaim != reclaimNone {
		l.advanceReclaim(a, now)
		return
	}
	if !a.started {
		l.awaitStart(a, now)
	}
}

func (l *lead) awaitStart(a *attempt, now time.Time) {
	switch {
	case a.all(model.TaskRunning, model.TaskDone):
		a.started = true
		l.policy.Step(now, place.JobStarted{ID: a.job.Spec.ID, Attempt: a.job.Attempt})
		l.reclaimed(a.job.Spec.ID, now)
		if !a.recovered {
			l.metrics.started(a.job, now)
			l.cfg.Logger.Log("event", "job_started", "job", a.job.Spec.ID, "attempt", a.job.Attempt, "tasks", len(a.tasks))
		}
	case a.recovered && !a.sent && a.all(model.TaskPrepared, model.TaskRunning, model.TaskDone):
		// The start was committed under another leader; the tasks that it did not reach start now.
		a.sent = true
		l.send(a, model.CommandStart)
	case now.Sub(a.since) > startTimeout+l.graceAfterElection(a):
		l.stop(a, model.JobWaiting, "not all tasks started in time", now)
	}
}

// graceAfterElection gives workers of a recovered attempt the time to find the new leader.
func (l *lead) graceAfterElection(a *attempt) time.Duration {
	if a.recovered {
		return silenceTimeout
	}
	return 0
}

// failed ends an attempt of which a task failed by itself.
func (l *lead) failed(a *attempt, t task, now time.Time) {
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
	l.move(a, state.MoveJob{To: model.JobStopping, Next: next, Reason: reason, Failed: true, Checkpoint: a.checkpoint()}, now)
}

func (l *lead) stop(a *attempt, next model.JobState, reason string, now time.Time) {
	l.move(a, state.MoveJob{To: model.JobStopping, Next: next, Reason: reason, Checkpoint: a.checkpoint()}, now)
}

// move commits a change of the attempt's state; advance waits until it is seen or refused.
func (l *lead) move(a *attempt, c state.MoveJob, now time.Time) {
	c.ID, c.Attempt, c.From, c.AtMS = a.job.Spec.ID, a.job.Attempt, []model.JobState{a.job.State}, now.UnixMilli()
	a.moving = true
	l.execute(c)
}

func (l *lead) advanceStopping(a *attempt, now time.Time) {
	if !a.sent {
		a.sent = true
		l.send(a, model.CommandStop)
	}
	for _, t := range a.tasks {
		if !l.ended(t, now) {
			return
		}
	}
	next := a.job.Next
	if next == "" {
		next = model.JobWaiting
	}
	l.move(a, state.MoveJob{To: next, Reason: a.job.Reason, Checkpoint: a.checkpoint()}, now)
}

// ended reports whether a task cannot run any more: its worker said so, or its lease has run out.
func (l *lead) ended(t task, now time.Time) bool {
	switch t.state {
	case model.TaskDone, model.TaskFailed, model.TaskStopped:
		return true
	}
	if t.gone {
		return true
	}
	lease := time.Duration(float64(model.TaskLease) * (1 + model.MaxClockDrift))
	return now.Sub(l.lastPoll(t.worker)) > lease
}
