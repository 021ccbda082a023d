package batch

// JobState is where a job is.
type JobState string

// The states of a job. Whether an open one has begun is known to the leader only.
const (
	JobOpen      JobState = "open"
	JobSucceeded JobState = "succeeded"
	JobFailed    JobState = "failed"
	JobCancelled JobState = "cancelled"
)

// Final reports whether the state never changes again.
func (s JobState) Final() bool { return s != JobOpen }

// Task is the durable part of a task's state.
type Task struct {
	// Run is the highest run number given out; Active means that it may be alive.
	Run    int  `json:"run,omitempty"`
	Active bool `json:"active,omitempty"`
	Done   bool `json:"done,omitempty"`
	// Worker and Life name where the latest run was placed.
	Worker      string `json:"worker,omitempty"`
	Incarnation int64  `json:"life,omitempty"`
	Failures    int    `json:"failures,omitempty"`
	// UnresolvedRun is the latest run that was taken for lost and may have failed; 0 when there is none.
	UnresolvedRun int `json:"unsure,omitempty"`
	// Checkpoint is the latest progress that is known durably; empty means none.
	Checkpoint string `json:"checkpoint,omitempty"`
}

// StepState is the durable part of a step of one round.
type StepState struct {
	Tasks []Task `json:"tasks"`
	Done  int    `json:"done"`
	// FailedRuns lists the runs of a gang that counted as failures.
	FailedRuns []int `json:"failed_runs,omitempty"`
}

// Complete reports whether all tasks are done.
func (s StepState) Complete() bool { return s.Done == len(s.Tasks) }

// Job is an accepted job.
type Job struct {
	ID    string `json:"id"`
	Queue string `json:"queue"`
	// Service, Priority and MaxFailures are those of the queue when the job was accepted;
	// the queue's present ones count while it exists.
	Service     string   `json:"service"`
	Priority    int      `json:"priority"`
	MaxFailures int      `json:"max_failures"`
	Team        string   `json:"team"`
	Spec        Spec     `json:"spec"`
	State       JobState `json:"state"`
	AcceptedMS  int64    `json:"accepted_ms"`
	FinishedMS  int64    `json:"finished_ms,omitempty"`
	Reason      string   `json:"reason,omitempty"`
	// Rounds holds the steps of each round.
	Rounds [][]StepState `json:"rounds"`
}

// Task returns the task with the ID, nil when the job has none.
func (j *Job) Task(id TaskID) *Task {
	if id.Round >= len(j.Rounds) || id.Step >= len(j.Rounds[id.Round]) || id.Index >= len(j.Rounds[id.Round][id.Step].Tasks) {
		return nil
	}
	return &j.Rounds[id.Round][id.Step].Tasks[id.Index]
}

// Ready reports whether all steps that a step depends on are complete.
func (j *Job) Ready(round, step int) bool {
	for _, before := range j.Spec.Steps[step].After {
		if !j.Rounds[round][before].Complete() {
			return false
		}
	}
	return true
}

// NextFailureEndsJob reports whether one more failure of a gang ends the job.
func (j *Job) NextFailureEndsJob(id TaskID) bool {
	return len(j.Rounds[id.Round][id.Step].FailedRuns)+1 >= j.MaxFailures
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

// Wave asks for maintenance of machines within a time.
type Wave struct {
	Number        int64    `json:"number"`
	Machines      []string `json:"machines"`
	DurationMS    int64    `json:"duration_ms"`
	MaxConcurrent int      `json:"maximum"`
	StartedMS     int64    `json:"started_ms"`
	// StartedMachines lists the machines whose maintenance has begun.
	StartedMachines []string `json:"begun,omitempty"`
	Done            bool     `json:"done,omitempty"`
}
