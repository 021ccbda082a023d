package gang

import (
	"time"

	"turmericroute/model"
	"turmericroute/place"
	"turmericroute/state"
)

// event is a message from another goroutine to the event loop; its implementations are those in this file.
type event interface{ event() }

// workerReport says that a worker's session has changes in the worker's tasks.
type workerReport struct {
	worker  string
	session *session
}

// workerConnected reports a worker's first poll in this term, or its first after being silent.
type workerConnected struct{ worker string }

// commandResult carries the result of a proposed command.
type commandResult struct {
	command state.Command
	result  state.Result
	err     error
}

func (workerReport) event()    {}
func (workerConnected) event() {}
func (commandResult) event()   {}

func (l *leaderState) handle(e event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.cfg.Now()
	switch e := e.(type) {
	case workerReport:
		for _, c := range e.session.takeChanges() {
			l.applyReport(e.worker, c, now)
		}
	case workerConnected:
		l.workerJoined(e.worker, now)
	case commandResult:
		l.handleResult(e, now)
	}
	if l.replan {
		l.decide(now)
	}
}

// execute proposes a command in this term without blocking the event loop; the result
// arrives as a commandResult.
func (l *leaderState) execute(c state.Command) {
	l.proposals.Go(func() {
		res, err := l.replica.ExecuteIn(l.ctx, l.term, c)
		select {
		case l.events <- commandResult{command: c, result: res, err: err}:
		case <-l.ctx.Done():
		}
	})
}

// handleResult reverts the assumptions made for a command that was refused or not committed.
func (l *leaderState) handleResult(e commandResult, now time.Time) {
	if e.err == nil && e.result.Failure == nil {
		return
	}
	switch c := e.command.(type) {
	case state.PlaceJob:
		l.revertPlacement(c, now)
	case state.RemoveWorker:
		// After an unknown outcome the worker must register again, as it may have been removed.
		if e.err != nil && model.AsError(e.err).Outcome == model.OutcomeNotRun {
			l.sessions.restore(model.Worker{Name: c.Name, Incarnation: c.Incarnation})
		}
	case state.MoveJob:
		if a := l.attempts[c.ID]; a != nil && a.job.Attempt == c.Attempt {
			a.committing = false
		}
	}
	l.cfg.Logger.Log("event", "command_refused", "command", commandName(e.command), "err", refusal(e))
}

// refusal returns why a command failed.
func refusal(e commandResult) error {
	if e.err != nil {
		return e.err
	}
	return e.result.Failure
}

// commandName describes a command for the log.
func commandName(c state.Command) string {
	switch c := c.(type) {
	case state.PlaceJob:
		return "place_job job=" + c.ID
	case state.MoveJob:
		return "move_job job=" + c.ID
	default:
		return "other"
	}
}

// revertPlacement gives the resources of a refused placement back to the policy, and
// puts the job back in the queue if it still waits.
func (l *leaderState) revertPlacement(c state.PlaceJob, now time.Time) {
	delete(l.waiting, c.ID)
	j, ok := l.replica.Machine().Job(c.ID)
	requeue := ok && j.State == model.JobWaiting
	if requeue {
		l.waiting[c.ID] = false
	}
	l.notifyPolicy(now, place.JobReleased{ID: c.ID, Attempt: c.Attempt, Requeue: requeue})
}

// notifyPolicy passes an event to the policy and requests a new decision, since the event
// can make other placements possible.
func (l *leaderState) notifyPolicy(now time.Time, e place.Event) {
	l.replan = true
	l.policy.Step(now, e)
}

// decide asks the policy for its decisions and starts to carry them out.
func (l *leaderState) decide(now time.Time) {
	l.decidedAt, l.replan = now, false
	for _, dec := range l.policy.Decide(now) {
		switch dec := dec.(type) {
		case place.Start:
			l.commitPlacement(dec)
		case place.Preempt:
			l.preempt(dec, now)
		case place.Refuse:
			l.commitRefusal(dec, now)
		}
	}
}

// commitPlacement commits a new attempt of a waiting job.
func (l *leaderState) commitPlacement(dec place.Start) {
	j, ok := l.replica.Machine().Job(dec.ID)
	if !ok {
		return
	}
	l.waiting[dec.ID] = true
	l.execute(state.PlaceJob{ID: dec.ID, Attempt: j.Attempt + 1, Placement: dec.Placement})
}

// commitRefusal commits that a waiting job can never run.
func (l *leaderState) commitRefusal(dec place.Refuse, now time.Time) {
	j, ok := l.replica.Machine().Job(dec.ID)
	if !ok {
		return
	}
	l.execute(state.MoveJob{
		ID: dec.ID, Attempt: j.Attempt, From: []model.JobState{model.JobWaiting},
		To: model.JobImpossible, Reason: dec.Reason, AtMS: now.UnixMilli(),
	})
}
