package quorum

import "fmt"

// Step handles a message from another member.
func (n *Node) Step(m Message) error {
	if m.To != n.id || m.From == n.id || m.From == "" {
		return fmt.Errorf("step message from %q to %q at %q: %w", m.From, m.To, n.id, ErrMisaddressed)
	}
	if m.Term < n.term {
		n.rejectOldTerm(m)
		return nil
	}
	switch m.Kind {
	case MessagePreVote:
		n.handlePreVote(m)
	case MessageVote:
		n.handleVote(m)
	case MessagePreVoteReply, MessageVoteReply:
		n.handleVoteReply(m)
	case MessageAppend, MessageHeartbeat, MessageSnapshot:
		return n.handleLeaderMessage(m)
	case MessageAppendReply, MessageHeartbeatReply, MessageSnapshotReply:
		n.handleReplicationReply(m)
	case MessageTimeoutNow:
		n.handleTimeoutNow(m)
	default:
		return fmt.Errorf("step message of kind %d: %w", m.Kind, ErrMalformed)
	}
	return nil
}

// rejectOldTerm rejects a message of an earlier term, which tells its sender the current term.
func (n *Node) rejectOldTerm(m Message) {
	switch m.Kind {
	case MessagePreVote:
		n.send(Message{Kind: MessagePreVoteReply, To: m.From, Reject: true})
	case MessageVote:
		n.send(Message{Kind: MessageVoteReply, To: m.From, Reject: true})
	case MessageAppend, MessageHeartbeat, MessageSnapshot:
		n.send(Message{Kind: MessageAppendReply, To: m.From, Reject: true})
	}
}

// handleLeaderMessage handles a message that only the leader of its term may send.
func (n *Node) handleLeaderMessage(m Message) error {
	if n.role == RoleLeader && m.Term == n.term {
		return fmt.Errorf("step message of term %d from a second leader %q: %w", m.Term, m.From, ErrMalformed)
	}
	if m.Term > n.term || n.role == RoleCandidate || n.role == RolePreCandidate || n.leader != m.From {
		n.becomeFollower(m.Term, m.From)
	}
	n.hadContact, n.lastContact, n.elections = true, n.now, 0
	n.resetTimer()
	switch m.Kind {
	case MessageAppend:
		return n.handleAppend(m)
	case MessageSnapshot:
		return n.handleSnapshot(m)
	}
	return n.handleHeartbeat(m)
}

// handleReplicationReply handles a reply to an append, heartbeat or snapshot of this leader.
func (n *Node) handleReplicationReply(m Message) {
	if m.Term > n.term {
		n.becomeFollower(m.Term, "")
		return
	}
	p := n.leaderState.progress[m.From]
	if n.role != RoleLeader || p == nil {
		return
	}
	n.recordReply(p, m.Round)
	switch m.Kind {
	case MessageHeartbeatReply:
		if m.Index == 0 {
			p.handleHeartbeatReply(m.Round)
		}
	case MessageAppendReply:
		if m.Reject {
			n.handleAppendReject(p, m)
			return
		}
		n.advanceMember(m.From, p, m.Index)
	case MessageSnapshotReply:
		n.advanceMember(m.From, p, m.Index)
	}
}
