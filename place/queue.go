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
	if !j.hasQueueEntry {
		j.hasQueueEntry = true
		q.jobs = append(q.jobs, j)
	}
	q.sorted = false
	p.recheckJobs = true
}

// dequeue takes a job out; its entry is dropped at the next look at the queue.
func (p *Policy) dequeue(j *job) { j.queued = false }

// waitingJobs returns the queued jobs of a team in the order in which they are tried.
func (p *Policy) waitingJobs(t *team) []*job {
	q := &t.queue
	live := q.jobs[:0]
	for _, j := range q.jobs {
		if j.queued {
			live = append(live, j)
		} else {
			j.hasQueueEntry = false
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
	if !p.recheckJobs || len(p.siteCfg.DataCentres) == 0 {
		return ds
	}
	p.recheckJobs = false
	for _, t := range p.allTeams() {
		for _, j := range slices.Clone(p.waitingJobs(t)) {
			err := CheckJob(p.siteCfg, j.spec)
			if err == nil {
				continue
			}
			p.cancelClaim(j)
			p.dequeue(j)
			delete(p.jobs, j.id())
			ds = append(ds, Refuse{ID: j.id(), Reason: messageOf(err)})
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
	p.assignReservations()
	return p.compact(ds)
}

func (p *Policy) placeGuaranteed(ds []Decision, t *team, urgent bool) []Decision {
	if len(t.cells) == 0 {
		return ds
	}
	jobs := slices.Clone(p.waitingJobs(t))
	for _, exact := range []bool{true, false} {
		for _, j := range jobs {
			if j.spec.Urgent == urgent && j.claim == nil && j.queued && t.hasGuarantee(j.spec.Shape) == exact {
				ds, _ = p.startGuaranteed(ds, j)
			}
		}
	}
	return ds
}

// hasGuarantee reports whether one of the team's hasGuarantee is of this very shape.
func (t *team) hasGuarantee(s model.Shape) bool {
	return slices.ContainsFunc(t.cells, func(c *cell) bool { return c.shape == s })
}

// borrowQueue is a team's part in one round of fair placement.
type borrowQueue struct {
	team *team
	jobs []*job
}

// placeBorrowers offers free resources to the team with the lowest use by
// weight, job by job; a job that finds no place is passed over.
func (p *Policy) placeBorrowers(ds []Decision) []Decision {
	p.refreshReservations()
	p.moveSearches, p.overtakeSearches = 0, 0
	var queues []*borrowQueue
	for _, t := range p.allTeams() {
		if jobs := p.waitingJobs(t); len(jobs) > 0 {
			queues = append(queues, &borrowQueue{t, slices.Clone(jobs)})
		}
	}
	failed := map[fitKey]bool{}
	for len(queues) > 0 {
		i := p.leastBorrowing(queues)
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

// leastBorrowing returns the queue whose team uses the least beyond its guarantees for its weight.
func (p *Policy) leastBorrowing(queues []*borrowQueue) int {
	best, bestUse := 0, 0.0
	for i, q := range queues {
		use := p.weightedBorrowing(q.team)
		if i == 0 || use < bestUse {
			best, bestUse = i, use
		}
	}
	return best
}

// fitKey identifies jobs that find room in the same places.
type fitKey struct {
	perTask      amount
	tasks        int
	sameRack     bool
	dataCentres  string
	runTimeClass int // power of two of the estimated run time while reservations are in force
}

func (p *Policy) tryBorrow(ds []Decision, j *job, failed map[fitKey]bool) []Decision {
	if j.perTask.gpus > 0 && j.team.overQuota(j.spec.Shape.TotalGPUs()) > 0 {
		j.reason = "the team's quota of accelerators is in use"
		return ds
	}
	key := p.fitKeyOf(j)
	if failed[key] && len(j.avoided) == 0 && j.reservation == nil {
		j.reason = "no place is free"
		return ds
	}
	placement := p.findFreePlacement(j)
	if placement == nil && len(j.avoided) > 0 {
		// A place where it failed is better than none.
		j.avoided = nil
		placement = p.findFreePlacement(j)
	}
	if placement == nil {
		j.reason = "no place is free"
		if j.reservation == nil {
			failed[key] = true
		}
		if j.reservation == nil && p.starving(j) {
			p.starved = append(p.starved, j)
		}
		if ds = p.makeRoom(ds, j); j.claim == nil {
			ds = p.overtake(ds, j)
		}
		return ds
	}
	p.dropReservation(j)
	p.dequeue(j)
	return p.start(ds, j, placement)
}

func (p *Policy) fitKeyOf(j *job) fitKey {
	k := fitKey{perTask: j.perTask, tasks: j.spec.Shape.Tasks, sameRack: j.spec.Shape.SameRack, dataCentres: j.dataCentreKey()}
	if len(p.reservations) > 0 {
		for d := p.estimateRunTime(j); d > time.Second; d /= 2 {
			k.runTimeClass++
		}
	}
	return k
}

func (j *job) dataCentreKey() string {
	key := ""
	for _, list := range [][]string{j.team.cfg.DataCentres, j.spec.DataCentres} {
		key += "/"
		for _, dc := range list {
			key += dc + ","
		}
	}
	return key
}

// allTeams returns the teams in the order of the configuration, unknown ones last.
func (p *Policy) allTeams() []*team {
	if len(p.orderedTeams) != len(p.teams) {
		p.setTeams(p.siteCfg)
	}
	return p.orderedTeams
}
