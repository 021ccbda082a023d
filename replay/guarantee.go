package replay

import (
	"turmericroute/config"
	"turmericroute/model"
	"turmericroute/place"
)

// graceSeconds is how long a job within its guarantee may wait before the
// guarantee counts as broken: a lease, and the time of a reclaim after it.
const graceSeconds = leaseSeconds + 2.1

// guaranteeKey is one kind of guaranteed shape.
type guaranteeKey struct {
	team  string
	shape model.Shape
}

// guaranteeState says how much of a guaranteed shape its team uses.
type guaranteeState struct {
	guaranteed int
	running    int     // running gangs of the shape, or urgent ones within it
	belowSince float64 // when used last fell below count
	waiting    map[*run]bool
	shortageAt float64 // when the scheduler last reported a shortage
}

// guaranteeTracker finds jobs of a guaranteed shape that wait although their team
// does not use the shape. Times at which a data centre is away or has just
// returned do not count: then the declared guaranteeTracker need not fit and starts
// are bounded. Nor do times at which the scheduler reports that the shape does
// not fit on the workers that are left; these are summed up.
type guaranteeTracker struct {
	states   map[guaranteeKey]*guaranteeState
	byTeam   map[string][]guaranteeKey
	excluded [][2]float64
	broken   map[*run]bool
	// shortageSeconds sums the times of reported shortages over the missing shapes.
	shortageSeconds float64
}

func newGuaranteeTracker(cfg config.Config, excluded [][2]float64) *guaranteeTracker {
	g := &guaranteeTracker{states: map[guaranteeKey]*guaranteeState{}, byTeam: map[string][]guaranteeKey{}, excluded: excluded, broken: map[*run]bool{}}
	for _, t := range cfg.Teams {
		for _, gr := range t.Guarantees {
			u := guaranteeKey{t.Name, gr.Shape}
			if g.states[u] == nil {
				g.states[u] = &guaranteeState{waiting: map[*run]bool{}}
				g.byTeam[t.Name] = append(g.byTeam[t.Name], u)
			}
			g.states[u].guaranteed += max(1, gr.Count)
		}
	}
	return g
}

// countingStates returns the guaranteed shapes that a running gang counts against.
func (g *guaranteeTracker) countingStates(r *run) []*guaranteeState {
	var us []*guaranteeState
	for _, u := range g.byTeam[r.spec.Team] {
		if r.spec.Shape == u.shape || r.spec.Urgent && fitsWithin(r.spec.Shape, u.shape) {
			us = append(us, g.states[u])
		}
	}
	return us
}

// fitsWithin reports whether a gang could run in a guaranteed shape.
func fitsWithin(gang, guaranteed model.Shape) bool {
	perGuaranteedTask := fittingTasks(model.Resources{GPUs: guaranteed.GPUs, Cores: guaranteed.Cores, MemoryMB: guaranteed.MemoryMB}, gang)
	return perGuaranteedTask > 0 && (gang.Tasks+perGuaranteedTask-1)/perGuaranteedTask <= guaranteed.Tasks && (guaranteed.SameRack || !gang.SameRack)
}

func (g *guaranteeTracker) stateFor(r *run) *guaranteeState {
	return g.states[guaranteeKey{r.spec.Team, r.spec.Shape}]
}

func (g *guaranteeTracker) recordWait(r *run) {
	if u := g.stateFor(r); u != nil {
		u.waiting[r] = true
	}
}

// markIfBroken counts a run as broken that waits beyond the grace for a shape not in use.
func (g *guaranteeTracker) markIfBroken(u *guaranteeState, r *run, now float64) {
	from := max(r.waitingSince, u.belowSince, u.shortageAt)
	for _, interval := range g.excluded {
		switch {
		case now >= interval[0] && now < interval[1]:
			return
		case now >= interval[1]:
			from = max(from, interval[1])
		}
	}
	if u.running < u.guaranteed && now-from > graceSeconds {
		g.broken[r] = true
	}
}

// recordShortages notes the shortages that the scheduler reports.
func (g *guaranteeTracker) recordShortages(list []place.Shortage, now float64) {
	for _, s := range list {
		if u := g.states[guaranteeKey{s.Team, s.Shape}]; u != nil {
			u.shortageAt = now
			g.shortageSeconds += tickIntervalSeconds * float64(s.Missing)
		}
	}
}

func (g *guaranteeTracker) recordStart(r *run, now float64) {
	g.removeWaiting(r, now)
	for _, u := range g.countingStates(r) {
		if u.running+1 == u.guaranteed {
			for waiting := range u.waiting {
				g.markIfBroken(u, waiting, now)
			}
		}
		u.running++
	}
}

// removeWaiting takes a run out of the waiting ones.
func (g *guaranteeTracker) removeWaiting(r *run, now float64) {
	if u := g.stateFor(r); u != nil {
		g.markIfBroken(u, r, now)
		delete(u.waiting, r)
	}
}

func (g *guaranteeTracker) recordRelease(r *run, now float64) {
	for _, u := range g.countingStates(r) {
		if u.running == u.guaranteed {
			u.belowSince = now
		}
		u.running--
	}
}

func (g *guaranteeTracker) brokenCount() int { return len(g.broken) }
