package sched

import (
	"cmp"
	"maps"
	"slices"

	"turmericroute/batch"
)

// urgentWeight is how many times the work of a run of priority 0, beyond its team's guarantee, counts as a victim.
const urgentWeight = 1000

// victim is a gang or task that could be stopped.
type victim struct {
	key  batch.TaskID
	refs []RunRef
	// cost is the work that would be lost, in core-seconds; runs of priority 0 count many times.
	cost float64
}

// victims returns what may be stopped for a job on each worker that it can use, the least costly first.
func (p *pass) victims(r *request) map[*site][]*victim {
	by := map[batch.TaskID]*victim{}
	at := map[*site][]*victim{}
	for _, st := range p.sites {
		if !r.allowed(st) {
			continue
		}
		for id, run := range p.book.Runs[st.id] {
			j := p.book.Jobs[id.Job]
			if !p.stoppable(r, j, RunRef{Task: id, Run: run}) {
				continue
			}
			key := id
			if j.Spec.Steps[id.Step].Gang {
				key.Index = -1
			}
			v := by[key]
			if v == nil {
				v = p.victim(j, key)
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

// stoppable reports whether a run may be stopped for a job: never one within its
// team's guarantee, and one of priority 0 only for such a job.
func (p *pass) stoppable(r *request, j *batch.Job, ref RunRef) bool {
	step := j.Spec.Steps[ref.Task.Step]
	switch {
	case p.o.stopping[ref] != "", j.State.Final(), j.Task(ref.Task).Done:
		return false
	case step.Lasting && step.MayMiss >= 0:
		return false
	}
	return !p.guaranteed(j) && (p.priority(j) > 0 || p.guaranteed(r.job))
}

// victim collects the runs that are stopped together: those of a gang, or one.
func (p *pass) victim(j *batch.Job, key batch.TaskID) *victim {
	v := &victim{key: key}
	for i, t := range j.Rounds[key.Round][key.Step].Tasks {
		if !t.Active || key.Index >= 0 && key.Index != i {
			continue
		}
		id := key
		id.Index = i
		v.refs = append(v.refs, RunRef{Task: id, Run: t.Run})
		v.cost += p.lost(j, id)
	}
	if p.priority(j) == 0 {
		v.cost = (v.cost + 1) * urgentWeight
	}
	return v
}

// cheapest returns the victims of least cost whose room, with what is freed
// already, gives a job a place; nil when there are none.
func (p *pass) cheapest(r *request, remote bool, freed map[*site]batch.Need) []*victim {
	at := p.victims(r)
	var best []*victim
	bestCost := 0.0
	for _, scope := range p.scopes(r, remote) {
		chosen, cost, ok := p.cheapestIn(r, at, scope, freed)
		if ok && (best == nil || cost < bestCost) {
			best, bestCost = chosen, cost
		}
	}
	return best
}

// scopes returns the sets of workers in one of which a job needs all its room,
// by the order in which fit looks for it: the rack of its data, a single rack, or
// with remote anywhere.
func (p *pass) scopes(r *request, remote bool) [][]*site {
	usable := slices.DeleteFunc(slices.Clone(p.sites), func(st *site) bool { return !r.allowed(st) })
	racks := map[string][]*site{}
	room := map[string]int{}
	for _, st := range usable {
		if st.flaky && r.step.SameRack && st.beat.Rack != r.step.DataRack {
			continue // fit puts no gang on it that wants a rack
		}
		racks[st.beat.Rack] = append(racks[st.beat.Rack], st)
		room[st.beat.Rack] += p.room(r, st, st.beat.Capacity)
	}
	if r.step.DataRack != "" && room[r.step.DataRack] >= r.count {
		return [][]*site{racks[r.step.DataRack]}
	}
	var out [][]*site
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

// cheapestIn chooses victims within a scope: again and again the worker whose
// victims cost least for each task that gains room.
func (p *pass) cheapestIn(r *request, at map[*site][]*victim, scope []*site, before map[*site]batch.Need) ([]*victim, float64, bool) {
	freed := maps.Clone(before)
	free := func(st *site) batch.Need { return st.free.Minus(st.held).Plus(freed[st]) }
	taken := map[*victim]bool{}
	var out []*victim
	for {
		total := 0
		for _, st := range scope {
			total += p.room(r, st, free(st))
		}
		if total >= r.count {
			break
		}
		var add []*victim
		least := 0.0
		for _, st := range scope {
			list, cost, gained := p.gain(r, at[st], st, free(st), taken)
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
			for _, ref := range v.refs {
				p.release(freed, ref)
			}
		}
	}
	return out, costOf(out), true
}

func costOf(list []*victim) float64 {
	sum := 0.0
	for _, v := range list {
		sum += v.cost
	}
	return sum
}

// gain returns the least costly victims on one worker that make room for at
// least one more task there, their cost, and for how many.
func (p *pass) gain(r *request, victims []*victim, st *site, free batch.Need, taken map[*victim]bool) (list []*victim, cost float64, gained int) {
	room := p.room(r, st, free)
	if room >= r.count {
		return nil, 0, 0
	}
	own := func(v *victim) batch.Need {
		var n batch.Need
		for _, ref := range v.refs {
			if p.siteOf(ref) == st {
				n = n.Plus(p.jobOf(ref).Spec.Steps[ref.Task.Step].Charge())
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
		if gained = p.room(r, st, with) - room; gained > 0 {
			break
		}
	}
	if gained == 0 {
		return nil, 0, 0
	}
	// Leave out the costliest that are not needed for the gain.
	for i := len(list) - 2; i >= 0; i-- {
		without := with.Minus(own(list[i]))
		if p.room(r, st, without)-room >= 1 {
			with, list = without, slices.Delete(list, i, i+1)
		}
	}
	return list, costOf(list), p.room(r, st, with) - room
}
