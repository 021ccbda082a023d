package ctrl

import (
	"slices"
	"time"

	"turmericroute/clock"
	"turmericroute/quorum"
)

const (
	// replaceVoterAfter is how long a voter is silent before a learner that has caught up
	// may replace it. A voter that returns later must rejoin as a learner.
	replaceVoterAfter = 2 * time.Second
	// rejoinInterval is how often a member without a leader checks whether it has been removed.
	rejoinInterval = 500 * time.Millisecond
	// maxOpenVoters bounds the voters with open membership unless more losses are to be tolerated; more would only add
	// messages.
	maxOpenVoters = 5
)

// silentVoters returns the IDs of the voters that have been silent for
// replaceVoterAfter. silentSince holds the boot clock time since when each voter
// is silent; the caller passes the same map at each call.
func silentVoters(s quorum.Status, silentSince map[string]time.Duration, now time.Duration) map[string]bool {
	silent := map[string]bool{}
	for _, v := range s.Membership.Voters {
		if v.ID == s.ID || s.Members[v.ID].Active {
			delete(silentSince, v.ID)
			continue
		}
		since, ok := silentSince[v.ID]
		if !ok {
			silentSince[v.ID] = now
			continue
		}
		silent[v.ID] = now-since >= replaceVoterAfter
	}
	return silent
}

// nextOpenMembership returns the next membership on the way to an odd number of
// voters that reply and a description of the change, empty if there is none. The
// number is odd because one more voter wouldn't let the cluster survive one more
// failure, while a partition into halves would stop all commits. No removal makes
// the majority smaller than toleratedLosses+1: an acknowledged entry may be on the
// disks of a majority only, and toleratedLosses of them may be lost together.
func nextOpenMembership(s quorum.Status, silent map[string]bool, toleratedLosses int) (quorum.Membership, string) {
	if s.Pending || s.Role != quorum.RoleLeader {
		return quorum.Membership{}, ""
	}
	var caughtUp []quorum.Member
	for _, l := range s.Membership.Learners {
		if s.Members[l.ID].CaughtUp {
			caughtUp = append(caughtUp, l)
		}
	}
	voters := len(s.Membership.Voters)
	even := voters%2 == 0
	// An odd number of voters has the same majority as the even number below it.
	mayRemove := voters > 1 && !even || voters/2 > toleratedLosses
	most := max(maxOpenVoters, 2*toleratedLosses+1)
	full := voters >= most
	isLost := func(v quorum.Member) bool { return v.ID != s.ID && hasReplacement(s.Membership, caughtUp, v) }
	for _, v := range s.Membership.Voters {
		next := s.Membership.Without(v.ID)
		if isLost(v) && mayRemove && (even && full || !worsensSpread(s.Membership, next)) {
			return next, "remove lost voter " + v.Name
		}
	}
	tooFew := voters < 2*toleratedLosses
	if l, ok := bestSpread(s.Membership, caughtUp); ok && !full && (even || tooFew) {
		next := s.Membership.WithVoter(l)
		// Two voters survive no failure at all, and a lost voter can be removed from an odd number only.
		if tooFew || voters == 2 || slices.ContainsFunc(s.Membership.Voters, isLost) || !worsensSpread(s.Membership, next) {
			return next, "add voter " + l.Name
		}
	}
	for _, v := range s.Membership.Voters {
		if !silent[v.ID] || !mayRemove {
			continue
		}
		next := s.Membership.Without(v.ID)
		if even && !worsensSpread(s.Membership, next) {
			return next, "remove silent voter " + v.Name
		}
		l, ok := bestSpread(next, caughtUp)
		if even || !ok || worsensSpread(s.Membership, next.WithVoter(l)) {
			continue
		}
		// The silent voter may keep its disk and count again after a loss of others, so its replacement votes first: of
		// four voters that remain, too few would be left.
		if larger := s.Membership.WithVoter(l); !worsensSpread(s.Membership, larger) {
			return larger, "add voter " + l.Name
		}
		return next, "remove silent voter " + v.Name
	}
	if v, ok := surplusVoter(s); ok && mayRemove && (voters > most || even && len(s.Membership.Learners) == 0) {
		return s.Membership.WithLearner(v), "demote voter " + v.Name
	}
	if v, ok := crowdedVoter(s); even && mayRemove && ok {
		if next := s.Membership.WithLearner(v); !worsensSpread(s.Membership, next) {
			return next, "demote voter " + v.Name
		}
	}
	if l, ok := bestSpread(s.Membership, caughtUp); ok && even && voters > most {
		// A voter of another data centre can be demoted then.
		if larger := s.Membership.WithVoter(l); largestShare(larger) == largestShare(s.Membership) {
			return larger, "add voter " + l.Name
		}
	}
	if l, ok := bestSpread(s.Membership, caughtUp); ok && !even {
		larger := s.Membership.WithVoter(l)
		second, ok := bestSpread(larger, without(caughtUp, l))
		grows := ok && !full && !worsensSpread(s.Membership, larger.WithVoter(second))
		if grows || improvesSpread(s, larger) {
			return larger, "add voter " + l.Name
		}
	}
	return quorum.Membership{}, ""
}

// hasReplacement reports whether a voter has lost its disk: the instance of its
// name has caught up with another one, or votes with it already.
func hasReplacement(m quorum.Membership, caughtUp []quorum.Member, v quorum.Member) bool {
	later := m.Voters[slices.Index(m.Voters, v)+1:]
	return slices.ContainsFunc(slices.Concat(later, caughtUp), func(o quorum.Member) bool { return o.Name == v.Name })
}

// toleratedLosses returns the configured number, or else the one that the first
// membership of this instance survives.
func (n *Node) toleratedLosses() int {
	if n.cfg.ToleratedLosses > 0 {
		return n.cfg.ToleratedLosses
	}
	_, _, m := n.bootstrapState.get()
	if m == nil {
		return 0
	}
	return (len(m.Voters) - 1) / 2
}

// rejoinWhenRemoved rejoins the cluster when this instance has been removed from
// the members, for instance during a long suspension; it then knows no leader.
func (n *Node) rejoinWhenRemoved() {
	for clock.Sleep(n.ctx, rejoinInterval) {
		m := n.member.Load()
		if m == nil || m.status.Load().Leader != "" {
			continue
		}
		peers := n.controlPeers()
		answers := n.identifyPeers(n.ctx, peers)
		for i, a := range answers {
			if _, ok := membershipFromWire(a.GetMembership()).Find(m.id); ok {
				answers[i] = nil
			}
		}
		candidates := n.joinCandidates(peers, answers)
		if len(candidates) == 0 {
			continue
		}
		if err := n.joinAny(n.ctx, m.id, candidates); err != nil {
			n.cfg.Logger.Log("event", "rejoin_failed", "err", err)
		}
	}
}
