package sched

import (
	"time"

	"turmericroute/admit"
	"turmericroute/batch"
	"turmericroute/model"
)

// refusal returns the error for a submission that certainly cannot end while its result has value, nil if there is none.
// A new leader refuses nothing before it has heard of all workers that have leases. A job is not refused while an earlier
// submission of it may still be committed: the refusal says that it never runs.
func (s *Scheduler) refusal(l *leaderState, a *batch.Accept, open int) *model.Error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l.overload.inDoubt[a.ID] > 0 || len(l.overload.inDoubt) >= maxInDoubt {
		return nil
	}
	if open >= maxOpenJobs {
		return model.NotRun(model.CodeOverloaded, "too many open jobs: %d", open)
	}
	now := s.cfg.BootClock()
	if !a.Spec.HasObjective() || now-l.since <= s.leaseExpiry() {
		return nil
	}
	var failure *model.Error
	l.ledger.View(func(b *batch.State) {
		if !b.Catalog.HasPriorities(a.Service) || l.withinGuarantee(b, a) {
			return
		}
		p := &pass{s: s, l: l, state: b, room: l.room, waiting: l.waiting, now: now, nowMS: s.cfg.WallClock().UnixMilli()}
		submitted := batch.NewJob(*a, p.nowMS)
		j := p.admitJob(submitted)
		j.Work = openWork(submitted)
		room := admit.Room{Ahead: p.workAhead(a, j)}
		room.GPUs, _ = p.gpusOfService(a.Service)
		if t := l.overload.throughput[a.Service]; t != nil {
			room.Rate = t.Rate(now)
		}
		wait, refuse := admit.Refuse(j, room)
		if !refuse {
			return
		}
		failure = model.NotRun(model.CodeOverloaded, "the job would end too late: the work that goes before it takes about %d s", int(room.Drain().Seconds())).
			WithRetryAfter(l.overload.returns.Tell(now, wait, j.Work, room))
		s.metrics.retryAfterSeconds.Update(failure.RetryAfter.Seconds())
		s.cfg.Logger.Log("event", "job_turned_away", "job", a.ID, "queue", a.Queue, "priority", a.Priority, "objective_ms", j.Objective.Milliseconds(), "path_ms", j.Path.Milliseconds(),
			"work_gpu_ms", j.Work.Milliseconds(), "ahead_gpu_ms", room.Ahead.Milliseconds(), "gpus", room.GPUs, "ended_gpus", room.Rate, "told_ms", l.overload.returns.Told(now).Milliseconds(), "retry_after_ms", failure.RetryAfter.Milliseconds())
	})
	return failure
}

// maxInDoubt bounds the submissions that may still be committed; beyond it no job is refused for overload.
const maxInDoubt = 20000

// noteSubmission records that the acceptance of a job is about to be committed.
func (s *Scheduler) noteSubmission(l *leaderState, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l.overload.inDoubt[id]++
}

// noteOutcome records how the commit of a job's acceptance has ended. One whose outcome is unknown stays in doubt.
func (s *Scheduler) noteOutcome(l *leaderState, id string, err error) {
	if err != nil && model.AsError(err).Outcome != model.OutcomeNotRun {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if l.overload.inDoubt[id]--; l.overload.inDoubt[id] <= 0 {
		delete(l.overload.inDoubt, id)
	}
}

// withinGuarantee reports whether a submitted job would be within its team's guarantee.
func (l *leaderState) withinGuarantee(b *batch.State, a *batch.Accept) bool {
	return a.Priority == 0 && a.Team != "" && l.waiting.demand[a.Team]+gpusOf(&a.Spec) <= b.Catalog.Guarantee(a.Team)
}

// gpusOfService returns the number of accelerators of the usable workers of a service, and how many of them are free.
func (p *pass) gpusOfService(service string) (total, free int) {
	for _, wv := range p.room.list {
		if wv.declared.Service == service {
			total += wv.declared.Capacity.GPUs
			free += max(0, wv.free.GPUs)
		}
	}
	return total, free
}

// workAhead returns the work of the open jobs of the same service that go before a submitted job. Jobs of other teams that
// wait for their quota take no room from it.
func (p *pass) workAhead(a *batch.Accept, j admit.Job) time.Duration {
	sum := time.Duration(0)
	for _, other := range p.state.Open {
		if p.service(other) != a.Service || other.Team != a.Team && p.waiting.heldByQuota(other.ID) {
			continue
		}
		if o := p.admitJob(other); o.Objective > 0 && o.Value() != admit.None && o.Priority <= j.Priority {
			sum += openWork(other)
		}
	}
	return sum
}

// noteDone counts the estimated work of a task that has ended as done. Each member of a gang reports its own end.
func (l *leaderState) noteDone(j *batch.Job, id batch.TaskID, service string, now time.Duration) {
	t := l.overload.throughput[service]
	if t == nil {
		t = &admit.Throughput{}
		l.overload.throughput[service] = t
	}
	st := &j.Spec.Steps[id.Step]
	t.Note(now, time.Duration(st.Need.GPUs*st.EstimateMS)*time.Millisecond)
}
