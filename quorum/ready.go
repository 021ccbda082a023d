package quorum

import "slices"

// Ready is the work for the caller, to be done in the order of the fields.
type Ready struct {
	// HardState must be synced before Messages are sent; nil when unchanged. A
	// change of the commit index alone is returned only together with entries or
	// a snapshot.
	HardState *HardState
	// Snapshot replaces the state machine and the whole log, including entries
	// after the snapshot's index; nil for none.
	Snapshot *Snapshot
	// Entries must be appended and synced before Messages are sent; they
	// replace all entries from their first index on.
	Entries []Entry
	// Messages may be lost in transit. Those for which SentBeforeSync returns true
	// may be sent before the sync.
	Messages []Message
	// Committed entries must be applied in order.
	Committed []Entry
}

// Ready returns the pending work, or false when there is none or when Advance
// was not yet called for the previous Ready. Other methods may be called
// between Ready and Advance.
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
	writesData := len(r.Entries) > 0 || r.Snapshot != nil
	if hs.Term != n.prevHardState.Term || hs.Vote != n.prevHardState.Vote || writesData && hs.Commit != n.prevHardState.Commit {
		r.HardState = &hs
		n.prevHardState = hs
	}
	if r.HardState == nil && !writesData && len(r.Messages) == 0 && len(r.Committed) == 0 {
		return Ready{}, false
	}
	n.pendingSnapshot = nil
	n.messages = nil
	n.log.delivered = n.log.commit
	n.readyPending = true
	return r, true
}

// SentBeforeSync reports whether a message may be sent before the sync that is due
// with it: the messages of a leader, whose own disk counts like any other, and
// pre-votes, which promise nothing. A candidate's own vote counts only once it is
// synced, so its requests may be sent before as well; the others then sync at the
// same time.
func SentBeforeSync(m Message) bool {
	switch m.Kind {
	case MessageAppend, MessageHeartbeat, MessageSnapshot, MessagePreVote, MessagePreVoteReply, MessageVote:
		return true
	default:
		return false
	}
}

// Immediate returns the pending messages that depend on no sync, so that they can
// be sent between Ready and Advance: a leader's heartbeats, answers to heartbeats
// in a term that is on disk, pre-votes and requests for votes. A slow sync then
// ends no lease and delays elections less.
func (n *Node) Immediate() []Message {
	var out []Message
	n.messages = slices.DeleteFunc(n.messages, func(m Message) bool {
		switch {
		case m.Kind == MessageHeartbeat, m.Kind == MessagePreVote, m.Kind == MessagePreVoteReply, m.Kind == MessageVote:
		case m.Kind == MessageHeartbeatReply && m.Term <= n.syncedTerm:
			m.Index = n.log.last()
		default:
			return false
		}
		out = append(out, m)
		return true
	})
	return out
}

// Advance records that r has been synced, sent and applied. It may produce more
// work, so the caller should call Ready again.
func (n *Node) Advance(r Ready) {
	if !n.readyPending {
		return
	}
	n.readyPending = false
	if k := len(r.Committed); k > 0 {
		n.log.applied = max(n.log.applied, r.Committed[k-1].Index)
	}
	if n.pendingSnapshot == nil {
		n.log.stableTo(r.Entries)
	}
	if hs := r.HardState; hs != nil && (hs.Term != n.syncedTerm || hs.Vote != n.syncedVote) {
		n.syncedTerm, n.syncedVote = hs.Term, hs.Vote
		if n.role != RoleLeader {
			n.resetTimer() // the others need as long for their votes
		}
	}
	if hs := r.HardState; n.role == RoleCandidate && hs != nil && hs.Term == n.term && hs.Vote == n.id {
		n.votes[n.id] = true
		n.countVotes()
	}
	if n.role == RoleLeader {
		n.maybeCommit()
	}
}
