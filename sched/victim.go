package sched

import (
	"cmp"
	"maps"
	"slices"

	"turmericroute/batch"
)

// priorityZeroWeight multiplies the preemption cost of runs of priority 0 beyond their team's guarantee.
const priorityZeroWeight = 1000

// victim is a gang or a task that may be preempted.
type victim struct {
	// key identifies the task; its index is -1 for a gang.
	key  batch.TaskID
	runs []RunRef
	// on holds the resources that the victim takes on each usable worker.
	on map[*workerView]batch.Resources
	// cost is the work that would be lost, in core-seconds, weighted for runs of priority 0.
	cost float64
}

// victims returns the gangs and tasks that may be preempted for a job on each worker that it may use, cheapest first.
func (p *pass) victims(r *request) map[*workerView][]*victim {
	by := map[batch.TaskID]*victim{}
	budget := stopBudget{p: p, left: map[batch.TaskID]int{}}
	at := map[*workerView][]*victim{}
	for _, wv := range p.room.list {
		if !r.allowed(wv) {
			continue
		}
		for id, run := range p.state.Runs[wv.id] {
			j := p.state.Jobs[id.Job]
			if !p.preemptible(r, j, RunRef{Task: id, Run: run}) || !budget.take(j, id) {
				continue
			}
			key := id
			if j.Spec.Steps[id.Step].Gang {
				key.Index = -1
			}
			v := by[key]
			if v == nil {
				v = p.newVictim(j, key)
				by[key] = v
			}
			if !slices.Contains(at[wv], v) {
				at[wv] = append(at[wv], v)
			}
		}
	}
	for _, list := range at {
		slices.SortFunc(list, func(a, b *victim) int { return cmp.Or(cmp.Compare(a.cost, b.cost), compareTasks(a.key, b.key)) })
	}
	return at
}

// preemptible reports whether a run may be preempted for a job: never within its team's guarantee, and at priority 0
// only if the job is within its own team's guarantee. Bounded steps are preempted for guaranteed jobs only.
func (p *pass) preemptible(r *request, j *batch.Job, ref RunRef) bool {
	step := j.Spec.Steps[ref.Task.Step]
	switch {
	case p.l.preempting[ref] != "", j.State.Final(), j.Task(ref.Task).Done:
		return false
	case bounded(&step) && !p.guaranteed(r.job):
		return false
	}
	return !p.guaranteed(j) && (p.priority(j) > 0 || p.guaranteed(r.job))
}

// newVictim returns the victim for a task, or for all active runs of a gang if the index of key is negative.
func (p *pass) newVictim(j *batch.Job, key batch.TaskID) *victim {
	v := &victim{key: key, on: map[*workerView]batch.Resources{}}
	need := j.Spec.Steps[key.Step].Reservation()
	for i, t := range j.Rounds[key.Round][key.Step].Tasks {
		if !t.Active || key.Index >= 0 && key.Index != i {
			continue
		}
		id := key
		id.Index = i
		v.runs = append(v.runs, RunRef{Task: id, Run: t.Run})
		v.cost += p.lostWork(j, id)
		if wv := p.room.views[t.Worker]; wv != nil {
			v.on[wv] = v.on[wv].Plus(need)
		}
	}
	if p.priority(j) == 0 {
		v.cost = (v.cost + 1) * priorityZeroWeight
	}
	return v
}

// cheapestVictims returns the victims of least total cost whose resources, together with those already freed, are
// enough to place a job; nil if there are none.
func (p *pass) cheapestVictims(r *request, remote bool, freed map[*workerView]batch.Resources) []*victim {
	at := p.victims(r)
	var best []*victim
	bestCost := 0.0
	for _, scope := range p.scopes(r, remote) {
		s := newVictimSearch(p, r, at, scope, freed)
		if best != nil {
			s.maxCost = bestCost
		}
		if s.run() {
			best, bestCost = s.chosen, s.cost
		}
	}
	return best
}

// scopes returns the sets of workers one of which must have room for all tasks of a request, in the order of
// preference of fit: the rack of its data, a single rack, or with remote all usable workers.
func (p *pass) scopes(r *request, remote bool) [][]*workerView {
	usable := slices.DeleteFunc(slices.Clone(p.room.list), func(wv *workerView) bool { return !r.allowed(wv) })
	racks := map[string][]*workerView{}
	room := map[string]int{}
	for _, wv := range usable {
		if wv.standing.Failing && r.step.SameRack && wv.hb.Rack != r.step.DataRack {
			continue // fit places no gang that prefers a single rack on a failing worker
		}
		racks[wv.hb.Rack] = append(racks[wv.hb.Rack], wv)
		room[wv.hb.Rack] += p.fitCount(r, wv, wv.hb.Capacity)
	}
	if r.step.DataRack != "" && room[r.step.DataRack] >= r.count {
		return [][]*workerView{racks[r.step.DataRack]}
	}
	var out [][]*workerView
	if r.step.SameRack && (remote || r.step.DataRack == "") {
		for _, rack := range slices.Sorted(maps.Keys(racks)) {
			if room[rack] >= r.count {
				out = append(out, racks[rack])
			}
		}
	}
	if len(out) == 0 && remote {
		out = append(out, usable)
	}
	return out
}

func totalCost(list []*victim) float64 {
	sum := 0.0
	for _, v := range list {
		sum += v.cost
	}
	return sum
}
