package sched

import (
	"context"
	"strings"

	"turmericroute/batch"
	"turmericroute/model"
)

// resolve finds the queue and team of a call in the catalog in force.
func resolve(b *batch.State, ref JobRef) (q batch.Queue, team, id string, fail *model.Error) {
	if b.Catalog.Version == 0 {
		return q, "", "", model.NotRun(model.CodeUnavailable, "no configuration yet")
	}
	q, ok := b.Catalog.QueueAt(ref.Host, ref.Path)
	if !ok {
		return q, "", "", model.NotRun(model.CodeNotFound, "no queue at %s%s in version %d", ref.Host, ref.Path, b.Catalog.Version)
	}
	t, known := b.Catalog.TeamByKey(ref.Key)
	if !known && !q.Public {
		return q, "", "", model.NotRun(model.CodeUnauthorised, "unknown key in version %d", b.Catalog.Version)
	}
	id = strings.TrimPrefix(ref.Path, q.Prefix)
	if id != "" && !validID(id) {
		return q, "", "", model.NotRun(model.CodeInvalid, "%q is no job ID", id)
	}
	return q, t.Name, id, nil
}

// validID reports whether s can be the job part of a task's name.
func validID(s string) bool { return len(s) <= 64 && !strings.ContainsAny(s, "./ ") }

func (s *Scheduler) submit(ctx context.Context, o *leadership, c Submit) (Answer, error) {
	var a batch.Accept
	var fail *model.Error
	var known *batch.Job
	o.ledger.View(func(b *batch.State) {
		var q batch.Queue
		var id string
		q, a.Team, id, fail = resolve(b, c.JobRef)
		if fail != nil {
			return
		}
		known = b.Jobs[id]
		a.ID, a.Queue, a.Service, a.Priority, a.MaxFailures, a.Spec = id, q.Name, q.Service, q.Priority, max(1, q.MaxFailures), c.Spec
		switch {
		case known != nil:
		case id == "":
			fail = model.NotRun(model.CodeInvalid, "no job ID")
		case c.InvalidReason != "":
			fail = model.NotRun(model.CodeInvalid, "%s", c.InvalidReason)
		case len(b.Open) >= maxOpenJobs:
			fail = model.NotRun(model.CodeOverloaded, "%d jobs are open", len(b.Open))
		}
	})
	if fail == nil && known == nil {
		if err := c.Spec.Validate(); err != nil {
			fail = model.AsError(err)
		}
	}
	if fail != nil {
		s.cfg.Logger.Log("event", "job_refused", "path", c.Path, "code", fail.Code, "reason", fail.Message)
		s.metrics.refusedJobs(fail.Code).Inc()
		return Answer{}, fail
	}
	if known == nil {
		res, err := o.commit(ctx, batch.Change{Accept: &a})
		s.cfg.Logger.Log("event", "job_accepted", "job", a.ID, "queue", a.Queue, "team", a.Team, "priority", a.Priority, "steps", len(a.Spec.Steps), "known", res.Duplicate, "term", o.term, "err", err)
		if err != nil {
			return Answer{}, err
		}
		s.metrics.acceptedJobs.Inc()
		o.triggerPass()
	}
	return Answer{State: StatePending}, nil
}

func (s *Scheduler) cancel(ctx context.Context, o *leadership, ref JobRef) (Answer, error) {
	var id string
	var fail *model.Error
	o.ledger.View(func(b *batch.State) {
		_, _, id, fail = resolve(b, ref)
		if fail == nil && b.Jobs[id] == nil {
			fail = noSuchJob(id)
		}
	})
	if fail != nil {
		return Answer{}, fail
	}
	res, err := o.commit(ctx, batch.Change{Cancel: &batch.Cancel{ID: id}})
	s.cfg.Logger.Log("event", "job_cancelled", "job", id, "state", res.State, "term", o.term, "err", err)
	if err != nil {
		return Answer{}, err
	}
	o.triggerPass()
	return Answer{State: callerState(res.State, false)}, nil
}

// CodeNoSuchJob is the code of calls for a job that does not exist in a queue that does.
const CodeNoSuchJob model.Code = "no_such_job"

func noSuchJob(id string) *model.Error { return model.NotRun(CodeNoSuchJob, "no job %s", id) }

func (s *Scheduler) show(o *leadership, ref JobRef) (Answer, error) {
	var a Answer
	var fail *model.Error
	s.mu.Lock()
	defer s.mu.Unlock()
	o.ledger.View(func(b *batch.State) {
		var q batch.Queue
		var id string
		if q, _, id, fail = resolve(b, ref); fail != nil {
			return
		}
		if id == "" {
			a.IsQueue, a.Waiting = true, o.waiting(b, q.Name)
			return
		}
		j := b.Jobs[id]
		if j == nil {
			fail = noSuchJob(id)
			return
		}
		a.State = callerState(j.State, o.startedJobs[id])
	})
	if fail != nil {
		return Answer{}, fail
	}
	return a, nil
}

// waiting returns how many open jobs of a queue have not begun.
func (o *leadership) waiting(b *batch.State, queue string) int {
	n := 0
	for id, j := range b.Open {
		if j.Queue == queue && !o.startedJobs[id] {
			n++
		}
	}
	return n
}

func callerState(s batch.JobState, begun bool) JobState {
	switch {
	case s == batch.JobSucceeded:
		return StateSucceeded
	case s == batch.JobFailed:
		return StateFailed
	case s == batch.JobCancelled:
		return StateCancelled
	case begun:
		return StateRunning
	default:
		return StatePending
	}
}

func (s *Scheduler) declare(ctx context.Context, o *leadership, c batch.Catalog) (Answer, error) {
	if err := c.Validate(); err != nil {
		s.cfg.Logger.Log("event", "config_refused", "version", c.Version, "err", err)
		return Answer{}, err //nolint:wrapcheck // a typed error.
	}
	var held uint64
	o.ledger.View(func(b *batch.State) { held = b.Catalog.Version })
	if c.Version > held {
		if _, err := o.commit(ctx, batch.Change{Catalog: &c}); err != nil {
			s.cfg.Logger.Log("event", "config_unanswered", "version", c.Version, "err", err)
			return Answer{}, err
		}
	}
	s.cfg.Logger.Log("event", "config_acknowledged", "version", c.Version, "before", held, "queues", len(c.Queues), "teams", len(c.Teams), "term", o.term)
	o.triggerPass()
	return Answer{}, nil
}

func (o *leadership) waveStatus(number int64) (Answer, error) {
	var a Answer
	var fail *model.Error
	o.ledger.View(func(b *batch.State) {
		w, ok := b.Waves[number]
		if !ok {
			fail = model.NotRun(model.CodeNotFound, "no wave %d", number)
			return
		}
		a.WaveDone = w.Done
	})
	if fail != nil {
		return Answer{}, fail
	}
	return a, nil
}
