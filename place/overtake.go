package place

import (
	"cmp"
	"slices"
	"time"
)

const (
	// firstLevelService is the run time up to which a borrower is in the first level;
	// one that has run longer may have to make way, as it will probably run much longer.
	firstLevelService = 20 * time.Minute
	// promoteAfter is the wait after which a borrower is in the first level again.
	promoteAfter = 45 * time.Minute
	// overtakeAfter is the wait after which a first-level job may stop borrowers.
	overtakeAfter = 45 * time.Minute
	// overtakeInterval is the time between two such searches for one job.
	overtakeInterval = 15 * time.Second
	// maxOvertakeSearches bounds the searches in one decision.
	maxOvertakeSearches = 4
	// minBorrowerRunTime is the least time that a borrower runs before it may be overtaken.
	minBorrowerRunTime = 5 * time.Minute
	// maxOvertakeLossShare bounds the work lost as a share of the expected work of the job that gains.
	maxOvertakeLossShare = 0.25
)

// served returns the time that a job has run since it was last promoted.
func (p *Policy) attainedService(j *job) time.Duration {
	if j.placed() {
		return j.attainedService + p.now.Sub(j.placedAt)
	}
	return j.attainedService
}

// level returns 0 for jobs that have run little or waited long, 1 for others.
func (p *Policy) level(j *job) int {
	if p.attainedService(j) < firstLevelService || !j.placed() && p.now.Sub(j.waitingSince) >= promoteAfter {
		return 0
	}
	return 1
}

// overtake stops second-level borrowers for a first-level job beyond its
// guarantee, if they are of its own team or of one that uses more for its weight.
func (p *Policy) overtake(ds []Decision, j *job) []Decision {
	if p.level(j) > 0 || p.now.Sub(j.waitingSince) < overtakeAfter || p.now.Before(j.nextOvertakeAt) ||
		p.overtakeSearches >= maxOvertakeSearches || len(p.claims) >= maxMovingGangs {
		return ds
	}
	p.overtakeSearches++
	j.nextOvertakeAt = p.now.Add(overtakeInterval)
	best := preemptionPlan{cost: maxOvertakeLossShare * p.estimateRunTime(j).Seconds() * float64(j.spec.Shape.Tasks) * j.perTask.dominantShare(p.totalCapacity)}
	for _, r := range p.sortedRacks {
		if !j.allowed(r.id.dc) || !p.mayStart(r.dc) || !j.perTask.fits(p.maxCapacity(r)) {
			continue
		}
		if pl, ok := p.overtakePlan(j, r); ok && pl.cost < best.cost {
			best = pl
		}
	}
	if best.placement == nil || p.chargeAnyToUnusedCells(best.victims, nil) {
		return ds
	}
	p.dropReservation(j)
	p.addClaim(j, best.placement, best.victims)
	for _, v := range best.victims {
		ds = p.preempt(ds, v, j.id(), "overtaken by a gang that has run less")
	}
	j.reason = "its place is being freed"
	return ds
}

// maxCapacity returns the maxCapacity of each resource that one worker of the rack has.
func (p *Policy) maxCapacity(r *rack) amount {
	var a amount
	for _, w := range r.workers {
		if p.usable(w) {
			a = a.max(w.cap)
		}
	}
	return a
}

// overtakePlan returns the cheapest way found to free a place in one rack.
func (p *Policy) overtakePlan(j *job, r *rack) (preemptionPlan, bool) {
	s := &victimSearch{
		p: p, neededSlots: j.spec.Shape.Tasks, perSlot: j.perTask, maxSlots: make([]int, len(p.allWorkers)), freed: make([]amount, len(p.allWorkers)),
		eligible: func(v *job) bool { return p.mayOvertake(j, v) },
	}
	for _, w := range r.workers {
		if !p.usable(w) || w.reservation != nil && w.reservation.job != j {
			continue
		}
		if n := j.perTask.countIn(w.cap, s.neededSlots); n > 0 {
			s.maxSlots[w.index] = n
			s.workers = append(s.workers, w)
		}
	}
	victims, ok := s.chooseVictims(nil)
	if !ok {
		return preemptionPlan{}, false
	}
	p.candidates = p.candidates[:0]
	for _, w := range s.workers {
		if n := s.slotsOn(w); n > 0 {
			p.candidates = append(p.candidates, candidate{worker: w, tasks: n, rank: rankOf(j.perTask, w.free().plus(s.freed[w.index]), w)})
		}
	}
	pl := preemptionPlan{placement: p.chooseWorkers(j.spec.Shape.Tasks, true, false), victims: victims}
	for _, v := range victims {
		pl.cost += p.preemptionCost(v)
	}
	return pl, pl.placement != nil
}

// mayOvertake reports whether j may stop the borrower v.
func (p *Policy) mayOvertake(j, v *job) bool {
	if !p.preemptible(v) || v.claim != nil || v.spec.Urgent && !j.spec.Urgent || p.now.Sub(v.placedAt) < minBorrowerRunTime {
		return false
	}
	if p.level(v) == 0 || v.spec.Shape.TotalGPUs() > 2*j.spec.Shape.TotalGPUs() {
		return false
	}
	return v.team == j.team || p.weightedBorrowing(v.team) > p.weightedBorrowing(j.team)
}

// weightedBorrowing returns a team's use beyond its guarantees by its weight.
func (p *Policy) weightedBorrowing(t *team) float64 {
	return t.borrowed.dominantShare(p.totalCapacity) / t.weight()
}

// compareWaiting orders waiting jobs: urgent ones, then the first level, then the oldest.
func (p *Policy) compareWaiting(a, b *job) int {
	return cmp.Or(
		cmp.Compare(btoi(b.spec.Urgent), btoi(a.spec.Urgent)),
		cmp.Compare(p.workClass(a), p.workClass(b)),
		a.submittedAt.Compare(b.submittedAt), cmp.Compare(a.id(), b.id()))
}

// workClass returns the power of two of a job's expected work, 0 when it has waited long.
func (p *Policy) workClass(j *job) int {
	if p.now.Sub(j.waitingSince) >= promoteAfter {
		return 0
	}
	n := 0
	for work := p.estimateRunTime(j).Seconds() * float64(j.spec.Shape.Tasks) * max(1, float64(j.perTask.gpus)); work > 60; work /= 2 {
		n++
	}
	return n
}

// sortQueue orders a queue again when it has changed or levels may have.
func (p *Policy) sortQueue(q *queue) {
	if q.sorted && p.now.Sub(q.sortedAt) < queueSortInterval {
		return
	}
	q.sorted, q.sortedAt = true, p.now
	slices.SortStableFunc(q.jobs, p.compareWaiting)
}

// queueSortInterval is how often queues are sorted without a change.
const queueSortInterval = 30 * time.Second
