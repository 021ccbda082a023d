package quorum

import "fmt"

// Node is the protocol state of one member. It is not safe for concurrent use.
type Node struct {
	cfg      Config
	id       string
	term     uint64
	vote     string
	role     Role
	leader   string
	log      raftLog
	snapshot *Snapshot // sent to members that need entries before the log

	now          uint64 // ticks since the start
	paused       uint64 // ticks of pauses of this member, part of now
	hadContact   bool   // a leader may hold a lease that depends on this member
	lastContact  uint64 // tick of the last message from a leader
	elapsed      int    // ticks since the election timer was reset
	timeout      int    // randomised election timeout in ticks
	elections    int    // elections seen since the last contact with a leader
	votes        map[string]bool
	transferTerm uint64 // term of the leader that transferred leadership to this candidate, zero for none

	leaderState leaderState

	messages        []Message
	pendingSnapshot *Snapshot // received and not yet returned by Ready
	prevHardState   HardState // last returned by Ready
	syncedTerm      uint64    // latest term that is on disk
	syncedVote      string    // vote in syncedTerm that is on disk
	readyPending    bool      // Ready returned work for which Advance was not called yet
}

// New returns a member that resumes from the synced state in cfg.
func New(cfg Config) (*Node, error) {
	cfg = cfg.withDefaults()
	if err := cfg.validate(); err != nil {
		return nil, fmt.Errorf("new member: %w", err)
	}
	n := &Node{
		cfg:      cfg,
		id:       cfg.ID,
		term:     cfg.HardState.Term,
		vote:     cfg.HardState.Vote,
		snapshot: cfg.Snapshot,
		// Before its restart the member may have answered a round on which a
		// leader's lease depends, so it refuses votes for another timeout.
		hadContact: cfg.HardState.Term > 0,
	}
	if err := n.restoreLog(cfg); err != nil {
		return nil, fmt.Errorf("new member %s: %w", cfg.ID, err)
	}
	n.prevHardState = HardState{Term: n.term, Vote: n.vote, Commit: n.log.commit}
	n.syncedTerm, n.syncedVote = n.term, n.vote
	n.becomeFollower(n.term, "")
	n.resetTimer()
	return n, nil
}

// restoreLog restores the log from the snapshot and the entries after it.
func (n *Node) restoreLog(cfg Config) error {
	base := Snapshot{Membership: cfg.Membership}
	if cfg.Snapshot != nil {
		base = *cfg.Snapshot
	}
	n.log.reset(base)
	entries, err := afterSnapshot(base, cfg.Entries)
	if err != nil {
		return err
	}
	if err := n.log.append(entries...); err != nil {
		return err
	}
	n.log.stable = n.log.last()
	// The synced commit index is only a hint: a torn write may have lost the entries up to it.
	n.log.commit = max(base.Index, min(cfg.HardState.Commit, n.log.last()))
	if t := n.log.lastTerm(); t > n.term {
		// The process crashed between syncing a snapshot and the hard state. Votes
		// are synced before they are sent, so this member has not voted in the later term.
		n.term, n.vote = t, ""
	}
	return nil
}

// afterSnapshot returns the entries that follow s. It returns none when they
// belong to a log that s has replaced.
func afterSnapshot(s Snapshot, entries []Entry) ([]Entry, error) {
	for i, e := range entries {
		if e.Index != entries[0].Index+uint64(i) {
			return nil, fmt.Errorf("%w: entry %d does not follow the previous entry", ErrMalformed, e.Index)
		}
	}
	if len(entries) == 0 || entries[len(entries)-1].Index <= s.Index {
		return nil, nil
	}
	if first := entries[0].Index; first > s.Index+1 {
		return nil, fmt.Errorf("%w: entries start at %d after a snapshot at %d", ErrMalformed, first, s.Index)
	} else if first <= s.Index {
		if entries[s.Index-first].Term != s.Term {
			return nil, nil
		}
		entries = entries[s.Index-first+1:]
	}
	if entries[0].Term < s.Term {
		return nil, nil
	}
	prev := s.Term
	for _, e := range entries {
		if e.Term < prev {
			return nil, fmt.Errorf("%w: term %d of entry %d is below that of the previous entry", ErrMalformed, e.Term, e.Index)
		}
		prev = e.Term
	}
	return entries, nil
}

// Tick advances this member's logical clock by the given number of ticks. The
// caller must deliver all ticks that are due by its monotonic clock before each
// Step and ReadIndex, since the leader lease compares tick counts of different
// members.
//
// More than one tick is due only after a pause of this member, in which it could
// not receive. A leader counts them all towards the age of its lease. All other
// timeouts count a pause as one tick, since the messages that would have ended
// them may be waiting. This is safe on a member that does not lead: its promise
// to a leader lasts longer, and it campaigns later.
func (n *Node) Tick(due int) {
	if due <= 0 {
		return
	}
	if n.role == RoleLeader {
		n.now += uint64(due - 1)
		n.paused += uint64(due - 1)
	}
	n.now++
	n.elapsed++
	switch n.role {
	case RoleLeader:
		n.tickLeader()
	case RoleLearner:
	case RolePreCandidate, RoleCandidate:
		if n.elapsed >= n.timeout && n.voteSynced() {
			n.campaign(RolePreCandidate)
		} else if n.elapsed%n.cfg.HeartbeatTicks == 0 {
			n.requestVotes()
		}
	default:
		if n.elapsed >= n.timeout && n.voteSynced() {
			n.campaign(RolePreCandidate)
		}
	}
}

// voteSynced reports whether the term and the vote are on disk. Until then this
// member starts no other election: on slow disks, elections that each need a sync
// would replace each other.
func (n *Node) voteSynced() bool { return n.syncedTerm == n.term && n.syncedVote == n.vote }

const (
	// firstElections is the number of elections without a leader after which the timeout is doubled at each further
	// one. Split votes end within them, so the back-off delays no election in a healthy network.
	firstElections = 2
	// maxTimeoutDoublings bounds the election timeout at 64 ticks by default.
	maxTimeoutDoublings = 2
)

// resetTimer restarts the election timer with a new random timeout. The timeout
// grows with failed elections: while votes take longer than a timeout to be saved
// and answered, candidates would replace each other without end.
func (n *Node) resetTimer() {
	n.elapsed = 0
	n.timeout = n.cfg.ElectionTicks + n.cfg.Rand(n.cfg.ElectionTicks+1)
	n.timeout <<= min(max(n.elections-firstElections, 0), maxTimeoutDoublings)
}

// becomeFollower makes this member a follower of leader, which may be empty, in term.
func (n *Node) becomeFollower(term uint64, leader string) {
	if n.role == RoleLeader || n.role == RoleCandidate {
		n.resetTimer()
	}
	if term > n.term {
		n.term, n.vote = term, ""
		n.elections++
	}
	n.leader = leader
	n.role = RoleFollower
	n.transferTerm = 0
	n.votes = nil
	n.leaderState = leaderState{}
	n.adoptMembership()
}

// adoptMembership updates the role and the tracked members to match the membership
// in force after the log or the commit index has changed. A member whose removal
// is uncommitted continues to vote and campaign: its vote may be needed to
// commit or to revert the removal.
func (n *Node) adoptMembership() {
	switch {
	case n.role == RoleLeader:
		n.trackMembers()
	case !n.log.isPossibleVoter(n.id):
		n.role = RoleLearner
	case n.role == RoleLearner:
		n.role = RoleFollower
		n.resetTimer()
	}
}

func (n *Node) isVoter() bool {
	return n.log.membership().membership.IsVoter(n.id)
}

func (n *Node) send(m Message) {
	m.From = n.id
	if m.Term == 0 {
		m.Term = n.term
	}
	n.messages = append(n.messages, m)
}
