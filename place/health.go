package place

import (
	"slices"
	"time"
)

const (
	// minFailuresForProbation is the number of distinct jobs whose first failed task must have run
	// on the worker.
	minFailuresForProbation = 3
	// minFailureShare is the share of a worker's recent outcomes that must be failures.
	minFailureShare = 0.5
	// maxOutcomes bounds the recent outcomes that are kept of a worker.
	maxOutcomes = 10
	// jobFaultWorkers is the number of distinct workers on which a job must have failed before its
	// failures are attributed to the job.
	jobFaultWorkers = 3
	// maxProbation bounds the length of a probation, which doubles each time.
	maxProbation = time.Hour
	// maxProbationShare bounds the share of workers on probation at one time; if more fail, the
	// cause is not the workers.
	maxProbationShare = 0.2
)

// outcome is the result of one attempt on a worker.
type outcome struct {
	job    string
	failed bool
}

// health tracks the recent outcomes and the probation of a worker.
type health struct {
	recent          []outcome
	probationUntil  time.Time
	probationLength time.Duration
}

func (h *health) onProbation(now time.Time) bool { return now.Before(h.probationUntil) }

func (h *health) add(o outcome) {
	if o.failed {
		// Retries of one job on one worker count as one failure.
		h.recent = slices.DeleteFunc(h.recent, func(e outcome) bool { return e.failed && e.job == o.job })
	}
	h.recent = append(h.recent, o)
	if len(h.recent) > maxOutcomes {
		h.recent = slices.Delete(h.recent, 0, 1)
	}
}

// failing reports whether the recent outcomes justify a probation.
func (h *health) failing() bool {
	n := 0
	for _, o := range h.recent {
		if o.failed {
			n++
		}
	}
	return n >= minFailuresForProbation && float64(n) >= minFailureShare*float64(len(h.recent))
}

// recordOutcome updates run time estimates and the workers' health when an attempt ends.
func (p *Policy) recordOutcome(j *job, e JobReleased) {
	if e.FailedOn != "" {
		p.recordFailure(j, e.FailedOn)
		return
	}
	if e.Requeue || j.cancelled || j.state == jobStopping {
		return
	}
	j.team.estimator.recordRunTime(j.spec.DeclaredSeconds, max(j.progress, j.startCheckpoint+p.now.Sub(j.placedAt).Seconds()))
	for i, w := range j.workers {
		if !slices.Contains(j.workers[:i], w) {
			w.health.add(outcome{job: j.id()})
		}
	}
}

func (p *Policy) recordFailure(j *job, name string) {
	w, ok := p.workers[name]
	if !ok {
		return
	}
	if !slices.Contains(j.failedOn, w) {
		j.failedOn = append(j.failedOn, w)
	}
	if !slices.Contains(j.avoided, w) {
		j.avoided = append(j.avoided, w)
	}
	if len(j.failedOn) >= jobFaultWorkers {
		p.discardFailures(j)
		return
	}
	w.health.add(outcome{job: j.id(), failed: true})
	if w.health.failing() && !w.health.onProbation(p.now) && p.probationAllowed() {
		p.startProbation(w)
	}
}

// discardFailures removes a job's failures from the workers' outcomes and ends probations without
// other cause.
func (p *Policy) discardFailures(j *job) {
	for _, w := range j.failedOn {
		w.health.recent = slices.DeleteFunc(w.health.recent, func(o outcome) bool { return o.failed && o.job == j.id() })
		if w.health.onProbation(p.now) && !w.health.failing() {
			w.health.probationUntil, w.health.probationLength = time.Time{}, 0
			p.needsRepair = true
		}
	}
}

// probationAllowed reports whether one more worker may be put on probation.
func (p *Policy) probationAllowed() bool {
	n := 0
	for _, w := range p.allWorkers {
		if w.health.onProbation(p.now) {
			n++
		}
	}
	return float64(n+1) <= max(1, maxProbationShare*float64(len(p.allWorkers)))
}

// startProbation puts a worker on probation, each time for twice as long, up to maxProbation.
func (p *Policy) startProbation(w *worker) {
	h := &w.health
	if h.probationLength == 0 {
		h.probationLength = p.cfg.Probation
	} else {
		h.probationLength = min(2*h.probationLength, maxProbation)
	}
	h.probationUntil = p.now.Add(h.probationLength)
	p.onProbation = append(p.onProbation, w)
	p.needsRepair = true
}

// endProbations ends probations that have expired. It keeps only the latest outcomes, so that one
// further failure can start a longer probation.
func (p *Policy) endProbations() {
	p.onProbation = slices.DeleteFunc(p.onProbation, func(w *worker) bool {
		if w.health.onProbation(p.now) {
			return false
		}
		if n := len(w.health.recent); n > minFailuresForProbation-1 {
			w.health.recent = slices.Clone(w.health.recent[n-minFailuresForProbation+1:])
		}
		p.needsRepair = true
		return true
	})
}
