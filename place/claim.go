package place

import (
	"cmp"
	"slices"
)

// claim is a placement that is held for a job until the gangs in it have stopped.
type claim struct {
	workers []*worker
	victims []*job
	// awaitsLease is set if the placement is known to become free only when a worker's lease ends.
	awaitsLease bool
	// guaranteed is set if the job is charged to a cell. It is not set for a gang that is being
	// moved, or for one for which others are moved or overtaken.
	guaranteed bool
	// moving is set while a gang that is being moved still occupies its old placement.
	moving bool
}

// restartCostSeconds is added to the lost work of each task of a victim, so that plans with few
// victims are preferred.
const restartCostSeconds = 10

// rackWaitCostSeconds is added for a gang that needs a whole rack, and proportionally less for a
// smaller gang that needs one rack, because such a gang waits long for another rack.
const rackWaitCostSeconds = 1200

// addClaim holds a placement for a job.
func (p *Policy) addClaim(j *job, ws []*worker, victims []*job) {
	j.claim = &claim{workers: ws, victims: victims, guaranteed: j.cell != nil}
	for _, w := range ws {
		w.claimed = w.claimed.plus(j.perTask)
	}
	p.claims = append(p.claims, j)
	if j.claim.moving = j.placed(); j.claim.moving {
		p.movingGangs++
	} else {
		j.team.claimed = j.team.claimed.plus(j.total())
	}
}

// releaseClaim stops holding the placement; the job stays charged to its cell.
func (p *Policy) releaseClaim(j *job) {
	for _, w := range j.claim.workers {
		w.claimed = w.claimed.minus(j.perTask)
		w.rack.maxFreeRound = 0
	}
	if j.claim.moving {
		p.movingGangs--
	} else {
		j.team.claimed = j.team.claimed.minus(j.total())
	}
	j.claim = nil
	p.claims = slices.DeleteFunc(p.claims, func(o *job) bool { return o == j })
}

// oldPlacementReleased counts a gang that is being moved as waiting for its new placement once it
// has left the old one.
func (p *Policy) oldPlacementReleased(j *job) {
	if j.claim != nil && j.claim.moving {
		j.claim.moving = false
		p.movingGangs--
		j.team.claimed = j.team.claimed.plus(j.total())
	}
}

// cancelBorrowerClaims cancels the claims of jobs beyond their guarantees and reports whether there
// were any.
func (p *Policy) cancelBorrowerClaims() bool {
	n := len(p.claims)
	for _, j := range slices.Clone(p.claims) {
		if !j.claim.guaranteed {
			p.cancelClaim(j)
		}
	}
	return len(p.claims) < n
}

// cancelClaim releases a job's claim and cell, so that the job waits without a placement.
func (p *Policy) cancelClaim(j *job) {
	if j.claim == nil {
		return
	}
	p.releaseClaim(j)
	p.uncharge(j)
}

// advanceClaims starts the jobs whose claimed placements are free and cancels claims that can no
// longer be met.
func (p *Policy) advanceClaims(ds []Decision) []Decision {
	for _, j := range slices.Clone(p.claims) {
		switch {
		case j.placed():
			// The gang is being moved and has not stopped yet.
		case !p.claimViable(j):
			p.cancelClaim(j)
		case p.claimReady(j):
			ds = p.startClaimed(ds, j)
		}
	}
	return ds
}

func (p *Policy) startClaimed(ds []Decision, j *job) []Decision {
	ws := j.claim.workers
	p.releaseClaim(j)
	p.dequeue(j)
	return p.start(ds, j, ws)
}

// claimViable reports whether the placement can still become free. The claim of an urgent job is
// cancelled if a gang that must stop is on a lost worker, so that the job gets another placement.
func (p *Policy) claimViable(j *job) bool {
	stopping := func(o *job) bool { return o.state == jobStopping }
	unresponsive := func(o *job) bool { return stopping(o) && !responsive(o) }
	if j.claim.guaranteed && j.cell == nil || j.team.exceedsQuota() && !slices.ContainsFunc(j.team.placed, stopping) {
		return false
	}
	for _, w := range j.claim.workers {
		switch {
		case !p.usable(w):
			return false
		case w.used.plus(w.claimed).fits(w.cap):
		case !slices.ContainsFunc(w.gangs, stopping):
			return false
		case j.spec.Urgent && !j.claim.awaitsLease && slices.ContainsFunc(w.gangs, unresponsive):
			j.claimRetried = true // retry only once, or plans that share the worker alternate
			return false
		}
	}
	return true
}

// responsive reports whether no worker of a gang is lost.
func responsive(j *job) bool {
	return !slices.ContainsFunc(j.workers, func(w *worker) bool { return !w.joined })
}

// claimReady reports whether the job of a claim can start now.
func (p *Policy) claimReady(j *job) bool {
	if j.team.exceedsQuota() {
		return false
	}
	for i, w := range j.claim.workers {
		if !p.mayStart(w.rack.dc) {
			return false
		}
		if i > 0 && w == j.claim.workers[i-1] {
			continue
		}
		n := 0
		for _, o := range j.claim.workers {
			if o == w {
				n++
			}
		}
		if !j.perTask.times(n).fits(w.cap.minus(w.used)) {
			return false
		}
	}
	return true
}

// startGuaranteed starts a job that matches an unused cell, or begins to reclaim a placement for
// it. It reports whether it did either.
func (p *Policy) startGuaranteed(ds []Decision, j *job) ([]Decision, bool) {
	if c := j.team.unusedCell(j); c != nil {
		return p.startInCell(ds, j, c)
	}
	c := j.team.cellToTakeOver(j)
	if c == nil {
		return ds, false
	}
	replaced, placement := c.occupant, c.placement
	p.uncharge(replaced)
	ds, ok := p.startInCell(ds, j, c)
	if !ok && replaced.cell == nil && c.occupant == nil {
		p.tryCharge(replaced, c, placement)
	}
	return ds, ok
}

func (p *Policy) startInCell(ds []Decision, j *job, c *cell) ([]Decision, bool) {
	if j.team.cfg.Quota().Allows(j.team.inUse().quota(), j.total().quota()) {
		for _, moveUnusedCells := range []bool{false, true} {
			placement := p.findCellPlacementFor(c, j, moveUnusedCells, nil, nil)
			if placement != nil && p.tryCharge(j, c, placement) {
				p.dequeue(j)
				return p.start(ds, j, c.workersFor(j)), true
			}
		}
	}
	return p.reclaim(ds, j, c)
}

// prefers reports whether the cell prefers j to o, a job of the same team: urgent jobs come first,
// then jobs of exactly the cell's shape, then jobs that use more of it.
func (c *cell) prefers(j, o *job) bool {
	exact := func(x *job) bool { return x.spec.Shape == c.shape }
	switch {
	case j.spec.Urgent != o.spec.Urgent:
		return j.spec.Urgent
	case exact(j) != exact(o):
		return exact(j)
	default:
		return c.fillRatio(j) > c.fillRatio(o)
	}
}

// cellToTakeOver returns the least filled cell whose gang, of the same team, is less preferred than
// the job, or nil. That gang then becomes a borrower.
func (t *team) cellToTakeOver(j *job) *cell {
	var best *cell
	for _, c := range t.cells {
		o := c.occupant
		if o == nil || c.placement == nil || o.state != jobRunning && o.state != jobStarting || c.tasksPerSlot(j) == 0 {
			continue
		}
		if !c.prefers(j, o) {
			continue
		}
		if best == nil || c.fillRatio(o) < best.fillRatio(best.occupant) {
			best = c
		}
	}
	return best
}

// fillRatio returns the share of the shape's accelerators, or of its dominant resource if it has
// none, that a gang uses.
func (c *cell) fillRatio(j *job) float64 {
	n := float64(j.spec.Shape.Tasks) / float64(c.shape.Tasks)
	if c.perTask.gpus > 0 {
		return n * float64(j.perTask.gpus) / float64(c.perTask.gpus)
	}
	return n * j.perTask.dominantShare(c.perTask)
}

// unusedCell returns the smallest unused cell with a placement that the job matches, or nil.
func (t *team) unusedCell(j *job) *cell {
	var best *cell
	for _, c := range t.cells {
		if c.occupant != nil || c.placement == nil || c.tasksPerSlot(j) == 0 {
			continue
		}
		if best == nil || cmp.Or(
			cmp.Compare(c.shape.TotalGPUs(), best.shape.TotalGPUs()),
			cmp.Compare(c.shape.Tasks*c.perTask.cores, best.shape.Tasks*best.perTask.cores)) < 0 {
			best = c
		}
	}
	return best
}

// workersFor returns the workers of the job's tasks, which take the first slots of the cell.
func (c *cell) workersFor(j *job) []*worker {
	k := c.tasksPerSlot(j)
	ws := make([]*worker, j.spec.Shape.Tasks)
	for i := range ws {
		ws[i] = c.placement[i/k]
	}
	return ws
}

// findCellPlacementFor returns a placement for a cell whose first slots are free for the job now
// or, if freed is given, become free when the gangs that hold these amounts have stopped. It
// returns nil if there is none.
func (p *Policy) findCellPlacementFor(c *cell, j *job, moveUnusedCells bool, onlyRack *rack, freed []amount) []*worker {
	k := c.tasksPerSlot(j)
	slots := (j.spec.Shape.Tasks + k - 1) / k
	use := j.perTask.times(min(k, j.spec.Shape.Tasks))
	p.candidates = p.candidates[:0]
	for _, r := range p.sortedRacks {
		if !allows(c.dcs, r.id.dc) || freed == nil && !p.mayStart(r.dc) || onlyRack != nil && r != onlyRack {
			continue
		}
		for _, w := range r.workers {
			if !p.usable(w) {
				continue
			}
			n := c.perTask.countIn(p.cellRoom(c, w, moveUnusedCells), c.shape.Tasks)
			if n == 0 {
				continue
			}
			free := w.free()
			if freed != nil {
				free = free.plus(freed[w.index])
			}
			if n = min(n, use.countIn(free, slots)); n > 0 {
				p.candidates = append(p.candidates, candidate{worker: w, tasks: n, rank: p.cellRank(c, w)})
			}
		}
	}
	placement := p.chooseWorkers(slots, c.shape.SameRack, false)
	if placement == nil {
		return nil
	}
	return p.completeCellPlacement(c, placement, moveUnusedCells)
}

// cellRank prefers workers on which occupied cells leave little room, so that gangs that cannot be
// preempted share few racks, and avoids workers with a reservation.
func (p *Policy) cellRank(c *cell, w *worker) int {
	rank := rankOf(c.perTask, w.cap.minus(w.cellOccupied), w)
	if w.reservation != nil {
		rank += reservationRankPenalty
	}
	return rank
}

// reservationRankPenalty ranks workers with a reservation behind all others.
const reservationRankPenalty = 1 << 30

// cellRoom returns what a cell may use of a worker beside other cells, or beside occupied cells if
// unused ones may be moved.
func (p *Policy) cellRoom(c *cell, w *worker, moveUnusedCells bool) amount {
	if moveUnusedCells {
		return w.cap.minus(w.cellOccupied)
	}
	return w.cap.minus(w.cellReserved).plus(c.footprintOn(w))
}
