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

// baseline is first-come first-fit with quotas; with backfill, jobs behind the
// first that does not fit may start where, by declared run times, they do not
// delay it (EASY). It gives no guarantee and preempts only where workers leave.
type baseline struct {
	backfill bool
	cfg      config.Config
	workers  []*baseWorker
	byName   map[string]*baseWorker
	jobs     map[string]*baseJob
	queue    []*baseJob
	gpus     map[string]int // in use, by team
	stops    []*baseJob
	changed  bool
}

type baseWorker struct {
	model.Worker
	up     bool
	usable bool // up and in service
	rackID string
	index  int
	free   model.Resources
	jobs   []*baseJob
}

type baseJob struct {
	spec     model.JobSpec
	at       time.Time
	on       []*baseWorker
	started  time.Time
	stopping bool
	avoid    []string // workers where it failed
	done     float64
}

// newBaseline returns a baseline scheduler.
func newBaseline(backfill bool) *baseline {
	return &baseline{backfill: backfill, byName: map[string]*baseWorker{}, jobs: map[string]*baseJob{}, gpus: map[string]int{}}
}

// Step takes in an event.
func (b *baseline) Step(_ time.Time, e place.Event) {
	if _, ok := e.(place.JobProgress); !ok {
		b.changed = true
	}
	switch e := e.(type) {
	case place.ConfigChanged:
		b.cfg = e.Config
	case place.WorkerJoined:
		w, ok := b.byName[e.Worker.Name]
		if !ok {
			w = &baseWorker{Worker: e.Worker, rackID: e.Worker.DataCentre + "/" + e.Worker.Rack, index: len(b.workers), free: e.Worker.Capacity}
			b.byName[e.Worker.Name] = w
			b.workers = append(b.workers, w)
		}
		w.up = true
	case place.WorkerLost:
		w := b.byName[e.Name]
		w.up = false
		b.stops = append(b.stops, w.jobs...)
	case place.JobSubmitted:
		j := &baseJob{spec: e.Job.Spec, at: e.At}
		b.jobs[j.spec.ID] = j
		b.queue = append(b.queue, j)
	case place.JobReleased:
		b.released(e)
	case place.JobRemoved:
		if j := b.jobs[e.ID]; j.on == nil {
			delete(b.jobs, e.ID)
			b.queue = slices.DeleteFunc(b.queue, func(o *baseJob) bool { return o == j })
		}
	}
}

func (b *baseline) released(e place.JobReleased) {
	j := b.jobs[e.ID]
	for _, w := range j.on {
		w.free = minus(w.free, j.spec.Shape, -1)
		if i := slices.Index(w.jobs, j); i >= 0 {
			w.jobs = slices.Delete(w.jobs, i, i+1)
		}
	}
	b.gpus[j.spec.Team] -= j.spec.Shape.TotalGPUs()
	j.on, j.stopping, j.done = nil, false, e.Checkpoint
	if e.FailedOn != "" {
		j.avoid = append(j.avoid, e.FailedOn)
	}
	if !e.Requeue {
		delete(b.jobs, e.ID)
		return
	}
	b.queue = append(b.queue, j)
	slices.SortStableFunc(b.queue, func(a, c *baseJob) int { return cmp.Or(a.at.Compare(c.at), cmp.Compare(a.spec.ID, c.spec.ID)) })
}

func minus(r model.Resources, s model.Shape, n int) model.Resources {
	return model.Resources{GPUs: r.GPUs - n*s.GPUs, Cores: r.Cores - n*s.Cores, MemoryMB: r.MemoryMB - n*s.MemoryMB}
}

// times returns how many tasks of s fit into r, at most s.Tasks.
func times(r model.Resources, s model.Shape) int {
	n := s.Tasks
	for _, q := range [3][2]int{{s.GPUs, r.GPUs}, {s.Cores, r.Cores}, {s.MemoryMB, r.MemoryMB}} {
		if q[0] > 0 {
			n = min(n, max(0, q[1])/q[0])
		}
	}
	return n
}

// Decide returns stops of gangs on workers that left and starts in the order of submission.
func (b *baseline) Decide(now time.Time) []place.Decision {
	if !b.changed {
		return nil
	}
	b.changed = false
	ds := b.stopDisplaced()
	var head *shadow
	type fit struct {
		shape model.Shape
		long  bool
	}
	failed := map[fit]bool{}
	var started []*baseJob
	for _, j := range b.queue {
		team, _ := b.cfg.Team(j.spec.Team)
		key := fit{j.spec.Shape, head != nil && now.Add(j.declared()).After(head.at)}
		if team.MaxGPUs > 0 && b.gpus[j.spec.Team]+j.spec.Shape.TotalGPUs() > team.MaxGPUs || failed[key] && len(j.avoid) == 0 {
			continue
		}
		on := b.firstFit(j, head, key.long)
		switch {
		case on != nil:
			started = append(started, j)
			ds = append(ds, b.start(j, on, now))
			continue
		case len(j.avoid) > 0:
			j.avoid = nil // a worker where it failed is better than none
			b.changed = true
		case head != nil:
			failed[key] = true
		}
		if !b.backfill {
			break
		}
		if head == nil {
			head = b.shadowOf(j, now)
		}
	}
	if len(started) > 0 {
		b.queue = slices.DeleteFunc(b.queue, func(j *baseJob) bool { return j.on != nil })
	}
	return ds
}

func (b *baseline) stopDisplaced() []place.Decision {
	for _, w := range b.workers {
		in := b.cfg.InService(w.DataCentre)
		w.usable = w.up && in
		if !in && len(w.jobs) > 0 {
			b.stops = append(b.stops, w.jobs...)
		}
	}
	var ds []place.Decision
	for _, j := range b.stops {
		if j.on != nil && !j.stopping {
			j.stopping = true
			ds = append(ds, place.Preempt{ID: j.spec.ID, Timeout: place.DefaultReclaimTimeout})
		}
	}
	b.stops = nil
	return ds
}

func (b *baseline) start(j *baseJob, on []*baseWorker, now time.Time) place.Decision {
	names := make([]string, len(on))
	for i, w := range on {
		names[i] = w.Name
		w.free = minus(w.free, j.spec.Shape, 1)
		w.jobs = append(w.jobs, j)
	}
	j.on, j.started = on, now
	b.gpus[j.spec.Team] += j.spec.Shape.TotalGPUs()
	return place.Start{ID: j.spec.ID, Placement: model.Placement{Workers: names}}
}

// firstFit returns the first workers in order that hold the gang, or nil. With
// a shadow, a job that is declared to end after it may only use what it leaves over.
func (b *baseline) firstFit(j *baseJob, head *shadow, long bool) []*baseWorker {
	var on []*baseWorker
	rack := ""
	for i, w := range b.workers {
		if j.spec.Shape.SameRack && w.rackID != rack {
			rack, on = w.rackID, on[:0]
		}
		if !w.usable {
			continue
		}
		n := times(w.free, j.spec.Shape)
		if n == 0 || slices.Contains(j.avoid, w.Name) {
			continue
		}
		if long {
			n = min(n, times(head.left[i], j.spec.Shape))
		}
		for range n {
			if on = append(on, w); len(on) == j.spec.Shape.Tasks {
				if long {
					for _, o := range on {
						head.left[o.index] = minus(head.left[o.index], j.spec.Shape, 1)
					}
				}
				return on
			}
		}
	}
	return nil
}

func (j *baseJob) declared() time.Duration {
	return time.Duration(max(1, j.spec.DeclaredSeconds-j.done) * float64(time.Second))
}

// shadow is when the first waiting job can start by declared run times, and what it leaves over then.
type shadow struct {
	at   time.Time
	left []model.Resources // by worker
}

func (b *baseline) shadowOf(j *baseJob, now time.Time) *shadow {
	var running []*baseJob
	for _, r := range b.jobs {
		if r.on != nil {
			running = append(running, r)
		}
	}
	end := func(r *baseJob) time.Time {
		if e := r.started.Add(r.declared()); e.After(now) {
			return e
		}
		return now
	}
	slices.SortFunc(running, func(a, c *baseJob) int { return cmp.Or(end(a).Compare(end(c)), cmp.Compare(a.spec.ID, c.spec.ID)) })
	// More ends leave more room, so the first sufficient number of them is found by bisection.
	n := sort.Search(len(running), func(n int) bool { return b.takes(b.after(running[:n+1]), j) })
	left := b.after(running[:min(n+1, len(running))])
	if !b.takes(left, j) {
		return &shadow{at: now.Add(24 * time.Hour), left: left}
	}
	return &shadow{at: end(running[n]), left: left}
}

// after returns what is free on each worker once some gangs have ended.
func (b *baseline) after(ended []*baseJob) []model.Resources {
	left := make([]model.Resources, len(b.workers))
	for i, w := range b.workers {
		left[i] = w.free
	}
	for _, r := range ended {
		for _, w := range r.on {
			left[w.index] = minus(left[w.index], r.spec.Shape, -1)
		}
	}
	return left
}

// takes takes the gang's place out of left when it fits there.
func (b *baseline) takes(left []model.Resources, j *baseJob) bool {
	var on []int
	rack := ""
	for i, w := range b.workers {
		if j.spec.Shape.SameRack && w.rackID != rack {
			rack, on = w.rackID, on[:0]
		}
		if !w.usable {
			continue
		}
		for range times(left[i], j.spec.Shape) {
			if on = append(on, i); len(on) == j.spec.Shape.Tasks {
				for _, k := range on {
					left[k] = minus(left[k], j.spec.Shape, 1)
				}
				return true
			}
		}
	}
	return false
}
