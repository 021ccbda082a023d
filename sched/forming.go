package sched

import (
	"maps"
	"time"

	"turmericroute/batch"
	"turmericroute/loss"
)

const (
	// formingMargin is what remains of Limits.GangTimeout when a gang that may have formed is given up, for the stop
	// orders to arrive.
	formingMargin = 300 * time.Millisecond
	// answerTimeout is how long a worker waits for the answer to a heartbeat.
	answerTimeout = time.Second
	// workShownAfter is how long after the last start order the members of a gang report resources in use, if all have
	// joined: the order arrives within answerTimeout, and the figure covers half a second.
	workShownAfter = answerTimeout + 500*time.Millisecond
)

// formingGang is a gang run of which members have been ordered to start, and which is not known to be at work.
type formingGang struct {
	// since is the boot time of the first start order, orderedAt that of the latest.
	since, orderedAt time.Duration
	// missing holds the members that have not reported their run, by index, and whether they have been ordered to start.
	missing map[int]bool
	// givenUp is set once a member has been withdrawn, so that the gang cannot form.
	givenUp bool
	// inherited is set once a member has reported that this leader has not ordered to start. It may have waited for the
	// others for any time.
	inherited bool
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
			f.missing[i] = false
		}
		l.forming[ref] = f
	}
	return f
}

// noteGangStart records a start order for a member of a gang run.
func (l *leaderState) noteGangStart(j *batch.Job, id batch.TaskID, run int, now time.Duration) {
	f := l.formingOf(j, id, run, now)
	f.missing[id.Index], f.orderedAt = true, now
}

// giveUpGang records that a member of a gang run will not start.
func (l *leaderState) giveUpGang(j *batch.Job, id batch.TaskID, run int, now time.Duration) {
	l.formingOf(j, id, run, now).givenUp = true
}

// noteMemberEnd records the reported end of a run. A gang that has not formed by then cannot do so any more, unless it was
// at work and is done; its members must know that before the end is committed, as each waits for the others.
func (l *leaderState) noteMemberEnd(j *batch.Job, e RunEnd, now time.Duration) {
	ref := gangRef(e.Task, e.Run)
	switch {
	case e.Reason == batch.EndDone:
		delete(l.forming, ref)
	case j.Spec.Steps[e.Task.Step].Gang && !l.formed[ref]:
		l.giveUpGang(j, e.Task, e.Run, now)
	}
}

// isForming reports whether the gang run of a task is not known to be at work.
func (l *leaderState) isForming(id batch.TaskID, run int) bool {
	return len(l.forming) > 0 && l.forming[gangRef(id, run)] != nil
}

// noteGangReport records that a member reports its run, first if it is its first report to this leader. Work that it has
// done means that all members have joined.
func (l *leaderState) noteGangReport(w *worker, r RunState, first bool, now time.Duration) {
	if first {
		l.noteInherited(r, now)
	}
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
		l.formed[ref] = true
		l.losses.Form(loss.Key(ref), now)
	}
}

// noteInherited records the first report of a member that this leader has not ordered to start.
func (l *leaderState) noteInherited(r RunState, now time.Duration) {
	ref := gangRef(r.Task, r.Run)
	if f := l.forming[ref]; f != nil && f.missing[r.Task.Index] || l.formed[ref] {
		return
	}
	l.ledger.View(func(b *batch.State) {
		j := b.Open[r.Task.Job]
		if j == nil {
			return
		}
		t := j.Task(r.Task)
		if t != nil && t.Active && t.Run == r.Run && j.Spec.Steps[r.Task.Step].Gang {
			l.formingOf(j, r.Task, r.Run, now).inherited = true
		}
	})
}

// forgetGangs drops the records of gang runs that have ended.
func (l *leaderState) forgetGangs(b *batch.State) {
	over := func(ref RunRef) bool {
		j := b.Open[ref.Task.Job]
		return j == nil || !j.Task(ref.Task).Active || j.Task(ref.Task).Run != ref.Run
	}
	maps.DeleteFunc(l.forming, func(ref RunRef, _ *formingGang) bool { return over(ref) })
	maps.DeleteFunc(l.formed, func(ref RunRef, _ bool) bool { return over(ref) })
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
// the others for Limits.GangTimeout at most, and the stop must reach it before. The given member is absent if its worker
// has just reported without it.
//
// A new leader does not know for how long a member has waited that an earlier one has ordered to start. It gives the gang
// run up as soon as it is certain that the gang is not at work.
func (s *Scheduler) hasNotFormed(l *leaderState, id batch.TaskID, run int, absent bool, now time.Duration) bool {
	if !l.isForming(id, run) || s.cfg.Limits.GangTimeout == 0 {
		return false
	}
	f := l.forming[gangRef(id, run)]
	switch {
	case f.givenUp:
		return true
	case f.inherited:
		// The members that have not reported may have joined under an earlier leader. Once their workers have had the time
		// to report, any work would have been reported as well.
		return now-l.since > workShownAfter && (absent || !f.mayHaveFormed(now))
	default:
		return now-f.since > s.formingLimit(l, absent || !f.mayHaveFormed(now))
	}
}

// mayHaveFormed reports whether all members may have started without having shown work yet.
func (f *formingGang) mayHaveFormed(now time.Duration) bool {
	for _, ordered := range f.missing {
		if !ordered {
			return false
		}
	}
	return now-f.orderedAt <= workShownAfter
}

// formingLimit returns how long a gang may take to form. At least half of the time is left to the members, however long
// the stop takes. The answer that carries the stop may be lost: its worker asks again after answerTimeout. A gang that
// certainly has not formed is given up so early that the second answer may be as late as workers accept. One that may have
// begun to work gets more time to report that.
func (s *Scheduler) formingLimit(l *leaderState, certain bool) time.Duration {
	timeout := s.cfg.Limits.GangTimeout
	stopTime := l.heartbeatInterval() + answerTimeout + formingMargin
	if certain {
		stopTime = l.heartbeatInterval() + 2*answerTimeout
	}
	return max(timeout/2, timeout-s.cfg.Limits.StopGrace-stopTime)
}
