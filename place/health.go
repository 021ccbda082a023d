package place

import (
	"slices"
	"time"
)

const (
	// minFailuresForProbation is the number of distinct jobs that must have failed first on a worker.
	minFailuresForProbation = 3
	// minFailureShare is the share of recent outcomes that must be failures.
	minFailureShare = 0.5
	// maxOutcomes bounds the recent outcomes of a worker that are looked at.
	maxOutcomes = 10
	// jobFaultWorkers is the number of distinct workers after which a job's failures count against the job.
	jobFaultWorkers = 3
	// maxProbation bounds the doubling of probation.
	maxProbation = time.Hour
	// maxProbationShare is the largest share of workers on probation at one time;
	// more failures than that have another cause.
	maxProbationShare = 0.2
)

// outcome is one attempt that ended on a worker.
type outcome struct {
	job    string
	failed bool
}

// health is a worker's record of recent outcomes.
type health struct {
	recent          []outcome
	probationUntil  time.Time
	probationLength time.Duration
}

func (h *health) onProbation(now time.Time) bool { return now.Before(h.probationUntil) }

func (h *health) add(o outcome) {
	if o.failed {
		// Retries of one job on one worker are one piece of evidence.
		h.recent = slices.DeleteFunc(h.recent, func(e outcome) bool { return e.failed && e.job == o.job })
	}
	h.recent = append(h.recent, o)
	if len(h.recent) > maxOutcomes {
		h.recent = slices.Delete(h.recent, 0, 1)
	}
}

func (h *health) failing() bool {
	n := 0
	for _, o := range h.recent {
		if o.failed {
			n++
		}
	}
	return n >= minFailuresForProbation && float64(n) >= minFailureShare*float64(len(h.recent))
}

// recordOutcome learns from the end of an attempt.
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

// discardFailures takes a job's failures out of the workers' records.
func (p *Policy) discardFailures(j *job) {
	for _, w := range j.failedOn {
		w.health.recent = slices.DeleteFunc(w.health.recent, func(o outcome) bool { return o.failed && o.job == j.id() })
		if w.health.onProbation(p.now) && !w.health.failing() {
			w.health.probationUntil, w.health.probationLength = time.Time{}, 0
			p.needsRepair = true
		}
	}
}

func (p *Policy) probationAllowed() bool {
	n := 0
	for _, w := range p.allWorkers {
		if w.health.onProbation(p.now) {
			n++
		}
	}
	return float64(n+1) <= max(1, maxProbationShare*float64(len(p.allWorkers)))
}

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

// endProbations lets workers try again; one further failure sends them back for longer.
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
