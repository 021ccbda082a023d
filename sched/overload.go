package sched

import (
	"maps"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"turmericroute/admit"
	"turmericroute/batch"
)

// deferRetryInterval is the pause after which a deferred step is tried again although nothing has changed: the forecast
// changes with time.
const deferRetryInterval = 300 * time.Millisecond

// overload is what a leader remembers for decisions under overload.
type overload struct {
	arrivals  admit.Forecast
	promotion admit.Promotion
	promoted  string
	returns   admit.Returns
	// inDoubt counts the submissions of each job that may still be committed.
	inDoubt map[string]int
	// throughput holds the work that ends by service.
	throughput map[string]*admit.Throughput
	// headroom holds the headroom by the work that leaves it free.
	headroom map[admit.Queue]*headroom
}

// headroom is the room that work of one queue leaves to more urgent work; it is valid in the pass with its number. What
// urgent runs hold is counted anew in full passes, and in quick ones when it is older than passInterval.
type headroom struct {
	pass   uint64
	heldAt time.Duration
	load   admit.Load
	// racks are the kept racks by name.
	racks map[string]bool
}

func newOverload() *overload {
	return &overload{headroom: map[admit.Queue]*headroom{}, throughput: map[string]*admit.Throughput{}, inDoubt: map[string]int{}}
}

// dumpedHeadroom is the headroom that the work of one queue leaves to more urgent work.
type dumpedHeadroom struct {
	Service  string     `json:"service"`
	Priority int        `json:"priority"`
	Load     admit.Load `json:"load"`
	Racks    []string   `json:"racks"`
}

// dumpedOverload is what the process dump shows of decisions under overload.
type dumpedOverload struct {
	Headroom  []dumpedHeadroom `json:"headroom"`
	Promoted  string           `json:"promoted,omitempty"`
	ReturnsMS int64            `json:"returns_ms"`
}

func (o *overload) dump(now time.Duration) dumpedOverload {
	out := dumpedOverload{Promoted: o.promoted, ReturnsMS: o.returns.Told(now).Milliseconds()}
	for q, h := range o.headroom {
		out.Headroom = append(out.Headroom, dumpedHeadroom{Service: q.Service, Priority: q.Priority, Load: h.load, Racks: slices.Sorted(maps.Keys(h.racks))})
	}
	return out
}

// registerHeadroom registers the gauges of the headroom and of the demand that it is for.
func (s *Scheduler) registerHeadroom(set *metrics.Set) {
	largest := func(of func(admit.Load) int) func() float64 {
		return func() float64 {
			s.mu.Lock()
			defer s.mu.Unlock()
			n := 0
			if s.leader != nil {
				for _, h := range s.leader.overload.headroom {
					n = max(n, of(h.load))
				}
			}
			return float64(n)
		}
	}
	set.GetOrCreateGauge("turmericroute_sched_headroom_gpus_count", largest(admit.Load.Headroom))
	set.GetOrCreateGauge("turmericroute_sched_forecast_gpus_count", largest(func(l admit.Load) int { return l.Forecast.GPUs }))
}

// admitJob returns what decisions under overload need to know of a job, but for its work.
func (p *pass) admitJob(j *batch.Job) admit.Job {
	out := admit.Job{Priority: p.priority(j), Age: time.Duration(p.nowMS-j.AcceptedMS) * time.Millisecond}
	if due, ok := p.objective(j); ok {
		out.Objective = time.Duration(due-j.AcceptedMS) * time.Millisecond
		out.Path = time.Duration(criticalPathMS(j, 0, true)) * time.Millisecond
	}
	return out
}

// promote chooses the job that goes before more urgent ones as it is overdue.
func (p *pass) promote() {
	o := p.l.overload
	o.promoted = o.promotion.Next(p.now, func(yield func(string, admit.Job) bool) {
		for id, list := range p.waiting.byJob {
			j := list[0].job
			if p.waiting.heldByQuota(id) {
				continue // the promotion would be in vain, and kept from others
			}
			if age := time.Duration(p.nowMS-j.AcceptedMS) * time.Millisecond; age > admit.MinOverdue && !yield(id, p.admitJob(j)) {
				return
			}
		}
	})
}

// openWork returns the estimated work of the tasks of a job's first round that are not done, in accelerators times time.
func openWork(j *batch.Job) time.Duration {
	sum := 0
	for i := range j.Spec.Steps {
		st := &j.Spec.Steps[i]
		sum += (st.Count - j.Rounds[0][i].Done) * st.Need.GPUs * st.EstimateMS
	}
	return time.Duration(sum) * time.Millisecond
}

// noteArrival adds an accepted job to the forecast of its queue, if it has an objective.
func (s *Scheduler) noteArrival(l *leaderState, a *batch.Accept, q batch.Queue) {
	if !q.HasObjective() || !a.Spec.HasObjective() {
		return
	}
	demands := make([]admit.Demand, len(a.Spec.Steps))
	for i := range a.Spec.Steps {
		st := &a.Spec.Steps[i]
		demands[i] = admit.Demand{GPUs: st.Count * st.Need.GPUs, Duration: time.Duration(st.EstimateMS) * time.Millisecond}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	l.overload.arrivals.Note(s.cfg.BootClock(), admit.Queue{Service: a.Service, Priority: a.Priority}, demands)
}

// deferFor makes a request leave the headroom free if its job has slack that more urgent work needs. Guaranteed jobs
// never do.
func (p *pass) deferFor(r *request) {
	if p.guaranteed(r.job) {
		return
	}
	j := p.admitJob(r.job)
	if j.Slack() <= 0 {
		return
	}
	h := p.headroomFor(admit.Queue{Service: r.service, Priority: j.Priority})
	j.Begun = begun(r.job)
	d := admit.Decide(j, r.waited(p.now), h.load)
	if !d.Defer {
		return
	}
	r.avoidRacks = h.racks
	p.retryAt(p.now + min(d.Until, deferRetryInterval))
	p.noteDeferred(r, j, h, d)
}

// begun reports whether a task of a job is done.
func begun(j *batch.Job) bool {
	return slices.ContainsFunc(j.Rounds[0], func(st batch.StepState) bool { return st.Done > 0 })
}

// noteDeferred logs and counts a deferred step once for each reason.
func (p *pass) noteDeferred(r *request, j admit.Job, h *headroom, d admit.Decision) {
	if slices.Contains(r.deferredFor, d.Reason) {
		return
	}
	r.deferredFor = append(r.deferredFor, d.Reason)
	p.s.metrics.deferredSteps(r.job.Queue, d.Reason).Inc()
	p.s.cfg.Logger.Log("event", "job_deferred", "job", r.job.ID, "step", r.first.Step, "queue", r.job.Queue, "priority", j.Priority, "why", d.Reason,
		"until_ms", d.Until.Milliseconds(), "age_ms", j.Age.Milliseconds(), "objective_ms", j.Objective.Milliseconds(), "path_ms", j.Path.Milliseconds(),
		"forecast_gpus", h.load.Forecast.GPUs, "gang_gpus", h.load.Forecast.Gang, "held_gpus", h.load.Held, "waiting_gpus", h.load.Waiting, "racks", len(h.racks))
}

// headroomFor returns the headroom that work of a queue leaves to more urgent work in this pass.
func (p *pass) headroomFor(q admit.Queue) *headroom {
	h := p.l.overload.headroom[q]
	if h == nil {
		h = &headroom{}
		p.l.overload.headroom[q] = h
	}
	if h.pass == p.number {
		return h
	}
	h.pass = p.number
	total, free := p.gpusOfService(q.Service)
	h.load.Utilisation, h.load.Waiting = 1-float64(free)/float64(max(1, total)), p.urgentWaiting(q)
	h.load.Forecast = p.l.overload.arrivals.MoreUrgent(p.now, q.Service, q.Priority)
	if t := p.l.overload.throughput[q.Service]; t != nil {
		h.load.Forecast = h.load.Forecast.Calibrated(total-free, t.Rate(p.now))
	}
	if h.load.Forecast.GPUs > 0 && (p.full || p.now >= h.heldAt+passInterval) {
		h.load.Held, h.heldAt = p.urgentHeld(q), p.now
	}
	if h.load.Headroom() == 0 {
		h.racks = nil
		return h
	}
	h.racks = admit.KeepRacks(p.racksOf(q.Service, h.racks), h.load.Headroom(), h.load.Forecast.Gang)
	return h
}

// urgentWaiting returns the accelerators that waiting steps with an objective that are more urgent than a queue need,
// unless their jobs gain nothing more.
func (p *pass) urgentWaiting(q admit.Queue) int {
	n := 0
	for _, w := range p.waiting.steps {
		if w.quota.active || p.priority(w.job) >= q.Priority || p.service(w.job) != q.Service {
			continue
		}
		if j := p.admitJob(w.job); j.Objective > 0 && j.Value() != admit.None {
			st := &w.job.Spec.Steps[w.first.Step]
			n += (st.Count - w.job.Rounds[w.first.Round][w.first.Step].Done) * st.Need.GPUs
		}
	}
	return n
}

// urgentHeld returns the accelerators that runs which are more urgent than a queue have.
func (p *pass) urgentHeld(q admit.Queue) int {
	n := 0
	for _, wv := range p.room.list {
		if wv.hb.Service != q.Service {
			continue
		}
		for id := range p.state.Runs[wv.id] {
			if j := p.state.Jobs[id.Job]; j != nil && p.priority(j) < q.Priority {
				n += j.Spec.Steps[id.Step].Need.GPUs
			}
		}
	}
	return n
}

// racksOf returns the racks with workers of a service.
func (p *pass) racksOf(service string, kept map[string]bool) []admit.Rack {
	var out []admit.Rack
	for _, rack := range p.room.racks {
		if rack.list[0].hb.Service == service {
			out = append(out, admit.Rack{Name: rack.name, Free: rack.freeGPUs, Kept: kept[rack.name]})
		}
	}
	return out
}

// freeFor returns what is free on a worker for a request: nothing where the request leaves the headroom free.
func (p *pass) freeFor(r *request, wv *workerView) batch.Resources {
	if len(r.avoidRacks) > 0 && r.avoidRacks[wv.hb.Rack] {
		return batch.Resources{}
	}
	return wv.free.Minus(wv.reserved)
}

// supply returns the supply that a request finds now. What deferred steps find no place for may still find one.
func (r *request) supply() supply {
	if len(r.avoidRacks) > 0 {
		return supplyOutsideHeadroom
	}
	return supplyNow
}
