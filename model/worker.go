package model

// Resources is an amount of resources that a worker has or a task uses.
type Resources struct {
	GPUs     int `json:"gpus" yaml:"gpus"`
	Cores    int `json:"cores" yaml:"cores"`
	MemoryMB int `json:"memory_mb" yaml:"memory_mb"`
}

// Worker is a registered worker.
type Worker struct {
	Name       string `json:"name"`
	DataCentre string `json:"data_centre"`
	Rack       string `json:"rack"`
	// Incarnation changes at each start of the worker process.
	Incarnation string    `json:"incarnation"`
	Capacity    Resources `json:"capacity"`
}

// TaskReport is a worker's report of one task.
type TaskReport struct {
	ID    TaskID    `json:"id"`
	State TaskState `json:"state"`
	// Progress is the work done in seconds, including the work restored from a checkpoint.
	Progress float64 `json:"progress,omitempty"`
	// Checkpoint is the part of Progress, in seconds of work, that a restart keeps.
	Checkpoint float64 `json:"checkpoint,omitempty"`
	// CheckpointSeq is the sequence number of the last completed checkpoint command.
	CheckpointSeq uint64 `json:"checkpoint_seq,omitempty"`
	// Usage is the measured use of resources, which lags behind the actual use.
	Usage Resources `json:"usage"`
	// Throttled reports whether the task is throttled.
	Throttled bool   `json:"throttled,omitempty"`
	Message   string `json:"message,omitempty"`
}

// PollRequest registers a worker, renews its lease and reports its tasks.
type PollRequest struct {
	Worker Worker `json:"worker"`
	// Epoch is the highest epoch that the worker has seen.
	Epoch uint64 `json:"epoch"`
	// Seq numbers the polls of this incarnation; a poll that arrives after a later one is ignored.
	Seq   uint64       `json:"seq"`
	Tasks []TaskReport `json:"tasks,omitempty"`
	// Partial reports whether Tasks lists only the tasks that changed since the last poll answered by the
	// leader of Epoch, and Gone those that the worker no longer has; otherwise Tasks lists all tasks.
	Partial bool     `json:"partial,omitempty"`
	Gone    []TaskID `json:"gone,omitempty"`
	// Done is the highest sequence number of a command of Epoch that was carried out or refused.
	Done uint64 `json:"done"`
	// WaitMS bounds how long the leader may hold the poll, in milliseconds; 0 requests an immediate answer.
	WaitMS int `json:"wait_ms"`
}

// PollResponse renews the lease and carries commands.
type PollResponse struct {
	// Epoch is the leader's term; a worker refuses a response with a lower epoch than the
	// highest it has seen.
	Epoch uint64 `json:"epoch"`
	// LeaseMS is the duration of the lease in milliseconds, counted from before the poll was sent.
	LeaseMS int64 `json:"lease_ms"`
	// Full requests a complete report, because the leader has none into which it could merge a partial one.
	Full     bool      `json:"full,omitempty"`
	Commands []Command `json:"commands,omitempty"`
}

// CommandKind is the kind of a command to a worker.
type CommandKind string

// The kinds of commands to a worker.
const (
	CommandPrepare    CommandKind = "prepare"
	CommandStart      CommandKind = "start"
	CommandCheckpoint CommandKind = "checkpoint"
	CommandThrottle   CommandKind = "throttle"
	CommandStop       CommandKind = "stop"
	CommandRelease    CommandKind = "release"
)

// Command is an order to a worker that concerns one task; commands are idempotent.
type Command struct {
	Seq  uint64      `json:"seq"`
	Kind CommandKind `json:"kind"`
	Task TaskID      `json:"task"`
	// Use, Payload and Checkpoint describe the task of a prepare command.
	Use        Resources `json:"use"`
	Payload    string    `json:"payload,omitempty"`
	Checkpoint float64   `json:"checkpoint,omitempty"`
	// ValidMS is how long a start command is valid, in milliseconds, counted from before the poll was sent.
	ValidMS int64 `json:"valid_ms,omitempty"`
}
