package state

import (
	"context"
	"time"

	"turmericroute/model"
)

// Replica is a process's access to the replicated state; every process has one.
type Replica interface {
	// Execute commits c through the leader. The error is a *model.Error; its
	// outcome is unknown when the command may still commit.
	Execute(ctx context.Context, c Command) (Result, error)
	// ExecuteIn commits a decision of the leader of a term in that term or not at all: a leader that was
	// suspended must not hand what it decided to its successor.
	ExecuteIn(ctx context.Context, term uint64, c Command) (Result, error)
	// Barrier waits until the local state holds all that was committed before the call.
	Barrier(ctx context.Context) error
	// Machine returns the local copy of the state.
	Machine() *Machine
	// ViewAge returns how old the local copy may be, by the local monotonic clock.
	ViewAge() time.Duration
	// Poll hands a worker's poll to the leader.
	Poll(ctx context.Context, req model.PollRequest) (model.PollResponse, error)
	// Status describes this instance and the members it knows.
	Status() ReplicaStatus
}

// ReplicaStatus describes one instance's part in the replicated log.
type ReplicaStatus struct {
	Name       string `json:"name"`
	Role       string `json:"role"`
	Term       uint64 `json:"term"`
	Leader     string `json:"leader"`
	Commit     uint64 `json:"commit"`
	Applied    uint64 `json:"applied"`
	ViewAgeMS  int64  `json:"view_age_ms"`
	DataCentre string `json:"data_centre"`
	// Members lists the members in force by name; Match is known on the leader only.
	Members []MemberStatus `json:"members,omitempty"`
}

// MemberStatus describes one member of the replicated log.
type MemberStatus struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Voter   bool   `json:"voter"`
	Match   uint64 `json:"match,omitempty"`
}
