package place

import (
	"fmt"
	"slices"

	"turmericroute/config"
	"turmericroute/model"
)

// cell is the capacity reserved for one guaranteed shape. Every cell, used or not, keeps a
// placement of its full size, and all cell placements fit together on the usable workers. A cell
// whose gang leaves is therefore available at once, and the guarantees hold without a search at
// each scheduling decision.
type cell struct {
	team       *team
	guarantee  int
	shape      model.Shape
	perTask    amount
	dcs        []string  // data centres in which the cell may be placed; nil means all
	placement  []*worker // worker of each task slot; nil without a placement
	occupant   *job      // job charged to the cell, or nil
	footprints []footprint
}

// footprint is the amount that a cell reserves on one worker.
type footprint struct {
	worker *worker
	amount amount
}

// key identifies interchangeable cells.
func (c *cell) key() string {
	return fmt.Sprintf("%s/%+v/%v", c.team.name, c.shape, c.dcs)
}

// expandGuarantees returns a cell for each guaranteed shape of a configuration, in the order in
// which the cells are placed.
func expandGuarantees(cfg config.Config, teamOf func(string) *team) []*cell {
	var cells []*cell
	for _, t := range cfg.Teams {
		for gi, g := range t.Guarantees {
			dcs, ok := intersect(t.DataCentres, g.DataCentres)
			if !ok {
				dcs = []string{""}
			}
			for range max(1, g.Count) {
				cells = append(cells, &cell{
					team: teamOf(t.Name), guarantee: gi, shape: g.Shape, perTask: taskAmount(g.Shape), dcs: dcs,
				})
			}
		}
	}
	return cells
}

// intersect returns the data centres in both lists, where an empty list means all. It reports false
// if there are none.
func intersect(a, b []string) ([]string, bool) {
	switch {
	case len(a) == 0:
		return slices.Clone(b), true
	case len(b) == 0:
		return slices.Clone(a), true
	}
	var both []string
	for _, dc := range a {
		if slices.Contains(b, dc) {
			both = append(both, dc)
		}
	}
	return both, len(both) > 0
}

// rebuildCells replaces the cells after a configuration change; unchanged ones keep their placement
// and gang.
func (p *Policy) rebuildCells() {
	old := map[string][]*cell{}
	for _, c := range p.cells {
		old[c.key()] = append(old[c.key()], c)
	}
	for _, t := range p.teams {
		t.cells = nil
	}
	p.cells = expandGuarantees(p.siteCfg, p.team)
	for i, c := range p.cells {
		k := c.key()
		if same := old[k]; len(same) > 0 {
			same[0].guarantee = c.guarantee
			p.cells[i], old[k] = same[0], same[1:]
		}
		p.cells[i].team.cells = append(p.cells[i].team.cells, p.cells[i])
	}
	for _, rest := range old {
		for _, c := range rest {
			if j := c.occupant; j != nil {
				p.cancelClaim(j)
				p.uncharge(j)
			}
			p.assignCell(c, nil, nil)
		}
	}
}

// assignCell sets the placement and occupant of a cell and updates the workers' reserved amounts.
func (p *Policy) assignCell(c *cell, placement []*worker, occupant *job) {
	for _, f := range c.footprints {
		f.worker.cellReserved = f.worker.cellReserved.minus(f.amount)
		if c.occupant != nil {
			f.worker.cellOccupied = f.worker.cellOccupied.minus(f.amount)
		}
	}
	c.placement, c.occupant = placement, occupant
	c.footprints = c.footprints[:0]
	p.footprintGen++
	for _, w := range placement {
		f := p.ensureFootprint(c, w)
		f.amount = f.amount.plus(c.perTask)
	}
	if occupant != nil && occupant.placed() {
		p.extendFootprint(c, occupant)
	}
	for _, f := range c.footprints {
		f.worker.cellReserved = f.worker.cellReserved.plus(f.amount)
		if occupant != nil {
			f.worker.cellOccupied = f.worker.cellOccupied.plus(f.amount)
		}
	}
}

// ensureFootprint returns the cell's footprint on w, adding an empty one if there is none in the
// current generation.
func (p *Policy) ensureFootprint(c *cell, w *worker) *footprint {
	if w.footprintGen != p.footprintGen {
		w.footprintGen, w.footprintIndex = p.footprintGen, len(c.footprints)
		c.footprints = append(c.footprints, footprint{worker: w})
	}
	return &c.footprints[w.footprintIndex]
}

// extendFootprint extends the footprint to workers where the gang runs outside the cell's
// placement, such as drained ones.
func (p *Policy) extendFootprint(c *cell, j *job) {
	for i, w := range j.workers {
		if slices.Contains(j.workers[:i], w) {
			continue
		}
		n := 0
		for _, o := range j.workers {
			if o == w {
				n++
			}
		}
		f := p.ensureFootprint(c, w)
		f.amount = f.amount.max(j.perTask.times(n))
	}
}

// uncharge releases a gang from its cell, which makes the gang a borrower; the cell keeps its
// placement.
func (p *Policy) uncharge(j *job) {
	c := j.cell
	if c == nil {
		return
	}
	j.cell = nil
	p.assignCell(c, c.placement, nil)
	if j.placed() {
		j.team.borrowed = j.team.borrowed.plus(j.perTask.times(j.spec.Shape.Tasks))
	}
	if !p.cellUsable(c) || p.hasShortage {
		p.needsRepair = true
	}
}

// tasksPerSlot returns how many tasks of the job share one task slot of the cell, or 0 if the job
// does not match the cell.
func (c *cell) tasksPerSlot(j *job) int {
	s := j.spec.Shape
	switch {
	case s.SameRack && !c.shape.SameRack && c.shape.Tasks > 1:
		return 0
	case !c.withinDataCentresOf(j):
		return 0
	}
	k := j.perTask.countIn(c.perTask, s.Tasks)
	if k == 0 || (s.Tasks+k-1)/k > c.shape.Tasks || !c.adequatelyFilledBy(j) {
		return 0
	}
	return k
}

// adequatelyFilledBy reports whether the job uses at least half of the shape, so that a small job
// does not occupy a large guarantee of its team.
func (c *cell) adequatelyFilledBy(j *job) bool { return c.fillRatio(j) >= 0.5 }

// withinDataCentresOf reports whether the job may run in every data centre in which the cell may be
// placed.
func (c *cell) withinDataCentresOf(j *job) bool {
	if len(j.spec.DataCentres) == 0 {
		return true
	}
	if len(c.dcs) == 0 {
		return false
	}
	for _, dc := range c.dcs {
		if !slices.Contains(j.spec.DataCentres, dc) {
			return false
		}
	}
	return true
}

// cellUsable reports whether the cell has a placement and all workers of it are usable.
func (p *Policy) cellUsable(c *cell) bool {
	if len(c.placement) == 0 {
		return false
	}
	for _, w := range c.placement {
		if !p.usable(w) {
			return false
		}
	}
	return true
}
