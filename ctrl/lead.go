package ctrl

import (
	"context"
	"errors"
	"sync"
	"time"

	"turmericroute/clock"
	"turmericroute/quorum"
)

// Reasons for the end of a leader session, which are the labels of a metric.
var (
	errLeaseLost   = errors.New("lease_lost")
	errTermEnded   = errors.New("term_ended")
	errLoopStalled = errors.New("loop_stalled")
	errClosed      = errors.New("closed")
)

// leadership runs the leader's work. A session begins once this instance holds the
// leader lease and lasts while it leads the term. While the lease is not certainly
// held, the session is suspended: nothing is answered, but the leader's work keeps
// what it has in memory, since a pause of the process ends before another leader
// is elected more often than not.
type leadership struct {
	// run is called once per session; it returns when ctx ends.
	run func(ctx context.Context, term uint64)

	mu          sync.Mutex
	term        uint64
	commitIndex uint64 // at the start of the session; covers all entries of earlier terms
	ctx         context.Context
	cancel      context.CancelCauseFunc
	watchdog    *time.Timer
	deadline    time.Duration // boot clock time until which the session is not suspended unless lapsed is set
	lapsed      bool          // the lease was not held at the last update
	// resumed is closed when the session is no longer suspended or has ended; nil unless a caller waits for that.
	resumed chan struct{}
	runDone chan struct{} // closed when the latest run has returned
}

// leaderSession is a period in which this instance leads one term.
type leaderSession struct {
	ctx         context.Context
	term        uint64
	commitIndex uint64
}

// update begins, extends, suspends or ends the session. The protocol loop calls it
// with the term, the commit index, whether this instance leads the term, and
// whether it holds the lease.
func (l *leadership) update(term, index uint64, leads, held bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.cancel == nil:
	case term != l.term:
		l.end(errTermEnded)
	case !leads:
		l.end(errLeaseLost)
	// The watchdog timer doesn't advance while the machine is suspended.
	case l.ctx.Err() != nil || clock.SinceBoot() > l.deadline+maxSuspension:
		l.end(errLoopStalled)
	}
	l.lapsed = !held
	switch {
	case !held:
	case l.cancel == nil:
		l.begin(term, index)
	default:
		l.watchdog.Reset(leaderWatchdogTimeout + maxSuspension)
		l.deadline = clock.SinceBoot() + leaderWatchdogTimeout
	}
	if l.resumed != nil && (held || l.cancel == nil) {
		close(l.resumed)
		l.resumed = nil
	}
}

// begin starts a session; run is called once that of the previous session has
// returned. The caller holds l.mu.
func (l *leadership) begin(term, index uint64) {
	ctx, cancel := context.WithCancelCause(context.Background())
	l.ctx, l.cancel = ctx, cancel
	l.term, l.commitIndex = term, index
	l.watchdog = time.AfterFunc(leaderWatchdogTimeout+maxSuspension, func() { cancel(errLoopStalled) })
	l.deadline = clock.SinceBoot() + leaderWatchdogTimeout
	previous, done := l.runDone, make(chan struct{})
	l.runDone = done
	go func() {
		defer close(done)
		if previous != nil {
			<-previous
		}
		l.run(ctx, term)
	}()
}

// end ends the session for a reason; the caller holds l.mu.
func (l *leadership) end(reason error) {
	l.watchdog.Stop()
	l.cancel(reason)
	l.cancel = nil
}

// current returns the current session, false if this instance does not lead or the session is suspended.
func (l *leadership) current() (leaderSession, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lapsed || clock.SinceBoot() > l.deadline {
		return leaderSession{}, false
	}
	return l.session()
}

// suspended returns a channel that is closed at the end of the suspension of a term's session, nil if it is not suspended
// or has ended.
func (l *leadership) suspended(term uint64) <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	if term != l.term || l.cancel == nil || l.ctx.Err() != nil || !l.lapsed && clock.SinceBoot() <= l.deadline {
		return nil
	}
	if l.resumed == nil {
		l.resumed = make(chan struct{})
	}
	return l.resumed
}

// in returns the session of a term, suspended or not, false if it has ended.
func (l *leadership) in(term uint64) (leaderSession, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if term != l.term {
		return leaderSession{}, false
	}
	return l.session()
}

// session returns the session, suspended or not; the caller holds l.mu.
func (l *leadership) session() (leaderSession, bool) {
	if l.cancel == nil || l.ctx.Err() != nil {
		return leaderSession{}, false
	}
	return leaderSession{ctx: l.ctx, term: l.term, commitIndex: l.commitIndex}, true
}

// close ends the session and waits for run to return.
func (l *leadership) close() {
	l.mu.Lock()
	if l.cancel != nil {
		l.end(errClosed)
	}
	done := l.runDone
	l.mu.Unlock()
	if done != nil {
		<-done
	}
}

// runLeader runs the leader role and maintains the membership until ctx ends.
func (n *Node) runLeader(ctx context.Context, term uint64) {
	n.cfg.Logger.Log("event", "leading_began", "term", term)
	defer func() {
		<-ctx.Done()
		reason := context.Cause(ctx)
		n.metrics.leadingEnded(reason).Inc()
		n.cfg.Logger.Log("event", "leading_ended", "term", term, "reason", reason)
	}()
	session, ok := n.leadership.in(term)
	if !ok || n.machine.Wait(ctx, session.commitIndex) != nil {
		return
	}
	var wg sync.WaitGroup
	wg.Go(func() { n.maintainMembers(ctx, term) })
	if n.cfg.Leader != nil {
		wg.Go(func() { n.cfg.Leader.Lead(ctx, term, n) })
	}
	wg.Wait()
}

// confirmLease reports whether this instance holds the leader lease in the term of
// the session. While the session is suspended it waits, at most until ctx ends, and
// leaves the protocol loop alone, which many callers would keep from winning the
// lease back.
func (n *Node) confirmLease(ctx context.Context, session leaderSession) bool {
	for {
		if resumed := n.leadership.suspended(session.term); resumed != nil {
			select {
			case <-resumed:
			case <-session.ctx.Done():
				return false
			case <-ctx.Done():
				return false
			}
		}
		_, term, held := n.member.Load().readIndex(ctx)
		if held {
			return term == session.term
		}
		if _, ok := n.leadership.in(session.term); !ok || !clock.Sleep(ctx, leaseRetryDelay) {
			return false
		}
	}
}

// maintainMembers promotes learners that have caught up to voters and removes
// replaced or silent voters, one change at a time.
func (n *Node) maintainMembers(ctx context.Context, term uint64) {
	silentSince := map[string]time.Duration{}
	for clock.Sleep(ctx, membershipInterval) {
		m := n.member.Load()
		var current, next quorum.Membership
		var change string
		err := m.runOnLoop(ctx, func(q *quorum.Node) {
			s := q.Status()
			current = s.Membership
			if n.cfg.OpenMembership {
				next, change = nextOpenMembership(s, silentVoters(s, silentSince, clock.SinceBoot()), n.toleratedLosses())
			} else {
				next, change = nextMembership(s)
			}
		})
		if err != nil {
			return
		}
		if change == "" {
			continue
		}
		out := m.submit(ctx, &proposal{membership: &membershipChange{from: current, to: next}, term: term})
		n.cfg.Logger.Log("event", "membership_changed", "change", change, "voters", len(next.Voters), "learners", len(next.Learners), "err", errorOrNil(out.err))
	}
}

// nextMembership returns the next membership on the way to all learners being
// voters, and a description of the change, empty if there is none. A voter whose
// disk was lost is removed before the learner of the same name replaces it.
func nextMembership(s quorum.Status) (quorum.Membership, string) {
	if s.Pending || s.Role != quorum.RoleLeader {
		return quorum.Membership{}, ""
	}
	for _, l := range s.Membership.Learners {
		if !s.Members[l.ID].CaughtUp {
			continue
		}
		for _, v := range s.Membership.Voters {
			if v.Name == l.Name && v.ID != s.ID {
				return s.Membership.Without(v.ID), "remove lost voter " + v.Name
			}
		}
		return s.Membership.WithVoter(l), "add voter " + l.Name
	}
	return quorum.Membership{}, ""
}
