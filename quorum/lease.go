package quorum

// startRound sends a numbered heartbeat to all other members. The lease that
// its answers give is counted from now, before the heartbeats are sent.
func (n *Node) startRound() {
	n.lead.round++
	n.lead.starts = append(n.lead.starts, n.now)
	for n.now-n.lead.starts[0] > uint64(n.cfg.ElectionTicks) {
		n.lead.starts = n.lead.starts[1:]
	}
	for _, id := range n.memberIDs() {
		p := n.lead.members[id]
		n.send(Message{
			Kind:   MessageHeartbeat,
			To:     id,
			Commit: min(p.match, n.log.commit),
			Round:  n.lead.round,
		})
	}
}

// acknowledge records that a member answered a message of round.
func (n *Node) acknowledge(p *progress, round uint64) {
	p.answered = true
	p.answeredAt = n.now
	if round <= n.lead.round {
		p.round = max(p.round, round)
	}
}

// active reports whether a member answered within the minimum election timeout.
func (n *Node) active(p *progress) bool {
	return p.answered && n.now-p.answeredAt < uint64(n.cfg.ElectionTicks)
}

// answeredRound returns the latest round that a majority of the voters answered.
func (n *Node) answeredRound() uint64 {
	return n.majority(n.lead.round, func(p *progress) uint64 { return p.round })
}

// roundTick returns the tick at which round started, false when that is longer
// ago than the minimum election timeout.
func (n *Node) roundTick(round uint64) (uint64, bool) {
	back := n.lead.round - round
	if round == 0 || back >= uint64(len(n.lead.starts)) {
		return 0, false
	}
	return n.lead.starts[uint64(len(n.lead.starts))-1-back], true
}

// quorumTick returns the tick from which the leader has reason to believe that
// a majority follows it, at first the tick of its election.
func (n *Node) quorumTick() uint64 {
	if tick, ok := n.roundTick(n.answeredRound()); ok {
		return tick
	}
	return n.lead.since
}

// leaseHeld reports whether no other member can have been elected, on any
// clock within the drift bound.
func (n *Node) leaseHeld() bool {
	if n.role != RoleLeader || n.lead.handedOver {
		return false
	}
	tick, ok := n.roundTick(n.answeredRound())
	return ok && n.now-tick < uint64(n.cfg.leaseTicks())
}

// ReadIndex returns the commit index, false when the leader lease is not held
// or no entry of this term is committed. All ticks that are due by the
// caller's monotonic clock must be delivered first.
func (n *Node) ReadIndex() (uint64, bool) {
	if !n.leaseHeld() || !n.log.matches(n.log.commit, n.term) {
		return 0, false
	}
	return n.log.commit, true
}
