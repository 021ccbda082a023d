package sched

import (
	"time"

	"turmericroute/batch"
)

const (
	// reclaimShare is the share of the reclaim time after which others are stopped for a guaranteed job in any case.
	reclaimShare = 0.35
	// borrowedCost bounds the work that others lose for a job beyond its team's guarantee, in shares of the job's own.
	borrowedCost = 0.5
	// reclaimPause is how long a job for which others cannot make room waits before they are looked at again.
	reclaimPause = 300 * time.Millisecond
)

// guaranteed reports whether a job is within its team's guarantee.
func (p *pass) guaranteed(j *batch.Job) bool {
	return p.priority(j) == 0 && j.Team != "" && p.demand[j.Team] <= p.book.Catalog.Guarantee(j.Team)
}

// claim stops others for a job of priority 0 that would miss its objective, or
// within its team's guarantee the reclaim time, and holds the room. It reports
// whether room is on its way.
func (p *pass) claim(r *request, waited time.Duration) bool {
	if p.priority(r.job) > 0 || p.now < p.o.reclaimAt[r.first] {
		return false
	}
	due := p.guaranteed(r.job) && waited >= time.Duration(reclaimShare*float64(p.s.cfg.Limits.Reclaim))
	if !due && !p.urgent(r, waited) {
		return false
	}
	if p.reclaim(r, p.mayBeRemote(r, waited)) {
		return true
	}
	p.o.reclaimAt[r.first] = p.now + reclaimPause
	return false
}

// urgent reports whether a job meets its objective only if others are stopped for it now.
func (p *pass) urgent(r *request, waited time.Duration) bool {
	due, ok := p.objective(r.job)
	if !ok {
		return false
	}
	slack := time.Duration(due-p.nowMS-chainMS(r.job, r.first.Round, true)) * time.Millisecond
	stopping := p.s.cfg.Limits.StopGrace + 2*p.o.beatInterval()
	if slack < stopping {
		return false
	}
	chosen, within := p.soonest(r, func(time.Duration) bool { return p.fitsNoRack(r) })
	return chosen == nil || within > slack
}

// reclaim stops the least costly runs of others until a job has a place, and
// holds that place; it reports whether there is one.
func (p *pass) reclaim(r *request, remote bool) bool {
	freed := map[*site]batch.Need{}
	for ref := range p.o.stopping {
		p.release(freed, ref)
	}
	free := func(st *site) batch.Need { return st.free.Minus(st.held).Plus(freed[st]) }
	if c := p.fit(r, free, remote); c != nil {
		p.keep(r, c)
		return true
	}
	chosen := p.cheapest(r, remote, freed)
	if chosen == nil || !p.guaranteed(r.job) && costOf(chosen) > borrowedCost*workOf(r.job) {
		return false
	}
	for _, v := range chosen {
		for _, ref := range v.refs {
			p.release(freed, ref)
		}
	}
	c := p.fit(r, free, remote)
	if c == nil {
		return false // nobody is stopped in vain
	}
	for _, v := range chosen {
		for _, ref := range v.refs {
			p.o.stopping[ref] = r.job.ID
			p.s.cfg.Logger.Log("event", "run_preempted", "task", ref.Task, "run", ref.Run, "for", r.job.ID, "team", r.job.Team, "cost", v.cost)
		}
	}
	p.keep(r, c)
	return true
}

func (p *pass) siteOf(ref RunRef) *site {
	j := p.jobOf(ref)
	if j == nil {
		return nil
	}
	return p.by[j.Task(ref.Task).Worker]
}

func (p *pass) release(freed map[*site]batch.Need, ref RunRef) {
	if st := p.siteOf(ref); st != nil {
		freed[st] = freed[st].Plus(p.jobOf(ref).Spec.Steps[ref.Task.Step].Charge())
	}
}

// gpuWeight is what an accelerator counts in cores when lost work is compared.
const gpuWeight = 8

// lost estimates the core-seconds that stopping a run throws away.
func (p *pass) lost(j *batch.Job, id batch.TaskID) float64 {
	step := j.Spec.Steps[id.Step]
	w := p.o.workers[j.Task(id).Worker]
	if w == nil {
		return 0
	}
	done := float64(w.running[id].Percent) / 100 * float64(step.EstimateMS) / 1000
	if step.Checkpoints {
		done = min(done, 1) // progress since the last checkpoint
	}
	return done * coresOf(step.Need)
}

// coresOf returns what a task takes in cores.
func coresOf(n batch.Need) float64 { return float64(n.CPUMilli)/1000 + gpuWeight*float64(n.GPUs) }

// workOf returns the core-seconds that one round of a job asks for.
func workOf(j *batch.Job) float64 {
	sum := 0.0
	for _, st := range j.Spec.Steps {
		sum += float64(st.Count) * float64(st.EstimateMS) / 1000 * coresOf(st.Need)
	}
	return sum
}
