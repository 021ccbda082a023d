package quorum

// inLease reports whether this member must not help another to lead, because
// a leader may hold a lease that counts on it.
func (n *Node) inLease() bool {
	return n.role == RoleLeader || n.hadContact && n.now-n.lastContact < uint64(n.cfg.ElectionTicks)
}

// campaign starts a pre-vote or an election.
func (n *Node) campaign(role Role) {
	n.role = role
	n.leader = ""
	n.votes = map[string]bool{}
	n.resetTimer()
	if role == RoleCandidate {
		// The own vote counts once it is synced, see Advance.
		n.term++
		n.vote = n.id
	} else {
		n.transferTerm = 0
		n.votes[n.id] = true
	}
	n.requestVotes()
	n.countVotes()
}

// requestVotes asks the voters that have not answered. The requests carry the
// membership in force, without state, for a voter that was promoted and has
// not received that entry; without its vote there might be no majority left.
func (n *Node) requestVotes() {
	m := Message{Kind: MessageVote, Term: n.term, Index: n.log.last(), LogTerm: n.log.lastTerm(), HintTerm: n.transferTerm}
	if n.role == RolePreCandidate {
		m.Kind, m.Term = MessagePreVote, n.term+1
	}
	config := n.log.membership()
	if config.index > 0 {
		m.Snapshot = &Snapshot{Index: config.index, Membership: config.membership}
	}
	for _, v := range config.membership.Voters {
		if granted, answered := n.votes[v.ID]; v.ID == n.id || granted || answered && n.role == RoleCandidate {
			continue
		}
		m.To = v.ID
		n.send(m)
	}
}

// canVote reports whether this member is a voter by its own log or by the
// newer membership of a candidate.
func (n *Node) canVote(m Message) bool {
	newer := m.Snapshot != nil && m.Snapshot.Index > n.log.membership().index
	return n.log.isPossibleVoter(n.id) || newer && m.Snapshot.Membership.IsVoter(n.id)
}

// countVotes moves a candidate on once a majority of the voters has answered alike.
func (n *Node) countVotes() {
	granted, refused := 0, 0
	voters := n.log.membership().membership.Voters
	for _, v := range voters {
		if yes, ok := n.votes[v.ID]; ok && yes {
			granted++
		} else if ok {
			refused++
		}
	}
	majority := len(voters)/2 + 1
	switch {
	case granted >= majority && n.role == RolePreCandidate:
		n.campaign(RoleCandidate)
	case granted >= majority:
		n.becomeLeader()
	case refused >= majority && n.role == RoleCandidate:
		n.becomeFollower(n.term, "")
	}
}

// handlePreVote says whether this member would vote, and changes nothing.
func (n *Node) handlePreVote(m Message) {
	if !n.canVote(m) {
		return
	}
	if m.Term > n.term && !n.inLease() && n.log.upToDate(m.Index, m.LogTerm) {
		n.send(Message{Kind: MessagePreVoteReply, To: m.From, Term: m.Term})
		return
	}
	n.send(Message{Kind: MessagePreVoteReply, To: m.From, Reject: true})
}

// handleVote votes at most once a term. A request is ignored, and does not
// raise the term, while a leader may hold a lease that counts on this member;
// but for a candidate that the same leader asked to take over, since that
// leader has given up its lease for the rest of its term.
func (n *Node) handleVote(m Message) {
	if !n.canVote(m) {
		return
	}
	repeated := m.Term == n.term && n.vote == m.From
	handedOver := m.HintTerm != 0 && m.HintTerm == n.term
	if n.inLease() && !repeated && !handedOver {
		return
	}
	if m.Term > n.term {
		n.becomeFollower(m.Term, "")
	}
	free := n.vote == "" && n.leader == ""
	if (!repeated && !free) || !n.log.upToDate(m.Index, m.LogTerm) {
		n.send(Message{Kind: MessageVoteReply, To: m.From, Reject: true})
		return
	}
	n.becomeFollower(n.term, "")
	n.vote = m.From
	n.resetTimer()
	n.send(Message{Kind: MessageVoteReply, To: m.From})
}

// handleVoteReply counts an answer to the present pre-vote or election.
func (n *Node) handleVoteReply(m Message) {
	pre := m.Kind == MessagePreVoteReply
	if m.Term > n.term && (m.Reject || !pre) {
		retry := n.role == RolePreCandidate
		n.becomeFollower(m.Term, "")
		if retry {
			n.elapsed = n.timeout
		}
		return
	}
	current := n.role == RoleCandidate && !pre && m.Term == n.term ||
		n.role == RolePreCandidate && pre && (m.Reject || m.Term == n.term+1)
	if !current {
		return
	}
	n.votes[m.From] = !m.Reject
	n.countVotes()
}

// handleTimeoutNow campaigns at once because the leader hands over.
func (n *Node) handleTimeoutNow(m Message) {
	if m.Term > n.term {
		n.becomeFollower(m.Term, m.From)
	}
	if n.role != RoleFollower || n.leader != m.From {
		return
	}
	n.transferTerm = n.term
	n.campaign(RoleCandidate)
}
