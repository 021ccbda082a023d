package sched

import (
	"cmp"
	"slices"
	"time"

	"turmericroute/batch"
)

const (
	// rackWaitShare is how long, in shares of its estimated time, a step waits for the rack that it wants
	// before it runs elsewhere, where it takes a multiple of that time.
	rackWaitShare = 0.8
	// rackWaitReclaimShare bounds that wait for a guaranteed job, in shares of the reclaim time.
	rackWaitReclaimShare = 0.6
	// maxIdleRackWait bounds that wait while most accelerators are idle.
	maxIdleRackWait = 1500 * time.Millisecond
	// maxReservedGangs bounds the gangs for which room is held at once; more would idle the workers.
	maxReservedGangs = 3
	// lowUtilisation is the share of accelerators in use below which no room is held and no rack waited for:
	// waiting work must not stand beside workers that are mostly free.
	lowUtilisation = 0.6
)

// placeGang places all tasks of a placeGang together or none.
func (p *pass) placeGang(j *batch.Job, first batch.TaskID) {
	tasks := j.Rounds[first.Round][first.Step].Tasks
	run := 0
	for i := range tasks {
		id := first
		id.Index = i
		if !p.needsRun(j, id) {
			return
		}
		run = max(run, tasks[i].Run)
	}
	r, ok := p.newRequest(j, first)
	if !ok {
		return
	}
	waited := p.waited(first)
	free := func(st *workerView) batch.Resources { return st.free.Minus(st.reserved) }
	chosen := p.fit(&r, free, p.allowsRemote(&r, waited))
	if chosen == nil {
		p.o.blockedSince[first] = p.now - waited
		p.reserveOrPreempt(&r, waited)
		return
	}
	delete(p.o.blockedSince, first)
	i := 0
	for _, c := range chosen {
		for range c.count {
			id := first
			id.Index = i
			p.assign(c.workerView, id, run+1)
			i++
		}
	}
}

// allocation is a number of tasks on a worker.
type allocation struct {
	*workerView
	count int
}

// unusedAfter returns what stays free on the worker when it takes all that it can of a gang.
func (c allocation) unusedAfter(r *request, free func(*workerView) batch.Resources) int {
	rest := &workerView{worker: c.worker, free: free(c.workerView)}
	for range c.count - 1 {
		rest.free = rest.free.Minus(r.need)
	}
	return leftover(rest, r.need)
}

// allowsRemote reports whether a step that wants one rack, or the rack of its
// data, may now run where it is slow.
func (p *pass) allowsRemote(r *request, waited time.Duration) bool {
	if !r.step.SameRack && r.step.DataRack == "" {
		return true
	}
	patience := time.Duration(rackWaitShare*float64(r.step.EstimateMS)) * time.Millisecond
	if p.guaranteed(r.job) {
		patience = min(patience, time.Duration(rackWaitReclaimShare*float64(p.s.cfg.Limits.Reclaim)))
	}
	if p.utilisation() < lowUtilisation {
		patience = min(patience, maxIdleRackWait)
	}
	if waited >= patience {
		return true
	}
	return p.fitsNoRack(r)
}

// fitsNoRack reports whether not even an empty rack that a step wants has room
// for it, so that it gains nothing by waiting.
func (p *pass) fitsNoRack(r *request) bool {
	return p.fit(r, func(st *workerView) batch.Resources { return st.hb.Capacity }, false) == nil
}

// fit chooses workers for all tasks of a request, nil when there is no room;
// with remote also those on which they are slow.
func (p *pass) fit(r *request, free func(*workerView) batch.Resources, remote bool) []allocation {
	if r.step.DataRack != "" {
		in := func(st *workerView) bool { return st.hb.Rack == r.step.DataRack }
		if c := p.pack(r, free, in); c != nil || !remote {
			return c
		}
	}
	if r.step.SameRack {
		if c := p.fitRack(r, free); c != nil || !remote {
			return c
		}
	}
	return p.pack(r, free, func(*workerView) bool { return true })
}

// fitRack chooses the rack that the gang fills best.
func (p *pass) fitRack(r *request, free func(*workerView) batch.Resources) []allocation {
	room := map[string]int{}
	for _, st := range p.views {
		if !st.flaky {
			room[st.hb.Rack] += p.fitCount(r, st, free(st))
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
	return p.pack(r, free, func(st *workerView) bool { return st.hb.Rack == best && !st.flaky })
}

// pack puts all tasks on as few workers as it can among those in, the fullest first.
func (p *pass) pack(r *request, free func(*workerView) batch.Resources, in func(*workerView) bool) []allocation {
	var list []allocation
	total := 0
	for _, st := range p.views {
		if !in(st) {
			continue
		}
		if n := p.fitCount(r, st, free(st)); n > 0 {
			list = append(list, allocation{st, n})
			total += n
		}
	}
	if total < r.count {
		return nil
	}
	slices.SortStableFunc(list, func(a, b allocation) int {
		return cmp.Or(cmp.Compare(boolToInt(a.flaky), boolToInt(b.flaky)), cmp.Compare(a.unusedAfter(r, free), b.unusedAfter(r, free)))
	})
	left := r.count
	var out []allocation
	for _, c := range list {
		n := min(c.count, left)
		out = append(out, allocation{c.workerView, n})
		if left -= n; left == 0 {
			break
		}
	}
	return out
}

// reserveOrPreempt keeps room for a gang that finds no place, so that smaller jobs do not
// take it up again, unless others are stopped for it.
func (p *pass) reserveOrPreempt(r *request, waited time.Duration) {
	if p.preemptIfDue(r, waited) {
		return
	}
	if !p.guaranteed(r.job) && (p.reservedGangs >= maxReservedGangs || p.utilisation() < lowUtilisation) {
		return
	}
	if chosen, _ := p.earliestPlace(r, func(d time.Duration) bool { return p.allowsRemote(r, waited+d) }); chosen != nil {
		p.reservedGangs++
		p.reserve(r, chosen)
	}
}

// earliestPlace returns the place that comes free first by runs that end by themselves, and within which
// time; remote says whether it may be a slow one that long from now.
func (p *pass) earliestPlace(r *request, remote func(time.Duration) bool) ([]allocation, time.Duration) {
	for _, horizon := range horizons {
		soon := func(st *workerView) batch.Resources { return p.freeWithin(st, horizon).Minus(st.reserved) }
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
func (p *pass) freeWithin(st *workerView, d time.Duration) batch.Resources {
	free := st.free
	ends := func(id batch.TaskID, r RunState) {
		j := p.state.Jobs[id.Job]
		if j == nil || id.Step >= len(j.Spec.Steps) || j.Spec.Steps[id.Step].LongRunning {
			return
		}
		if p.s.remaining(st.worker, j, r, p.now) <= d {
			free = free.Plus(j.Spec.Steps[id.Step].Reservation())
		}
	}
	for id, r := range st.running {
		ends(id, r)
	}
	for id, run := range p.state.Runs[st.id] {
		if _, reported := st.running[id]; !reported {
			ends(id, RunState{Task: id, Run: run})
		}
	}
	return free
}

// remaining estimates how long a run goes on, by its progress so far or else by the caller's estimate.
func (s *Scheduler) remaining(w *worker, j *batch.Job, r RunState, now time.Duration) time.Duration {
	ref := RunRef{Task: r.Task, Run: r.Run}
	if w.stopSeq[ref] != 0 {
		return s.cfg.Limits.StopGrace
	}
	estimate := time.Duration(j.Spec.Steps[r.Task.Step].EstimateMS) * time.Millisecond
	first, ok := w.firstReports[ref]
	if !ok || r.Percent <= first.percent || r.Percent < minProgress {
		return estimate
	}
	elapsed := now - first.at
	return time.Duration(float64(elapsed) * float64(100-r.Percent) / float64(r.Percent-first.percent))
}

// minProgress is the progress in percent from which a run's speed can be told.
const minProgress = 10

// utilisation returns the share of the usable workers' accelerators that is in use.
func (p *pass) utilisation() float64 {
	free, all := 0, 0
	for _, st := range p.views {
		free += max(0, st.free.GPUs)
		all += st.hb.Capacity.GPUs
	}
	if all == 0 {
		return 0
	}
	return 1 - float64(free)/float64(all)
}

// reserve holds the room of a choice of workers.
func (p *pass) reserve(r *request, chosen []allocation) {
	for _, c := range chosen {
		for range c.count {
			c.reserved = c.reserved.Plus(r.need)
		}
	}
}
