package quorum

import (
	"errors"
	"fmt"
)

var (
	// ErrNotLeader is returned for an operation that only the leader may perform.
	ErrNotLeader = errors.New("not the leader")
	// ErrTransferring is returned for a proposal during a leadership transfer; it wraps ErrNotLeader.
	ErrTransferring = fmt.Errorf("leadership is being transferred: %w", ErrNotLeader)
	// ErrPending is returned for a membership change while another is
	// uncommitted, or before the leader has committed an entry of its term.
	ErrPending = errors.New("a membership change is pending")
	// ErrInvalidMembership is returned for a membership without voters or with an empty or duplicate ID.
	ErrInvalidMembership = errors.New("invalid membership")
	// ErrTooManyChanges is returned for a membership that differs from the current one by more than one voter.
	ErrTooManyChanges = errors.New("more than one voter changes")
	// ErrNotCaughtUp is returned for the promotion of a member that is not a learner with a nearly up-to-date log.
	ErrNotCaughtUp = errors.New("the new voter is not a caught-up learner")
	// ErrNotVoter is returned for a leadership transfer to this member or to one that is not a voter.
	ErrNotVoter = errors.New("the transfer target is not another voter")
	// ErrMisaddressed is returned for a message to another ID, such as this member's ID before it lost its disk.
	ErrMisaddressed = errors.New("message is addressed to another member")
	// ErrMalformed is returned for a message or a recovered log that violates the protocol.
	ErrMalformed = errors.New("malformed")
	// ErrLostEntries is returned when entries that this member acknowledged are missing from its log.
	ErrLostEntries = errors.New("acknowledged entries are missing")
	// ErrBadSnapshot is returned for a compaction to a snapshot that does not match the applied log.
	ErrBadSnapshot = errors.New("snapshot does not match the log")
	// ErrConfig is returned for an invalid Config.
	ErrConfig = errors.New("invalid configuration")
)
