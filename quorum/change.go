package quorum

import "fmt"

// maxPromotionLagEntries is how far behind the commit index a learner may be when
// it is promoted; a learner that follows a busy leader is always a little behind.
const maxPromotionLagEntries = 64

// ProposeMembership appends a membership to the log of the leader. It is in
// force once appended. One voter may be added or removed at a time, since the
// majorities of two such memberships always share a voter; learners may change freely.
// A dead voter is best removed before its replacement is promoted, since four
// voters survive no more losses than three.
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

// checkMembershipChange checks a proposed membership. Without an entry of its own term
// committed, a leader could not know that the change before it is committed.
func (n *Node) checkMembershipChange(m Membership) error {
	if err := n.checkPropose(); err != nil {
		return err
	}
	now := n.log.membership()
	if now.index > n.log.commit || !n.log.matches(n.log.commit, n.term) {
		return ErrPending
	}
	if err := m.Validate(); err != nil {
		return err
	}
	if changed := changedVoters(now.membership, m); changed > 1 {
		return fmt.Errorf("%w: %d", ErrTooManyChanges, changed)
	}
	for _, v := range m.Voters {
		if !now.membership.IsVoter(v.ID) && !n.caughtUp(v.ID) {
			return fmt.Errorf("%w: %s", ErrNotCaughtUp, v.ID)
		}
	}
	return nil
}

// caughtUp reports whether a learner answers and has nearly all committed entries.
func (n *Node) caughtUp(id string) bool {
	p := n.leaderState.progress[id]
	return p != nil && n.active(p) && p.match+maxPromotionLagEntries >= n.log.commit && p.match > 0
}
