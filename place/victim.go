package place

import (
	"cmp"
	"slices"
)

// preemptionPlan is one way to free a placement for a job.
type preemptionPlan struct {
	placement []*worker
	victims   []*job
	cost      float64
}

// reclaim preempts the borrowers that lose the least work, so that j can start in cell c. It
// reports whether it found a plan.
func (p *Policy) reclaim(ds []Decision, j *job, c *cell) ([]Decision, bool) {
	ds, ok := p.tryReclaim(ds, j, c)
	if !ok && p.cancelBorrowerClaims() {
		ds, ok = p.tryReclaim(ds, j, c)
	}
	return ds, ok
}

func (p *Policy) tryReclaim(ds []Decision, j *job, c *cell) ([]Decision, bool) {
	// Gangs on unresponsive workers leave only when their lease ends, so plans that rely on them
	// come last.
	for _, includeUnresponsive := range []bool{false, true} {
		quotaVictims, ok := p.quotaVictims(j)
		if !ok {
			j.reason = "the team's quota is in use by its guaranteed jobs"
			return ds, false
		}
		plans := p.reclaimPlans(j, c, quotaVictims, includeUnresponsive)
		for len(plans) > 0 && p.chargeAnyToUnusedCells(plans[0].victims, c) {
			if quotaVictims, ok = p.quotaVictims(j); !ok {
				break
			}
			plans = p.reclaimPlans(j, c, quotaVictims, includeUnresponsive)
		}
		for _, pl := range plans {
			if !p.tryCharge(j, c, pl.placement) {
				continue
			}
			p.addClaim(j, c.workersFor(j), pl.victims)
			j.claim.awaitsLease = includeUnresponsive || j.claimRetried
			for _, v := range pl.victims {
				ds = p.preempt(ds, v, j.id(), "reclaimed for the guarantee of team "+j.team.name)
			}
			j.reason = "gangs in its placement are being preempted"
			if p.claimReady(j) {
				ds = p.startClaimed(ds, j)
			}
			return ds, true
		}
	}
	j.reason = "no placement can be reclaimed for the guaranteed shape"
	return ds, false
}

// chargeAnyToUnusedCells charges the victims whose team has an unused cell for them, and reports
// whether there were any.
func (p *Policy) chargeAnyToUnusedCells(victims []*job, except *cell) bool {
	charged := false
	for _, v := range victims {
		charged = p.chargeToUnusedCell(v, except) || charged
	}
	return charged
}

// reclaimPlans returns the plans that free a placement for the cell, cheapest first.
func (p *Policy) reclaimPlans(j *job, c *cell, quotaVictims []*job, includeUnresponsive bool) []preemptionPlan {
	var plans []preemptionPlan
	for _, moveUnusedCells := range []bool{false, true} {
		o := planOptions{moveUnusedCells: moveUnusedCells, includeUnresponsive: includeUnresponsive, quotaVictims: quotaVictims}
		if !c.shape.SameRack {
			plans = p.addPlan(plans, c, j, o)
			continue
		}
		for _, r := range p.sortedRacks {
			if allows(c.dcs, r.id.dc) {
				o.onlyRack = r
				plans = p.addPlan(plans, c, j, o)
			}
		}
	}
	slices.SortStableFunc(plans, func(a, b preemptionPlan) int { return cmp.Compare(a.cost, b.cost) })
	return plans
}

// planOptions restrict the search for a plan.
type planOptions struct {
	moveUnusedCells     bool   // other unused cells may be moved
	includeUnresponsive bool   // gangs that leave only when their lease ends count as leaving
	onlyRack            *rack  // nil means all racks
	quotaVictims        []*job // gangs that must stop for the team's quota
}

// quotaVictims returns the borrowers of the job's own team that must stop for its quota. It reports
// false if stopping them is not enough.
func (p *Policy) quotaVictims(j *job) ([]*job, bool) {
	limit, used := j.team.cfg.Quota(), j.team.inUse().plus(j.total())
	var borrowers, moving []*job
	for _, v := range j.team.placed {
		switch {
		case v.state == jobStopping:
			used = used.minus(v.total())
			if v.claim != nil {
				moving = append(moving, v)
			}
		case p.preemptible(v) && v.usesLimited():
			borrowers = append(borrowers, v)
		}
	}
	slices.SortStableFunc(borrowers, func(a, b *job) int { return cmp.Compare(a.lostWork(p.totalCapacity), b.lostWork(p.totalCapacity)) })
	// A gang that is being moved would use the quota again.
	for _, v := range moving {
		if limit.Exceeded(used.plus(v.total()).quota()) {
			p.cancelClaim(v)
		}
	}
	n := 0
	for ; limit.Exceeded(used.quota()) && n < len(borrowers); n++ {
		used = used.minus(borrowers[n].total())
	}
	return borrowers[:n], !limit.Exceeded(used.quota())
}

// preemptible reports whether a gang is a running borrower on responsive workers, which may be
// preempted.
func (p *Policy) preemptible(j *job) bool {
	return j.cell == nil && (j.state == jobRunning || j.state == jobStarting) && responsive(j)
}

// victimSearch selects victims among the gangs on some workers.
type victimSearch struct {
	p           *Policy
	workers     []*worker
	maxSlots    []int    // cell slots that each worker may take, by worker index
	freed       []amount // by worker index
	perSlot     amount   // amount of the job in one slot
	neededSlots int
	// eligible reports whether a gang may be preempted.
	eligible func(*job) bool
}

// addPlan appends the cheapest plan found.
func (p *Policy) addPlan(plans []preemptionPlan, c *cell, j *job, o planOptions) []preemptionPlan {
	s := p.newVictimSearch(c, j, o)
	if s == nil {
		return plans
	}
	chosen, ok := s.chooseVictims(o.quotaVictims)
	if !ok {
		return plans
	}
	placement := p.findCellPlacementFor(c, j, o.moveUnusedCells, o.onlyRack, s.freed)
	if placement == nil {
		return plans
	}
	pl := preemptionPlan{placement: placement, victims: chosen}
	for _, v := range chosen {
		pl.cost += p.preemptionCost(v)
	}
	return append(plans, pl)
}

// newVictimSearch returns a search on the workers that may take slots of the cell, or nil if there
// are too few.
func (p *Policy) newVictimSearch(c *cell, j *job, o planOptions) *victimSearch {
	k := c.tasksPerSlot(j)
	n := j.spec.Shape.Tasks
	s := &victimSearch{
		p: p, neededSlots: (n + k - 1) / k, perSlot: j.perTask.times(min(k, n)),
		maxSlots: make([]int, len(p.allWorkers)), freed: make([]amount, len(p.allWorkers)), eligible: p.preemptible,
	}
	total := 0
	for _, r := range p.sortedRacks {
		if !allows(c.dcs, r.id.dc) || o.onlyRack != nil && r != o.onlyRack {
			continue
		}
		for _, w := range r.workers {
			if !p.usable(w) {
				continue
			}
			if n := c.perTask.countIn(p.cellRoom(c, w, o.moveUnusedCells), c.shape.Tasks); n > 0 {
				s.maxSlots[w.index] = n
				s.workers = append(s.workers, w)
				total += n
			}
		}
	}
	if total < c.shape.Tasks {
		return nil
	}
	for _, w := range s.workers {
		for _, g := range w.gangs {
			if g.state == jobStopping && (o.includeUnresponsive || responsive(g)) {
				s.freed[w.index] = s.freed[w.index].plus(g.perTask.times(g.tasksOn(w)))
			}
		}
	}
	return s
}

// tasksOn returns how many of the job's tasks are on w.
func (j *job) tasksOn(w *worker) int {
	n := 0
	for _, o := range j.workers {
		if o == w {
			n++
		}
	}
	return n
}

// chooseVictims returns the gangs to preempt, the required ones first. It reports false if all
// together do not free enough.
func (s *victimSearch) chooseVictims(quotaVictims []*job) ([]*job, bool) {
	chosen := slices.Clone(quotaVictims)
	for _, v := range quotaVictims {
		s.addFreed(v, 1)
	}
	for _, v := range s.candidates(quotaVictims) {
		if s.enough() {
			break
		}
		s.addFreed(v, 1)
		chosen = append(chosen, v)
	}
	if !s.enough() {
		return nil, false
	}
	return s.prune(chosen, len(quotaVictims)), true
}

// addFreed counts a gang's resources as freed, or no longer so if sign is negative.
func (s *victimSearch) addFreed(v *job, sign int) {
	for _, w := range v.workers {
		s.freed[w.index] = s.freed[w.index].plus(v.perTask.times(sign))
	}
}

// slotsOn returns how many slots the job finds on a worker.
func (s *victimSearch) slotsOn(w *worker) int {
	return min(s.maxSlots[w.index], s.perSlot.countIn(w.free().plus(s.freed[w.index]), s.neededSlots))
}

// enough reports whether the job finds all its slots.
func (s *victimSearch) enough() bool {
	n := 0
	for _, w := range s.workers {
		if n += s.slotsOn(w); n >= s.neededSlots {
			return true
		}
	}
	return false
}

// candidates returns the eligible gangs, ordered by their cost for the slots that they free.
func (s *victimSearch) candidates(except []*job) []*job {
	type option struct {
		j     *job
		score float64
	}
	var options []option
	seen := map[*job]bool{}
	for _, v := range except {
		seen[v] = true
	}
	for _, w := range s.workers {
		for _, v := range w.gangs {
			if seen[v] || !s.eligible(v) {
				continue
			}
			seen[v] = true
			if gain := s.slotGain(v); gain > 0 {
				options = append(options, option{v, s.p.preemptionCost(v) / gain})
			}
		}
	}
	slices.SortStableFunc(options, func(a, b option) int { return cmp.Compare(a.score, b.score) })
	jobs := make([]*job, len(options))
	for i, o := range options {
		jobs[i] = o.j
	}
	return jobs
}

// slotGain returns how many slots the gang's resources on the searched workers are worth.
func (s *victimSearch) slotGain(v *job) float64 {
	g := 0.0
	for _, w := range v.workers {
		if s.maxSlots[w.index] > 0 {
			g += v.perTask.min(s.perSlot).dominantShare(s.perSlot)
		}
	}
	return g
}

// prune drops the victims that are not needed, the costliest first, but keeps the first keep ones.
func (s *victimSearch) prune(chosen []*job, keep int) []*job {
	order := slices.Clone(chosen[keep:])
	slices.SortStableFunc(order, func(a, b *job) int { return cmp.Compare(s.p.preemptionCost(b), s.p.preemptionCost(a)) })
	for _, v := range order {
		s.addFreed(v, -1)
		if s.enough() {
			chosen = slices.DeleteFunc(chosen, func(o *job) bool { return o == v })
		} else {
			s.addFreed(v, 1)
		}
	}
	return chosen
}

// preemptionCost returns the work lost by preempting a gang plus a cost for its restart, which is
// high for a gang that needs much of one rack.
func (p *Policy) preemptionCost(v *job) float64 {
	seconds := float64(restartCostSeconds)
	if s := v.spec.Shape; s.SameRack && s.Tasks > 1 {
		seconds += rackWaitCostSeconds * min(1, float64(s.TotalGPUs())/float64(max(1, p.largestRackGPUs)))
	}
	return p.lossFactor*v.lostWork(p.totalCapacity) + float64(v.spec.Shape.Tasks)*seconds*v.perTask.dominantShare(p.totalCapacity)
}
