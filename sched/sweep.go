package sched

import (
	"context"
	"maps"
	"slices"
	"time"

	"turmericroute/batch"
	"turmericroute/clock"
)

const (
	// sweepInterval is how often silent workers are looked for.
	sweepInterval = 200 * time.Millisecond
	// farewellDelay is how long after a worker's farewell its last heartbeat may arrive; workers repeat one
	// that is not answered within a second.
	farewellDelay = 1200 * time.Millisecond
	// forgetBatch bounds the jobs forgotten in one change.
	forgetBatch = 200
)

// sweep ends the runs of workers whose leases have expired, and forgets old jobs.
func (s *Scheduler) sweep(o *office) {
	for clock.Sleep(o.ctx, sweepInterval) {
		for _, id := range s.expired(o) {
			if err := s.lose(o.ctx, o, id); err != nil {
				s.cfg.Logger.Log("event", "worker_loss_unrecorded", "worker", id, "err", err)
			}
		}
		s.forget(o)
	}
}

// expired returns the workers with runs whose leases have expired on any clock,
// or whose life is known to have ended.
func (s *Scheduler) expired(o *office) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.cfg.Boot()
	var holders []string
	o.ledger.View(func(b *batch.Book) { holders = slices.Sorted(maps.Keys(b.Runs)) })
	var out []string
	for _, id := range holders {
		w := o.workers[id]
		leased := o.since + s.expiry()
		if w != nil {
			leased = w.leased
		}
		switch {
		case w != nil && w.left != 0 && now-w.left < farewellDelay:
		case w != nil && w.gone:
			out = append(out, id)
		case now > leased:
			out = append(out, id)
			heard := time.Duration(-1)
			if w != nil {
				heard = now - w.heard
			}
			s.cfg.Logger.Log("event", "worker_lost", "worker", id, "silent_ms", heard.Milliseconds(), "term", o.term)
		}
	}
	for id, w := range o.workers {
		if now-w.heard > 4*s.expiry() {
			delete(o.workers, id)
		}
	}
	return out
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
