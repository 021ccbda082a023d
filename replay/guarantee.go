package replay

import (
	"turmericroute/config"
	"turmericroute/model"
	"turmericroute/place"
)

// graceSeconds is how long a job within its team's guarantee may wait before
// the guarantee counts as broken: a lease, then the time of a reclaim.
const graceSeconds = leaseSeconds + 2.1

// guaranteeKey identifies a guaranteed shape of a team.
type guaranteeKey struct {
	team  string
	shape model.Shape
}

// guaranteeState records how much of a guaranteed shape its team uses.
type guaranteeState struct {
	guaranteed int           // number of gangs guaranteed
	running    int           // running gangs of the shape, or urgent gangs that fit within it
	belowSince float64       // virtual second at which running last fell below guaranteed
	waiting    map[*run]bool // waiting runs of exactly this shape
	shortageAt float64       // virtual second at which the scheduler last reported a shortage
}

// guaranteeTracker finds jobs of a guaranteed shape that wait although their
// team uses less than its guarantee. It excludes the time while a data centre is
// out of service and shortly after its return, when the declared guarantees need
// not fit and the rate of starts is bounded. It also excludes the time in which
// the scheduler reports that the shape does not fit on the remaining workers, and
// sums that time separately.
type guaranteeTracker struct {
	states   map[guaranteeKey]*guaranteeState
	byTeam   map[string][]guaranteeKey
	excluded [][2]float64  // intervals [start, end) in virtual seconds
	broken   map[*run]bool // runs whose guarantee was broken
	// shortageSeconds is the duration of reported shortages, summed over the missing shapes.
	shortageSeconds float64
}

// newGuaranteeTracker returns a tracker for the guarantees of a configuration.
func newGuaranteeTracker(cfg config.Config, excluded [][2]float64) *guaranteeTracker {
	g := &guaranteeTracker{states: map[guaranteeKey]*guaranteeState{}, byTeam: map[string][]guaranteeKey{}, excluded: excluded, broken: map[*run]bool{}}
	for _, t := range cfg.Teams {
		for _, guarantee := range t.Guarantees {
			key := guaranteeKey{t.Name, guarantee.Shape}
			if g.states[key] == nil {
				g.states[key] = &guaranteeState{waiting: map[*run]bool{}}
				g.byTeam[t.Name] = append(g.byTeam[t.Name], key)
			}
			g.states[key].guaranteed += max(1, guarantee.Count)
		}
	}
	return g
}

// matchingStates returns the states of the guaranteed shapes that a running gang counts against.
func (g *guaranteeTracker) matchingStates(r *run) []*guaranteeState {
	var states []*guaranteeState
	for _, key := range g.byTeam[r.spec.Team] {
		if r.spec.Shape == key.shape || r.spec.Urgent && fitsWithin(r.spec.Shape, key.shape) {
			states = append(states, g.states[key])
		}
	}
	return states
}

// fitsWithin reports whether a gang fits into the resources of a guaranteed shape.
func fitsWithin(gang, guaranteed model.Shape) bool {
	perGuaranteedTask := fittingTasks(model.Resources{GPUs: guaranteed.GPUs, Cores: guaranteed.Cores, MemoryMB: guaranteed.MemoryMB}, gang)
	return perGuaranteedTask > 0 && (gang.Tasks+perGuaranteedTask-1)/perGuaranteedTask <= guaranteed.Tasks && (guaranteed.SameRack || !gang.SameRack)
}

// stateFor returns the state of the run's own shape, or nil if the shape is not guaranteed.
func (g *guaranteeTracker) stateFor(r *run) *guaranteeState {
	return g.states[guaranteeKey{r.spec.Team, r.spec.Shape}]
}

// recordWait adds a run to the waiting runs of its shape.
func (g *guaranteeTracker) recordWait(r *run) {
	if state := g.stateFor(r); state != nil {
		state.waiting[r] = true
	}
}

// markIfBroken marks the guarantee of a waiting run as broken if the run has
// waited longer than graceSeconds while fewer gangs ran than are guaranteed.
func (g *guaranteeTracker) markIfBroken(state *guaranteeState, r *run, now float64) {
	from := max(r.waitingSince, state.belowSince, state.shortageAt)
	for _, interval := range g.excluded {
		switch {
		case now >= interval[0] && now < interval[1]:
			return
		case now >= interval[1]:
			from = max(from, interval[1])
		}
	}
	if state.running < state.guaranteed && now-from > graceSeconds {
		g.broken[r] = true
	}
}

// recordShortages records the shortages that the scheduler reports at a tick.
func (g *guaranteeTracker) recordShortages(shortages []place.Shortage, now float64) {
	for _, s := range shortages {
		if state := g.states[guaranteeKey{s.Team, s.Shape}]; state != nil {
			state.shortageAt = now
			g.shortageSeconds += tickIntervalSeconds * float64(s.Missing)
		}
	}
}

// recordStart counts a started run against its guarantees. It first checks the
// waiting runs of a guarantee that the start uses up.
func (g *guaranteeTracker) recordStart(r *run, now float64) {
	g.removeWaiting(r, now)
	for _, state := range g.matchingStates(r) {
		if state.running+1 == state.guaranteed {
			for waiting := range state.waiting {
				g.markIfBroken(state, waiting, now)
			}
		}
		state.running++
	}
}

// removeWaiting checks a waiting run and removes it from the waiting runs of its shape.
func (g *guaranteeTracker) removeWaiting(r *run, now float64) {
	if state := g.stateFor(r); state != nil {
		g.markIfBroken(state, r, now)
		delete(state.waiting, r)
	}
}

// recordRelease stops counting a run that has released its workers.
func (g *guaranteeTracker) recordRelease(r *run, now float64) {
	for _, state := range g.matchingStates(r) {
		if state.running == state.guaranteed {
			state.belowSince = now
		}
		state.running--
	}
}

// brokenCount returns the number of runs whose guarantee was broken.
func (g *guaranteeTracker) brokenCount() int { return len(g.broken) }
