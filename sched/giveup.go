package sched

import "time"

// givenUpReason is why a run counts as ended that its worker has not reported as ended. It follows from what the worker
// says or from the end of its lease: that another member of the gang has ended does not show that this one has, which may
// start after that, or run on where it does not hear of it.
type givenUpReason string

const (
	givenUpLeaseExpired givenUpReason = "lease_expired"
	// givenUpLaterLife means that the worker or its machine has reported a later life.
	givenUpLaterLife givenUpReason = "later_life"
	// givenUpVanished means that the worker reported the run before, and no longer does.
	givenUpVanished givenUpReason = "vanished"
	// givenUpNeverStarted means that the worker has received a stop before it could start the run.
	givenUpNeverStarted givenUpReason = "never_started"
)

// noteGivenUp counts and logs a run that is given up, with what the leader knows of its worker.
func (s *Scheduler) noteGivenUp(l *leaderState, worker string, ref RunRef, why givenUpReason, now time.Duration) {
	s.metrics.givenUpRuns(why).Inc()
	silent, reported := now-l.since, false
	if w := l.workers[worker]; w != nil {
		_, reported = w.firstReports[ref]
		silent = now - w.heardAt
	}
	s.cfg.Logger.Log("event", "run_given_up", "task", ref.Task, "run", ref.Run, "worker", worker, "why", why, "silent_ms", silent.Milliseconds(), "reported", reported, "term", l.term)
}
