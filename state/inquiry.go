package state

import (
	"context"

	"turmericroute/config"
	"turmericroute/model"
)

// Inquirer sends inquiries to the leader; the replica of every process implements it.
type Inquirer interface {
	// Inquire returns the leader's answer; the error is a *model.Error.
	Inquire(ctx context.Context, q Inquiry) (Report, error)
}

// Inquiry asks for information that only the leader has; exactly one field is set.
type Inquiry struct {
	// Overview asks for the use of guarantees, the states of workers and the jobs that have waited longest.
	Overview bool `json:"overview,omitempty"`
	// Job asks why the job with this ID is in its state.
	Job string `json:"job,omitempty"`
	// Plan asks for a forecast of the effects of this configuration.
	Plan *config.Config `json:"plan,omitempty"`
}

// Report answers an Inquiry; the field of the same name is set.
type Report struct {
	Overview *Overview  `json:"overview,omitempty"`
	Job      *JobReport `json:"job,omitempty"`
	Plan     *Forecast  `json:"plan,omitempty"`
}

// Overview is the leader's view of the whole deployment.
type Overview struct {
	// Leader is the leader's status in the replicated log, with the replication progress of each member.
	Leader ReplicaStatus `json:"leader"`
	// LeadingMS is the time since the leader's term began; just after an election not all
	// workers have polled it yet.
	LeadingMS     int64              `json:"leading_ms"`
	ConfigVersion uint64             `json:"config_version"`
	DataCentres   []DataCentreStatus `json:"data_centres"`
	Teams         []TeamStatus       `json:"teams"`
	// Shortages lists the guaranteed shapes that do not fit on the workers in service.
	Shortages []Shortage `json:"shortages"`
	// Probation lists the workers that get no tasks because too many tasks failed on them.
	Probation []WorkerProbation `json:"probation"`
	// Silent lists the names of registered workers that do not poll.
	Silent []string `json:"silent"`
	// Waiting lists the jobs that have waited longest; WaitingCount counts all waiting jobs.
	Waiting      []WaitingJob `json:"waiting"`
	WaitingCount int          `json:"waiting_count"`
}

// DataCentreStatus describes a data centre, its workers and the jobs that run there.
type DataCentreStatus struct {
	Name         string `json:"name"`
	OutOfService bool   `json:"out_of_service"`
	Reason       string `json:"reason,omitempty"`
	// Declared, Registered and Usable count workers; a usable worker may start tasks now.
	Declared   int `json:"declared"`
	Registered int `json:"registered"`
	Usable     int `json:"usable"`
	Jobs       int `json:"jobs"`
	Tasks      int `json:"tasks"`
}

// TeamStatus describes the use of a team's guarantees.
type TeamStatus struct {
	Team string `json:"team"`
	// Guaranteed is the sum of the guaranteed shapes.
	Guaranteed model.Resources `json:"guaranteed"`
	// Used is the resources held by the team's gangs. Borrowed is the part beyond the
	// guarantees, which other teams may reclaim.
	Used     model.Resources `json:"used"`
	Borrowed model.Resources `json:"borrowed"`
	// Reclaimable is the unused part of the guarantees, which the team can get by submitting jobs.
	Reclaimable model.Resources `json:"reclaimable"`
	// Short counts the guaranteed shapes that do not fit on any workers now.
	Short   int `json:"short"`
	Waiting int `json:"waiting"`
}

// Shortage is a guarantee of which Missing shapes do not fit.
type Shortage struct {
	Team string `json:"team"`
	// Guarantee is the position of the guarantee in the team's list, from 1.
	Guarantee int         `json:"guarantee"`
	Shape     model.Shape `json:"shape"`
	Missing   int         `json:"missing"`
}

// WorkerProbation describes a worker on probation.
type WorkerProbation struct {
	Worker     string `json:"worker"`
	DataCentre string `json:"data_centre"`
	// LeftMS is the remaining time of the probation.
	LeftMS int64 `json:"left_ms"`
	// FailedJobs lists the recent jobs whose first failed task ran on the worker.
	FailedJobs []string `json:"failed_jobs"`
}

// WaitingJob is a job without a placement; Why explains why it has none.
type WaitingJob struct {
	ID       string      `json:"id"`
	Team     string      `json:"team"`
	Shape    model.Shape `json:"shape"`
	Urgent   bool        `json:"urgent,omitempty"`
	WaitedMS int64       `json:"waited_ms"`
	Why      string      `json:"why"`
}

// JobReport explains why a job is in its state.
type JobReport struct {
	Job model.Job `json:"job"`
	Why string    `json:"why"`
	// WaitsFor lists the jobs that hold the resources reserved for this one.
	WaitsFor []BlockingJob `json:"waits_for"`
	// Reservation is the set of workers reserved for the job, nil if there is none.
	Reservation *Reservation `json:"reservation,omitempty"`
	// ReservationNote explains why there is no reservation.
	ReservationNote string `json:"reservation_note,omitempty"`
	// EndedAttempts lists the latest ended attempts that this leader has seen, the latest last.
	EndedAttempts []EndedAttempt `json:"tried"`
	// Avoided lists workers on which the job failed; it is placed there again only if it fits on no others.
	Avoided []string `json:"avoided,omitempty"`
}

// BlockingJob is a job that holds resources that another job waits for.
type BlockingJob struct {
	ID    string `json:"id"`
	Team  string `json:"team"`
	State string `json:"state"`
	// Reclaim is the current step of the job's preemption, empty if it is not being preempted.
	Reclaim string `json:"reclaim,omitempty"`
}

// Reservation is a set of workers reserved for a job.
type Reservation struct {
	Workers []string `json:"workers"`
	// Guaranteed reports whether the reservation is covered by the team's guarantees, so
	// that its workers are being freed.
	Guaranteed bool `json:"guaranteed"`
	// FreeInMS is the expected time until the resources are free.
	FreeInMS int64 `json:"free_in_ms"`
}

// EndedAttempt is an attempt that has ended.
type EndedAttempt struct {
	Attempt int      `json:"attempt"`
	Workers []string `json:"workers"`
	EndedMS int64    `json:"ended_ms"`
	Reason  string   `json:"reason"`
	// FailedOn names the worker whose task failed first; Message is that worker's explanation.
	FailedOn string `json:"failed_on,omitempty"`
	Message  string `json:"message,omitempty"`
}

// Forecast describes the effects that a configuration would have on the current jobs and guarantees.
type Forecast struct {
	Guarantees []GuaranteeFit `json:"guarantees"`
	// Preempted lists the placed jobs that would be stopped.
	Preempted []AffectedJob `json:"preempted"`
	// Refused lists the waiting jobs that could no longer run.
	Refused []AffectedJob `json:"refused"`
}

// GuaranteeFit counts the shapes of one guarantee that fit on the workers that are not silent,
// before and after the change. Guarantee is its position in the team's list, from 1.
type GuaranteeFit struct {
	Team      string      `json:"team"`
	Guarantee int         `json:"guarantee"`
	Shape     model.Shape `json:"shape"`
	Count     int         `json:"count"`
	Before    int         `json:"before"`
	After     int         `json:"after"`
}

// AffectedJob is a job that would be stopped or refused.
type AffectedJob struct {
	ID     string `json:"id"`
	Team   string `json:"team"`
	Tasks  int    `json:"tasks"`
	Reason string `json:"reason"`
	// Restarts reports whether the job would be placed again at once.
	Restarts bool `json:"restarts"`
}
