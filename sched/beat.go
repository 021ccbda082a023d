package sched

import (
	"context"
	"time"

	"turmericroute/batch"
)

// heartbeat takes in a worker's heartbeat and answers it with orders.
func (s *Scheduler) heartbeat(ctx context.Context, o *leadership, b Heartbeat) (Answer, error) {
	s.metrics.heartbeats.Inc()
	ends, taken := s.recordHeartbeat(o, b)
	if !taken {
		return Answer{Orders: &Orders{}}, nil
	}
	committed := true
	if len(ends) > 0 {
		wait, cancel := context.WithTimeout(o.ctx, commitWait)
		_, err := o.commit(wait, batch.Change{Ends: ends})
		cancel()
		s.reportEnds(o, b.Worker, ends, err)
		committed = err == nil
		if committed {
			s.awaitPass(ctx, o)
		}
	}
	return Answer{Orders: s.ordersFor(o, b, committed)}, nil
}

// awaitPass runs a placement pass and waits a little for it, so that the room of
// the runs that have just ended is used in the answer to the same heartbeat.
func (s *Scheduler) awaitPass(ctx context.Context, o *leadership) {
	s.mu.Lock()
	planned := o.passDone
	s.mu.Unlock()
	o.triggerPass()
	t := time.NewTimer(passWait)
	defer t.Stop()
	select {
	case <-planned:
	case <-t.C:
	case <-ctx.Done():
	}
}

// recordHeartbeat notes a heartbeat and returns the ends to commit; it returns false
// for one that is out of date.
func (s *Scheduler) recordHeartbeat(o *leadership, b Heartbeat) ([]batch.End, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.cfg.BootClock()
	w := o.workers[b.Worker]
	switch {
	case w != nil && b.Incarnation < w.hb.Incarnation:
		return nil, false
	case w != nil && b.Incarnation == w.hb.Incarnation && (b.Seq <= w.hb.Seq || w.gone && w.leftAt == 0):
		return nil, false
	case w != nil && b.Incarnation > w.hb.Incarnation:
		s.cfg.Logger.Log("event", "worker_reborn", "worker", b.Worker, "life", b.Incarnation, "before", w.hb.Incarnation)
		w = nil
	}
	for id, other := range o.workers {
		if id == b.Worker || other.gone {
			continue
		}
		if other.hb.supersedes(&b) {
			return nil, false
		}
		if b.supersedes(&other.hb) {
			other.gone = true
			s.cfg.Logger.Log("event", "worker_superseded", "worker", id, "by", b.Worker, "address", b.Address, "machine", b.Machine)
		}
	}
	if w == nil {
		w = newWorker()
		w.leaseEnd = o.since + s.leaseExpiry()
		o.workers[b.Worker] = w
		s.cfg.Logger.Log("event", "worker_seen", "worker", b.Worker, "dc", b.DataCentre, "rack", b.Rack, "machine", b.Machine, "life", b.Incarnation, "gpus", b.Capacity.GPUs)
	}
	if b.Draining != w.hb.Draining {
		s.cfg.Logger.Log("event", "worker_draining", "worker", b.Worker, "draining", b.Draining, "left_ms", b.DrainLeftMS)
	}
	w.hb, w.heardAt = b, now
	w.leaseEnd = max(w.leaseEnd, now+s.leaseExpiry())
	w.running = make(map[batch.TaskID]RunState, len(b.Running))
	w.unknownRuns = 0
	seen := make(map[RunRef]firstReport, len(b.Running))
	for _, r := range b.Running {
		w.running[r.Task] = r
		s.markStarted(o, r.Task.Job)
		ref := RunRef{Task: r.Task, Run: r.Run}
		first, ok := w.firstReports[ref]
		if !ok {
			first = firstReport{at: now, percent: r.Percent}
		}
		seen[ref] = first
	}
	w.firstReports = seen
	var ends []batch.End
	o.ledger.View(func(book *batch.State) { ends = o.reconcile(book, w, now) })
	w.hb.Ended = nil
	return ends, true
}

// markStarted notes that a run of a job was seen.
func (s *Scheduler) markStarted(o *leadership, id string) {
	if o.startedJobs[id] {
		return
	}
	o.startedJobs[id] = true
	o.ledger.View(func(b *batch.State) {
		if j := b.Open[id]; j != nil && o.since < s.cfg.BootClock()-s.leaseExpiry() {
			s.metrics.startSeconds.Update(max(0, s.cfg.WallClock().Sub(time.UnixMilli(j.AcceptedMS)).Seconds()))
		}
	})
}

// reconcile compares what a worker reports with the ledger and returns the ends to commit.
func (o *leadership) reconcile(b *batch.State, w *worker, now time.Duration) []batch.End {
	var ends []batch.End
	listed := map[RunRef]bool{}
	for _, e := range w.hb.Ended {
		ref := RunRef{Task: e.Task, Run: e.Run}
		listed[ref] = true
		if e.Reason != batch.EndRefused {
			o.startedJobs[e.Task.Job] = true
		}
		if changesLedger(b, e) {
			ends = append(ends, batch.End{Task: e.Task, Run: e.Run, Reason: e.Reason, Checkpoint: e.Checkpoint})
			o.recordGangBreak(b, ref, e.Reason)
			if e.Reason == batch.EndFailed {
				w.failedAt = append(w.failedAt, now)
			}
		}
		delete(w.missedReports, ref)
		delete(w.stopSeq, ref)
	}
	for id, run := range b.Runs[w.hb.Worker] {
		ref := RunRef{Task: id, Run: run}
		t := b.Jobs[id.Job].Task(id)
		if r, ok := w.running[id]; ok && r.Run == run {
			w.missedReports[ref] = 0
			continue
		}
		if listed[ref] {
			continue
		}
		switch misses, seen := w.missedReports[ref]; {
		case t.Incarnation != w.hb.Incarnation:
			ends = append(ends, batch.End{Task: id, Run: run, Reason: batch.EndLost})
		case seen && misses+1 >= vanishedAfterMisses:
			ends = append(ends, batch.End{Task: id, Run: run, Reason: batch.EndLost})
			delete(w.missedReports, ref)
		case seen:
			w.missedReports[ref] = misses + 1
		case w.stopSeq[ref] != 0 && w.stopSeq[ref] < w.hb.Seq:
			// The worker has taken the stop and lists the run neither as running nor as ended: it never started.
			ends = append(ends, batch.End{Task: id, Run: run, Reason: batch.EndNeverStarted})
			delete(w.stopSeq, ref)
		}
	}
	return ends
}

// recordGangBreak notes what the end of a member says of its gang: that it has broken, or by which member.
func (o *leadership) recordGangBreak(b *batch.State, ref RunRef, how batch.EndReason) {
	if !b.Jobs[ref.Task.Job].Spec.Steps[ref.Task.Step].Gang {
		return
	}
	ref.Task.Index = 0
	switch how {
	case batch.EndGangBroken:
		o.brokenGangs[ref] = true
	case batch.EndFailed, batch.EndStopped, batch.EndLeaseExpired:
		o.causeKnown[ref] = true
	}
}

// vanishedAfterMisses is how many heartbeats in a row must omit a run that was
// running; a long list of ends is sent in parts.
const vanishedAfterMisses = 4

// changesLedger reports whether an end changes the ledger.
func changesLedger(b *batch.State, e RunEnd) bool {
	j := b.Jobs[e.Task.Job]
	if j == nil {
		return false
	}
	t := j.Task(e.Task)
	if t == nil {
		return false
	}
	if (batch.End{Run: e.Run, Reason: e.Reason}).LateFailure(*t) {
		return true
	}
	if t.Run != e.Run {
		return false
	}
	return t.Active || e.Reason == batch.EndDone && !t.Done && !j.State.Final()
}

func (s *Scheduler) reportEnds(o *leadership, worker string, ends []batch.End, err error) {
	for _, e := range ends {
		s.metrics.endedRuns(e.Reason).Inc()
		s.cfg.Logger.Log("event", "run_ended", "task", e.Task, "run", e.Run, "how", e.Reason, "worker", worker, "term", o.term, "err", err)
	}
	o.triggerPass()
}

// leave notes the orderly end of a worker's life, with which all its runs end.
// They are not recorded as lost at once: the last heartbeat, which may list a
// run as done, can arrive after the farewell.
func (s *Scheduler) leave(o *leadership, id string) Answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w := o.workers[id]; w != nil && !w.gone {
		w.gone, w.leftAt = true, s.cfg.BootClock()
		s.cfg.Logger.Log("event", "worker_left", "worker", id, "running", len(w.running))
	}
	return Answer{}
}
