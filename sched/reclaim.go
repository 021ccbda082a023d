package sched

import (
	"cmp"
	"slices"

	"turmericroute/batch"
)

// reclaimShare is the share of the reclaim time after which others are stopped for a guaranteed job;
// until then their natural ends may make room at no cost.
const reclaimShare = 0.35

// guaranteed reports whether a job is within its team's guarantee.
func (p *pass) guaranteed(j *batch.Job) bool {
	return p.priority(j) == 0 && j.Team != "" && p.demand[j.Team] <= p.book.Catalog.Guarantee(j.Team)
}

// victim is a gang or task that could be stopped.
type victim struct {
	key  batch.TaskID
	refs []RunRef
	// urgent victims are of priority 0, beyond their team's guarantee.
	urgent bool
	// cost is the work that would be lost, in accelerator-seconds weighted by what else a task needs.
	cost float64
}

// reclaim stops the least costly runs of others until a guaranteed job has a place, and holds that place.
func (p *pass) reclaim(r *request) {
	freed := map[*site]batch.Need{}
	for ref := range p.o.stopping {
		p.release(freed, ref)
	}
	free := func(st *site) batch.Need { return st.free.Minus(st.held).Plus(freed[st]) }
	if c := p.fit(r, free, true); c != nil {
		p.keep(r, c)
		return
	}
	victims := p.victims(r)
	var taken []victim
	for _, v := range victims {
		for _, ref := range v.refs {
			p.release(freed, ref)
		}
		taken = append(taken, v)
		if p.fit(r, free, true) != nil {
			break
		}
	}
	if p.fit(r, free, true) == nil {
		return // others cannot make enough room
	}
	// Spare the victims that turn out not to be needed, the costliest first.
	for i := len(taken) - 1; i >= 0; i-- {
		v := taken[i]
		for _, ref := range v.refs {
			p.unrelease(freed, ref)
		}
		if p.fit(r, free, true) != nil {
			continue
		}
		for _, ref := range v.refs {
			p.release(freed, ref)
			p.o.stopping[ref] = r.job.ID
			p.s.cfg.Logger.Log("event", "run_preempted", "task", ref.Task, "run", ref.Run, "for", r.job.ID, "team", r.job.Team, "cost", v.cost)
		}
	}
	if c := p.fit(r, free, true); c != nil {
		p.keep(r, c)
	}
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

func (p *pass) unrelease(freed map[*site]batch.Need, ref RunRef) {
	if st := p.siteOf(ref); st != nil {
		freed[st] = freed[st].Minus(p.jobOf(ref).Spec.Steps[ref.Task.Step].Charge())
	}
}

// victims returns what may be stopped for a guaranteed job, the least urgent and least costly first.
func (p *pass) victims(r *request) []victim {
	by := map[batch.TaskID]*victim{}
	for _, st := range p.sites {
		if !r.allowed(st) {
			continue
		}
		for id, run := range p.book.Runs[st.id] {
			j := p.book.Jobs[id.Job]
			step := j.Spec.Steps[id.Step]
			ref := RunRef{Task: id, Run: run}
			if p.o.stopping[ref] != "" || j.State.Final() || j.Task(id).Done || p.priority(j) == 0 && p.guaranteed(j) || step.Lasting && step.MayMiss >= 0 {
				continue
			}
			key := id
			if step.Gang {
				key.Index = -1
			}
			if by[key] == nil {
				by[key] = &victim{key: key, urgent: p.priority(j) == 0}
			}
		}
	}
	var out []victim
	for _, v := range by {
		j := p.book.Jobs[v.key.Job]
		for i, t := range j.Rounds[v.key.Round][v.key.Step].Tasks {
			id := v.key
			id.Index = i
			if !t.Active || v.key.Index >= 0 && v.key.Index != i {
				continue
			}
			v.refs = append(v.refs, RunRef{Task: id, Run: t.Run})
			v.cost += p.lost(j, id)
		}
		out = append(out, *v)
	}
	slices.SortFunc(out, func(a, b victim) int {
		return cmp.Or(cmp.Compare(flag(a.urgent), flag(b.urgent)), cmp.Compare(a.cost, b.cost), compareTasks(a.key, b.key))
	})
	return out
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
