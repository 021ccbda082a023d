package sched

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"turmericroute/batch"
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
		for _, st := range starts {
			delete(l.pending, st.Task)
		}
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
	start := time.Now()
	defer s.metrics.passSeconds.UpdateDuration(start)
	p := &pass{s: s, l: l, now: s.cfg.BootClock(), nowMS: s.cfg.WallClock().UnixMilli(), viewByID: map[string]*workerView{}, demand: map[string]int{}}
	l.ledger.View(func(b *batch.State) {
		p.state = b
		p.survey()
		for _, j := range p.jobsByRank() {
			p.placeJob(j)
		}
		p.prune()
	})
	for _, st := range p.starts {
		l.pending[st.Task] = st
	}
	return p.starts
}

// prune drops the records of steps of closed jobs and of preempted runs that have ended.
func (p *pass) prune() {
	closed := func(id batch.TaskID, _ time.Duration) bool { return p.state.Open[id.Job] == nil }
	maps.DeleteFunc(p.l.blockedSince, closed)
	maps.DeleteFunc(p.l.nextPreemptAt, closed)
	maps.DeleteFunc(p.l.causeKnown, func(ref RunRef, _ bool) bool { return p.state.Open[ref.Task.Job] == nil })
	maps.DeleteFunc(p.l.preempting, func(ref RunRef, _ string) bool {
		j := p.jobOf(ref)
		return j == nil || !j.Task(ref.Task).Active || j.Task(ref.Task).Run != ref.Run
	})
}

func (p *pass) jobOf(ref RunRef) *batch.Job { return p.state.Jobs[ref.Task.Job] }

// jobsByRank returns the open jobs in the order of their ranks, and sums up the demand of each team.
func (p *pass) jobsByRank() []*batch.Job {
	jobs := make([]*batch.Job, 0, len(p.state.Open))
	for _, j := range p.state.Open {
		jobs = append(jobs, j)
		if p.priority(j) == 0 {
			p.demand[j.Team] += gpusOf(j)
		}
	}
	ranks := make(map[*batch.Job]rank, len(jobs))
	for _, j := range jobs {
		ranks[j] = p.rank(j)
	}
	slices.SortFunc(jobs, func(a, b *batch.Job) int {
		return cmp.Or(compareRanks(ranks[a], ranks[b]), cmp.Compare(a.ID, b.ID))
	})
	return jobs
}

// gpusOf returns the number of accelerators that the largest step of a job needs at once. The demand of a team is
// underestimated rather than overestimated, so that later steps do not cost a job its guarantee.
func gpusOf(j *batch.Job) int {
	n := 0
	for _, st := range j.Spec.Steps {
		n = max(n, st.Count*st.Need.GPUs)
	}
	return n
}

func (p *pass) priority(j *batch.Job) int {
	if q, ok := p.state.Catalog.Queue(j.Queue); ok {
		return q.Priority
	}
	return j.Priority
}

// service returns the current service of a job's queue, or the one at the job's acceptance if the queue was removed.
func (p *pass) service(j *batch.Job) string {
	if q, ok := p.state.Catalog.Queue(j.Queue); ok {
		return q.Service
	}
	return j.Service
}

// placeJob places the waiting tasks of all steps of a job that are due and ready.
func (p *pass) placeJob(j *batch.Job) {
	for round := range j.Rounds {
		if due := j.Spec.DueMS(round); due > p.nowMS {
			continue
		}
		for step := range j.Rounds[round] {
			st := &j.Rounds[round][step]
			if st.Complete() || !j.Ready(round, step) {
				continue
			}
			first := batch.TaskID{Job: j.ID, Round: round, Step: step}
			if j.Spec.Steps[step].Gang {
				p.placeGang(j, first)
			} else {
				p.placeTasks(j, first)
			}
		}
	}
}

// needsRun reports whether a task is not done and has no active or pending run.
func (p *pass) needsRun(j *batch.Job, id batch.TaskID) bool {
	t := j.Task(id)
	_, pending := p.l.pending[id]
	return !t.Active && !t.Done && !pending
}

// request describes the tasks of a step that are to be placed.
type request struct {
	job     *batch.Job
	first   batch.TaskID
	step    batch.Step
	service string
	need    batch.Resources
	// count is the number of tasks to place together.
	count int
	// ticket holds the ticket of each worker; nil if no ticket is needed.
	ticket map[string]string
}

// newRequest returns the request for a step; it returns false if the step needs tickets and has no valid ones.
func (p *pass) newRequest(j *batch.Job, first batch.TaskID) (request, bool) {
	r := request{job: j, first: first, step: j.Spec.Steps[first.Step], service: p.service(j)}
	r.need, r.count = r.step.Reservation(), r.step.Count
	if needsTicket(p.state, j) {
		t := p.l.tickets[stepName(first)]
		if t == nil || p.now >= t.validUntil {
			return r, false
		}
		r.ticket = t.byWorker
	}
	return r, true
}

// allowed reports whether a worker may run tasks of the step, apart from its free resources: its service, label and
// ticket match, and it does not mix best-effort and serving tasks.
func (r *request) allowed(wv *workerView) bool {
	if wv.hb.Service != r.service || !wv.hasLabel(r.step.Label) {
		return false
	}
	if r.ticket != nil && r.ticket[wv.id] == "" {
		return false
	}
	if r.step.BestEffort && wv.servingTasks > 0 || r.step.TargetMS > 0 && wv.bestEffortTasks > 0 {
		return false
	}
	return true
}

// fitCount returns how many more tasks of a request fit on a worker with the given free resources.
func (p *pass) fitCount(r *request, wv *workerView, free batch.Resources) int {
	if !r.allowed(wv) {
		return 0
	}
	n := r.count
	for _, dim := range [][2]int{{free.GPUs, r.need.GPUs}, {free.CPUMilli, r.need.CPUMilli}, {free.MemoryMB, r.need.MemoryMB}} {
		if dim[1] > 0 {
			n = min(n, max(0, dim[0])/dim[1])
		}
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
	for t := range p.state.Runs[wv.id] {
		if same(t) {
			n++
		}
	}
	for t := range wv.running {
		if same(t) && p.state.Runs[wv.id][t] == 0 {
			n++
		}
	}
	for t, start := range p.l.pending {
		if same(t) && start.Worker == wv.id {
			n++
		}
	}
	for _, start := range p.starts {
		if same(start.Task) && start.Worker == wv.id {
			n++
		}
	}
	return n
}

// placeTasks places the waiting tasks of a step one by one.
func (p *pass) placeTasks(j *batch.Job, first batch.TaskID) {
	r, ok := p.newRequest(j, first)
	if !ok {
		return
	}
	waiting := p.waitingTasks(j, first)
	waited := p.waited(first)
	r.count = 1 // each task is placed independently
	remote := p.allowsRemote(&r, waited)
	for i, id := range waiting {
		best := p.bestWorker(&r, remote)
		if best == nil {
			r.count = len(waiting) - i
			p.l.blockedSince[first] = p.now - waited
			p.preemptIfDue(&r, waited)
			return
		}
		p.assign(best, id, j.Task(id).Run+1)
	}
	delete(p.l.blockedSince, first)
}

// waitingTasks returns the tasks of a step that need a run.
func (p *pass) waitingTasks(j *batch.Job, first batch.TaskID) []batch.TaskID {
	var out []batch.TaskID
	for i := range j.Rounds[first.Round][first.Step].Tasks {
		id := first
		id.Index = i
		if p.needsRun(j, id) {
			out = append(out, id)
		}
	}
	return out
}

// waited returns how long a step has had waiting tasks that could not be placed.
func (p *pass) waited(first batch.TaskID) time.Duration {
	if since, ok := p.l.blockedSince[first]; ok {
		return p.now - since
	}
	return 0
}

// bestWorker returns the worker for one task, nil if there is none. It prefers workers that are not flaky, then those
// on the rack of the data, then the best fit; workers on other racks are considered only with remote.
func (p *pass) bestWorker(r *request, remote bool) *workerView {
	var best *workerView
	var bestCost [3]int
	for _, wv := range p.views {
		if p.fitCount(r, wv, wv.free.Minus(wv.reserved)) < 1 {
			continue
		}
		offRack := r.step.DataRack != "" && wv.hb.Rack != r.step.DataRack
		if offRack && !remote {
			continue
		}
		cost := [3]int{boolToInt(wv.flaky), boolToInt(offRack), leftover(wv, r.need)}
		if best == nil || slices.Compare(cost[:], bestCost[:]) < 0 {
			best, bestCost = wv, cost
		}
	}
	return best
}

// leftover is the cost of a worker for best fit: the sum over all resources of what stays free after a task, in
// thousandths of the worker's capacity.
func leftover(wv *workerView, need batch.Resources) int {
	left, all := wv.free.Minus(need), wv.hb.Capacity
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
	p.starts = append(p.starts, batch.Start{Task: id, Run: run, Worker: wv.id, Incarnation: wv.hb.Incarnation})
}
