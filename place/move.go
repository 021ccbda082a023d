package place

import (
	"cmp"
	"slices"
	"time"

	"turmericroute/model"
)

const (
	// minWaitForMove is the wait after which gangs are moved to make room for a job, so that
	// resources that become free without a move are used first.
	minWaitForMove = 2 * time.Second
	// minMoveInterval is the minimum time between two moves of one gang.
	minMoveInterval = 3 * time.Minute
	// moveSearchInterval is the time between two searches for moves for one job.
	moveSearchInterval = 5 * time.Second
	// compactInterval is the time between two searches for moves that free a rack for larger gangs.
	compactInterval = 10 * time.Second
	// maxCompactLossSeconds bounds the work lost by such moves, in seconds of one whole worker.
	maxCompactLossSeconds = 300
	// maxMoveSearches bounds the searches for moves in one decision round.
	maxMoveSearches = 12
	// maxMovingGangs bounds the gangs that are being moved at one time.
	maxMovingGangs = 48
	// maxMovedShare bounds the resources moved, as a multiple of those of the job that gains.
	maxMovedShare = 1.5
	// maxMoveLossSeconds bounds the work lost by moves, in seconds of the job that gains.
	maxMoveLossSeconds = 900
)

// move is a gang with the placement that it moves to.
type move struct {
	job       *job
	placement []*worker
}

// makeRoom moves borrowers out of a rack to placements that are free now, if that lets a waiting
// gang start: enough resources are free in total, but they are fragmented.
func (p *Policy) makeRoom(ds []Decision, j *job) []Decision {
	s := j.spec.Shape
	if s.TotalGPUs() < 2 || p.now.Sub(j.waitingSince) < minWaitForMove || p.now.Before(j.nextMoveSearchAt) ||
		p.movingGangs >= maxMovingGangs || p.moveSearches >= maxMoveSearches {
		return ds
	}
	j.nextMoveSearchAt = p.now.Add(moveSearchInterval)
	p.moveSearches++
	moves, r := p.bestMoves(j, maxMoveLossSeconds)
	if moves == nil {
		return ds
	}
	placement := p.placementAfterMoves(j, r, moves)
	if placement == nil {
		return ds
	}
	p.dropReservation(j)
	p.addClaim(j, placement, nil)
	j.reason = "gangs are moved to make room"
	return p.executeMoves(ds, moves, j.id(), "moved to make room for a gang")
}

// bestMoves returns the moves that lose the least work, at most lossSeconds of the job's own, and
// the rack in which they make room.
func (p *Policy) bestMoves(j *job, lossSeconds float64) ([]move, *rack) {
	var best []move
	var target *rack
	cost := lossSeconds * float64(j.spec.Shape.Tasks) * j.perTask.dominantShare(p.totalCapacity)
	for _, r := range p.sortedRacks {
		if !j.allowed(r.id.dc) || !p.mayStart(r.dc) {
			continue
		}
		if moves, c := p.planMoves(j, r); moves != nil && c < cost {
			best, target, cost = moves, r, c
		}
	}
	return best, target
}

// executeMoves preempts gangs and claims their new placements.
func (p *Policy) executeMoves(ds []Decision, moves []move, forJob, reason string) []Decision {
	for _, m := range moves {
		ds = p.preempt(ds, m.job, forJob, reason)
		m.job.movedAt = p.now
		p.addClaim(m.job, m.placement, nil)
	}
	return ds
}

// compact moves a few small gangs so that one rack holds a larger gang of whole-worker tasks than
// any rack does now.
func (p *Policy) compact(ds []Decision) []Decision {
	if p.movingGangs > 0 || len(p.claims) > 0 || p.now.Before(p.nextCompact) {
		return ds
	}
	p.nextCompact = p.now.Add(compactInterval)
	perTask, free, largest := p.wholeWorkerStats()
	if perTask.gpus < 2 || free < (largest+1)*perTask.gpus {
		return ds
	}
	probe := &job{team: &team{}, perTask: perTask, spec: model.JobSpec{Shape: model.Shape{
		Tasks: largest + 1, GPUs: perTask.gpus, Cores: perTask.cores, MemoryMB: perTask.mem, SameRack: true,
	}}}
	moves, _ := p.bestMoves(probe, maxCompactLossSeconds/float64(largest+1))
	return p.executeMoves(ds, moves, "", "moved to keep a rack whole")
}

// wholeWorkerStats returns the amount of a task that takes all accelerators of the largest worker,
// the number of free accelerators, and how many such tasks the emptiest rack holds.
func (p *Policy) wholeWorkerStats() (perTask amount, free, largest int) {
	for _, w := range p.allWorkers {
		if p.usable(w) {
			perTask.gpus = max(perTask.gpus, w.cap.gpus)
			free += max(0, w.free().gpus)
		}
	}
	perTask = amount{perTask.gpus, p.perGPU.cores * perTask.gpus, p.perGPU.mem * perTask.gpus}
	for _, r := range p.sortedRacks {
		n := 0
		for _, w := range r.workers {
			if p.usable(w) {
				n += perTask.countIn(w.free(), 1)
			}
		}
		largest = max(largest, n)
	}
	return perTask, free, largest
}

// planMoves returns moves out of a rack that make room for a gang, with the cost of the work that
// they lose.
func (p *Policy) planMoves(j *job, r *rack) ([]move, float64) {
	freed := make(map[*worker]amount)
	if !p.fitsWithoutBorrowers(j, r) {
		return nil, 0
	}
	budget := maxMovedShare * float64(j.spec.Shape.Tasks) * j.perTask.dominantShare(p.totalCapacity)
	var moves []move
	cost := 0.0
	for _, v := range p.movableBorrowers(j, r) {
		if p.tasksFitting(j, r, freed) >= j.spec.Shape.Tasks {
			break
		}
		size := float64(v.spec.Shape.Tasks) * v.perTask.dominantShare(p.totalCapacity)
		if size > budget || len(moves)+p.movingGangs >= maxMovingGangs {
			continue
		}
		p.excludedRack = r
		to := p.findFreePlacement(v)
		p.excludedRack = nil
		if to == nil {
			continue
		}
		p.addClaim(v, to, nil)
		budget -= size
		cost += p.preemptionCost(v)
		moves = append(moves, move{v, to})
		for _, w := range v.workers {
			freed[w] = freed[w].plus(v.perTask)
		}
	}
	enough := p.tasksFitting(j, r, freed) >= j.spec.Shape.Tasks
	for _, m := range moves {
		p.releaseClaim(m.job)
	}
	if !enough || len(moves) == 0 {
		return nil, 0
	}
	return moves, cost
}

// fitsWithoutBorrowers reports whether the rack would hold the gang without its borrowers.
func (p *Policy) fitsWithoutBorrowers(j *job, r *rack) bool {
	n := 0
	for _, w := range r.workers {
		if !p.usable(w) || w.reservation != nil && w.reservation.job != j {
			continue
		}
		room := w.free()
		for _, g := range w.gangs {
			if p.preemptible(g) {
				room = room.plus(g.perTask.times(g.tasksOn(w)))
			}
		}
		n += j.perTask.countIn(room, j.spec.Shape.Tasks)
	}
	return n >= j.spec.Shape.Tasks
}

// movableBorrowers returns the borrowers of a rack that may be moved, ordered by their cost for the
// room that they free.
func (p *Policy) movableBorrowers(j *job, r *rack) []*job {
	var list []*job
	for _, w := range r.workers {
		for _, v := range w.gangs {
			if p.preemptible(v) && v.claim == nil && v.state == jobRunning && p.now.Sub(v.movedAt) >= minMoveInterval &&
				v.spec.Shape.TotalGPUs() < j.spec.Shape.TotalGPUs() && !slices.Contains(list, v) {
				list = append(list, v)
			}
		}
	}
	score := func(v *job) float64 {
		n := 0
		for _, w := range v.workers {
			if w.rack == r {
				n++
			}
		}
		return p.preemptionCost(v) / (float64(n) * v.perTask.min(j.perTask).dominantShare(j.perTask))
	}
	slices.SortStableFunc(list, func(a, b *job) int { return cmp.Compare(score(a), score(b)) })
	return list
}

// tasksFitting returns how many tasks of the job the rack holds once some amounts are freed.
func (p *Policy) tasksFitting(j *job, r *rack, freed map[*worker]amount) int {
	n := 0
	for _, w := range r.workers {
		if p.usable(w) && (w.reservation == nil || w.reservation.job == j) {
			n += j.perTask.countIn(w.free().plus(freed[w]), j.spec.Shape.Tasks)
		}
	}
	return n
}

// placementAfterMoves returns the gang's placement in a rack once the moves are done, or nil.
func (p *Policy) placementAfterMoves(j *job, r *rack, moves []move) []*worker {
	freed := make(map[*worker]amount)
	for _, m := range moves {
		for _, w := range m.job.workers {
			freed[w] = freed[w].plus(m.job.perTask)
		}
	}
	p.candidates = p.candidates[:0]
	for _, w := range r.workers {
		if !p.usable(w) || w.reservation != nil && w.reservation.job != j {
			continue
		}
		room := w.free().plus(freed[w])
		if n := j.perTask.countIn(room, j.spec.Shape.Tasks); n > 0 {
			p.candidates = append(p.candidates, candidate{worker: w, tasks: n, rank: rankOf(j.perTask, room, w)})
		}
	}
	return p.chooseWorkers(j.spec.Shape.Tasks, true, false)
}
