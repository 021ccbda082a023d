package sched

import (
	"cmp"

	"turmericroute/batch"
)

// lateFactor is the multiple of its objective that a job may take before its result has no value left.
const lateFactor = 3

// objectiveStatus is whether a job can meet its objective if it runs from now on.
type objectiveStatus int

// The statuses in the order in which jobs of one priority are placed. Jobs with status missed come after those of all
// priorities.
const (
	onTime objectiveStatus = iota // can still meet its objective
	late                          // exceeds its objective, by a factor of at most lateFactor
	missed                        // exceeds its objective by more than lateFactor; must run nevertheless
)

// rank is the sort key of a job in a placement pass.
type rank struct {
	// guaranteed jobs come first: the jobs whose runs are preempted for them must not take the resources back.
	guaranteed bool
	objective  objectiveStatus
	priority   int
	// standing is lower for jobs that the weights of the teams put first, see pass.standing.
	standing float64
	// dueMS is when the job misses its objective, or when it was accepted if it has none, in Unix milliseconds.
	dueMS int64
}

// rank returns the rank of a job at the time of the pass.
func (p *pass) rank(j *batch.Job) rank {
	r := rank{guaranteed: p.guaranteed(j), priority: p.priority(j), dueMS: j.AcceptedMS}
	due, ok := p.objective(j)
	if !ok {
		r.standing = p.standing(j, onTime)
		return r
	}
	left := criticalPathMS(j, 0, true)
	r.dueMS = due
	switch {
	case p.nowMS+left <= due:
		r.objective = onTime
	case p.nowMS+left <= j.AcceptedMS+lateFactor*(due-j.AcceptedMS):
		r.objective = late
	default:
		r.objective = missed
	}
	r.standing = p.standing(j, r.objective)
	return r
}

// objective returns when a job misses its objective, in Unix milliseconds; it returns false for jobs without one.
func (p *pass) objective(j *batch.Job) (int64, bool) {
	q, ok := p.state.Catalog.Queue(j.Queue)
	if !ok || j.Spec.LongRunning() || j.Spec.Rounds > 0 {
		return 0, false
	}
	return j.AcceptedMS + int64(q.Stretch*float64(criticalPathMS(j, 0, false))) + int64(q.TargetMS), true
}

func compareRanks(a, b rank) int {
	return cmp.Or(
		cmp.Compare(boolToInt(!a.guaranteed), boolToInt(!b.guaranteed)),
		cmp.Compare(boolToInt(a.objective == missed), boolToInt(b.objective == missed)),
		cmp.Compare(a.priority, b.priority),
		cmp.Compare(a.objective, b.objective),
		cmp.Compare(a.standing, b.standing),
		cmp.Compare(a.dueMS, b.dueMS),
	)
}

// criticalPathMS returns the estimated duration of the critical path of a round's steps, in milliseconds; with open,
// steps that are complete count as 0.
func criticalPathMS(j *batch.Job, round int, open bool) int64 {
	var space [8]int64 // avoids an allocation for most jobs
	ends := append(space[:0], make([]int64, len(j.Spec.Steps))...)
	longest := int64(0)
	for i := range j.Spec.Steps {
		st := &j.Spec.Steps[i]
		for _, dep := range st.After {
			ends[i] = max(ends[i], ends[dep])
		}
		if !open || !j.Rounds[round][i].Complete() {
			ends[i] += int64(st.EstimateMS)
		}
		longest = max(longest, ends[i])
	}
	return longest
}
