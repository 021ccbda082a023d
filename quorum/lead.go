package quorum

import (
	"fmt"
	"slices"
)

// leaderState is a leader's state during its term.
type leaderState struct {
	progress    map[string]*progress // of all other members by ID
	electedAt   instant              // time of the election
	lastRound   uint64               // last round started, zero for none
	roundStarts []instant            // times at which the latest rounds started, in order

	transferee     string // ID of the voter to which leadership is transferred, empty for none
	transferAt     uint64 // tick at which the transfer began
	timeoutNowSent bool   // MessageTimeoutNow was sent to the transferee
}

// becomeLeader starts this member's term as leader with an empty entry, since a
// leader may count replicas only for entries of its own term.
func (n *Node) becomeLeader() {
	n.role = RoleLeader
	n.leader = n.id
	n.elections = 0
	n.transferTerm = 0
	n.votes = nil
	n.leaderState = leaderState{progress: map[string]*progress{}, electedAt: n.clock()}
	n.trackMembers()
	n.appendEntry(Entry{Kind: EntryEmpty})
	n.startRound()
}

// trackMembers sets up a progress for each other member in force and drops those of removed members.
func (n *Node) trackMembers() {
	old := n.leaderState.progress
	n.leaderState.progress = map[string]*progress{}
	m := n.log.membership().membership
	for _, list := range [][]Member{m.Voters, m.Learners} {
		for _, member := range list {
			if member.ID == n.id {
				continue
			}
			p := old[member.ID]
			if p == nil {
				p = &progress{next: n.log.last() + 1}
			}
			n.leaderState.progress[member.ID] = p
		}
	}
}

// memberIDs returns the IDs of all other members in ascending order.
func (n *Node) memberIDs() []string {
	ids := make([]string, 0, len(n.leaderState.progress))
	for id := range n.leaderState.progress {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (n *Node) tickLeader() {
	if n.awake()-n.quorumInstant().awake >= uint64(n.cfg.ElectionTicks) {
		// Check quorum: no majority answered within the minimum election timeout. Answers that arrived during a pause of
		// this member have not been handled yet.
		n.becomeFollower(n.term, "")
		return
	}
	if n.tickTransfer() {
		return
	}
	for _, p := range n.leaderState.progress {
		if p.state == stateReplicate && !n.active(p) {
			p.becomeProbe(true)
		}
	}
	if n.now-n.leaderState.roundStarts[len(n.leaderState.roundStarts)-1].now >= uint64(n.cfg.HeartbeatTicks) {
		n.startRound()
	}
}

// Propose appends a command to the leader's log and returns its index and term.
// The caller must not modify data afterwards.
func (n *Node) Propose(data []byte) (index, term uint64, err error) {
	if err := n.checkPropose(); err != nil {
		return 0, 0, fmt.Errorf("propose: %w", err)
	}
	index = n.appendEntry(Entry{Kind: EntryCommand, Data: data})
	return index, n.term, nil
}

func (n *Node) checkPropose() error {
	if n.role != RoleLeader {
		return ErrNotLeader
	}
	if n.leaderState.transferee != "" {
		return ErrTransferring
	}
	return nil
}

// appendEntry appends an entry in the leader's term and returns its index. It must
// not be used for memberships.
func (n *Node) appendEntry(e Entry) uint64 {
	e.Index, e.Term = n.log.last()+1, n.term
	n.log.entries = append(n.log.entries, e)
	return e.Index
}

// maybeCommit advances the commit index to the last entry that a majority of the
// voters has synced, if that entry is of the leader's term.
func (n *Node) maybeCommit() {
	index := n.majority(n.log.stable, func(p *progress) uint64 { return p.match })
	if index <= n.log.commit || !n.log.matches(index, n.term) {
		return
	}
	n.log.commit = index
	if n.log.membership().index <= index && !n.isVoter() {
		n.resign()
	}
}

// majority returns the greatest value that a majority of the voters has reached.
// This member's value, own, counts only if it is a voter.
func (n *Node) majority(own uint64, value func(*progress) uint64) uint64 {
	voters := n.log.membership().membership.Voters
	values := make([]uint64, 0, len(voters))
	for _, v := range voters {
		if v.ID == n.id {
			values = append(values, own)
		} else {
			values = append(values, value(n.leaderState.progress[v.ID]))
		}
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

// resign ends the term of a leader whose removal is committed. It announces the
// commit to the other members and asks the active voter with the longest log to
// start an election.
func (n *Node) resign() {
	best, match := "", n.log.commit-1
	for _, id := range n.memberIDs() {
		p := n.leaderState.progress[id]
		if n.log.membership().membership.IsVoter(id) && n.active(p) && p.match > match {
			best, match = id, p.match
		}
	}
	n.startRound()
	if best != "" {
		n.send(Message{Kind: MessageTimeoutNow, To: best})
	}
	n.becomeFollower(n.term, "")
}
