package batch

import "turmericroute/model"

// EndReason says how a run ended.
type EndReason string

// How runs end. The last two are decided by the leader.
const (
	EndDone           EndReason = "done"
	EndFailed         EndReason = "failed"
	EndStopped        EndReason = "stopped"
	EndLeaseExpired   EndReason = "lapsed"  // its lease expired
	EndGangBroken     EndReason = "broken"  // another member of its gang ended
	EndGangIncomplete EndReason = "alone"   // the other members of its gang did not come
	EndRefused        EndReason = "refused" // it was not started
	EndLost           EndReason = "lost"    // its worker is gone, or its lease has expired on any clock
	EndNeverStarted   EndReason = "unsent"  // its worker certainly never started it
)

// Start gives a task a new run on a worker.
type Start struct {
	Task        TaskID `json:"task"`
	Run         int    `json:"run"`
	Worker      string `json:"worker"`
	Incarnation int64  `json:"life"`
}

// End ends a run.
type End struct {
	Task       TaskID    `json:"task"`
	Run        int       `json:"run"`
	Reason     EndReason `json:"how"`
	Checkpoint string    `json:"checkpoint,omitempty"`
	// MayHaveFailed means that a lost run may have failed: its worker is silent, and its lease has not expired.
	MayHaveFailed bool `json:"unsure,omitempty"`
}

// LateFailure reports whether the end says of a run that was taken for lost that it had failed, which counts
// whatever has become of the task since.
func (e End) LateFailure(t Task) bool {
	return e.Reason == EndFailed && t.UnresolvedRun != 0 && e.Run == t.UnresolvedRun && (e.Run != t.Run || !t.Active)
}

// Change is a change of the ledger; exactly one field is set.
type Change struct {
	Accept       *Accept       `json:"accept,omitempty"`
	Cancel       *Cancel       `json:"cancel,omitempty"`
	Starts       []Start       `json:"starts,omitempty"`
	Ends         []End         `json:"ends,omitempty"`
	Catalog      *Catalog      `json:"catalog,omitempty"`
	Outage       *Outage       `json:"service,omitempty"`
	Wave         *Wave         `json:"wave,omitempty"`
	WaveProgress *WaveProgress `json:"upkeep,omitempty"`
	Purge        []string      `json:"forget,omitempty"`
	AtMS         int64         `json:"at_ms,omitempty"`
}

// Accept stores a job.
type Accept struct {
	ID          string `json:"id"`
	Queue       string `json:"queue"`
	Service     string `json:"service"`
	Priority    int    `json:"priority"`
	MaxFailures int    `json:"max_failures"`
	Team        string `json:"team"`
	Spec        Spec   `json:"spec"`
}

// Cancel ends a job.
type Cancel struct {
	ID string `json:"id"`
}

// Outage takes a data centre out of service or back.
type Outage struct {
	DataCentre string `json:"data_centre"`
	Out        bool   `json:"out"`
}

// WaveProgress records progress of a wave: a machine whose maintenance has begun, or its end.
type WaveProgress struct {
	Wave    int64  `json:"wave"`
	Machine string `json:"machine,omitempty"`
	Done    bool   `json:"done,omitempty"`
}

// Result is what a change gave.
type Result struct {
	Failure *model.Error `json:"failure,omitempty"`
	// State is the job's state after Accept or Cancel.
	State JobState `json:"state,omitempty"`
	// Duplicate reports that an accepted job was there before.
	Duplicate bool `json:"known,omitempty"`
}
