package place

import (
	"slices"
	"time"

	"turmericroute/model"
)

// queue holds the waiting jobs of a team; removal marks a job and costs constant time.
type queue struct {
	jobs     []*job
	sorted   bool
	sortedAt time.Time
}

func (p *Policy) enqueue(j *job) {
	q := &j.team.queue
	j.queued = true
	if !j.listed {
		j.listed = true
		q.jobs = append(q.jobs, j)
	}
	q.sorted = false
	p.recheck = true
}

// dequeue takes a job out; its entry is dropped at the next look at the queue.
func (p *Policy) dequeue(j *job) { j.queued = false }

// waiting returns the queued jobs of a team in the order in which they are tried.
func (p *Policy) waiting(t *team) []*job {
	q := &t.queue
	live := q.jobs[:0]
	for _, j := range q.jobs {
		if j.queued {
			live = append(live, j)
		} else {
			j.listed = false
		}
	}
	clear(q.jobs[len(live):])
	q.jobs = live
	p.sortQueue(q)
	return q.jobs
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

// refuseImpossible refuses waiting jobs that can no longer run under the configuration in force.
func (p *Policy) refuseImpossible(ds []Decision) []Decision {
	if !p.recheck || len(p.ops.DataCentres) == 0 {
		return ds
	}
	p.recheck = false
	for _, t := range p.allTeams() {
		for _, j := range slices.Clone(p.waiting(t)) {
			err := CheckJob(p.ops, j.spec)
			if err == nil {
				continue
			}
			p.dropClaim(j)
			p.dequeue(j)
			delete(p.jobs, j.id())
			ds = append(ds, Refuse{ID: j.id(), Reason: reasonOf(err)})
		}
	}
	return ds
}

// placeWaiting places guaranteed jobs first, urgent ones before others, and then the rest by fairness.
func (p *Policy) placeWaiting(ds []Decision) []Decision {
	for _, urgent := range []bool{true, false} {
		for _, t := range p.allTeams() {
			ds = p.placeGuaranteed(ds, t, urgent)
		}
	}
	ds = p.placeBorrowers(ds)
	p.giveReservations()
	return p.compact(ds)
}

func (p *Policy) placeGuaranteed(ds []Decision, t *team, urgent bool) []Decision {
	if len(t.cells) == 0 {
		return ds
	}
	jobs := slices.Clone(p.waiting(t))
	for _, exact := range []bool{true, false} {
		for _, j := range jobs {
			if j.spec.Urgent == urgent && j.claim == nil && j.queued && t.guarantees(j.spec.Shape) == exact {
				ds, _ = p.startGuaranteed(ds, j)
			}
		}
	}
	return ds
}

// guarantees reports whether one of the team's guarantees is of this very shape.
func (t *team) guarantees(s model.Shape) bool {
	return slices.ContainsFunc(t.cells, func(c *cell) bool { return c.shape == s })
}

// borrowQueue is a team's part in one round of fair placement.
type borrowQueue struct {
	t    *team
	jobs []*job
}

// placeBorrowers offers free resources to the team with the lowest use by
// weight, job by job; a job that finds no place is passed over.
func (p *Policy) placeBorrowers(ds []Decision) []Decision {
	p.renewReservations()
	p.moveTries, p.overtakes = 0, 0
	var queues []*borrowQueue
	for _, t := range p.allTeams() {
		if jobs := p.waiting(t); len(jobs) > 0 {
			queues = append(queues, &borrowQueue{t, slices.Clone(jobs)})
		}
	}
	failed := map[fitKey]bool{}
	for len(queues) > 0 {
		i := p.neediest(queues)
		q := queues[i]
		j := q.jobs[0]
		q.jobs = q.jobs[1:]
		if len(q.jobs) == 0 {
			queues = slices.Delete(queues, i, i+1)
		}
		if j.claim != nil || !j.queued {
			continue
		}
		ds = p.tryBorrow(ds, j, failed)
	}
	return ds
}

// neediest returns the queue whose team uses the least beyond its guarantees for its weight.
func (p *Policy) neediest(queues []*borrowQueue) int {
	best, bestUse := 0, 0.0
	for i, q := range queues {
		use := p.ratio(q.t)
		if i == 0 || use < bestUse {
			best, bestUse = i, use
		}
	}
	return best
}

// fitKey identifies jobs that find room in the same places.
type fitKey struct {
	per      amount
	tasks    int
	sameRack bool
	zone     string
	end      int // power of two of the estimated run time while reservations are in force
}

func (p *Policy) tryBorrow(ds []Decision, j *job, failed map[fitKey]bool) []Decision {
	if j.per.gpus > 0 && j.team.overQuota(j.spec.Shape.TotalGPUs()) > 0 {
		j.why = "the team's quota of accelerators is in use"
		return ds
	}
	key := p.fitKeyOf(j)
	if failed[key] && len(j.avoid) == 0 && j.shadow == nil {
		j.why = "no place is free"
		return ds
	}
	place := p.findFree(j)
	if place == nil && len(j.avoid) > 0 {
		// A place where it failed is better than none.
		j.avoid = nil
		place = p.findFree(j)
	}
	if place == nil {
		j.why = "no place is free"
		if j.shadow == nil {
			failed[key] = true
		}
		if j.shadow == nil && p.starving(j) {
			p.starved = append(p.starved, j)
		}
		if ds = p.makeRoom(ds, j); j.claim == nil {
			ds = p.overtake(ds, j)
		}
		return ds
	}
	p.dropReservation(j)
	p.dequeue(j)
	return p.start(ds, j, place)
}

func (p *Policy) fitKeyOf(j *job) fitKey {
	k := fitKey{per: j.per, tasks: j.spec.Shape.Tasks, sameRack: j.spec.Shape.SameRack, zone: j.zone()}
	if len(p.shadows) > 0 {
		for d := p.estimate(j); d > time.Second; d /= 2 {
			k.end++
		}
	}
	return k
}

func (j *job) zone() string {
	z := ""
	for _, list := range [][]string{j.team.cfg.DataCentres, j.spec.DataCentres} {
		z += "/"
		for _, dc := range list {
			z += dc + ","
		}
	}
	return z
}

// allTeams returns the teams in the order of the configuration, unknown ones last.
func (p *Policy) allTeams() []*team {
	if len(p.ranked) != len(p.teams) {
		p.setTeams(p.ops)
	}
	return p.ranked
}
