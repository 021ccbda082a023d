package quorum

// instant is a point in time by this member's ticks.
type instant struct {
	now   uint64 // all ticks, by which the lease is measured
	awake uint64 // ticks without pauses of this member, by which the silence of others is measured
}

func (n *Node) clock() instant { return instant{now: n.now, awake: n.awake()} }

func (n *Node) awake() uint64 { return n.now - n.paused }

// startRound sends a numbered heartbeat to all other members. A lease that its
// replies confirm is measured from the current tick, before the heartbeats are sent.
func (n *Node) startRound() {
	n.leaderState.lastRound++
	n.leaderState.roundStarts = append(n.leaderState.roundStarts, n.clock())
	for n.awake()-n.leaderState.roundStarts[0].awake > uint64(n.cfg.ElectionTicks) {
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

// recordReply records that a member replied to a message of the given round.
func (n *Node) recordReply(p *progress, round uint64) {
	p.replied = true
	p.repliedAt = n.awake()
	if round <= n.leaderState.lastRound {
		p.ackedRound = max(p.ackedRound, round)
	}
}

// active reports whether a member replied within the minimum election timeout, not counting pauses of this member.
func (n *Node) active(p *progress) bool {
	return p.replied && n.awake()-p.repliedAt < uint64(n.cfg.ElectionTicks)
}

// quorumRound returns the latest round that a majority of the voters acknowledged.
func (n *Node) quorumRound() uint64 {
	return n.majority(n.leaderState.lastRound, func(p *progress) uint64 { return p.ackedRound })
}

// roundStart returns when round started, or false when that is longer ago than
// the minimum election timeout, not counting pauses of this member.
func (n *Node) roundStart(round uint64) (instant, bool) {
	age := n.leaderState.lastRound - round
	if round == 0 || age >= uint64(len(n.leaderState.roundStarts)) {
		return instant{}, false
	}
	return n.leaderState.roundStarts[uint64(len(n.leaderState.roundStarts))-1-age], true
}

// quorumInstant returns the last time at which a majority is known to have followed
// this leader: the start of the latest acknowledged round, or else the election.
func (n *Node) quorumInstant() instant {
	if start, ok := n.roundStart(n.quorumRound()); ok {
		return start
	}
	return n.leaderState.electedAt
}

// leaseHeld reports whether this member holds the leader lease, so that no other
// member can have been elected while clock drift is within MaxDrift.
func (n *Node) leaseHeld() bool {
	if n.role != RoleLeader || n.leaderState.timeoutNowSent {
		return false
	}
	start, ok := n.roundStart(n.quorumRound())
	return ok && n.now-start.now < uint64(n.cfg.leaseTicks())
}

// ReadIndex returns the commit index, or false when the leader lease is not held
// or no entry of this term is committed. The caller must first deliver all ticks
// that are due by its monotonic clock.
func (n *Node) ReadIndex() (uint64, bool) {
	if !n.leaseHeld() || !n.log.matches(n.log.commit, n.term) {
		return 0, false
	}
	return n.log.commit, true
}
