package gang

import (
	"time"

	"turmericroute/model"
	"turmericroute/place"
	"turmericroute/state"
)

// event is what other goroutines hand to the loop; the set of events is sealed.
type event interface{ event() }

// workerReport gives the tasks of a worker whose state changed.
type workerReport struct {
	worker  string
	changed []model.TaskReport
	// gone lists tasks that the worker was told to prepare and no longer has.
	gone []model.TaskID
}

// workerBack says that a worker polls for the first time in this term or again.
type workerBack struct{ worker string }

// executed gives the result of a proposed command.
type executed struct {
	command state.Command
	result  state.Result
	err     error
}

func (workerReport) event() {}
func (workerBack) event()   {}
func (executed) event()     {}

func (l *lead) handle(e event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.cfg.Now()
	switch e := e.(type) {
	case workerReport:
		l.report(e, now)
	case workerBack:
		l.workerJoined(e.worker, now)
	case executed:
		l.executed(e, now)
	}
	if l.replan {
		l.decide(now)
	}
}

// execute commits a command without blocking the loop.
func (l *lead) execute(c state.Command) {
	go func() {
		res, err := l.r.ExecuteIn(l.ctx, l.term, c)
		select {
		case l.events <- executed{command: c, result: res, err: err}:
		case <-l.ctx.Done():
		}
	}()
}

// executed undoes what was assumed of a command that was refused.
func (l *lead) executed(e executed, now time.Time) {
	if e.err == nil && e.result.Failure == nil {
		return
	}
	switch c := e.command.(type) {
	case state.PlaceJob:
		l.placeRefused(c, now)
	case state.MoveJob:
		if a := l.attempts[c.ID]; a != nil && a.job.Attempt == c.Attempt {
			a.moving = false
		}
	}
	l.cfg.Logger.Log("event", "command_refused", "command", commandName(e.command), "err", refusal(e))
}

func refusal(e executed) error {
	if e.err != nil {
		return e.err
	}
	return e.result.Failure
}

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

func (l *lead) placeRefused(c state.PlaceJob, now time.Time) {
	delete(l.waiting, c.ID)
	j, ok := l.r.Machine().Job(c.ID)
	requeue := ok && j.State == model.JobWaiting
	if requeue {
		l.waiting[c.ID] = false
	}
	l.step(now, place.JobReleased{ID: c.ID, Attempt: c.Attempt, Requeue: requeue})
}

// step hands an event to the policy that can make other placements possible.
func (l *lead) step(now time.Time, e place.Event) {
	l.replan = true
	l.policy.Step(now, e)
}

// decide commits what the policy wants now.
func (l *lead) decide(now time.Time) {
	l.placed, l.replan = now, false
	for _, dec := range l.policy.Decide(now) {
		switch dec := dec.(type) {
		case place.Start:
			l.place(dec)
		case place.Preempt:
			l.preempt(dec, now)
		case place.Refuse:
			l.refuse(dec, now)
		}
	}
}

func (l *lead) place(dec place.Start) {
	j, ok := l.r.Machine().Job(dec.ID)
	if !ok {
		return
	}
	l.waiting[dec.ID] = true
	l.execute(state.PlaceJob{ID: dec.ID, Attempt: j.Attempt + 1, Placement: dec.Placement})
}

func (l *lead) refuse(dec place.Refuse, now time.Time) {
	j, ok := l.r.Machine().Job(dec.ID)
	if !ok {
		return
	}
	l.execute(state.MoveJob{
		ID: dec.ID, Attempt: j.Attempt, From: []model.JobState{model.JobWaiting},
		To: model.JobImpossible, Reason: dec.Reason, AtMS: now.UnixMilli(),
	})
}
