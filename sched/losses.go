package sched

import (
	"time"

	"turmericroute/batch"
	"turmericroute/loss"
)

// The reasons for which runs are stopped or their starts withheld.
const (
	stopJobUnknown   = "job is unknown"
	stopJobFinal     = "job is " // followed by the state
	stopPreempted    = "preempted"
	stopIncomplete   = "gang is incomplete"
	stopNotFormed    = "gang has not formed in time"
	stopDraining     = "worker is draining"
	stopLeaves       = "worker leaves before the run ends"
	stopReplaced     = "run is not the active run of its task"
	stopWithdrawn    = "withdrawn"
	stopGivenUp      = "run has been given up"
	stopJobCancelled = stopJobFinal + string(batch.JobCancelled)
	stopJobFailed    = stopJobFinal + string(batch.JobFailed)
)

// lossBookPruneInterval is the time between looks for runs that have ended without an end of their own.
const lossBookPruneInterval = 5 * time.Second

// lossOfStop returns the cause of the loss of a run that is stopped for a reason.
func (l *leaderState) lossOfStop(b *batch.State, ref RunRef, reason string) loss.Cause {
	switch reason {
	case stopPreempted:
		victim, winner := b.Jobs[ref.Task.Job], b.Jobs[l.preempting[ref]]
		if victim == nil || winner == nil {
			return loss.Stopped
		}
		return loss.Preempted(priorityOf(b, victim), priorityOf(b, winner))
	case stopIncomplete:
		return loss.IncompleteGang
	case stopNotFormed:
		return loss.NotFormed
	case stopDraining, stopLeaves:
		return loss.WorkerLeaves
	case stopReplaced:
		return loss.Replaced
	case stopJobCancelled:
		return loss.JobCancelled
	case stopJobFailed:
		return loss.JobFailed
	default:
		return loss.Stopped
	}
}

// isGang reports whether a task belongs to a gang.
func isGang(b *batch.State, id batch.TaskID) bool {
	j := b.Jobs[id.Job]
	return j != nil && id.Step < len(j.Spec.Steps) && j.Spec.Steps[id.Step].Gang
}

// lossOfEnd counts what has been lost with a run whose end is committed, and drops what is known of its work.
func (s *Scheduler) lossOfEnd(l *leaderState, b *batch.State, e batch.End, now time.Duration) loss.Run {
	j := b.Jobs[e.Task.Job]
	if j == nil || j.Task(e.Task) == nil {
		return loss.Run{}
	}
	step := &j.Spec.Steps[e.Task.Step]
	t := j.Task(e.Task)
	end := loss.End{
		Reason: e.Reason, Checkpoint: e.Checkpoint, Checkpoints: step.Checkpoints && !j.State.Final(), Cores: coresOf(step.Need), Gang: step.Gang,
		Counts:   j.State == batch.JobSucceeded || t.Done && (step.Gang || t.Run == e.Run),
		Replaced: t.Run != e.Run,
	}
	switch j.State {
	case batch.JobCancelled:
		end.Job = loss.JobCancelled
	case batch.JobFailed:
		end.Job = loss.JobFailed
	}
	r, resolved := l.losses.End(loss.Key(RunRef{Task: e.Task, Run: e.Run}), end, now)
	work, wait := r.Lost()
	if r.Cause != loss.None && r.Cause != loss.Unresolved {
		s.metrics.countLoss(r.Cause, 1, work)
	}
	if wait > 0 {
		s.metrics.countLoss(loss.GangWait, 1, wait)
	}
	s.noteResolved(l, resolved)
	return r
}

// noteWork records that a run is reported as running. Of a run that this leader has not ordered to start, the work follows
// from its progress, unless it may have resumed from a checkpoint.
func (s *Scheduler) noteWork(l *leaderState, r RunState, now time.Duration) {
	k := loss.Key{Task: r.Task, Run: r.Run}
	if !l.losses.Known(k) && r.Percent > 0 {
		l.ledger.View(func(b *batch.State) {
			if j := b.Jobs[r.Task.Job]; j != nil && r.Task.Step < len(j.Spec.Steps) && !j.Spec.Steps[r.Task.Step].Checkpoints {
				worked := time.Duration(r.Percent*j.Spec.Steps[r.Task.Step].EstimateMS) * time.Millisecond / 100
				l.losses.Order(k, false, now-worked)
			}
		})
	}
	l.losses.Report(k, r.Checkpoint, now)
}

// noteLateEnd counts and logs what has been lost with a run whose end changes nothing, since another run has taken its
// place or its job has ended.
func (s *Scheduler) noteLateEnd(l *leaderState, b *batch.State, w *worker, e RunEnd, now time.Duration) {
	r := s.lossOfEnd(l, b, batch.End{Task: e.Task, Run: e.Run, Reason: e.Reason, Checkpoint: e.Checkpoint}, now)
	if r.Cause == loss.None {
		return
	}
	lost, waited := r.Lost()
	s.cfg.Logger.Log("event", "late_end", "task", e.Task, "run", e.Run, "how", e.Reason, "worker", w.hb.Worker, "cause", r.Cause, "held_ms", r.Held.Milliseconds(), "lost", lost, "waited", waited, "term", l.term)
}

// lossesOf returns what has been lost with each of several runs whose ends are committed.
func (s *Scheduler) lossesOf(l *leaderState, ends []batch.End) []loss.Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.cfg.BootClock()
	out := make([]loss.Run, len(ends))
	l.ledger.View(func(b *batch.State) {
		for i, e := range ends {
			out[i] = s.lossOfEnd(l, b, e, now)
		}
	})
	return out
}

// noteResolved counts and logs why gangs have broken whose members had ended before that was known.
func (s *Scheduler) noteResolved(l *leaderState, list []loss.Resolved) {
	for _, r := range list {
		s.metrics.countLoss(r.Cause, r.Sum.Runs, r.Sum.CoreSeconds)
		s.cfg.Logger.Log("event", "gang_loss_resolved", "task", r.Gang.Task, "run", r.Gang.Run, "cause", r.Cause, "runs", r.Sum.Runs, "lost", r.Sum.CoreSeconds, "term", l.term)
	}
}

// pruneLosses drops what is known of the work of runs that are neither active nor reported.
func (s *Scheduler) pruneLosses(l *leaderState, b *batch.State, now time.Duration) {
	if now-l.lossesPrunedAt < lossBookPruneInterval {
		return
	}
	l.lossesPrunedAt = now
	s.noteResolved(l, l.losses.Prune(now, func(k loss.Key) bool {
		j := b.Jobs[k.Task.Job]
		if j == nil || j.Task(k.Task) == nil {
			return false
		}
		t := j.Task(k.Task)
		w := l.workers[t.Worker]
		return t.Run == k.Run && (t.Active || w != nil && w.running[k.Task].Run == k.Run)
	}))
}
