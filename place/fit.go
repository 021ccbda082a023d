package place

import (
	"cmp"
	"slices"
)

// candidate is a worker that can take a number of tasks; lower ranks are preferred.
type candidate struct {
	worker *worker
	tasks  int
	rank   int
}

// rackGroup is the range of candidates that belong to one rack.
type rackGroup struct {
	from, to int
	tasks    int
	score    int
}

// gpuWorkerRankPenalty ranks workers with accelerators behind all others for tasks that use none.
const gpuWorkerRankPenalty = 1 << 40

// rankOf prefers the worker with the least room. For tasks without accelerators it prefers workers
// without accelerators, then those without free ones.
func rankOf(perTask, room amount, w *worker) int {
	switch {
	case perTask.gpus > 0:
		return room.gpus<<20 + room.cores
	case w.cap.gpus > 0:
		return gpuWorkerRankPenalty + max(0, room.gpus)<<20 + room.cores
	default:
		return room.cores
	}
}

// chooseWorkers picks the workers of a gang from p.candidates, which are in rack order, or returns
// nil if they cannot hold it. It prefers the tightest rack that holds the whole gang, then the
// racks with the least room, so that empty racks remain for gangs that need a whole one. With
// scatter, it uses a single rack only if sameRack requires it.
func (p *Policy) chooseWorkers(tasks int, sameRack, scatter bool) []*worker {
	p.groupByRack()
	var best *rackGroup
	total := 0
	for i := range p.groups {
		g := &p.groups[i]
		total += g.tasks
		if g.tasks >= tasks && (best == nil || g.score < best.score) {
			best = g
		}
	}
	placement := make([]*worker, 0, tasks)
	switch {
	case best != nil && (sameRack || !scatter):
		return p.appendWorkers(placement, *best, tasks)
	case sameRack && tasks > 1 || total < tasks:
		return nil
	}
	slices.SortStableFunc(p.groups, func(a, b rackGroup) int { return cmp.Compare(a.score, b.score) })
	for _, g := range p.groups {
		placement = p.appendWorkers(placement, g, tasks)
		if len(placement) == tasks {
			return placement
		}
	}
	return nil
}

// groupByRack sets p.groups to the racks of the candidates.
func (p *Policy) groupByRack() {
	p.groups = p.groups[:0]
	for i, c := range p.candidates {
		if i == 0 || p.candidates[i-1].worker.rack != c.worker.rack {
			p.groups = append(p.groups, rackGroup{from: i})
		}
		g := &p.groups[len(p.groups)-1]
		g.to = i + 1
		g.tasks += c.tasks
		g.score += c.rank
	}
}

// appendWorkers appends the workers of a rack's candidates, lowest rank first, up to the gang's
// size.
func (p *Policy) appendWorkers(placement []*worker, g rackGroup, tasks int) []*worker {
	cs := p.candidates[g.from:g.to]
	slices.SortStableFunc(cs, func(a, b candidate) int { return cmp.Compare(a.rank, b.rank) })
	for _, c := range cs {
		for range c.tasks {
			if len(placement) == tasks {
				return placement
			}
			placement = append(placement, c.worker)
		}
	}
	return placement
}

// findFreePlacement returns a placement in free resources for a job beyond its guarantee, or nil.
// It tries resources outside unused cells first.
func (p *Policy) findFreePlacement(j *job) []*worker {
	need := j.team.estimator.expectedUsage(j.perTask)
	if placement := p.findPlacement(j, need, true); placement != nil {
		return placement
	}
	return p.findPlacement(j, need, false)
}

// findPlacement searches free resources; with avoidCells it leaves out those of unused cells, which
// are more likely to be reclaimed.
func (p *Policy) findPlacement(j *job, need amount, avoidCells bool) []*worker {
	p.candidates = p.candidates[:0]
	tasks := j.spec.Shape.Tasks
	for _, r := range p.sortedRacks {
		if !j.allowed(r.id.dc) || !p.mayStart(r.dc) || r == p.excludedRack || !j.perTask.fits(p.maxFree(r)) {
			continue
		}
		for _, w := range r.workers {
			if !p.usable(w) {
				continue
			}
			room := w.free()
			if j.perTask.gpus == 0 && w.cap.gpus > 0 && !p.starving(j) {
				room = room.min(p.roomBesideGPUs(w))
			}
			if w.reservation != nil && w.reservation.job != j {
				room = room.min(p.backfillRoom(w, j))
			}
			n := j.perTask.countIn(room, tasks)
			if n == 0 {
				continue
			}
			preferred := room.minus(w.excessUse)
			if avoidCells {
				preferred = preferred.minus(w.cellReserved.minus(w.cellOccupied))
			}
			if need != j.perTask || w.excessUse != (amount{}) || avoidCells {
				n = min(n, need.min(w.cap).countIn(preferred, tasks))
			}
			if n > 0 && !slices.Contains(j.avoided, w) {
				p.candidates = append(p.candidates, candidate{worker: w, tasks: n, rank: rankOf(j.perTask, room, w)})
			}
		}
	}
	return p.chooseWorkers(tasks, j.spec.Shape.SameRack, false)
}

// roomBesideGPUs returns the cores and memory of a worker that its free accelerators do not need,
// so that tasks without accelerators do not make accelerators unusable.
func (p *Policy) roomBesideGPUs(w *worker) amount {
	free := w.free()
	return free.minus(amount{0, p.perGPU.cores, p.perGPU.mem}.times(max(0, free.gpus)))
}

// starving reports whether a job has waited for ReserveAfter, after which it may get a reservation.
func (p *Policy) starving(j *job) bool { return p.now.Sub(j.waitingSince) >= p.cfg.ReserveAfter }

// maxFree returns, for each resource, the largest amount that is free on one worker of the rack.
func (p *Policy) maxFree(r *rack) amount {
	if r.maxFreeRound != p.round {
		r.maxFree, r.maxFreeRound = amount{}, p.round
		for _, w := range r.workers {
			if p.usable(w) {
				r.maxFree = r.maxFree.max(w.free())
			}
		}
	}
	return r.maxFree
}
