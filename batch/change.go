package batch

import "turmericroute/model"

// EndReason is the reason for which a run ended.
type EndReason string

// The reasons for which runs end. The leader decides the last two; workers report the others.
const (
	EndDone           EndReason = "done"
	EndFailed         EndReason = "failed"
	EndStopped        EndReason = "stopped"
	EndLeaseExpired   EndReason = "lapsed"  // its lease expired
	EndGangBroken     EndReason = "broken"  // another member of its gang ended
	EndGangIncomplete EndReason = "alone"   // the other members of its gang did not join
	EndRefused        EndReason = "refused" // its worker did not start it
	EndLost           EndReason = "lost"    // its worker is gone, or its lease has expired on any clock
	EndNeverStarted   EndReason = "unsent"  // its worker certainly never started it
)

// Start records a new run of a task on a worker.
type Start struct {
	Task        TaskID `json:"task"`
	Run         int    `json:"run"`
	Worker      string `json:"worker"`
	Incarnation int64  `json:"life"`
}

// End records the end of a run.
type End struct {
	Task       TaskID    `json:"task"`
	Run        int       `json:"run"`
	Reason     EndReason `json:"how"`
	Checkpoint string    `json:"checkpoint,omitempty"`
	// MayHaveFailed means that a lost run may have failed: its worker is silent, and its lease has not expired. Only logs
	// of earlier versions contain it.
	MayHaveFailed bool `json:"unsure,omitempty"`
	// Health is what the leader knows of the run's worker after the end, nil if that has not changed.
	Health *Health `json:"health,omitempty"`
}

// LateFailure reports whether the end is the late report of a failure of t's unresolved run, which was recorded as
// lost. Such a failure counts even if the task has been restarted since.
func (e End) LateFailure(t Task) bool {
	return e.Reason == EndFailed && t.UnresolvedRun != 0 && e.Run == t.UnresolvedRun && (e.Run != t.Run || !t.Active)
}

// Change is a change of the ledger; apart from AtMS, at most one field is set.
type Change struct {
	Accept       *Accept       `json:"accept,omitempty"`
	Cancel       *Cancel       `json:"cancel,omitempty"`
	Starts       []Start       `json:"starts,omitempty"`
	Ends         []End         `json:"ends,omitempty"`
	Catalog      *Catalog      `json:"catalog,omitempty"`
	Outage       *Outage       `json:"service,omitempty"`
	Wave         *Wave         `json:"wave,omitempty"`
	WaveProgress *WaveProgress `json:"upkeep,omitempty"`
	// Purge lists the IDs of jobs to delete if they have ended.
	Purge []string `json:"forget,omitempty"`
	// PurgeTombstonesBeforeMS deletes the tombstones that are older, in Unix milliseconds.
	PurgeTombstonesBeforeMS int64 `json:"purge_tombstones_before_ms,omitempty"`
	// AtMS is the leader's time of the change in Unix milliseconds.
	AtMS int64 `json:"at_ms,omitempty"`
}

// Accept records an accepted job.
type Accept struct {
	ID          string `json:"id"`
	Queue       string `json:"queue"`
	Service     string `json:"service"`
	Priority    int    `json:"priority"`
	MaxFailures int    `json:"max_failures"`
	Team        string `json:"team"`
	Spec        Spec   `json:"spec"`
}

// Cancel cancels a job. For an unknown job it leaves a tombstone, since the submission may still be under way.
type Cancel struct {
	ID string `json:"id"`
}

// Outage takes a data centre out of service, or back into service if Out is false.
type Outage struct {
	DataCentre string `json:"data_centre"`
	Out        bool   `json:"out"`
}

// WaveProgress records the progress of a maintenance wave: the start of a machine's maintenance, or the end of the wave.
type WaveProgress struct {
	Wave    int64  `json:"wave"`
	Machine string `json:"machine,omitempty"`
	Done    bool   `json:"done,omitempty"`
}

// Result is the result of applying a change.
type Result struct {
	Failure *model.Error `json:"failure,omitempty"`
	// State is the job's state after Accept or Cancel.
	State JobState `json:"state,omitempty"`
	// Duplicate is set if an accepted job already existed.
	Duplicate bool `json:"known,omitempty"`
	// NoJob is set if a cancelled job is unknown.
	NoJob bool `json:"no_job,omitempty"`
}
