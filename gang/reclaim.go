package gang

import (
	"time"

	"turmericroute/model"
	"turmericroute/place"
)

// preempt begins to take a whole running gang off its workers.
func (l *leaderState) preempt(dec place.Preempt, now time.Time) {
	a := l.attempts[dec.ID]
	if a == nil || a.reclaim != reclaimNone {
		return
	}
	l.countPreemption(dec, now)
	a.reclaimReason = dec.Reason
	if dec.For != "" {
		a.reclaimReason = "preempted for job " + dec.For + ": " + dec.Reason
	}
	l.cfg.Logger.Log("event", "preempt", "job", dec.ID, "attempt", a.job.Attempt, "for", dec.For, "reason", dec.Reason)
	a.reclaim, a.reclaimAt = reclaimCheckpoint, now
	if a.job.State == model.JobRunning {
		for i := range a.tasks {
			t := &a.tasks[i]
			t.reclaimSeq = l.sessions.get(t.worker).push(model.Command{Kind: model.CommandCheckpoint, Task: a.taskID(i)})
		}
	} else {
		a.reclaim = reclaimStop
	}
	l.advance(a, now)
}

// advanceReclaim goes from checkpoint to throttle to stop, earlier when the checkpoint is reported by all tasks.
func (l *leaderState) advanceReclaim(a *attempt, now time.Time) {
	waited := now.Sub(a.reclaimAt)
	switch a.reclaim {
	case reclaimNone:
		return
	case reclaimCheckpoint:
		if a.checkpointed() {
			a.reclaim = reclaimStop
		} else if waited >= checkpointTimeout {
			a.reclaim, a.reclaimAt = reclaimThrottle, now
			l.sendAll(a, model.CommandThrottle)
			return
		}
	case reclaimThrottle:
		if a.checkpointed() || waited >= throttleTimeout {
			a.reclaim = reclaimStop
		}
	}
	if a.reclaim == reclaimStop {
		l.stopAttempt(a, model.JobWaiting, a.reclaimReason, now)
	}
}

// checkpointed reports whether every task that has not ended has completed the
// checkpoint of the reclaim. A task whose start is not reported yet counts too:
// after a change of leader it may have run for hours.
func (a *attempt) checkpointed() bool {
	for _, t := range a.tasks {
		ended := contains([]model.TaskState{model.TaskDone, model.TaskFailed, model.TaskStopped, taskLost}, t.state)
		if !ended && t.checkpointSeq < t.reclaimSeq {
			return false
		}
	}
	return true
}
