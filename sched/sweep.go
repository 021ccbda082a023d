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
	// farewellDelay is how long after a worker's farewell its last heartbeat is waited for; heartbeats can be
	// seconds late.
	farewellDelay = 2500 * time.Millisecond
	// forgetBatch bounds the jobs forgotten in one change.
	forgetBatch = 200
)

// sweep ends the runs of workers whose leases have expired, and forgets old jobs.
func (s *Scheduler) sweep(o *office) {
	for clock.Sleep(o.ctx, sweepInterval) {
		for _, ends := range [][]batch.End{s.brokenOff(o), s.expired(o)} {
			if len(ends) > 0 {
				_, err := o.change(o.ctx, batch.Change{Ends: ends})
				s.logEnds(o, "", ends, err)
			}
		}
		s.forget(o)
	}
}

// brokenOff returns the ends of gang members on silent workers whose gang has
// broken: others report that a member has ended, and with one member all end.
// Where it is not known which one ended first, a silent one may have failed;
// then the last attempt is not given out before its lease has expired.
func (s *Scheduler) brokenOff(o *office) []batch.End {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.cfg.Boot()
	var ends []batch.End
	o.ledger.View(func(b *batch.Book) {
		for ref := range o.broken {
			j := b.Jobs[ref.Task.Job]
			if j == nil {
				delete(o.broken, ref)
				continue
			}
			if j.State.Final() {
				delete(o.broken, ref)
				continue
			}
			known := o.breakers[ref]
			if !known && j.LastAttempt(ref.Task) {
				continue
			}
			active := 0
			for i, t := range j.Rounds[ref.Task.Round][ref.Task.Step].Tasks {
				if !t.Active || t.Run != ref.Run {
					continue
				}
				active++
				if w := o.workers[t.Worker]; w != nil && now-w.heard >= o.silentAfter() {
					id := ref.Task
					id.Index = i
					ends = append(ends, batch.End{Task: id, Run: t.Run, How: batch.EndLost, Checkpoint: w.running[id].Checkpoint, Unsure: !known})
				}
			}
			if active == 0 {
				delete(o.broken, ref)
			}
		}
	})
	return ends
}

// expired returns the ends of runs whose leases have expired on any clock, or whose worker's life is
// known to have ended. They name the runs of this moment: a worker that reports again may get new ones.
func (s *Scheduler) expired(o *office) []batch.End {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.cfg.Boot()
	var ends []batch.End
	o.ledger.View(func(b *batch.Book) {
		for id, runs := range b.Runs {
			w := o.workers[id]
			if !s.dead(o, w, now) {
				continue
			}
			silent := now - o.since
			if w != nil {
				silent = now - w.heard
			}
			s.cfg.Logger.Log("event", "worker_lost", "worker", id, "runs", len(runs), "silent_ms", silent.Milliseconds(), "seen", w != nil, "term", o.term)
			for t, run := range runs {
				e := batch.End{Task: t, Run: run, How: batch.EndLost}
				if w != nil && w.running[t].Run == run {
					e.Checkpoint = w.running[t].Checkpoint
				}
				ends = append(ends, e)
			}
		}
	})
	for id, w := range o.workers {
		if now-w.heard > 4*s.expiry() {
			delete(o.workers, id)
		}
	}
	slices.SortFunc(ends, func(a, b batch.End) int { return compareTasks(a.Task, b.Task) })
	return ends
}

// dead reports whether nothing of what a worker was given can be alive; nil is a worker that this leader never heard.
func (s *Scheduler) dead(o *office, w *worker, now time.Duration) bool {
	switch {
	case w == nil:
		return now > o.since+s.expiry()
	case w.left != 0:
		return now-w.left >= farewellDelay
	default:
		return w.gone || now > w.leased
	}
}

// forget drops jobs that ended long ago.
func (s *Scheduler) forget(o *office) {
	before := s.cfg.Wall().Add(-s.cfg.Limits.KeepFinished - keepMargin).UnixMilli()
	var ids []string
	s.mu.Lock()
	o.ledger.View(func(b *batch.Book) {
		for id := range o.begun {
			if b.Open[id] == nil {
				delete(o.begun, id)
			}
		}
		for id, j := range b.Jobs {
			if j.State.Final() && j.FinishedMS < before && len(ids) < forgetBatch {
				ids = append(ids, id)
			}
		}
	})
	s.mu.Unlock()
	if len(ids) == 0 {
		return
	}
	slices.Sort(ids)
	if _, err := o.change(context.WithoutCancel(o.ctx), batch.Change{Forget: ids}); err != nil {
		s.cfg.Logger.Log("event", "jobs_unforgotten", "jobs", len(ids), "err", err)
	}
}

// keepMargin is kept beyond the promised time, since leaders' clocks differ.
const keepMargin = 30 * time.Second
