package sched

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"turmericroute/batch"
	"turmericroute/model"
)

// figures are the scheduler's counters.
type figures struct {
	set             *metrics.Set
	beats, accepted *metrics.Counter
	starts          *metrics.Counter
	passSeconds     *metrics.Summary
	startSeconds    *metrics.Histogram
}

func newFigures(set *metrics.Set, s *Scheduler) figures {
	set.GetOrCreateGauge("turmericroute_sched_workers_count", func() float64 {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.office == nil {
			return 0
		}
		return float64(len(s.office.workers))
	})
	set.GetOrCreateGauge("turmericroute_sched_open_jobs_count", func() float64 {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.office == nil {
			return 0
		}
		n := 0
		s.office.ledger.View(func(b *batch.Book) { n = len(b.Open) })
		return float64(n)
	})
	return figures{
		set: set, beats: set.GetOrCreateCounter("turmericroute_sched_heartbeats_total"),
		accepted: set.GetOrCreateCounter("turmericroute_sched_accepted_jobs_total"), starts: set.GetOrCreateCounter("turmericroute_sched_placed_runs_total"),
		passSeconds:  set.GetOrCreateSummary("turmericroute_sched_pass_seconds"),
		startSeconds: set.GetOrCreateHistogram("turmericroute_sched_start_seconds"),
	}
}

func (f figures) ended(how batch.How) *metrics.Counter {
	return f.set.GetOrCreateCounter(fmt.Sprintf("turmericroute_sched_ended_runs_total{how=%q}", how))
}

func (f figures) refused(code model.Code) *metrics.Counter {
	return f.set.GetOrCreateCounter(fmt.Sprintf("turmericroute_sched_refused_jobs_total{code=%q}", code))
}
