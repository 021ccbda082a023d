package batch

import (
	"fmt"
	"strconv"
	"strings"

	"turmericroute/model"
)

const (
	maxSteps = 64
	// MaxTasks bounds the tasks of one job over all rounds, so that no job fills the leader's memory.
	MaxTasks = 20000
	// maxSpecBytes bounds the text that workers get with each start.
	maxSpecBytes = 4000
)

// Resources is what one task takes of a worker.
type Resources struct {
	CPUMilli int `json:"cpu_milli,omitempty"`
	MemoryMB int `json:"memory_mb,omitempty"`
	GPUs     int `json:"gpus,omitempty"`
}

// Plus returns the sum of both.
func (n Resources) Plus(o Resources) Resources {
	return Resources{CPUMilli: n.CPUMilli + o.CPUMilli, MemoryMB: n.MemoryMB + o.MemoryMB, GPUs: n.GPUs + o.GPUs}
}

// Minus returns what is left of n without o.
func (n Resources) Minus(o Resources) Resources {
	return Resources{CPUMilli: n.CPUMilli - o.CPUMilli, MemoryMB: n.MemoryMB - o.MemoryMB, GPUs: n.GPUs - o.GPUs}
}

// Fits reports whether n has room for o.
func (n Resources) Fits(o Resources) bool {
	return o.CPUMilli <= n.CPUMilli && o.MemoryMB <= n.MemoryMB && o.GPUs <= n.GPUs
}

// Step is a set of like tasks.
type Step struct {
	Count int       `json:"count"`
	Need  Resources `json:"need"`
	// EstimateMS is the caller's rough estimate of a task's duration.
	EstimateMS int `json:"estimate_ms,omitempty"`
	// After lists earlier steps whose tasks must all be done first.
	After []int `json:"after,omitempty"`
	// Gang means that the tasks work only together and end together.
	Gang bool `json:"gang,omitempty"`
	// SameRack means that the tasks are slow when they run on several racks.
	SameRack bool `json:"same_rack,omitempty"`
	// Label is required of the worker; empty means none.
	Label string `json:"label,omitempty"`
	// DataRack is where the data is; tasks are slow on other racks.
	DataRack string `json:"data_rack,omitempty"`
	// PerWorker bounds the tasks of the step and round on one worker; 0 means no bound.
	PerWorker int `json:"per_worker,omitempty"`
	// Speculative allows several runs of a task at once, of which the first to end counts.
	Speculative bool `json:"copies,omitempty"`
	// Checkpoints means that tasks save their progress.
	Checkpoints bool `json:"checkpoints,omitempty"`
	// LongRunning tasks run until the job is cancelled.
	LongRunning bool `json:"lasting,omitempty"`
	// Image names what the tasks run; tasks of one image behave alike.
	Image string `json:"image,omitempty"`
	// TargetMS is the bound of a serving task's tail latency; 0 means that it serves nobody.
	TargetMS int `json:"target_ms,omitempty"`
	// BestEffort tasks use the processor time that others leave; their CPU is not counted.
	BestEffort bool `json:"filler,omitempty"`
	// MaxUnavailable is how many tasks of a lasting step the system may take away at once; negative means no such bound.
	MaxUnavailable int `json:"may_miss"`
}

// Reservation returns what a task of the step takes of a worker's room.
func (s Step) Reservation() Resources {
	n := s.Need
	if s.BestEffort {
		n.CPUMilli = 0
	}
	return n
}

// Spec is what a caller hands in.
type Spec struct {
	// Text is handed to the workers with each task.
	Text  string `json:"text"`
	Steps []Step `json:"steps"`
	// Rounds is how often the steps run; 0 means once, at once.
	Rounds int `json:"rounds,omitempty"`
	// FirstAtMS and EveryMS say when each round is due, in unix milliseconds.
	FirstAtMS int64 `json:"first_at_ms,omitempty"`
	EveryMS   int64 `json:"every_ms,omitempty"`
}

// RoundCount returns how often the steps run.
func (s Spec) RoundCount() int { return max(1, s.Rounds) }

// DueMS returns when a round may begin, in unix milliseconds; 0 means at once.
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

// Validate returns all faults of the specification as one error, nil when there are none.
func (s Spec) Validate() error {
	var faults []string
	add := func(format string, args ...any) { faults = append(faults, fmt.Sprintf(format, args...)) }
	if len(s.Text) > maxSpecBytes {
		add("text has %d bytes, at most %d are allowed", len(s.Text), maxSpecBytes)
	}
	if len(s.Steps) == 0 || len(s.Steps) > maxSteps {
		add("%d steps, 1 to %d are allowed", len(s.Steps), maxSteps)
	}
	if s.Rounds < 0 || s.Rounds > 0 && s.EveryMS < 0 {
		add("%d rounds every %d ms", s.Rounds, s.EveryMS)
	}
	tasks := 0
	for i, st := range s.Steps {
		if st.Count < 1 {
			add("step %d has %d tasks", i, st.Count)
		}
		tasks += max(0, min(st.Count, MaxTasks))
		if st.Need.CPUMilli < 0 || st.Need.MemoryMB < 0 || st.Need.GPUs < 0 || st.EstimateMS < 0 || st.PerWorker < 0 {
			add("step %d has a negative number", i)
		}
		for _, before := range st.After {
			if before < 0 || before >= i {
				add("step %d depends on step %d, which is not an earlier one", i, before)
			}
		}
	}
	if total := tasks * min(s.RoundCount(), MaxTasks); total > MaxTasks {
		add("%d tasks, at most %d are allowed", total, MaxTasks)
	}
	if len(faults) == 0 {
		return nil
	}
	return &model.Error{Code: model.CodeInvalid, Outcome: model.OutcomeNotRun, Message: "job is invalid", Faults: faults}
}

// TaskID names a task.
type TaskID struct {
	Job                string
	Round, Step, Index int
}

// String returns JOB.ROUND.STEP.INDEX.
func (t TaskID) String() string {
	return t.Job + "." + strconv.Itoa(t.Round) + "." + strconv.Itoa(t.Step) + "." + strconv.Itoa(t.Index)
}

// ParseTaskID reads what String returns.
func ParseTaskID(s string) (TaskID, error) {
	parts := strings.Split(s, ".")
	if len(parts) != 4 || parts[0] == "" {
		return TaskID{}, fmt.Errorf("%q names no task", s)
	}
	t := TaskID{Job: parts[0]}
	for i, p := range []*int{&t.Round, &t.Step, &t.Index} {
		n, err := strconv.Atoi(parts[i+1])
		if err != nil || n < 0 {
			return TaskID{}, fmt.Errorf("%q names no task", s)
		}
		*p = n
	}
	return t, nil
}

// MarshalText returns the text of String.
func (t TaskID) MarshalText() ([]byte, error) { return []byte(t.String()), nil }

// UnmarshalText reads what MarshalText returns.
func (t *TaskID) UnmarshalText(b []byte) error {
	id, err := ParseTaskID(string(b))
	*t = id
	return err
}
