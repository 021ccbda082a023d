package sched

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"turmericroute/batch"
	"turmericroute/fleet"
)

// workerView is a usable worker and what is free on it.
type workerView struct {
	*worker
	id   string
	rack *rackRoom
	// declared is the heartbeat with which the view was made.
	declared Heartbeat
	free     batch.Resources
	// reserved holds the resources that the current pass reserves for higher-ranked jobs.
	reserved batch.Resources
	standing fleet.Standing
	// hasRoom is whether the smallest known task fits.
	hasRoom bool
	// servingTasks and bestEffortTasks count the worker's tasks of both kinds, which placement mixes only where a serving task has no
	// other place.
	servingTasks, bestEffortTasks int
	// forecast is valid in the pass with number forecastPass.
	forecast     forecast
	forecastPass uint64
}

// rackRoom is a rack with its usable workers.
type rackRoom struct {
	room *room
	name string
	list []*workerView // by ID
	// freeGPUs is the number of free accelerators, an upper bound for what a gang finds there.
	freeGPUs int
}

// room holds the usable workers and what is free on them. It is kept up to date where something changes, so that a
// placement pass costs what has changed rather than what there is.
type room struct {
	list []*workerView // by ID
	// probation holds those that get probes only, by ID.
	probation []*workerView
	views     map[string]*workerView
	racks     map[string]*rackRoom
	// freeGPUs and totalGPUs sum up the accelerators of all usable workers.
	freeGPUs, totalGPUs int
	// capacity sums up all resources of the usable workers.
	capacity batch.Resources
	// leastNeed holds the least of each resource that any known task needs; withRoom counts the workers with that much.
	leastNeed batch.Resources
	needKnown bool
	withRoom  int
	// version changes with the set of usable workers and with all that fitsNoRack depends on.
	version uint64
	// stale holds the workers whose views must be refreshed, checks the times at which workers must be looked at again.
	stale  map[string]bool
	checks checkQueue
	// grown holds the workers that have got more room since the last pass.
	grown map[*workerView]bool
}

func newRoom() *room {
	return &room{views: map[string]*workerView{}, racks: map[string]*rackRoom{}, stale: map[string]bool{}, grown: map[*workerView]bool{}}
}

// markStale makes the next pass refresh a worker's view.
func (rm *room) markStale(id string) { rm.stale[id] = true }

// refreshRoom refreshes the views of all workers that may have changed.
func (p *pass) refreshRoom() {
	rm := p.room
	for rm.checks.due(p.now) {
		p.checkTimes(heap.Pop(&rm.checks).(check))
	}
	for id := range rm.stale {
		p.refreshView(id)
	}
	clear(rm.stale)
}

// checkTimes marks a worker as stale if time alone has changed its state, and schedules its next check.
func (p *pass) checkTimes(c check) {
	id := c.worker
	w := p.l.workers[id]
	if w == nil || w.checkAt != c.at {
		return
	}
	w.checkAt = 0
	if wv := p.room.views[id]; wv != nil {
		if wv.standing == p.l.fleet.Standing(w.health, p.now) && p.usable(w) {
			p.scheduleCheck(id, w)
			return
		}
	}
	p.room.markStale(id)
}

// scheduleCheck schedules a check of a usable worker for the earliest time at which it becomes silent or ceases to be
// suspect.
func (p *pass) scheduleCheck(id string, w *worker) {
	at := w.heardAt + p.l.silentAfter(w)
	if until := w.health.SuspectUntil(); until >= p.now {
		at = min(at, until+1)
	}
	if w.checkAt != 0 && w.checkAt <= at {
		return
	}
	w.checkAt = at
	heap.Push(&p.room.checks, check{at: at, worker: id})
}

// refreshView brings the view of a worker up to date.
func (p *pass) refreshView(id string) {
	p.s.metrics.refreshedWorkers.Inc()
	w, old := p.l.workers[id], p.room.views[id]
	if w == nil || !p.usable(w) {
		if old != nil {
			p.room.remove(old)
		}
		return
	}
	next := &workerView{worker: w, id: id, free: w.hb.Capacity, standing: p.l.fleet.Standing(w.health, p.now)}
	p.allocateRuns(next)
	p.scheduleCheck(id, w)
	if old != nil && old.sameWorker(next) {
		p.room.update(old, next)
		return
	}
	if old != nil {
		p.logSpeed(old, next)
		p.room.remove(old)
	}
	p.room.insert(next)
}

// usable reports whether new runs may be placed on a worker now.
func (p *pass) usable(w *worker) bool {
	return !w.gone && !w.leaving && !w.addressTaken && w.supersededBy == "" && w.restsUntil == 0 && !w.hb.Draining && p.now-w.heardAt < p.l.silentAfter(w) && !p.state.OutOfService[w.hb.DataCentre]
}

// sameWorker reports whether two views differ only in what is free.
func (wv *workerView) sameWorker(next *workerView) bool {
	a, b := &wv.declared, &next.hb
	return wv.worker == next.worker && wv.standing == next.standing && a.Rack == b.Rack && a.Service == b.Service && a.Capacity == b.Capacity && slices.Equal(a.Labels, b.Labels)
}

// allocateRuns allocates the resources of all tasks that are on a worker or are about to start there.
func (p *pass) allocateRuns(wv *workerView) {
	runs := p.state.Runs[wv.id]
	for t := range runs {
		p.allocate(wv, t)
	}
	for t := range wv.running {
		if runs[t] == 0 {
			// A run that has ended in the ledger or is unknown to it keeps its resources until the worker drops it.
			p.allocate(wv, t)
		}
	}
	for _, t := range p.l.pendingOn[wv.id] {
		if _, reported := wv.running[t]; runs[t] == 0 && !reported {
			p.allocate(wv, t)
		}
	}
}

// allocate subtracts the resources of a task from those free on a worker; an unknown task takes all of them.
func (p *pass) allocate(wv *workerView, id batch.TaskID) {
	j := p.state.Jobs[id.Job]
	if j == nil || id.Step >= len(j.Spec.Steps) {
		wv.setFree(batch.Resources{})
		return
	}
	step := &j.Spec.Steps[id.Step]
	wv.setFree(wv.free.Minus(step.Reservation()))
	if step.BestEffort {
		wv.bestEffortTasks++
	}
	if step.TargetMS > 0 {
		wv.servingTasks++
	}
}

// setFree sets what is free on a worker, also in the sums of its rack.
func (wv *workerView) setFree(free batch.Resources) {
	if wv.rack != nil {
		more := max(0, free.GPUs) - max(0, wv.free.GPUs)
		wv.rack.freeGPUs += more
		wv.rack.room.freeGPUs += more
		wv.rack.room.noteRoom(wv, free.Fits(wv.rack.room.leastNeed))
	}
	wv.free = free
}

func compareViews(a, b *workerView) int { return cmp.Compare(a.id, b.id) }

func (rm *room) insert(wv *workerView) {
	rack := rm.racks[wv.hb.Rack]
	if rack == nil {
		rack = &rackRoom{room: rm, name: wv.hb.Rack}
		rm.racks[rack.name] = rack
	}
	wv.rack, wv.declared = rack, wv.hb
	i, _ := slices.BinarySearchFunc(rm.list, wv, compareViews)
	rm.list = slices.Insert(rm.list, i, wv)
	i, _ = slices.BinarySearchFunc(rack.list, wv, compareViews)
	rack.list = slices.Insert(rack.list, i, wv)
	if wv.standing.Probation {
		i, _ = slices.BinarySearchFunc(rm.probation, wv, compareViews)
		rm.probation = slices.Insert(rm.probation, i, wv)
	}
	rm.views[wv.id] = wv
	rack.freeGPUs += max(0, wv.free.GPUs)
	rm.freeGPUs += max(0, wv.free.GPUs)
	rm.totalGPUs += wv.declared.Capacity.GPUs
	rm.capacity = rm.capacity.Plus(wv.declared.Capacity)
	rm.noteRoom(wv, wv.free.Fits(rm.leastNeed))
	rm.version++
	rm.grown[wv] = true
}

func (rm *room) remove(wv *workerView) {
	if i, ok := slices.BinarySearchFunc(rm.list, wv, compareViews); ok {
		rm.list = slices.Delete(rm.list, i, i+1)
	}
	if i, ok := slices.BinarySearchFunc(rm.probation, wv, compareViews); ok {
		rm.probation = slices.Delete(rm.probation, i, i+1)
	}
	rack := wv.rack
	if i, ok := slices.BinarySearchFunc(rack.list, wv, compareViews); ok {
		rack.list = slices.Delete(rack.list, i, i+1)
	}
	if len(rack.list) == 0 {
		delete(rm.racks, rack.name)
	}
	delete(rm.views, wv.id)
	delete(rm.grown, wv)
	rack.freeGPUs -= max(0, wv.free.GPUs)
	rm.freeGPUs -= max(0, wv.free.GPUs)
	rm.totalGPUs -= wv.declared.Capacity.GPUs
	rm.capacity = rm.capacity.Minus(wv.declared.Capacity)
	rm.noteRoom(wv, false)
	wv.rack = nil
	rm.version++
}

// update sets what is free on a worker to that of a newer view of it.
func (rm *room) update(wv, next *workerView) {
	if !wv.free.Fits(next.free) || next.servingTasks < wv.servingTasks || next.bestEffortTasks < wv.bestEffortTasks {
		rm.grown[wv] = true
	}
	wv.setFree(next.free)
	wv.servingTasks, wv.bestEffortTasks = next.servingTasks, next.bestEffortTasks
}

// utilisation returns the fraction of the usable workers' accelerators that is in use.
func (rm *room) utilisation() float64 {
	if rm.totalGPUs == 0 {
		return 0
	}
	return 1 - float64(rm.freeGPUs)/float64(rm.totalGPUs)
}

// check is a time at which a worker must be looked at again.
type check struct {
	at     time.Duration
	worker string
}

// checkQueue is a heap of checks, the earliest first.
type checkQueue []check

func (q checkQueue) due(now time.Duration) bool { return len(q) > 0 && q[0].at <= now }

func (q checkQueue) Len() int           { return len(q) }
func (q checkQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q checkQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }

// Push adds a check; package heap calls it.
func (q *checkQueue) Push(x any) { *q = append(*q, x.(check)) }

// Pop removes the last check; package heap calls it.
func (q *checkQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}
