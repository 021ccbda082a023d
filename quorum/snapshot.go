package quorum

import "fmt"

// handleSnapshot replaces the log with the leader's snapshot, unless the log
// already contains the snapshot's last entry.
func (n *Node) handleSnapshot(m Message) error {
	s := m.Snapshot
	if s == nil {
		return fmt.Errorf("snapshot from %s: %w: no snapshot in the message", m.From, ErrMalformed)
	}
	if err := s.Membership.Validate(); err != nil {
		return fmt.Errorf("snapshot from %s: %w", m.From, err)
	}
	reply := Message{Kind: MessageSnapshotReply, To: m.From, Round: m.Round}
	switch {
	case s.Index <= n.log.commit:
		reply.Index = n.log.commit
	case n.log.matches(s.Index, s.Term):
		n.log.commit = s.Index
		reply.Index = s.Index
	default:
		n.log.reset(*s)
		n.snapshot = s
		n.pendingSnapshot = s
		reply.Index = s.Index
	}
	n.adoptMembership()
	n.send(reply)
	return nil
}

// MembershipAt returns the membership in force at index, for a snapshot at that
// index. It returns false when index is beyond the log or before the last snapshot.
func (n *Node) MembershipAt(index uint64) (Membership, bool) {
	return n.log.membershipAt(index)
}

// Compact drops the log up to s.Index except for the last keep entries; the
// caller must have synced s. Members that need dropped entries are sent s
// instead. Ready must have returned the entry at s.Index as committed, and the
// membership of s must be MembershipAt(s.Index).
func (n *Node) Compact(s Snapshot, keep int) error {
	if keep < 0 || s.Index > n.log.delivered || !n.log.matches(s.Index, s.Term) {
		return fmt.Errorf("compact to %d of term %d: %w", s.Index, s.Term, ErrBadSnapshot)
	}
	if n.snapshot != nil && s.Index < n.snapshot.Index {
		return fmt.Errorf("compact to %d after %d: %w", s.Index, n.snapshot.Index, ErrBadSnapshot)
	}
	if m, ok := n.log.membershipAt(s.Index); !ok || !m.Equal(s.Membership) {
		return fmt.Errorf("compact to %d: %w: the membership differs", s.Index, ErrBadSnapshot)
	}
	n.snapshot = &s
	if s.Index > uint64(keep) {
		n.log.compact(s.Index-uint64(keep), s.Index)
	}
	return nil
}
