package sched

import (
	"cmp"
	"slices"
	"time"

	"turmericroute/batch"
)

const (
	// rackWaitShare bounds how long a step waits for its preferred rack before it runs elsewhere, as a fraction of
	// its estimated duration. Elsewhere it takes a multiple of that duration.
	rackWaitShare = 0.8
	// rackWaitReclaimShare bounds that wait for a guaranteed job, as a fraction of the reclaim time.
	rackWaitReclaimShare = 0.6
	// maxIdleRackWait bounds that wait while utilisation is below lowUtilisation.
	maxIdleRackWait = 1500 * time.Millisecond
	// maxReservedGangs is the number of reservations in one pass above which only guaranteed gangs get further ones;
	// more would idle the workers.
	maxReservedGangs = 3
	// lowUtilisation is the fraction of accelerators in use below which a gang beyond a guarantee gets no reservation
	// and a step waits for a rack for maxIdleRackWait at most, so that no work is queued while most workers are idle.
	lowUtilisation = 0.6
)

// placeGang places all tasks of a gang, or none.
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
	free := func(wv *workerView) batch.Resources { return wv.free.Minus(wv.reserved) }
	chosen := p.fit(&r, free, p.allowsRemote(&r, waited))
	if chosen == nil {
		p.l.blockedSince[first] = p.now - waited
		p.reserveOrPreempt(&r, waited)
		return
	}
	delete(p.l.blockedSince, first)
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

// allocation is a number of tasks on one worker.
type allocation struct {
	*workerView
	count int
}

// unusedAfter returns the leftover of the worker, as leftover measures it, after it has taken all tasks of the
// allocation.
func (c allocation) unusedAfter(r *request, free func(*workerView) batch.Resources) int {
	rest := &workerView{worker: c.worker, free: free(c.workerView)}
	for range c.count - 1 {
		rest.free = rest.free.Minus(r.need)
	}
	return leftover(rest, r.need)
}

// allowsRemote reports whether a step that prefers a single rack, or the rack of its data, may now run elsewhere,
// where it is slow.
func (p *pass) allowsRemote(r *request, waited time.Duration) bool {
	if !r.step.SameRack && r.step.DataRack == "" {
		return true
	}
	maxWait := time.Duration(rackWaitShare*float64(r.step.EstimateMS)) * time.Millisecond
	if p.guaranteed(r.job) {
		maxWait = min(maxWait, time.Duration(rackWaitReclaimShare*float64(p.s.cfg.Limits.Reclaim)))
	}
	if p.utilisation() < lowUtilisation {
		maxWait = min(maxWait, maxIdleRackWait)
	}
	if waited >= maxWait {
		return true
	}
	return p.fitsNoRack(r)
}

// fitsNoRack reports whether a step would not fit its preferred rack even if that were empty, so that waiting
// for the rack gains nothing.
func (p *pass) fitsNoRack(r *request) bool {
	return p.fit(r, func(wv *workerView) batch.Resources { return wv.hb.Capacity }, false) == nil
}

// fit chooses workers for all tasks of a request, given the free resources of each worker; it returns nil if they
// do not fit. Workers outside the preferred rack, on which the tasks are slow, are considered only with remote.
func (p *pass) fit(r *request, free func(*workerView) batch.Resources, remote bool) []allocation {
	if r.step.DataRack != "" {
		onDataRack := func(wv *workerView) bool { return wv.hb.Rack == r.step.DataRack }
		if c := p.pack(r, free, onDataRack); c != nil || !remote {
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

// fitRack places a gang on the rack with the least room that fits it whole, without flaky workers; it returns nil
// if there is none.
func (p *pass) fitRack(r *request, free func(*workerView) batch.Resources) []allocation {
	room := map[string]int{}
	for _, wv := range p.views {
		if !wv.flaky {
			room[wv.hb.Rack] += p.fitCount(r, wv, free(wv))
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
	return p.pack(r, free, func(wv *workerView) bool { return wv.hb.Rack == best && !wv.flaky })
}

// pack places all tasks on the workers for which accept returns true, best fit first and flaky workers last; it returns
// nil if they do not fit.
func (p *pass) pack(r *request, free func(*workerView) batch.Resources, accept func(*workerView) bool) []allocation {
	var list []allocation
	total := 0
	for _, wv := range p.views {
		if !accept(wv) {
			continue
		}
		if n := p.fitCount(r, wv, free(wv)); n > 0 {
			list = append(list, allocation{wv, n})
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

// reserveOrPreempt preempts other runs for a gang that could not be placed, or else reserves its earliest placement,
// so that smaller jobs do not take the resources.
func (p *pass) reserveOrPreempt(r *request, waited time.Duration) {
	if p.preemptIfDue(r, waited) {
		return
	}
	if !p.guaranteed(r.job) && (p.reservedGangs >= maxReservedGangs || p.utilisation() < lowUtilisation) {
		return
	}
	if chosen, _ := p.earliestPlacement(r, func(d time.Duration) bool { return p.allowsRemote(r, waited+d) }); chosen != nil {
		p.reservedGangs++
		p.reserve(r, chosen)
	}
}

// earliestPlacement returns the placement that becomes possible first as running tasks finish, and the horizon
// within which it does; nil if there is none within the longest horizon. remote reports whether the placement may be
// outside the preferred rack at that horizon.
func (p *pass) earliestPlacement(r *request, remote func(time.Duration) bool) ([]allocation, time.Duration) {
	for _, horizon := range horizons {
		projected := func(wv *workerView) batch.Resources { return p.freeWithin(wv, horizon).Minus(wv.reserved) }
		if chosen := p.fit(r, projected, remote(horizon)); chosen != nil {
			return chosen, horizon
		}
	}
	return nil, 0
}

// horizons are the times for which earliestPlacement projects the free resources, shortest first.
var horizons = []time.Duration{500 * time.Millisecond, time.Second, 2 * time.Second, 4 * time.Second, 8 * time.Second}

// freeWithin returns the resources that are free on a worker once the runs expected to end within d have ended.
func (p *pass) freeWithin(wv *workerView, d time.Duration) batch.Resources {
	free := wv.free
	addIfEnding := func(id batch.TaskID, r RunState) {
		j := p.state.Jobs[id.Job]
		if j == nil || id.Step >= len(j.Spec.Steps) || j.Spec.Steps[id.Step].LongRunning {
			return
		}
		if p.s.remaining(wv.worker, j, r, p.now) <= d {
			free = free.Plus(j.Spec.Steps[id.Step].Reservation())
		}
	}
	for id, r := range wv.running {
		addIfEnding(id, r)
	}
	for id, run := range p.state.Runs[wv.id] {
		if _, reported := wv.running[id]; !reported {
			addIfEnding(id, RunState{Task: id, Run: run})
		}
	}
	return free
}

// remaining estimates the remaining duration of a run from its progress, or else from the caller's estimate.
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

// minProgress is the progress in percent from which the speed of a run can be extrapolated.
const minProgress = 10

// utilisation returns the fraction of the usable workers' accelerators that is in use.
func (p *pass) utilisation() float64 {
	free, all := 0, 0
	for _, wv := range p.views {
		free += max(0, wv.free.GPUs)
		all += wv.hb.Capacity.GPUs
	}
	if all == 0 {
		return 0
	}
	return 1 - float64(free)/float64(all)
}

// reserve reserves the resources of a placement for the rest of the pass.
func (p *pass) reserve(r *request, chosen []allocation) {
	for _, c := range chosen {
		for range c.count {
			c.reserved = c.reserved.Plus(r.need)
		}
	}
}
