package state

import (
	"context"
	"fmt"
	"time"

	"turmericroute/model"
)

// Replica gives a process access to the replicated state; every process has one.
type Replica interface {
	// Execute commits c through the leader. The error is a *model.Error; its
	// outcome is unknown if the command may still be committed.
	Execute(ctx context.Context, c Command) (Result, error)
	// ExecuteIn commits c only in the given term. It is for decisions of the leader of that term: decisions
	// of a leader that was suspended must not be committed through its successor.
	ExecuteIn(ctx context.Context, term uint64, c Command) (Result, error)
	// Barrier waits until the local state includes all commands committed before the call.
	Barrier(ctx context.Context) error
	// Machine returns the local copy of the state.
	Machine() *Machine
	// ViewAge returns the maximum age of the local copy, by the local monotonic clock.
	ViewAge() time.Duration
	// Poll forwards a worker's poll to the leader.
	Poll(ctx context.Context, req model.PollRequest) (model.PollResponse, error)
	// Status describes this instance and the members it knows.
	Status() ReplicaStatus
}

// Settle commits an empty change in a term, so that the local state includes all that this instance has proposed in the term
// before. A proposal whose proposer has given up waiting may be committed at any time, which Barrier doesn't wait for.
func Settle(ctx context.Context, r Replica, term uint64) error {
	if _, err := r.ExecuteIn(ctx, term, ChangeBatch{}); err != nil {
		return fmt.Errorf("settle earlier proposals: %w", err)
	}
	return nil
}

// ReplicaStatus describes one instance as a member of the replicated log.
type ReplicaStatus struct {
	Name string `json:"name"`
	// Role is that of the protocol, "joining" on a control instance that is not a member yet, and "follower" on one
	// without a disk.
	Role       string `json:"role"`
	Term       uint64 `json:"term"`
	Leader     string `json:"leader"`
	Commit     uint64 `json:"commit"`
	Applied    uint64 `json:"applied"`
	ViewAgeMS  int64  `json:"view_age_ms"`
	DataCentre string `json:"data_centre"`
	// Members lists the current members by name; their Match is set on the leader only.
	Members []MemberStatus `json:"members,omitempty"`
}

// MemberStatus describes one member of the replicated log; Match is the last index known to
// be replicated to it.
type MemberStatus struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Voter   bool   `json:"voter"`
	Match   uint64 `json:"match,omitempty"`
}
