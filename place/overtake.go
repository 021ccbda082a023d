package place

import (
	"cmp"
	"slices"
	"time"
)

const (
	// firstLevelService is the run time up to which a borrower is in the first level. One that has
	// run longer may be overtaken, as it will probably run much longer.
	firstLevelService = 20 * time.Minute
	// promoteAfter is the wait after which a borrower is in the first level again.
	promoteAfter = 45 * time.Minute
	// overtakeAfter is the wait after which a first-level job may preempt borrowers.
	overtakeAfter = 45 * time.Minute
	// overtakeInterval is the time between two such searches for one job.
	overtakeInterval = 15 * time.Second
	// maxOvertakeSearches bounds these searches in one decision round.
	maxOvertakeSearches = 4
	// minBorrowerRunTime is the minimum time that a borrower runs before it may be overtaken.
	minBorrowerRunTime = 5 * time.Minute
	// maxOvertakeLossShare bounds the work lost, as a share of the expected work of the job that
	// gains.
	maxOvertakeLossShare = 0.25
)

// attainedService returns the time that a job has run since it was last promoted.
func (p *Policy) attainedService(j *job) time.Duration {
	if j.placed() {
		return j.attainedService + p.now.Sub(j.placedAt)
	}
	return j.attainedService
}

// level returns 0 for jobs that have run little or waited long, and 1 for others.
func (p *Policy) level(j *job) int {
	if p.attainedService(j) < firstLevelService || !j.placed() && p.now.Sub(j.waitingSince) >= promoteAfter {
		return 0
	}
	return 1
}

// overtake preempts second-level borrowers for a first-level job beyond its guarantee. The victims
// belong to its own team, or to one that borrows more for its weight.
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
	j.reason = "gangs in its placement are being preempted"
	return ds
}

// maxCapacity returns, for each resource, the largest amount that one worker of the rack has.
func (p *Policy) maxCapacity(r *rack) amount {
	var a amount
	for _, w := range r.workers {
		if p.usable(w) {
			a = a.max(w.cap)
		}
	}
	return a
}

// overtakePlan returns the cheapest plan found that frees a placement in one rack.
func (p *Policy) overtakePlan(j *job, r *rack) (preemptionPlan, bool) {
	s := &victimSearch{
		p: p, neededSlots: j.spec.Shape.Tasks, perSlot: j.perTask,
		maxSlots: make([]int, len(p.allWorkers)), freed: make([]amount, len(p.allWorkers)),
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

// mayOvertake reports whether j may preempt the borrower v.
func (p *Policy) mayOvertake(j, v *job) bool {
	if !p.preemptible(v) || v.claim != nil || v.spec.Urgent && !j.spec.Urgent || p.now.Sub(v.placedAt) < minBorrowerRunTime {
		return false
	}
	if p.level(v) == 0 || v.spec.Shape.TotalGPUs() > 2*j.spec.Shape.TotalGPUs() {
		return false
	}
	return v.team == j.team || p.weightedBorrowing(v.team) > p.weightedBorrowing(j.team)
}

// weightedBorrowing returns a team's dominant share of use beyond its guarantees, divided by its
// weight.
func (p *Policy) weightedBorrowing(t *team) float64 {
	return t.borrowed.dominantShare(p.totalCapacity) / t.weight()
}

// compareWaiting orders waiting jobs: urgent ones first, then by work class, then the oldest first.
func (p *Policy) compareWaiting(a, b *job) int {
	return cmp.Or(
		cmp.Compare(btoi(b.spec.Urgent), btoi(a.spec.Urgent)),
		cmp.Compare(p.workClass(a), p.workClass(b)),
		a.submittedAt.Compare(b.submittedAt), cmp.Compare(a.id(), b.id()))
}

// workClass returns the binary logarithm, rounded up, of a job's expected work in task or
// accelerator minutes. It is 0 for a job that has waited long.
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

// sortQueue sorts a queue if it has changed or work classes may have.
func (p *Policy) sortQueue(q *queue) {
	if q.sorted && p.now.Sub(q.sortedAt) < queueSortInterval {
		return
	}
	q.sorted, q.sortedAt = true, p.now
	slices.SortStableFunc(q.jobs, p.compareWaiting)
}

// queueSortInterval is the time after which an unchanged queue is sorted again.
const queueSortInterval = 30 * time.Second
