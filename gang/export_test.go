package gang

import (
	"sync/atomic"
	"time"

	"turmericroute/model"
)

// Session is a worker's session, for tests of the order of its reports.
type Session struct{ s *session }

// NewSession returns the session of a worker that has not polled.
func NewSession(name string) Session { return Session{newSessions(new(atomic.Uint64)).get(name)} }

// Apply records a poll of the leader's term and reports whether it has changes.
func (s Session) Apply(req model.PollRequest) bool {
	changed, _ := s.s.applyPoll(req, req.Epoch, time.Time{})
	return changed
}

// TakeStates returns the reported states of tasks that the event loop has not handled.
func (s Session) TakeStates() []model.TaskState {
	var out []model.TaskState
	for _, c := range s.s.takeChanges() {
		for _, t := range c.changed {
			out = append(out, t.State)
		}
	}
	return out
}
