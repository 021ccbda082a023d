package replay

import (
	"turmericroute/config"
	"turmericroute/model"
	"turmericroute/place"
)

// graceSeconds is how long a job within its guarantee may wait before the
// guarantee counts as broken: a lease, and the time of a reclaim after it.
const graceSeconds = leaseSeconds + 2.1

// unit is one kind of guaranteed shape.
type unit struct {
	team  string
	shape model.Shape
}

// unitState says how much of a guaranteed shape its team uses.
type unitState struct {
	count   int
	used    int     // running gangs of the shape, or urgent ones within it
	since   float64 // when used last fell below count
	waiting map[*run]bool
	short   float64 // when the scheduler last reported a shortage
}

// guarantees finds jobs of a guaranteed shape that wait although their team
// does not use the shape. Times at which a data centre is away or has just
// returned do not count: then the declared guarantees need not fit and starts
// are bounded. Nor do times at which the scheduler reports that the shape does
// not fit on the workers that are left; these are summed up.
type guarantees struct {
	units  map[unit]*unitState
	teams  map[string][]unit
	away   [][2]float64
	broken map[*run]bool
	// shortSeconds sums the times of reported shortages over the missing shapes.
	shortSeconds float64
}

func newGuarantees(cfg config.Config, away [][2]float64) *guarantees {
	g := &guarantees{units: map[unit]*unitState{}, teams: map[string][]unit{}, away: away, broken: map[*run]bool{}}
	for _, t := range cfg.Teams {
		for _, gr := range t.Guarantees {
			u := unit{t.Name, gr.Shape}
			if g.units[u] == nil {
				g.units[u] = &unitState{waiting: map[*run]bool{}}
				g.teams[t.Name] = append(g.teams[t.Name], u)
			}
			g.units[u].count += max(1, gr.Count)
		}
	}
	return g
}

// uses returns the guaranteed shapes that a running gang counts against.
func (g *guarantees) uses(r *run) []*unitState {
	var us []*unitState
	for _, u := range g.teams[r.spec.Team] {
		if r.spec.Shape == u.shape || r.spec.Urgent && within(r.spec.Shape, u.shape) {
			us = append(us, g.units[u])
		}
	}
	return us
}

// within reports whether a gang could run in a guaranteed shape.
func within(s, g model.Shape) bool {
	per := times(model.Resources{GPUs: g.GPUs, Cores: g.Cores, MemoryMB: g.MemoryMB}, s)
	return per > 0 && (s.Tasks+per-1)/per <= g.Tasks && (g.SameRack || !s.SameRack)
}

func (g *guarantees) of(r *run) *unitState { return g.units[unit{r.spec.Team, r.spec.Shape}] }

func (g *guarantees) waits(r *run) {
	if u := g.of(r); u != nil {
		u.waiting[r] = true
	}
}

// check counts a run as broken that waits beyond the grace for a shape not in use.
func (g *guarantees) check(u *unitState, r *run, now float64) {
	from := max(r.waitSince, u.since, u.short)
	for _, a := range g.away {
		switch {
		case now >= a[0] && now < a[1]:
			return
		case now >= a[1]:
			from = max(from, a[1])
		}
	}
	if u.used < u.count && now-from > graceSeconds {
		g.broken[r] = true
	}
}

// reported notes the shortages that the scheduler reports.
func (g *guarantees) reported(list []place.Shortage, now float64) {
	for _, s := range list {
		if u := g.units[unit{s.Team, s.Shape}]; u != nil {
			u.short = now
			g.shortSeconds += tickSeconds * float64(s.Missing)
		}
	}
}

func (g *guarantees) started(r *run, now float64) {
	g.dropped(r, now)
	for _, u := range g.uses(r) {
		if u.used+1 == u.count {
			for o := range u.waiting {
				g.check(u, o, now)
			}
		}
		u.used++
	}
}

// dropped takes a run out of the waiting ones.
func (g *guarantees) dropped(r *run, now float64) {
	if u := g.of(r); u != nil {
		g.check(u, r, now)
		delete(u.waiting, r)
	}
}

func (g *guarantees) left(r *run, now float64) {
	for _, u := range g.uses(r) {
		if u.used == u.count {
			u.since = now
		}
		u.used--
	}
}

func (g *guarantees) count() int { return len(g.broken) }
