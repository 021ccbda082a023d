package quorum

import "fmt"

// Step handles a message from another member.
func (n *Node) Step(m Message) error {
	if m.To != n.id || m.From == n.id || m.From == "" {
		return fmt.Errorf("step message from %q to %q at %q: %w", m.From, m.To, n.id, ErrMisaddressed)
	}
	if m.Term < n.term {
		n.refuseOldTerm(m)
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
		return n.handleLeader(m)
	case MessageAppendReply, MessageHeartbeatReply, MessageSnapshotReply:
		n.handleProgress(m)
	case MessageTimeoutNow:
		n.handleTimeoutNow(m)
	default:
		return fmt.Errorf("step message of kind %d: %w", m.Kind, ErrMalformed)
	}
	return nil
}

// refuseOldTerm tells an outdated leader or candidate of the present term.
func (n *Node) refuseOldTerm(m Message) {
	switch m.Kind {
	case MessagePreVote:
		n.send(Message{Kind: MessagePreVoteReply, To: m.From, Reject: true})
	case MessageVote:
		n.send(Message{Kind: MessageVoteReply, To: m.From, Reject: true})
	case MessageAppend, MessageHeartbeat, MessageSnapshot:
		n.send(Message{Kind: MessageAppendReply, To: m.From, Reject: true})
	}
}

// handleLeader handles a message that only the leader of its term sends.
func (n *Node) handleLeader(m Message) error {
	if n.role == RoleLeader && m.Term == n.term {
		return fmt.Errorf("step message of another leader of term %d from %q: %w", m.Term, m.From, ErrMalformed)
	}
	if m.Term > n.term || n.role == RoleCandidate || n.role == RolePreCandidate || n.leader != m.From {
		n.becomeFollower(m.Term, m.From)
	}
	n.heard, n.heardAt = true, n.now
	n.resetTimer()
	switch m.Kind {
	case MessageAppend:
		return n.handleAppend(m)
	case MessageSnapshot:
		return n.handleSnapshot(m)
	}
	return n.handleHeartbeat(m)
}

// handleProgress handles a follower's answer to the leader.
func (n *Node) handleProgress(m Message) {
	if m.Term > n.term {
		n.becomeFollower(m.Term, "")
		return
	}
	p := n.lead.members[m.From]
	if n.role != RoleLeader || p == nil {
		return
	}
	n.acknowledge(p, m.Round)
	switch m.Kind {
	case MessageHeartbeatReply:
		p.heartbeatAnswered(m.Round)
	case MessageAppendReply:
		if m.Reject {
			n.backUp(p, m)
			return
		}
		n.advanceMember(m.From, p, m.Index)
	case MessageSnapshotReply:
		n.advanceMember(m.From, p, m.Index)
	}
}
