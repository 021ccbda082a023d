package sched

import (
	"context"
	"slices"
	"time"

	"turmericroute/batch"
	"turmericroute/clock"
)

const (
	// sweepInterval is how often silent workers are looked for.
	sweepInterval = 200 * time.Millisecond
	// finalHeartbeatWait is how long after a worker's farewell its last heartbeat is waited for; heartbeats can be
	// seconds late.
	finalHeartbeatWait = 2500 * time.Millisecond
	// purgeBatch bounds the jobs forgotten in one change.
	purgeBatch = 200
)

// sweep ends the runs of workers whose leases have expired, and forgets old jobs.
func (s *Scheduler) sweep(o *leadership) {
	for clock.Sleep(o.ctx, sweepInterval) {
		for _, ends := range [][]batch.End{s.brokenGangEnds(o), s.expiredEnds(o)} {
			if len(ends) > 0 {
				_, err := o.commit(o.ctx, batch.Change{Ends: ends})
				s.reportEnds(o, "", ends, err)
			}
		}
		s.purgeFinished(o)
	}
}

// brokenGangEnds returns the ends of gang members on silent workers whose gang has
// broken: others report that a member has ended, and with one member all end.
// Where it is not known which one ended first, a silent one may have failed;
// then the last attempt is not given out before its lease has expired.
func (s *Scheduler) brokenGangEnds(o *leadership) []batch.End {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.cfg.BootClock()
	var ends []batch.End
	o.ledger.View(func(b *batch.State) {
		for ref := range o.brokenGangs {
			j := b.Jobs[ref.Task.Job]
			if j == nil {
				delete(o.brokenGangs, ref)
				continue
			}
			if j.State.Final() {
				delete(o.brokenGangs, ref)
				continue
			}
			known := o.causeKnown[ref]
			if !known && j.NextFailureEndsJob(ref.Task) {
				continue
			}
			active := 0
			for i, t := range j.Rounds[ref.Task.Round][ref.Task.Step].Tasks {
				if !t.Active || t.Run != ref.Run {
					continue
				}
				active++
				if w := o.workers[t.Worker]; w != nil && now-w.heardAt >= o.silentAfter() {
					id := ref.Task
					id.Index = i
					ends = append(ends, batch.End{Task: id, Run: t.Run, Reason: batch.EndLost, Checkpoint: w.running[id].Checkpoint, MayHaveFailed: !known})
				}
			}
			if active == 0 {
				delete(o.brokenGangs, ref)
			}
		}
	})
	return ends
}

// expiredEnds returns the ends of runs whose leases have expiredEnds on any clock, or whose worker's life is
// known to have ended. They name the runs of this moment: a worker that reports again may get new ones.
func (s *Scheduler) expiredEnds(o *leadership) []batch.End {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.cfg.BootClock()
	var ends []batch.End
	o.ledger.View(func(b *batch.State) {
		for id, runs := range b.Runs {
			w := o.workers[id]
			if !s.dead(o, w, now) {
				continue
			}
			silent := now - o.since
			if w != nil {
				silent = now - w.heardAt
			}
			s.cfg.Logger.Log("event", "worker_lost", "worker", id, "runs", len(runs), "silent_ms", silent.Milliseconds(), "seen", w != nil, "term", o.term)
			for t, run := range runs {
				e := batch.End{Task: t, Run: run, Reason: batch.EndLost}
				if w != nil && w.running[t].Run == run {
					e.Checkpoint = w.running[t].Checkpoint
				}
				ends = append(ends, e)
			}
		}
	})
	for id, w := range o.workers {
		if now-w.heardAt > 4*s.leaseExpiry() {
			delete(o.workers, id)
		}
	}
	slices.SortFunc(ends, func(a, b batch.End) int { return compareTasks(a.Task, b.Task) })
	return ends
}

// dead reports whether nothing of what a worker was given can be alive; nil is a worker that this leader never heard.
func (s *Scheduler) dead(o *leadership, w *worker, now time.Duration) bool {
	switch {
	case w == nil:
		return now > o.since+s.leaseExpiry()
	case w.leftAt != 0:
		return now-w.leftAt >= finalHeartbeatWait
	default:
		return w.gone || now > w.leaseEnd
	}
}

// purgeFinished drops jobs that ended long ago.
func (s *Scheduler) purgeFinished(o *leadership) {
	before := s.cfg.WallClock().Add(-s.cfg.Limits.FinishedRetention - retentionMargin).UnixMilli()
	var ids []string
	s.mu.Lock()
	o.ledger.View(func(b *batch.State) {
		for id := range o.startedJobs {
			if b.Open[id] == nil {
				delete(o.startedJobs, id)
			}
		}
		for id, j := range b.Jobs {
			if j.State.Final() && j.FinishedMS < before && len(ids) < purgeBatch {
				ids = append(ids, id)
			}
		}
	})
	s.mu.Unlock()
	if len(ids) == 0 {
		return
	}
	slices.Sort(ids)
	if _, err := o.commit(context.WithoutCancel(o.ctx), batch.Change{Purge: ids}); err != nil {
		s.cfg.Logger.Log("event", "jobs_unforgotten", "jobs", len(ids), "err", err)
	}
}

// retentionMargin is kept beyond the promised time, since leaders' clocks differ.
const retentionMargin = 30 * time.Second
