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
	// overdueFactor is the multiple of its objective after which a job may be overdue.
	overdueFactor = 10
)

// MinOverdue is the least age of an overdue job.
const MinOverdue = time.Minute

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
	// Begun is set once a task of the job is done.
	Begun bool
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

// LateSlack returns how long the job can wait and still gain, though late, if its estimates are somewhat too short. It is
// negative once it gains nothing more, and 0 without an objective.
func (j Job) LateSlack() time.Duration {
	if j.Objective == 0 {
		return 0
	}
	return LateFactor*j.Objective - j.Age - time.Duration(estimateAllowance*float64(j.Path))
}

// Overdue reports whether a job has waited so long that Promotion may choose it: for overdueFactor times its objective,
// and for MinOverdue.
func (j Job) Overdue() bool {
	return j.Objective > 0 && j.Age > max(MinOverdue, overdueFactor*j.Objective)
}

// Rank is the place of a job in the order in which jobs start.
type Rank struct {
	promoted bool
	value    Value
	priority int
	// key is the latest start from now of a job that can meet its objective, and else the work left.
	key time.Duration
}

// Rank returns the job's rank. Work matters only for jobs whose value is not Full.
func (j Job) Rank() Rank {
	r := Rank{promoted: j.Promoted, value: j.Value(), priority: j.Priority, key: j.Work}
	switch {
	case j.Objective == 0:
		r.key = -j.Age // the earlier accepted first
	case r.value == Full:
		r.key = j.Slack()
	}
	return r
}

// Compare orders ranks by what is lost if their jobs wait: it is negative if r goes before o.
func (r Rank) Compare(o Rank) int { return cmp.Or(r.CompareValue(o), r.CompareUrgency(o)) }

// CompareValue orders ranks by the priorities of their jobs and by what their results are still worth.
func (r Rank) CompareValue(o Rank) int {
	return cmp.Or(
		compareBools(r.promoted, o.promoted),
		compareBools(r.value != None, o.value != None),
		cmp.Compare(r.priority, o.priority),
		cmp.Compare(r.value, o.value),
	)
}

// CompareUrgency orders ranks that CompareValue takes for equal: those of jobs that can meet their objectives by latest
// start, others by the work left.
func (r Rank) CompareUrgency(o Rank) int { return cmp.Compare(r.key, o.key) }

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
