package state

import (
	"context"

	"turmericroute/config"
	"turmericroute/model"
)

// Inquirer asks the leader; the replica of every process is one.
type Inquirer interface {
	// Inquire returns the leader's answer; the error is a *model.Error.
	Inquire(ctx context.Context, q Inquiry) (Report, error)
}

// Inquiry asks the leader for what only it knows; one field is set.
type Inquiry struct {
	// Overview asks for the use of guarantees, the state of workers and the longest waiting jobs.
	Overview bool `json:"overview,omitempty"`
	// Job asks why the job with this ID is in its state.
	Job string `json:"job,omitempty"`
	// Plan asks what would happen under this configuration.
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
	// Leader is the leader's part in the log; its members carry how far each one is.
	Leader ReplicaStatus `json:"leader"`
	// LeadingMS is how long it has led; just after an election it has not heard of all workers.
	LeadingMS     int64              `json:"leading_ms"`
	ConfigVersion uint64             `json:"config_version"`
	DataCentres   []DataCentreStatus `json:"data_centres"`
	Teams         []TeamStatus       `json:"teams"`
	// Shortages are the guaranteed shapes that do not fit on the workers in service.
	Shortages []Shortage `json:"shortages"`
	// Probation lists the workers that get no tasks since too many failed there.
	Probation []WorkerProbation `json:"probation"`
	// Silent names registered workers that do not poll.
	Silent []string `json:"silent"`
	// Waiting holds the longest waiting jobs, WaitingCount counts all.
	Waiting      []WaitingJob `json:"waiting"`
	WaitingCount int          `json:"waiting_count"`
}

// DataCentreStatus describes a data centre and what runs there.
type DataCentreStatus struct {
	Name         string `json:"name"`
	OutOfService bool   `json:"out_of_service"`
	Reason       string `json:"reason,omitempty"`
	// Declared, Registered and Usable count workers; a usable one may start tasks now.
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
	// Used is what the team's gangs hold, Borrowed the part of it beyond the
	// guarantee, which other teams may reclaim.
	Used     model.Resources `json:"used"`
	Borrowed model.Resources `json:"borrowed"`
	// Reclaimable is the part of the guarantee that the team does not use and can have by asking.
	Reclaimable model.Resources `json:"reclaimable"`
	// Short counts guaranteed shapes that fit nowhere now.
	Short   int `json:"short"`
	Waiting int `json:"waiting"`
}

// Shortage is a guaranteed shape that does not fit.
type Shortage struct {
	Team string `json:"team"`
	// Guarantee counts the team's guarantees from 1.
	Guarantee int         `json:"guarantee"`
	Shape     model.Shape `json:"shape"`
	Missing   int         `json:"missing"`
}

// WorkerProbation describes a worker on probation.
type WorkerProbation struct {
	Worker     string `json:"worker"`
	DataCentre string `json:"data_centre"`
	// LeftMS is the rest of the probation.
	LeftMS int64 `json:"left_ms"`
	// FailedJobs are the recent jobs whose tasks failed there first.
	FailedJobs []string `json:"failed_jobs"`
}

// WaitingJob is a job without a placement and why.
type WaitingJob struct {
	ID       string      `json:"id"`
	Team     string      `json:"team"`
	Shape    model.Shape `json:"shape"`
	Urgent   bool        `json:"urgent,omitempty"`
	WaitedMS int64       `json:"waited_ms"`
	Why      string      `json:"why"`
}

// JobReport says why a job is in its state.
type JobReport struct {
	Job model.Job `json:"job"`
	Why string    `json:"why"`
	// WaitsFor names the jobs that hold the place that is kept for it.
	WaitsFor []BlockingJob `json:"waits_for"`
	// Reservation is the place that is kept for the job, nil when there is none.
	Reservation *Reservation `json:"reservation,omitempty"`
	// ReservationNote says why there is no reservation.
	ReservationNote string `json:"reservation_note,omitempty"`
	// EndedAttempts lists ended attempts, the latest last, as far as this leader has seen them.
	EndedAttempts []EndedAttempt `json:"tried"`
	// Avoided names workers where it failed and is not placed again while others have room.
	Avoided []string `json:"avoided,omitempty"`
}

// BlockingJob is a job that holds resources that another one waits for.
type BlockingJob struct {
	ID    string `json:"id"`
	Team  string `json:"team"`
	State string `json:"state"`
	// Reclaim is the step of its preemption, empty when it is not being preempted.
	Reclaim string `json:"reclaim,omitempty"`
}

// Reservation is a place that is kept for a job.
type Reservation struct {
	Workers []string `json:"workers"`
	// Guaranteed says that the place is being freed within the team's guarantee.
	Guaranteed bool `json:"guaranteed"`
	// FreeInMS is when the place is expected to be free.
	FreeInMS int64 `json:"free_in_ms"`
}

// EndedAttempt is an attempt that has ended.
type EndedAttempt struct {
	Attempt int      `json:"attempt"`
	Workers []string `json:"workers"`
	EndedMS int64    `json:"ended_ms"`
	Reason  string   `json:"reason"`
	// FailedOn names the worker whose task failed first, Message is what it said.
	FailedOn string `json:"failed_on,omitempty"`
	Message  string `json:"message,omitempty"`
}

// Forecast says what a configuration would do to the jobs and guarantees of now.
type Forecast struct {
	Guarantees []GuaranteeFit `json:"guarantees"`
	// Preempted are the running jobs that would be stopped.
	Preempted []AffectedJob `json:"preempted"`
	// Refused are waiting jobs that could never run any more.
	Refused []AffectedJob `json:"refused"`
}

// GuaranteeFit says how many shapes of one guarantee fit on the workers that answer.
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
	// Restarts says that it finds another place at once.
	Restarts bool `json:"restarts"`
}
