package ctrl

import (
	"context"
	"sync"
	"time"

	"turmericroute/clock"
	"turmericroute/quorum"
)

// leading runs what the leader does while the lease is held.
type leading struct {
	// run is called for each time in office; it returns when ctx ends.
	run func(ctx context.Context, term uint64)

	mu       sync.Mutex
	term     uint64
	index    uint64 // all entries of earlier terms are at or before it
	ctx      context.Context
	cancel   context.CancelFunc
	watchdog *time.Timer
	until    time.Duration // by the boot clock; the watchdog does not run while the machine is suspended
	ended    chan struct{} // closed when the last run has returned
}

// office is one time in office.
type office struct {
	ctx   context.Context
	term  uint64
	index uint64
}

// update is called by the protocol loop with the term, the commit index and whether the lease is held.
func (l *leading) update(term, index uint64, held bool) {
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
		l.watchdog.Reset(leadWatchdog)
		l.until = clock.SinceBoot() + leadWatchdog
	}
}

func (l *leading) begin(term, index uint64) {
	l.ctx, l.cancel = context.WithCancel(context.Background())
	l.term, l.index = term, index
	l.watchdog = time.AfterFunc(leadWatchdog, l.cancel)
	l.until = clock.SinceBoot() + leadWatchdog
	before, ended, ctx := l.ended, make(chan struct{}), l.ctx
	l.ended = ended
	go func() {
		defer close(ended)
		if before != nil {
			<-before
		}
		l.run(ctx, term)
	}()
}

func (l *leading) end() {
	l.watchdog.Stop()
	l.cancel()
	l.cancel = nil
}

// current returns the present time in office, false when this instance does not lead.
func (l *leading) current() (office, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cancel == nil || l.ctx.Err() != nil || clock.SinceBoot() > l.until {
		return office{}, false
	}
	return office{ctx: l.ctx, term: l.term, index: l.index}, true
}

// close ends the time in office and waits for run.
func (l *leading) close() {
	l.mu.Lock()
	if l.cancel != nil {
		l.end()
	}
	ended := l.ended
	l.mu.Unlock()
	if ended != nil {
		<-ended
	}
}

// lead runs the leader role and the upkeep of the membership.
func (n *Node) lead(ctx context.Context, term uint64) {
	n.cfg.Logger.Log("event", "leading_began", "term", term)
	defer n.cfg.Logger.Log("event", "leading_ended", "term", term)
	o, ok := n.leading.current()
	if !ok || o.term != term || n.machine.Wait(ctx, o.index) != nil {
		return
	}
	var wg sync.WaitGroup
	wg.Go(func() { n.keepMembers(ctx, term) })
	if n.cfg.Leader != nil {
		wg.Go(func() { n.cfg.Leader.Lead(ctx, term, n) })
	}
	wg.Wait()
}

// keepMembers makes learners that have caught up voters, one change at a time.
func (n *Node) keepMembers(ctx context.Context, term uint64) {
	silent := map[string]time.Duration{}
	for clock.Sleep(ctx, memberInterval) {
		m := n.member.Load()
		var next quorum.Membership
		var what string
		err := m.call(ctx, func(q *quorum.Node) {
			s := q.Status()
			if n.cfg.Open {
				next, what = nextOpenMembership(s, goneVoters(s, silent, clock.SinceBoot()))
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
		n.cfg.Logger.Log("event", "membership_changed", "change", what, "voters", len(next.Voters), "learners", len(next.Learners), "err", errorOf(out.err))
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
