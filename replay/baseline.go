package replay

import (
	"cmp"
	"slices"
	"sort"
	"time"

	"turmericroute/config"
	"turmericroute/model"
	"turmericroute/place"
)

// baseline schedules jobs first come, first served, by first fit and within
// quotas. With backfill (EASY), jobs behind the first job that does not fit may
// start if they do not delay it by declared run times. It has no guarantees and
// preempts only gangs on workers that are lost or out of service.
type baseline struct {
	backfill      bool
	cfg           config.Config
	workers       []*baselineWorker
	workersByName map[string]*baselineWorker
	jobs          map[string]*baselineJob
	queue         []*baselineJob
	gpusByTeam    map[string]int // accelerators in use
	toPreempt     []*baselineJob // jobs on workers that were lost or taken out of service
	changed       bool           // since the last call of Decide
}

// baselineWorker is a worker as a baseline sees it.
type baselineWorker struct {
	model.Worker
	up     bool
	usable bool   // up and in service
	rackID string // data centre and rack
	index  int    // in baseline.workers
	free   model.Resources
	jobs   []*baselineJob // one entry per task
}

// baselineJob is a job as a baseline sees it.
type baselineJob struct {
	spec         model.JobSpec
	submittedAt  time.Time
	workers      []*baselineWorker // one entry per task; nil while the job waits
	startedAt    time.Time
	stopping     bool
	avoidWorkers []string // workers on which the job failed
	checkpoint   float64  // seconds of work
}

// newBaseline returns a scheduler that serves jobs first come, first served, with or without backfill.
func newBaseline(backfill bool) *baseline {
	return &baseline{backfill: backfill, workersByName: map[string]*baselineWorker{}, jobs: map[string]*baselineJob{}, gpusByTeam: map[string]int{}}
}

// Step applies an event.
func (b *baseline) Step(_ time.Time, e place.Event) {
	if _, ok := e.(place.JobProgress); !ok {
		b.changed = true
	}
	switch e := e.(type) {
	case place.ConfigChanged:
		b.cfg = e.Config
	case place.WorkerJoined:
		w, ok := b.workersByName[e.Worker.Name]
		if !ok {
			w = &baselineWorker{Worker: e.Worker, rackID: e.Worker.DataCentre + "/" + e.Worker.Rack, index: len(b.workers), free: e.Worker.Capacity}
			b.workersByName[e.Worker.Name] = w
			b.workers = append(b.workers, w)
		}
		w.up = true
	case place.WorkerLost:
		w := b.workersByName[e.Name]
		w.up = false
		b.toPreempt = append(b.toPreempt, w.jobs...)
	case place.JobSubmitted:
		j := &baselineJob{spec: e.Job.Spec, submittedAt: e.At}
		b.jobs[j.spec.ID] = j
		b.queue = append(b.queue, j)
	case place.JobReleased:
		b.release(e)
	case place.JobRemoved:
		if j := b.jobs[e.ID]; j.workers == nil {
			delete(b.jobs, e.ID)
			b.queue = slices.DeleteFunc(b.queue, func(queued *baselineJob) bool { return queued == j })
		}
	}
}

// release frees the workers of a job and requeues it, in the order of submission, if the event asks for it.
func (b *baseline) release(e place.JobReleased) {
	j := b.jobs[e.ID]
	for _, w := range j.workers {
		w.free = subtractTasks(w.free, j.spec.Shape, -1)
		if i := slices.Index(w.jobs, j); i >= 0 {
			w.jobs = slices.Delete(w.jobs, i, i+1)
		}
	}
	b.gpusByTeam[j.spec.Team] -= j.spec.Shape.TotalGPUs()
	j.workers, j.stopping, j.checkpoint = nil, false, e.Checkpoint
	if e.FailedOn != "" {
		j.avoidWorkers = append(j.avoidWorkers, e.FailedOn)
	}
	if !e.Requeue {
		delete(b.jobs, e.ID)
		return
	}
	b.queue = append(b.queue, j)
	slices.SortStableFunc(b.queue, func(a, c *baselineJob) int {
		return cmp.Or(a.submittedAt.Compare(c.submittedAt), cmp.Compare(a.spec.ID, c.spec.ID))
	})
}

// subtractTasks returns resources less those of n tasks of a shape; a negative n adds them.
func subtractTasks(resources model.Resources, shape model.Shape, n int) model.Resources {
	return model.Resources{GPUs: resources.GPUs - n*shape.GPUs, Cores: resources.Cores - n*shape.Cores, MemoryMB: resources.MemoryMB - n*shape.MemoryMB}
}

// fittingTasks returns how many tasks of a shape fit into resources, at most shape.Tasks.
func fittingTasks(resources model.Resources, shape model.Shape) int {
	n := shape.Tasks
	for _, q := range [3][2]int{{shape.GPUs, resources.GPUs}, {shape.Cores, resources.Cores}, {shape.MemoryMB, resources.MemoryMB}} {
		if q[0] > 0 {
			n = min(n, max(0, q[1])/q[0])
		}
	}
	return n
}

// Decide returns preemptions of gangs on workers that are lost or out of
// service, then starts in the order of submission.
func (b *baseline) Decide(now time.Time) []place.Decision {
	if !b.changed {
		return nil
	}
	b.changed = false
	decisions := b.preemptDisplaced()
	var headReservation *reservation
	type fitKey struct {
		shape           model.Shape
		pastReservation bool
	}
	notFitting := map[fitKey]bool{}
	var started []*baselineJob
	for _, j := range b.queue {
		team, _ := b.cfg.Team(j.spec.Team)
		key := fitKey{j.spec.Shape, headReservation != nil && now.Add(j.declaredRemaining()).After(headReservation.at)}
		if team.MaxGPUs > 0 && b.gpusByTeam[j.spec.Team]+j.spec.Shape.TotalGPUs() > team.MaxGPUs || notFitting[key] && len(j.avoidWorkers) == 0 {
			continue
		}
		workers := b.firstFit(j, headReservation, key.pastReservation)
		switch {
		case workers != nil:
			started = append(started, j)
			decisions = append(decisions, b.startJob(j, workers, now))
			continue
		case len(j.avoidWorkers) > 0:
			j.avoidWorkers = nil // no other worker fits; next time, allow those on which it failed
			b.changed = true
		case headReservation != nil:
			notFitting[key] = true
		}
		if !b.backfill {
			break
		}
		if headReservation == nil {
			headReservation = b.reservationFor(j, now)
		}
	}
	if len(started) > 0 {
		b.queue = slices.DeleteFunc(b.queue, func(j *baselineJob) bool { return j.workers != nil })
	}
	return decisions
}

// preemptDisplaced updates which workers are usable and returns preemptions of
// the gangs on workers that are lost or out of service.
func (b *baseline) preemptDisplaced() []place.Decision {
	for _, w := range b.workers {
		inService := b.cfg.InService(w.DataCentre)
		w.usable = w.up && inService
		if !inService && len(w.jobs) > 0 {
			b.toPreempt = append(b.toPreempt, w.jobs...)
		}
	}
	var decisions []place.Decision
	for _, j := range b.toPreempt {
		if j.workers != nil && !j.stopping {
			j.stopping = true
			decisions = append(decisions, place.Preempt{ID: j.spec.ID, Timeout: place.DefaultReclaimTimeout})
		}
	}
	b.toPreempt = nil
	return decisions
}

// startJob allocates the workers to a job and returns the decision to start it.
func (b *baseline) startJob(j *baselineJob, workers []*baselineWorker, now time.Time) place.Decision {
	names := make([]string, len(workers))
	for i, w := range workers {
		names[i] = w.Name
		w.free = subtractTasks(w.free, j.spec.Shape, 1)
		w.jobs = append(w.jobs, j)
	}
	j.workers, j.startedAt = workers, now
	b.gpusByTeam[j.spec.Team] += j.spec.Shape.TotalGPUs()
	return place.Start{ID: j.spec.ID, Placement: model.Placement{Workers: names}}
}

// firstFit returns the first workers, in order, that fit the gang, or nil if it
// does not fit. A job that by its declared run time ends past the start of
// headReservation may only use resources that the reservation leaves free.
func (b *baseline) firstFit(j *baselineJob, headReservation *reservation, pastReservation bool) []*baselineWorker {
	var workers []*baselineWorker
	rack := ""
	for i, w := range b.workers {
		if j.spec.Shape.SameRack && w.rackID != rack {
			rack, workers = w.rackID, workers[:0]
		}
		if !w.usable {
			continue
		}
		n := fittingTasks(w.free, j.spec.Shape)
		if n == 0 || slices.Contains(j.avoidWorkers, w.Name) {
			continue
		}
		if pastReservation {
			n = min(n, fittingTasks(headReservation.free[i], j.spec.Shape))
		}
		for range n {
			if workers = append(workers, w); len(workers) == j.spec.Shape.Tasks {
				if pastReservation {
					for _, chosen := range workers {
						headReservation.free[chosen.index] = subtractTasks(headReservation.free[chosen.index], j.spec.Shape, 1)
					}
				}
				return workers
			}
		}
	}
	return nil
}

// declaredRemaining returns the declared run time from the last checkpoint on, at least a second.
func (j *baselineJob) declaredRemaining() time.Duration {
	return time.Duration(max(1, j.spec.DeclaredSeconds-j.checkpoint) * float64(time.Second))
}

// reservation is the earliest time, by declared run times, at which the first
// waiting job can start, and the resources that remain free after its start.
type reservation struct {
	at   time.Time
	free []model.Resources // by index of the worker
}

// reservationFor returns the reservation for a waiting job. If the job does not
// fit even when all running jobs have ended, the reservation is a day from now.
func (b *baseline) reservationFor(j *baselineJob, now time.Time) *reservation {
	var running []*baselineJob
	for _, r := range b.jobs {
		if r.workers != nil {
			running = append(running, r)
		}
	}
	endOf := func(r *baselineJob) time.Time {
		if end := r.startedAt.Add(r.declaredRemaining()); end.After(now) {
			return end
		}
		return now
	}
	slices.SortFunc(running, func(a, c *baselineJob) int {
		return cmp.Or(endOf(a).Compare(endOf(c)), cmp.Compare(a.spec.ID, c.spec.ID))
	})
	// Free resources grow with every job that ends, so a binary search finds the
	// smallest number of ended jobs after which j fits.
	n := sort.Search(len(running), func(n int) bool { return b.allocate(b.freeAfter(running[:n+1]), j) })
	free := b.freeAfter(running[:min(n+1, len(running))])
	if !b.allocate(free, j) {
		return &reservation{at: now.Add(24 * time.Hour), free: free}
	}
	return &reservation{at: endOf(running[n]), free: free}
}

// freeAfter returns the free resources of each worker once the given jobs have ended.
func (b *baseline) freeAfter(ended []*baselineJob) []model.Resources {
	free := make([]model.Resources, len(b.workers))
	for i, w := range b.workers {
		free[i] = w.free
	}
	for _, j := range ended {
		for _, w := range j.workers {
			free[w.index] = subtractTasks(free[w.index], j.spec.Shape, -1)
		}
	}
	return free
}

// allocate subtracts the gang from free, by first fit, and reports whether it
// fits; if it does not, free is unchanged.
func (b *baseline) allocate(free []model.Resources, j *baselineJob) bool {
	var chosen []int
	rack := ""
	for i, w := range b.workers {
		if j.spec.Shape.SameRack && w.rackID != rack {
			rack, chosen = w.rackID, chosen[:0]
		}
		if !w.usable {
			continue
		}
		for range fittingTasks(free[i], j.spec.Shape) {
			if chosen = append(chosen, i); len(chosen) == j.spec.Shape.Tasks {
				for _, k := range chosen {
					free[k] = subtractTasks(free[k], j.spec.Shape, 1)
				}
				return true
			}
		}
	}
	return false
}
