package sched

import (
	"slices"
	"time"

	"turmericroute/batch"
)

// ordersFor makes the answer to a heartbeat whose ends are committed or not.
func (s *Scheduler) ordersFor(o *leadership, b Heartbeat, committed bool) *Orders {
	out := &Orders{LeaseMS: int(s.lease().Milliseconds()), Fence: o.term}
	if n := len(b.Ended); n > 0 && committed {
		out.AckedThrough = b.Ended[n-1].Number
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	w := o.workers[b.Worker]
	if w == nil || w.hb.Incarnation != b.Incarnation || w.hb.Seq != b.Seq {
		return &Orders{}
	}
	if w.gone {
		return &Orders{AckedThrough: out.AckedThrough, Fence: out.Fence}
	}
	out.RetryAfterMS = int(o.heartbeatInterval().Milliseconds())
	now := s.cfg.BootClock()
	o.ledger.View(func(book *batch.State) {
		for id, run := range book.Runs[b.Worker] {
			j := book.Jobs[id.Job]
			t := j.Task(id)
			r, running := w.running[id]
			_, seen := w.missedReports[RunRef{Task: id, Run: run}]
			if t.Incarnation != b.Incarnation || running && r.Run == run || seen {
				continue
			}
			if why := o.startBlockReason(book, w, j, id, run, now); why != "" {
				s.orderStop(o, w, out, RunRef{Task: id, Run: run}, why)
				continue
			}
			out.Starts = append(out.Starts, StartOrder{Task: id, Run: run, Text: j.Spec.Text, Checkpoint: o.resumeCheckpoint(j, id), Ticket: o.ticket(id, b.Worker, now)})
			s.cfg.Logger.Log("event", "start_ordered", "task", id, "run", run, "worker", b.Worker, "seq", b.Seq, "age_ms", (now - w.heardAt).Milliseconds(), "checkpoint", o.resumeCheckpoint(j, id))
		}
		for id, r := range w.running {
			why := o.stopReason(book, id, r.Run)
			if j := book.Jobs[id.Job]; why == "" && j != nil && s.leavesBeforeEnd(o, w, j, r, now) {
				why = "worker is leaving"
			}
			if why != "" {
				s.orderStop(o, w, out, RunRef{Task: id, Run: r.Run}, why)
			}
		}
		s.throttle(o, book, w, out, now)
	})
	slices.SortFunc(out.Starts, func(a, c StartOrder) int { return compareTasks(a.Task, c.Task) })
	return out
}

// orderStop orders a orderStop and notes the heartbeat in whose answer it went out first.
func (s *Scheduler) orderStop(o *leadership, w *worker, out *Orders, ref RunRef, why string) {
	out.Stops = append(out.Stops, ref)
	if w.stopSeq[ref] == 0 {
		w.stopSeq[ref] = w.hb.Seq
		s.cfg.Logger.Log("event", "stop_ordered", "task", ref.Task, "run", ref.Run, "worker", w.hb.Worker, "seq", w.hb.Seq, "why", why, "for", o.preempting[ref])
	}
}

// startBlockReason says why a committed run must not be started now; empty means that it may.
func (o *leadership) startBlockReason(b *batch.State, w *worker, j *batch.Job, id batch.TaskID, run int, now time.Duration) string {
	ref := RunRef{Task: id, Run: run}
	switch {
	case w.stopSeq[ref] != 0:
		return "withdrawn"
	case j.State.Final():
		return "job is " + string(j.State)
	case j.Task(id).Done:
		return "task is done"
	case w.hb.Draining:
		return "worker is draining"
	case b.OutOfService[w.hb.DataCentre]:
		return "data centre is out of service"
	case o.preempting[ref] != "":
		return "preempted"
	case j.Spec.Steps[id.Step].Gang && !o.gangComplete(j, id, run):
		return "gang is not whole"
	case needsTicket(b, j) && o.ticket(id, w.hb.Worker, now) == "":
		return "ticket has expired"
	}
	return ""
}

// gangComplete reports whether all members of a gang still have the run.
func (o *leadership) gangComplete(j *batch.Job, id batch.TaskID, run int) bool {
	for _, t := range j.Rounds[id.Round][id.Step].Tasks {
		if !t.Active || t.Run != run {
			return false
		}
	}
	return true
}

// stopReason says why a run that is alive on a worker must be stopped; empty means that it must not.
func (o *leadership) stopReason(b *batch.State, id batch.TaskID, run int) string {
	j := b.Jobs[id.Job]
	if j == nil {
		return "job is not known"
	}
	t := j.Task(id)
	switch {
	case t == nil:
		return "task is not known"
	case j.State == batch.JobSucceeded || t.Done && j.Spec.Steps[id.Step].Gang:
		return "" // it ends by itself; stopping it could lose an end that stands for the gang
	case j.State.Final():
		return "job is " + string(j.State)
	case t.Run != run || !t.Active:
		return "run is out of date"
	case o.preempting[RunRef{Task: id, Run: run}] != "":
		return "preempted"
	case j.Spec.Steps[id.Step].Gang && !o.gangComplete(j, id, run):
		return "gang is not whole"
	}
	return ""
}

const (
	// leaveHeartbeats is how many heartbeats must be left for a worker that leaves to report its last ends; single
	// heartbeats can be lost.
	leaveHeartbeats = 4
	// leaveMargin is the time before the announced end of a worker's life in which a run should not end by
	// itself: its end might never be heard of.
	leaveMargin = 400 * time.Millisecond
)

// leavesBeforeEnd reports whether a run must be stopped because its worker leaves before the run ends. Its
// progress is kept by the stop; an end as done that nobody hears of would be run again.
func (s *Scheduler) leavesBeforeEnd(o *leadership, w *worker, j *batch.Job, r RunState, now time.Duration) bool {
	if !w.hb.Draining || j.State.Final() {
		return false
	}
	left := time.Duration(w.hb.DrainLeftMS) * time.Millisecond
	if left > s.cfg.Limits.StopGrace+leaveHeartbeats*o.heartbeatInterval()+leaveMargin {
		return false
	}
	return s.remaining(w, j, r, now) > left-leaveMargin
}

// resumeCheckpoint returns the progress from which a task resumes; a gang resumes from one that any member has.
func (o *leadership) resumeCheckpoint(j *batch.Job, id batch.TaskID) string {
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
