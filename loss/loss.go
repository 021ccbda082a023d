package loss

import (
	"fmt"
	"time"
)

// Cause is why work is lost.
type Cause string

// The causes, apart from those that Preempted returns.
const (
	// None is the cause of a run whose work counts.
	None Cause = ""
	// Failed means that the run failed by itself or by its worker's fault.
	Failed Cause = "failed"
	// MemberFailed and MemberLost mean that another member of the gang failed, or was lost with its worker.
	MemberFailed Cause = "member_failed"
	MemberLost   Cause = "member_lost"
	// NotFormed means that the members of the gang did not all join in time, IncompleteGang that the run was stopped
	// because another member has ended, for a reason that is not known.
	NotFormed      Cause = "not_formed"
	IncompleteGang Cause = "incomplete_gang"
	JobCancelled   Cause = "job_cancelled"
	JobFailed      Cause = "job_failed"
	// WorkerLeaves means that the worker had announced that it shuts down, WorkerLost that it was lost or the lease of the
	// run has expired.
	WorkerLeaves Cause = "worker_leaves"
	WorkerLost   Cause = "worker_lost"
	// Replaced means that the run was no longer the active one of its task.
	Replaced Cause = "replaced"
	// Stopped means that the run was stopped for another reason, or by an earlier leader.
	Stopped Cause = "stopped"
	// Unresolved is the cause of a run that ended with its gang, until it is known why that ended.
	Unresolved Cause = "unresolved"
	// GangWait is the time that a member of a gang has held its resources before all had joined.
	GangWait Cause = "gang_wait"
)

// maxPriority bounds the priorities that are told apart, since operators choose them and each makes a metric.
const maxPriority = 9

// Preempted returns the cause of runs of one priority that were preempted for a job of another.
func Preempted(victim, winner int) Cause {
	limit := func(p int) int { return min(max(p, 0), maxPriority) }
	return Cause(fmt.Sprintf("preempted_%d_for_%d", limit(victim), limit(winner)))
}

// ForMembers returns the cause for the other members of a gang of which a run has ended for c.
func (c Cause) ForMembers() Cause {
	switch c {
	case Failed:
		return MemberFailed
	case WorkerLost:
		return MemberLost
	default:
		return c
	}
}

// Run is what is known of a run that has ended.
type Run struct {
	// Cause is why its work is lost, None if it counts.
	Cause Cause
	// Cores is what it occupied, accelerators included.
	Cores float64
	// Held is how long it has held its resources.
	Held time.Duration
	// Waited is the part of Held in which it waited for the other members of its gang.
	Waited time.Duration
	// Saved is the part of Held whose work a checkpoint saves.
	Saved time.Duration
}

// Lost returns the core-seconds of work that are lost, and those of its wait for a gang, which are lost even if its work
// counts.
func (r Run) Lost() (work, wait float64) {
	waited := min(max(r.Waited, 0), max(r.Held, 0))
	wait = waited.Seconds() * r.Cores
	if r.Cause == None {
		return 0, wait
	}
	worked := max(r.Held, 0) - waited
	return max(0, worked-max(r.Saved, 0)).Seconds() * r.Cores, wait
}
