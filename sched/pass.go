package sched

import (
	"cmp"
	"slices"
	"time"

	"turmericroute/batch"
)

// workerView is a usable worker as seen by one placement pass.
type workerView struct {
	*worker
	id   string
	free batch.Resources
	// reserved holds the resources that are reserved for higher-ranked jobs.
	reserved batch.Resources
	flaky    bool
	// servingTasks and bestEffortTasks count the worker's tasks of both kinds, which placement does not mix.
	servingTasks, bestEffortTasks int
}

// pass is one placement pass over a fixed state of the ledger.
type pass struct {
	s        *Scheduler
	l        *leaderState
	state    *batch.State
	now      time.Duration
	nowMS    int64
	views    []*workerView
	viewByID map[string]*workerView
	starts   []batch.Start
	// demand counts the accelerators that the open jobs of priority 0 of each team need.
	demand map[string]int
	// reservedGangs counts the gangs that resources coming free were reserved for in this pass.
	reservedGangs int
}

// survey collects the usable workers and their free resources.
func (p *pass) survey() {
	silent := p.l.silentAfter()
	for id, w := range p.l.workers {
		if !w.usable(p.state, p.now, silent) {
			continue
		}
		wv := &workerView{worker: w, id: id, free: w.hb.Capacity, flaky: w.flaky(p.now)}
		for t := range p.state.Runs[id] {
			p.allocate(wv, t)
		}
		for t := range w.running {
			if p.state.Runs[id][t] == 0 {
				// A run that has ended in the ledger or is unknown to it keeps its resources until the worker drops it.
				p.allocate(wv, t)
			}
		}
		p.viewByID[id] = wv
		p.views = append(p.views, wv)
	}
	for t, start := range p.l.pending {
		if wv := p.viewByID[start.Worker]; wv != nil && p.state.Runs[start.Worker][t] == 0 {
			p.allocate(wv, t)
		}
	}
	slices.SortFunc(p.views, func(a, b *workerView) int { return cmp.Compare(a.id, b.id) })
}

// allocate subtracts the resources of a task from those free on a worker; an unknown task takes all of them.
func (p *pass) allocate(wv *workerView, id batch.TaskID) {
	j := p.state.Jobs[id.Job]
	if j == nil || id.Step >= len(j.Spec.Steps) {
		wv.free = batch.Resources{}
		return
	}
	step := j.Spec.Steps[id.Step]
	wv.free = wv.free.Minus(step.Reservation())
	if step.BestEffort {
		wv.bestEffortTasks++
	}
	if step.TargetMS > 0 {
		wv.servingTasks++
	}
}
