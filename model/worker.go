package model

// Resources is what a worker has or a task uses.
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

// TaskReport is what a worker says of one task.
type TaskReport struct {
	ID    TaskID    `json:"id"`
	State TaskState `json:"state"`
	// Progress is the seconds of work done, checkpoints included.
	Progress float64 `json:"progress,omitempty"`
	// Checkpoint is the seconds of work that a restart keeps.
	Checkpoint float64 `json:"checkpoint,omitempty"`
	// CheckpointSeq is the sequence of the last checkpoint command that was completed.
	CheckpointSeq uint64 `json:"checkpoint_seq,omitempty"`
	// Usage is the measured use; it lags.
	Usage Resources `json:"usage"`
	// Throttled reports that the task runs throttled.
	Throttled bool   `json:"throttled,omitempty"`
	Message   string `json:"message,omitempty"`
}

// PollRequest is a worker's registration, renewal and report in one.
type PollRequest struct {
	Worker Worker `json:"worker"`
	// Epoch is the highest epoch that the worker has seen.
	Epoch uint64 `json:"epoch"`
	// Seq counts the polls of this incarnation; an older report that arrives later is ignored.
	Seq   uint64       `json:"seq"`
	Tasks []TaskReport `json:"tasks,omitempty"`
	// Partial says that Tasks holds only what changed since the last poll that the leader of
	// Epoch answered, and Gone what the worker has forgotten since; else Tasks is complete.
	Partial bool     `json:"partial,omitempty"`
	Gone    []TaskID `json:"gone,omitempty"`
	// Done is the highest command sequence of Epoch that was carried out or refused.
	Done uint64 `json:"done"`
	// WaitMS bounds how long the poll may be held, in milliseconds; 0 is a report that is answered at once.
	WaitMS int `json:"wait_ms"`
}

// PollResponse renews the lease and carries commands.
type PollResponse struct {
	// Epoch is the leader's term; a worker refuses one lower than the highest seen.
	Epoch uint64 `json:"epoch"`
	// LeaseMS is the time to live of the tasks, counted from before the poll was sent.
	LeaseMS int64 `json:"lease_ms"`
	// Full asks for a complete report, since the leader has none that a partial one could build on.
	Full     bool      `json:"full,omitempty"`
	Commands []Command `json:"commands,omitempty"`
}

// CommandKind is what a worker does with a task.
type CommandKind string

// The commands to a worker.
const (
	CommandPrepare    CommandKind = "prepare"
	CommandStart      CommandKind = "start"
	CommandCheckpoint CommandKind = "checkpoint"
	CommandThrottle   CommandKind = "throttle"
	CommandStop       CommandKind = "stop"
	CommandRelease    CommandKind = "release"
)

// Command tells a worker what to do with one task; commands are idempotent.
type Command struct {
	Seq  uint64      `json:"seq"`
	Kind CommandKind `json:"kind"`
	Task TaskID      `json:"task"`
	// Use, Payload and Checkpoint describe the task in a prepare command.
	Use        Resources `json:"use"`
	Payload    string    `json:"payload,omitempty"`
	Checkpoint float64   `json:"checkpoint,omitempty"`
	// ValidMS bounds a start command, counted from before the poll was sent.
	ValidMS int64 `json:"valid_ms,omitempty"`
}
