package soak

import (
	"fmt"
	"hash/fnv"
	"time"

	"turmericroute/batch"
)

// run is one run of a task on a worker.
type run struct {
	number      int
	step        batch.Step
	gang        *gang // nil for single tasks
	startedAt   time.Time
	workTime    time.Duration // total work time of the task
	resumedWork time.Duration // work time that the checkpoint of an earlier run covers
	fails       bool          // fails instead of ending as done
	// stopAt is when the run ends because of a stop order; zero when there was none.
	stopAt     time.Time
	checkpoint string // latest checkpoint
}

// gang connects the runs of the members of a gang under one run number, on any workers.
type gang struct {
	members    map[int]bool // by index
	size       int
	createdAt  time.Time
	completeAt time.Time        // when all members had started; zero before
	workers    map[*worker]bool // workers on which a member started
	// broken and done exclude each other: the first member that ends decides.
	broken, done bool
}

// due returns when a run ends unless its gang changes before.
func (s *soak) due(r *run) time.Time {
	end := r.startedAt.Add(r.workTime - r.resumedWork)
	if r.gang != nil {
		s.gangMu.Lock()
		defer s.gangMu.Unlock()
		if r.gang.broken {
			return time.Now().Add(idleInterval) // ended as soon as the worker hears of it
		}
		if r.gang.completeAt.IsZero() {
			end = r.gang.createdAt.Add(s.bounds.gangTimeout)
		} else {
			end = r.gang.completeAt.Add(r.workTime - r.resumedWork)
		}
	}
	if !r.stopAt.IsZero() {
		end = earlier(end, r.stopAt)
	}
	return end
}

// notifyWorkers wakes the workers that run members of the gang. The caller holds gangMu.
func (g *gang) notifyWorkers() {
	for w := range g.workers {
		notify(w.wake)
	}
}

// worked returns how long a run has worked; the members of a gang work once all have
// started. The caller holds gangMu.
func (r *run) worked(now time.Time) time.Duration {
	switch {
	case r.gang == nil:
		return now.Sub(r.startedAt)
	case r.gang.completeAt.IsZero():
		return 0
	default:
		return now.Sub(r.gang.completeAt)
	}
}

// saveCheckpoint saves the checkpoint that a run has reached at the time now.
func (s *soak) saveCheckpoint(id batch.TaskID, r *run, now time.Time) {
	if !r.step.Checkpoints {
		return
	}
	s.gangMu.Lock()
	worked := r.worked(now)
	s.gangMu.Unlock()
	interval := s.bounds.checkpointInterval
	if r.resumedWork+worked >= r.workTime {
		return // the run is about to end as done or failed
	}
	if c := formatCheckpoint(r.resumedWork + worked.Truncate(interval)); c != r.checkpoint && worked >= interval {
		r.checkpoint = c
		s.ledger.checkpointSaved(id, c)
	}
}

// percent returns the estimated progress of a run at the time now, from 0 to 99.
func (s *soak) percent(r *run, now time.Time) int {
	s.gangMu.Lock()
	defer s.gangMu.Unlock()
	return int(min(99, 100*(r.resumedWork+r.worked(now))/r.workTime))
}

// stepOf returns the step and the need of a task, and false when no caller submitted
// such a task.
func (s *soak) stepOf(id batch.TaskID) (batch.Step, batch.Resources, bool) {
	s.ledger.mu.Lock()
	defer s.ledger.mu.Unlock()
	step, _, ok := s.ledger.step(id)
	return step, step.Need, ok
}

// joinGang adds a member on a worker to its gang and returns the gang. One that starts
// after the gang has broken is not told so: it waits for the others in vain.
func (s *soak) joinGang(w *worker, id batch.TaskID, run, size int) *gang {
	s.gangMu.Lock()
	defer s.gangMu.Unlock()
	key := fmt.Sprintf("%s.%d run %d", id.Job, id.Step, run)
	g := s.gangs[key]
	switch late := g != nil && g.broken; {
	case late:
		return newGang(size)
	case g == nil:
		g = newGang(size)
		s.gangs[key] = g
	}
	g.members[id.Index], g.workers[w] = true, true
	if len(g.members) == g.size && g.completeAt.IsZero() {
		g.completeAt = time.Now()
		g.notifyWorkers()
	}
	return g
}

// newGang returns a gang of which no member has started.
func newGang(size int) *gang {
	return &gang{members: map[int]bool{}, workers: map[*worker]bool{}, size: size, createdAt: time.Now()}
}

// breakGang removes a run that did not end as done from its gang, if it has one, and
// marks the gang as broken unless it is done.
func (s *soak) breakGang(r *run, id batch.TaskID) {
	if r.gang == nil {
		return
	}
	s.gangMu.Lock()
	defer s.gangMu.Unlock()
	delete(r.gang.members, id.Index)
	r.gang.broken = !r.gang.done
	r.gang.notifyWorkers()
}

// hash returns a hash of its printed arguments, which makes the properties of tasks
// and runs the same on all workers.
func hash(parts ...any) uint64 {
	h := fnv.New64a()
	fmt.Fprint(h, parts...)
	return h.Sum64()
}

// taskDuration returns the work time of a task. All members of a gang have the same.
func (b bounds) taskDuration(id batch.TaskID, step batch.Step) time.Duration {
	if step.Gang {
		id.Index = 0
	}
	return b.minWork + time.Duration(hash("work", id)%uint64(b.workRange.Milliseconds()))*time.Millisecond
}

const (
	failingJobInterval = 40 // one job in this many fails in every run
	failingRunInterval = 25 // one run in this many fails in the other jobs
	// commonGang is the size from which fewer members fail, so that large gangs can succeed.
	commonGang = 6
)

// runFails reports whether a run fails at the end of its work.
func runFails(id batch.TaskID, run int, step batch.Step) bool {
	interval := uint64(failingRunInterval)
	if step.Gang {
		interval *= uint64(max(1, step.Count/commonGang))
	}
	return hash("hopeless", id.Job)%failingJobInterval == 0 || hash("fails", id, run)%interval == 0
}

// formatCheckpoint returns the checkpoint of a task after a work time.
func formatCheckpoint(worked time.Duration) string { return fmt.Sprintf("%08x", worked.Milliseconds()) }

// parseCheckpoint returns the work time that a checkpoint covers, 0 for an empty one.
func parseCheckpoint(checkpoint string) time.Duration {
	var ms int64
	if _, err := fmt.Sscanf(checkpoint, "%x", &ms); err != nil {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}
