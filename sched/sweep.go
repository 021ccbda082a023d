package sched

import (
	"context"
	"slices"
	"time"

	"turmericroute/batch"
	"turmericroute/clock"
)

const (
	// sweepInterval is the time between sweeps.
	sweepInterval = 200 * time.Millisecond
	// purgeBatch bounds the jobs that are purged in one change.
	purgeBatch = 200
)

// sweep ends the runs whose leases have expired, and purges old jobs, until the term ends.
func (s *Scheduler) sweep(l *leaderState) {
	for clock.Sleep(l.ctx, sweepInterval) {
		_ = s.endExpired(l) // proposed again by a later sweep
		s.reviewHealth(l)
		s.purgeFinished(l)
		s.updateTeamGauges(l)
	}
}

// endExpired commits the ends of runs that can no longer be active. It returns the error of the commit, for which it waits
// no longer than heartbeats do, since the leases of other workers expire meanwhile.
func (s *Scheduler) endExpired(l *leaderState) error {
	ends := s.expiredEnds(l)
	if len(ends) == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(l.ctx, commitWait)
	defer cancel()
	return s.commitEnds(ctx, l, "", ends)
}

// expiredEnds gives up the runs whose leases have expired on any clock, whose worker's incarnation is known to have ended, or
// that were never ordered and will not be. It returns their ends, and those of given-up runs that are to be proposed again.
// It also drops workers that have been silent for more than four times leaseExpiry, and records of gang runs that have ended.
func (s *Scheduler) expiredEnds(l *leaderState) []batch.End {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.cfg.BootClock()
	var ends []batch.End
	for id, w := range l.workers {
		s.endSuperseded(l, id, w, now)
	}
	l.ledger.View(func(b *batch.State) {
		ends = append(s.unrecordedEnds(l, b, now), s.notOrderedEnds(l, b, now)...)
		for id, runs := range b.Runs {
			w := l.workers[id]
			if !s.dead(l, w, now) {
				continue
			}
			lost := 0
			for t, run := range runs {
				if l.givenUp[RunRef{Task: t, Run: run}] != nil {
					continue
				}
				e := batch.End{Task: t, Run: run, Reason: batch.EndLost}
				if w != nil && w.running[t].Run == run {
					e.Checkpoint = w.running[t].Checkpoint
				}
				why := givenUpLeaseExpired
				if w != nil && w.gone {
					why = givenUpLaterLife
				}
				ends = append(ends, s.giveUp(l, id, e, why, now))
				lost++
			}
			if lost > 0 {
				s.logLost(l, id, w, lost, now)
			}
		}
	})
	l.ledger.View(l.forgetGangs)
	l.ledger.View(func(b *batch.State) { s.pruneLosses(l, b, now) })
	for id, w := range l.workers {
		if now-w.heardAt > 4*s.leaseExpiry() {
			l.forgetWorker(id, w)
		}
	}
	slices.SortFunc(ends, func(a, b batch.End) int { return compareTasks(a.Task, b.Task) })
	return ends
}

// logLost logs the loss of a worker with some runs; w is nil for a worker that has sent this leader no heartbeat.
func (s *Scheduler) logLost(l *leaderState, id string, w *worker, runs int, now time.Duration) {
	silent := now - l.since
	if w != nil {
		silent = now - w.heardAt
	}
	s.cfg.Logger.Log("event", "worker_lost", "worker", id, "runs", runs, "silent_ms", silent.Milliseconds(), "seen", w != nil, "term", l.term)
}

// dead reports whether no run on a worker can still be active; w is nil for a worker that has sent this leader no
// heartbeat.
func (s *Scheduler) dead(l *leaderState, w *worker, now time.Duration) bool {
	if w == nil {
		return now > l.since+s.leaseExpiry()
	}
	return w.gone || now > w.leaseEnd
}

// purgeFinished removes jobs that finished, and tombstones that were left, longer ago than the retention time.
func (s *Scheduler) purgeFinished(l *leaderState) {
	before := s.cfg.WallClock().Add(-s.cfg.Limits.FinishedRetention - retentionMargin).UnixMilli()
	var ids []string
	oldTombstones := false
	s.mu.Lock()
	l.ledger.View(func(b *batch.State) {
		for _, atMS := range b.Tombstones {
			oldTombstones = oldTombstones || atMS < before-tombstonePurgeDelay.Milliseconds()
		}
		for id := range l.startedJobs {
			if b.Open[id] == nil {
				s.logJobEnd(l, b.Jobs[id], id)
				delete(l.startedJobs, id)
			}
		}
		for id, j := range b.Jobs {
			if j.State.Final() && j.FinishedMS < before && len(ids) < purgeBatch {
				ids = append(ids, id)
			}
		}
	})
	s.mu.Unlock()
	if oldTombstones {
		if _, err := l.commit(context.WithoutCancel(l.ctx), batch.Change{PurgeTombstonesBeforeMS: before}); err != nil {
			s.cfg.Logger.Log("event", "tombstones_unforgotten", "err", err)
		}
	}
	if len(ids) == 0 {
		return
	}
	slices.Sort(ids)
	if _, err := l.commit(context.WithoutCancel(l.ctx), batch.Change{Purge: ids}); err != nil {
		s.cfg.Logger.Log("event", "jobs_unforgotten", "jobs", len(ids), "err", err)
	}
}

// logJobEnd logs the end of a job that has started in this term; j is nil if it is no longer known.
func (s *Scheduler) logJobEnd(l *leaderState, j *batch.Job, id string) {
	if j == nil {
		return
	}
	s.cfg.Logger.Log("event", "job_ended", "job", id, "queue", j.Queue, "state", j.State, "took_ms", j.FinishedMS-j.AcceptedMS, "reason", j.Reason, "term", l.term)
}

// tombstonePurgeDelay is how long old tombstones wait for others, so that many are deleted by one change.
const tombstonePurgeDelay = 5 * time.Second

// retentionMargin extends the retention of finished jobs, since the clocks of leaders differ.
const retentionMargin = 30 * time.Second
