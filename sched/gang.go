package sched

import (
	"cmp"
	"slices"
	"time"

	"turmericroute/batch"
)

const (
	// defaultOffRackFactor is Limits.OffRackFactor where the settings give none.
	defaultOffRackFactor = 3
	// rackWaitReclaimShare bounds that wait for a guaranteed job, as a fraction of the reclaim time.
	rackWaitReclaimShare = 0.6
	// maxIdleRackWait bounds that wait while utilisation is below lowUtilisation.
	maxIdleRackWait = 1500 * time.Millisecond
	// maxReservedGangs bounds the reservations in one pass for gangs beyond a guarantee, as each takes a search. From
	// minReservedGangs on they may take maxReservedShare of the accelerators together; more would idle the workers.
	maxReservedGangs = 10
	minReservedGangs = 3
	maxReservedShare = 0.5
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
	r.provenOnly = lastAttempt(w.job, w.first) && p.waitsForProven(&r, w.first)
	remote := p.allowsRemote(&r, w.waited(p.now))
	chosen := p.fitNow(&r, remote)
	if chosen == nil {
		if r.provenOnly && p.fitsUnproven(r, remote) {
			p.noteProvenWait(w.first)
		}
		w.block(p.now)
		p.reserveOrPreempt(&r)
		p.scheduleRetry(&r)
		return false
	}
	delete(p.l.provenSince, w.first)
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

// fitsUnproven reports whether a gang would fit now if it did not require proven workers.
func (p *pass) fitsUnproven(r request, remote bool) bool {
	r.provenOnly = false
	return p.fit(&r, func(wv *workerView) batch.Resources { return wv.free.Minus(wv.reserved) }, remote) != nil
}

// allocation is a number of tasks on one worker.
type allocation struct {
	*workerView
	count int
	// unused is the leftover of the worker once it has taken them.
	unused int
}

// rackWait returns how long a step waits for its preferred rack: as long as it would lose elsewhere, so that to wait in
// vain at most doubles the loss. A gang that leaves its rack sooner also takes room from others for longer.
func (p *pass) rackWait(r *request) time.Duration {
	factor := p.s.cfg.Limits.OffRackFactor
	if factor == 0 {
		factor = defaultOffRackFactor
	}
	maxWait := time.Duration((factor-1)*float64(r.step.EstimateMS)) * time.Millisecond
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

// fitRack places a gang on the rack with the least room that fits it whole, without failing workers; it returns nil if
// there is none. A rack on whose fast workers an urgent gang fits goes first.
func (p *pass) fitRack(r *request, free func(*workerView) batch.Resources) []allocation {
	var best *rackRoom
	bestKey := [2]int{}
	for _, rack := range p.room.racks {
		n, fast := 0, 0
		for _, wv := range rack.list {
			if wv.standing.Failing {
				continue
			}
			fit := p.fitCount(r, wv, free(wv))
			n += fit
			if wv.standing.SpeedClass > 0 {
				fast += fit
			}
		}
		if n < r.count {
			continue
		}
		key := [2]int{boolToInt(r.urgent && fast < r.count), n}
		if c := slices.Compare(key[:], bestKey[:]); best == nil || c < 0 || c == 0 && rack.name < best.name {
			best, bestKey = rack, key
		}
	}
	if best == nil {
		return nil
	}
	return p.pack(r, free, best.list, false)
}

// pack places all tasks on the listed workers: those on the racks with the least room first, in a rack best fit first,
// then workers at risk to fail, if failing ones may be used, and for a serving step those with best-effort tasks last. It
// returns nil if the tasks do not fit.
func (p *pass) pack(r *request, free func(*workerView) batch.Resources, workers []*workerView, failing bool) []allocation {
	var list []allocation
	total := 0
	for _, wv := range workers {
		if wv.standing.Failing && !failing {
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
	list = r.alike(list)
	slices.SortStableFunc(list, func(a, b allocation) int {
		return cmp.Or(
			cmp.Compare(boolToInt(r.mixes(a.workerView)), boolToInt(r.mixes(b.workerView))),
			cmp.Compare(r.risk(a.workerView), r.risk(b.workerView)),
			cmp.Compare(a.standing.SpeedClass, b.standing.SpeedClass),
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

// alike returns the allocations of like speed that suit a request best, since a gang is as slow as its slowest member:
// for an urgent one the fastest workers that hold it, else the slowest ones that do, and all if there are none. Fast
// workers that a slow member would hold up are left to others.
func (r *request) alike(list []allocation) []allocation {
	var count [2*maxSpeedClass + 1]int
	mixed := false
	for _, a := range list {
		count[classIndex(a.workerView)] += a.count
		mixed = mixed || classIndex(a.workerView) != classIndex(list[0].workerView)
	}
	if !mixed {
		return list
	}
	fastest := -1 // the greatest class so that the workers of it and of faster ones hold the gang
	sum := 0
	for c := len(count) - 1; c >= 0 && fastest < 0; c-- {
		if sum += count[c]; sum >= r.count {
			fastest = c
		}
	}
	keep := func(c int) bool { return c >= fastest }
	if slowest := slices.IndexFunc(count[:], func(n int) bool { return n >= r.count }); !r.urgent && slowest >= 0 {
		keep = func(c int) bool { return c == slowest }
	}
	return slices.DeleteFunc(list, func(a allocation) bool { return !keep(classIndex(a.workerView)) })
}

// maxSpeedClass bounds the classes of speed that are told apart, in both directions.
const maxSpeedClass = 3

// classIndex returns a worker's class of speed as an index.
func classIndex(wv *workerView) int {
	return max(-maxSpeedClass, min(maxSpeedClass, wv.standing.SpeedClass)) + maxSpeedClass
}

// reserveOrPreempt preempts other runs for a gang that could not be placed, or else reserves its earliest placement,
// so that smaller jobs do not take the resources. Only full passes do so.
func (p *pass) reserveOrPreempt(r *request) {
	if !p.full || p.preemptIfDue(r) {
		return
	}
	if !p.guaranteed(r.job) && (!p.mayReserve(r) || p.room.utilisation() < lowUtilisation) {
		return
	}
	waited := r.waited(p.now)
	if chosen, _ := p.earliestPlacement(r, func(d time.Duration) bool { return p.allowsRemote(r, waited+d) }); chosen != nil {
		p.reservedGangs++
		p.reservedGPUs += r.count * r.need.GPUs
		p.hold(reservation{step: r.waitingStep, need: r.need, chosen: chosen})
	}
}

// mayReserve reports whether the reservations of this pass leave one to a gang beyond a guarantee.
func (p *pass) mayReserve(r *request) bool {
	if p.reservedGangs < minReservedGangs {
		return true
	}
	share := float64(p.reservedGPUs+r.count*r.need.GPUs) / float64(max(1, p.room.totalGPUs))
	return p.reservedGangs < maxReservedGangs && share <= maxReservedShare
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
