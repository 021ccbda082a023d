package sched

import (
	"time"

	"turmericroute/batch"
	"turmericroute/loss"
)

const (
	// reclaimWaitShare is the fraction of the reclaim time after which a guaranteed job preempts whether or not its
	// objective requires it.
	reclaimWaitShare = 0.35
	// maxPreemptCostShare bounds the work that preemption for a job beyond its team's guarantee may lose, as a fraction
	// of the job's own work.
	maxPreemptCostShare = 0.5
	// preemptRetryInterval is the pause after preemption for a step has failed before it is tried again.
	preemptRetryInterval = 300 * time.Millisecond
)

// guaranteed reports whether a job is within its team's guarantee.
func (p *pass) guaranteed(j *batch.Job) bool {
	return p.priority(j) == 0 && j.Team != "" && p.waiting.demand[j.Team] <= p.state.Catalog.Guarantee(j.Team)
}

// preemptIfDue preempts runs for a job of priority 0 that would otherwise miss its objective, or the reclaim time if
// it is within its team's guarantee, and reserves their resources. It reports whether a placement is reserved for the
// job. Only full passes preempt.
func (p *pass) preemptIfDue(r *request) bool {
	if !p.full || p.priority(r.job) > 0 || p.now < r.nextPreemptAt || p.preemptSearches >= maxPreemptSearches {
		return false
	}
	due := p.guaranteed(r.job) && r.waited(p.now) >= time.Duration(reclaimWaitShare*float64(p.s.cfg.Limits.Reclaim))
	if !due && (p.beyondRate(r.job) || !p.needsPreemption(r)) {
		return false
	}
	if p.holdIfFreeSoon(r) {
		return true
	}
	if p.preempt(r, p.allowsRemote(r, r.waited(p.now))) {
		return true
	}
	r.nextPreemptAt = p.now + preemptRetryInterval
	return false
}

// needsPreemption reports whether a job can meet its objective, but only if runs are preempted for it now.
func (p *pass) needsPreemption(r *request) bool {
	due, ok := p.objective(r.job)
	if !ok {
		return false
	}
	slack := time.Duration(due-p.nowMS-criticalPathMS(r.job, r.first.Round, true)) * time.Millisecond
	stopTime := p.s.cfg.Limits.StopGrace + 2*p.l.longestInterval()
	if slack < stopTime {
		return false
	}
	chosen, within := p.earliestPlacement(r, func(time.Duration) bool { return p.fitsNoRack(r) })
	return chosen == nil || within > slack
}

// stopTime is about the time from a decision to stop a run until its resources are free.
func (p *pass) stopTime() time.Duration { return p.s.cfg.Limits.StopGrace + p.l.longestInterval() }

// holdIfFreeSoon reserves the placement of a job that becomes possible by itself about as soon as stopping others would
// make room, and reports whether there is one. It does so for the time of two stops, as runs may not end when expected.
func (p *pass) holdIfFreeSoon(r *request) bool {
	if since := r.freeSoonSince; since != 0 && p.now-since > 2*p.stopTime() {
		return false
	}
	chosen, within := p.earliestPlacement(r, func(d time.Duration) bool { return p.allowsRemote(r, r.waited(p.now)+d) })
	if chosen == nil || within > p.stopTime() {
		return false
	}
	if r.freeSoonSince == 0 {
		r.freeSoonSince = p.now
	}
	p.hold(reservation{step: r.waitingStep, need: r.need, chosen: chosen})
	return true
}

// dropPreemptions ends the preemption of runs that make room for a job which no longer waits. A run that has been told to
// stop stops, and with it its gang.
func (p *pass) dropPreemptions() {
	for ref, winner := range p.l.preempting {
		if len(p.waiting.byJob[winner]) > 0 || p.toldToStop(ref) {
			continue
		}
		delete(p.l.preempting, ref)
		p.s.cfg.Logger.Log("event", "preemption_dropped", "task", ref.Task, "run", ref.Run, "for", winner, "why", "the job no longer waits")
	}
}

// toldToStop reports whether a run, or a member of its gang, has been told to stop.
func (p *pass) toldToStop(ref RunRef) bool {
	j := p.jobOf(ref)
	id := ref.Task
	for i, t := range j.Rounds[id.Round][id.Step].Tasks {
		if i != ref.Task.Index && !j.Spec.Steps[id.Step].Gang {
			continue
		}
		id.Index = i
		if w := p.l.workers[t.Worker]; w != nil && w.stopSeq[RunRef{Task: id, Run: t.Run}] != 0 {
			return true
		}
	}
	return false
}

// preempt preempts the runs that lose the least work until a job can be placed, and reserves its placement; it
// reports whether there is one.
func (p *pass) preempt(r *request, remote bool) bool {
	p.preemptSearches++
	freed := map[*workerView]batch.Resources{}
	for ref := range p.l.preempting {
		p.addFreed(freed, ref)
	}
	free := func(wv *workerView) batch.Resources { return wv.free.Minus(wv.reserved).Plus(freed[wv]) }
	if c := p.fit(r, free, remote); c != nil {
		p.hold(reservation{step: r.waitingStep, need: r.need, chosen: c})
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
		return false // preemption would be in vain
	}
	for _, v := range chosen {
		for _, ref := range v.runs {
			p.l.preempting[ref] = r.job.ID
			p.s.cfg.Logger.Log("event", "run_preempted", "task", ref.Task, "run", ref.Run, "for", r.job.ID, "team", r.job.Team, "cost", v.cost)
		}
	}
	p.hold(reservation{step: r.waitingStep, need: r.need, chosen: c})
	return true
}

// viewOf returns the worker of a run's task, nil if the job is unknown or the worker is not usable.
func (p *pass) viewOf(ref RunRef) *workerView {
	j := p.jobOf(ref)
	if j == nil {
		return nil
	}
	return p.room.views[j.Task(ref.Task).Worker]
}

// addFreed adds the resources of a run to those that are freed on its worker.
func (p *pass) addFreed(freed map[*workerView]batch.Resources, ref RunRef) {
	if wv := p.viewOf(ref); wv != nil {
		freed[wv] = freed[wv].Plus(p.jobOf(ref).Spec.Steps[ref.Task.Step].Reservation())
	}
}

// coresPerGPU is the number of cores that an accelerator counts as when lost work is compared.
const coresPerGPU = 8

// lostWork estimates the work in core-seconds that is lost if a run is stopped. It counts for more the less remains of the
// run, since its resources come free by themselves the sooner.
func (p *pass) lostWork(j *batch.Job, id batch.TaskID) float64 {
	step := j.Spec.Steps[id.Step]
	held, unsaved, reported := p.l.losses.Worked(loss.Key{Task: id, Run: j.Task(id).Run}, p.now)
	if !reported {
		return stopWork.Seconds() * coresOf(step.Need)
	}
	lost := held
	if step.Checkpoints {
		lost = min(unsaved, maxUnsavedWork)
	}
	done := 0.0
	if w := p.l.workers[j.Task(id).Worker]; w != nil {
		done = float64(w.running[id].Percent) / 100
	}
	return (lost + stopWork).Seconds() * coresOf(step.Need) * (1 + done)
}

const (
	// stopWork is for how long a run about holds its resources in vain while it stops and while it starts again. It keeps
	// many runs that have just started from looking cheaper than a few.
	stopWork = 200 * time.Millisecond
	// maxUnsavedWork bounds the work that a run loses that saves its progress, as it does so when it stops.
	maxUnsavedWork = 700 * time.Millisecond
)

// coresOf returns the processors and accelerators that a task needs, expressed in cores.
func coresOf(n batch.Resources) float64 {
	return float64(n.CPUMilli)/1000 + coresPerGPU*float64(n.GPUs)
}

// workOf returns the estimated work of one round of a job in core-seconds.
func workOf(j *batch.Job) float64 {
	sum := 0.0
	for _, st := range j.Spec.Steps {
		sum += float64(st.Count) * float64(st.EstimateMS) / 1000 * coresOf(st.Need)
	}
	return sum
}
