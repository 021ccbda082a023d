package sched

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"turmericroute/batch"
)

// runPlacement runs placement passes until the time in office ends.
func (s *Scheduler) runPlacement(o *leadership) {
	t := time.NewTicker(passInterval)
	defer t.Stop()
	for {
		select {
		case <-o.ctx.Done():
			return
		case <-o.wake:
		case <-t.C:
		}
		starts := s.plan(o)
		if len(starts) > 0 {
			_, err := o.commit(o.ctx, batch.Change{Starts: starts})
			s.metrics.placedRuns.Add(len(starts))
			for _, st := range starts {
				s.cfg.Logger.Log("event", "run_placed", "task", st.Task, "run", st.Run, "worker", st.Worker, "term", o.term, "err", err)
			}
		}
		s.mu.Lock()
		for _, st := range starts {
			delete(o.pending, st.Task)
		}
		close(o.passDone)
		o.passDone = make(chan struct{})
		s.mu.Unlock()
	}
}

// plan decides on new runs and on what to stop for them, without committing anything.
func (s *Scheduler) plan(o *leadership) []batch.Start {
	s.mu.Lock()
	defer s.mu.Unlock()
	start := time.Now()
	defer s.metrics.passSeconds.UpdateDuration(start)
	p := &pass{s: s, o: o, now: s.cfg.BootClock(), nowMS: s.cfg.WallClock().UnixMilli(), viewByID: map[string]*workerView{}, demand: map[string]int{}}
	o.ledger.View(func(b *batch.State) {
		p.state = b
		p.survey()
		for _, j := range p.jobsByRank() {
			p.placeJob(j)
		}
		p.prune()
	})
	for _, st := range p.starts {
		o.pending[st.Task] = st
	}
	return p.starts
}

// prune forgets what was noted of steps of closed jobs and of runs that have stopped.
func (p *pass) prune() {
	closed := func(id batch.TaskID, _ time.Duration) bool { return p.state.Open[id.Job] == nil }
	maps.DeleteFunc(p.o.blockedSince, closed)
	maps.DeleteFunc(p.o.nextPreemptAt, closed)
	maps.DeleteFunc(p.o.causeKnown, func(ref RunRef, _ bool) bool { return p.state.Open[ref.Task.Job] == nil })
	maps.DeleteFunc(p.o.preempting, func(ref RunRef, _ string) bool {
		j := p.jobOf(ref)
		return j == nil || !j.Task(ref.Task).Active || j.Task(ref.Task).Run != ref.Run
	})
}

func (p *pass) jobOf(ref RunRef) *batch.Job { return p.state.Jobs[ref.Task.Job] }

// jobsByRank returns the open jobs, the most urgent first.
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

// gpusOf returns the accelerators that the largest step of a job needs at once. What a team asks for
// is rather counted too low than too high: its guarantee must not be missed because of later steps.
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

// service returns the service that a job's queue sends to now; a queue that was removed keeps its last one.
func (p *pass) service(j *batch.Job) string {
	if q, ok := p.state.Catalog.Queue(j.Queue); ok {
		return q.Service
	}
	return j.Service
}

// placeJob places what can be placed of a placeJob.
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

// needsRun reports whether a task waits for a run.
func (p *pass) needsRun(j *batch.Job, id batch.TaskID) bool {
	t := j.Task(id)
	_, pending := p.o.pending[id]
	return !t.Active && !t.Done && !pending
}

// request is what a step wants of the workers.
type request struct {
	job     *batch.Job
	first   batch.TaskID
	step    batch.Step
	service string
	need    batch.Resources
	// count is how many tasks are to be placed together.
	count  int
	ticket map[string]string // nil when no ticket is needed
}

func (p *pass) newRequest(j *batch.Job, first batch.TaskID) (request, bool) {
	r := request{job: j, first: first, step: j.Spec.Steps[first.Step], service: p.service(j)}
	r.need, r.count = r.step.Reservation(), r.step.Count
	if needsTicket(p.state, j) {
		t := p.o.tickets[stepName(first)]
		if t == nil || p.now >= t.validUntil {
			return r, false
		}
		r.ticket = t.byWorker
	}
	return r, true
}

// allowed reports whether a worker may run a step at all.
func (r *request) allowed(st *workerView) bool {
	if st.hb.Service != r.service || !st.hasLabel(r.step.Label) {
		return false
	}
	if r.ticket != nil && r.ticket[st.id] == "" {
		return false
	}
	if r.step.BestEffort && st.servingTasks > 0 || r.step.TargetMS > 0 && st.bestEffortTasks > 0 {
		return false
	}
	return true
}

// fitCount returns how many tasks of a step fit on a worker, beyond those that it has.
func (p *pass) fitCount(r *request, st *workerView, free batch.Resources) int {
	if !r.allowed(st) {
		return 0
	}
	n := r.count
	for _, dim := range [][2]int{{free.GPUs, r.need.GPUs}, {free.CPUMilli, r.need.CPUMilli}, {free.MemoryMB, r.need.MemoryMB}} {
		if dim[1] > 0 {
			n = min(n, max(0, dim[0])/dim[1])
		}
	}
	if r.step.PerWorker > 0 {
		n = min(n, r.step.PerWorker-p.tasksOn(r, st))
	}
	return max(0, n)
}

// tasksOn counts the tasks of a step and round that a worker has.
func (p *pass) tasksOn(r *request, st *workerView) int {
	n := 0
	same := func(t batch.TaskID) bool {
		return t.Job == r.first.Job && t.Round == r.first.Round && t.Step == r.first.Step
	}
	for t := range p.state.Runs[st.id] {
		if same(t) {
			n++
		}
	}
	for t := range st.running {
		if same(t) && p.state.Runs[st.id][t] == 0 {
			n++
		}
	}
	for t, start := range p.o.pending {
		if same(t) && start.Worker == st.id {
			n++
		}
	}
	for _, start := range p.starts {
		if same(start.Task) && start.Worker == st.id {
			n++
		}
	}
	return n
}

// placeTasks places the waiting placeTasks of a step one by one.
func (p *pass) placeTasks(j *batch.Job, first batch.TaskID) {
	r, ok := p.newRequest(j, first)
	if !ok {
		return
	}
	waiting := p.waitingTasks(j, first)
	waited := p.waited(first)
	r.count = 1 // each task finds its place by itself
	remote := p.allowsRemote(&r, waited)
	for i, id := range waiting {
		best := p.bestWorker(&r, remote)
		if best == nil {
			r.count = len(waiting) - i
			p.o.blockedSince[first] = p.now - waited
			p.preemptIfDue(&r, waited)
			return
		}
		p.assign(best, id, j.Task(id).Run+1)
	}
	delete(p.o.blockedSince, first)
}

// waitingTasks returns the tasks of a step that wait for a run.
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

// waited returns how long a step has found no place for what waits of it.
func (p *pass) waited(first batch.TaskID) time.Duration {
	if since, ok := p.o.blockedSince[first]; ok {
		return p.now - since
	}
	return 0
}

// bestWorker returns the worker for one task: reliable, near its data, and with the least room left over;
// with remote also one that is not near.
func (p *pass) bestWorker(r *request, remote bool) *workerView {
	var best *workerView
	var bestCost [3]int
	for _, st := range p.views {
		if p.fitCount(r, st, st.free.Minus(st.reserved)) < 1 {
			continue
		}
		far := r.step.DataRack != "" && st.hb.Rack != r.step.DataRack
		if far && !remote {
			continue
		}
		cost := [3]int{boolToInt(st.flaky), boolToInt(far), leftover(st, r.need)}
		if best == nil || slices.Compare(cost[:], bestCost[:]) < 0 {
			best, bestCost = st, cost
		}
	}
	return best
}

// leftover ranks workers for best fit: what stays free of all resources, in
// thousandths of the worker's capacity.
func leftover(st *workerView, need batch.Resources) int {
	left, all := st.free.Minus(need), st.hb.Capacity
	share := func(n, of int) int { return n * 1000 / max(1, of) }
	return share(left.GPUs, all.GPUs) + share(left.CPUMilli, all.CPUMilli) + share(left.MemoryMB, all.MemoryMB)
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

func (p *pass) assign(st *workerView, id batch.TaskID, run int) {
	p.allocate(st, id)
	p.starts = append(p.starts, batch.Start{Task: id, Run: run, Worker: st.id, Incarnation: st.hb.Incarnation})
}
