package place

import (
	"cmp"
	"slices"
)

// plan is one way to free a place for a job within its guarantee.
type plan struct {
	pos     []*worker
	victims []*job
	cost    float64
}

// reclaim preempts the borrowers that lose the least work so that j can start in cell c.
func (p *Policy) reclaim(ds []Decision, j *job, c *cell) ([]Decision, bool) {
	ds, ok := p.tryReclaim(ds, j, c)
	if !ok && p.dropBorrowerClaims() {
		ds, ok = p.tryReclaim(ds, j, c)
	}
	return ds, ok
}

func (p *Policy) tryReclaim(ds []Decision, j *job, c *cell) ([]Decision, bool) {
	// Gangs that stop on workers that do not answer leave only when their lease ends.
	for _, slow := range []bool{false, true} {
		own, ok := p.ownVictims(j)
		if !ok {
			j.why = "the team's quota of accelerators is in use by its guaranteed jobs"
			return ds, false
		}
		plans := p.plans(j, c, own, slow)
		for len(plans) > 0 && p.protectAny(plans[0].victims, c) {
			if own, ok = p.ownVictims(j); !ok {
				break
			}
			plans = p.plans(j, c, own, slow)
		}
		for _, pl := range plans {
			if !p.tryCharge(j, c, pl.pos) {
				continue
			}
			p.hold(j, c.inside(j), pl.victims)
			j.claim.slow = slow || j.patient
			for _, v := range pl.victims {
				ds = p.preempt(ds, v, j.id(), "reclaimed for the guarantee of team "+j.team.name)
			}
			j.why = "its place is being freed"
			if p.claimFree(j) {
				ds = p.startClaimed(ds, j)
			}
			return ds, true
		}
	}
	j.why = "the guaranteed shape finds no place to reclaim"
	return ds, false
}

// protectAny charges those of some borrowers whose team has an unused cell for them.
func (p *Policy) protectAny(victims []*job, except *cell) bool {
	found := false
	for _, v := range victims {
		found = p.protect(v, except) || found
	}
	return found
}

// plans returns the ways to free a place for the cell, cheapest first.
func (p *Policy) plans(j *job, c *cell, own []*job, slow bool) []plan {
	var plans []plan
	for _, moveOthers := range []bool{false, true} {
		o := planOptions{moveOthers: moveOthers, slow: slow, own: own}
		if !c.shape.SameRack {
			plans = p.addPlan(plans, c, j, o)
			continue
		}
		for _, r := range p.order {
			if allows(c.dcs, r.id.dc) {
				o.only = r
				plans = p.addPlan(plans, c, j, o)
			}
		}
	}
	slices.SortStableFunc(plans, func(a, b plan) int { return cmp.Compare(a.cost, b.cost) })
	return plans
}

// planOptions bound the search for a plan.
type planOptions struct {
	moveOthers bool  // other unused cells may move
	slow       bool  // gangs that leave only when their lease ends count as leaving
	only       *rack // nil means anywhere
	own        []*job
}

// ownVictims returns borrowers of the job's own team that must stop for its quota.
func (p *Policy) ownVictims(j *job) ([]*job, bool) {
	over := j.team.overQuota(j.spec.Shape.TotalGPUs())
	var own, moving []*job
	for _, v := range j.team.running {
		switch {
		case v.state == jobStopping:
			over -= v.spec.Shape.TotalGPUs()
			if v.claim != nil {
				moving = append(moving, v)
			}
		case p.borrows(v) && v.per.gpus > 0:
			own = append(own, v)
		}
	}
	slices.SortStableFunc(own, func(a, b *job) int { return cmp.Compare(a.lost(p.total), b.lost(p.total)) })
	// A gang that moves would take up the quota again.
	for _, v := range moving {
		if over+v.spec.Shape.TotalGPUs() > 0 {
			p.dropClaim(v)
		}
	}
	n := 0
	for ; over > 0 && n < len(own); n++ {
		over -= own[n].spec.Shape.TotalGPUs()
	}
	return own[:n], over <= 0
}

// borrows reports whether a gang may be stopped for another team's guarantee.
func (p *Policy) borrows(j *job) bool {
	return j.cell == nil && (j.state == jobRunning || j.state == jobStarting) && responsive(j)
}

// scope is the part of the site in which a plan looks for victims.
type scope struct {
	p       *Policy
	workers []*worker
	room    []int    // cell slots that each worker may take, by worker index
	freed   []amount // by worker index
	use     amount   // of the job in one slot
	slots   int
	// eligible says which gangs may be stopped.
	eligible func(*job) bool
}

// addPlan appends the cheapest plan found.
func (p *Policy) addPlan(plans []plan, c *cell, j *job, o planOptions) []plan {
	s := p.newScope(c, j, o)
	if s == nil {
		return plans
	}
	chosen, ok := s.choose(o.own)
	if !ok {
		return plans
	}
	pos := p.cellPosition(c, j, o.moveOthers, o.only, s.freed)
	if pos == nil {
		return plans
	}
	pl := plan{pos: pos, victims: chosen}
	for _, v := range chosen {
		pl.cost += p.lossOf(v)
	}
	return append(plans, pl)
}

// newScope returns the workers that may take slots of the cell; nil when too few.
func (p *Policy) newScope(c *cell, j *job, o planOptions) *scope {
	k := c.perSlot(j)
	n := j.spec.Shape.Tasks
	s := &scope{
		p: p, slots: (n + k - 1) / k, use: j.per.times(min(k, n)),
		room: make([]int, len(p.list)), freed: make([]amount, len(p.list)), eligible: p.borrows,
	}
	total := 0
	for _, r := range p.order {
		if !allows(c.dcs, r.id.dc) || o.only != nil && r != o.only {
			continue
		}
		for _, w := range r.workers {
			if !p.usable(w) {
				continue
			}
			if n := c.per.into(p.cellRoom(c, w, o.moveOthers), c.shape.Tasks); n > 0 {
				s.room[w.index] = n
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
			if g.state == jobStopping && (o.slow || responsive(g)) {
				s.freed[w.index] = s.freed[w.index].plus(g.per.times(g.tasksOn(w)))
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

// choose returns the gangs to stop, the given ones first; false when all together do not free enough.
func (s *scope) choose(own []*job) ([]*job, bool) {
	chosen := slices.Clone(own)
	for _, v := range own {
		s.free(v, 1)
	}
	for _, v := range s.candidates(own) {
		if s.enough() {
			break
		}
		s.free(v, 1)
		chosen = append(chosen, v)
	}
	if !s.enough() {
		return nil, false
	}
	return s.prune(chosen, len(own)), true
}

func (s *scope) free(v *job, sign int) {
	for _, w := range v.workers {
		s.freed[w.index] = s.freed[w.index].plus(v.per.times(sign))
	}
}

func (s *scope) slotsOn(w *worker) int {
	return min(s.room[w.index], s.use.into(w.free().plus(s.freed[w.index]), s.slots))
}

func (s *scope) enough() bool {
	n := 0
	for _, w := range s.workers {
		if n += s.slotsOn(w); n >= s.slots {
			return true
		}
	}
	return false
}

// candidates returns the borrowers in scope, least loss for the room that they give first.
func (s *scope) candidates(except []*job) []*job {
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
			if gain := s.gain(v); gain > 0 {
				options = append(options, option{v, s.p.lossOf(v) / gain})
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

// gain returns how many slots the gang's resources in scope are worth.
func (s *scope) gain(v *job) float64 {
	g := 0.0
	for _, w := range v.workers {
		if s.room[w.index] > 0 {
			g += v.per.min(s.use).share(s.use)
		}
	}
	return g
}

// prune drops the victims that are not needed, the costliest first, but keeps the first ones.
func (s *scope) prune(chosen []*job, keep int) []*job {
	order := slices.Clone(chosen[keep:])
	slices.SortStableFunc(order, func(a, b *job) int { return cmp.Compare(s.p.lossOf(b), s.p.lossOf(a)) })
	for _, v := range order {
		s.free(v, -1)
		if s.enough() {
			chosen = slices.DeleteFunc(chosen, func(o *job) bool { return o == v })
		} else {
			s.free(v, 1)
		}
	}
	return chosen
}

// lossOf returns the work lost by stopping a gang, with a charge for its
// restart, which is high for gangs that need much of one rack.
func (p *Policy) lossOf(v *job) float64 {
	seconds := float64(restartSeconds)
	if s := v.spec.Shape; s.SameRack && s.Tasks > 1 {
		seconds += rackWaitSeconds * min(1, float64(s.TotalGPUs())/float64(max(1, p.largestRack)))
	}
	return p.lossFactor*v.lost(p.total) + float64(v.spec.Shape.Tasks)*seconds*v.per.share(p.total)
}
