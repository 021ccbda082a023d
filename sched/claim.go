package sched

import (
	"slices"
	"time"

	"turmericroute/batch"
)

// ignoredLogInterval is the least time between two log lines about heartbeats that are ignored.
const ignoredLogInterval = time.Second

// declared reports whether a heartbeat counts. One of a service that no catalog declares may come from another writer,
// and must not change what is known of others. Workers whose service is declared no more keep their runs.
func (l *leaderState) declared(w *worker, hb *Heartbeat) bool {
	if w != nil && w.hb.Incarnation == hb.Incarnation {
		return true
	}
	ok := false
	l.ledger.View(func(b *batch.State) {
		life, hasRuns := b.LatestLife(hb.Worker)
		ok = b.Catalog.Version == 0 || b.Catalog.Declares(hb.Service) || hasRuns && life == hb.Incarnation
	})
	return ok
}

// ofFormerLife reports whether a heartbeat is a late one of an earlier life of its worker. The ledger tells so too: a
// new leader may hear of the earlier life first, and must not end the runs of the later one.
func (l *leaderState) ofFormerLife(w *worker, hb *Heartbeat) (former bool) {
	if w != nil {
		return hb.Incarnation < w.hb.Incarnation
	}
	l.ledger.View(func(b *batch.State) {
		life, ok := b.LatestLife(hb.Worker)
		former = ok && hb.Incarnation < life
	})
	return former
}

// declares reports whether the catalog declares a service.
func (l *leaderState) declares(service string) (ok bool) {
	l.ledger.View(func(b *batch.State) { ok = b.Catalog.Declares(service) })
	return ok
}

// ignoreHeartbeat counts a heartbeat that changes nothing, and logs it unless another was logged just before.
func (s *Scheduler) ignoreHeartbeat(l *leaderState, hb *Heartbeat, now time.Duration, why string) {
	s.metrics.ignoredHeartbeats.Inc()
	if l.ignoredLoggedAt != 0 && now-l.ignoredLoggedAt < ignoredLogInterval {
		return
	}
	l.ignoredLoggedAt = now
	s.cfg.Logger.Log("event", "heartbeat_ignored", "worker", hb.Worker, "life", hb.Incarnation, "seq", hb.Seq, "service", hb.Service, "address", hb.Address, "why", why)
}

// noteMachine marks the earlier lives on the sender's machine as superseded, and returns the ID of a later one than the
// sender that is heard from, "" if there is none. A machine has one life at a time, but anyone may say that a later one is
// there: an earlier life that is heard from goes on with what it runs.
func (s *Scheduler) noteMachine(l *leaderState, hb *Heartbeat, now time.Duration) (supersededBy string) {
	for _, id := range l.byMachine[hb.Machine] {
		other := l.workers[id]
		switch {
		case id == hb.Worker || other.gone:
		case other.hb.Incarnation > hb.Incarnation && l.declares(other.hb.Service):
			if now-other.heardAt < l.silentAfter(other) {
				supersededBy = id
			}
		case hb.Incarnation > other.hb.Incarnation && l.declares(hb.Service):
			if other.supersededBy == "" {
				other.supersededBy = hb.Worker
				l.room.markStale(id)
				s.cfg.Logger.Log("event", "worker_superseded", "worker", id, "life", other.hb.Incarnation, "by", hb.Worker, "by_life", hb.Incarnation, "machine", hb.Machine, "silent_ms", (now - other.heardAt).Milliseconds())
			}
			s.endSuperseded(l, id, other, now)
		}
	}
	return supersededBy
}

// endSuperseded marks a worker as gone that is silent and whose machine has a later life.
func (s *Scheduler) endSuperseded(l *leaderState, id string, w *worker, now time.Duration) {
	if w.gone || w.supersededBy == "" || now-w.heardAt < l.silentAfter(w) {
		return
	}
	w.gone = true
	l.fleet.Leave(id)
	l.markRuns(id)
	s.cfg.Logger.Log("event", "worker_gone", "worker", id, "life", w.hb.Incarnation, "by", w.supersededBy, "machine", w.hb.Machine, "silent_ms", (now - w.heardAt).Milliseconds())
}

// noteAddress keeps new runs off earlier workers at the sender's address, and reports whether a later one that is heard
// from has taken that address. The leases of all of them go on, since each says only of itself whether it has ended.
func (l *leaderState) noteAddress(hb *Heartbeat, now time.Duration) (taken bool) {
	for _, id := range l.byAddress[hb.Address] {
		other := l.workers[id]
		switch {
		case id == hb.Worker || other.gone:
		case hb.Incarnation > other.hb.Incarnation:
			if other.addressTaken {
				continue
			}
			other.addressTaken = true
			l.room.markStale(id)
		case hb.Incarnation < other.hb.Incarnation && now-other.heardAt < l.silentAfter(other):
			taken = true
		}
	}
	return taken
}

// workerIndex holds worker IDs by a property that few workers share.
type workerIndex map[string][]string

func (x workerIndex) add(key, id string) { x[key] = append(x[key], id) }

func (x workerIndex) remove(key, id string) {
	list := slices.DeleteFunc(x[key], func(other string) bool { return other == id })
	if len(list) == 0 {
		delete(x, key)
		return
	}
	x[key] = list
}

// moveWorker brings the indexes up to date with the worker's next heartbeat.
func (l *leaderState) moveWorker(w *worker, hb *Heartbeat) {
	if w.hb.Address == hb.Address && w.hb.Machine == hb.Machine && w.hb.Worker == hb.Worker {
		return
	}
	l.dropFromIndexes(w)
	l.byAddress.add(hb.Address, hb.Worker)
	if hb.Machine != "" {
		l.byMachine.add(hb.Machine, hb.Worker)
	}
}

func (l *leaderState) dropFromIndexes(w *worker) {
	if w.hb.Worker == "" {
		return // the worker has not been recorded yet
	}
	l.byAddress.remove(w.hb.Address, w.hb.Worker)
	l.byMachine.remove(w.hb.Machine, w.hb.Worker)
}

// forgetWorker drops the record of a worker.
func (l *leaderState) forgetWorker(id string, w *worker) {
	l.dropFromIndexes(w)
	l.fleet.Leave(id)
	delete(l.workers, id)
	l.markRuns(id)
}
