package place

import (
	"cmp"
	"slices"
	"time"

	"turmericroute/model"
)

// TeamUsage is a team's use of its guarantees.
type TeamUsage struct {
	Team string
	// Guaranteed is the sum of the guaranteed shapes, Used the resources of the team's placed
	// gangs.
	Guaranteed, Used model.Resources
	// Borrowed is the use beyond the guarantees, Reclaimable the guaranteed shapes that have a
	// placement and are not in use.
	Borrowed, Reclaimable model.Resources
	// Short is the number of guaranteed shapes without a placement, Waiting the number of waiting
	// jobs.
	Short, Waiting int
}

// Probation describes a worker that gets no tasks until its probation ends.
type Probation struct {
	Worker, DataCentre string
	Until              time.Time
	// FailedJobs are the recent jobs that failed first on this worker.
	FailedJobs []string
}

// Summary is an overview of the policy's state for operators.
type Summary struct {
	Teams     []TeamUsage
	Shortages []Shortage
	Probation []Probation
	// Usable is the number of workers where tasks may start now, by data centre.
	Usable map[string]int
}

// Summary returns an overview in time proportional to the workers, guaranteed shapes and placed
// gangs.
func (p *Policy) Summary() Summary {
	s := Summary{Shortages: p.Shortages(), Usable: map[string]int{}}
	for _, t := range p.allTeams() {
		s.Teams = append(s.Teams, t.usage(len(p.waitingJobs(t))))
	}
	for _, w := range p.allWorkers {
		if p.usable(w) {
			s.Usable[w.rack.dc.name]++
		}
		if w.joined && w.health.onProbation(p.now) {
			s.Probation = append(s.Probation, w.probation())
		}
	}
	slices.SortFunc(s.Probation, func(a, b Probation) int { return cmp.Compare(a.Worker, b.Worker) })
	return s
}

// WaitingByTeam returns the number of waiting jobs by team.
func (p *Policy) WaitingByTeam() map[string]int {
	out := map[string]int{}
	for _, t := range p.allTeams() {
		out[t.name] = len(p.waitingJobs(t))
	}
	return out
}

// usage returns the team's use of its guarantees; waiting is the number of its waiting jobs.
func (t *team) usage(waiting int) TeamUsage {
	var guaranteed, used, borrowed, reclaimable amount
	u := TeamUsage{Team: t.name}
	for _, c := range t.cells {
		whole := c.perTask.times(c.shape.Tasks)
		guaranteed = guaranteed.plus(whole)
		switch {
		case c.placement == nil:
			u.Short++
		case c.occupant == nil || !c.occupant.placed():
			reclaimable = reclaimable.plus(whole)
		}
	}
	for _, j := range t.placed {
		all := j.perTask.times(j.spec.Shape.Tasks)
		used = used.plus(all)
		if j.cell == nil {
			borrowed = borrowed.plus(all)
		}
	}
	u.Guaranteed, u.Used = guaranteed.resources(), used.resources()
	u.Borrowed, u.Reclaimable = borrowed.resources(), reclaimable.resources()
	u.Waiting = waiting
	return u
}

func (a amount) resources() model.Resources {
	return model.Resources{GPUs: a.gpus, Cores: a.cores, MemoryMB: a.mem}
}

func (w *worker) probation() Probation {
	out := Probation{Worker: w.name, DataCentre: w.rack.dc.name, Until: w.health.probationUntil}
	for _, o := range w.health.recent {
		if o.failed {
			out.FailedJobs = append(out.FailedJobs, o.job)
		}
	}
	return out
}

// Detail describes the scheduling state of one job.
type Detail struct {
	Reason string
	// Reserved is the placement held for a waiting job, FreeAt the time when it is expected to be
	// free.
	Reserved []string
	FreeAt   time.Time
	// Guaranteed reports whether the placement is being freed within the team's guarantee.
	Guaranteed bool
	// Holders are the jobs that occupy the reserved placement.
	Holders []string
	// ReserveAt is when a waiting job without a reservation may get one.
	ReserveAt time.Time
	// Avoided are the workers where the job has failed.
	Avoided []string
}

// Detail returns the scheduling state of a job. It reports false if the job is unknown.
func (p *Policy) Detail(id string) (Detail, bool) {
	j, ok := p.jobs[id]
	d := Detail{Reason: p.Explain(id)}
	if !ok {
		return d, false
	}
	d.Avoided = namesOf(j.avoided)
	var placement []*worker
	switch {
	case j.placed():
		return d, true
	case j.claim != nil:
		placement, d.Guaranteed, d.FreeAt = j.claim.workers, true, p.now
		for _, w := range placement {
			for _, g := range w.gangs {
				if end := p.expectedEnd(g); g.state == jobStopping && end.After(d.FreeAt) {
					d.FreeAt = end
				}
			}
		}
		d.Holders = holdersOf(placement, func(g *job) bool { return g.state == jobStopping })
	case j.reservation != nil:
		placement, d.FreeAt = j.reservation.workers, j.reservation.freeAt
		d.Holders = holdersOf(placement, func(*job) bool { return true })
	default:
		d.ReserveAt = j.waitingSince.Add(p.cfg.ReserveAfter)
	}
	d.Reserved = namesOf(placement)
	return d, true
}

// holdersOf returns the sorted IDs of the gangs on the workers for which match returns true.
func holdersOf(placement []*worker, match func(*job) bool) []string {
	var ids []string
	for _, w := range placement {
		for _, g := range w.gangs {
			if match(g) && !slices.Contains(ids, g.id()) {
				ids = append(ids, g.id())
			}
		}
	}
	slices.Sort(ids)
	return ids
}

// namesOf returns the distinct names of the workers.
func namesOf(ws []*worker) []string {
	var names []string
	for _, w := range ws {
		if !slices.Contains(names, w.name) {
			names = append(names, w.name)
		}
	}
	return names
}
