package place

import (
	"slices"
	"time"
)

// reservation keeps a place for a job that has waited long: others may use it
// only as long as they are expected to end before the job can start.
type reservation struct {
	job     *job
	workers []*worker
	at      time.Time // when the place is expected to be free
	made    time.Time
}

// reserveAgain is how often a reservation looks for an earlier place.
const reserveAgain = 2 * time.Minute

// giveReservations reserves places for the jobs that have waited longest beyond the bound.
func (p *Policy) giveReservations() {
	slices.SortStableFunc(p.starved, func(a, b *job) int { return a.waitFrom.Compare(b.waitFrom) })
	for _, j := range p.starved {
		if len(p.shadows) >= p.cfg.Reservations {
			break
		}
		if j.queued && j.claim == nil && j.shadow == nil {
			p.reserve(j)
		}
	}
	clear(p.starved)
	p.starved = p.starved[:0]
}

func (p *Policy) reserve(j *job) {
	place, at := p.earliestPlace(j)
	if place == nil {
		return
	}
	p.keep(&reservation{job: j, workers: place, at: at, made: p.now})
}

// keep puts a reservation in force.
func (p *Policy) keep(r *reservation) {
	r.job.shadow = r
	for _, w := range r.workers {
		w.shadow = r
		w.besideRound = 0
	}
	p.shadows = append(p.shadows, r)
}

func (p *Policy) dropReservation(j *job) {
	r := j.shadow
	if r == nil {
		return
	}
	j.shadow = nil
	for _, w := range r.workers {
		if w.shadow == r {
			w.shadow = nil
		}
	}
	p.shadows = slices.DeleteFunc(p.shadows, func(o *reservation) bool { return o == r })
}

// renewReservations drops those whose job or place is gone and expects the others anew.
func (p *Policy) renewReservations() {
	for _, r := range slices.Clone(p.shadows) {
		if !r.job.queued || r.job.claim != nil || slices.ContainsFunc(r.workers, func(w *worker) bool { return !p.usable(w) }) {
			p.dropReservation(r.job)
			continue
		}
		r.at = p.now
		for _, w := range r.workers {
			if t := p.freeAt(w, r.job.per.times(r.tasksOn(w))); t.After(r.at) {
				r.at = t
			}
		}
		if p.now.Sub(r.made) >= reserveAgain {
			p.reserveAgain(r)
		}
	}
}

// reserveAgain looks for a place that is free much earlier.
func (p *Policy) reserveAgain(r *reservation) {
	j, old := r.job, *r
	p.dropReservation(j)
	p.reserve(j)
	if j.shadow != nil && j.shadow.at.Sub(p.now) < old.at.Sub(p.now)*3/4 {
		return
	}
	p.dropReservation(j)
	old.made = p.now
	p.keep(&old)
}

func (r *reservation) tasksOn(w *worker) int {
	n := 0
	for _, o := range r.workers {
		if o == w {
			n++
		}
	}
	return n
}

// gangEnd is when a gang on a worker is expected to leave, and what it gives back there.
type gangEnd struct {
	at time.Time
	a  amount
}

func (p *Policy) endsOn(w *worker) []gangEnd {
	ends := make([]gangEnd, 0, len(w.gangs))
	for _, g := range w.gangs {
		ends = append(ends, gangEnd{p.endOf(g), g.per.times(g.tasksOn(w))})
	}
	slices.SortStableFunc(ends, func(a, b gangEnd) int { return a.at.Compare(b.at) })
	return ends
}

// freeAt returns when a worker is expected to have room.
func (p *Policy) freeAt(w *worker, need amount) time.Time {
	free := w.free()
	if need.fits(free) {
		return p.now
	}
	at := p.now
	for _, e := range p.endsOn(w) {
		free, at = free.plus(e.a), e.at
		if need.fits(free) {
			return at
		}
	}
	return at.Add(24 * time.Hour)
}

// endOf returns when a placed gang is expected to end, computed once for each decision.
func (p *Policy) endOf(j *job) time.Time {
	if j.endRound != p.round {
		j.endRound = p.round
		if j.end = p.now.Add(p.remaining(j)); j.state == jobStopping {
			j.end = p.now.Add(p.cfg.ReclaimDeadline)
		}
	}
	return j.end
}

// earliestPlace returns the place whose workers are expected to be free first, leaving out reserved ones.
func (p *Policy) earliestPlace(j *job) ([]*worker, time.Time) {
	p.cands = p.cands[:0]
	tasks := j.spec.Shape.Tasks
	for _, r := range p.order {
		if !j.allowed(r.id.dc) {
			continue
		}
		for _, w := range r.workers {
			if !p.usable(w) || w.shadow != nil && w.shadow.job != j {
				continue
			}
			if n := j.per.into(w.cap.minus(w.pinnedHere()), tasks); n > 0 {
				at := p.freeAt(w, j.per.times(n))
				p.cands = append(p.cands, cand{w: w, n: n, rank: int(at.Sub(p.now).Seconds())})
			}
		}
	}
	place := p.choose(tasks, j.spec.Shape.SameRack, true)
	at := p.now
	for _, w := range place {
		n := 0
		for _, o := range place {
			if o == w {
				n++
			}
		}
		if t := p.freeAt(w, j.per.times(n)); t.After(at) {
			at = t
		}
	}
	return place, at
}

// pinnedHere returns what jobs whose place is being freed will take.
func (w *worker) pinnedHere() amount { return w.held }

// besideShadow returns what a job may take of a reserved worker without delaying the reservation.
func (p *Policy) besideShadow(w *worker, j *job) amount {
	r := w.shadow
	if !p.now.Add(p.estimate(j)).After(r.at) {
		return w.cap
	}
	if w.besideRound == p.round {
		return w.beside
	}
	room := w.cap.minus(w.held).minus(r.job.per.times(r.tasksOn(w)))
	for _, g := range w.gangs {
		if p.endOf(g).After(r.at) {
			room = room.minus(g.per.times(g.tasksOn(w)))
		}
	}
	w.beside, w.besideRound = room, p.round
	return room
}
