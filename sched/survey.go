package sched

import (
	"cmp"
	"slices"
	"time"

	"turmericroute/batch"
)

// workerView is a worker during a placement pass.
type workerView struct {
	*worker
	id   string
	free batch.Resources
	// reserved is room that is kept for a more urgent gang.
	reserved batch.Resources
	flaky    bool
	// servingTasks and bestEffortTasks count tasks that share the processor.
	servingTasks, bestEffortTasks int
}

// pass is one placement pass over a fixed state.
type pass struct {
	s        *Scheduler
	o        *leadership
	state    *batch.State
	now      time.Duration
	nowMS    int64
	views    []*workerView
	viewByID map[string]*workerView
	starts   []batch.Start
	// demand counts the accelerators that the open jobs of priority 0 of each team need.
	demand map[string]int
	// reservedGangs counts the gangs for which room is held in this pass.
	reservedGangs int
}

// survey finds the room on each usable worker.
func (p *pass) survey() {
	silent := p.o.silentAfter()
	for id, w := range p.o.workers {
		if !w.usable(p.state, p.now, silent) {
			continue
		}
		st := &workerView{worker: w, id: id, free: w.hb.Capacity, flaky: w.flaky(p.now)}
		for t := range p.state.Runs[id] {
			p.allocate(st, t)
		}
		for t := range w.running {
			if p.state.Runs[id][t] == 0 {
				// A run that the ledger has ended or does not know holds its room until it is gone.
				p.allocate(st, t)
			}
		}
		p.viewByID[id] = st
		p.views = append(p.views, st)
	}
	for t, start := range p.o.pending {
		if st := p.viewByID[start.Worker]; st != nil && p.state.Runs[start.Worker][t] == 0 {
			p.allocate(st, t)
		}
	}
	slices.SortFunc(p.views, func(a, b *workerView) int { return cmp.Compare(a.id, b.id) })
}

// allocate removes a task's room from a worker; an unknown task takes all of it.
func (p *pass) allocate(st *workerView, id batch.TaskID) {
	j := p.state.Jobs[id.Job]
	if j == nil || id.Step >= len(j.Spec.Steps) {
		st.free = batch.Resources{}
		return
	}
	step := j.Spec.Steps[id.Step]
	st.free = st.free.Minus(step.Reservation())
	if step.BestEffort {
		st.bestEffortTasks++
	}
	if step.TargetMS > 0 {
		st.servingTasks++
	}
}
