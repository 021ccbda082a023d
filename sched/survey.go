package sched

import (
	"cmp"
	"slices"
	"time"

	"turmericroute/batch"
)

// site is a worker during a placement pass.
type site struct {
	*worker
	id   string
	free batch.Need
	// held is room that is kept for a more urgent gang.
	held  batch.Need
	flaky bool
	// serves and fills count tasks that share the processor.
	serves, fills int
}

// pass is one placement pass over a fixed state.
type pass struct {
	s     *Scheduler
	o     *office
	book  *batch.Book
	now   time.Duration
	nowMS int64
	sites []*site
	by    map[string]*site
	out   []batch.Start
	// demand counts the accelerators that the open jobs of priority 0 of each team need.
	demand map[string]int
	// holding counts the gangs for which room is held in this pass.
	holding int
}

// survey finds the room on each usable worker.
func (p *pass) survey() {
	silent := p.o.silentAfter()
	for id, w := range p.o.workers {
		if !w.usable(p.book, p.now, silent) {
			continue
		}
		st := &site{worker: w, id: id, free: w.beat.Capacity, flaky: w.flaky(p.now)}
		for t := range p.book.Runs[id] {
			p.take(st, t)
		}
		for t := range w.running {
			if p.book.Runs[id][t] == 0 {
				// A run that the ledger has ended or does not know holds its room until it is gone.
				p.take(st, t)
			}
		}
		p.by[id] = st
		p.sites = append(p.sites, st)
	}
	for t, start := range p.o.pending {
		if st := p.by[start.Worker]; st != nil && p.book.Runs[start.Worker][t] == 0 {
			p.take(st, t)
		}
	}
	slices.SortFunc(p.sites, func(a, b *site) int { return cmp.Compare(a.id, b.id) })
}

// take removes a task's room from a worker; an unknown task takes all of it.
func (p *pass) take(st *site, id batch.TaskID) {
	j := p.book.Jobs[id.Job]
	if j == nil || id.Step >= len(j.Spec.Steps) {
		st.free = batch.Need{}
		return
	}
	step := j.Spec.Steps[id.Step]
	st.free = st.free.Minus(step.Charge())
	if step.Filler {
		st.fills++
	}
	if step.TargetMS > 0 {
		st.serves++
	}
}
