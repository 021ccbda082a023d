package place

import (
	"cmp"
	"slices"
	"time"
)

const (
	// firstService is the run time up to which a borrower is in the first level;
	// one that has run longer may have to make way, as it will probably run much longer.
	firstService = 20 * time.Minute
	// promoteAfter is the wait after which a borrower is in the first level again.
	promoteAfter = 45 * time.Minute
	// overtakeAfter is the wait after which a first-level job may stop borrowers.
	overtakeAfter = 45 * time.Minute
	// overtakeRetry is the time between two such searches for one job.
	overtakeRetry = 15 * time.Second
	// maxOvertakes bounds the searches in one decision.
	maxOvertakes = 4
	// minSlice is the least time that a borrower runs before it may be overtaken.
	minSlice = 5 * time.Minute
	// overtakeLoss bounds the work lost as a share of the expected work of the job that gains.
	overtakeLoss = 0.25
)

// served returns the time that a job has run since it was last promoted.
func (p *Policy) servedOf(j *job) time.Duration {
	if j.placed() {
		return j.served + p.now.Sub(j.placedAt)
	}
	return j.served
}

// level returns 0 for jobs that have run little or waited long, 1 for others.
func (p *Policy) level(j *job) int {
	if p.servedOf(j) < firstService || !j.placed() && p.now.Sub(j.waitFrom) >= promoteAfter {
		return 0
	}
	return 1
}

// overtake stops second-level borrowers for a first-level job beyond its
// guarantee, if they are of its own team or of one that uses more for its weight.
func (p *Policy) overtake(ds []Decision, j *job) []Decision {
	if p.level(j) > 0 || p.now.Sub(j.waitFrom) < overtakeAfter || p.now.Before(j.overtakeRetry) ||
		p.overtakes >= maxOvertakes || len(p.claims) >= maxMoving {
		return ds
	}
	p.overtakes++
	j.overtakeRetry = p.now.Add(overtakeRetry)
	best := plan{cost: overtakeLoss * p.estimate(j).Seconds() * float64(j.spec.Shape.Tasks) * j.per.share(p.total)}
	for _, r := range p.order {
		if !j.allowed(r.id.dc) || !p.mayStart(r.dc) || !j.per.fits(p.most(r)) {
			continue
		}
		if pl, ok := p.overtakePlan(j, r); ok && pl.cost < best.cost {
			best = pl
		}
	}
	if best.pos == nil || p.protectAny(best.victims, nil) {
		return ds
	}
	p.dropReservation(j)
	p.hold(j, best.pos, best.victims)
	for _, v := range best.victims {
		ds = p.preempt(ds, v, j.id(), "overtaken by a gang that has run less")
	}
	j.why = "its place is being freed"
	return ds
}

// most returns the most of each resource that one worker of the rack has.
func (p *Policy) most(r *rack) amount {
	var a amount
	for _, w := range r.workers {
		if p.usable(w) {
			a = a.max(w.cap)
		}
	}
	return a
}

// overtakePlan returns the cheapest way found to free a place in one rack.
func (p *Policy) overtakePlan(j *job, r *rack) (plan, bool) {
	s := &scope{
		p: p, slots: j.spec.Shape.Tasks, use: j.per, room: make([]int, len(p.list)), freed: make([]amount, len(p.list)),
		eligible: func(v *job) bool { return p.mayOvertake(j, v) },
	}
	for _, w := range r.workers {
		if !p.usable(w) || w.shadow != nil && w.shadow.job != j {
			continue
		}
		if n := j.per.into(w.cap, s.slots); n > 0 {
			s.room[w.index] = n
			s.workers = append(s.workers, w)
		}
	}
	victims, ok := s.choose(nil)
	if !ok {
		return plan{}, false
	}
	p.cands = p.cands[:0]
	for _, w := range s.workers {
		if n := s.slotsOn(w); n > 0 {
			p.cands = append(p.cands, cand{w: w, n: n, rank: rankOf(j.per, w.free().plus(s.freed[w.index]), w)})
		}
	}
	pl := plan{pos: p.choose(j.spec.Shape.Tasks, true, false), victims: victims}
	for _, v := range victims {
		pl.cost += p.lossOf(v)
	}
	return pl, pl.pos != nil
}

// mayOvertake reports whether j may stop the borrower v.
func (p *Policy) mayOvertake(j, v *job) bool {
	if !p.borrows(v) || v.claim != nil || v.spec.Urgent && !j.spec.Urgent || p.now.Sub(v.placedAt) < minSlice {
		return false
	}
	if p.level(v) == 0 || v.spec.Shape.TotalGPUs() > 2*j.spec.Shape.TotalGPUs() {
		return false
	}
	return v.team == j.team || p.ratio(v.team) > p.ratio(j.team)
}

// ratio returns a team's use beyond its guarantees by its weight.
func (p *Policy) ratio(t *team) float64 { return t.beyond.share(p.total) / t.weight() }

// byLevel orders waiting jobs: urgent ones, then the first level, then the oldest.
func (p *Policy) byLevel(a, b *job) int {
	return cmp.Or(
		cmp.Compare(btoi(b.spec.Urgent), btoi(a.spec.Urgent)),
		cmp.Compare(p.sizeClass(a), p.sizeClass(b)),
		a.submitted.Compare(b.submitted), cmp.Compare(a.id(), b.id()))
}

// sizeClass returns the power of two of a job's expected work, 0 when it has waited long.
func (p *Policy) sizeClass(j *job) int {
	if p.now.Sub(j.waitFrom) >= promoteAfter {
		return 0
	}
	n := 0
	for w := p.estimate(j).Seconds() * float64(j.spec.Shape.Tasks) * max(1, float64(j.per.gpus)); w > 60; w /= 2 {
		n++
	}
	return n
}

// sortQueue orders a queue again when it has changed or levels may have.
func (p *Policy) sortQueue(q *queue) {
	if q.sorted && p.now.Sub(q.sortedAt) < sortEvery {
		return
	}
	q.sorted, q.sortedAt = true, p.now
	slices.SortStableFunc(q.jobs, p.byLevel)
}

// sortEvery is how often queues are sorted without a change.
const sortEvery = 30 * time.Second
