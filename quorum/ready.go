package quorum

// Ready is work for the caller, in the order of its fields.
type Ready struct {
	// HardState must be synced before Messages are sent; nil when unchanged. A
	// new commit index alone is handed out only with entries or a snapshot.
	HardState *HardState
	// Snapshot replaces the state machine and the whole log, also the entries
	// after its index; nil for none.
	Snapshot *Snapshot
	// Entries must be appended and synced before Messages are sent; they
	// replace any entries from their first index on.
	Entries []Entry
	// Messages may be lost. Those of kinds MessageAppend, MessageHeartbeat and
	// MessageSnapshot may be sent before the sync.
	Messages []Message
	// Committed entries are to be applied in order.
	Committed []Entry
}

// Ready returns the work to do, false when there is none or when the last one
// has not been advanced. The node may be used between Ready and Advance.
func (n *Node) Ready() (Ready, bool) {
	if n.readyPending {
		return Ready{}, false
	}
	if n.role == RoleLeader {
		n.replicate()
	}
	r := Ready{
		Snapshot:  n.pendingSnapshot,
		Entries:   n.log.slice(n.log.stable+1, n.log.last()),
		Messages:  n.messages,
		Committed: n.log.slice(n.log.applied+1, n.log.commit),
	}
	hs := HardState{Term: n.term, Vote: n.vote, Commit: n.log.commit}
	saves := len(r.Entries) > 0 || r.Snapshot != nil
	if hs.Term != n.prevHardState.Term || hs.Vote != n.prevHardState.Vote || saves && hs.Commit != n.prevHardState.Commit {
		r.HardState = &hs
		n.prevHardState = hs
	}
	if r.HardState == nil && !saves && len(r.Messages) == 0 && len(r.Committed) == 0 {
		return Ready{}, false
	}
	n.pendingSnapshot = nil
	n.messages = nil
	n.log.delivered = n.log.commit
	n.readyPending = true
	return r, true
}

// Advance records that r is synced, sent and applied. It may make more work
// ready, so that the caller should ask again.
func (n *Node) Advance(r Ready) {
	if !n.readyPending {
		return
	}
	n.readyPending = false
	if k := len(r.Committed); k > 0 {
		n.log.applied = max(n.log.applied, r.Committed[k-1].Index)
	}
	if k := len(r.Entries); k > 0 && n.pendingSnapshot == nil {
		n.log.stableTo(r.Entries[k-1].Index, r.Entries[k-1].Term)
	}
	if hs := r.HardState; n.role == RoleCandidate && hs != nil && hs.Term == n.term && hs.Vote == n.id {
		n.votes[n.id] = true
		n.countVotes()
	}
	if n.role == RoleLeader {
		n.maybeCommit()
	}
}
