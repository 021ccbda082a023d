package sched

import (
	"time"

	"turmericroute/batch"
)

// bounded reports whether only some tasks of a step may be unavailable at once.
func bounded(step *batch.Step) bool { return step.LongRunning && step.MaxUnavailable >= 0 }

// mayStop reports whether a task of a bounded step may be stopped now, given how many others will be as well.
func (s *Scheduler) mayStop(l *leaderState, j *batch.Job, id batch.TaskID, others int) bool {
	return others+s.unavailableTasks(l, j, id) < j.Spec.Steps[id.Step].MaxUnavailable
}

// unavailableTasks returns how many other tasks of a step are not known to be at work, or will soon not be.
func (s *Scheduler) unavailableTasks(l *leaderState, j *batch.Job, id batch.TaskID) int {
	n := 0
	now := s.cfg.BootClock()
	for i, t := range j.Rounds[id.Round][id.Step].Tasks {
		other := id
		other.Index = i
		if other != id && !s.atWork(l, other, t, now) {
			n++
		}
	}
	return n
}

// atWork reports whether a task is at work and is not about to be stopped.
func (s *Scheduler) atWork(l *leaderState, id batch.TaskID, t batch.Task, now time.Duration) bool {
	w := l.workers[t.Worker]
	if !t.Active || w == nil || w.gone || w.hb.Incarnation != t.Incarnation || now-w.heardAt >= l.silentAfter(w) {
		return false
	}
	r := w.running[id]
	return r.Run == t.Run && r.Percent >= 100 && l.preempting[RunRef{Task: id, Run: t.Run}] == "" && !s.underMaintenance(l, w.hb.Machine, now)
}

// underMaintenance reports whether the maintenance of a machine was ordered so recently that its tasks may be gone.
func (s *Scheduler) underMaintenance(l *leaderState, machine string, now time.Duration) bool {
	at, ok := l.maintainedAt[machine]
	if !ok {
		return false
	}
	if now-at >= s.cfg.Limits.MaintenanceTime+rejoinMargin {
		delete(l.maintainedAt, machine)
		return false
	}
	return true
}

// stopBudget bounds the tasks of bounded steps that one preemption may stop.
type stopBudget struct {
	p *pass
	// left holds how many more tasks of each step may be stopped, by its first task.
	left map[batch.TaskID]int
}

// take reports whether a task may be stopped as well, and counts it if so. The members of a gang end together, so a
// bounded gang is left alone.
func (b *stopBudget) take(j *batch.Job, id batch.TaskID) bool {
	step := &j.Spec.Steps[id.Step]
	if !bounded(step) {
		return true
	}
	t := *j.Task(id)
	if step.Gang || !b.p.s.atWork(b.p.l, id, t, b.p.now) {
		return false
	}
	first := id
	first.Index = 0
	left, ok := b.left[first]
	if !ok {
		left = step.MaxUnavailable - b.p.s.unavailableTasks(b.p.l, j, id)
	}
	b.left[first] = left - 1
	return left > 0
}
