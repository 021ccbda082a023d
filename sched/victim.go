package sched

import (
	"cmp"
	"maps"
	"slices"

	"turmericroute/batch"
)

// priorityZeroWeight is how many times the work of a run of priority 0, beyond its team's guarantee, counts as a victim.
const priorityZeroWeight = 1000

// victim is a gang or task that could be stopped.
type victim struct {
	key  batch.TaskID
	runs []RunRef
	// cost is the work that would be lost, in core-seconds; runs of priority 0 count many times.
	cost float64
}

// victims returns what may be stopped for a job on each worker that it can use, the least costly first.
func (p *pass) victims(r *request) map[*workerView][]*victim {
	by := map[batch.TaskID]*victim{}
	at := map[*workerView][]*victim{}
	for _, st := range p.views {
		if !r.allowed(st) {
			continue
		}
		for id, run := range p.state.Runs[st.id] {
			j := p.state.Jobs[id.Job]
			if !p.preemptible(r, j, RunRef{Task: id, Run: run}) {
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
			if !slices.Contains(at[st], v) {
				at[st] = append(at[st], v)
			}
		}
	}
	for _, list := range at {
		slices.SortFunc(list, func(a, b *victim) int { return cmp.Or(cmp.Compare(a.cost, b.cost), compareTasks(a.key, b.key)) })
	}
	return at
}

// preemptible reports whether a run may be stopped for a job: never one within its
// team's guarantee, and one of priority 0 only for such a job.
func (p *pass) preemptible(r *request, j *batch.Job, ref RunRef) bool {
	step := j.Spec.Steps[ref.Task.Step]
	switch {
	case p.o.preempting[ref] != "", j.State.Final(), j.Task(ref.Task).Done:
		return false
	case step.LongRunning && step.MaxUnavailable >= 0:
		return false
	}
	return !p.guaranteed(j) && (p.priority(j) > 0 || p.guaranteed(r.job))
}

// newVictim collects the runs that are stopped together: those of a gang, or one.
func (p *pass) newVictim(j *batch.Job, key batch.TaskID) *victim {
	v := &victim{key: key}
	for i, t := range j.Rounds[key.Round][key.Step].Tasks {
		if !t.Active || key.Index >= 0 && key.Index != i {
			continue
		}
		id := key
		id.Index = i
		v.runs = append(v.runs, RunRef{Task: id, Run: t.Run})
		v.cost += p.lostWork(j, id)
	}
	if p.priority(j) == 0 {
		v.cost = (v.cost + 1) * priorityZeroWeight
	}
	return v
}

// cheapestVictims returns the victims of least cost whose room, with what is freed
// already, gives a job a place; nil when there are none.
func (p *pass) cheapestVictims(r *request, remote bool, freed map[*workerView]batch.Resources) []*victim {
	at := p.victims(r)
	var best []*victim
	bestCost := 0.0
	for _, scope := range p.scopes(r, remote) {
		chosen, cost, ok := p.cheapestVictimsIn(r, at, scope, freed)
		if ok && (best == nil || cost < bestCost) {
			best, bestCost = chosen, cost
		}
	}
	return best
}

// scopes returns the sets of workers in one of which a job needs all its room,
// by the order in which fit looks for it: the rack of its data, a single rack, or
// with remote anywhere.
func (p *pass) scopes(r *request, remote bool) [][]*workerView {
	usable := slices.DeleteFunc(slices.Clone(p.views), func(st *workerView) bool { return !r.allowed(st) })
	racks := map[string][]*workerView{}
	room := map[string]int{}
	for _, st := range usable {
		if st.flaky && r.step.SameRack && st.hb.Rack != r.step.DataRack {
			continue // fit puts no gang on it that wants a rack
		}
		racks[st.hb.Rack] = append(racks[st.hb.Rack], st)
		room[st.hb.Rack] += p.fitCount(r, st, st.hb.Capacity)
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

// cheapestVictimsIn chooses victims within a scope: again and again the worker whose
// victims cost least for each task that gains room.
func (p *pass) cheapestVictimsIn(r *request, at map[*workerView][]*victim, scope []*workerView, before map[*workerView]batch.Resources) ([]*victim, float64, bool) {
	freed := maps.Clone(before)
	free := func(st *workerView) batch.Resources { return st.free.Minus(st.reserved).Plus(freed[st]) }
	taken := map[*victim]bool{}
	var out []*victim
	for {
		total := 0
		for _, st := range scope {
			total += p.fitCount(r, st, free(st))
		}
		if total >= r.count {
			break
		}
		var add []*victim
		least := 0.0
		for _, st := range scope {
			list, cost, gained := p.cheapestOn(r, at[st], st, free(st), taken)
			if gained == 0 {
				continue
			}
			if each := cost / float64(gained); add == nil || each < least {
				add, least = list, each
			}
		}
		if add == nil {
			return nil, 0, false
		}
		for _, v := range add {
			taken[v] = true
			out = append(out, v)
			for _, ref := range v.runs {
				p.addFreed(freed, ref)
			}
		}
	}
	return out, totalCost(out), true
}

func totalCost(list []*victim) float64 {
	sum := 0.0
	for _, v := range list {
		sum += v.cost
	}
	return sum
}

// cheapestOn returns the least costly victims on one worker that make room for at
// least one more task there, their cost, and for how many.
func (p *pass) cheapestOn(r *request, victims []*victim, st *workerView, free batch.Resources, taken map[*victim]bool) (list []*victim, cost float64, gained int) {
	room := p.fitCount(r, st, free)
	if room >= r.count {
		return nil, 0, 0
	}
	own := func(v *victim) batch.Resources {
		var n batch.Resources
		for _, ref := range v.runs {
			if p.viewOf(ref) == st {
				n = n.Plus(p.jobOf(ref).Spec.Steps[ref.Task.Step].Reservation())
			}
		}
		return n
	}
	with := free
	for _, v := range victims {
		if taken[v] {
			continue
		}
		list = append(list, v)
		with = with.Plus(own(v))
		if gained = p.fitCount(r, st, with) - room; gained > 0 {
			break
		}
	}
	if gained == 0 {
		return nil, 0, 0
	}
	// Leave out the costliest that are not needed for the gain.
	for i := len(list) - 2; i >= 0; i-- {
		without := with.Minus(own(list[i]))
		if p.fitCount(r, st, without)-room >= 1 {
			with, list = without, slices.Delete(list, i, i+1)
		}
	}
	return list, totalCost(list), p.fitCount(r, st, with) - room
}
