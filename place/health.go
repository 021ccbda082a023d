package place

import (
	"slices"
	"time"
)

const (
	// probationFailures is the number of distinct jobs that must have failed first on a worker.
	probationFailures = 3
	// probationShare is the share of recent outcomes that must be failures.
	probationShare = 0.5
	// outcomesKept bounds the recent outcomes of a worker that are looked at.
	outcomesKept = 10
	// failsEverywhere is the number of distinct workers after which a job's failures count against the job.
	failsEverywhere = 3
	// maxProbation bounds the doubling of probation.
	maxProbation = time.Hour
	// probationWorkers is the largest share of workers on probation at one time;
	// more failures than that have another cause.
	probationWorkers = 0.2
)

// outcome is one attempt that ended on a worker.
type outcome struct {
	job    string
	failed bool
}

// health is a worker's record of recent outcomes.
type health struct {
	recent []outcome
	until  time.Time
	length time.Duration
}

func (h *health) onProbation(now time.Time) bool { return now.Before(h.until) }

func (h *health) add(o outcome) {
	if o.failed {
		// Retries of one job on one worker are one piece of evidence.
		h.recent = slices.DeleteFunc(h.recent, func(e outcome) bool { return e.failed && e.job == o.job })
	}
	h.recent = append(h.recent, o)
	if len(h.recent) > outcomesKept {
		h.recent = slices.Delete(h.recent, 0, 1)
	}
}

func (h *health) bad() bool {
	n := 0
	for _, o := range h.recent {
		if o.failed {
			n++
		}
	}
	return n >= probationFailures && float64(n) >= probationShare*float64(len(h.recent))
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
	j.team.learned.run(j.spec.DeclaredSeconds, max(j.progress, j.base+p.now.Sub(j.placedAt).Seconds()))
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
	if !slices.Contains(j.avoid, w) {
		j.avoid = append(j.avoid, w)
	}
	if len(j.failedOn) >= failsEverywhere {
		p.clearEvidence(j)
		return
	}
	w.health.add(outcome{job: j.id(), failed: true})
	if w.health.bad() && !w.health.onProbation(p.now) && p.probationAllowed() {
		p.setProbation(w)
	}
}

// clearEvidence takes a job's failures out of the workers' records.
func (p *Policy) clearEvidence(j *job) {
	for _, w := range j.failedOn {
		w.health.recent = slices.DeleteFunc(w.health.recent, func(o outcome) bool { return o.failed && o.job == j.id() })
		if w.health.onProbation(p.now) && !w.health.bad() {
			w.health.until, w.health.length = time.Time{}, 0
			p.repack = true
		}
	}
}

func (p *Policy) probationAllowed() bool {
	n := 0
	for _, w := range p.list {
		if w.health.onProbation(p.now) {
			n++
		}
	}
	return float64(n+1) <= max(1, probationWorkers*float64(len(p.list)))
}

func (p *Policy) setProbation(w *worker) {
	h := &w.health
	if h.length == 0 {
		h.length = p.cfg.Probation
	} else {
		h.length = min(2*h.length, maxProbation)
	}
	h.until = p.now.Add(h.length)
	p.probation = append(p.probation, w)
	p.repack = true
}

// endProbations lets workers try again; one further failure sends them back for longer.
func (p *Policy) endProbations() {
	p.probation = slices.DeleteFunc(p.probation, func(w *worker) bool {
		if w.health.onProbation(p.now) {
			return false
		}
		if n := len(w.health.recent); n > probationFailures-1 {
			w.health.recent = slices.Clone(w.health.recent[n-probationFailures+1:])
		}
		p.repack = true
		return true
	})
}
