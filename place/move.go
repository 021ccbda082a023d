package place

import (
	"cmp"
	"slices"
	"time"

	"turmericroute/model"
)

const (
	// moveAfter is the wait after which gangs are moved to make room for a job,
	// so that rooms that open by themselves are used first.
	moveAfter = 2 * time.Second
	// moveEvery is the least time between two moves of one gang.
	moveEvery = 3 * time.Minute
	// moveRetry is the time between two searches for moves for one job.
	moveRetry = 5 * time.Second
	// compactEvery is the time between two searches for moves that keep racks whole.
	compactEvery = 10 * time.Second
	// compactLossSeconds bounds the work lost by them, in seconds of one whole worker.
	compactLossSeconds = 300
	// maxMoveTries bounds the searches for moves in one decision.
	maxMoveTries = 12
	// maxMoving bounds the gangs being moved at one time.
	maxMoving = 48
	// moveShare bounds the resources moved, as a share of those of the job that gains.
	moveShare = 1.5
	// moveLossSeconds bounds the work lost by moves, in seconds of the job that gains.
	moveLossSeconds = 900
)

// move is a gang that leaves for another place.
type move struct {
	j  *job
	to []*worker
}

// makeRoom moves borrowers out of a rack, to places that are free now, when
// that lets a waiting gang start: enough is free in total, but scattered.
func (p *Policy) makeRoom(ds []Decision, j *job) []Decision {
	s := j.spec.Shape
	if s.TotalGPUs() < 2 || p.now.Sub(j.waitFrom) < moveAfter || p.now.Before(j.moveRetry) ||
		p.moving >= maxMoving || p.moveTries >= maxMoveTries {
		return ds
	}
	j.moveRetry = p.now.Add(moveRetry)
	p.moveTries++
	moves, r := p.bestMoves(j, moveLossSeconds)
	if moves == nil {
		return ds
	}
	place := p.roomAfter(j, r, moves)
	if place == nil {
		return ds
	}
	p.dropReservation(j)
	p.hold(j, place, nil)
	j.why = "gangs are moved to make room"
	return p.carryOut(ds, moves, j.id(), "moved to make room for a gang")
}

// bestMoves returns the moves that lose the least work, at most some seconds of
// the job's own, and the rack that they make room in.
func (p *Policy) bestMoves(j *job, lossSeconds float64) ([]move, *rack) {
	var best []move
	var in *rack
	cost := lossSeconds * float64(j.spec.Shape.Tasks) * j.per.share(p.total)
	for _, r := range p.order {
		if !j.allowed(r.id.dc) || !p.mayStart(r.dc) {
			continue
		}
		if moves, c := p.planMoves(j, r); moves != nil && c < cost {
			best, in, cost = moves, r, c
		}
	}
	return best, in
}

// carryOut stops gangs and holds their new places.
func (p *Policy) carryOut(ds []Decision, moves []move, forJob, reason string) []Decision {
	for _, m := range moves {
		ds = p.preempt(ds, m.j, forJob, reason)
		m.j.movedAt = p.now
		p.hold(m.j, m.to, nil)
	}
	return ds
}

// compact moves a few small gangs so that one rack holds a larger gang of
// whole-worker tasks than any does now.
func (p *Policy) compact(ds []Decision) []Decision {
	if p.moving > 0 || len(p.claims) > 0 || p.now.Before(p.nextCompact) {
		return ds
	}
	p.nextCompact = p.now.Add(compactEvery)
	per, free, largest := p.wholeWorkers()
	if per.gpus < 2 || free < (largest+1)*per.gpus {
		return ds
	}
	probe := &job{team: &team{}, per: per, spec: model.JobSpec{Shape: model.Shape{
		Tasks: largest + 1, GPUs: per.gpus, Cores: per.cores, MemoryMB: per.mem, SameRack: true,
	}}}
	moves, _ := p.bestMoves(probe, compactLossSeconds/float64(largest+1))
	return p.carryOut(ds, moves, "", "moved to keep a rack whole")
}

// wholeWorkers returns the use of a task that takes all accelerators of the
// largest worker, the free accelerators, and how many such tasks the emptiest rack holds.
func (p *Policy) wholeWorkers() (per amount, free, largest int) {
	for _, w := range p.list {
		if p.usable(w) {
			per.gpus = max(per.gpus, w.cap.gpus)
			free += max(0, w.free().gpus)
		}
	}
	per = amount{per.gpus, p.perGPU.cores * per.gpus, p.perGPU.mem * per.gpus}
	for _, r := range p.order {
		n := 0
		for _, w := range r.workers {
			if p.usable(w) {
				n += per.into(w.free(), 1)
			}
		}
		largest = max(largest, n)
	}
	return per, free, largest
}

// planMoves returns moves out of a rack that make room for a gang, with the work that they lose.
func (p *Policy) planMoves(j *job, r *rack) ([]move, float64) {
	freed := make(map[*worker]amount)
	if !p.couldHold(j, r) {
		return nil, 0
	}
	budget := moveShare * float64(j.spec.Shape.Tasks) * j.per.share(p.total)
	var moves []move
	cost := 0.0
	for _, v := range p.movableIn(j, r) {
		if p.slotsIn(j, r, freed) >= j.spec.Shape.Tasks {
			break
		}
		size := float64(v.spec.Shape.Tasks) * v.per.share(p.total)
		if size > budget || len(moves)+p.moving >= maxMoving {
			continue
		}
		p.avoidRack = r
		to := p.findFree(v)
		p.avoidRack = nil
		if to == nil {
			continue
		}
		p.hold(v, to, nil)
		budget -= size
		cost += p.lossOf(v)
		moves = append(moves, move{v, to})
		for _, w := range v.workers {
			freed[w] = freed[w].plus(v.per)
		}
	}
	enough := p.slotsIn(j, r, freed) >= j.spec.Shape.Tasks
	for _, m := range moves {
		p.unhold(m.j)
	}
	if !enough || len(moves) == 0 {
		return nil, 0
	}
	return moves, cost
}

// couldHold reports whether the rack would hold the gang without its borrowers.
func (p *Policy) couldHold(j *job, r *rack) bool {
	n := 0
	for _, w := range r.workers {
		if !p.usable(w) || w.shadow != nil && w.shadow.job != j {
			continue
		}
		room := w.free()
		for _, g := range w.gangs {
			if p.borrows(g) {
				room = room.plus(g.per.times(g.tasksOn(w)))
			}
		}
		n += j.per.into(room, j.spec.Shape.Tasks)
	}
	return n >= j.spec.Shape.Tasks
}

// movableIn returns the borrowers of a rack that may move, the least loss for their room first.
func (p *Policy) movableIn(j *job, r *rack) []*job {
	var list []*job
	for _, w := range r.workers {
		for _, v := range w.gangs {
			if p.borrows(v) && v.claim == nil && v.state == jobRunning && p.now.Sub(v.movedAt) >= moveEvery &&
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
		return p.lossOf(v) / (float64(n) * v.per.min(j.per).share(j.per))
	}
	slices.SortStableFunc(list, func(a, b *job) int { return cmp.Compare(score(a), score(b)) })
	return list
}

// slotsIn returns how many tasks of the job the rack holds once some amounts are freed.
func (p *Policy) slotsIn(j *job, r *rack, freed map[*worker]amount) int {
	n := 0
	for _, w := range r.workers {
		if p.usable(w) && (w.shadow == nil || w.shadow.job == j) {
			n += j.per.into(w.free().plus(freed[w]), j.spec.Shape.Tasks)
		}
	}
	return n
}

// roomAfter returns the gang's place in a rack once the moves are done.
func (p *Policy) roomAfter(j *job, r *rack, moves []move) []*worker {
	freed := make(map[*worker]amount)
	for _, m := range moves {
		for _, w := range m.j.workers {
			freed[w] = freed[w].plus(m.j.per)
		}
	}
	p.cands = p.cands[:0]
	for _, w := range r.workers {
		if !p.usable(w) || w.shadow != nil && w.shadow.job != j {
			continue
		}
		room := w.free().plus(freed[w])
		if n := j.per.into(room, j.spec.Shape.Tasks); n > 0 {
			p.cands = append(p.cands, cand{w: w, n: n, rank: rankOf(j.per, room, w)})
		}
	}
	return p.choose(j.spec.Shape.Tasks, true, false)
}
