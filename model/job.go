package model

import "time"

// Shape is the resources that one gang requests: a number of tasks and the resources of each task.
type Shape struct {
	// Tasks is the number of tasks that run together.
	Tasks int `json:"tasks" yaml:"tasks"`
	// GPUs is the number of accelerators of each task, all on one worker.
	GPUs int `json:"gpus" yaml:"gpus"`
	// Cores is the number of processor cores of each task.
	Cores int `json:"cores" yaml:"cores"`
	// MemoryMB is the memory of each task in MiB.
	MemoryMB int `json:"memory_mb" yaml:"memory_mb"`
	// SameRack requires that all tasks run in one rack.
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

// Final reports whether the state is terminal.
func (s JobState) Final() bool {
	switch s {
	case JobDone, JobFailed, JobCancelled, JobImpossible:
		return true
	default:
		return false
	}
}

// JobSpec is the specification of a job as submitted.
type JobSpec struct {
	// ID is chosen by the caller and makes the submission idempotent.
	ID string `json:"id"`
	// Team is the team whose guarantees and limits apply to the job.
	Team string `json:"team"`
	// Shape is the shape of the gang, which is started as a whole or not at all.
	Shape Shape `json:"shape"`
	// Urgent requests a start within 2.1 s if the job fits the team's guarantee.
	Urgent bool `json:"urgent,omitempty"`
	// DataCentres restricts the data centres where the job may run; empty means all that the team may use.
	DataCentres []string `json:"data_centres,omitempty"`
	// DeclaredSeconds is the declared run time in seconds; it can be wrong by a factor of
	// ten in either direction.
	DeclaredSeconds float64 `json:"declared_seconds,omitempty"`
	// MaxAttempts bounds the attempts in which the job's own tasks fail; 0 means the default.
	MaxAttempts int `json:"max_attempts,omitempty"`
	// Payload is passed to every task; the scheduler does not interpret it.
	Payload string `json:"payload,omitempty"`
}

// Placement assigns tasks to workers: Workers[i] names the worker that runs task i.
type Placement struct {
	Workers []string `json:"workers"`
}

// Job is an accepted job and its current attempt.
type Job struct {
	Spec  JobSpec  `json:"spec"`
	State JobState `json:"state"`
	// Reason explains the state to users.
	Reason string `json:"reason,omitempty"`
	// Attempt is the number of the current attempt, from 1; 0 means that the job was never placed.
	Attempt int `json:"attempt"`
	// Failures counts the attempts in which one of the job's own tasks failed.
	Failures int `json:"failures"`
	// Placement is the placement of the current attempt, empty if there is none.
	Placement Placement `json:"placement"`
	// Checkpoint is the progress from which a new attempt starts, in seconds of work.
	Checkpoint float64 `json:"checkpoint"`
	// Next is the state that follows JobStopping once all tasks have ended.
	Next JobState `json:"next,omitempty"`
	// Accepted, Started and Finished are Unix times in milliseconds by the leader's clock,
	// for information only.
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

// TaskID identifies one task of one attempt of a job.
type TaskID struct {
	Job     string `json:"job"`
	Attempt int    `json:"attempt"`
	Index   int    `json:"index"`
}

// Timing bounds shared by leader and workers.
const (
	// TaskLease is how long a worker keeps its tasks running without a successful poll.
	TaskLease = 10 * time.Second
	// StartValidity is how long after sending the poll a worker may carry out the start
	// command that it returned.
	StartValidity = time.Second
	// PrepareTimeout is how long the leader waits for all workers of a gang to prepare their tasks.
	PrepareTimeout = time.Second
	// MaxViewAge is the age beyond which a local copy of the state must not be used for decisions.
	MaxViewAge = 1600 * time.Millisecond
	// MaxClockDrift bounds the relative difference in rate between the clocks of two instances.
	MaxClockDrift = 0.10
)
