package gang

import (
	"time"

	"turmericroute/model"
	"turmericroute/place"
)

// preempt starts the preemption of a whole gang. A running gang is asked for a checkpoint first.
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

// advanceReclaim moves a reclaim on from checkpoint to throttle to stop, and directly to
// stop once all tasks report the checkpoint.
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
// checkpoint of the reclaim. This includes tasks whose start has not been
// reported: after a change of leader they may have run for hours.
func (a *attempt) checkpointed() bool {
	for _, t := range a.tasks {
		ended := contains([]model.TaskState{model.TaskDone, model.TaskFailed, model.TaskStopped, taskLost}, t.state)
		if !ended && t.checkpointSeq < t.reclaimSeq {
			return false
		}
	}
	return true
}
