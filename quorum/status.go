package quorum

// Status is the state of a member, for its own process and for dumps.
type Status struct {
	ID     string `json:"id"`
	Role   Role   `json:"role"`
	Term   uint64 `json:"term"`
	Leader string `json:"leader"` // ID, empty when not known
	// First and Last are the indexes of the first and the last entry in the log.
	First   uint64 `json:"first"`
	Last    uint64 `json:"last"`
	Commit  uint64 `json:"commit"`
	Applied uint64 `json:"applied"`
	// Lease is true if this member is the leader and holds the leader lease.
	Lease bool `json:"lease"`
	// Transferee is the ID of the voter to which leadership is transferred, empty for none.
	Transferee string `json:"transferee,omitempty"`
	// Membership is the membership in force; Pending is true while it is uncommitted.
	Membership Membership `json:"membership"`
	Pending    bool       `json:"pending"`
	// Members is the leader's view of the other members, by ID.
	Members map[string]MemberStatus `json:"members,omitempty"`
}

// MemberStatus is the leader's view of another member.
type MemberStatus struct {
	// Match is the last index known to be synced there and to match the leader's log.
	Match uint64 `json:"match"`
	// Active is true if the member replied within the minimum election timeout.
	Active bool `json:"active"`
	// CaughtUp is true if the member, when it is a learner, may be promoted.
	CaughtUp bool `json:"caught_up"`
}

// Status returns the state of this member.
func (n *Node) Status() Status {
	current := n.log.membership()
	s := Status{
		ID:         n.id,
		Role:       n.role,
		Term:       n.term,
		Leader:     n.leader,
		First:      n.log.base + 1,
		Last:       n.log.last(),
		Commit:     n.log.commit,
		Applied:    n.log.applied,
		Lease:      n.leaseHeld(),
		Transferee: n.leaderState.transferee,
		Membership: current.membership,
		Pending:    current.index > n.log.commit,
	}
	if n.role == RoleLeader {
		s.Members = make(map[string]MemberStatus, len(n.leaderState.progress))
		for id, p := range n.leaderState.progress {
			s.Members[id] = MemberStatus{Match: p.match, Active: n.active(p), CaughtUp: n.caughtUp(id)}
		}
	}
	return s
}
