package sched

import (
	"time"

	"turmericroute/batch"
)

// formingMargin is what remains of Limits.GangTimeout when a gang that has not formed is given up, for the stop orders
// to arrive.
const formingMargin = 300 * time.Millisecond

// formingGang is a gang run of which members have been ordered to start, and which is not known to be at work.
type formingGang struct {
	// since is the boot time of the first start order.
	since time.Duration
	// missing holds the indexes of the members that have not reported their run.
	missing map[int]bool
	// givenUp is set once a member has been withdrawn, so that the gang cannot form.
	givenUp bool
}

// gangRef returns the key of a gang run: that of its first member.
func gangRef(id batch.TaskID, run int) RunRef {
	id.Index = 0
	return RunRef{Task: id, Run: run}
}

// formingOf returns the record of a gang run, a new one if there is none.
func (l *leaderState) formingOf(j *batch.Job, id batch.TaskID, run int, now time.Duration) *formingGang {
	ref := gangRef(id, run)
	f := l.forming[ref]
	if f == nil {
		f = &formingGang{since: now, missing: map[int]bool{}}
		for i := range j.Rounds[id.Round][id.Step].Tasks {
			f.missing[i] = true
		}
		l.forming[ref] = f
	}
	return f
}

// giveUpGang records that a member of a gang run will not start.
func (l *leaderState) giveUpGang(j *batch.Job, id batch.TaskID, run int, now time.Duration) {
	l.formingOf(j, id, run, now).givenUp = true
}

// isForming reports whether the gang run of a task is not known to be at work.
func (l *leaderState) isForming(id batch.TaskID, run int) bool {
	return len(l.forming) > 0 && l.forming[gangRef(id, run)] != nil
}

// noteGangReport records that a member reports its run. Work that it has done means that all members have joined.
func (l *leaderState) noteGangReport(w *worker, r RunState) {
	if len(l.forming) == 0 {
		return
	}
	ref := gangRef(r.Task, r.Run)
	f := l.forming[ref]
	if f == nil {
		return
	}
	delete(f.missing, r.Task.Index)
	if len(f.missing) == 0 || l.showsWork(w, r) {
		delete(l.forming, ref)
	}
}

// showsWork reports whether a member of a gang has done any work in its run. One that waits for the others reports the
// progress and the checkpoint from which it resumes, and uses no resources.
func (l *leaderState) showsWork(w *worker, r RunState) bool {
	first, known := w.firstReports[RunRef{Task: r.Task, Run: r.Run}]
	if r.Gauge > 0 || known && r.Percent > first.percent {
		return true
	}
	from := ""
	l.ledger.View(func(b *batch.State) {
		if j := b.Jobs[r.Task.Job]; j != nil && j.Task(r.Task) != nil {
			from = l.resumeCheckpoint(j, r.Task)
		}
	})
	return r.Checkpoint > from || from == "" && r.Percent > 0
}

// hasNotFormed reports whether a gang run must be given up because members are still missing: each member waits for
// the others for Limits.GangTimeout at most, and the stop must reach it before.
func (s *Scheduler) hasNotFormed(l *leaderState, id batch.TaskID, run int, now time.Duration) bool {
	if len(l.forming) == 0 || s.cfg.Limits.GangTimeout == 0 {
		return false
	}
	f := l.forming[gangRef(id, run)]
	timeout := s.cfg.Limits.GangTimeout
	// At least half of the time is left to the members, however long the stop takes.
	limit := max(timeout/2, timeout-s.cfg.Limits.StopGrace-l.longestInterval()-formingMargin)
	return f != nil && (f.givenUp || now-f.since > limit)
}
