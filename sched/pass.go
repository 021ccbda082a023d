package sched

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"turmericroute/batch"
)

const (
	// fullPassShare bounds the fraction of the leader's time that full passes take.
	fullPassShare = 0.1
	// maxPreemptSearches bounds the searches for runs to preempt in one pass; each looks at all runs of many workers.
	maxPreemptSearches = 8
)

// pass is one placement pass over a fixed state of the ledger. A quick pass tries the steps that are new and those
// that could use room that has come free. A full pass tries all waiting steps, and decides on preemption and
// reservations.
type pass struct {
	s       *Scheduler
	l       *leaderState
	state   *batch.State
	room    *room
	waiting *waitingSteps
	number  uint64
	full    bool
	now     time.Duration
	nowMS   int64
	starts  []batch.Start
	// reservedGangs counts the gangs that resources coming free were reserved for in this pass, and reservedGPUs the
	// accelerators that they need.
	reservedGangs, reservedGPUs int
	// budgets holds what the pass may still give to each team under its limit.
	budgets map[string]*quotaBudget
	// preemptSearches counts the searches for runs to preempt in this pass.
	preemptSearches int
}

// newPass returns a pass with the room and the waiting steps brought up to date. It must be called with s.mu held,
// within a view of the ledger.
func (s *Scheduler) newPass(l *leaderState, b *batch.State) *pass {
	l.passNumber++
	p := &pass{
		s: s, l: l, state: b, room: l.room, waiting: l.waiting, number: l.passNumber,
		now: s.cfg.BootClock(), nowMS: s.cfg.WallClock().UnixMilli(),
	}
	changes := l.ledger.TakeChanges()
	if changes.All {
		for id := range l.workers {
			p.room.markStale(id)
		}
		for id := range b.Open {
			p.waiting.touched[id] = true
		}
		for id := range p.waiting.byJob {
			p.waiting.touched[id] = true
		}
		for id := range p.waiting.share {
			p.waiting.touched[id] = true
		}
		clear(p.waiting.shapes)
		p.markAllRuns()
	}
	for id := range changes.Workers {
		l.markRuns(id)
	}
	for id := range changes.Jobs {
		p.waiting.touched[id] = true
	}
	p.refreshRoom()
	p.refreshUse()
	p.refreshWeights(changes.All)
	p.refreshWaiting()
	p.wakeQuotaWaiters()
	return p
}

// reservation holds the placement that is reserved for a step until the next full pass.
type reservation struct {
	step   *waitingStep
	need   batch.Resources
	chosen []allocation
}

// apply reserves the resources for the rest of the pass.
func (r reservation) apply() {
	for _, c := range r.chosen {
		for range c.count {
			c.reserved = c.reserved.Plus(r.need)
		}
	}
}

// run tries the steps that may find a place, in the order of their ranks.
func (p *pass) run() {
	start := time.Now()
	if !p.chooseScope() {
		return
	}
	if p.full {
		p.promote()
	}
	held := p.releaseReservations()
	for _, w := range p.rankedSteps(held) {
		r, isHeld := held[w.first]
		switch {
		case p.isCandidate(w):
			p.s.metrics.triedSteps.Inc()
			if !p.placeStep(w) && isHeld && !w.quota.active {
				p.hold(r)
			}
			w.fresh = false
		case isHeld && p.withinQuota(w):
			p.hold(r)
		}
	}
	clear(p.room.grown)
	p.waiting.anyFresh = false
	if p.full {
		p.l.fullPassAt = p.now + max(passInterval, time.Duration(float64(time.Since(start))/fullPassShare))
	}
}

// chooseScope decides whether the pass is full, and returns false if there is nothing to try. A full pass is due if
// room or steps have changed since the last one, or if time alone changes what may be done for a step.
func (p *pass) chooseScope() bool {
	l := p.l
	changed := p.waiting.anyFresh || len(p.room.grown) > 0
	l.changedSinceFull = l.changedSinceFull || changed
	retryDue := l.nextRetryAt != 0 && l.nextRetryAt <= p.now
	p.full = len(p.waiting.steps) > 0 && p.now >= l.fullPassAt && (l.changedSinceFull || retryDue)
	if p.full {
		l.changedSinceFull, l.nextRetryAt = false, 0
	}
	return p.full || changed
}

// retryAt makes a full pass due at a boot time.
func (p *pass) retryAt(at time.Duration) {
	if p.l.nextRetryAt == 0 || at < p.l.nextRetryAt {
		p.l.nextRetryAt = at
	}
}

// releaseReservations takes back all reservations and returns those that a quick pass keeps, by step.
func (p *pass) releaseReservations() map[batch.TaskID]reservation {
	held := make(map[batch.TaskID]reservation, len(p.l.reservations))
	for _, r := range p.l.reservations {
		for _, c := range r.chosen {
			c.reserved = batch.Resources{}
		}
		if w := p.waiting.steps[r.step.first]; w != nil && !p.full {
			held[w.first] = r
		}
	}
	p.l.reservations = nil
	return held
}

// hold reserves a placement until the next full pass.
func (p *pass) hold(r reservation) {
	p.l.reservations = append(p.l.reservations, r)
	r.apply()
	p.holdQuota(r)
}

// isCandidate reports whether a step may find a place in this pass.
func (p *pass) isCandidate(w *waitingStep) bool { return p.full || w.fresh || p.servable(w) }

// servable reports whether room that has come free could serve a step that was blocked.
func (p *pass) servable(w *waitingStep) bool {
	if len(p.room.grown) == 0 {
		return false
	}
	sh := w.shape.at(p.number)
	if sh.servableKnown {
		return sh.servable
	}
	sh.servableKnown = true
	r, ok := p.newRequest(w)
	if !ok {
		return false
	}
	r.count = 1
	for wv := range p.room.grown {
		if p.fitCount(&r, wv, wv.free) > 0 {
			sh.servable = true
			break
		}
	}
	return sh.servable
}

// rankedSteps returns the candidates and the steps with a reservation in the order of their ranks.
func (p *pass) rankedSteps(held map[batch.TaskID]reservation) []*waitingStep {
	return p.rankedWaiting(func(w *waitingStep) bool {
		_, isHeld := held[w.first]
		return isHeld || p.isCandidate(w)
	})
}

// rankedWaiting returns the waiting steps that are chosen, in the order of their ranks.
func (p *pass) rankedWaiting(chosen func(*waitingStep) bool) []*waitingStep {
	type ranked struct {
		*waitingStep
		rank rank
	}
	var list []ranked
	for _, w := range p.waiting.steps {
		if chosen(w) {
			list = append(list, ranked{w, p.rank(w.job)})
		}
	}
	slices.SortFunc(list, func(a, b ranked) int {
		return cmp.Or(compareRanks(a.rank, b.rank), compareTasks(a.first, b.first))
	})
	out := make([]*waitingStep, len(list))
	for i, r := range list {
		out[i] = r.waitingStep
	}
	return out
}

// prune drops the records of preempted runs and of jobs that have ended.
func (p *pass) prune() {
	maps.DeleteFunc(p.l.provenSince, func(id batch.TaskID, _ time.Duration) bool { return p.state.Open[id.Job] == nil })
	maps.DeleteFunc(p.l.preempting, func(ref RunRef, _ string) bool {
		j := p.jobOf(ref)
		return j == nil || !j.Task(ref.Task).Active || j.Task(ref.Task).Run != ref.Run
	})
}

func (p *pass) jobOf(ref RunRef) *batch.Job { return p.state.Jobs[ref.Task.Job] }

func (p *pass) priority(j *batch.Job) int { return priorityOf(p.state, j) }

// priorityOf returns the current priority of a job's queue, or the one at the job's acceptance if the queue was removed.
func priorityOf(b *batch.State, j *batch.Job) int {
	if q, ok := b.Catalog.Queue(j.Queue); ok {
		return q.Priority
	}
	return j.Priority
}

// service returns the current service of a job's queue, or the one at the job's acceptance if the queue was removed.
func (p *pass) service(j *batch.Job) string {
	if q, ok := p.state.Catalog.Queue(j.Queue); ok {
		return q.Service
	}
	return j.Service
}
