package sched

import (
	"turmericroute/batch"
)

// Call is a request to the leader; exactly one field is set, Stamp apart.
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
	// Stamp is the age of an Outage.
	Stamp *Stamp `json:"stamp,omitempty"`
	// ConfirmLeader asks the leader to confirm that it leads, before an operator is redirected to it.
	ConfirmLeader bool `json:"refer,omitempty"`
}

// fromOperator reports whether an operator makes the call; operators ask another instance at once if this one refuses.
func (c Call) fromOperator() bool {
	return c.Declare != nil || c.Catalog || c.Outage != nil || c.Wave != nil || c.WaveStatus != nil || c.ConfirmLeader
}

// readOnly reports whether the call changes nothing.
func (c Call) readOnly() bool {
	return c.Show != nil || c.Catalog || c.WaveStatus != nil || c.Ping || c.ConfirmLeader
}

// JobRef identifies a job by host and path, or a queue if the path has no job ID, and carries the caller's API key.
type JobRef struct {
	Host string `json:"host"`
	// Path is the full path of the request: the queue's prefix, then the job ID.
	Path string `json:"path"`
	Key  string `json:"key,omitempty"`
}

// Submit submits a job.
type Submit struct {
	JobRef
	Spec batch.Spec `json:"spec"`
	// InvalidReason, if set, is why the job must be refused. Errors about the queue or the key take precedence,
	// and a job that is already known is accepted.
	InvalidReason string `json:"invalid,omitempty"`
}

// Leave reports that a worker has shut down in an orderly way. It does not say which life of the worker has.
type Leave struct {
	Worker string `json:"worker"`
}

// Answer is the answer to a Call; which fields are set depends on the call.
type Answer struct {
	// State is the state of the job that the call names.
	State JobState `json:"state,omitempty"`
	// IsQueue is set if the call names a queue; Waiting is the number of its jobs that have not started.
	IsQueue bool `json:"queue,omitempty"`
	Waiting int  `json:"waiting,omitempty"`
	// Source is the document of the current catalog, empty if there is none.
	Source []byte  `json:"source,omitempty"`
	Orders *Orders `json:"orders,omitempty"`
	// WaveDone is set if the wave has ended.
	WaveDone bool `json:"wave_done,omitempty"`
	// Stamp answers a Ping.
	Stamp *Stamp `json:"stamp,omitempty"`
}

// JobState is a job's state as reported to callers.
type JobState string

// The job states that callers see.
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
	// Machine is the host that the worker runs on, empty if unknown. A worker replaces those with an earlier
	// incarnation on its host.
	Machine string `json:"machine,omitempty"`
	// Incarnation is the start time of the worker process by its own clock, in Unix milliseconds; it orders the
	// incarnations on one host.
	Incarnation int64 `json:"life"`
	// Seq increases with each heartbeat of an incarnation.
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

// RunState is the state of a run that is active on a worker.
type RunState struct {
	Task       batch.TaskID `json:"task"`
	Run        int          `json:"run"`
	Checkpoint string       `json:"checkpoint,omitempty"`
	Percent    int          `json:"percent"`
	// Gauge is the tail latency in milliseconds of a serving task, and the CPU use in millicores of any other.
	Gauge int `json:"gauge,omitempty"`
}

// RunEnd reports a run that has ended on a worker; ends are numbered within an incarnation.
type RunEnd struct {
	Number     int64           `json:"n"`
	Task       batch.TaskID    `json:"task"`
	Run        int             `json:"run"`
	Reason     batch.EndReason `json:"how"`
	Checkpoint string          `json:"checkpoint,omitempty"`
}

// Orders is the answer to a heartbeat.
type Orders struct {
	// LeaseMS renews the lease of all runs on the worker, in milliseconds; 0 renews no lease and starts no run.
	LeaseMS int `json:"hold_ms,omitempty"`
	// AckedThrough is the highest number of an end that the worker no longer needs to report.
	AckedThrough int64 `json:"acked_through,omitempty"`
	// Fence is the fencing token: the leader's term.
	Fence        uint64       `json:"fence,omitempty"`
	Starts       []StartOrder `json:"starts,omitempty"`
	Stops        []RunRef     `json:"stops,omitempty"`
	Rates        []RateOrder  `json:"rates,omitempty"`
	RetryAfterMS int          `json:"retry_after_ms,omitempty"`
}

// StartOrder orders a worker to start a run.
type StartOrder struct {
	Task       batch.TaskID `json:"task"`
	Run        int          `json:"run"`
	Text       string       `json:"text"`
	Checkpoint string       `json:"checkpoint,omitempty"`
	Ticket     string       `json:"ticket,omitempty"`
}

// RunRef identifies a run of a task.
type RunRef struct {
	Task batch.TaskID `json:"task"`
	Run  int          `json:"run"`
}

// RateOrder throttles a run to a percentage of its full speed.
type RateOrder struct {
	RunRef
	Percent int `json:"percent"`
}
