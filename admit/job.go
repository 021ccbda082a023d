package admit

import (
	"cmp"
	"time"
)

const (
	// LateFactor is the multiple of its objective within which the result of a job keeps some value.
	LateFactor = 3
	// estimateAllowance multiplies the critical path where a job must not start too late, since callers' estimates
	// are often too short.
	estimateAllowance = 1.5
	// A job is overdue once it has waited for overdueFactor times its objective, and for minOverdue.
	overdueFactor = 10
	minOverdue    = time.Minute
)

// Value is what a job's result is still worth if it runs from now on.
type Value int

// The values in the order in which jobs of one priority are placed.
const (
	Full    Value = iota // the job can meet its objective
	Reduced              // the job exceeds its objective, by a factor of at most LateFactor
	None                 // the job exceeds its objective by more
)

// Job is what decisions need to know of a job.
type Job struct {
	// Priority is lower for more urgent jobs.
	Priority int
	// Age is the time since the job was accepted.
	Age time.Duration
	// Objective is the time after acceptance within which the job should end, 0 if it has no objective.
	Objective time.Duration
	// Path is the estimated time that the rest of its critical path takes.
	Path time.Duration
	// Work is the work left, in accelerators times time.
	Work time.Duration
	// Promoted is set for the job that Promotion has chosen.
	Promoted bool
}

// Value returns what the job's result is still worth; it is Full without an objective.
func (j Job) Value() Value {
	switch end := j.Age + j.Path; {
	case j.Objective == 0 || end <= j.Objective:
		return Full
	case end <= LateFactor*j.Objective:
		return Reduced
	default:
		return None
	}
}

// Slack returns how long the job can wait and still meet its objective if its estimates are somewhat too short. It is
// negative after the latest start, and 0 without an objective.
func (j Job) Slack() time.Duration {
	if j.Objective == 0 {
		return 0
	}
	return j.Objective - j.Age - time.Duration(estimateAllowance*float64(j.Path))
}

// Overdue reports whether a job has waited so long that Promotion may choose it.
func (j Job) Overdue() bool {
	return j.Objective > 0 && j.Age > max(minOverdue, overdueFactor*j.Objective)
}

// Compare orders jobs by what is lost if they wait: it is negative if a goes before b.
func Compare(a, b Job) int { return cmp.Or(CompareValues(a, b), CompareUrgency(a, b)) }

// CompareValues orders jobs by their priorities and by what their results are still worth.
func CompareValues(a, b Job) int {
	av, bv := a.Value(), b.Value()
	return cmp.Or(
		compareBools(a.Promoted, b.Promoted),
		compareBools(av != None, bv != None),
		cmp.Compare(a.Priority, b.Priority),
		cmp.Compare(av, bv),
	)
}

// CompareUrgency orders jobs that CompareValues takes for equal: those that can meet their objectives by their latest
// starts, others by the work that they need.
func CompareUrgency(a, b Job) int {
	if a.Value() == Full {
		return cmp.Compare(a.latestStart(), b.latestStart())
	}
	return cmp.Compare(a.Work, b.Work)
}

// latestStart is the time from now to the job's latest start; a job without an objective counts from its acceptance.
func (j Job) latestStart() time.Duration {
	if j.Objective == 0 {
		return -j.Age
	}
	return j.Slack()
}

// compareBools orders true before false.
func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}
