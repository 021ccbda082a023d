package sched

import (
	"cmp"

	"turmericroute/admit"
	"turmericroute/batch"
)

// rank is the sort key of a job in a placement pass.
type rank struct {
	// guaranteed jobs come first: the jobs whose runs are preempted for them must not take the resources back.
	guaranteed bool
	job        admit.Rank
	// standing is lower for jobs that the weights of the teams put first, see pass.standing.
	standing float64
}

// rank returns the rank of a job at the time of the pass.
func (p *pass) rank(j *batch.Job) rank {
	a := p.admitJob(j)
	a.Promoted = j.ID == p.l.overload.promoted
	if a.Value() != admit.Full {
		a.Work = openWork(j)
	}
	return rank{guaranteed: p.guaranteed(j), job: a.Rank(), standing: p.standing(j, a.Value())}
}

// objective returns when a job misses its objective, in Unix milliseconds; it returns false for jobs without one.
func (p *pass) objective(j *batch.Job) (int64, bool) {
	q, ok := p.state.Catalog.Queue(j.Queue)
	if !ok || !q.HasObjective() || !j.Spec.HasObjective() {
		return 0, false
	}
	return j.AcceptedMS + objectiveMS(q, j), true
}

// objectiveMS returns the time from acceptance to end that a queue aims for, in milliseconds.
func objectiveMS(q batch.Queue, j *batch.Job) int64 {
	return int64(q.Stretch*float64(criticalPathMS(j, 0, false))) + int64(q.TargetMS)
}

func compareRanks(a, b rank) int {
	return cmp.Or(
		cmp.Compare(boolToInt(!a.guaranteed), boolToInt(!b.guaranteed)),
		a.job.CompareValue(b.job),
		cmp.Compare(a.standing, b.standing),
		a.job.CompareUrgency(b.job),
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
