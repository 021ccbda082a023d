package place

import (
	"cmp"
	"slices"
)

// claim is a place that is being freed for a job within its team's guarantee.
type claim struct {
	workers []*worker
	victims []*job
	// slow is set when the place is known to wait for the end of a lease.
	slow bool
	// guaranteed is false for a gang that moves or that others make room for.
	guaranteed bool
	// moving is set for a gang that has not left its old place yet.
	moving bool
}

// restartSeconds is added to the loss of each victim's task, so that few victims are preferred.
const restartSeconds = 10

// rackWaitSeconds is added for a gang that needs a whole rack, and less for a
// smaller one: such a gang waits long for another rack.
const rackWaitSeconds = 1200

// hold keeps the place of a claim free.
func (p *Policy) hold(j *job, ws []*worker, victims []*job) {
	j.claim = &claim{workers: ws, victims: victims, guaranteed: j.cell != nil}
	for _, w := range ws {
		w.held = w.held.plus(j.per)
	}
	p.claims = append(p.claims, j)
	if j.claim.moving = j.placed(); j.claim.moving {
		p.moving++
	} else {
		j.team.claimed += j.spec.Shape.TotalGPUs()
	}
}

// unhold gives up the place; the cell of the job stays charged.
func (p *Policy) unhold(j *job) {
	for _, w := range j.claim.workers {
		w.held = w.held.minus(j.per)
		w.rack.freeRound = 0
	}
	if j.claim.moving {
		p.moving--
	} else {
		j.team.claimed -= j.spec.Shape.TotalGPUs()
	}
	j.claim = nil
	p.claims = slices.DeleteFunc(p.claims, func(o *job) bool { return o == j })
}

// arrived counts a gang that moves as waiting for its new place, once it has left the old one.
func (p *Policy) arrived(j *job) {
	if j.claim != nil && j.claim.moving {
		j.claim.moving = false
		p.moving--
		j.team.claimed += j.spec.Shape.TotalGPUs()
	}
}

// dropBorrowerClaims gives up the places held for jobs beyond their guarantees
// and reports whether there were any.
func (p *Policy) dropBorrowerClaims() bool {
	n := len(p.claims)
	for _, j := range slices.Clone(p.claims) {
		if !j.claim.guaranteed {
			p.dropClaim(j)
		}
	}
	return len(p.claims) < n
}

// dropClaim returns a job to the waiting ones without a place.
func (p *Policy) dropClaim(j *job) {
	if j.claim == nil {
		return
	}
	p.unhold(j)
	p.uncharge(j)
}

// advanceClaims starts the jobs whose places are free and drops claims that can no longer be met.
func (p *Policy) advanceClaims(ds []Decision) []Decision {
	for _, j := range slices.Clone(p.claims) {
		switch {
		case j.placed():
			// A gang that moves is still stopping.
		case !p.claimAlive(j):
			p.dropClaim(j)
		case p.claimFree(j):
			ds = p.startClaimed(ds, j)
		}
	}
	return ds
}

func (p *Policy) startClaimed(ds []Decision, j *job) []Decision {
	ws := j.claim.workers
	p.unhold(j)
	p.dequeue(j)
	return p.start(ds, j, ws)
}

// claimAlive reports whether the place can still become free. An urgent job
// looks for another place when a gang that is to leave is on a lost worker.
func (p *Policy) claimAlive(j *job) bool {
	stopping := func(o *job) bool { return o.state == jobStopping }
	unanswered := func(o *job) bool { return stopping(o) && !responsive(o) }
	if j.claim.guaranteed && j.cell == nil || j.team.overQuota(0) > 0 && !slices.ContainsFunc(j.team.running, stopping) {
		return false
	}
	for _, w := range j.claim.workers {
		switch {
		case !p.usable(w):
			return false
		case w.used.plus(w.held).fits(w.cap):
		case !slices.ContainsFunc(w.gangs, stopping):
			return false
		case j.spec.Urgent && !j.claim.slow && slices.ContainsFunc(w.gangs, unanswered):
			j.patient = true // look once, or plans that share the worker alternate
			return false
		}
	}
	return true
}

// responsive reports whether all workers of a gang answer.
func responsive(j *job) bool {
	return !slices.ContainsFunc(j.workers, func(w *worker) bool { return !w.joined })
}

// claimFree reports whether the job of a claim can start now.
func (p *Policy) claimFree(j *job) bool {
	if j.team.overQuota(0) > 0 {
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
		if !j.per.times(n).fits(w.cap.minus(w.used)) {
			return false
		}
	}
	return true
}

// overQuota returns how many accelerators the team would have beyond its quota with more of them.
func (t *team) overQuota(more int) int {
	if t.cfg.MaxGPUs <= 0 {
		return 0
	}
	return t.gpus + t.claimed + more - t.cfg.MaxGPUs
}

// startGuaranteed starts a job that matches an unused cell, or begins to
// reclaim a place for it. It reports whether it did either.
func (p *Policy) startGuaranteed(ds []Decision, j *job) ([]Decision, bool) {
	if c := j.team.unusedCell(j); c != nil {
		return p.startInCell(ds, j, c)
	}
	c := j.team.cellToTakeOver(j)
	if c == nil {
		return ds, false
	}
	smaller, pos := c.occupant, c.pos
	p.uncharge(smaller)
	ds, ok := p.startInCell(ds, j, c)
	if !ok && smaller.cell == nil && c.occupant == nil {
		p.tryCharge(smaller, c, pos)
	}
	return ds, ok
}

func (p *Policy) startInCell(ds []Decision, j *job, c *cell) ([]Decision, bool) {
	if j.team.overQuota(j.spec.Shape.TotalGPUs()) <= 0 {
		for _, moveOthers := range []bool{false, true} {
			pos := p.cellPosition(c, j, moveOthers, nil, nil)
			if pos != nil && p.tryCharge(j, c, pos) {
				p.dequeue(j)
				return p.start(ds, j, c.inside(j)), true
			}
		}
	}
	return p.reclaim(ds, j, c)
}

// before reports whether a job comes before another of its team in a cell: an
// urgent one, then one of the very shape, then one that takes more of it.
func (c *cell) before(j, o *job) bool {
	exact := func(x *job) bool { return x.spec.Shape == c.shape }
	switch {
	case j.spec.Urgent != o.spec.Urgent:
		return j.spec.Urgent
	case exact(j) != exact(o):
		return exact(j)
	default:
		return c.part(j) > c.part(o)
	}
}

// cellToTakeOver returns a cell in use by a gang of the same team that comes
// after the job. That gang then borrows.
func (t *team) cellToTakeOver(j *job) *cell {
	var best *cell
	for _, c := range t.cells {
		o := c.occupant
		if o == nil || c.pos == nil || o.state != jobRunning && o.state != jobStarting || c.perSlot(j) == 0 {
			continue
		}
		if !c.before(j, o) {
			continue
		}
		if best == nil || c.part(o) < best.part(best.occupant) {
			best = c
		}
	}
	return best
}

// part returns how much of the shape's leading resource a gang takes.
func (c *cell) part(j *job) float64 {
	n := float64(j.spec.Shape.Tasks) / float64(c.shape.Tasks)
	if c.per.gpus > 0 {
		return n * float64(j.per.gpus) / float64(c.per.gpus)
	}
	return n * j.per.share(c.per)
}

// unusedCell returns the smallest unused cell with a position that the job matches.
func (t *team) unusedCell(j *job) *cell {
	var best *cell
	for _, c := range t.cells {
		if c.occupant != nil || c.pos == nil || c.perSlot(j) == 0 {
			continue
		}
		if best == nil || cmp.Or(
			cmp.Compare(c.shape.TotalGPUs(), best.shape.TotalGPUs()),
			cmp.Compare(c.shape.Tasks*c.per.cores, best.shape.Tasks*best.per.cores)) < 0 {
			best = c
		}
	}
	return best
}

// inside returns the workers of the job's tasks in the first slots of its cell.
func (c *cell) inside(j *job) []*worker {
	k := c.perSlot(j)
	ws := make([]*worker, j.spec.Shape.Tasks)
	for i := range ws {
		ws[i] = c.pos[i/k]
	}
	return ws
}

// cellPosition returns a position for a cell whose first slots are free for
// the job now, or become free when the given gangs have stopped.
func (p *Policy) cellPosition(c *cell, j *job, moveOthers bool, only *rack, freed []amount) []*worker {
	k := c.perSlot(j)
	slots := (j.spec.Shape.Tasks + k - 1) / k
	use := j.per.times(min(k, j.spec.Shape.Tasks))
	p.cands = p.cands[:0]
	for _, r := range p.order {
		if !allows(c.dcs, r.id.dc) || freed == nil && !p.mayStart(r.dc) || only != nil && r != only {
			continue
		}
		for _, w := range r.workers {
			if !p.usable(w) {
				continue
			}
			n := c.per.into(p.cellRoom(c, w, moveOthers), c.shape.Tasks)
			if n == 0 {
				continue
			}
			free := w.free()
			if freed != nil {
				free = free.plus(freed[w.index])
			}
			if n = min(n, use.into(free, slots)); n > 0 {
				p.cands = append(p.cands, cand{w: w, n: n, rank: p.cellRank(c, w)})
			}
		}
	}
	pos := p.choose(slots, c.shape.SameRack, false)
	if pos == nil {
		return nil
	}
	return p.completePosition(c, pos, moveOthers)
}

// cellRank prefers workers whose rack other cells in use share, so that few racks
// hold gangs that cannot be stopped, and avoids reserved ones.
func (p *Policy) cellRank(c *cell, w *worker) int {
	rank := rankOf(c.per, w.cap.minus(w.pinned), w)
	if w.shadow != nil {
		rank += reservedRank
	}
	return rank
}

// reservedRank ranks a reserved worker behind those that are not.
const reservedRank = 1 << 30

// cellRoom returns what a cell may take of a worker beside other cells.
func (p *Policy) cellRoom(c *cell, w *worker, moveOthers bool) amount {
	if moveOthers {
		return w.cap.minus(w.pinned)
	}
	return w.cap.minus(w.reserved).plus(c.footOn(w))
}
