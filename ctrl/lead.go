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

// leadership runs the leader's work while this instance holds the leader lease.
type leadership struct {
	// run is called once per session; it returns when ctx ends.
	run func(ctx context.Context, term uint64)

	mu          sync.Mutex
	term        uint64
	commitIndex uint64 // at the start of the session; covers all entries of earlier terms
	ctx         context.Context
	cancel      context.CancelCauseFunc
	watchdog    *time.Timer
	deadline    time.Duration // boot clock time; the watchdog timer doesn't advance while the machine is suspended
	runDone     chan struct{} // closed when the latest run has returned
}

// leaderSession is a period in which this instance holds the leader lease without
// interruption, within one term.
type leaderSession struct {
	ctx         context.Context
	term        uint64
	commitIndex uint64
}

// update begins, extends or ends the session. The protocol loop calls it with the
// term, the commit index and whether the lease is held.
func (l *leadership) update(term, index uint64, held bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.cancel == nil:
	case term != l.term:
		l.end(errTermEnded)
	case !held:
		l.end(errLeaseLost)
	case l.ctx.Err() != nil:
		l.end(errLoopStalled)
	}
	switch {
	case !held:
	case l.cancel == nil:
		l.begin(term, index)
	default:
		l.watchdog.Reset(leaderWatchdogTimeout)
		l.deadline = clock.SinceBoot() + leaderWatchdogTimeout
	}
}

// begin starts a session; run is called once that of the previous session has
// returned. The caller holds l.mu.
func (l *leadership) begin(term, index uint64) {
	ctx, cancel := context.WithCancelCause(context.Background())
	l.ctx, l.cancel = ctx, cancel
	l.term, l.commitIndex = term, index
	l.watchdog = time.AfterFunc(leaderWatchdogTimeout, func() { cancel(errLoopStalled) })
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

// current returns the current session, false if this instance does not lead.
func (l *leadership) current() (leaderSession, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cancel == nil || l.ctx.Err() != nil || clock.SinceBoot() > l.deadline {
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
	session, ok := n.leadership.current()
	if !ok || session.term != term || n.machine.Wait(ctx, session.commitIndex) != nil {
		return
	}
	var wg sync.WaitGroup
	wg.Go(func() { n.maintainMembers(ctx, term) })
	if n.cfg.Leader != nil {
		wg.Go(func() { n.cfg.Leader.Lead(ctx, term, n) })
	}
	wg.Wait()
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
