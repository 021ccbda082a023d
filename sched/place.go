package sched

import (
	"cmp"
	"container/heap"
	"maps"
	"slices"
	"time"

	"turmericroute/batch"
	"turmericroute/fleet"
)

// runPlacement runs placement passes, periodically and when triggered, until the term ends.
func (s *Scheduler) runPlacement(l *leaderState) {
	t := time.NewTicker(passInterval)
	defer t.Stop()
	for {
		select {
		case <-l.ctx.Done():
			return
		case <-l.wake:
		case <-t.C:
		}
		starts := s.plan(l)
		if len(starts) > 0 {
			_, err := l.commit(l.ctx, batch.Change{Starts: starts})
			s.metrics.placedRuns.Add(len(starts))
			for _, st := range starts {
				s.cfg.Logger.Log("event", "run_placed", "task", st.Task, "run", st.Run, "worker", st.Worker, "term", l.term, "err", err)
			}
		}
		s.mu.Lock()
		l.dropPending(starts)
		close(l.passDone)
		l.passDone = make(chan struct{})
		s.mu.Unlock()
	}
}

// plan decides which runs to start and which to preempt for them. It returns the starts, which are pending until the
// caller has committed them.
func (s *Scheduler) plan(l *leaderState) []batch.Start {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.metrics.passSeconds.UpdateDuration(time.Now())
	var starts []batch.Start
	l.ledger.View(func(b *batch.State) {
		p := s.newPass(l, b)
		p.prune()
		p.dropPreemptions()
		p.run()
		starts = p.starts
	})
	return starts
}

// dropPending ends the pending state of starts, whether or not they have been committed.
func (l *leaderState) dropPending(starts []batch.Start) {
	for _, st := range starts {
		delete(l.pending, st.Task)
		delete(l.pendingOn, st.Worker)
		l.markRuns(st.Worker)
		l.waiting.touched[st.Task.Job] = true
	}
}

// placeStep places waiting tasks of a step, and reports whether all of them have a place.
func (p *pass) placeStep(w *waitingStep) bool {
	if !p.withinQuota(w) {
		p.awaitQuota(w)
		return false
	}
	if w.job.Spec.Steps[w.first.Step].Gang {
		return p.placeGang(w)
	}
	return p.placeTasks(w)
}

// needsRun reports whether a task is not done and has no active, pending or lingering run.
func (p *pass) needsRun(j *batch.Job, id batch.TaskID) bool {
	t := j.Task(id)
	if t.Active || t.Done {
		return false
	}
	_, pending := p.l.pending[id]
	_, lingers := p.l.lingering[id]
	return !pending && !lingers
}

// request describes the tasks of a step that are to be placed.
type request struct {
	*waitingStep
	step    *batch.Step
	service string
	need    batch.Resources
	// count is the number of tasks to place together.
	count int
	// ticket holds the ticket of each worker; nil if no ticket is needed.
	ticket map[string]issuedTicket
	// avoidRacks holds the racks that the request leaves to more urgent work now.
	avoidRacks map[string]bool
	pass       *pass
	// provenOnly means that only proven workers may run the tasks.
	provenOnly bool
	// orUnproven extends provenOnly to workers that may soon be proven.
	orUnproven bool
	// urgent requests prefer fast workers, those with slack leave them to others.
	urgent bool
	// outbreak means that many workers of the service fail now, so that proven ones are preferred.
	outbreak bool
}

// newRequest returns the request for a step; it returns false if the step needs tickets and has no valid ones.
func (p *pass) newRequest(w *waitingStep) (request, bool) {
	r := request{waitingStep: w, step: &w.job.Spec.Steps[w.first.Step], service: p.service(w.job), pass: p}
	r.need, r.count = r.step.Reservation(), r.step.Count
	r.urgent, r.outbreak = p.urgent(w.job), p.l.fleet.Outbreak(r.service)
	if needsTicket(p.state, w.job) {
		t := p.l.tickets[stepName(w.first)]
		if t == nil || p.now >= t.validUntil {
			return r, false
		}
		r.ticket = t.byWorker
	}
	return r, true
}

// allowed reports whether a worker may run tasks of the step, apart from its free resources: it is not on probation, and
// proven if it must be.
func (r *request) allowed(wv *workerView) bool {
	return !wv.standing.Probation && r.mayUse(wv) && (!r.provenOnly || r.pass.proven(wv) || r.orUnproven && !wv.standing.Suspect)
}

// mayUse reports whether a worker's service, label and ticket match the step's, and it has no serving tasks if the step is
// a best-effort one.
func (r *request) mayUse(wv *workerView) bool {
	if wv.hb.Service != r.service || !wv.hasLabel(r.step.Label) {
		return false
	}
	if r.ticket != nil && !r.ticket[wv.id].of(wv) {
		return false
	}
	return !r.step.BestEffort || wv.servingTasks == 0
}

// mixes reports whether a serving task would share the worker with best-effort tasks. These are throttled there while it
// misses its target, so such workers are the last choice, and better than none.
func (r *request) mixes(wv *workerView) bool { return r.step.TargetMS > 0 && wv.bestEffortTasks > 0 }

// fitCount returns how many more tasks of a request fit on a worker with the given free resources.
func (p *pass) fitCount(r *request, wv *workerView, free batch.Resources) int {
	n := r.count
	for _, dim := range [...][2]int{{free.GPUs, r.need.GPUs}, {free.CPUMilli, r.need.CPUMilli}, {free.MemoryMB, r.need.MemoryMB}} {
		if dim[1] > 0 {
			if dim[0] < dim[1] {
				return 0
			}
			n = min(n, dim[0]/dim[1])
		}
	}
	if !r.allowed(wv) {
		return 0
	}
	if r.step.PerWorker > 0 {
		n = min(n, r.step.PerWorker-p.tasksOn(r, wv))
	}
	return max(0, n)
}

// tasksOn returns the number of tasks of the request's step and round that are on a worker or placed there.
func (p *pass) tasksOn(r *request, wv *workerView) int {
	n := 0
	same := func(t batch.TaskID) bool {
		return t.Job == r.first.Job && t.Round == r.first.Round && t.Step == r.first.Step
	}
	runs := p.state.Runs[wv.id]
	for t := range runs {
		if same(t) {
			n++
		}
	}
	for t := range wv.running {
		if same(t) && runs[t] == 0 {
			n++
		}
	}
	for _, t := range p.l.pendingOn[wv.id] {
		if _, reported := wv.running[t]; same(t) && runs[t] == 0 && !reported {
			n++
		}
	}
	return n
}

// placeTasks places the waiting tasks of a step one by one, and reports whether all of them have a place.
func (p *pass) placeTasks(w *waitingStep) bool {
	r, ok := p.newRequest(w)
	if !ok {
		return false
	}
	p.deferFor(&r)
	r.count = 1 // each task is placed independently
	remote := p.allowsRemote(&r, w.waited(p.now))
	tasks := p.waitingTasks(w)
	inQuota := min(len(tasks), p.tasksWithinQuota(w))
	overQuota := len(tasks) - inQuota
	tasks, last := p.splitLastAttempts(w.job, p.probe(&r, tasks[:inQuota]))
	if w.shape.at(p.number).leastFailed[r.supply()][boolToInt(remote)] == 0 {
		if tasks = p.assignTasks(&r, tasks, remote); len(tasks) > 0 {
			w.shape.noteFailure(r.supply(), remote, 1)
		}
	}
	tasks = append(tasks, p.placeLastAttempts(&r, last, remote)...)
	if len(tasks)+overQuota == 0 {
		return true
	}
	if overQuota > 0 && len(tasks) == 0 && !p.withinQuota(w) {
		p.awaitQuota(w)
		return false
	}
	r.count = max(1, len(tasks))
	w.block(p.now)
	p.preemptIfDue(&r)
	p.scheduleRetry(&r)
	return false
}

// assignTasks assigns tasks one by one to the cheapest workers that have room, and returns those that found none.
func (p *pass) assignTasks(r *request, tasks []batch.TaskID, remote bool) []batch.TaskID {
	if len(tasks) == 0 {
		return nil
	}
	options := p.optionsFor(r, remote)
	for len(tasks) > 0 && len(options.list) > 0 {
		p.assign(options.list[0].workerView, tasks[0], r.job.Task(tasks[0]).Run+1)
		p.updateFirst(r, options)
		tasks = tasks[1:]
	}
	return tasks
}

// splitLastAttempts returns the tasks with and those without a further attempt.
func (p *pass) splitLastAttempts(j *batch.Job, tasks []batch.TaskID) (others, last []batch.TaskID) {
	if !slices.ContainsFunc(tasks, func(id batch.TaskID) bool { return lastAttempt(j, id) }) {
		return tasks, nil // spares most steps a copy
	}
	for _, id := range tasks {
		if lastAttempt(j, id) {
			last = append(last, id)
		} else {
			others = append(others, id)
		}
	}
	return others, last
}

// waitingTasks returns the tasks of a step that need a run.
func (p *pass) waitingTasks(w *waitingStep) []batch.TaskID {
	var out []batch.TaskID
	id := w.first
	for id.Index = range w.job.Rounds[w.first.Round][w.first.Step].Tasks {
		if p.needsRun(w.job, id) {
			out = append(out, id)
		}
	}
	return out
}

// option is a worker that has room for a task, and its cost.
type option struct {
	*workerView
	cost [6]int
}

// options is a heap of the workers that have room for a task of a request, the cheapest first: workers without
// best-effort tasks for a serving task, then sound ones, then those on the rack of the data, then those of a speed that
// suits, then those on the rack with the least room, so that other racks stay free for gangs that need one, then the best
// fit.
type options struct{ list []option }

func (o *options) Len() int { return len(o.list) }
func (o *options) Less(i, j int) bool {
	a, b := &o.list[i], &o.list[j]
	return cmp.Or(slices.Compare(a.cost[:], b.cost[:]), cmp.Compare(a.id, b.id)) < 0
}
func (o *options) Swap(i, j int) { o.list[i], o.list[j] = o.list[j], o.list[i] }

// Push adds an option; package heap calls it.
func (o *options) Push(x any) { o.list = append(o.list, x.(option)) }

// Pop removes the last option; package heap calls it.
func (o *options) Pop() any {
	last := o.list[len(o.list)-1]
	o.list = o.list[:len(o.list)-1]
	return last
}

// optionsFor returns the workers that have room for a task of a request; workers off the rack of the data are
// considered only with remote.
func (p *pass) optionsFor(r *request, remote bool) *options {
	o := &options{}
	for _, wv := range p.searchList(r) {
		if !remote && r.offDataRack(wv) || p.fitCount(r, wv, p.freeFor(r, wv)) < 1 {
			continue
		}
		o.list = append(o.list, option{wv, r.cost(wv)})
	}
	heap.Init(o)
	return o
}

// searchList returns the workers among which a task may find a place: those with new room if the step was blocked, since
// there is none on the others.
func (p *pass) searchList(r *request) []*workerView {
	if !r.blocked || r.fresh || p.full || r.provenOnly {
		return p.room.list
	}
	return slices.SortedFunc(maps.Keys(p.room.grown), compareViews)
}

// updateFirst updates or removes the first option after a task has been assigned to it.
func (p *pass) updateFirst(r *request, o *options) {
	first := &o.list[0]
	if p.fitCount(r, first.workerView, first.free.Minus(first.reserved)) < 1 {
		heap.Pop(o)
		return
	}
	first.cost = r.cost(first.workerView)
	heap.Fix(o, 0)
}

func (r *request) offDataRack(wv *workerView) bool {
	return r.step.DataRack != "" && wv.hb.Rack != r.step.DataRack
}

func (r *request) cost(wv *workerView) [6]int {
	return [6]int{boolToInt(r.mixes(wv)), r.risk(wv), boolToInt(r.offDataRack(wv)), r.speedCost(wv), wv.rack.freeGPUs, leftover(wv.free, wv.hb.Capacity, r.need)}
}

// risk ranks workers by how likely they are to fail a run.
func (r *request) risk(wv *workerView) int {
	switch {
	case wv.standing.Failing:
		return 3
	case wv.standing.Suspect:
		return 2
	case r.outbreak && !r.pass.proven(wv):
		return 1
	}
	return 0
}

// speedCost is the lower the better a worker's speed suits the request.
func (r *request) speedCost(wv *workerView) int {
	if r.urgent {
		return -wv.standing.SpeedClass
	}
	return wv.standing.SpeedClass
}

// leftover is the cost of a worker for best fit: the sum over all resources of what stays free after a task, in
// thousandths of the worker's capacity.
func leftover(free, all, need batch.Resources) int {
	left := free.Minus(need)
	share := func(n, of int) int { return n * 1000 / max(1, of) }
	return share(left.GPUs, all.GPUs) + share(left.CPUMilli, all.CPUMilli) + share(left.MemoryMB, all.MemoryMB)
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// assign adds the start of a run on a worker to the pass and allocates its resources.
func (p *pass) assign(wv *workerView, id batch.TaskID, run int) {
	p.allocate(wv, id)
	start := batch.Start{Task: id, Run: run, Worker: wv.id, Incarnation: wv.hb.Incarnation}
	p.starts = append(p.starts, start)
	if wv.health.Failing() {
		p.s.metrics.failingStarts.Inc()
	}
	p.l.pending[id] = start
	if p.l.notOrdered != nil {
		p.l.notOrdered[RunRef{Task: id, Run: run}] = wv.id
	}
	p.l.fleet.Placed(wv.hb.Service, fleet.RunID{Task: id, Run: run}, p.state.Jobs[id.Job].Spec.Steps[id.Step].Gang, p.now)
	p.l.pendingOn[wv.id] = append(p.l.pendingOn[wv.id], id)
	p.countStart(start)
}
