package sched

import (
	"context"
	"strings"

	"turmericroute/batch"
	"turmericroute/model"
)

// resolve returns the queue, the team and the job ID of a call by the current catalog. The ID is empty if the call
// names a queue; the team is empty on public queues without a known key.
func resolve(b *batch.State, ref JobRef) (q batch.Queue, team, id string, failure *model.Error) {
	if b.Catalog.Version == 0 {
		return q, "", "", model.NotRun(model.CodeUnavailable, "no configuration yet")
	}
	q, ok := b.Catalog.QueueAt(ref.Host, ref.Path)
	if !ok {
		return q, "", "", model.NotRun(model.CodeNotFound, "no queue at %s%s in configuration version %d", ref.Host, ref.Path, b.Catalog.Version)
	}
	t, known := b.Catalog.TeamByKey(ref.Key)
	if !known && !q.Public {
		return q, "", "", model.NotRun(model.CodeUnauthorised, "API key is unknown in configuration version %d", b.Catalog.Version)
	}
	id = strings.TrimPrefix(ref.Path, q.Prefix)
	if id != "" && !validID(id) {
		return q, "", "", model.NotRun(model.CodeInvalid, "invalid job ID %q", id)
	}
	return q, t.Name, id, nil
}

// validID reports whether s can be the job part of a task ID.
func validID(s string) bool { return len(s) <= 64 && !strings.ContainsAny(s, "./ ") }

func (s *Scheduler) submit(ctx context.Context, l *leaderState, c Submit) (Answer, error) {
	var a batch.Accept
	var failure *model.Error
	var existing *batch.Job
	var q batch.Queue
	open := 0
	l.ledger.View(func(b *batch.State) {
		open = len(b.Open)
		var id string
		q, a.Team, id, failure = resolve(b, c.JobRef)
		if failure != nil {
			return
		}
		existing = b.Jobs[id]
		overtaken := b.Overtaken(id)
		a.ID, a.Queue, a.Service, a.Priority, a.MaxFailures, a.Spec = id, q.Name, q.Service, q.Priority, max(1, q.MaxFailures), c.Spec
		switch {
		case existing != nil:
		case overtaken != nil:
			failure = overtaken
		case id == "":
			failure = model.NotRun(model.CodeInvalid, "job ID is missing")
		case c.InvalidReason != "":
			failure = model.NotRun(model.CodeInvalid, "%s", c.InvalidReason)
		}
	})
	if failure == nil && existing == nil {
		if err := c.Spec.Validate(); err != nil {
			failure = model.AsError(err)
		}
	}
	if failure == nil && existing == nil {
		failure = s.refusal(l, &a, open)
	}
	size := sizeOf(q, c.Spec)
	if failure != nil {
		s.cfg.Logger.Log("event", "job_refused", "path", c.Path, "job", a.ID, "queue", q.Name, "tasks", size.tasks, "work", size.work, "objective_ms", size.objectiveMS, "code", failure.Code, "reason", failure.Message, "retry_after_ms", failure.RetryAfter.Milliseconds())
		s.metrics.refusedJobs(failure.Code).Inc()
		return Answer{}, failure
	}
	if existing == nil {
		s.noteSubmission(l, a.ID)
		res, err := l.commit(ctx, batch.Change{Accept: &a})
		s.noteOutcome(l, a.ID, err)
		s.cfg.Logger.Log("event", "job_accepted", "job", a.ID, "queue", a.Queue, "team", a.Team, "priority", a.Priority, "steps", len(a.Spec.Steps), "tasks", size.tasks, "work", size.work, "objective_ms", size.objectiveMS, "known", res.Duplicate, "term", l.term, "err", err)
		if err != nil {
			return Answer{}, err
		}
		s.metrics.acceptedJobs.Inc()
		if !res.Duplicate {
			s.noteArrival(l, &a, q)
		}
		l.triggerPass()
	}
	return Answer{State: StatePending}, nil
}

// jobSize is what the log says of the size of a submitted job.
type jobSize struct {
	tasks int
	// work is the estimated work of a round in core-seconds.
	work float64
	// objectiveMS is the time from submission to end that the queue aims for, in milliseconds; 0 if there is none.
	objectiveMS int64
}

// sizeOf returns the size of a job, zeros if its specification is invalid.
func sizeOf(q batch.Queue, spec batch.Spec) jobSize {
	if spec.Validate() != nil {
		return jobSize{}
	}
	j := &batch.Job{Spec: spec}
	size := jobSize{work: workOf(j)}
	for _, st := range spec.Steps {
		size.tasks += st.Count * spec.RoundCount()
	}
	if q.HasObjective() && spec.HasObjective() {
		size.objectiveMS = objectiveMS(q, j)
	}
	return size
}

// cancel cancels a job. One that is unknown is recorded too before the caller is told so, since its submission may
// arrive later.
func (s *Scheduler) cancel(ctx context.Context, l *leaderState, ref JobRef) (Answer, error) {
	var id string
	var failure *model.Error
	l.ledger.View(func(b *batch.State) {
		_, _, id, failure = resolve(b, ref)
		if failure == nil && id == "" {
			failure = noSuchJob(id)
		}
	})
	if failure != nil {
		return Answer{}, failure
	}
	res, err := l.commit(ctx, batch.Change{Cancel: &batch.Cancel{ID: id}})
	s.cfg.Logger.Log("event", "job_cancelled", "job", id, "state", res.State, "known", !res.NoJob, "term", l.term, "err", err)
	if err != nil {
		return Answer{}, err
	}
	if res.NoJob {
		return Answer{}, noSuchJob(id)
	}
	l.triggerPass()
	return Answer{State: callerState(res.State, false)}, nil
}

// CodeNoSuchJob is the error code of calls for an unknown job in a known queue.
const CodeNoSuchJob model.Code = "no_such_job"

func noSuchJob(id string) *model.Error { return model.NotRun(CodeNoSuchJob, "no job %s", id) }

func (s *Scheduler) show(l *leaderState, ref JobRef) (Answer, error) {
	var a Answer
	var failure *model.Error
	s.mu.Lock()
	defer s.mu.Unlock()
	l.ledger.View(func(b *batch.State) {
		var q batch.Queue
		var id string
		if q, _, id, failure = resolve(b, ref); failure != nil {
			return
		}
		if id == "" {
			a.IsQueue, a.Waiting = true, l.waitingJobs(b, q.Name)
			return
		}
		j := b.Jobs[id]
		if j == nil {
			failure = noSuchJob(id)
			return
		}
		a.State = callerState(j.State, l.startedJobs[id])
	})
	if failure != nil {
		return Answer{}, failure
	}
	return a, nil
}

// waitingJobs returns the number of open jobs of a queue that have not started.
func (l *leaderState) waitingJobs(b *batch.State, queue string) int {
	n := 0
	for id, j := range b.Open {
		if j.Queue == queue && !l.startedJobs[id] {
			n++
		}
	}
	return n
}

func callerState(s batch.JobState, started bool) JobState {
	switch {
	case s == batch.JobSucceeded:
		return StateSucceeded
	case s == batch.JobFailed:
		return StateFailed
	case s == batch.JobCancelled:
		return StateCancelled
	case started:
		return StateRunning
	default:
		return StatePending
	}
}

func (s *Scheduler) declare(ctx context.Context, l *leaderState, c batch.Catalog) (Answer, error) {
	if err := c.Validate(); err != nil {
		s.cfg.Logger.Log("event", "config_refused", "version", c.Version, "err", err)
		return Answer{}, err //nolint:wrapcheck // a typed error.
	}
	var current uint64
	l.ledger.View(func(b *batch.State) { current = b.Catalog.Version })
	if c.Version > current {
		if _, err := l.commit(ctx, batch.Change{Catalog: &c}); err != nil {
			s.cfg.Logger.Log("event", "config_unanswered", "version", c.Version, "err", err)
			return Answer{}, err
		}
	}
	s.cfg.Logger.Log("event", "config_acknowledged", "version", c.Version, "before", current, "queues", len(c.Queues), "teams", len(c.Teams), "term", l.term)
	s.logContradictions(&c)
	l.triggerPass()
	return Answer{}, nil
}

// setOutage takes a data centre out of service or back. Outages have no version, so the latest order counts, and one that
// has been under way for too long is refused.
func (s *Scheduler) setOutage(ctx context.Context, l *leaderState, c Call) (Answer, error) {
	if stale := s.checkStamp(l, c.Stamp); stale != nil {
		s.cfg.Logger.Log("event", "outage_refused", "dc", c.Outage.DataCentre, "out", c.Outage.Out, "why", stale.Message)
		return Answer{}, stale
	}
	_, err := l.commit(ctx, batch.Change{Outage: c.Outage})
	s.cfg.Logger.Log("event", "outage_changed", "dc", c.Outage.DataCentre, "out", c.Outage.Out, "term", l.term, "err", err)
	l.triggerPass()
	return Answer{}, err
}

func (l *leaderState) waveStatus(number int64) (Answer, error) {
	var a Answer
	var failure *model.Error
	l.ledger.View(func(b *batch.State) {
		w, ok := b.Waves[number]
		if !ok {
			failure = model.NotRun(model.CodeNotFound, "no wave %d", number)
			return
		}
		a.WaveDone = w.Done
	})
	if failure != nil {
		return Answer{}, failure
	}
	return a, nil
}
