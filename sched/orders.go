package sched

import (
	"slices"
	"time"

	"turmericroute/batch"
	"turmericroute/fleet"
	"turmericroute/loss"
)

// ordersFor returns the answer to a heartbeat; committed reports whether the ends that it reports are committed. The
// answer is empty if a later heartbeat has arrived meanwhile.
func (s *Scheduler) ordersFor(l *leaderState, hb Heartbeat, committed bool) *Orders {
	out := &Orders{LeaseMS: int(s.lease().Milliseconds()), Fence: l.term}
	if n := len(hb.Ended); n > 0 && committed {
		out.AckedThrough = hb.Ended[n-1].Number
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	w := l.workers[hb.Worker]
	if w == nil || w.hb.Incarnation != hb.Incarnation || w.hb.Seq != hb.Seq {
		return &Orders{}
	}
	if w.gone {
		return &Orders{AckedThrough: out.AckedThrough, Fence: out.Fence}
	}
	bytesLeft := maxStartsBytes
	forming := false
	now := s.cfg.BootClock()
	l.ledger.View(func(b *batch.State) {
		for id, run := range b.Runs[hb.Worker] {
			j := b.Jobs[id.Job]
			t := j.Task(id)
			ref := RunRef{Task: id, Run: run}
			r, running := w.running[id]
			_, seen := w.missedReports[ref]
			if t.Incarnation != hb.Incarnation || running && r.Run == run || seen || l.givenUp[ref] != nil || l.lingers(id) {
				continue
			}
			if reason := s.startBlockReason(l, b, w, j, id, run, now); reason != "" {
				if j.Spec.Steps[id.Step].Gang {
					l.giveUpGang(j, id, run, now)
				}
				s.orderStop(l, b, w, out, ref, reason)
				continue
			}
			if l.defersStart(b, hb.Worker, j, ref) {
				continue
			}
			order := StartOrder{Task: id, Run: run, Text: j.Spec.Text, Checkpoint: l.resumeCheckpoint(j, id), Ticket: l.ticket(id, hb.Worker, now)}
			if bytesLeft -= order.encodedBytes(); bytesLeft < 0 && len(out.Starts) > 0 {
				continue // with the next heartbeat
			}
			if j.Spec.Steps[id.Step].Gang {
				l.noteGangStart(j, id, run, now)
				forming = true
			}
			out.Starts = append(out.Starts, order)
			delete(l.notOrdered, ref)
			l.noteOrdered(hb.Worker, ref)
			l.losses.Order(loss.Key{Task: id, Run: run}, j.Spec.Steps[id.Step].Gang, now)
			w.noteStartOrder(ref, now)
			s.cfg.Logger.Log("event", "start_ordered", "task", id, "run", run, "worker", hb.Worker, "seq", hb.Seq, "age_ms", (now - w.heardAt).Milliseconds(), "checkpoint", l.resumeCheckpoint(j, id))
		}
		for id, r := range w.running {
			s.keepAvailable(l, b, w, RunRef{Task: id, Run: r.Run})
			forming = forming || l.isForming(id, r.Run)
			reason := s.stopReason(l, b, id, r.Run, now)
			if j := b.Jobs[id.Job]; reason == "" && j != nil && s.leavesBeforeEnd(l, w, j, r, now) {
				reason = stopLeaves
			}
			if reason != "" {
				s.orderStop(l, b, w, out, RunRef{Task: id, Run: r.Run}, reason)
			}
			if reason == stopReplaced || reason == stopGivenUp {
				l.noteLingering(id, hb.Worker)
			}
		}
		s.throttle(l, b, w, out, now)
	})
	w.interval = l.intervalFor(hb.Worker, forming)
	out.RetryAfterMS = int(w.interval.Milliseconds())
	slices.SortFunc(out.Starts, func(a, c StartOrder) int { return compareTasks(a.Task, c.Task) })
	return out
}

// encodedBytes returns a bound on the size of a start order in an answer. Encoding takes up to six bytes for one of text.
func (o *StartOrder) encodedBytes() int {
	return 6*(len(o.Text)+len(o.Checkpoint)+len(o.Ticket)) + 2*len(o.Task.Job) + startOverheadBytes
}

// maxStartsBytes bounds the start orders in one answer, but for a single larger one. Workers and the calls between
// instances accept messages of 4 MiB.
const maxStartsBytes = 3 << 20

// startOverheadBytes is the size of a start order apart from its texts.
const startOverheadBytes = 100

// orderStop adds a stop to the orders and records the heartbeat in whose answer it was first sent.
func (s *Scheduler) orderStop(l *leaderState, b *batch.State, w *worker, out *Orders, ref RunRef, reason string) {
	out.Stops = append(out.Stops, ref)
	if w.stopSeq[ref] == 0 {
		w.stopSeq[ref] = w.hb.Seq
		l.losses.Stop(loss.Key(ref), isGang(b, ref.Task), l.lossOfStop(b, ref, reason))
		s.cfg.Logger.Log("event", "stop_ordered", "task", ref.Task, "run", ref.Run, "worker", w.hb.Worker, "seq", w.hb.Seq, "why", reason, "for", l.preempting[ref])
	}
}

// startBlockReason returns why a committed run must not start now, "" if it may.
func (s *Scheduler) startBlockReason(l *leaderState, b *batch.State, w *worker, j *batch.Job, id batch.TaskID, run int, now time.Duration) string {
	ref := RunRef{Task: id, Run: run}
	switch {
	case w.stopSeq[ref] != 0:
		return stopWithdrawn
	case j.State.Final():
		return stopJobFinal + string(j.State)
	case j.Task(id).Done:
		return "task is done"
	case w.hb.Draining:
		return stopDraining
	case w.health.Excludes(fleet.RunID{Task: id, Run: run}):
		return "worker is on probation"
	case b.OutOfService[w.hb.DataCentre]:
		return "data centre is out of service"
	case w.supersededBy != "":
		return "machine has a later life"
	case w.startOrders[ref].overdue(now):
		return "worker does not begin it"
	case l.preempting[ref] != "":
		return stopPreempted
	case j.Spec.Steps[id.Step].Gang && !l.gangComplete(j, id, run):
		return stopIncomplete
	case s.hasNotFormed(l, id, run, true, now):
		return stopNotFormed
	case needsTicket(b, j) && l.ticket(id, w.hb.Worker, now) == "":
		return "ticket has expired"
	case l.exceedsQuota(b, w.hb.Worker, j, ref):
		return "quota of the team is exceeded"
	}
	return ""
}

// gangComplete reports whether the run is active for all members of its gang, and none of them is given up.
func (l *leaderState) gangComplete(j *batch.Job, id batch.TaskID, run int) bool {
	for i, t := range j.Rounds[id.Round][id.Step].Tasks {
		id.Index = i
		if !t.Active || t.Run != run || l.givenUp[RunRef{Task: id, Run: run}] != nil {
			return false
		}
	}
	return true
}

// stopReason returns why a run that is active on a worker must be stopped, "" if it must not.
func (s *Scheduler) stopReason(l *leaderState, b *batch.State, id batch.TaskID, run int, now time.Duration) string {
	j := b.Jobs[id.Job]
	if j == nil {
		return stopJobUnknown
	}
	t := j.Task(id)
	switch {
	case t == nil:
		return "task is unknown"
	case j.State == batch.JobSucceeded || t.Done && j.Spec.Steps[id.Step].Gang:
		return "" // it ends by itself; stopping it could lose an end that counts for the whole gang
	case j.State.Final():
		return stopJobFinal + string(j.State)
	case t.Run != run || !t.Active:
		return stopReplaced
	case l.givenUp[RunRef{Task: id, Run: run}] != nil:
		return stopGivenUp
	case l.preempting[RunRef{Task: id, Run: run}] != "":
		return stopPreempted
	case j.Spec.Steps[id.Step].Gang && !l.gangComplete(j, id, run):
		return stopIncomplete
	case s.hasNotFormed(l, id, run, false, now):
		return stopNotFormed
	}
	return ""
}

// keepAvailable ends the preemption of a run that has not been told to stop, if too many others of its step have become
// unavailable since.
func (s *Scheduler) keepAvailable(l *leaderState, b *batch.State, w *worker, ref RunRef) {
	if l.preempting[ref] == "" || w.stopSeq[ref] != 0 {
		return
	}
	j := b.Jobs[ref.Task.Job]
	if j == nil || !bounded(&j.Spec.Steps[ref.Task.Step]) || s.mayStop(l, j, ref.Task, 0) {
		return
	}
	s.cfg.Logger.Log("event", "preemption_dropped", "task", ref.Task, "run", ref.Run, "for", l.preempting[ref], "why", "too many tasks of the step are unavailable")
	delete(l.preempting, ref)
	l.room.markStale(w.hb.Worker)
	l.triggerPass()
}

const (
	// leaveHeartbeats is the number of heartbeat intervals that are left to a leaving worker to report its last
	// ends, since single heartbeats can be lost.
	leaveHeartbeats = 4
	// leaveMargin is the time before a worker's announced shutdown in which no run should end by itself, since the
	// report of its end may be lost.
	leaveMargin = 400 * time.Millisecond
)

// leavesBeforeEnd reports whether a run must be stopped because its worker shuts down before the run is expected to
// end. A stop keeps the progress of the run, whereas a task whose end as done is never reported runs again. A run that
// saves no progress and certainly does not end in time is stopped at once: what it would still do is lost.
func (s *Scheduler) leavesBeforeEnd(l *leaderState, w *worker, j *batch.Job, r RunState, now time.Duration) bool {
	if !w.hb.Draining || j.State.Final() {
		return false
	}
	left := time.Duration(w.hb.DrainLeftMS) * time.Millisecond
	if !j.Spec.Steps[r.Task.Step].Checkpoints && !w.progress(r, now).EndsIn(left-leaveMargin) {
		return true
	}
	if left > s.cfg.Limits.StopGrace+leaveHeartbeats*l.heartbeatInterval()+leaveMargin {
		return false
	}
	return s.remaining(l, w, j, r, now) > left-leaveMargin
}

// resumeCheckpoint returns the checkpoint from which a task resumes, "" if there is none. All members of a gang resume
// from the greatest checkpoint that any of them has.
func (l *leaderState) resumeCheckpoint(j *batch.Job, id batch.TaskID) string {
	if !j.Spec.Steps[id.Step].Gang {
		return j.Task(id).Checkpoint
	}
	best := ""
	for _, t := range j.Rounds[id.Round][id.Step].Tasks {
		if t.Checkpoint > best {
			best = t.Checkpoint
		}
	}
	return best
}

func compareTasks(a, b batch.TaskID) int {
	switch {
	case a.Job != b.Job:
		if a.Job < b.Job {
			return -1
		}
		return 1
	case a.Round != b.Round:
		return a.Round - b.Round
	case a.Step != b.Step:
		return a.Step - b.Step
	default:
		return a.Index - b.Index
	}
}
