package place

import (
	"fmt"
	"slices"

	"turmericroute/config"
	"turmericroute/model"
)

// cell is the reservation of one guaranteed shape. Every cell, used or not,
// keeps a position at its full size, and all positions fit together in the
// usable workers. So a cell that its gang leaves is at once available again,
// and the guarantee invariant holds without a search at each placement.
type cell struct {
	team      *team
	guarantee int
	shape     model.Shape
	per       amount
	dcs       []string // where the cell may be; nil means everywhere
	pos       []*worker
	occupant  *job
	foot      []footprint
}

// footprint is what a cell takes of one worker.
type footprint struct {
	w *worker
	a amount
}

// key identifies cells that are interchangeable.
func (c *cell) key() string {
	return fmt.Sprintf("%s/%+v/%v", c.team.name, c.shape, c.dcs)
}

// cellsOf expands the guarantees of a configuration, in the order in which they are served.
func cellsOf(cfg config.Config, teamOf func(string) *team) []*cell {
	var cells []*cell
	for _, t := range cfg.Teams {
		for gi, g := range t.Guarantees {
			dcs, ok := intersect(t.DataCentres, g.DataCentres)
			if !ok {
				dcs = []string{""}
			}
			for range max(1, g.Count) {
				cells = append(cells, &cell{
					team: teamOf(t.Name), guarantee: gi, shape: g.Shape, per: perTask(g.Shape), dcs: dcs,
				})
			}
		}
	}
	return cells
}

// intersect returns the data centres in both lists, where an empty list means all; false when there is none.
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

// setCells replaces the cells after a configuration change; unchanged ones keep position and gang.
func (p *Policy) setCells() {
	old := map[string][]*cell{}
	for _, c := range p.cells {
		old[c.key()] = append(old[c.key()], c)
	}
	for _, t := range p.teams {
		t.cells = nil
	}
	p.cells = cellsOf(p.ops, p.team)
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
				p.dropClaim(j)
				p.uncharge(j)
			}
			p.setCell(c, nil, nil)
		}
	}
}

// setCell moves a cell and keeps the workers' reserved amounts.
func (p *Policy) setCell(c *cell, pos []*worker, occupant *job) {
	for _, f := range c.foot {
		f.w.reserved = f.w.reserved.minus(f.a)
		if c.occupant != nil {
			f.w.pinned = f.w.pinned.minus(f.a)
		}
	}
	c.pos, c.occupant = pos, occupant
	c.foot = c.foot[:0]
	p.stamp++
	for _, w := range pos {
		f := p.footOf(c, w)
		f.a = f.a.plus(c.per)
	}
	if occupant != nil && occupant.placed() {
		p.addOccupant(c, occupant)
	}
	for _, f := range c.foot {
		f.w.reserved = f.w.reserved.plus(f.a)
		if occupant != nil {
			f.w.pinned = f.w.pinned.plus(f.a)
		}
	}
}

// footOf returns the cell's footprint on w, adding one that is not there in this stamp.
func (p *Policy) footOf(c *cell, w *worker) *footprint {
	if w.stamp != p.stamp {
		w.stamp, w.slot = p.stamp, len(c.foot)
		c.foot = append(c.foot, footprint{w: w})
	}
	return &c.foot[w.slot]
}

// addOccupant widens the footprint where the gang runs outside the position, as on a drained worker.
func (p *Policy) addOccupant(c *cell, j *job) {
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
		f := p.footOf(c, w)
		f.a = f.a.max(j.per.times(n))
	}
}

// uncharge makes a gang a borrower; the cell keeps its position.
func (p *Policy) uncharge(j *job) {
	c := j.cell
	if c == nil {
		return
	}
	j.cell = nil
	p.setCell(c, c.pos, nil)
	if j.placed() {
		j.team.beyond = j.team.beyond.plus(j.per.times(j.spec.Shape.Tasks))
	}
	if !p.sound(c) || p.short {
		p.repack = true
	}
}

// perSlot returns how many tasks of the job share one task slot of the cell; 0 when it does not match.
func (c *cell) perSlot(j *job) int {
	s := j.spec.Shape
	switch {
	case s.SameRack && !c.shape.SameRack && c.shape.Tasks > 1:
		return 0
	case !c.within(j):
		return 0
	}
	k := j.per.into(c.per, s.Tasks)
	if k == 0 || (s.Tasks+k-1)/k > c.shape.Tasks || !c.worthwhile(j) {
		return 0
	}
	return k
}

// worthwhile reports whether the job uses at least half of the shape, so that
// a small job does not take a large guarantee out of its team's reach.
func (c *cell) worthwhile(j *job) bool { return c.part(j) >= 0.5 }

// within reports whether the job may run wherever the cell may be.
func (c *cell) within(j *job) bool {
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

// sound reports whether the whole position is on workers where tasks may start.
func (p *Policy) sound(c *cell) bool {
	if len(c.pos) == 0 {
		return false
	}
	for _, w := range c.pos {
		if !p.usable(w) {
			return false
		}
	}
	return true
}
