package quorum

import "fmt"

// maxPromotionLagEntries is the maximum lag behind the commit index, in entries, at
// which a learner may be promoted. It is not zero because a learner of a busy
// leader always lags a little.
const maxPromotionLagEntries = 64

// ProposeMembership appends a membership to the leader's log and returns its
// index and term. The membership is in force as soon as it is appended. Only one
// voter may be added or removed at a time, so that any majorities of the old and
// the new membership share a voter; learners may change freely. Promote the
// replacement of a silent voter before removing it if it may come back with its
// disk: four voters tolerate no more failures than three, but it counts until then.
func (n *Node) ProposeMembership(m Membership) (index, term uint64, err error) {
	if err := n.checkMembershipChange(m); err != nil {
		return 0, 0, fmt.Errorf("propose membership: %w", err)
	}
	e, err := EncodeMembership(m)
	if err != nil {
		return 0, 0, fmt.Errorf("propose membership: %w", err)
	}
	e.Index, e.Term = n.log.last()+1, n.term
	if err := n.log.append(e); err != nil {
		return 0, 0, fmt.Errorf("propose membership: %w", err)
	}
	n.adoptMembership()
	return e.Index, n.term, nil
}

// checkMembershipChange validates a proposed membership. It requires a committed
// entry of the leader's own term, since without one the leader does not know
// whether the previous change is committed.
func (n *Node) checkMembershipChange(m Membership) error {
	if err := n.checkPropose(); err != nil {
		return err
	}
	current := n.log.membership()
	if current.index > n.log.commit || !n.log.matches(n.log.commit, n.term) {
		return ErrPending
	}
	if err := m.Validate(); err != nil {
		return err
	}
	if changed := changedVoters(current.membership, m); changed > 1 {
		return fmt.Errorf("%w: %d", ErrTooManyChanges, changed)
	}
	for _, v := range m.Voters {
		if !current.membership.IsVoter(v.ID) && !n.caughtUp(v.ID) {
			return fmt.Errorf("%w: %s", ErrNotCaughtUp, v.ID)
		}
	}
	return nil
}

// caughtUp reports whether a member is active and has nearly all committed entries.
func (n *Node) caughtUp(id string) bool {
	p := n.leaderState.progress[id]
	return p != nil && n.active(p) && p.match+maxPromotionLagEntries >= n.log.commit && p.match > 0
}
