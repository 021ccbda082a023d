package sched

import (
	"time"

	"turmericroute/batch"
)

const (
	// reclaimWaitShare is the share of the reclaim time after which others are stopped for a guaranteed job in any case.
	reclaimWaitShare = 0.35
	// maxPreemptCostShare bounds the work that others lose for a job beyond its team's guarantee, in shares of the job's own.
	maxPreemptCostShare = 0.5
	// preemptRetryInterval is how long a job for which others cannot make room waits before they are looked at again.
	preemptRetryInterval = 300 * time.Millisecond
)

// guaranteed reports whether a job is within its team's guarantee.
func (p *pass) guaranteed(j *batch.Job) bool {
	return p.priority(j) == 0 && j.Team != "" && p.demand[j.Team] <= p.state.Catalog.Guarantee(j.Team)
}

// preemptIfDue stops others for a job of priority 0 that would miss its objective, or
// within its team's guarantee the reclaim time, and holds the room. It reports
// whether room is on its way.
func (p *pass) preemptIfDue(r *request, waited time.Duration) bool {
	if p.priority(r.job) > 0 || p.now < p.o.nextPreemptAt[r.first] {
		return false
	}
	due := p.guaranteed(r.job) && waited >= time.Duration(reclaimWaitShare*float64(p.s.cfg.Limits.Reclaim))
	if !due && !p.needsPreemption(r, waited) {
		return false
	}
	if p.preempt(r, p.allowsRemote(r, waited)) {
		return true
	}
	p.o.nextPreemptAt[r.first] = p.now + preemptRetryInterval
	return false
}

// needsPreemption reports whether a job meets its objective only if others are stopped for it now.
func (p *pass) needsPreemption(r *request, waited time.Duration) bool {
	due, ok := p.objective(r.job)
	if !ok {
		return false
	}
	slack := time.Duration(due-p.nowMS-criticalPathMS(r.job, r.first.Round, true)) * time.Millisecond
	stopping := p.s.cfg.Limits.StopGrace + 2*p.o.heartbeatInterval()
	if slack < stopping {
		return false
	}
	chosen, within := p.earliestPlace(r, func(time.Duration) bool { return p.fitsNoRack(r) })
	return chosen == nil || within > slack
}

// preempt stops the least costly runs of others until a job has a place, and
// holds that place; it reports whether there is one.
func (p *pass) preempt(r *request, remote bool) bool {
	freed := map[*workerView]batch.Resources{}
	for ref := range p.o.preempting {
		p.addFreed(freed, ref)
	}
	free := func(st *workerView) batch.Resources { return st.free.Minus(st.reserved).Plus(freed[st]) }
	if c := p.fit(r, free, remote); c != nil {
		p.reserve(r, c)
		return true
	}
	chosen := p.cheapestVictims(r, remote, freed)
	if chosen == nil || !p.guaranteed(r.job) && totalCost(chosen) > maxPreemptCostShare*workOf(r.job) {
		return false
	}
	for _, v := range chosen {
		for _, ref := range v.runs {
			p.addFreed(freed, ref)
		}
	}
	c := p.fit(r, free, remote)
	if c == nil {
		return false // nobody is stopped in vain
	}
	for _, v := range chosen {
		for _, ref := range v.runs {
			p.o.preempting[ref] = r.job.ID
			p.s.cfg.Logger.Log("event", "run_preempted", "task", ref.Task, "run", ref.Run, "for", r.job.ID, "team", r.job.Team, "cost", v.cost)
		}
	}
	p.reserve(r, c)
	return true
}

func (p *pass) viewOf(ref RunRef) *workerView {
	j := p.jobOf(ref)
	if j == nil {
		return nil
	}
	return p.viewByID[j.Task(ref.Task).Worker]
}

func (p *pass) addFreed(freed map[*workerView]batch.Resources, ref RunRef) {
	if st := p.viewOf(ref); st != nil {
		freed[st] = freed[st].Plus(p.jobOf(ref).Spec.Steps[ref.Task.Step].Reservation())
	}
}

// coresPerGPU is what an accelerator counts in cores when lost work is compared.
const coresPerGPU = 8

// lostWork estimates the core-seconds that stopping a run throws away.
func (p *pass) lostWork(j *batch.Job, id batch.TaskID) float64 {
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
func coresOf(n batch.Resources) float64 {
	return float64(n.CPUMilli)/1000 + coresPerGPU*float64(n.GPUs)
}

// workOf returns the core-seconds that one round of a job asks for.
func workOf(j *batch.Job) float64 {
	sum := 0.0
	for _, st := range j.Spec.Steps {
		sum += float64(st.Count) * float64(st.EstimateMS) / 1000 * coresOf(st.Need)
	}
	return sum
}
