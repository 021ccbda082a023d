package quorum

// EntryKind is the type of a log entry.
type EntryKind uint32

// The kinds of entries.
const (
	// EntryEmpty has no data; a new leader appends it to commit the entries of earlier terms.
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

// Member is an instance that stores the log on its disk.
type Member struct {
	// Name is the instance's name in its settings.
	Name string `json:"name"`
	// ID is random and written to the disk at the first start; an instance that loses its disk gets a new ID.
	ID string `json:"id"`
	// Address is the gRPC address, host:port.
	Address string `json:"address"`
	// DataCentre is where the instance runs, empty if unknown; the protocol itself doesn't use it.
	DataCentre string `json:"data_centre,omitempty"`
}

// Membership is a set of voters and learners; messages address members by ID.
type Membership struct {
	Voters   []Member `json:"voters"`
	Learners []Member `json:"learners,omitempty"`
}

// HardState is the state that must be synced before any message that depends on it is sent.
type HardState struct {
	Term   uint64 `json:"term"`
	Vote   string `json:"vote"`
	Commit uint64 `json:"commit"`
}

// Snapshot is the state of the state machine after the entry at Index is applied.
type Snapshot struct {
	Index      uint64
	Term       uint64
	Membership Membership
	Data       []byte
}

// MessageKind is the type of a protocol message.
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
	// Index and LogTerm identify the entry before Entries, or the candidate's last log entry in vote requests. In
	// heartbeat replies that may overtake other replies, Index is the member's last entry, else zero.
	Index   uint64
	LogTerm uint64
	Commit  uint64
	Reject  bool
	// Hint and HintTerm identify, in a rejected append, the entry to probe next.
	// In vote requests, HintTerm is the term of the leader that transferred its
	// leadership to the candidate, zero for none.
	Hint     uint64
	HintTerm uint64
	// Round is the leader's heartbeat round. Replies echo it; the leader lease is computed from it.
	Round   uint64
	Entries []Entry
	// Snapshot holds, in vote requests, only the candidate's membership and its index.
	Snapshot *Snapshot
}

// Role is a member's current role in the protocol.
type Role string

// The roles.
const (
	RoleFollower     Role = "follower"
	RolePreCandidate Role = "pre_candidate"
	RoleCandidate    Role = "candidate"
	RoleLeader       Role = "leader"
	RoleLearner      Role = "learner"
)
