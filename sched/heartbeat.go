package sched

import (
	"context"
	"time"

	"turmericroute/batch"
	"turmericroute/loss"
)

// heartbeat records a worker's heartbeat and answers it with orders.
func (s *Scheduler) heartbeat(ctx context.Context, l *leaderState, hb Heartbeat) (Answer, error) {
	s.metrics.heartbeats.Inc()
	ends, fresh := s.recordHeartbeat(l, hb)
	if !fresh {
		return Answer{Orders: &Orders{}}, nil
	}
	committed := true
	if len(ends) > 0 {
		wait, cancel := context.WithTimeout(l.ctx, commitWait)
		err := s.commitEnds(wait, l, hb.Worker, ends)
		cancel()
		committed = err == nil
		if committed {
			s.awaitPass(ctx, l)
		}
	}
	return Answer{Orders: s.ordersFor(l, hb, committed)}, nil
}

// awaitPass triggers a placement pass and waits for it for up to passWait, so that the resources of runs that
// have just ended are assigned in the answer to the same heartbeat.
func (s *Scheduler) awaitPass(ctx context.Context, l *leaderState) {
	s.mu.Lock()
	passDone := l.passDone
	s.mu.Unlock()
	l.triggerPass()
	t := time.NewTimer(passWait)
	defer t.Stop()
	select {
	case <-passDone:
	case <-t.C:
	case <-ctx.Done():
	}
}

// recordHeartbeat stores a heartbeat and returns the ends to commit; it returns false if the heartbeat is stale.
func (s *Scheduler) recordHeartbeat(l *leaderState, hb Heartbeat) ([]batch.End, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.cfg.BootClock()
	w := l.workers[hb.Worker]
	if !l.declared(w, &hb) {
		s.ignoreHeartbeat(l, &hb, now, "service is not declared")
		return nil, false
	}
	switch {
	case l.ofFormerLife(w, &hb):
		s.ignoreHeartbeat(l, &hb, now, "the worker has a later life")
		return nil, false
	case w != nil && hb.Incarnation == w.hb.Incarnation && (hb.Seq <= w.hb.Seq || w.gone):
		return nil, false
	case w != nil && hb.Incarnation > w.hb.Incarnation:
		s.cfg.Logger.Log("event", "worker_reborn", "worker", hb.Worker, "life", hb.Incarnation, "before", w.hb.Incarnation)
		l.forgetWorker(hb.Worker, w)
		w = nil
	}
	if w == nil {
		w = newWorker()
		w.leaseEnd = l.since + s.leaseExpiry()
		for _, r := range hb.Running {
			w.rates[r.Task] = rate{inherited: true, changedAt: now}
		}
		l.workers[hb.Worker] = w
		l.room.markStale(hb.Worker)
		s.cfg.Logger.Log("event", "worker_seen", "worker", hb.Worker, "dc", hb.DataCentre, "rack", hb.Rack, "machine", hb.Machine, "life", hb.Incarnation, "gpus", hb.Capacity.GPUs)
	}
	if hb.Draining != w.hb.Draining {
		s.cfg.Logger.Log("event", "worker_draining", "worker", hb.Worker, "draining", hb.Draining, "left_ms", hb.DrainLeftMS)
	}
	if w.leaving {
		s.cfg.Logger.Log("event", "worker_stayed", "worker", hb.Worker, "life", hb.Incarnation, "seq", hb.Seq, "draining", hb.Draining)
	}
	addressTaken, supersededBy := l.noteAddress(&hb, now), s.noteMachine(l, &hb, now)
	if w.leaving || addressTaken != w.addressTaken || supersededBy != w.supersededBy || w.declaresChange(&hb) || now-w.heardAt >= l.silentAfter(w) {
		l.room.markStale(hb.Worker)
	}
	w.leaving, w.addressTaken, w.supersededBy = false, addressTaken, supersededBy
	l.endRest(w, now)
	l.moveWorker(w, &hb)
	w.hb, w.heardAt = hb, now
	s.noteProfile(l, w, now)
	lapsed := now > w.leaseEnd // its runs beyond the ledger no longer counted
	w.leaseEnd = max(w.leaseEnd, now+s.leaseExpiry())
	if s.recordRuns(l, w, now) || lapsed {
		l.markRuns(hb.Worker)
	}
	var ends []batch.End
	l.ledger.View(func(b *batch.State) {
		s.noteProgress(l, b, w, now)
		ends = s.reconcile(l, b, w, now)
	})
	w.hb.Ended = nil
	w.health.Heard(now)
	s.refreshHealth(l)
	return ends, true
}

// recordRuns stores the runs of a worker's latest heartbeat and reports whether they are others than before.
func (s *Scheduler) recordRuns(l *leaderState, w *worker, now time.Duration) bool {
	changed := len(w.running) != len(w.hb.Running)
	for _, r := range w.hb.Running {
		s.noteWork(l, r, now)
		s.noteGivenUpReport(l, w, RunRef{Task: r.Task, Run: r.Run}, now)
		before, ok := w.running[r.Task]
		known := ok && before.Run == r.Run
		l.noteGangReport(w, r, !known, now)
		if known {
			w.running[r.Task] = r
			continue
		}
		changed = true
		l.noteBegun(w)
		s.markStarted(l, r.Task.Job)
	}
	if !changed {
		return false
	}
	w.running = make(map[batch.TaskID]RunState, len(w.hb.Running))
	reports := make(map[RunRef]firstReport, len(w.hb.Running))
	for _, r := range w.hb.Running {
		w.running[r.Task] = r
		ref := RunRef{Task: r.Task, Run: r.Run}
		first, ok := w.firstReports[ref]
		if !ok {
			first = firstReport{at: now, percent: r.Percent}
		}
		reports[ref] = first
	}
	w.firstReports = reports
	return true
}

// markStarted records that a worker has reported a run of a job. The first report updates the metric of start
// delays, except soon after a change of leader, when the job may have started under an earlier one.
func (s *Scheduler) markStarted(l *leaderState, id string) {
	if l.startedJobs[id] {
		return
	}
	l.startedJobs[id] = true
	l.ledger.View(func(b *batch.State) {
		if j := b.Open[id]; j != nil && l.since < s.cfg.BootClock()-s.leaseExpiry() {
			s.metrics.startSeconds.Update(max(0, s.cfg.WallClock().Sub(time.UnixMilli(j.AcceptedMS)).Seconds()))
		}
	})
}

// reconcile compares a worker's latest heartbeat with the ledger and returns the ends to commit. What is known of a run is
// kept until its end is in the ledger: a commit may fail, and the run must not be ordered again meanwhile.
func (s *Scheduler) reconcile(l *leaderState, b *batch.State, w *worker, now time.Duration) []batch.End {
	var ends []batch.End
	var endReported map[RunRef]bool
	for _, e := range w.hb.Ended {
		ref := RunRef{Task: e.Task, Run: e.Run}
		if r, ok := w.running[e.Task]; ok && r.Run == e.Run && e.Reason == batch.EndRefused {
			continue // a repeated order to start the run was refused, and the run goes on
		}
		if endReported == nil {
			endReported = make(map[RunRef]bool, len(w.hb.Ended))
		}
		endReported[ref] = true
		if e.Reason != batch.EndRefused {
			l.noteBegun(w)
			l.startedJobs[e.Task.Job] = true
		}
		if changesLedger(b, &w.hb, e) {
			s.noteEnd(l, b, w, e, now)
			ends = append(ends, batch.End{Task: e.Task, Run: e.Run, Reason: e.Reason, Checkpoint: e.Checkpoint, Health: l.changedHealth(b, w)})
			l.noteMemberEnd(b.Jobs[e.Task.Job], e, now)
			if e.Reason == batch.EndDone && !w.endNoted[ref] {
				l.noteDone(b.Jobs[e.Task.Job], e.Task, w.hb.Service, now)
			}
			w.endNoted[ref] = true
		} else {
			s.noteLateEnd(l, b, w, e, now)
		}
		w.missedReports[ref] = 0
	}
	w.forgetEnded(b.Runs[w.hb.Worker])
	for id, run := range b.Runs[w.hb.Worker] {
		ref := RunRef{Task: id, Run: run}
		if r, ok := w.running[id]; ok && r.Run == run {
			w.missedReports[ref] = 0
			continue
		}
		t := b.Jobs[id.Job].Task(id)
		if endReported[ref] {
			continue
		}
		switch misses, reported := w.missedReports[ref]; {
		case l.givenUp[ref] != nil:
		case t.Incarnation != w.hb.Incarnation:
			ends = append(ends, s.giveUp(l, w.hb.Worker, batch.End{Task: id, Run: run, Reason: batch.EndLost}, givenUpLaterLife, now))
		case reported && misses+1 >= vanishedAfterMisses:
			ends = append(ends, s.giveUp(l, w.hb.Worker, batch.End{Task: id, Run: run, Reason: batch.EndLost}, givenUpVanished, now))
		case reported:
			w.missedReports[ref] = misses + 1
		case w.stopSeq[ref] != 0 && w.stopSeq[ref] < w.hb.Seq && now-l.since > s.leaseExpiry():
			// The worker has received the stop and reports the run neither as running nor as ended: it never started.
			// Early in a term this may be a late heartbeat, from before a start that an earlier leader has ordered.
			s.noteUnbegun(l, w, ref, now)
			ends = append(ends, s.giveUp(l, w.hb.Worker, batch.End{Task: id, Run: run, Reason: batch.EndNeverStarted}, givenUpNeverStarted, now))
		}
	}
	return ends
}

// vanishedAfterMisses is the number of consecutive heartbeats that must omit a reported run before it counts as
// lost; a worker with many ends reports them over several heartbeats.
const vanishedAfterMisses = 4

// changesLedger reports whether the end of a run that a worker reports changes the ledger. Only the life that has the
// run can end it.
func changesLedger(b *batch.State, hb *Heartbeat, e RunEnd) bool {
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
	if t.Run != e.Run || t.Worker != hb.Worker || t.Incarnation != hb.Incarnation {
		return false
	}
	return t.Active || e.Reason == batch.EndDone && !t.Done && !j.State.Final()
}

// commitEnds commits ends of runs, which are of one worker unless that is empty.
func (s *Scheduler) commitEnds(ctx context.Context, l *leaderState, worker string, ends []batch.End) error {
	start := s.cfg.BootClock()
	_, err := l.commit(ctx, batch.Change{Ends: ends})
	took := s.cfg.BootClock() - start
	s.metrics.endCommitSeconds.Update(took.Seconds())
	s.reportEnds(l, worker, ends, took, err)
	return err
}

// reportEnds counts and logs ended runs and triggers a placement pass; err is the error of their commit, which took as long
// as given.
func (s *Scheduler) reportEnds(l *leaderState, worker string, ends []batch.End, took time.Duration, err error) {
	losses := make([]loss.Run, len(ends))
	workers := s.settleEnds(l, worker, ends, err == nil)
	if err == nil {
		losses = s.lossesOf(l, ends)
	}
	for i, e := range ends {
		s.noteEnded(l, workers[i], e, losses[i], took, err)
	}
	l.triggerPass()
}

// noteEnded counts and logs an ended run; took is how long its commit took, and err the error of that.
func (s *Scheduler) noteEnded(l *leaderState, worker string, e batch.End, lost loss.Run, took time.Duration, err error) {
	s.metrics.endedRuns(e.Reason).Inc()
	work, wait := lost.Lost()
	s.cfg.Logger.Log("event", "run_ended", "task", e.Task, "run", e.Run, "how", e.Reason, "worker", worker, "commit_ms", took.Milliseconds(), "cause", lost.Cause, "held_ms", lost.Held.Milliseconds(), "lost", work, "waited", wait, "term", l.term, "err", err)
}

// settleEnds returns the worker of each of several runs: the given one, or those on which runs were given up if it is empty.
// The commit of their ends is no longer waited for.
func (s *Scheduler) settleEnds(l *leaderState, worker string, ends []batch.End, committed bool) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]string, len(ends))
	for i, e := range ends {
		out[i] = worker
		g := l.givenUp[RunRef{Task: e.Task, Run: e.Run}]
		if g == nil {
			continue
		}
		out[i] = g.worker
		g.awaited, g.counted = false, g.counted || committed
	}
	return out
}

// leave records a notice of leaving. The notice names no incarnation, so it may be a late one of a former life: it ends
// no run and no lease, and only keeps further runs off the worker until its next heartbeat.
func (s *Scheduler) leave(l *leaderState, id string) Answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := l.workers[id]
	if w == nil {
		s.cfg.Logger.Log("event", "worker_left", "worker", id, "seen", false)
		return Answer{}
	}
	w.leaving = true
	l.room.markStale(id)
	age := s.cfg.BootClock() - w.heardAt
	s.cfg.Logger.Log("event", "worker_left", "worker", id, "seen", true, "life", w.hb.Incarnation, "draining", w.hb.Draining, "running", len(w.running), "age_ms", age.Milliseconds())
	return Answer{}
}
