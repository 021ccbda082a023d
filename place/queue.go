package place

import (
	"slices"
	"time"

	"turmericroute/model"
)

// queue holds the waiting jobs of a team. Removal only marks a job and takes constant time.
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

// dequeue marks a job as removed; its entry is dropped when the queue is read next.
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

// placeWaiting places guaranteed jobs first, urgent ones before others, and then the rest by fair
// share.
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

// hasGuarantee reports whether one of the team's guarantees has exactly this shape.
func (t *team) hasGuarantee(s model.Shape) bool {
	return slices.ContainsFunc(t.cells, func(c *cell) bool { return c.shape == s })
}

// borrowQueue holds the jobs of a team that are left in one round of fair sharing.
type borrowQueue struct {
	team *team
	jobs []*job
}

// placeBorrowers offers free resources, job by job, to the team with the lowest weighted borrowing.
// A job that finds no placement is skipped.
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

// leastBorrowing returns the index of the queue whose team has the lowest weighted borrowing.
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

// fitKey identifies jobs that fit the same placements.
type fitKey struct {
	perTask      amount
	tasks        int
	sameRack     bool
	dataCentres  string
	runTimeClass int // power of two of the estimated run time while there are reservations
}

// tryBorrow starts a job in free resources, or else tries to free a placement by moving or
// overtaking borrowers.
func (p *Policy) tryBorrow(ds []Decision, j *job, failed map[fitKey]bool) []Decision {
	if s, short := j.quotaShortage(); short {
		j.reason = s.Reason(j.team.name)
		return ds
	}
	key := p.fitKeyOf(j)
	if failed[key] && len(j.avoided) == 0 && j.reservation == nil {
		j.reason = "no place is free"
		return ds
	}
	placement := p.findFreePlacement(j)
	if placement == nil && len(j.avoided) > 0 {
		// A placement where the job has failed is better than none.
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

// dataCentreKey identifies the data centres that the team and the job may use.
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
