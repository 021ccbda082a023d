package sched

import (
	"time"

	"turmericroute/batch"
	"turmericroute/loss"
)

// givenUpReason is why a run counts as ended that its worker has not reported as ended. It follows from what the worker
// says or from the end of its lease: that another member of the gang has ended does not show that this one has, which may
// start after that, or run on where it does not hear of it.
type givenUpReason string

const (
	givenUpLeaseExpired givenUpReason = "lease_expired"
	// givenUpLaterLife means that the worker or its machine has reported a later life.
	givenUpLaterLife givenUpReason = "later_life"
	// givenUpVanished means that the worker reported the run before, and no longer does.
	givenUpVanished givenUpReason = "vanished"
	// givenUpNeverStarted means that the worker has received a stop before it could start the run.
	givenUpNeverStarted givenUpReason = "never_started"
	// givenUpNotOrdered means that this leader has placed the run and never ordered it, and will not: its worker is silent, or
	// the run has been withdrawn.
	givenUpNotOrdered givenUpReason = "not_ordered"
)

// notOrderedSilence is the least silence of a worker after which the runs that it was never ordered to start are given up.
// A worker that has lost an answer is heard again after answerTimeout.
const notOrderedSilence = answerTimeout + 300*time.Millisecond

// givenUpRetry is how long after a proposal of the end of a given-up run that end is proposed again.
const givenUpRetry = commitWait

// givenUpRun is a run that the leader has given up, until its end is in the ledger. The decision is final: its proposal may
// be committed at any time, also after it seems to have failed, so that the run must not start any more meanwhile.
type givenUpRun struct {
	worker string
	end    batch.End
	// at is the boot time of the decision, proposedAt that of the latest proposal of the end.
	at, proposedAt time.Duration
	// reported is set once the worker has reported the run as running since.
	reported bool
	// awaited is set while the commit of the end is waited for, counted once the loss of the run has been counted.
	awaited, counted bool
}

// giveUp decides that a run on a worker has ended, and returns the end to commit.
func (s *Scheduler) giveUp(l *leaderState, worker string, end batch.End, why givenUpReason, now time.Duration) batch.End {
	ref := RunRef{Task: end.Task, Run: end.Run}
	l.givenUp[ref] = &givenUpRun{worker: worker, end: end, at: now, proposedAt: now, awaited: true}
	s.metrics.givenUpRuns(why).Inc()
	silent, reported := now-l.since, false
	if w := l.workers[worker]; w != nil {
		_, reported = w.firstReports[ref]
		silent = now - w.heardAt
	}
	ordered := l.losses.Known(loss.Key(ref))
	s.cfg.Logger.Log("event", "run_given_up", "task", ref.Task, "run", ref.Run, "worker", worker, "why", why, "silent_ms", silent.Milliseconds(), "ordered", ordered, "reported", reported, "term", l.term)
	return end
}

// notOrderedEnds gives up the runs that this leader has placed and never ordered to start, if their worker is silent or they
// are withdrawn, and returns their ends. Only this leader sends orders in its term, so no lease needs to expire.
func (s *Scheduler) notOrderedEnds(l *leaderState, b *batch.State, now time.Duration) []batch.End {
	var ends []batch.End
	for ref, id := range l.notOrdered {
		run, active := b.Runs[id][ref.Task]
		if _, pending := l.pending[ref.Task]; pending {
			continue
		}
		if !active || run != ref.Run || l.givenUp[ref] != nil {
			delete(l.notOrdered, ref)
			continue
		}
		w := l.workers[id]
		if w == nil || w.stopSeq[ref] == 0 && now-w.heardAt < max(notOrderedSilence, l.silentAfter(w)) {
			continue
		}
		delete(l.notOrdered, ref)
		ends = append(ends, s.giveUp(l, id, batch.End{Task: ref.Task, Run: ref.Run, Reason: batch.EndNeverStarted}, givenUpNotOrdered, now))
	}
	return ends
}

// noteGivenUpReport counts and logs the first report of a run as running that has been given up.
func (s *Scheduler) noteGivenUpReport(l *leaderState, w *worker, ref RunRef, now time.Duration) {
	g := l.givenUp[ref]
	if g == nil || g.reported {
		return
	}
	g.reported = true
	l.noteLingering(ref.Task, w.hb.Worker)
	s.metrics.givenUpReports.Inc()
	s.cfg.Logger.Log("event", "given_up_run_reported", "task", ref.Task, "run", ref.Run, "worker", w.hb.Worker, "seq", w.hb.Seq, "given_up_ms", (now - g.at).Milliseconds(), "term", l.term)
}

// unrecordedEnds drops the given-up runs whose ends are in the ledger, and returns the ends of the others that are to be
// proposed again: they may have failed to reach the log.
func (s *Scheduler) unrecordedEnds(l *leaderState, b *batch.State, now time.Duration) []batch.End {
	var ends []batch.End
	for ref, g := range l.givenUp {
		run, active := b.Runs[g.worker][ref.Task]
		active = active && run == ref.Run
		switch {
		case g.awaited:
		case active && now-g.proposedAt >= givenUpRetry:
			g.proposedAt, g.awaited = now, true
			ends = append(ends, g.end)
		case !active:
			if !g.counted {
				s.noteEnded(l, g.worker, g.end, s.lossOfEnd(l, b, g.end, now), now-g.at, nil)
			}
			delete(l.givenUp, ref)
		}
	}
	return ends
}

// noteLingering records that a worker reports a run of a task that should be over. The task gets no other run meanwhile.
func (l *leaderState) noteLingering(id batch.TaskID, worker string) {
	if l.lingers(id) {
		return
	}
	l.lingering[id] = worker
	l.waiting.touched[id.Job] = true
}

// lingers reports whether a worker reports a run of a task that should be over.
func (l *leaderState) lingers(id batch.TaskID) bool {
	_, ok := l.lingering[id]
	return ok
}

// dropLingering drops the runs that their workers no longer report, or whose leases have expired.
func (l *leaderState) dropLingering(now time.Duration) {
	for id, worker := range l.lingering {
		if w := l.workers[worker]; w != nil && !w.gone && now <= w.leaseEnd {
			if _, ok := w.running[id]; ok {
				continue
			}
		}
		delete(l.lingering, id)
		l.waiting.touched[id.Job] = true
	}
}
