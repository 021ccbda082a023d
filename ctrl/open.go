package ctrl

import (
	"time"

	"turmericroute/clock"
	"turmericroute/quorum"
)

const (
	// replaceVoterAfter is how long a voter is silent before one that has caught up takes its
	// place; a wrong guess costs the returning voter a new admission as learner.
	replaceVoterAfter = 2 * time.Second
	// rejoinInterval is how often a member without a leader checks that it is still a member.
	rejoinInterval = 500 * time.Millisecond
	// maxOpenVoters bounds the voters of an open deployment; more would only add messages.
	maxOpenVoters = 5
)

// unresponsiveVoters returns the IDs of the voters that have been silent for replaceVoterAfter;
// silent holds since when, and is kept by the caller.
func unresponsiveVoters(s quorum.Status, silent map[string]time.Duration, now time.Duration) map[string]bool {
	gone := map[string]bool{}
	for _, v := range s.Membership.Voters {
		if v.ID == s.ID || s.Members[v.ID].Active {
			delete(silent, v.ID)
			continue
		}
		since, ok := silent[v.ID]
		if !ok {
			silent[v.ID] = now
			continue
		}
		gone[v.ID] = now-since >= replaceVoterAfter
	}
	return gone
}

// nextOpenMembership returns the next step towards an odd number of voters that
// answer. Odd, since a further voter that makes the number even survives no
// further loss and lets a split into halves stop all commits.
func nextOpenMembership(s quorum.Status, gone map[string]bool) (quorum.Membership, string) {
	if s.Pending || s.Role != quorum.RoleLeader {
		return quorum.Membership{}, ""
	}
	var ready []quorum.Member
	for _, l := range s.Membership.Learners {
		if s.Members[l.ID].CaughtUp {
			ready = append(ready, l)
		}
	}
	for _, v := range s.Membership.Voters {
		for _, l := range ready {
			if v.Name == l.Name && v.ID != s.ID {
				return s.Membership.Without(v.ID), "remove lost voter " + v.Name
			}
		}
	}
	voters := len(s.Membership.Voters)
	even := voters%2 == 0
	for _, v := range s.Membership.Voters {
		if gone[v.ID] && (len(ready) > 0 || even) && voters > 1 {
			return s.Membership.Without(v.ID), "remove silent voter " + v.Name
		}
	}
	if len(ready) > 0 && even || len(ready) > 1 && voters < maxOpenVoters {
		return s.Membership.WithVoter(ready[0]), "add voter " + ready[0].Name
	}
	return quorum.Membership{}, ""
}

// rejoinWhenRemoved asks to be admitted again when this instance has been removed from
// the members, as after a long suspension: its log then names no leader.
func (n *Node) rejoinWhenRemoved() {
	for clock.Sleep(n.ctx, rejoinInterval) {
		m := n.member.Load()
		if m == nil || m.status.Load().Leader != "" {
			continue
		}
		peers := n.controlPeers()
		for i, a := range n.identifyPeers(n.ctx, peers) {
			if a.GetMembership() == nil || a.GetLeader() == "" {
				continue
			}
			if _, ok := membershipFromWire(a.GetMembership()).Find(m.id); ok {
				continue
			}
			if err := n.join(n.ctx, m.id, a.GetLeader(), peers[i]); err != nil {
				n.cfg.Logger.Log("event", "rejoin_failed", "leader", a.GetLeader(), "err", err)
			}
			break
		}
	}
}
