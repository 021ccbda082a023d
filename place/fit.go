package place

import (
	"cmp"
	"slices"
)

// cand is a worker that can take n tasks; lower ranks are taken first.
type cand struct {
	w    *worker
	n    int
	rank int
}

// group is the run of candidates of one rack.
type group struct {
	from, to int
	tasks    int
	score    int
}

// cpuOnGPUWorker ranks workers with accelerators behind all others for tasks that use none.
const cpuOnGPUWorker = 1 << 40

// rankOf prefers the tightest worker, and for tasks without accelerators those without free ones.
func rankOf(per, room amount, w *worker) int {
	switch {
	case per.gpus > 0:
		return room.gpus<<20 + room.cores
	case w.cap.gpus > 0:
		return cpuOnGPUWorker + max(0, room.gpus)<<20 + room.cores
	default:
		return room.cores
	}
}

// choose picks the workers of a gang among p.cands, which are in rack order;
// nil when they do not hold it. The tightest rack that holds the whole gang is
// preferred, then the racks with the least left, so that empty racks stay whole.
func (p *Policy) choose(tasks int, sameRack, scatter bool) []*worker {
	p.groupByRack()
	var best *group
	total := 0
	for i := range p.groups {
		g := &p.groups[i]
		total += g.tasks
		if g.tasks >= tasks && (best == nil || g.score < best.score) {
			best = g
		}
	}
	place := make([]*worker, 0, tasks)
	switch {
	case best != nil && (sameRack || !scatter):
		return p.take(place, *best, tasks)
	case sameRack && tasks > 1 || total < tasks:
		return nil
	}
	slices.SortStableFunc(p.groups, func(a, b group) int { return cmp.Compare(a.score, b.score) })
	for _, g := range p.groups {
		place = p.take(place, g, tasks)
		if len(place) == tasks {
			return place
		}
	}
	return nil
}

func (p *Policy) groupByRack() {
	p.groups = p.groups[:0]
	for i, c := range p.cands {
		if i == 0 || p.cands[i-1].w.rack != c.w.rack {
			p.groups = append(p.groups, group{from: i})
		}
		g := &p.groups[len(p.groups)-1]
		g.to = i + 1
		g.tasks += c.n
		g.score += c.rank
	}
}

// take appends tasks of the rack's candidates, lowest rank first, up to the gang's size.
func (p *Policy) take(place []*worker, g group, tasks int) []*worker {
	cs := p.cands[g.from:g.to]
	slices.SortStableFunc(cs, func(a, b cand) int { return cmp.Compare(a.rank, b.rank) })
	for _, c := range cs {
		for range c.n {
			if len(place) == tasks {
				return place
			}
			place = append(place, c.w)
		}
	}
	return place
}

// findFree returns a place in free resources for a job beyond its guarantee, or nil.
func (p *Policy) findFree(j *job) []*worker {
	need := j.team.learned.need(j.per)
	if pos := p.findRoom(j, need, true); pos != nil {
		return pos
	}
	return p.findRoom(j, need, false)
}

// findRoom looks for room, at first outside unused cells, where a reclaim is less likely.
func (p *Policy) findRoom(j *job, need amount, outside bool) []*worker {
	p.cands = p.cands[:0]
	tasks := j.spec.Shape.Tasks
	for _, r := range p.order {
		if !j.allowed(r.id.dc) || !p.mayStart(r.dc) || r == p.avoidRack || !j.per.fits(p.mostFree(r)) {
			continue
		}
		for _, w := range r.workers {
			if !p.usable(w) {
				continue
			}
			room := w.free()
			if j.per.gpus == 0 && w.cap.gpus > 0 && !p.starving(j) {
				room = room.min(p.besideGPUs(w))
			}
			if w.shadow != nil && w.shadow.job != j {
				room = room.min(p.besideShadow(w, j))
			}
			n := j.per.into(room, tasks)
			if n == 0 {
				continue
			}
			soft := room.minus(w.extra)
			if outside {
				soft = soft.minus(w.reserved.minus(w.pinned))
			}
			if need != j.per || w.extra != (amount{}) || outside {
				n = min(n, need.min(w.cap).into(soft, tasks))
			}
			if n > 0 && !slices.Contains(j.avoid, w) {
				p.cands = append(p.cands, cand{w: w, n: n, rank: rankOf(j.per, room, w)})
			}
		}
	}
	return p.choose(tasks, j.spec.Shape.SameRack, false)
}

// besideGPUs returns the cores and memory of a worker that its free
// accelerators do not need, so that tasks without accelerators do not make
// accelerators unusable.
func (p *Policy) besideGPUs(w *worker) amount {
	free := w.free()
	return free.minus(amount{0, p.perGPU.cores, p.perGPU.mem}.times(max(0, free.gpus)))
}

// starving reports whether a job has waited longer than the bound after which it gets a reservation.
func (p *Policy) starving(j *job) bool { return p.now.Sub(j.waitFrom) >= p.cfg.ReserveAfter }

// mostFree returns the most of each resource that is free on one worker of the rack.
func (p *Policy) mostFree(r *rack) amount {
	if r.freeRound != p.round {
		r.mostFree, r.freeRound = amount{}, p.round
		for _, w := range r.workers {
			if p.usable(w) {
				r.mostFree = r.mostFree.max(w.free())
			}
		}
	}
	return r.mostFree
}
