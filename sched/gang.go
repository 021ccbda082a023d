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

// placeGang places all tasks of a gang, or none, and reports whether it did.
func (p *pass) placeGang(w *waitingStep) bool {
	r, ok := p.newRequest(w)
	if !ok {
		return false
	}
	p.deferFor(&r)
	chosen := p.fitNow(&r, p.allowsRemote(&r, w.waited(p.now)))
	if chosen == nil {
		w.block(p.now)
		p.reserveOrPreempt(&r)
		p.scheduleRetry(&r)
		return false
	}
	run := 0
	for _, t := range w.job.Rounds[w.first.Round][w.first.Step].Tasks {
		run = max(run, t.Run)
	}
	id := w.first
	for _, c := range chosen {
		for range c.count {
			p.assign(c.workerView, id, run+1)
			id.Index++
		}
	}
	return true
}

// allocation is a number of tasks on one worker.
type allocation struct {
	*workerView
	count int
	// unused is the leftover of the worker once it has taken them.
	unused int
}

// rackWait returns how long a step waits for its preferred rack.
func (p *pass) rackWait(r *request) time.Duration {
	maxWait := time.Duration(rackWaitShare*float64(r.step.EstimateMS)) * time.Millisecond
	if p.guaranteed(r.job) {
		maxWait = min(maxWait, time.Duration(rackWaitReclaimShare*float64(p.s.cfg.Limits.Reclaim)))
	}
	if p.room.utilisation() < lowUtilisation {
		maxWait = min(maxWait, maxIdleRackWait)
	}
	return maxWait
}

// allowsRemote reports whether a step that prefers a single rack, or the rack of its data, may now run elsewhere,
// where it is slow.
func (p *pass) allowsRemote(r *request, waited time.Duration) bool {
	if !r.step.SameRack && r.step.DataRack == "" {
		return true
	}
	return waited >= p.rackWait(r) || p.fitsNoRack(r)
}

// fitsNoRack reports whether a step would not fit its preferred rack even if that were empty, so that waiting
// for the rack gains nothing.
func (p *pass) fitsNoRack(r *request) bool {
	sh := r.shape
	if sh.emptyRackVersion != p.room.version || sh.emptyRack == nil {
		sh.emptyRack, sh.emptyRackVersion = map[int]bool{}, p.room.version
	}
	none, known := sh.emptyRack[r.count]
	if !known {
		none = p.fit(r, func(wv *workerView) batch.Resources { return wv.hb.Capacity }, false) == nil
		sh.emptyRack[r.count] = none
	}
	return none
}

// fitNow chooses workers for all tasks of a request from what is free now; it returns nil if they do not fit.
func (p *pass) fitNow(r *request, remote bool) []allocation {
	return p.fitOnce(r, r.supply(), remote, func(wv *workerView) batch.Resources { return p.freeFor(r, wv) })
}

// fitOnce is fit, but fails at once if as many tasks of the shape have found no place before in this pass.
func (p *pass) fitOnce(r *request, s supply, remote bool, free func(*workerView) batch.Resources) []allocation {
	if r.shape.at(p.number).hasFailed(s, remote, r.count) {
		return nil
	}
	chosen := p.fit(r, free, remote)
	if chosen == nil {
		r.shape.noteFailure(s, remote, r.count)
	}
	return chosen
}

// fit chooses workers for all tasks of a request, given the free resources of each worker; it returns nil if they
// do not fit. Workers outside the preferred rack, on which the tasks are slow, are considered only with remote.
func (p *pass) fit(r *request, free func(*workerView) batch.Resources, remote bool) []allocation {
	if r.step.DataRack != "" {
		if rack := p.room.racks[r.step.DataRack]; rack != nil {
			if c := p.pack(r, free, rack.list, true); c != nil {
				return c
			}
		}
		if !remote {
			return nil
		}
	}
	if r.step.SameRack {
		if c := p.fitRack(r, free); c != nil || !remote {
			return c
		}
	}
	return p.pack(r, free, p.room.list, true)
}

// fitRack places a gang on the rack with the least room that fits it whole, without flaky workers; it returns nil
// if there is none.
func (p *pass) fitRack(r *request, free func(*workerView) batch.Resources) []allocation {
	var best *rackRoom
	least := 0
	for _, rack := range p.room.racks {
		n := 0
		for _, wv := range rack.list {
			if !wv.flaky {
				n += p.fitCount(r, wv, free(wv))
			}
		}
		if n >= r.count && (best == nil || n < least || n == least && rack.name < best.name) {
			best, least = rack, n
		}
	}
	if best == nil {
		return nil
	}
	return p.pack(r, free, best.list, false)
}

// pack places all tasks on the listed workers: those on the racks with the least room first, in a rack best fit first,
// then flaky workers, if those may be used, and for a serving step those with best-effort tasks last. It returns nil if
// the tasks do not fit.
func (p *pass) pack(r *request, free func(*workerView) batch.Resources, workers []*workerView, flaky bool) []allocation {
	var list []allocation
	total := 0
	for _, wv := range workers {
		if wv.flaky && !flaky {
			continue
		}
		f := free(wv)
		if n := p.fitCount(r, wv, f); n > 0 {
			before := batch.Resources{CPUMilli: (n - 1) * r.need.CPUMilli, MemoryMB: (n - 1) * r.need.MemoryMB, GPUs: (n - 1) * r.need.GPUs}
			list = append(list, allocation{wv, n, leftover(f.Minus(before), wv.hb.Capacity, r.need)})
			total += n
		}
	}
	if total < r.count {
		return nil
	}
	slices.SortStableFunc(list, func(a, b allocation) int {
		return cmp.Or(
			cmp.Compare(boolToInt(r.mixes(a.workerView)), boolToInt(r.mixes(b.workerView))),
			cmp.Compare(boolToInt(a.flaky), boolToInt(b.flaky)),
			cmp.Compare(a.rack.freeGPUs, b.rack.freeGPUs),
			cmp.Compare(a.unused, b.unused),
		)
	})
	left := r.count
	for i := range list {
		list[i].count = min(list[i].count, left)
		if left -= list[i].count; left == 0 {
			return list[:i+1]
		}
	}
	return list
}

// reserveOrPreempt preempts other runs for a gang that could not be placed, or else reserves its earliest placement,
// so that smaller jobs do not take the resources. Only full passes do so.
func (p *pass) reserveOrPreempt(r *request) {
	if !p.full || p.preemptIfDue(r) {
		return
	}
	if !p.guaranteed(r.job) && (p.reservedGangs >= maxReservedGangs || p.room.utilisation() < lowUtilisation) {
		return
	}
	waited := r.waited(p.now)
	if chosen, _ := p.earliestPlacement(r, func(d time.Duration) bool { return p.allowsRemote(r, waited+d) }); chosen != nil {
		p.reservedGangs++
		p.hold(reservation{step: r.waitingStep, need: r.need, chosen: chosen})
	}
}

// scheduleRetry makes a full pass due when time alone changes what may be done for a blocked step: it may run outside
// its preferred rack, or runs may be preempted for it.
func (p *pass) scheduleRetry(r *request) {
	if p.priority(r.job) == 0 {
		p.retryAt(max(p.now+preemptRetryInterval, r.nextPreemptAt))
		return
	}
	if r.step.SameRack || r.step.DataRack != "" {
		if at := r.blockedSince + p.rackWait(r); at > p.now {
			p.retryAt(at)
		}
	}
}
