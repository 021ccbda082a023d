package quorum

// startRound sends a numbered heartbeat to all other members. The lease that
// its answers give is counted from now, before the heartbeats are sent.
func (n *Node) startRound() {
	n.leaderState.lastRound++
	n.leaderState.roundStarts = append(n.leaderState.roundStarts, n.now)
	for n.now-n.leaderState.roundStarts[0] > uint64(n.cfg.ElectionTicks) {
		n.leaderState.roundStarts = n.leaderState.roundStarts[1:]
	}
	for _, id := range n.memberIDs() {
		p := n.leaderState.progress[id]
		n.send(Message{
			Kind:   MessageHeartbeat,
			To:     id,
			Commit: min(p.match, n.log.commit),
			Round:  n.leaderState.lastRound,
		})
	}
}

// recordReply records that a member answered a message of round.
func (n *Node) recordReply(p *progress, round uint64) {
	p.replied = true
	p.repliedAt = n.now
	if round <= n.leaderState.lastRound {
		p.ackedRound = max(p.ackedRound, round)
	}
}

// active reports whether a member answered within the minimum election timeout.
func (n *Node) active(p *progress) bool {
	return p.replied && n.now-p.repliedAt < uint64(n.cfg.ElectionTicks)
}

// quorumRound returns the latest round that a majority of the voters answered.
func (n *Node) quorumRound() uint64 {
	return n.majority(n.leaderState.lastRound, func(p *progress) uint64 { return p.ackedRound })
}

// roundTick returns the tick at which round started, false when that is longer
// ago than the minimum election timeout.
func (n *Node) roundTick(round uint64) (uint64, bool) {
	back := n.leaderState.lastRound - round
	if round == 0 || back >= uint64(len(n.leaderState.roundStarts)) {
		return 0, false
	}
	return n.leaderState.roundStarts[uint64(len(n.leaderState.roundStarts))-1-back], true
}

// quorumTick returns the tick from which the leader has reason to believe that
// a majority follows it, at first the tick of its election.
func (n *Node) quorumTick() uint64 {
	if tick, ok := n.roundTick(n.quorumRound()); ok {
		return tick
	}
	return n.leaderState.electedAt
}

// leaseHeld reports whether no other member can have been elected, on any
// clock within the drift bound.
func (n *Node) leaseHeld() bool {
	if n.role != RoleLeader || n.leaderState.timeoutNowSent {
		return false
	}
	tick, ok := n.roundTick(n.quorumRound())
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
