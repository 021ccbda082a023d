package gang

import (
	"time"

	"turmericroute/model"
	"turmericroute/place"
	"turmericroute/state"
)

// recover rebuilds the leader's state from the replicated state at the start of a term.
func (l *leaderState) recover() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.cfg.Now()
	m := l.replica.Machine()
	_, l.feedPosition, _ = m.Since(0)
	l.notifyPolicy(now, place.ConfigChanged{Config: m.Config()})
	for _, w := range m.Workers() {
		l.sessions.get(w.Name).register(w)
		l.notifyPolicy(now, place.WorkerJoined{Worker: w})
	}
	for _, j := range m.Jobs() {
		l.recoverJob(j, now)
	}
}

func (l *leaderState) recoverJob(j model.Job, now time.Time) {
	switch j.State {
	case model.JobWaiting:
		l.waiting[j.Spec.ID] = false
		l.notifyPolicy(now, place.JobSubmitted{Job: j, At: now})
	case model.JobPreparing, model.JobRunning, model.JobStopping:
		l.notifyPolicy(now, place.JobRecovered{Job: j, At: now})
		a := newAttempt(j, now, true)
		l.attempts[j.Spec.ID] = a
		for i, t := range a.tasks {
			l.sessions.get(t.worker).expectTask(a.taskID(i))
		}
	}
}

// sync handles the changes of the replicated state since the last call.
func (l *leaderState) sync() {
	m := l.replica.Machine()
	changes, next, ok := m.Since(l.feedPosition)
	l.feedPosition = next
	if !ok {
		l.resync()
		return
	}
	if len(changes) == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.cfg.Now()
	for _, c := range changes {
		l.applyChange(c, now)
	}
	l.decide(now)
}

// resync handles the whole replicated state instead of single changes, because some of the
// changes were missed.
func (l *leaderState) resync() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.cfg.Now()
	m := l.replica.Machine()
	l.notifyPolicy(now, place.ConfigChanged{Config: m.Config()})
	for _, w := range m.Workers() {
		l.sessions.get(w.Name).register(w)
	}
	for _, j := range m.Jobs() {
		l.jobChanged(j.Spec.ID, now)
	}
	l.decide(now)
}

func (l *leaderState) applyChange(c state.Change, now time.Time) {
	switch c := c.(type) {
	case state.ConfigChange:
		l.notifyPolicy(now, place.ConfigChanged{Config: l.replica.Machine().Config()})
	case state.JobChange:
		l.jobChanged(c.ID, now)
	case state.WorkerChange:
		l.workerChanged(c.Name, now)
	}
}

func (l *leaderState) workerChanged(name string, now time.Time) {
	w, ok := l.replica.Machine().Worker(name)
	if !ok {
		l.sessions.remove(name)
		l.notifyPolicy(now, place.WorkerLost{Name: name})
		return
	}
	s := l.sessions.get(name)
	s.register(w)
	if s.alive() {
		l.notifyPolicy(now, place.WorkerJoined{Worker: w})
	}
}

// jobChanged updates the attempt and the policy to match the job's committed state.
func (l *leaderState) jobChanged(id string, now time.Time) {
	j, ok := l.replica.Machine().Job(id)
	if !ok {
		return
	}
	if j.State.Final() {
		delete(l.firstPreemption, id)
	}
	a := l.attempts[id]
	placing, known := l.waiting[id]
	switch {
	case j.State == model.JobWaiting && a != nil:
		l.endAttempt(a, j, now)
		l.waiting[id] = false
	case j.State == model.JobWaiting && !known:
		l.waiting[id] = false
		l.notifyPolicy(now, place.JobSubmitted{Job: j, At: now})
	case j.State == model.JobWaiting:
	case j.State.Final() && a != nil:
		l.endAttempt(a, j, now)
	case j.State.Final():
		// A placement that is being committed will be refused, and the refusal releases its resources.
		if known && !placing {
			delete(l.waiting, id)
			l.notifyPolicy(now, place.JobRemoved{ID: id})
		}
	case a == nil:
		delete(l.waiting, id)
		a = newAttempt(j, now, false)
		l.attempts[id] = a
		l.sendPrepare(a)
		l.advance(a, now)
	default:
		a.update(j, now)
		l.advance(a, now)
	}
}

// endAttempt releases the resources of an attempt and tells its workers to release its tasks.
func (l *leaderState) endAttempt(a *attempt, j model.Job, now time.Time) {
	id := a.job.Spec.ID
	delete(l.attempts, id)
	l.history.add(a, j, now)
	l.sendAll(a, model.CommandRelease)
	l.notifyPolicy(now, place.JobReleased{
		ID: id, Attempt: a.job.Attempt, Requeue: j.State == model.JobWaiting,
		FailedOn: a.failedOn, Checkpoint: j.Checkpoint,
	})
	l.cfg.Logger.Log("event", "attempt_ended", "job", id, "attempt", a.job.Attempt, "state", j.State, "reason", j.Reason)
}
