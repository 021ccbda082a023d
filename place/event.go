package place

import (
	"time"

	"turmericroute/config"
	"turmericroute/model"
)

// Event is something that happened; the set of events is sealed.
type Event interface{ event() }

// ConfigChanged gives the configuration now in force.
type ConfigChanged struct{ Config config.Config }

// WorkerJoined gives a registered worker that answers polls.
type WorkerJoined struct{ Worker model.Worker }

// WorkerLost says that a worker has not polled in time or was removed.
type WorkerLost struct{ Name string }

// JobSubmitted gives an accepted job that waits for a placement.
type JobSubmitted struct {
	Job model.Job
	At  time.Time
}

// JobRecovered gives a job that was placed before this policy began, as after a change of leader.
type JobRecovered struct {
	Job model.Job
	At  time.Time
}

// JobStarted says that all tasks of an attempt run.
type JobStarted struct {
	ID      string
	Attempt int
}

// JobProgress gives the work done and the last checkpoint of a running job, in seconds; it lags.
type JobProgress struct {
	ID         string
	Progress   float64
	Checkpoint float64
	// Usage is the measured use of the largest task.
	Usage model.Resources
}

// JobReleased says that an attempt has ended on every worker and its resources are free.
type JobReleased struct {
	ID      string
	Attempt int
	// Requeue asks for a new placement.
	Requeue bool
	// FailedOn names the worker whose task failed first, if the attempt failed.
	FailedOn   string
	Checkpoint float64
}

// JobRemoved says that a waiting job was cancelled.
type JobRemoved struct{ ID string }

func (ConfigChanged) event() {}
func (WorkerJoined) event()  {}
func (WorkerLost) event()    {}
func (JobSubmitted) event()  {}
func (JobRecovered) event()  {}
func (JobStarted) event()    {}
func (JobProgress) event()   {}
func (JobReleased) event()   {}
func (JobRemoved) event()    {}

// Decision is what the policy wants done; the set of decisions is sealed.
type Decision interface{ decision() }

// Start places a waiting job; the policy counts the resources as used until JobReleased.
type Start struct {
	ID        string
	Placement model.Placement
}

// Preempt stops a whole running gang, which then waits again.
type Preempt struct {
	ID string
	// For names the job that the resources are reclaimed for; empty when a data
	// centre or worker leaves service, or when the gang only moves to another place, which is held for it.
	For    string
	Reason string
	// Timeout bounds checkpoint, throttle and stop together.
	Timeout time.Duration
}

// Refuse ends a waiting job that has become impossible.
type Refuse struct {
	ID     string
	Reason string
}

func (Start) decision()   {}
func (Preempt) decision() {}
func (Refuse) decision()  {}
