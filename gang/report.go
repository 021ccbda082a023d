package gang

import (
	"time"

	"turmericroute/model"
	"turmericroute/place"
	"turmericroute/state"
)

const (
	// silenceTimeout is how long a worker may be silent before its gangs are
	// stopped; it covers a poll held for 1 s, the poll's timeout and a change of leader.
	silenceTimeout = 4 * time.Second
	// unregisterTimeout is how long a silent worker stays registered.
	unregisterTimeout = time.Minute
	// replanInterval is the longest interval between decisions of the policy, some of which
	// depend on time only.
	replanInterval = 250 * time.Millisecond
	// keyExpiryInterval is the interval at which idempotency keys are expired.
	keyExpiryInterval = 10 * time.Minute
	// progressDelay is how long an attempt must have been in its state before its progress
	// is passed to the policy.
	progressDelay = time.Second
)

// applyReport updates the attempts from a worker's report and advances them. Tasks of no
// current attempt are released on the worker.
func (l *leaderState) applyReport(worker string, c taskChanges, now time.Time) {
	touched := map[string]*attempt{}
	for _, t := range c.changed {
		a := l.attemptOf(t.ID, worker)
		if a == nil {
			l.sessions.get(worker).push(model.Command{Kind: model.CommandRelease, Task: t.ID})
			continue
		}
		known := &a.tasks[t.ID.Index]
		known.state, known.confirmedGone, known.message = t.State, false, t.Message
		known.progress, known.usage = t.Progress, t.Usage
		known.checkpoint = max(known.checkpoint, t.Checkpoint)
		known.checkpointSeq = t.CheckpointSeq
		a.dirty = true
		touched[t.ID.Job] = a
	}
	for _, id := range c.gone {
		if a := l.attemptOf(id, worker); a != nil {
			a.tasks[id.Index].state, a.tasks[id.Index].confirmedGone = taskLost, true
			touched[id.Job] = a
		}
	}
	for _, a := range touched {
		l.advance(a, now)
	}
}

// attemptOf returns the current attempt that the task belongs to, or nil if that attempt
// does not run it on the worker.
func (l *leaderState) attemptOf(id model.TaskID, worker string) *attempt {
	a := l.attempts[id.Job]
	if a == nil || a.job.Attempt != id.Attempt || id.Index < 0 || id.Index >= len(a.tasks) || a.tasks[id.Index].worker != worker {
		return nil
	}
	return a
}

func (l *leaderState) workerJoined(name string, now time.Time) {
	if w, ok := l.replica.Machine().Worker(name); ok {
		l.notifyPolicy(now, place.WorkerJoined{Worker: w})
	}
}

// lastLeaseGrant returns the latest time at which a worker can have been granted a lease.
func (l *leaderState) lastLeaseGrant(worker string) time.Time {
	if at, ok := l.sessions.lastPoll(worker); ok && at.After(l.start) {
		return at
	}
	// The previous leader may have granted leases until this term began.
	return l.start
}

// tick checks the deadlines, expires keys, updates the gauges and lets the policy decide if that is due.
func (l *leaderState) tick() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.cfg.Now()
	l.checkSilence(now)
	for _, a := range l.attempts {
		l.advance(a, now)
	}
	l.passProgress(now)
	l.expireKeys(now)
	l.setGauges(now)
	if l.replan || now.Sub(l.decidedAt) >= replanInterval {
		l.decide(now)
	}
}

// checkSilence marks the tasks of workers that became silent as lost, and unregisters
// workers that have been silent for unregisterTimeout.
func (l *leaderState) checkSilence(now time.Time) {
	for _, name := range l.sessions.markSilent(now.Add(-silenceTimeout), l.start) {
		l.cfg.Logger.Log("event", "worker_silent", "worker", name)
		l.metrics.workersLost.Inc()
		l.notifyPolicy(now, place.WorkerLost{Name: name})
		for _, a := range l.attempts {
			for i := range a.tasks {
				t := &a.tasks[i]
				// A worker reports an ended task once, so the report holds beyond the silence.
				if t.worker == name && !t.hasEnded() {
					t.state = taskLost
				}
			}
		}
	}
	for _, w := range l.sessions.expireSilent(now.Add(-unregisterTimeout), l.start) {
		l.execute(state.RemoveWorker{Name: w.Name, Incarnation: w.Incarnation})
	}
}

// expireKeys removes idempotency keys that are older than model.KeyLife, once every keyExpiryInterval.
func (l *leaderState) expireKeys(now time.Time) {
	if now.Sub(l.keysExpiredAt) < keyExpiryInterval {
		return
	}
	l.keysExpiredAt = now
	l.execute(state.ExpireKeys{BeforeMS: now.Add(-model.KeyLife).UnixMilli()})
}

// passProgress passes the progress and resource use of attempts to the policy; both lag behind the tasks.
func (l *leaderState) passProgress(now time.Time) {
	for id, a := range l.attempts {
		if !a.dirty || now.Sub(a.stateSince) < progressDelay {
			continue
		}
		a.dirty = false
		p := place.JobProgress{ID: id, Progress: a.progress(), Checkpoint: a.checkpoint()}
		for _, t := range a.tasks {
			p.Usage.Cores = max(p.Usage.Cores, t.usage.Cores)
			p.Usage.GPUs = max(p.Usage.GPUs, t.usage.GPUs)
			p.Usage.MemoryMB = max(p.Usage.MemoryMB, t.usage.MemoryMB)
		}
		l.policy.Step(now, p)
	}
}
