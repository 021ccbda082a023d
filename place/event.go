package place

import (
	"time"

	"turmericroute/config"
	"turmericroute/model"
)

// Event is an input of the policy; the set of events is sealed.
type Event interface{ event() }

// ConfigChanged carries the configuration now in force.
type ConfigChanged struct{ Config config.Config }

// WorkerJoined carries a registered worker that answers polls.
type WorkerJoined struct{ Worker model.Worker }

// WorkerLost reports that a worker has not polled in time or was removed.
type WorkerLost struct{ Name string }

// JobSubmitted carries an accepted job that waits for a placement.
type JobSubmitted struct {
	Job model.Job
	At  time.Time
}

// JobRecovered carries a job that was placed before this policy was created, for example by the
// previous leader.
type JobRecovered struct {
	Job model.Job
	At  time.Time
}

// JobStarted reports that all tasks of an attempt run.
type JobStarted struct {
	ID      string
	Attempt int
}

// JobProgress carries the work done and the last checkpoint of a running job, in seconds. The
// values lag behind the job.
type JobProgress struct {
	ID         string
	Progress   float64
	Checkpoint float64
	// Usage is the measured usage of the largest task.
	Usage model.Resources
}

// JobReleased reports that an attempt has ended on every worker and its resources are free.
type JobReleased struct {
	ID      string
	Attempt int
	// Requeue requests a new placement.
	Requeue bool
	// FailedOn is the worker whose task failed first, if the attempt failed.
	FailedOn   string
	Checkpoint float64
}

// JobRemoved reports that a job was cancelled; a placed one keeps its resources until JobReleased.
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

// Decision is an output of the policy; the set of decisions is sealed.
type Decision interface{ decision() }

// Start places a waiting job; its resources count as used until JobReleased.
type Start struct {
	ID        string
	Placement model.Placement
}

// Preempt stops a whole running gang, which then waits again.
type Preempt struct {
	ID string
	// For is the job for which the resources are reclaimed. It is empty if a data centre or worker
	// leaves service, or if the gang only moves to another placement, which is held for it.
	For    string
	Reason string
	// Timeout bounds checkpoint, throttle and stop together.
	Timeout time.Duration
}

// Refuse ends a waiting job that can no longer run under the configuration in force.
type Refuse struct {
	ID     string
	Reason string
}

func (Start) decision()   {}
func (Preempt) decision() {}
func (Refuse) decision()  {}
