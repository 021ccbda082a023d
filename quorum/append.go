package quorum

import "fmt"

// snapshotResendTimeouts is the number of minimum election timeouts after
// which an unanswered snapshot is sent again: 4 s with the default settings,
// which allows for the transfer and installation of a large snapshot.
const snapshotResendTimeouts = 10

// replicate queues the appends that are due to each member, in batches.
func (n *Node) replicate() {
	for _, id := range n.memberIDs() {
		p := n.leaderState.progress[id]
		for n.sendAppend(id, p) {
		}
	}
}

// sendAppend sends at most one append or snapshot to a member and reports
// whether more appends may follow.
func (n *Node) sendAppend(id string, p *progress) bool {
	if p.state == stateSnapshot && n.now-p.snapshotAt >= uint64(snapshotResendTimeouts*n.cfg.ElectionTicks) {
		p.becomeProbe(false)
	}
	if p.state == stateSnapshot || p.paused || len(p.inflight) >= maxInflight {
		return false
	}
	prev := p.next - 1
	prevTerm, ok := n.log.term(prev)
	if !ok {
		n.sendSnapshot(id, p)
		return false
	}
	entries := n.log.batch(p.next, n.cfg.MaxBatchBytes)
	if p.state == stateReplicate && len(entries) == 0 && p.sentCommit >= n.log.commit {
		return false
	}
	p.sentCommit = n.log.commit
	n.send(Message{
		Kind:    MessageAppend,
		To:      id,
		Index:   prev,
		LogTerm: prevTerm,
		Commit:  n.log.commit,
		Round:   n.leaderState.lastRound,
		Entries: entries,
	})
	if p.state == stateProbe {
		p.sentRound = n.leaderState.lastRound
		p.paused = true
		return false
	}
	if len(entries) == 0 {
		return false
	}
	p.sentRound = n.leaderState.lastRound
	p.next += uint64(len(entries))
	p.inflight = append(p.inflight, p.next-1)
	return true
}

// sendSnapshot sends the last snapshot to a member if it is active.
func (n *Node) sendSnapshot(id string, p *progress) {
	if !n.active(p) {
		return
	}
	p.state = stateSnapshot
	p.inflight = nil
	p.snapshotIndex = n.snapshot.Index
	p.snapshotAt = n.now
	n.send(Message{Kind: MessageSnapshot, To: id, Round: n.leaderState.lastRound, Snapshot: n.snapshot})
}

// advanceMember records that a member has synced the leader's log up to index.
func (n *Node) advanceMember(id string, p *progress, index uint64) {
	if index > n.log.last() {
		return
	}
	p.advance(index)
	n.maybeCommit()
	if n.role == RoleLeader {
		n.maybeSendTimeoutNow(id, p)
	}
}

// handleAppendReject moves the next index to an earlier entry after a rejected append.
func (n *Node) handleAppendReject(p *progress, m Message) {
	switch p.state {
	case stateReplicate:
		if m.Index > p.match {
			p.becomeProbe(false)
		}
	case stateProbe:
		if m.Index != p.next-1 || m.Index == 0 {
			return
		}
		hint, _ := n.log.findConflictByTerm(min(m.Hint, m.Index-1), m.HintTerm)
		p.next = max(hint, p.match) + 1
		p.paused = false
	}
}

// handleAppend appends the leader's entries if this log holds the entry that precedes them.
func (n *Node) handleAppend(m Message) error {
	if err := checkEntries(m); err != nil {
		return fmt.Errorf("append from %s: %w", m.From, err)
	}
	if m.Index < n.log.commit {
		m = n.skipCommitted(m)
	}
	reply := Message{Kind: MessageAppendReply, To: m.From, Round: m.Round}
	if !n.log.matches(m.Index, m.LogTerm) {
		reply.Reject = true
		reply.Index = m.Index
		reply.Hint, reply.HintTerm = n.log.findConflictByTerm(m.Index, m.LogTerm)
		n.send(reply)
		return nil
	}
	if err := n.mergeEntries(m.Entries); err != nil {
		return fmt.Errorf("append from %s: %w", m.From, err)
	}
	reply.Index = m.Index + uint64(len(m.Entries))
	n.log.commit = max(n.log.commit, min(m.Commit, reply.Index))
	n.adoptMembership()
	n.send(reply)
	return nil
}

// skipCommitted returns m without the entries that this member has already committed.
func (n *Node) skipCommitted(m Message) Message {
	skip := min(n.log.commit-m.Index, uint64(len(m.Entries)))
	m.Entries = m.Entries[skip:]
	m.Index = n.log.commit
	m.LogTerm, _ = n.log.term(n.log.commit)
	return m
}

// mergeEntries appends the entries from the first one that is not in the log,
// and truncates the log there if it conflicts.
func (n *Node) mergeEntries(entries []Entry) error {
	for i, e := range entries {
		if n.log.matches(e.Index, e.Term) {
			continue
		}
		if e.Index <= n.log.commit {
			return fmt.Errorf("%w: entry %d conflicts with a committed entry", ErrMalformed, e.Index)
		}
		if e.Index <= n.log.last() {
			n.log.truncate(e.Index)
		}
		return n.log.append(entries[i:]...)
	}
	return nil
}

// checkEntries returns an error for entries that are not contiguous, whose terms
// decrease or exceed the message's, or that hold an invalid membership.
func checkEntries(m Message) error {
	term := m.LogTerm
	for i, e := range m.Entries {
		if e.Index != m.Index+1+uint64(i) || e.Term < term || e.Term > m.Term {
			return fmt.Errorf("%w: entry %d of term %d", ErrMalformed, e.Index, e.Term)
		}
		term = e.Term
		if e.Kind == EntryMembership {
			if _, err := DecodeMembership(e); err != nil {
				return err
			}
		}
	}
	return nil
}

// handleHeartbeat advances the commit index to the one in the heartbeat, which
// the leader limits to the last entry that this member acknowledged.
func (n *Node) handleHeartbeat(m Message) error {
	if m.Commit > n.log.last() {
		return fmt.Errorf("heartbeat commits %d beyond the last entry %d: %w", m.Commit, n.log.last(), ErrLostEntries)
	}
	n.log.commit = max(n.log.commit, m.Commit)
	n.adoptMembership()
	n.send(Message{Kind: MessageHeartbeatReply, To: m.From, Round: m.Round})
	return nil
}
