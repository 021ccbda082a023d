package sched

import (
	"cmp"
	"container/heap"
	"maps"
	"math"
	"slices"

	"turmericroute/batch"
)

// victimSearch chooses victims within a scope greedily: it repeatedly adds the victims of the worker with the least cost
// per task that gains room. After each step only the workers on which room has changed are looked at again.
type victimSearch struct {
	p     *pass
	r     *request
	at    map[*workerView][]*victim
	freed map[*workerView]batch.Resources
	scope map[*workerView]int // the tasks that have room on each worker
	// total is the sum of scope.
	total  int
	offers offers
	// latest holds the latest offer of each worker; earlier ones are no longer valid.
	latest map[*workerView]*offer
	// chosen holds the chosen victims and cost their total cost, which must stay below maxCost.
	chosen        []*victim
	isChosen      map[*victim]bool
	cost, maxCost float64
}

// newVictimSearch returns a search in which the resources in freed are free as well.
func newVictimSearch(p *pass, r *request, at map[*workerView][]*victim, scope []*workerView, freed map[*workerView]batch.Resources) *victimSearch {
	s := &victimSearch{
		p: p, r: r, at: at, freed: maps.Clone(freed), scope: make(map[*workerView]int, len(scope)),
		latest: make(map[*workerView]*offer, len(scope)), isChosen: map[*victim]bool{}, maxCost: math.Inf(1),
	}
	for _, wv := range scope {
		s.scope[wv] = p.fitCount(r, wv, s.free(wv))
		s.total += s.scope[wv]
	}
	return s
}

func (s *victimSearch) free(wv *workerView) batch.Resources {
	return wv.free.Minus(wv.reserved).Plus(s.freed[wv])
}

// run reports whether there are victims enough for all tasks of the request, at a lower cost than maxCost.
func (s *victimSearch) run() bool {
	if s.total >= s.r.count {
		return true
	}
	for wv := range s.scope {
		s.offer(wv)
	}
	heap.Init(&s.offers)
	for s.total < s.r.count {
		if len(s.offers) == 0 {
			return false
		}
		o := heap.Pop(&s.offers).(*offer)
		if s.latest[o.worker] != o {
			continue
		}
		if s.cost += o.cost; s.cost >= s.maxCost {
			return false
		}
		s.add(o.victims)
	}
	return true
}

// add chooses victims and looks again at the workers on which they run.
func (s *victimSearch) add(victims []*victim) {
	changed := map[*workerView]bool{}
	for _, v := range victims {
		s.isChosen[v] = true
		s.chosen = append(s.chosen, v)
		for wv, need := range v.on {
			s.freed[wv] = s.freed[wv].Plus(need)
			changed[wv] = true
		}
	}
	for wv := range changed {
		before, inScope := s.scope[wv]
		if !inScope {
			continue
		}
		s.scope[wv] = s.p.fitCount(s.r, wv, s.free(wv))
		s.total += s.scope[wv] - before
		s.latest[wv] = nil
		if o := s.offer(wv); o != nil {
			heap.Fix(&s.offers, len(s.offers)-1)
		}
	}
}

// offer adds the offer of a worker, if it has one, to the end of the offers.
func (s *victimSearch) offer(wv *workerView) *offer {
	victims, cost, gained := s.cheapestOn(wv)
	if gained == 0 {
		return nil
	}
	o := &offer{worker: wv, victims: victims, cost: cost, perTask: cost / float64(gained)}
	s.latest[wv] = o
	s.offers = append(s.offers, o)
	return o
}

// cheapestOn returns the cheapest victims on one worker that make room for at least one more task there, their total
// cost, and the number of tasks that gain room; the number is 0 if there are none.
func (s *victimSearch) cheapestOn(wv *workerView) (list []*victim, cost float64, gained int) {
	room := s.scope[wv]
	if room >= s.r.count {
		return nil, 0, 0
	}
	free := s.free(wv)
	for _, v := range s.at[wv] {
		if s.isChosen[v] {
			continue
		}
		list = append(list, v)
		free = free.Plus(v.on[wv])
		if gained = s.p.fitCount(s.r, wv, free) - room; gained > 0 {
			break
		}
	}
	if gained == 0 {
		return nil, 0, 0
	}
	// Drop victims that are not needed to gain room for one task, costliest first.
	for i := len(list) - 2; i >= 0; i-- {
		without := free.Minus(list[i].on[wv])
		if s.p.fitCount(s.r, wv, without)-room >= 1 {
			free, list = without, slices.Delete(list, i, i+1)
		}
	}
	return list, totalCost(list), s.p.fitCount(s.r, wv, free) - room
}

// offer is the cheapest way to make room on a worker.
type offer struct {
	worker  *workerView
	victims []*victim
	cost    float64
	perTask float64
}

// offers is a heap of offers, that of the least cost per task first.
type offers []*offer

func (o offers) Len() int { return len(o) }
func (o offers) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(o[i].perTask, o[j].perTask), compareViews(o[i].worker, o[j].worker)) < 0
}
func (o offers) Swap(i, j int) { o[i], o[j] = o[j], o[i] }

// Push adds an offer; package heap calls it.
func (o *offers) Push(x any) { *o = append(*o, x.(*offer)) }

// Pop removes the last offer; package heap calls it.
func (o *offers) Pop() any {
	last := (*o)[len(*o)-1]
	*o = (*o)[:len(*o)-1]
	return last
}
