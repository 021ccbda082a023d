package sched

import (
	"context"
	"fmt"
	"runtime/debug"

	"turmericroute/model"
)

// answerSafely is answer, but ends a call that panics alone. What the call has left half done in memory is not used on:
// scheduling starts anew from the ledger and from the workers' next heartbeats. Heartbeats of a worker whose heartbeat
// has panicked are refused for the rest of the term, or each would make scheduling start anew.
func (s *Scheduler) answerSafely(ctx context.Context, l *leaderState, c Call) (a Answer, err error) {
	if c.Heartbeat != nil && s.refusesWorker(l, c.Heartbeat.Worker) {
		return Answer{}, model.NotRun(model.CodeInternal, "heartbeats of %s cannot be handled", c.Heartbeat.Worker)
	}
	defer func() {
		if v := recover(); v != nil {
			s.recordPanic(l, c, v)
			a, err = Answer{}, model.Unknown(model.CodeInternal, "call failed: %v", v)
		}
	}()
	return s.answer(ctx, l, c)
}

func (s *Scheduler) refusesWorker(l *leaderState, worker string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refused.term == l.term && s.refused.workers[worker]
}

// recordPanic logs a panic with the subject of the call, and ends the session that works on the same memory.
func (s *Scheduler) recordPanic(l *leaderState, c Call, v any) {
	s.metrics.panics.Inc()
	s.cfg.Logger.Log("event", "call_panicked", "subject", c.subject(), "term", l.term, "panic", fmt.Sprint(v), "stack", string(debug.Stack()))
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.Heartbeat != nil {
		if s.refused.term != l.term {
			s.refused.term, s.refused.workers = l.term, map[string]bool{}
		}
		s.refused.workers[c.Heartbeat.Worker] = true
	}
	l.spoiled = true
	if s.leader != nil && s.leader.memory == l.memory {
		s.leader.end()
	}
}

// subject returns what a call is about, for the log.
func (c Call) subject() string {
	switch {
	case c.Heartbeat != nil:
		return "worker " + c.Heartbeat.Worker
	case c.Leave != nil:
		return "worker " + c.Leave.Worker
	case c.Submit != nil:
		return "job " + c.Submit.Path
	case c.Show != nil:
		return "job " + c.Show.Path
	case c.Cancel != nil:
		return "job " + c.Cancel.Path
	case c.Declare != nil:
		return fmt.Sprintf("configuration %d", c.Declare.Version)
	default:
		return "other"
	}
}
