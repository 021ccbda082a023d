package sched

import (
	"turmericroute/batch"
)

// Call is a request to the leader; one field is set.
type Call struct {
	Submit     *Submit        `json:"submit,omitempty"`
	Show       *JobRef        `json:"show,omitempty"`
	Cancel     *JobRef        `json:"cancel,omitempty"`
	Declare    *batch.Catalog `json:"declare,omitempty"`
	Catalog    bool           `json:"catalog,omitempty"`
	Outage     *batch.Outage  `json:"outage,omitempty"`
	Wave       *batch.Wave    `json:"wave,omitempty"`
	WaveStatus *int64         `json:"wave_ref,omitempty"`
	Heartbeat  *Heartbeat     `json:"beat,omitempty"`
	Leave      *Leave         `json:"leave,omitempty"`
	Ping       bool           `json:"ping,omitempty"`
	// ConfirmLeader asks the leader to confirm that it leads, for an operator who is sent on to it.
	ConfirmLeader bool `json:"refer,omitempty"`
}

// fromOperator reports whether the call is an operator's, who asks another instance at once when this one refuses.
func (c Call) fromOperator() bool {
	return c.Declare != nil || c.Catalog || c.Outage != nil || c.Wave != nil || c.WaveStatus != nil || c.ConfirmLeader
}

// JobRef names a job, or with an empty ID a queue, by its address, with the caller's key.
type JobRef struct {
	Host string `json:"host"`
	// Path is the whole path of the request; the queue's prefix is its beginning.
	Path string `json:"path"`
	Key  string `json:"key,omitempty"`
}

// Submit hands in a job. Invalid says why it cannot be accepted; it matters only where the queue exists.
type Submit struct {
	JobRef
	Spec          batch.Spec `json:"spec"`
	InvalidReason string     `json:"invalid,omitempty"`
}

// Leave says that a worker's life has ended in an orderly way.
type Leave struct {
	Worker string `json:"worker"`
}

// Answer answers a Call; the fields set depend on the call.
type Answer struct {
	// State is pending, running, succeeded, failed or cancelled.
	State JobState `json:"state,omitempty"`
	// IsQueue means that the call named a queue; Waiting counts its jobs that have not begun.
	IsQueue bool `json:"queue,omitempty"`
	Waiting int  `json:"waiting,omitempty"`
	// Source is the document of the catalog in force; empty when there is none.
	Source []byte  `json:"source,omitempty"`
	Orders *Orders `json:"orders,omitempty"`
	// WaveDone reports that a wave has ended.
	WaveDone bool `json:"wave_done,omitempty"`
}

// JobState is a job's state as callers see it.
type JobState string

// The states that callers see.
const (
	StatePending   JobState = "pending"
	StateRunning   JobState = "running"
	StateSucceeded JobState = "succeeded"
	StateFailed    JobState = "failed"
	StateCancelled JobState = "cancelled"
)

// Heartbeat is a worker's heartbeat.
type Heartbeat struct {
	Worker     string `json:"worker"`
	Service    string `json:"service"`
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	// Machine is the host; a worker is one life of it. Empty when unknown.
	Machine string `json:"machine,omitempty"`
	// Incarnation is when this life began by the worker's own clock, unix milliseconds; it orders lives on one host.
	Incarnation int64 `json:"life"`
	// Seq rises with each heartbeat of a life.
	Seq         int64           `json:"seq"`
	Draining    bool            `json:"draining,omitempty"`
	DrainLeftMS int64           `json:"drain_left_ms,omitempty"`
	ColdLeftMS  int64           `json:"cold_left_ms,omitempty"`
	Capacity    batch.Resources `json:"capacity"`
	Labels      []string        `json:"labels,omitempty"`
	Rack        string          `json:"rack,omitempty"`
	Running     []RunState      `json:"running,omitempty"`
	Ended       []RunEnd        `json:"ended,omitempty"`
}

// RunState is a run that is alive on a worker.
type RunState struct {
	Task       batch.TaskID `json:"task"`
	Run        int          `json:"run"`
	Checkpoint string       `json:"checkpoint,omitempty"`
	Percent    int          `json:"percent"`
	// Gauge is the tail latency in milliseconds of a serving task, else the CPU in use in thousandths of a core.
	Gauge int `json:"gauge,omitempty"`
}

// RunEnd is a run that has ended on a worker, numbered within the worker's life.
type RunEnd struct {
	Number     int64           `json:"n"`
	Task       batch.TaskID    `json:"task"`
	Run        int             `json:"run"`
	Reason     batch.EndReason `json:"how"`
	Checkpoint string          `json:"checkpoint,omitempty"`
}

// Orders answer a heartbeat.
type Orders struct {
	// LeaseMS extends the lease of all that runs on the worker; 0 extends nothing and starts nothing.
	LeaseMS int `json:"hold_ms,omitempty"`
	// AckedThrough is the highest end that the worker may forget.
	AckedThrough int64 `json:"acked_through,omitempty"`
	// Fence is the leader's term.
	Fence        uint64       `json:"fence,omitempty"`
	Starts       []StartOrder `json:"starts,omitempty"`
	Stops        []RunRef     `json:"stops,omitempty"`
	Rates        []RateOrder  `json:"rates,omitempty"`
	RetryAfterMS int          `json:"retry_after_ms,omitempty"`
}

// StartOrder tells a worker to start a run.
type StartOrder struct {
	Task       batch.TaskID `json:"task"`
	Run        int          `json:"run"`
	Text       string       `json:"text"`
	Checkpoint string       `json:"checkpoint,omitempty"`
	Ticket     string       `json:"ticket,omitempty"`
}

// RunRef names a run.
type RunRef struct {
	Task batch.TaskID `json:"task"`
	Run  int          `json:"run"`
}

// RateOrder lets a run work at a share of its speed.
type RateOrder struct {
	RunRef
	Percent int `json:"percent"`
}
