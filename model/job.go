package model

import "time"

// Shape is an amount of resources asked for by one gang: Tasks tasks of PerTask each.
type Shape struct {
	// Tasks is the number of tasks that run together.
	Tasks int `json:"tasks" yaml:"tasks"`
	// GPUs is the number of accelerators for each task; all of them sit in one worker.
	GPUs int `json:"gpus" yaml:"gpus"`
	// Cores is the number of processor cores for each task.
	Cores int `json:"cores" yaml:"cores"`
	// MemoryMB is the memory of each task in MiB.
	MemoryMB int `json:"memory_mb" yaml:"memory_mb"`
	// SameRack asks for all tasks in one rack.
	SameRack bool `json:"same_rack,omitempty" yaml:"same_rack,omitempty"`
}

// TotalGPUs returns the number of accelerators of the whole gang.
func (s Shape) TotalGPUs() int { return s.Tasks * s.GPUs }

// JobState is the state of a job.
type JobState string

// The states of a job.
const (
	JobWaiting    JobState = "waiting"
	JobPreparing  JobState = "preparing"
	JobRunning    JobState = "running"
	JobStopping   JobState = "stopping"
	JobDone       JobState = "done"
	JobFailed     JobState = "failed"
	JobCancelled  JobState = "cancelled"
	JobImpossible JobState = "impossible"
)

// Final reports whether a job in this state never changes again.
func (s JobState) Final() bool {
	switch s {
	case JobDone, JobFailed, JobCancelled, JobImpossible:
		return true
	default:
		return false
	}
}

// JobSpec is what a caller submits.
type JobSpec struct {
	// ID is chosen by the caller and makes the submission idempotent.
	ID string `json:"id"`
	// Team is the team that the job counts against.
	Team string `json:"team"`
	// Shape is the gang that runs whole or not at all.
	Shape Shape `json:"shape"`
	// Urgent asks for a start within 2.1 s when it fits the team's guarantee.
	Urgent bool `json:"urgent,omitempty"`
	// DataCentres limits where the job may run; empty means everywhere the team may.
	DataCentres []string `json:"data_centres,omitempty"`
	// DeclaredSeconds is the declared run time; it can be wrong by ten times in both directions.
	DeclaredSeconds float64 `json:"declared_seconds,omitempty"`
	// MaxAttempts bounds how often a failing job is rerun; 0 means the default.
	MaxAttempts int `json:"max_attempts,omitempty"`
	// Payload is opaque to the scheduler and passed to every task.
	Payload string `json:"payload,omitempty"`
}

// Placement says which worker runs each task: Workers[i] runs task i.
type Placement struct {
	Workers []string `json:"workers"`
}

// Job is an accepted job with its current attempt.
type Job struct {
	Spec  JobSpec  `json:"spec"`
	State JobState `json:"state"`
	// Reason explains the state for people.
	Reason string `json:"reason,omitempty"`
	// Attempt counts placements from 1; 0 means never placed.
	Attempt int `json:"attempt"`
	// Failures counts attempts that failed by the job's own tasks.
	Failures int `json:"failures"`
	// Placement is that of the current attempt; empty when nothing is placed.
	Placement Placement `json:"placement"`
	// Checkpoint is the progress in seconds of work that a new attempt starts from.
	Checkpoint float64 `json:"checkpoint"`
	// Next is the state after stopping is confirmed by all workers.
	Next JobState `json:"next,omitempty"`
	// Accepted, Started and Finished are unix times in milliseconds by the leader's clock, for people only.
	Accepted int64 `json:"accepted_ms,omitempty"`
	Started  int64 `json:"started_ms,omitempty"`
	Finished int64 `json:"finished_ms,omitempty"`
}

// TaskState is the state of one task on a worker.
type TaskState string

// The states of a task.
const (
	TaskPrepared TaskState = "prepared"
	TaskRunning  TaskState = "running"
	TaskDone     TaskState = "done"
	TaskFailed   TaskState = "failed"
	TaskStopped  TaskState = "stopped"
)

// TaskID names one task of one attempt of a job.
type TaskID struct {
	Job     string `json:"job"`
	Attempt int    `json:"attempt"`
	Index   int    `json:"index"`
}

// Timing bounds shared by leader and workers.
const (
	// TaskLease is how long a worker runs tasks without a successful poll.
	TaskLease = 10 * time.Second
	// StartValidity is how long after the sending of the poll a start command may be carried out.
	StartValidity = time.Second
	// PrepareTimeout is how long the leader waits until all workers of a gang are prepared.
	PrepareTimeout = time.Second
	// MaxViewAge is the age beyond which a view of the state decides nothing.
	MaxViewAge = 1600 * time.Millisecond
	// MaxClockDrift bounds the relative rate difference of two instances' clocks.
	MaxClockDrift = 0.10
)
