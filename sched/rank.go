package sched

import (
	"cmp"

	"turmericroute/batch"
)

// lateFactor is how many times its objective a job may take and still be of some use.
const lateFactor = 3

// objectiveStatus says what is left of a job's objective if it starts now.
type objectiveStatus int

// In the order of urgency within one priority; the missed ones come after all priorities.
const (
	onTime objectiveStatus = iota // it can still meet its objective
	late                          // it can still be of some use
	missed                        // it comes too late for its caller, but must run
)

// rank orders jobs.
type rank struct {
	// guaranteed jobs come first: others are stopped for them, and must not take their room again.
	guaranteed bool
	objective  objectiveStatus
	priority   int
	// dueMS is when the job misses its objective, or was accepted where that has passed.
	dueMS int64
}

// rank returns the place of a job in the order of work.
func (p *pass) rank(j *batch.Job) rank {
	r := rank{guaranteed: p.guaranteed(j), priority: p.priority(j), dueMS: j.AcceptedMS}
	due, ok := p.objective(j)
	if !ok {
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
	return r
}

// objective returns when a job misses its objective, in unix milliseconds; false for jobs without one.
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
		cmp.Compare(a.dueMS, b.dueMS),
	)
}

// criticalPathMS returns the longest chain of estimates of a round's steps; with open only of those not complete.
func criticalPathMS(j *batch.Job, round int, open bool) int64 {
	ends := make([]int64, len(j.Spec.Steps))
	longest := int64(0)
	for i, st := range j.Spec.Steps {
		for _, before := range st.After {
			ends[i] = max(ends[i], ends[before])
		}
		if !open || !j.Rounds[round][i].Complete() {
			ends[i] += int64(st.EstimateMS)
		}
		longest = max(longest, ends[i])
	}
	return longest
}
