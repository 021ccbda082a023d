package sched

import (
	"time"

	"turmericroute/batch"
)

const (
	// reclaimShare is the share of the reclaim time after which others are stopped for a guaranteed job in any case.
	reclaimShare = 0.35
	// claimMargin is how long before the last moment others are stopped for a job's objective.
	claimMargin = 500 * time.Millisecond
	// reclaimPause is how long a job for which others cannot make room waits before they are looked at again.
	reclaimPause = 300 * time.Millisecond
)

// guaranteed reports whether a job is within its team's guarantee.
func (p *pass) guaranteed(j *batch.Job) bool {
	return p.priority(j) == 0 && j.Team != "" && p.demand[j.Team] <= p.book.Catalog.Guarantee(j.Team)
}

// claim stops others for a guaranteed job that would miss its objective or the
// reclaim time otherwise, and holds the room. It reports whether room is on its way.
func (p *pass) claim(r *request, waited time.Duration) bool {
	if !p.guaranteed(r.job) || p.now < p.o.reclaimAt[r.first] {
		return false
	}
	if waited < time.Duration(reclaimShare*float64(p.s.cfg.Limits.Reclaim)) && !p.urgent(r, waited) {
		return false
	}
	if p.reclaim(r) {
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
	if slack < stopping || slack > stopping+claimMargin {
		return false
	}
	chosen, within := p.soonest(r, waited)
	return chosen == nil || within > slack
}

// reclaim stops the least costly runs of others until a job has a place, and
// holds that place; it reports whether there is one.
func (p *pass) reclaim(r *request) bool {
	freed := map[*site]batch.Need{}
	for ref := range p.o.stopping {
		p.release(freed, ref)
	}
	free := func(st *site) batch.Need { return st.free.Minus(st.held).Plus(freed[st]) }
	if c := p.fit(r, free, true); c != nil {
		p.keep(r, c)
		return true
	}
	chosen := p.cheapest(r, freed)
	if chosen == nil {
		return false
	}
	for _, v := range chosen {
		for _, ref := range v.refs {
			p.release(freed, ref)
			p.o.stopping[ref] = r.job.ID
			p.s.cfg.Logger.Log("event", "run_preempted", "task", ref.Task, "run", ref.Run, "for", r.job.ID, "team", r.job.Team, "cost", v.cost)
		}
	}
	c := p.fit(r, free, true)
	if c == nil {
		return false
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
	return done * (float64(step.Need.CPUMilli)/1000 + gpuWeight*float64(step.Need.GPUs))
}
