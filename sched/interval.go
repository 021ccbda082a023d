package sched

import (
	"time"

	"turmericroute/batch"
	"turmericroute/clock"
)

const (
	// minHeartbeatInterval is the shortest heartbeat interval requested of workers. Orders travel only in the
	// answers to heartbeats, so members of a gang may wait this long for each other.
	minHeartbeatInterval = 100 * time.Millisecond
	// maxHeartbeatInterval is the longest interval that the rate may lead to: a lease spans three.
	maxHeartbeatInterval = leaseDuration / 3
	// maxHeartbeatRate and minHeartbeatRate bound the heartbeats per second of all workers together; each costs the
	// leader about 0.1 ms.
	maxHeartbeatRate = 5000
	minHeartbeatRate = 1000
	// initialHeartbeatRate is the rate at the start of a term, when all workers report at once.
	initialHeartbeatRate = 2500
	// The rate falls by rateDecrease when the leader is late by more than maxLag, at most once per rateInterval, and
	// rises by rateIncrease in each rateInterval in which it is not.
	rateInterval = 100 * time.Millisecond
	maxLag       = 40 * time.Millisecond
	rateDecrease = 0.7
	rateIncrease = 50
	// busyInterval is the interval requested of workers that have no room for a task, unless there are few workers.
	// They report ends at once; the interval delays the orders to stop a run.
	busyInterval = time.Second
	// minSilentAfter and silentAfterHeartbeats define when a worker counts as silent and gets no new runs:
	// after silentAfterHeartbeats intervals without a heartbeat, but not before minSilentAfter. The latter is
	// three heartbeats and a margin where there are few workers.
	minSilentAfter        = 900 * time.Millisecond
	silentAfterHeartbeats = 3
)

// adaptRate adapts the rate of heartbeats to what the leader can take, until the term ends: additive increase,
// multiplicative decrease, by how late the process runs after a wait. Heartbeats are most of its load.
func (s *Scheduler) adaptRate(l *leaderState) {
	before := s.cfg.BootClock()
	for clock.Sleep(l.ctx, rateInterval) {
		now := s.cfg.BootClock()
		s.mu.Lock()
		l.heartbeatRate = nextRate(l.heartbeatRate, now-before-rateInterval)
		s.mu.Unlock()
		before = s.cfg.BootClock()
	}
}

// nextRate returns the rate of heartbeats after an interval in which the process was late by lag.
func nextRate(rate int, lag time.Duration) int {
	if lag > maxLag {
		return max(minHeartbeatRate, int(float64(rate)*rateDecrease))
	}
	return min(maxHeartbeatRate, rate+rateIncrease)
}

// heartbeatInterval returns the heartbeat interval that the rate allows for all workers alike.
func (l *leaderState) heartbeatInterval() time.Duration {
	return min(maxHeartbeatInterval, max(minHeartbeatInterval, time.Duration(len(l.workers))*time.Second/time.Duration(l.heartbeatRate)))
}

// longestInterval returns the longest heartbeat interval that is requested of any worker. Few workers all get the
// shortest.
func (l *leaderState) longestInterval() time.Duration {
	if time.Duration(len(l.workers))*time.Second/minHeartbeatInterval <= minHeartbeatRate {
		return minHeartbeatInterval
	}
	return max(l.heartbeatInterval(), busyInterval)
}

// intervalFor returns the heartbeat interval requested of a worker. Workers that have room, for which there may be
// orders, get what those without room leave of the rate. Those with members of a gang that forms get no longer ones than
// all would alike, since a stop must reach the members in time.
func (l *leaderState) intervalFor(id string, forming bool) time.Duration {
	all, busy := l.heartbeatInterval(), l.longestInterval()
	if wv := l.room.views[id]; wv != nil && !wv.hasRoom && len(l.pendingOn[id]) == 0 {
		if forming {
			return all
		}
		return busy
	}
	withRoom := time.Duration(l.room.withRoom)
	withoutRoom := time.Duration(len(l.workers)) - withRoom
	left := time.Duration(l.heartbeatRate) - withoutRoom*time.Second/busy // heartbeats per second
	return max(minHeartbeatInterval, min(all, withRoom*time.Second/max(1, left)))
}

// silentAfter returns how long after its last heartbeat a worker counts as silent.
func (l *leaderState) silentAfter(w *worker) time.Duration {
	return max(minSilentAfter, silentAfterHeartbeats*max(w.interval, l.heartbeatInterval()))
}

// noteRoom updates whether a worker has room for the smallest task that is known.
func (rm *room) noteRoom(wv *workerView, hasRoom bool) {
	if hasRoom == wv.hasRoom {
		return
	}
	wv.hasRoom = hasRoom
	if hasRoom {
		rm.withRoom++
	} else {
		rm.withRoom--
	}
}

// noteNeed lowers the resources that the smallest task needs.
func (rm *room) noteNeed(need batch.Resources) {
	least := need
	if rm.needKnown {
		least = batch.Resources{CPUMilli: min(need.CPUMilli, rm.leastNeed.CPUMilli), MemoryMB: min(need.MemoryMB, rm.leastNeed.MemoryMB), GPUs: min(need.GPUs, rm.leastNeed.GPUs)}
	}
	if rm.needKnown && least == rm.leastNeed {
		return
	}
	rm.leastNeed, rm.needKnown = least, true
	for _, wv := range rm.list {
		rm.noteRoom(wv, wv.free.Fits(least))
	}
}
