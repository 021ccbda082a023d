package quorum

import (
	"errors"
	"fmt"
)

var (
	// ErrNotLeader refuses what only a leader may do.
	ErrNotLeader = errors.New("not the leader")
	// ErrTransferring refuses a proposal while leadership is handed over; it is also an ErrNotLeader.
	ErrTransferring = fmt.Errorf("leadership is being transferred: %w", ErrNotLeader)
	// ErrPending refuses a membership change while another is uncommitted, or
	// before the leader has committed an entry of its term.
	ErrPending = errors.New("a membership change is pending")
	// ErrInvalidMembership refuses a membership without voters or with an ID that is empty or listed twice.
	ErrInvalidMembership = errors.New("invalid membership")
	// ErrTooManyChanges refuses a membership that differs by more than one voter.
	ErrTooManyChanges = errors.New("more than one voter changes")
	// ErrNotCaughtUp refuses the promotion of a member that is not a learner with an up-to-date log.
	ErrNotCaughtUp = errors.New("the new voter is not a caught-up learner")
	// ErrNotVoter refuses a transfer of leadership to a member that cannot lead.
	ErrNotVoter = errors.New("not another voter")
	// ErrMisaddressed refuses a message for another ID, such as that of a lost disk.
	ErrMisaddressed = errors.New("message for another member")
	// ErrMalformed refuses a message or a recovered log that breaks the protocol.
	ErrMalformed = errors.New("malformed")
	// ErrLostEntries reports that entries which this member acknowledged are missing from its log.
	ErrLostEntries = errors.New("acknowledged entries are missing")
	// ErrBadSnapshot refuses a compaction up to a snapshot that does not fit the applied log.
	ErrBadSnapshot = errors.New("snapshot does not fit the log")
	// ErrConfig refuses a configuration.
	ErrConfig = errors.New("invalid configuration")
)
