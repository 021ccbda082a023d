package sched

import (
	"cmp"
	"slices"
	"time"

	"turmericroute/batch"
)

const (
	// remotePatience is how long, in shares of its estimated time, a step waits for the rack that it wants
	// before it runs elsewhere, where it takes a multiple of that time.
	remotePatience = 0.8
	// remoteShare bounds that wait for a guaranteed job, in shares of the reclaim time.
	remoteShare = 0.6
	// idlePatience bounds that wait while most accelerators are idle.
	idlePatience = 1500 * time.Millisecond
	// maxHolding bounds the gangs for which room is held at once; more would idle the workers.
	maxHolding = 3
	// idleShare is the share of accelerators in use below which no room is held and no rack waited for:
	// waiting work must not stand beside workers that are mostly free.
	idleShare = 0.6
)

// gang places all tasks of a gang together or none.
func (p *pass) gang(j *batch.Job, first batch.TaskID) {
	tasks := j.Rounds[first.Round][first.Step].Tasks
	run := 0
	for i := range tasks {
		id := first
		id.Index = i
		if !p.idle(j, id) {
			return
		}
		run = max(run, tasks[i].Run)
	}
	r, ok := p.request(j, first)
	if !ok {
		return
	}
	waited := p.waited(first)
	free := func(st *site) batch.Need { return st.free.Minus(st.held) }
	chosen := p.fit(&r, free, p.mayBeRemote(&r, waited))
	if chosen == nil {
		p.o.blocked[first] = p.now - waited
		p.hold(&r, waited)
		return
	}
	delete(p.o.blocked, first)
	i := 0
	for _, c := range chosen {
		for range c.count {
			id := first
			id.Index = i
			p.start(c.site, id, run+1)
			i++
		}
	}
}

// share is a number of tasks on a worker.
type share struct {
	*site
	count int
}

// left returns what stays free on the worker when it takes all that it can of a gang.
func (c share) left(r *request, free func(*site) batch.Need) int {
	rest := &site{worker: c.worker, free: free(c.site)}
	for range c.count - 1 {
		rest.free = rest.free.Minus(r.need)
	}
	return leftover(rest, r.need)
}

// mayBeRemote reports whether a step that wants one rack, or the rack of its
// data, may now run where it is slow.
func (p *pass) mayBeRemote(r *request, waited time.Duration) bool {
	if !r.step.SameRack && r.step.DataRack == "" {
		return true
	}
	patience := time.Duration(remotePatience*float64(r.step.EstimateMS)) * time.Millisecond
	if p.guaranteed(r.job) {
		patience = min(patience, time.Duration(remoteShare*float64(p.s.cfg.Limits.Reclaim)))
	}
	if p.busy() < idleShare {
		patience = min(patience, idlePatience)
	}
	if waited >= patience {
		return true
	}
	return p.fitsNoRack(r)
}

// fitsNoRack reports whether not even an empty rack that a step wants has room
// for it, so that it gains nothing by waiting.
func (p *pass) fitsNoRack(r *request) bool {
	return p.fit(r, func(st *site) batch.Need { return st.beat.Capacity }, false) == nil
}

// fit chooses workers for all tasks of a request, nil when there is no room;
// with remote also those on which they are slow.
func (p *pass) fit(r *request, free func(*site) batch.Need, remote bool) []share {
	if r.step.DataRack != "" {
		in := func(st *site) bool { return st.beat.Rack == r.step.DataRack }
		if c := p.pack(r, free, in); c != nil || !remote {
			return c
		}
	}
	if r.step.SameRack {
		if c := p.fitRack(r, free); c != nil || !remote {
			return c
		}
	}
	return p.pack(r, free, func(*site) bool { return true })
}

// fitRack chooses the rack that the gang fills best.
func (p *pass) fitRack(r *request, free func(*site) batch.Need) []share {
	room := map[string]int{}
	for _, st := range p.sites {
		if !st.flaky {
			room[st.beat.Rack] += p.room(r, st, free(st))
		}
	}
	best := ""
	for rack, n := range room {
		if n >= r.count && (best == "" || n < room[best] || n == room[best] && rack < best) {
			best = rack
		}
	}
	if best == "" {
		return nil
	}
	return p.pack(r, free, func(st *site) bool { return st.beat.Rack == best && !st.flaky })
}

// pack puts all tasks on as few workers as it can among those in, the fullest first.
func (p *pass) pack(r *request, free func(*site) batch.Need, in func(*site) bool) []share {
	var list []share
	total := 0
	for _, st := range p.sites {
		if !in(st) {
			continue
		}
		if n := p.room(r, st, free(st)); n > 0 {
			list = append(list, share{st, n})
			total += n
		}
	}
	if total < r.count {
		return nil
	}
	slices.SortStableFunc(list, func(a, b share) int {
		return cmp.Or(cmp.Compare(flag(a.flaky), flag(b.flaky)), cmp.Compare(a.left(r, free), b.left(r, free)))
	})
	left := r.count
	var out []share
	for _, c := range list {
		n := min(c.count, left)
		out = append(out, share{c.site, n})
		if left -= n; left == 0 {
			break
		}
	}
	return out
}

// hold keeps room for a gang that finds no place, so that smaller jobs do not
// take it up again, unless others are stopped for it.
func (p *pass) hold(r *request, waited time.Duration) {
	if p.claim(r, waited) {
		return
	}
	if !p.guaranteed(r.job) && (p.holding >= maxHolding || p.busy() < idleShare) {
		return
	}
	if chosen, _ := p.soonest(r, func(d time.Duration) bool { return p.mayBeRemote(r, waited+d) }); chosen != nil {
		p.holding++
		p.keep(r, chosen)
	}
}

// soonest returns the place that comes free first by runs that end by themselves, and within which
// time; remote says whether it may be a slow one that long from now.
func (p *pass) soonest(r *request, remote func(time.Duration) bool) ([]share, time.Duration) {
	for _, horizon := range horizons {
		soon := func(st *site) batch.Need { return p.freeWithin(st, horizon).Minus(st.held) }
		if chosen := p.fit(r, soon, remote(horizon)); chosen != nil {
			return chosen, horizon
		}
	}
	return nil, 0
}

// horizons are the times within which a blocked gang may expect its place, for
// which the room is held that makes up the earliest such place.
var horizons = []time.Duration{500 * time.Millisecond, time.Second, 2 * time.Second, 4 * time.Second, 8 * time.Second}

// freeWithin returns the room on a worker once the runs that should end within d have ended.
func (p *pass) freeWithin(st *site, d time.Duration) batch.Need {
	free := st.free
	ends := func(id batch.TaskID, r RunState) {
		j := p.book.Jobs[id.Job]
		if j == nil || id.Step >= len(j.Spec.Steps) || j.Spec.Steps[id.Step].Lasting {
			return
		}
		if p.s.remaining(st.worker, j, r, p.now) <= d {
			free = free.Plus(j.Spec.Steps[id.Step].Charge())
		}
	}
	for id, r := range st.running {
		ends(id, r)
	}
	for id, run := range p.book.Runs[st.id] {
		if _, reported := st.running[id]; !reported {
			ends(id, RunState{Task: id, Run: run})
		}
	}
	return free
}

// remaining estimates how long a run goes on, by its progress so far or else by the caller's estimate.
func (s *Scheduler) remaining(w *worker, j *batch.Job, r RunState, now time.Duration) time.Duration {
	ref := RunRef{Task: r.Task, Run: r.Run}
	if w.stopped[ref] != 0 {
		return s.cfg.Limits.StopGrace
	}
	estimate := time.Duration(j.Spec.Steps[r.Task.Step].EstimateMS) * time.Millisecond
	first, ok := w.progress[ref]
	if !ok || r.Percent <= first.percent || r.Percent < minProgress {
		return estimate
	}
	elapsed := now - first.at
	return time.Duration(float64(elapsed) * float64(100-r.Percent) / float64(r.Percent-first.percent))
}

// minProgress is the progress in percent from which a run's speed can be told.
const minProgress = 10

// busy returns the share of the usable workers' accelerators that is in use.
func (p *pass) busy() float64 {
	free, all := 0, 0
	for _, st := range p.sites {
		free += max(0, st.free.GPUs)
		all += st.beat.Capacity.GPUs
	}
	if all == 0 {
		return 0
	}
	return 1 - float64(free)/float64(all)
}

// keep holds the room of a choice of workers.
func (p *pass) keep(r *request, chosen []share) {
	for _, c := range chosen {
		for range c.count {
			c.held = c.held.Plus(r.need)
		}
	}
}
