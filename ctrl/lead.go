package ctrl

import (
	"context"
	"sync"
	"time"

	"turmericroute/clock"
	"turmericroute/quorum"
)

// leadership runs what the leader does while the lease is held.
type leadership struct {
	// run is called for each time in office; it returns when ctx ends.
	run func(ctx context.Context, term uint64)

	mu          sync.Mutex
	term        uint64
	commitIndex uint64 // all entries of earlier terms are at or before it
	ctx         context.Context
	cancel      context.CancelFunc
	watchdog    *time.Timer
	deadline    time.Duration // by the boot clock; the watchdog does not run while the machine is suspended
	runDone     chan struct{} // closed when the last run has returned
}

// leaderSession is one time in leaderSession.
type leaderSession struct {
	ctx         context.Context
	term        uint64
	commitIndex uint64
}

// update is called by the protocol loop with the term, the commit index and whether the lease is held.
func (l *leadership) update(term, index uint64, held bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cancel != nil && (!held || term != l.term || l.ctx.Err() != nil) {
		l.end()
	}
	switch {
	case !held:
	case l.cancel == nil:
		l.begin(term, index)
	default:
		l.watchdog.Reset(leaderWatchdogTimeout)
		l.deadline = clock.Boot() + leaderWatchdogTimeout
	}
}

func (l *leadership) begin(term, index uint64) {
	l.ctx, l.cancel = context.WithCancel(context.Background())
	l.term, l.commitIndex = term, index
	l.watchdog = time.AfterFunc(leaderWatchdogTimeout, l.cancel)
	l.deadline = clock.Boot() + leaderWatchdogTimeout
	before, ended, ctx := l.runDone, make(chan struct{}), l.ctx
	l.runDone = ended
	go func() {
		defer close(ended)
		if before != nil {
			<-before
		}
		l.run(ctx, term)
	}()
}

func (l *leadership) end() {
	l.watchdog.Stop()
	l.cancel()
	l.cancel = nil
}

// current returns the present time in office, false when this instance does not lead.
func (l *leadership) current() (leaderSession, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cancel == nil || l.ctx.Err() != nil || clock.Boot() > l.deadline {
		return leaderSession{}, false
	}
	return leaderSession{ctx: l.ctx, term: l.term, commitIndex: l.commitIndex}, true
}

// close ends the time in office and waits for run.
func (l *leadership) close() {
	l.mu.Lock()
	if l.cancel != nil {
		l.end()
	}
	ended := l.runDone
	l.mu.Unlock()
	if ended != nil {
		<-ended
	}
}

// runLeader runs the leader role and the upkeep of the membership.
func (n *Node) runLeader(ctx context.Context, term uint64) {
	n.cfg.Logger.Log("event", "leading_began", "term", term)
	defer n.cfg.Logger.Log("event", "leading_ended", "term", term)
	o, ok := n.leadership.current()
	if !ok || o.term != term || n.machine.Wait(ctx, o.commitIndex) != nil {
		return
	}
	var wg sync.WaitGroup
	wg.Go(func() { n.maintainMembers(ctx, term) })
	if n.cfg.Leader != nil {
		wg.Go(func() { n.cfg.Leader.Lead(ctx, term, n) })
	}
	wg.Wait()
}

// maintainMembers makes learners that have caught up voters, one change at a time.
func (n *Node) maintainMembers(ctx context.Context, term uint64) {
	silent := map[string]time.Duration{}
	for clock.Sleep(ctx, membershipInterval) {
		m := n.member.Load()
		var next quorum.Membership
		var what string
		err := m.runOnLoop(ctx, func(q *quorum.Node) {
			s := q.Status()
			if n.cfg.OpenMembership {
				next, what = nextOpenMembership(s, unresponsiveVoters(s, silent, clock.Boot()))
			} else {
				next, what = nextMembership(s)
			}
		})
		if err != nil {
			return
		}
		if what == "" {
			continue
		}
		out := m.submit(ctx, &proposal{membership: &next, term: term})
		n.cfg.Logger.Log("event", "membership_changed", "change", what, "voters", len(next.Voters), "learners", len(next.Learners), "err", asError(out.err))
	}
}

// nextMembership returns the next step towards all learners being voters: the
// voter whose disk was lost goes before the learner of the same name takes its
// place. An empty second result means that there is nothing to do now.
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
