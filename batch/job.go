package batch

// JobState is the replicated state of a job.
type JobState string

// The states of a job. Only the leader knows whether an open job has started.
const (
	JobOpen      JobState = "open"
	JobSucceeded JobState = "succeeded"
	JobFailed    JobState = "failed"
	JobCancelled JobState = "cancelled"
)

// Final reports whether the job has ended, so that its state does not change again.
func (s JobState) Final() bool { return s != JobOpen }

// Task is the replicated state of a task.
type Task struct {
	// Run is the number of the latest run; Active means that this run may be running.
	Run    int  `json:"run,omitempty"`
	Active bool `json:"active,omitempty"`
	Done   bool `json:"done,omitempty"`
	// Worker and Incarnation identify the worker process of the latest run.
	Worker      string `json:"worker,omitempty"`
	Incarnation int64  `json:"life,omitempty"`
	Failures    int    `json:"failures,omitempty"`
	// UnresolvedRun is the number of the latest run that was recorded as lost but may have failed; 0 if there is none.
	UnresolvedRun int `json:"unsure,omitempty"`
	// Checkpoint is the latest recorded checkpoint, empty if there is none.
	Checkpoint string `json:"checkpoint,omitempty"`
}

// StepState is the replicated state of a step in one round.
type StepState struct {
	Tasks []Task `json:"tasks"`
	// Done is the number of tasks that are done.
	Done int `json:"done"`
	// FailedRuns lists the runs of a gang that have failed; each counts as one failure.
	FailedRuns []int `json:"failed_runs,omitempty"`
}

// Complete reports whether all tasks are done.
func (s StepState) Complete() bool { return s.Done == len(s.Tasks) }

// Job is an accepted job.
type Job struct {
	ID    string `json:"id"`
	Queue string `json:"queue"`
	// Service, Priority and MaxFailures are those of the queue when the job was accepted; while the queue exists, its
	// current service and priority apply instead.
	Service     string   `json:"service"`
	Priority    int      `json:"priority"`
	MaxFailures int      `json:"max_failures"`
	Team        string   `json:"team"`
	Spec        Spec     `json:"spec"`
	State       JobState `json:"state"`
	AcceptedMS  int64    `json:"accepted_ms"`
	FinishedMS  int64    `json:"finished_ms,omitempty"`
	Reason      string   `json:"reason,omitempty"`
	// Rounds holds the steps of each round, indexed by round and step.
	Rounds [][]StepState `json:"rounds"`
}

// NewJob returns an accepted job of which nothing has run.
func NewJob(a Accept, atMS int64) *Job {
	return &Job{
		ID: a.ID, Queue: a.Queue, Service: a.Service, Priority: a.Priority, MaxFailures: a.MaxFailures, Team: a.Team,
		Spec: a.Spec, State: JobOpen, AcceptedMS: atMS, Rounds: newRounds(a.Spec),
	}
}

// Task returns the task with the given ID, nil if the job has none.
func (j *Job) Task(id TaskID) *Task {
	if id.Round >= len(j.Rounds) || id.Step >= len(j.Rounds[id.Round]) || id.Index >= len(j.Rounds[id.Round][id.Step].Tasks) {
		return nil
	}
	return &j.Rounds[id.Round][id.Step].Tasks[id.Index]
}

// Ready reports whether all steps that a step depends on are complete in the round.
func (j *Job) Ready(round, step int) bool {
	for _, dep := range j.Spec.Steps[step].After {
		if !j.Rounds[round][dep].Complete() {
			return false
		}
	}
	return true
}

// complete reports whether all tasks of all rounds are done.
func (j *Job) complete() bool {
	for _, round := range j.Rounds {
		for _, s := range round {
			if !s.Complete() {
				return false
			}
		}
	}
	return true
}

// active reports whether any run of the job may be active.
func (j *Job) active() bool {
	for _, round := range j.Rounds {
		for _, s := range round {
			for _, t := range s.Tasks {
				if t.Active {
					return true
				}
			}
		}
	}
	return false
}

func newRounds(s Spec) [][]StepState {
	rounds := make([][]StepState, s.RoundCount())
	for r := range rounds {
		rounds[r] = make([]StepState, len(s.Steps))
		for i, st := range s.Steps {
			rounds[r][i].Tasks = make([]Task, st.Count)
		}
	}
	return rounds
}

// Wave is a maintenance wave: the machines to maintain and the time within which they should be, in milliseconds.
type Wave struct {
	Number     int64    `json:"number"`
	Machines   []string `json:"machines"`
	DurationMS int64    `json:"duration_ms"`
	// MaxConcurrent bounds the machines under maintenance at once.
	MaxConcurrent int   `json:"maximum"`
	StartedMS     int64 `json:"started_ms"`
	// StartedMachines lists the machines whose maintenance has started.
	StartedMachines []string `json:"begun,omitempty"`
	Done            bool     `json:"done,omitempty"`
}
