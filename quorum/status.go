package quorum

// Status describes a member for its own process and for dumps.
type Status struct {
	ID     string `json:"id"`
	Role   Role   `json:"role"`
	Term   uint64 `json:"term"`
	Leader string `json:"leader"` // ID, empty when not known
	// First is the index of the first entry in the log, Last that of the last.
	First   uint64 `json:"first"`
	Last    uint64 `json:"last"`
	Commit  uint64 `json:"commit"`
	Applied uint64 `json:"applied"`
	// Lease is whether this member leads and holds the leader lease.
	Lease bool `json:"lease"`
	// Transferee is the ID of the voter that is to take over, empty for none.
	Transferee string `json:"transferee,omitempty"`
	// Membership is in force; Pending is whether it is uncommitted.
	Membership Membership `json:"membership"`
	Pending    bool       `json:"pending"`
	// Members is what a leader knows of the others, by ID.
	Members map[string]MemberStatus `json:"members,omitempty"`
}

// MemberStatus is what the leader knows of another member.
type MemberStatus struct {
	Match  uint64 `json:"match"`
	Active bool   `json:"active"`
	// CaughtUp is whether a learner may be promoted.
	CaughtUp bool `json:"caught_up"`
}

// Status returns a description of this member.
func (n *Node) Status() Status {
	config := n.log.membership()
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
		Membership: config.membership,
		Pending:    config.index > n.log.commit,
	}
	if n.role == RoleLeader {
		s.Members = make(map[string]MemberStatus, len(n.leaderState.progress))
		for id, p := range n.leaderState.progress {
			s.Members[id] = MemberStatus{Match: p.match, Active: n.active(p), CaughtUp: n.caughtUp(id)}
		}
	}
	return s
}
