package place

import (
	"slices"
	"time"
)

// reservation reserves a placement for a job that has waited long. Others may use it only if they
// are expected to end before the job can start.
type reservation struct {
	job       *job
	workers   []*worker
	freeAt    time.Time // when the placement is expected to be free
	createdAt time.Time
}

// reservationSearchInterval is the minimum time between searches for an earlier placement for a
// reservation.
const reservationSearchInterval = 2 * time.Minute

// assignReservations reserves placements for the starving jobs that have waited longest.
func (p *Policy) assignReservations() {
	slices.SortStableFunc(p.starved, func(a, b *job) int { return a.waitingSince.Compare(b.waitingSince) })
	for _, j := range p.starved {
		if len(p.reservations) >= p.cfg.MaxReservations {
			break
		}
		if j.queued && j.claim == nil && j.reservation == nil {
			p.reserve(j)
		}
	}
	clear(p.starved)
	p.starved = p.starved[:0]
}

func (p *Policy) reserve(j *job) {
	placement, at := p.earliestPlacement(j)
	if placement == nil {
		return
	}
	p.addReservation(&reservation{job: j, workers: placement, freeAt: at, createdAt: p.now})
}

// addReservation puts a reservation in force.
func (p *Policy) addReservation(r *reservation) {
	r.job.reservation = r
	for _, w := range r.workers {
		w.reservation = r
		w.backfillRound = 0
	}
	p.reservations = append(p.reservations, r)
}

func (p *Policy) dropReservation(j *job) {
	r := j.reservation
	if r == nil {
		return
	}
	j.reservation = nil
	for _, w := range r.workers {
		if w.reservation == r {
			w.reservation = nil
		}
	}
	p.reservations = slices.DeleteFunc(p.reservations, func(o *reservation) bool { return o == r })
}

// refreshReservations drops the reservations whose job or placement is gone and updates the
// expected times of the others.
func (p *Policy) refreshReservations() {
	for _, r := range slices.Clone(p.reservations) {
		if !r.job.queued || r.job.claim != nil || slices.ContainsFunc(r.workers, func(w *worker) bool { return !p.usable(w) }) {
			p.dropReservation(r.job)
			continue
		}
		r.freeAt = p.now
		for _, w := range r.workers {
			if t := p.freeAt(w, r.job.perTask.times(r.tasksOn(w))); t.After(r.freeAt) {
				r.freeAt = t
			}
		}
		if p.now.Sub(r.createdAt) >= reservationSearchInterval {
			p.improveReservation(r)
		}
	}
}

// improveReservation replaces a reservation if another placement is expected to be free much
// earlier.
func (p *Policy) improveReservation(r *reservation) {
	j, old := r.job, *r
	p.dropReservation(j)
	p.reserve(j)
	if j.reservation != nil && j.reservation.freeAt.Sub(p.now) < old.freeAt.Sub(p.now)*3/4 {
		return
	}
	p.dropReservation(j)
	old.createdAt = p.now
	p.addReservation(&old)
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

// gangEnd is when a gang on a worker is expected to end, and the amount that it frees there.
type gangEnd struct {
	at     time.Time
	amount amount
}

// endsOn returns the expected ends of the gangs on a worker, earliest first.
func (p *Policy) endsOn(w *worker) []gangEnd {
	ends := make([]gangEnd, 0, len(w.gangs))
	for _, g := range w.gangs {
		ends = append(ends, gangEnd{p.expectedEnd(g), g.perTask.times(g.tasksOn(w))})
	}
	slices.SortStableFunc(ends, func(a, b gangEnd) int { return a.at.Compare(b.at) })
	return ends
}

// freeAt returns when a worker is expected to have room for the needed amount.
func (p *Policy) freeAt(w *worker, need amount) time.Time {
	free := w.free()
	if need.fits(free) {
		return p.now
	}
	at := p.now
	for _, e := range p.endsOn(w) {
		free, at = free.plus(e.amount), e.at
		if need.fits(free) {
			return at
		}
	}
	return at.Add(24 * time.Hour)
}

// expectedEnd returns when a placed gang is expected to end; it is computed once a round.
func (p *Policy) expectedEnd(j *job) time.Time {
	if j.expectedEndRound != p.round {
		j.expectedEndRound = p.round
		if j.expectedEnd = p.now.Add(p.estimateRemaining(j)); j.state == jobStopping {
			j.expectedEnd = p.now.Add(p.cfg.ReclaimTimeout)
		}
	}
	return j.expectedEnd
}

// earliestPlacement returns the placement that is expected to be free first, and when; it leaves
// out workers reserved for others.
func (p *Policy) earliestPlacement(j *job) ([]*worker, time.Time) {
	p.candidates = p.candidates[:0]
	tasks := j.spec.Shape.Tasks
	for _, r := range p.sortedRacks {
		if !j.allowed(r.id.dc) {
			continue
		}
		for _, w := range r.workers {
			if !p.usable(w) || w.reservation != nil && w.reservation.job != j {
				continue
			}
			if n := j.perTask.countIn(w.cap.minus(w.claimedRoom()), tasks); n > 0 {
				at := p.freeAt(w, j.perTask.times(n))
				p.candidates = append(p.candidates, candidate{worker: w, tasks: n, rank: int(at.Sub(p.now).Seconds())})
			}
		}
	}
	placement := p.chooseWorkers(tasks, j.spec.Shape.SameRack, true)
	at := p.now
	for _, w := range placement {
		n := 0
		for _, o := range placement {
			if o == w {
				n++
			}
		}
		if t := p.freeAt(w, j.perTask.times(n)); t.After(at) {
			at = t
		}
	}
	return placement, at
}

// claimedRoom returns the amount held for claims.
func (w *worker) claimedRoom() amount { return w.claimed }

// backfillRoom returns what a job may use of a reserved worker without delaying the reservation.
func (p *Policy) backfillRoom(w *worker, j *job) amount {
	r := w.reservation
	if !p.now.Add(p.estimateRunTime(j)).After(r.freeAt) {
		return w.cap
	}
	if w.backfillRound == p.round {
		return w.backfillRoom
	}
	room := w.cap.minus(w.claimed).minus(r.job.perTask.times(r.tasksOn(w)))
	for _, g := range w.gangs {
		if p.expectedEnd(g).After(r.freeAt) {
			room = room.minus(g.perTask.times(g.tasksOn(w)))
		}
	}
	w.backfillRoom, w.backfillRound = room, p.round
	return room
}
