package state

import (
	"encoding/json"
	"fmt"

	"turmericroute/batch"
	"turmericroute/config"
	"turmericroute/model"
)

// Command is a change of the replicated state; its implementations are those in this file.
type Command interface{ commandType() string }

// PatchConfig applies a patch that the leader has validated against its base version.
type PatchConfig struct {
	Patch config.Patch `json:"patch"`
	AtMS  int64        `json:"at_ms"`
}

// SubmitJob accepts a job. Submitting an ID again with the same specification returns the first job.
type SubmitJob struct {
	Spec model.JobSpec `json:"spec"`
	AtMS int64         `json:"at_ms"`
}

// CancelJob cancels a waiting job and stops a placed one; it has no effect on a finished job.
type CancelJob struct {
	ID   string `json:"id"`
	AtMS int64  `json:"at_ms"`
}

// PlaceJob begins a new attempt of a waiting job. It must be committed before any worker
// gets a command for the attempt.
type PlaceJob struct {
	ID        string          `json:"id"`
	Attempt   int             `json:"attempt"`
	Placement model.Placement `json:"placement"`
}

// MoveJob changes the state of a job to To if Attempt is its current attempt and its state is one of From.
type MoveJob struct {
	ID      string           `json:"id"`
	Attempt int              `json:"attempt"`
	From    []model.JobState `json:"from"`
	To      model.JobState   `json:"to"`
	// Next is the state that follows To when To is JobStopping.
	Next       model.JobState `json:"next,omitempty"`
	Reason     string         `json:"reason,omitempty"`
	Checkpoint float64        `json:"checkpoint,omitempty"`
	// Failed reports whether to count a failure of the job's own tasks.
	Failed bool  `json:"failed,omitempty"`
	AtMS   int64 `json:"at_ms"`
}

// RegisterWorker adds a worker or replaces its registration.
type RegisterWorker struct {
	Worker model.Worker `json:"worker"`
}

// RemoveWorker removes the registration of a worker if it still has the incarnation.
type RemoveWorker struct {
	Name        string `json:"name"`
	Incarnation string `json:"incarnation"`
}

// AnnounceUpstream adds or updates an upstream unless the same incarnation has left or a later one is known.
type AnnounceUpstream struct {
	Upstream model.Upstream `json:"upstream"`
}

// LeaveUpstream marks an incarnation and all lower ones as left.
type LeaveUpstream struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"incarnation"`
}

// ClaimKey claims an idempotency key for one attempt at sending a request, or returns the key's record.
type ClaimKey struct {
	Key model.Key `json:"key"`
}

// FinishKey records how the request that holds a claim ended.
type FinishKey struct {
	ID     model.KeyID    `json:"id"`
	Claim  string         `json:"claim"`
	State  model.KeyState `json:"state"`
	Answer *model.Answer  `json:"answer,omitempty"`
}

// ExpireKeys removes idempotency keys created before a time.
type ExpireKeys struct {
	BeforeMS int64 `json:"before_ms"`
}

// ChangeBatch changes the ledger of stepped jobs.
type ChangeBatch struct {
	Change batch.Change `json:"change"`
}

func (PatchConfig) commandType() string      { return "patch_config" }
func (SubmitJob) commandType() string        { return "submit_job" }
func (CancelJob) commandType() string        { return "cancel_job" }
func (PlaceJob) commandType() string         { return "place_job" }
func (MoveJob) commandType() string          { return "move_job" }
func (RegisterWorker) commandType() string   { return "register_worker" }
func (RemoveWorker) commandType() string     { return "remove_worker" }
func (AnnounceUpstream) commandType() string { return "announce_upstream" }
func (LeaveUpstream) commandType() string    { return "leave_upstream" }
func (ClaimKey) commandType() string         { return "claim_key" }
func (FinishKey) commandType() string        { return "finish_key" }
func (ExpireKeys) commandType() string       { return "expire_keys" }
func (ChangeBatch) commandType() string      { return "change_batch" }

// envelope is the JSON form of a command.
type envelope struct {
	Type string          `json:"type"`
	Body json.RawMessage `json:"body"`
}

// Encode returns the JSON form of c: {"type": ..., "body": ...}.
func Encode(c Command) ([]byte, error) {
	body, err := json.Marshal(c)
	if err != nil {
		return nil, fmt.Errorf("encode %s: %w", c.commandType(), err)
	}
	b, err := json.Marshal(envelope{Type: c.commandType(), Body: body})
	if err != nil {
		return nil, fmt.Errorf("encode envelope of %s: %w", c.commandType(), err)
	}
	return b, nil
}

// Decode reads the JSON form of a command.
func Decode(b []byte) (Command, error) {
	var e envelope
	if err := json.Unmarshal(b, &e); err != nil {
		return nil, fmt.Errorf("decode command envelope: %w", err)
	}
	switch e.Type {
	case "patch_config":
		return decodeAs[PatchConfig](e)
	case "submit_job":
		return decodeAs[SubmitJob](e)
	case "cancel_job":
		return decodeAs[CancelJob](e)
	case "place_job":
		return decodeAs[PlaceJob](e)
	case "move_job":
		return decodeAs[MoveJob](e)
	case "register_worker":
		return decodeAs[RegisterWorker](e)
	case "remove_worker":
		return decodeAs[RemoveWorker](e)
	case "announce_upstream":
		return decodeAs[AnnounceUpstream](e)
	case "leave_upstream":
		return decodeAs[LeaveUpstream](e)
	case "claim_key":
		return decodeAs[ClaimKey](e)
	case "finish_key":
		return decodeAs[FinishKey](e)
	case "expire_keys":
		return decodeAs[ExpireKeys](e)
	case "change_batch":
		return decodeAs[ChangeBatch](e)
	default:
		return nil, fmt.Errorf("decode command: unknown type %q", e.Type)
	}
}

func decodeAs[C Command](e envelope) (Command, error) {
	var c C
	if err := json.Unmarshal(e.Body, &c); err != nil {
		return nil, fmt.Errorf("decode %s: %w", e.Type, err)
	}
	return c, nil
}

// Result is the result of applying a command; the fields set depend on the command.
type Result struct {
	// Failure is set if the command was refused; the state is then unchanged.
	Failure *model.Error `json:"failure,omitempty"`
	// Version is the configuration version after a patch.
	Version uint64 `json:"version,omitempty"`
	// Job is the job after a job command.
	Job *model.Job `json:"job,omitempty"`
	// Key is the record of a key after a claim or finish.
	Key *model.Key `json:"key,omitempty"`
	// Claimed reports whether this claim holds the key, so that its request may be sent.
	Claimed bool `json:"claimed,omitempty"`
	// Batch is the result of a change of the ledger of stepped jobs.
	Batch *batch.Result `json:"batch,omitempty"`
}
