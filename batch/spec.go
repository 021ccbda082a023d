package batch

import (
	"fmt"
	"strconv"
	"strings"

	"turmericroute/model"
)

const (
	maxSteps = 64
	// MaxTasks bounds the tasks of one job over all rounds, and so the leader's memory that a job takes.
	MaxTasks = 20000
	// maxSpecBytes bounds Spec.Text, which is sent to a worker with each start.
	maxSpecBytes = 4000
)

// Resources holds amounts of a worker's resources.
type Resources struct {
	CPUMilli int `json:"cpu_milli,omitempty"`
	MemoryMB int `json:"memory_mb,omitempty"`
	GPUs     int `json:"gpus,omitempty"`
}

// Plus returns the sum of n and o.
func (n Resources) Plus(o Resources) Resources {
	return Resources{CPUMilli: n.CPUMilli + o.CPUMilli, MemoryMB: n.MemoryMB + o.MemoryMB, GPUs: n.GPUs + o.GPUs}
}

// Minus returns the difference of n and o, which may be negative.
func (n Resources) Minus(o Resources) Resources {
	return Resources{CPUMilli: n.CPUMilli - o.CPUMilli, MemoryMB: n.MemoryMB - o.MemoryMB, GPUs: n.GPUs - o.GPUs}
}

// Fits reports whether o fits into n.
func (n Resources) Fits(o Resources) bool {
	return o.CPUMilli <= n.CPUMilli && o.MemoryMB <= n.MemoryMB && o.GPUs <= n.GPUs
}

// Step is a set of identical tasks.
type Step struct {
	// Count is the number of tasks; Need is what each of them requires.
	Count int       `json:"count"`
	Need  Resources `json:"need"`
	// EstimateMS is the caller's rough estimate of a task's duration in milliseconds.
	EstimateMS int `json:"estimate_ms,omitempty"`
	// After lists the indexes of earlier steps that must be complete before this one starts.
	After []int `json:"after,omitempty"`
	// Gang means that the tasks run only all together, and that all end when one ends.
	Gang bool `json:"gang,omitempty"`
	// SameRack means that the tasks are slow if they run on several racks.
	SameRack bool `json:"same_rack,omitempty"`
	// Label is a label that the worker must have; empty means none.
	Label string `json:"label,omitempty"`
	// DataRack is the rack of the input data; tasks are slow on other racks. Empty means none.
	DataRack string `json:"data_rack,omitempty"`
	// PerWorker bounds the tasks of the step in one round on one worker; 0 means no bound.
	PerWorker int `json:"per_worker,omitempty"`
	// Speculative allows several concurrent runs of a task, of which the first to end counts.
	Speculative bool `json:"copies,omitempty"`
	// Checkpoints means that tasks save their progress.
	Checkpoints bool `json:"checkpoints,omitempty"`
	// LongRunning tasks run until the job is cancelled.
	LongRunning bool `json:"lasting,omitempty"`
	// Image names the image that the tasks run; tasks of one image behave alike.
	Image string `json:"image,omitempty"`
	// TargetMS is the target tail latency of a serving task in milliseconds; 0 means that the tasks serve no requests.
	TargetMS int `json:"target_ms,omitempty"`
	// BestEffort tasks use CPU time that other tasks leave idle; no CPU is reserved for them.
	BestEffort bool `json:"filler,omitempty"`
	// MaxUnavailable bounds the tasks of a long-running step that the scheduler may disrupt at once; negative means no
	// bound.
	MaxUnavailable int `json:"may_miss"`
}

// Reservation returns the resources that are reserved on a worker for a task of the step.
func (s Step) Reservation() Resources {
	n := s.Need
	if s.BestEffort {
		n.CPUMilli = 0
	}
	return n
}

// Spec is a job specification as submitted by a caller.
type Spec struct {
	// Text is sent to the worker with each start of a task.
	Text  string `json:"text"`
	Steps []Step `json:"steps"`
	// Rounds is the number of times that the steps run; 0 means once, immediately.
	Rounds int `json:"rounds,omitempty"`
	// FirstAtMS is when the first round is due, in Unix milliseconds; EveryMS is the interval between rounds in
	// milliseconds.
	FirstAtMS int64 `json:"first_at_ms,omitempty"`
	EveryMS   int64 `json:"every_ms,omitempty"`
}

// RoundCount returns the number of times that the steps run, at least 1.
func (s Spec) RoundCount() int { return max(1, s.Rounds) }

// DueMS returns when a round may start, in Unix milliseconds; 0 means immediately.
func (s Spec) DueMS(round int) int64 {
	if s.Rounds == 0 {
		return 0
	}
	return s.FirstAtMS + int64(round)*s.EveryMS
}

// LongRunning reports whether any step runs until the job is cancelled.
func (s Spec) LongRunning() bool {
	for _, st := range s.Steps {
		if st.LongRunning {
			return true
		}
	}
	return false
}

// HasObjective reports whether an objective of the queue applies: the job runs once, at once, and ends by itself.
func (s Spec) HasObjective() bool { return s.Rounds == 0 && !s.LongRunning() }

// Validate returns all faults of the specification as one *model.Error, nil if there are none.
func (s Spec) Validate() error {
	var faults []string
	add := func(format string, args ...any) { faults = append(faults, fmt.Sprintf(format, args...)) }
	if len(s.Text) > maxSpecBytes {
		add("text has %d bytes, at most %d are allowed", len(s.Text), maxSpecBytes)
	}
	if len(s.Steps) == 0 || len(s.Steps) > maxSteps {
		add("job has %d steps, 1 to %d are allowed", len(s.Steps), maxSteps)
	}
	if s.Rounds < 0 || s.Rounds > 0 && s.EveryMS < 0 {
		add("invalid schedule of %d rounds every %d ms", s.Rounds, s.EveryMS)
	}
	tasks := 0
	for i, st := range s.Steps {
		if st.Count < 1 {
			add("step %d has %d tasks, at least 1 is required", i, st.Count)
		}
		tasks += max(0, min(st.Count, MaxTasks))
		if st.Need.CPUMilli < 0 || st.Need.MemoryMB < 0 || st.Need.GPUs < 0 || st.EstimateMS < 0 || st.PerWorker < 0 {
			add("step %d has a negative resource, estimate or bound", i)
		}
		for _, dep := range st.After {
			if dep < 0 || dep >= i {
				add("step %d depends on step %d, which is not an earlier one", i, dep)
			}
		}
	}
	if total := tasks * min(s.RoundCount(), MaxTasks); total > MaxTasks {
		add("job has %d tasks, at most %d are allowed", total, MaxTasks)
	}
	if len(faults) == 0 {
		return nil
	}
	return &model.Error{Code: model.CodeInvalid, Outcome: model.OutcomeNotRun, Message: "job is invalid", Faults: faults}
}

// TaskID identifies a task by its job, round, step and index within the step.
type TaskID struct {
	Job                string
	Round, Step, Index int
}

// String returns JOB.ROUND.STEP.INDEX.
func (t TaskID) String() string {
	return t.Job + "." + strconv.Itoa(t.Round) + "." + strconv.Itoa(t.Step) + "." + strconv.Itoa(t.Index)
}

// ParseTaskID parses the result of TaskID.String.
func ParseTaskID(s string) (TaskID, error) {
	parts := strings.Split(s, ".")
	if len(parts) != 4 || parts[0] == "" {
		return TaskID{}, fmt.Errorf("invalid task ID %q", s)
	}
	t := TaskID{Job: parts[0]}
	for i, p := range []*int{&t.Round, &t.Step, &t.Index} {
		n, err := strconv.Atoi(parts[i+1])
		if err != nil || n < 0 {
			return TaskID{}, fmt.Errorf("invalid task ID %q", s)
		}
		*p = n
	}
	return t, nil
}

// MarshalText returns the same text as String.
func (t TaskID) MarshalText() ([]byte, error) { return []byte(t.String()), nil }

// UnmarshalText parses the result of MarshalText.
func (t *TaskID) UnmarshalText(b []byte) error {
	id, err := ParseTaskID(string(b))
	*t = id
	return err
}
