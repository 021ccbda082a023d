package place

import (
	"cmp"
	"slices"
)

// packTrials bounds the orders in which a full repacking is tried.
const packTrials = 6

// sound reports whether the reservations of a worker are within its capacity.
func (w *worker) sound() bool { return w.reserved.fits(w.cap) }

// settle gives every cell a sound position again.
func (p *Policy) settle() {
	if p.repack {
		p.repack = false
		p.repair()
	}
}

// repair places the cells whose position is gone, in the order of the
// configuration; those that do not fit stay without a position and are
// reported as shortages.
func (p *Policy) repair() {
	p.searchLeft = p.searchSteps
	var broken []*cell
	for _, c := range p.cells {
		if !p.sound(c) || p.overloaded(c) {
			if c.occupant != nil && !c.occupant.placed() {
				p.dropClaim(c.occupant)
			}
			p.setCell(c, nil, c.occupant)
			broken = append(broken, c)
		}
	}
	failed := map[string]bool{}
	for _, c := range broken {
		if k := c.key(); !failed[k] && !p.placeCell(c) {
			failed[k] = true
		}
	}
	p.short = len(failed) > 0
}

// overloaded reports whether a worker of the position is reserved beyond its capacity.
func (p *Policy) overloaded(c *cell) bool {
	for _, w := range c.pos {
		if !w.sound() {
			return true
		}
	}
	return false
}

// placeCell finds a position for a cell, moving other unused cells when it must.
func (p *Policy) placeCell(c *cell) bool {
	if j := c.occupant; j != nil && j.placed() {
		if pos := p.positionAround(c, j); pos != nil && p.trySet(c, pos, j) {
			return true
		}
	}
	if pos := p.findPosition(c, false); pos != nil {
		p.setCell(c, pos, c.occupant)
		return true
	}
	return p.repackAll(c)
}

// findPosition returns the tightest position for a cell between the others.
func (p *Policy) findPosition(c *cell, scatter bool) []*worker {
	p.cands = p.cands[:0]
	for _, r := range p.order {
		if !allows(c.dcs, r.id.dc) {
			continue
		}
		for _, w := range r.workers {
			if !p.usable(w) {
				continue
			}
			room := w.cap.minus(w.reserved).plus(c.footOn(w))
			if n := c.per.into(room, c.shape.Tasks); n > 0 {
				p.cands = append(p.cands, cand{w: w, n: n, rank: rankOf(c.per, room, w)})
			}
		}
	}
	return p.choose(c.shape.Tasks, c.shape.SameRack, scatter)
}

// movable returns the placed cells that no gang uses.
func (p *Policy) movable() []*cell {
	var cells []*cell
	for _, c := range p.cells {
		if c.occupant == nil && c.pos != nil {
			cells = append(cells, c)
		}
	}
	return cells
}

// repackAll places extra and all unused cells anew; on failure everything stays as it was.
func (p *Policy) repackAll(extra ...*cell) bool {
	all := p.movable()
	old := positionsOf(all)
	for _, c := range extra {
		if !slices.Contains(all, c) {
			all = append(all, c)
		}
	}
	slices.SortStableFunc(all, harder)
	for trial := range packTrials {
		for _, c := range all {
			p.setCell(c, nil, c.occupant)
		}
		if p.placeInOrder(all, trial) {
			return true
		}
	}
	if p.searchAll(all) {
		return true
	}
	for _, c := range extra {
		p.setCell(c, nil, c.occupant)
	}
	p.restore(old)
	return false
}

const (
	// searchSteps bounds the exhaustive search for positions after one change,
	// which decides small sites exactly and costs a few milliseconds on others.
	searchSteps = 20000
	// decisionSteps is the bound within one decision.
	decisionSteps = 5000
	// checkSteps is the bound where a configuration is checked before it is accepted.
	checkSteps = 2000000
)

// searchAll places cells by exhaustive search, the hardest first.
func (p *Policy) searchAll(cells []*cell) bool {
	for _, c := range cells {
		p.setCell(c, nil, c.occupant)
	}
	var need, room amount
	for _, c := range cells {
		need = need.plus(c.per.times(c.shape.Tasks))
	}
	s := &search{p: p}
	for _, r := range p.order {
		for _, w := range r.workers {
			if p.usable(w) {
				s.workers = append(s.workers, w)
				room = room.plus(w.cap.minus(w.reserved))
			}
		}
	}
	if !need.fits(room) {
		return false
	}
	cells = slices.Clone(cells)
	slices.SortStableFunc(cells, harder)
	return s.place(cells)
}

type search struct {
	p       *Policy
	workers []*worker // in rack order
}

func (s *search) place(cells []*cell) bool {
	if len(cells) == 0 {
		return true
	}
	return s.tasks(cells, nil, 0)
}

// tasks extends the position of the first cell by workers from an index on.
func (s *search) tasks(cells []*cell, pos []*worker, from int) bool {
	if s.p.searchLeft--; s.p.searchLeft < 0 {
		return false
	}
	c := cells[0]
	if len(pos) == c.shape.Tasks {
		s.p.setCell(c, slices.Clone(pos), c.occupant)
		if s.place(cells[1:]) {
			return true
		}
		s.p.setCell(c, nil, c.occupant)
		return false
	}
	for i := from; i < len(s.workers); i++ {
		w := s.workers[i]
		if c.shape.SameRack && len(pos) > 0 && w.rack != pos[0].rack {
			return false
		}
		room := s.room(c, w, pos)
		if !allows(c.dcs, w.rack.id.dc) || !c.per.fits(room) ||
			i > from && s.workers[i-1].rack == w.rack && s.room(c, s.workers[i-1], pos) == room {
			continue // like the worker before it, which was tried
		}
		if s.tasks(cells, append(pos, w), i) {
			return true
		}
	}
	return false
}

func (s *search) room(c *cell, w *worker, pos []*worker) amount {
	room := w.cap.minus(w.reserved).plus(c.footOn(w))
	for _, o := range pos {
		if o == w {
			room = room.minus(c.per)
		}
	}
	return room
}

// position is where a cell was.
type position struct {
	c   *cell
	pos []*worker
}

func positionsOf(cells []*cell) []position {
	ps := make([]position, len(cells))
	for i, c := range cells {
		ps[i] = position{c, c.pos}
	}
	return ps
}

// restore puts unused cells back.
func (p *Policy) restore(ps []position) {
	for _, o := range ps {
		p.setCell(o.c, o.pos, nil)
	}
}

// placeInOrder places cells greedily; one that fails goes to the front in the next trial.
func (p *Policy) placeInOrder(cells []*cell, trial int) bool {
	for i, c := range cells {
		pos := p.findPosition(c, trial%2 == 1)
		if pos == nil {
			copy(cells[1:i+1], cells[:i])
			cells[0] = c
			if trial > 1 {
				j := p.rand.Intn(len(cells))
				cells[0], cells[j] = cells[j], cells[0]
			}
			return false
		}
		p.setCell(c, pos, c.occupant)
	}
	return true
}

// harder orders cells by how few places they have: one rack, large tasks, many tasks.
func harder(a, b *cell) int {
	rack := func(c *cell) int {
		if c.shape.SameRack && c.shape.Tasks > 1 {
			return 1
		}
		return 0
	}
	anywhere := func(c *cell) int {
		if len(c.dcs) == 0 {
			return 1 << 20
		}
		return len(c.dcs)
	}
	return cmp.Or(
		cmp.Compare(anywhere(a), anywhere(b)),
		cmp.Compare(rack(b), rack(a)),
		cmp.Compare(b.per.gpus, a.per.gpus),
		cmp.Compare(b.per.mem, a.per.mem),
		cmp.Compare(b.per.cores, a.per.cores),
		cmp.Compare(b.shape.Tasks, a.shape.Tasks),
	)
}

// footOn returns what the cell takes of a worker now.
func (c *cell) footOn(w *worker) amount {
	for _, f := range c.foot {
		if f.w == w {
			return f.a
		}
	}
	return amount{}
}

// tryCharge charges a gang to a cell at a position, if all other cells still fit.
func (p *Policy) tryCharge(j *job, c *cell, pos []*worker) bool {
	if !p.trySet(c, pos, j) {
		return false
	}
	j.cell = c
	if j.placed() {
		j.team.beyond = j.team.beyond.minus(j.per.times(j.spec.Shape.Tasks))
	}
	return true
}

// trySet moves a cell and moves unused cells out of the way; on failure
// everything stays as it was.
func (p *Policy) trySet(c *cell, pos []*worker, j *job) bool {
	oldPos, oldOccupant := c.pos, c.occupant
	p.setCell(c, pos, j)
	var moved []*cell
	for _, o := range p.cells {
		if o != c && o.occupant == nil && p.overloaded(o) {
			moved = append(moved, o)
		}
	}
	if len(moved) == 0 && !p.overloaded(c) {
		return true
	}
	old := positionsOf(moved)
	for _, o := range moved {
		p.setCell(o, nil, nil)
	}
	slices.SortStableFunc(moved, harder)
	if !p.overloaded(c) && (p.placeInOrder(slices.Clone(moved), 0) || p.replaceAll(moved)) {
		return true
	}
	for _, o := range moved {
		p.setCell(o, nil, nil)
	}
	p.setCell(c, oldPos, oldOccupant)
	p.restore(old)
	return false
}

func (p *Policy) replaceAll(moved []*cell) bool {
	for _, o := range moved {
		p.setCell(o, nil, nil)
	}
	return p.repackAll(moved...)
}

// protect charges a running borrower to an unused cell of its team, other than
// except, where it runs. Gangs are charged so late because a charged gang can
// no longer move.
func (p *Policy) protect(j *job, except *cell) bool {
	if j.cell != nil || j.state == jobStopping {
		return false
	}
	for _, c := range j.team.cells {
		if c == except || c.occupant != nil || c.pos == nil || c.perSlot(j) == 0 {
			continue
		}
		if pos := p.positionAround(c, j); pos != nil && p.tryCharge(j, c, pos) {
			return true
		}
	}
	return false
}

// positionAround returns a position of the cell that contains a placed gang, or nil.
func (p *Policy) positionAround(c *cell, j *job) []*worker {
	k := c.perSlot(j)
	count := map[*worker]int{}
	var pos []*worker
	for _, w := range j.workers {
		if !p.usable(w) || !allows(c.dcs, w.rack.dc.name) || c.shape.SameRack && w.rack != j.workers[0].rack {
			return nil
		}
		if count[w]%k == 0 {
			pos = append(pos, w)
		}
		count[w]++
	}
	if len(pos) > c.shape.Tasks {
		return nil
	}
	for _, w := range pos {
		if !c.per.times((count[w] + k - 1) / k).fits(w.cap.minus(w.pinned)) {
			return nil
		}
	}
	return p.completePosition(c, pos, true)
}

// completePosition adds the slots that a smaller gang leaves over.
func (p *Policy) completePosition(c *cell, pos []*worker, moveOthers bool) []*worker {
	rest := c.shape.Tasks - len(pos)
	if rest == 0 {
		return pos
	}
	p.cands = p.cands[:0]
	for _, r := range p.order {
		if !allows(c.dcs, r.id.dc) || c.shape.SameRack && len(pos) > 0 && r != pos[0].rack {
			continue
		}
		for _, w := range r.workers {
			if !p.usable(w) {
				continue
			}
			room := p.cellRoom(c, w, moveOthers)
			for _, o := range pos {
				if o == w {
					room = room.minus(c.per)
				}
			}
			if n := c.per.into(room, rest); n > 0 {
				p.cands = append(p.cands, cand{w: w, n: n, rank: rankOf(c.per, room, w)})
			}
		}
	}
	more := p.choose(rest, c.shape.SameRack, false)
	if more == nil {
		return nil
	}
	return append(pos, more...)
}
