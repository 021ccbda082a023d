package place

import (
	"cmp"
	"slices"
)

// maxPackTrials bounds the number of orders in which a full repacking is tried.
const maxPackTrials = 6

// reservationsFit reports whether the cells on a worker fit within its capacity.
func (w *worker) reservationsFit() bool { return w.cellReserved.fits(w.cap) }

// repairIfNeeded gives every cell a usable placement again if one may have lost it.
func (p *Policy) repairIfNeeded() {
	if p.needsRepair {
		p.needsRepair = false
		p.repairCells()
	}
}

// repairCells places the cells without a usable placement, in the order of the configuration. Those
// that do not fit stay without a placement and are reported as shortages.
func (p *Policy) repairCells() {
	p.searchStepsLeft = p.maxSearchSteps
	var broken []*cell
	for _, c := range p.cells {
		if !p.cellUsable(c) || p.overcommitted(c) {
			if c.occupant != nil && !c.occupant.placed() {
				p.cancelClaim(c.occupant)
			}
			p.assignCell(c, nil, c.occupant)
			broken = append(broken, c)
		}
	}
	failed := map[string]bool{}
	for _, c := range broken {
		if k := c.key(); !failed[k] && !p.placeCell(c) {
			failed[k] = true
		}
	}
	p.hasShortage = len(failed) > 0
}

// overcommitted reports whether a worker of the placement is reserved beyond its capacity.
func (p *Policy) overcommitted(c *cell) bool {
	for _, w := range c.placement {
		if !w.reservationsFit() {
			return true
		}
	}
	return false
}

// placeCell finds a placement for a cell and moves other unused cells if needed.
func (p *Policy) placeCell(c *cell) bool {
	if j := c.occupant; j != nil && j.placed() {
		if placement := p.cellPlacementAround(c, j); placement != nil && p.tryAssignCell(c, placement, j) {
			return true
		}
	}
	if placement := p.findCellPlacement(c, false); placement != nil {
		p.assignCell(c, placement, c.occupant)
		return true
	}
	return p.repackAll(c)
}

// findCellPlacement returns the tightest placement for a cell beside the others, or nil.
func (p *Policy) findCellPlacement(c *cell, scatter bool) []*worker {
	p.candidates = p.candidates[:0]
	for _, r := range p.sortedRacks {
		if !allows(c.dcs, r.id.dc) {
			continue
		}
		for _, w := range r.workers {
			if !p.usable(w) {
				continue
			}
			room := w.cap.minus(w.cellReserved).plus(c.footprintOn(w))
			if n := c.perTask.countIn(room, c.shape.Tasks); n > 0 {
				p.candidates = append(p.candidates, candidate{worker: w, tasks: n, rank: rankOf(c.perTask, room, w)})
			}
		}
	}
	return p.chooseWorkers(c.shape.Tasks, c.shape.SameRack, scatter)
}

// movableCells returns the cells that have a placement and no gang.
func (p *Policy) movableCells() []*cell {
	var cells []*cell
	for _, c := range p.cells {
		if c.occupant == nil && c.placement != nil {
			cells = append(cells, c)
		}
	}
	return cells
}

// repackAll finds new placements for extra and all unused cells; on failure it restores the old
// placements.
func (p *Policy) repackAll(extra ...*cell) bool {
	all := p.movableCells()
	old := savePlacements(all)
	for _, c := range extra {
		if !slices.Contains(all, c) {
			all = append(all, c)
		}
	}
	slices.SortStableFunc(all, compareDifficulty)
	for trial := range maxPackTrials {
		for _, c := range all {
			p.assignCell(c, nil, c.occupant)
		}
		if p.placeGreedily(all, trial) {
			return true
		}
	}
	if p.searchPlacements(all) {
		return true
	}
	for _, c := range extra {
		p.assignCell(c, nil, c.occupant)
	}
	p.restorePlacements(old)
	return false
}

const (
	// repairSearchSteps bounds the exhaustive search for placements after one change. The bound
	// gives exact results on small sites and costs a few milliseconds on others.
	repairSearchSteps = 20000
	// decisionSearchSteps is the bound within one decision round.
	decisionSearchSteps = 5000
	// checkSearchSteps is the bound when a configuration is checked before it is accepted.
	checkSearchSteps = 2000000
)

// searchPlacements places cells by exhaustive search, the most constrained first.
func (p *Policy) searchPlacements(cells []*cell) bool {
	for _, c := range cells {
		p.assignCell(c, nil, c.occupant)
	}
	var need, room amount
	for _, c := range cells {
		need = need.plus(c.perTask.times(c.shape.Tasks))
	}
	s := &cellSearch{p: p}
	for _, r := range p.sortedRacks {
		for _, w := range r.workers {
			if p.usable(w) {
				s.workers = append(s.workers, w)
				room = room.plus(w.cap.minus(w.cellReserved))
			}
		}
	}
	if !need.fits(room) {
		return false
	}
	cells = slices.Clone(cells)
	slices.SortStableFunc(cells, compareDifficulty)
	return s.placeCells(cells)
}

// cellSearch is an exhaustive search for cell placements.
type cellSearch struct {
	p       *Policy
	workers []*worker // in rack order
}

// placeCells reports whether it has placed all cells.
func (s *cellSearch) placeCells(cells []*cell) bool {
	if len(cells) == 0 {
		return true
	}
	return s.placeTasks(cells, nil, 0)
}

// placeTasks extends the placement of the first cell by workers from an index on, then places the
// other cells.
func (s *cellSearch) placeTasks(cells []*cell, placement []*worker, from int) bool {
	if s.p.searchStepsLeft--; s.p.searchStepsLeft < 0 {
		return false
	}
	c := cells[0]
	if len(placement) == c.shape.Tasks {
		s.p.assignCell(c, slices.Clone(placement), c.occupant)
		if s.placeCells(cells[1:]) {
			return true
		}
		s.p.assignCell(c, nil, c.occupant)
		return false
	}
	for i := from; i < len(s.workers); i++ {
		w := s.workers[i]
		if c.shape.SameRack && len(placement) > 0 && w.rack != placement[0].rack {
			return false
		}
		room := s.room(c, w, placement)
		if !allows(c.dcs, w.rack.id.dc) || !c.perTask.fits(room) ||
			i > from && s.workers[i-1].rack == w.rack && s.room(c, s.workers[i-1], placement) == room {
			continue // equivalent to the worker before it, which was tried
		}
		if s.placeTasks(cells, append(placement, w), i) {
			return true
		}
	}
	return false
}

// room returns what the cell may still use of a worker beside its own tasks on placement.
func (s *cellSearch) room(c *cell, w *worker, placement []*worker) amount {
	room := w.cap.minus(w.cellReserved).plus(c.footprintOn(w))
	for _, o := range placement {
		if o == w {
			room = room.minus(c.perTask)
		}
	}
	return room
}

// savedPlacement is the placement of a cell before a change.
type savedPlacement struct {
	cell      *cell
	placement []*worker
}

func savePlacements(cells []*cell) []savedPlacement {
	ps := make([]savedPlacement, len(cells))
	for i, c := range cells {
		ps[i] = savedPlacement{c, c.placement}
	}
	return ps
}

// restorePlacements restores the placements of unused cells.
func (p *Policy) restorePlacements(ps []savedPlacement) {
	for _, o := range ps {
		p.assignCell(o.cell, o.placement, nil)
	}
}

// placeGreedily places cells one by one; one that fails goes to the front in the next trial.
func (p *Policy) placeGreedily(cells []*cell, trial int) bool {
	for i, c := range cells {
		placement := p.findCellPlacement(c, trial%2 == 1)
		if placement == nil {
			copy(cells[1:i+1], cells[:i])
			cells[0] = c
			if trial > 1 {
				j := p.rand.Intn(len(cells))
				cells[0], cells[j] = cells[j], cells[0]
			}
			return false
		}
		p.assignCell(c, placement, c.occupant)
	}
	return true
}

// compareDifficulty orders cells by how few placements they have: few data centres, one rack, large
// tasks, many tasks.
func compareDifficulty(a, b *cell) int {
	oneRack := func(c *cell) int {
		if c.shape.SameRack && c.shape.Tasks > 1 {
			return 1
		}
		return 0
	}
	dataCentres := func(c *cell) int {
		if len(c.dcs) == 0 {
			return 1 << 20
		}
		return len(c.dcs)
	}
	return cmp.Or(
		cmp.Compare(dataCentres(a), dataCentres(b)),
		cmp.Compare(oneRack(b), oneRack(a)),
		cmp.Compare(b.perTask.gpus, a.perTask.gpus),
		cmp.Compare(b.perTask.mem, a.perTask.mem),
		cmp.Compare(b.perTask.cores, a.perTask.cores),
		cmp.Compare(b.shape.Tasks, a.shape.Tasks),
	)
}

// footprintOn returns the amount that the cell reserves on a worker.
func (c *cell) footprintOn(w *worker) amount {
	for _, f := range c.footprints {
		if f.worker == w {
			return f.amount
		}
	}
	return amount{}
}

// tryCharge charges a gang to a cell at a placement if all other cells still fit.
func (p *Policy) tryCharge(j *job, c *cell, placement []*worker) bool {
	if !p.tryAssignCell(c, placement, j) {
		return false
	}
	j.cell = c
	if j.placed() {
		j.team.borrowed = j.team.borrowed.minus(j.perTask.times(j.spec.Shape.Tasks))
	}
	return true
}

// tryAssignCell sets a cell's placement and occupant and moves unused cells out of the way; on
// failure it restores everything.
func (p *Policy) tryAssignCell(c *cell, placement []*worker, j *job) bool {
	oldPlacement, oldOccupant := c.placement, c.occupant
	p.assignCell(c, placement, j)
	var moved []*cell
	for _, o := range p.cells {
		if o != c && o.occupant == nil && p.overcommitted(o) {
			moved = append(moved, o)
		}
	}
	if len(moved) == 0 && !p.overcommitted(c) {
		return true
	}
	old := savePlacements(moved)
	for _, o := range moved {
		p.assignCell(o, nil, nil)
	}
	slices.SortStableFunc(moved, compareDifficulty)
	if !p.overcommitted(c) && (p.placeGreedily(slices.Clone(moved), 0) || p.repackMoved(moved)) {
		return true
	}
	for _, o := range moved {
		p.assignCell(o, nil, nil)
	}
	p.assignCell(c, oldPlacement, oldOccupant)
	p.restorePlacements(old)
	return false
}

// repackMoved repacks the given and all other unused cells.
func (p *Policy) repackMoved(moved []*cell) bool {
	for _, o := range moved {
		p.assignCell(o, nil, nil)
	}
	return p.repackAll(moved...)
}

// chargeToUnusedCell charges a running borrower, where it runs, to an unused cell of its team other
// than except. Gangs are charged this late because a charged gang can no longer be moved.
func (p *Policy) chargeToUnusedCell(j *job, except *cell) bool {
	if j.cell != nil || j.state == jobStopping {
		return false
	}
	for _, c := range j.team.cells {
		if c == except || c.occupant != nil || c.placement == nil || c.tasksPerSlot(j) == 0 {
			continue
		}
		if placement := p.cellPlacementAround(c, j); placement != nil && p.tryCharge(j, c, placement) {
			return true
		}
	}
	return false
}

// cellPlacementAround returns a placement of the cell that contains a placed gang, or nil.
func (p *Policy) cellPlacementAround(c *cell, j *job) []*worker {
	k := c.tasksPerSlot(j)
	count := map[*worker]int{}
	var placement []*worker
	for _, w := range j.workers {
		if !p.usable(w) || !allows(c.dcs, w.rack.dc.name) || c.shape.SameRack && w.rack != j.workers[0].rack {
			return nil
		}
		if count[w]%k == 0 {
			placement = append(placement, w)
		}
		count[w]++
	}
	if len(placement) > c.shape.Tasks {
		return nil
	}
	for _, w := range placement {
		if !c.perTask.times((count[w] + k - 1) / k).fits(w.cap.minus(w.cellOccupied)) {
			return nil
		}
	}
	return p.completeCellPlacement(c, placement, true)
}

// completeCellPlacement adds the slots that a smaller gang leaves unused, or returns nil if there
// is no room for them.
func (p *Policy) completeCellPlacement(c *cell, placement []*worker, moveUnusedCells bool) []*worker {
	rest := c.shape.Tasks - len(placement)
	if rest == 0 {
		return placement
	}
	p.candidates = p.candidates[:0]
	for _, r := range p.sortedRacks {
		if !allows(c.dcs, r.id.dc) || c.shape.SameRack && len(placement) > 0 && r != placement[0].rack {
			continue
		}
		for _, w := range r.workers {
			if !p.usable(w) {
				continue
			}
			room := p.cellRoom(c, w, moveUnusedCells)
			for _, o := range placement {
				if o == w {
					room = room.minus(c.perTask)
				}
			}
			if n := c.perTask.countIn(room, rest); n > 0 {
				p.candidates = append(p.candidates, candidate{worker: w, tasks: n, rank: rankOf(c.perTask, room, w)})
			}
		}
	}
	more := p.chooseWorkers(rest, c.shape.SameRack, false)
	if more == nil {
		return nil
	}
	return append(placement, more...)
}
