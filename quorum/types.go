package quorum

// EntryKind says what an entry holds.
type EntryKind uint32

// The kinds of entries.
const (
	// EntryEmpty is committed by a new leader to commit the entries of earlier terms.
	EntryEmpty EntryKind = iota
	// EntryCommand holds a command for the state machine.
	EntryCommand
	// EntryMembership holds the encoding of a Membership.
	EntryMembership
)

// Entry is one record of the log.
type Entry struct {
	Index uint64
	Term  uint64
	Kind  EntryKind
	Data  []byte
}

// Member is an instance with a disk.
type Member struct {
	// Name is the instance's name in its settings.
	Name string `json:"name"`
	// ID is the random identity written to the disk at its first start; a lost disk gives another ID.
	ID string `json:"id"`
	// Address is the gRPC address, host:port.
	Address string `json:"address"`
}

// Membership is the set of members in force; members are addressed by ID in messages.
type Membership struct {
	Voters   []Member `json:"voters"`
	Learners []Member `json:"learners,omitempty"`
}

// HardState must be synced before any message that depends on it is sent.
type HardState struct {
	Term   uint64 `json:"term"`
	Vote   string `json:"vote"`
	Commit uint64 `json:"commit"`
}

// Snapshot is the state machine after the entry at Index.
type Snapshot struct {
	Index      uint64
	Term       uint64
	Membership Membership
	Data       []byte
}

// MessageKind is the kind of a protocol message.
type MessageKind uint32

// The kinds of messages.
const (
	MessagePreVote MessageKind = iota + 1
	MessagePreVoteReply
	MessageVote
	MessageVoteReply
	MessageAppend
	MessageAppendReply
	MessageHeartbeat
	MessageHeartbeatReply
	MessageSnapshot
	MessageSnapshotReply
	// MessageTimeoutNow asks the receiver to start an election at once, for leadership transfer.
	MessageTimeoutNow
)

// Message is exchanged between members; From and To are member IDs.
type Message struct {
	Kind MessageKind
	From string
	To   string
	Term uint64
	// Index and LogTerm name the entry before Entries, or the last log entry in votes.
	Index   uint64
	LogTerm uint64
	Commit  uint64
	Reject  bool
	// Hint and HintTerm name, in a rejected append, the entry to go back to. In
	// votes HintTerm is the term of the leader that handed over, zero for none.
	Hint     uint64
	HintTerm uint64
	// Round numbers heartbeats and appends and is echoed in replies; the leader lease is counted by it.
	Round   uint64
	Entries []Entry
	// Snapshot holds, in votes, only the candidate's membership and its index.
	Snapshot *Snapshot
}

// Role is what a member currently is.
type Role string

// The roles.
const (
	RoleFollower     Role = "follower"
	RolePreCandidate Role = "pre_candidate"
	RoleCandidate    Role = "candidate"
	RoleLeader       Role = "leader"
	RoleLearner      Role = "learner"
)
