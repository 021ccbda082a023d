package quorum

// inLease reports whether this member leads or a leader may hold a lease that
// depends on it. The member must then not vote for another.
func (n *Node) inLease() bool {
	return n.role == RoleLeader || n.hadContact && n.now-n.lastContact < uint64(n.cfg.ElectionTicks)
}

// campaign starts a pre-vote for RolePreCandidate or an election for RoleCandidate.
func (n *Node) campaign(role Role) {
	n.role = role
	n.leader = ""
	n.votes = map[string]bool{}
	if role == RoleCandidate {
		// This member's own vote counts once it is synced; see Advance.
		n.term++
		n.vote = n.id
		n.elections++
	} else {
		n.transferTerm = 0
		n.votes[n.id] = true
	}
	n.resetTimer()
	n.requestVotes()
	n.countVotes()
}

// requestVotes sends vote requests to the voters that have not answered and, in a
// pre-vote, again to those that have rejected it. A request carries the
// membership in force, since a promoted voter may not have received that entry
// yet and the majority may depend on its vote.
func (n *Node) requestVotes() {
	m := Message{Kind: MessageVote, Term: n.term, Index: n.log.last(), LogTerm: n.log.lastTerm(), HintTerm: n.transferTerm}
	if n.role == RolePreCandidate {
		m.Kind, m.Term = MessagePreVote, n.term+1
	}
	current := n.log.membership()
	if current.index > 0 {
		m.Snapshot = &Snapshot{Index: current.index, Membership: current.membership}
	}
	for _, v := range current.membership.Voters {
		if granted, answered := n.votes[v.ID]; v.ID == n.id || granted || answered && n.role == RoleCandidate {
			continue
		}
		m.To = v.ID
		n.send(m)
	}
}

// canVote reports whether this member is a voter according to its own log or to
// a newer membership in the candidate's request.
func (n *Node) canVote(m Message) bool {
	newer := m.Snapshot != nil && m.Snapshot.Index > n.log.membership().index
	return n.log.isPossibleVoter(n.id) || newer && m.Snapshot.Membership.IsVoter(n.id)
}

// countVotes ends the pre-vote or election once a majority of the voters has
// granted it. A candidate that a majority has rejected becomes a follower.
func (n *Node) countVotes() {
	granted, rejected := 0, 0
	voters := n.log.membership().membership.Voters
	for _, v := range voters {
		if yes, ok := n.votes[v.ID]; ok && yes {
			granted++
		} else if ok {
			rejected++
		}
	}
	majority := len(voters)/2 + 1
	switch {
	case granted >= majority && n.role == RolePreCandidate:
		n.campaign(RoleCandidate)
	case granted >= majority:
		n.becomeLeader()
	case rejected >= majority && n.role == RoleCandidate:
		n.becomeFollower(n.term, "")
	}
}

// handlePreVote answers whether this member would grant a vote, without changing its state.
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

// handleVote grants at most one vote per term. While a leader may hold a lease
// that depends on this member, a request is ignored and does not raise the term,
// except from a candidate to which that leader transferred its leadership: the
// leader has then given up its lease for the rest of its term.
func (n *Node) handleVote(m Message) {
	if !n.canVote(m) {
		return
	}
	repeated := m.Term == n.term && n.vote == m.From
	transferred := m.HintTerm != 0 && m.HintTerm == n.term
	if n.inLease() && !repeated && !transferred {
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

// handleVoteReply counts a reply to the current pre-vote or election.
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

// handleTimeoutNow starts an election at once because the leader transfers its leadership.
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
