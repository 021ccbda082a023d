package sched

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"turmericroute/batch"
	"turmericroute/state"
)

// Exported names of internal functions for the tests.
var (
	EncodeCall = encodeCall
	DecodeCall = decodeCall
)

// Begin starts a term without the goroutines of Lead.
func (s *Scheduler) Begin(ctx context.Context, term uint64, r state.Replica) { s.begin(ctx, term, r) }

// End ends the session that Begin has begun.
func (s *Scheduler) End() {
	s.leader.end()
	s.leader.ledger.DropChanges()
	s.finish(s.leader)
}

// Spoil makes the memory of the session unusable, as after a panic.
func (s *Scheduler) Spoil() { s.leader.spoiled = true }

// GivenUp returns how many runs are given up and not known to be in the ledger as ended.
func (s *Scheduler) GivenUp() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.leader.givenUp)
}

// Panic ends the session as a call that panics does.
func (s *Scheduler) Panic() {
	s.mu.Lock()
	l := s.leader
	s.mu.Unlock()
	s.recordPanic(l, Call{}, "unexpected")
}

// Commit is what becomes of the starts of a pass.
type Commit int

// The starts are committed before the pass ends, after the scheduler has given up waiting for them, or never.
const (
	InTime Commit = iota
	Late
	Never
)

// Pass runs a placement pass.
func (s *Scheduler) Pass(c Commit) ([]batch.Start, error) {
	starts := s.plan(s.leader)
	commit := func(when Commit) (err error) {
		if len(starts) > 0 && c == when {
			_, err = s.leader.commit(context.Background(), batch.Change{Starts: starts})
		}
		return err
	}
	err := commit(InTime)
	s.mu.Lock()
	s.leader.dropPending(starts)
	s.mu.Unlock()
	if c == Late && err == nil {
		err = s.CheckKept() // the pass that comes between
	}
	return starts, errors.Join(err, commit(Late))
}

// Sweep ends runs whose leases have expired, and drops workers that have been silent for long.
func (s *Scheduler) Sweep() error {
	return s.endExpired(s.leader)
}

// ReviewHealth does what is due for the workers' health by time alone.
func (s *Scheduler) ReviewHealth() { s.reviewHealth(s.leader) }

// Visited returns how many workers have been refreshed and how many steps tried so far.
func (s *Scheduler) Visited() (workers, steps uint64) {
	return s.metrics.refreshedWorkers.Get(), s.metrics.triedSteps.Get()
}

// CheckKept compares the kept room and waiting steps with those that a fresh look at all workers and jobs gives.
func (s *Scheduler) CheckKept() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	var err error
	s.leader.ledger.View(func(b *batch.State) {
		kept := s.newPass(s.leader, b)
		fresh := *kept
		fresh.room, fresh.waiting = newRoom(), newWaitingSteps()
		checkAt := map[*worker]time.Duration{}
		for id, w := range s.leader.workers {
			checkAt[w] = w.checkAt
			fresh.refreshView(id)
		}
		for w, at := range checkAt {
			w.checkAt = at
		}
		for id := range b.Open {
			fresh.refreshJob(id)
		}
		err = diffRooms(kept.room, fresh.room)
		if err == nil {
			err = diffWaiting(kept.waiting, fresh.waiting)
		}
		if err == nil {
			err = diffUse(s.leader, fresh)
		}
	})
	return err
}

func diffRooms(kept, fresh *room) error {
	if kept.freeGPUs != fresh.freeGPUs || kept.totalGPUs != fresh.totalGPUs || len(kept.list) != len(fresh.list) || len(kept.racks) != len(fresh.racks) || len(kept.probation) != len(fresh.probation) {
		return fmt.Errorf("kept %d of %d accelerators on %d workers in %d racks, fresh %d of %d on %d in %d",
			kept.freeGPUs, kept.totalGPUs, len(kept.list), len(kept.racks), fresh.freeGPUs, fresh.totalGPUs, len(fresh.list), len(fresh.racks))
	}
	for i, a := range kept.list {
		b := fresh.list[i]
		if a.id != b.id || a.worker != b.worker || a.free != b.free || a.standing != b.standing || a.servingTasks != b.servingTasks || a.bestEffortTasks != b.bestEffortTasks || a.rack.name != b.rack.name {
			return fmt.Errorf("worker %s: kept %+v %+v, fresh %s %+v %+v", a.id, a.free, a.standing, b.id, b.free, b.standing)
		}
	}
	for name, a := range kept.racks {
		if b := fresh.racks[name]; b == nil || a.freeGPUs != b.freeGPUs || len(a.list) != len(b.list) {
			return fmt.Errorf("rack %s: kept %+v, fresh %+v", name, a, b)
		}
	}
	return nil
}

func diffWaiting(kept, fresh *waitingSteps) error {
	if !maps.EqualFunc(kept.steps, fresh.steps, func(a, b *waitingStep) bool { return a.job == b.job && a.first == b.first }) {
		return fmt.Errorf("waiting steps: kept %v, fresh %v", slices.Collect(maps.Keys(kept.steps)), slices.Collect(maps.Keys(fresh.steps)))
	}
	if !maps.Equal(kept.demand, fresh.demand) || !maps.Equal(kept.scheduled, fresh.scheduled) {
		return fmt.Errorf("demand: kept %v, fresh %v; scheduled: kept %v, fresh %v", kept.demand, fresh.demand, kept.scheduled, fresh.scheduled)
	}
	return nil
}

// diffUse compares the kept use of all teams with a fresh count of the runs on all workers.
func diffUse(l *leaderState, fresh pass) error {
	if !l.use.inForce {
		return nil
	}
	kept, unrecorded := l.use, maps.Clone(l.use.unrecorded)
	fresh.markAllRuns()
	use := newQuotaUse()
	for id := range l.use.stale {
		for _, c := range fresh.countRuns(id, nil, nil) {
			use.add(c.team, c.need)
		}
	}
	clear(l.use.stale)
	l.use.unrecorded = unrecorded
	if !maps.Equal(kept.total, use.total) {
		return fmt.Errorf("use of teams: kept %v, fresh %v", kept.total, use.total)
	}
	return nil
}

// Use returns what a team may have running.
func (s *Scheduler) Use(team string) batch.Resources {
	s.mu.Lock()
	defer s.mu.Unlock()
	return batch.Resources(s.leader.use.total[team])
}

// Panics returns how many calls have panicked.
func (s *Scheduler) Panics() uint64 { return s.metrics.panics.Get() }

// NextRate returns the rate of heartbeats that follows one, given how late the leader was.
var NextRate = nextRate

// Preempting reports whether a run on a worker is to be preempted.
func (s *Scheduler) Preempting(worker string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for ref := range s.leader.preempting {
		if _, ok := s.leader.workers[worker].running[ref.Task]; ok {
			return true
		}
	}
	return false
}

// Shapes returns how many shapes of steps are kept.
func (s *Scheduler) Shapes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.leader.waiting.shapes)
}

// EndedWork returns the estimated work of a service that has ended lately in a unit of time, in accelerators.
func (s *Scheduler) EndedWork(service string) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t := s.leader.overload.throughput[service]; t != nil {
		return t.Rate(s.cfg.BootClock())
	}
	return 0
}
