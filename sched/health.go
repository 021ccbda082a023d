package sched

import (
	"time"

	"turmericroute/batch"
	"turmericroute/fleet"
)

// provenWait is how long the last attempt of a task waits at least for room on a proven worker while there is room
// elsewhere.
const provenWait = 1800 * time.Millisecond

// noteProfile adds a worker to the fleet at its first heartbeat, with what the ledger holds of it, and keeps its profile.
func (s *Scheduler) noteProfile(l *leaderState, w *worker, now time.Duration) {
	profile := fleet.Profile{Service: w.hb.Service, Size: w.hb.Capacity.GPUs*coresPerGPU*1000 + w.hb.Capacity.CPUMilli}
	if w.health != nil {
		l.fleet.Update(w.health, profile)
		return
	}
	var known batch.Health
	l.ledger.View(func(b *batch.State) { known = b.HealthOf(w.hb.Worker, w.hb.Incarnation) })
	health, events := l.fleet.Join(w.hb.Worker, profile, known, now)
	w.health = health
	s.logHealth(l, events)
}

// noteProgress tells the fleet what a worker reports of its runs.
func (s *Scheduler) noteProgress(l *leaderState, b *batch.State, w *worker, now time.Duration) {
	for _, r := range w.hb.Running {
		p := fleet.Progress{RunID: fleet.RunID{Task: r.Task, Run: r.Run}, Percent: r.Percent, Fresh: r.Checkpoint == ""}
		if j := b.Jobs[r.Task.Job]; j != nil && r.Task.Step < len(j.Spec.Steps) {
			p.Gang, p.Estimate = j.Spec.Steps[r.Task.Step].Gang, time.Duration(j.Spec.Steps[r.Task.Step].EstimateMS)*time.Millisecond
		}
		s.logHealth(l, l.fleet.Report(w.health, p, now))
	}
	if len(w.hb.Ended) == 0 {
		w.health.Retain(func(id fleet.RunID) bool { return w.running[id.Task].Run == id.Run })
	}
}

// noteEnd tells the fleet of the end of a run.
func (s *Scheduler) noteEnd(l *leaderState, b *batch.State, w *worker, e RunEnd, now time.Duration) {
	gang := b.Jobs[e.Task.Job].Spec.Steps[e.Task.Step].Gang
	s.logHealth(l, l.fleet.End(w.health, fleet.RunID{Task: e.Task, Run: e.Run}, e.Reason, gang, now))
	if speed := w.health.Speed(); speed.Known() {
		s.metrics.workerSpeeds.Update(speed.Factor)
	}
}

// countWorkers returns the number of workers that have not ended and are in a state.
func (s *Scheduler) countWorkers(state fleet.State) (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leader == nil {
		return 0
	}
	now := s.cfg.BootClock()
	for _, w := range s.leader.workers {
		if !w.gone && s.leader.fleet.State(w.health, now) == state {
			n++
		}
	}
	return n
}

// changedHealth returns the health of a worker for the ledger, nil if that has it.
func (l *leaderState) changedHealth(b *batch.State, w *worker) *batch.Health {
	h := l.fleet.Health(w.health)
	if h == b.HealthOf(w.hb.Worker, w.hb.Incarnation) {
		return nil
	}
	return &h
}

// refreshHealth makes the next pass refresh the views of the workers whose standing may have changed.
func (s *Scheduler) refreshHealth(l *leaderState) {
	for _, id := range l.fleet.TakeChanged() {
		l.room.markStale(id)
	}
}

// reviewHealth does what is due for the fleet by time alone.
func (s *Scheduler) reviewHealth(l *leaderState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.logHealth(l, l.fleet.Tick(s.cfg.BootClock()))
	s.refreshHealth(l)
}

// logHealth logs and counts decisions on workers.
func (s *Scheduler) logHealth(l *leaderState, events []fleet.Event) {
	for _, e := range events {
		s.metrics.workerEvents(e.Kind).Inc()
		s.cfg.Logger.Log("event", e.Kind, "worker", e.Worker, "why", e.Why, "failures", e.Failures, "unexplained", e.Unexplained,
			"out_share", e.OutShare, "backoff_ms", e.Backoff.Milliseconds(), "term", l.term)
	}
}

// logSpeed logs a change of a worker's class of speed.
func (p *pass) logSpeed(old, next *workerView) {
	if old.standing.SpeedClass == next.standing.SpeedClass {
		return
	}
	speed := next.health.Speed()
	p.s.cfg.Logger.Log("event", "worker_speed", "worker", next.id, "class", next.standing.SpeedClass, "before", old.standing.SpeedClass,
		"factor", speed.Factor, "runs", speed.Runs, "spread", speed.Spread, "pace", p.l.fleet.Pace())
}

// lastAttempt reports whether a task or gang fails its job with one more failure.
func lastAttempt(j *batch.Job, id batch.TaskID) bool {
	if j.MaxFailures < 2 {
		return false // every attempt is the last one
	}
	failures := j.Task(id).Failures
	if j.Spec.Steps[id.Step].Gang {
		failures = len(j.Rounds[id.Round][id.Step].FailedRuns)
	}
	return failures >= j.MaxFailures-1
}

// proven reports whether a worker is proven now.
func (p *pass) proven(wv *workerView) bool { return p.l.fleet.State(wv.health, p.now) == fleet.Proven }

// urgent reports whether a job should have fast workers: it is of priority 0, or it can meet its objective on workers of
// twice the speed only.
func (p *pass) urgent(j *batch.Job) bool {
	if p.priority(j) == 0 {
		return true
	}
	due, ok := p.objective(j)
	if !ok {
		return false
	}
	left := int64(float64(criticalPathMS(j, 0, true)) / p.l.fleet.Pace())
	return p.nowMS+left > due && p.nowMS+left/2 <= due
}

// holdsOnProven reports whether the proven workers could hold a request if they were empty. Soon after several workers
// have failed none is proven, and those that may soon be count.
func (p *pass) holdsOnProven(r *request) bool {
	q := *r
	q.provenOnly, q.orUnproven = true, p.l.fleet.Wary(r.service)
	return p.fit(&q, func(wv *workerView) batch.Resources { return wv.hb.Capacity }, true) != nil
}

// waitsForProven reports whether a last attempt must be on proven workers: it has not waited for them for long, or its job
// still gains if it waits, and they could hold it. A failure would end the job, which then gains nothing.
func (p *pass) waitsForProven(r *request, id batch.TaskID) bool {
	since, waits := p.l.provenSince[id]
	return (!waits || p.now-since < provenWait || p.admitJob(r.job).LateSlack() > 0) && p.holdsOnProven(r)
}

// noteProvenWait records that a last attempt waits for proven workers while there is room on others.
func (p *pass) noteProvenWait(id batch.TaskID) {
	if _, ok := p.l.provenSince[id]; !ok {
		p.l.provenSince[id] = p.now
		p.s.cfg.Logger.Log("event", "last_attempt_waits", "task", id, "bound_ms", max(provenWait, p.admitJob(p.state.Jobs[id.Job]).LateSlack()).Milliseconds())
	}
	p.retryAt(p.now + passInterval)
}

// placeLastAttempts places tasks that have no further attempt, and returns those that found no place.
func (p *pass) placeLastAttempts(r *request, tasks []batch.TaskID, remote bool) []batch.TaskID {
	var left []batch.TaskID
	for _, id := range tasks {
		q := *r
		q.provenOnly = p.waitsForProven(r, id)
		rest := p.assignTasks(&q, []batch.TaskID{id}, remote)
		if len(rest) == 0 {
			delete(p.l.provenSince, id)
			continue
		}
		if q.provenOnly && len(p.optionsFor(r, remote).list) > 0 {
			p.noteProvenWait(id)
		}
		left = append(left, id)
	}
	return left
}

// probe places a waiting task on a worker on probation that is due for a probe, and returns the tasks that are left. A
// probe is a single small task of a job that is not urgent, and never its last attempt.
func (p *pass) probe(r *request, tasks []batch.TaskID) []batch.TaskID {
	if r.step.LongRunning || p.priority(r.job) == 0 {
		return tasks
	}
	for _, wv := range p.room.probation {
		i := p.probeTask(r, tasks)
		if i < 0 {
			return tasks
		}
		if !wv.health.ProbeDue(p.now) || !p.fitsProbe(r, wv) {
			continue
		}
		id := tasks[i]
		run := r.job.Task(id).Run + 1
		p.assign(wv, id, run)
		wv.health.BeginProbe(fleet.RunID{Task: id, Run: run}, p.now)
		p.s.metrics.workerEvents(fleet.Probed).Inc()
		p.s.cfg.Logger.Log("event", fleet.Probed, "worker", wv.id, "task", id, "run", run)
		tasks = append(tasks[:i:i], tasks[i+1:]...)
	}
	return tasks
}

// probeTask returns the index of a task that may probe a worker, -1 if there is none.
func (p *pass) probeTask(r *request, tasks []batch.TaskID) int {
	for i, id := range tasks {
		if r.job.Task(id).Failures+1 < r.job.MaxFailures && !lastAttempt(r.job, id) {
			return i
		}
	}
	return -1
}

// maxProbeShare is the largest share of a worker's capacity that a probe takes.
const maxProbeShare = 0.25

// fitsProbe reports whether a task of a request is small for a worker and fits there.
func (p *pass) fitsProbe(r *request, wv *workerView) bool {
	c := wv.hb.Capacity
	small := batch.Resources{CPUMilli: int(maxProbeShare * float64(c.CPUMilli)), MemoryMB: int(maxProbeShare * float64(c.MemoryMB)), GPUs: max(1, int(maxProbeShare*float64(c.GPUs)))}
	return small.Fits(r.need) && wv.free.Minus(wv.reserved).Fits(r.need) && r.mayUse(wv) && (r.step.PerWorker == 0 || p.tasksOn(r, wv) < r.step.PerWorker)
}
