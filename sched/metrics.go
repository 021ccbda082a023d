package sched

import (
	"fmt"
	"strings"

	"github.com/VictoriaMetrics/metrics"

	"turmericroute/batch"
	"turmericroute/fleet"
	"turmericroute/model"
)

// schedulerMetrics are the metrics of the scheduler.
type schedulerMetrics struct {
	set                      *metrics.Set
	heartbeats, acceptedJobs *metrics.Counter
	ignoredHeartbeats        *metrics.Counter
	placedRuns, panics       *metrics.Counter
	// refreshedWorkers and triedSteps count what the passes have looked at.
	refreshedWorkers, triedSteps *metrics.Counter
	passSeconds                  *metrics.Summary
	startSeconds                 *metrics.Histogram
	// failingStarts counts the runs placed on workers after two failures in a row, probes included.
	failingStarts *metrics.Counter
	// workerSpeeds holds the speeds of the workers at the ends of runs.
	workerSpeeds *metrics.Histogram
}

func newSchedulerMetrics(set *metrics.Set, s *Scheduler) schedulerMetrics {
	set.GetOrCreateGauge("turmericroute_sched_workers_count", func() float64 {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.leader == nil {
			return 0
		}
		return float64(len(s.leader.workers))
	})
	set.GetOrCreateGauge("turmericroute_sched_open_jobs_count", func() float64 {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.leader == nil {
			return 0
		}
		n := 0
		s.leader.ledger.View(func(b *batch.State) { n = len(b.Open) })
		return float64(n)
	})
	for _, state := range fleet.States {
		set.GetOrCreateGauge(fmt.Sprintf("turmericroute_sched_workers_state_count{state=%q}", state), func() float64 {
			return float64(s.countWorkers(state))
		})
	}
	return schedulerMetrics{
		set: set, heartbeats: set.GetOrCreateCounter("turmericroute_sched_heartbeats_total"),
		ignoredHeartbeats: set.GetOrCreateCounter("turmericroute_sched_ignored_heartbeats_total"),
		acceptedJobs:      set.GetOrCreateCounter("turmericroute_sched_accepted_jobs_total"), placedRuns: set.GetOrCreateCounter("turmericroute_sched_placed_runs_total"),
		panics:           set.GetOrCreateCounter("turmericroute_sched_panics_total"),
		refreshedWorkers: set.GetOrCreateCounter("turmericroute_sched_refreshed_workers_total"), triedSteps: set.GetOrCreateCounter("turmericroute_sched_tried_steps_total"),
		passSeconds:   set.GetOrCreateSummary("turmericroute_sched_pass_seconds"),
		failingStarts: set.GetOrCreateCounter("turmericroute_sched_failing_worker_starts_total"),
		workerSpeeds:  set.GetOrCreateHistogram("turmericroute_sched_worker_speed_ratio"),
		startSeconds:  set.GetOrCreateHistogram("turmericroute_sched_start_seconds"),
	}
}

// endedRuns returns the counter of runs that ended for a reason.
func (m schedulerMetrics) endedRuns(reason batch.EndReason) *metrics.Counter {
	return m.set.GetOrCreateCounter(fmt.Sprintf("turmericroute_sched_ended_runs_total{how=%q}", reason))
}

// workerEvents returns the counter of decisions of a kind on workers that fail.
func (m schedulerMetrics) workerEvents(kind fleet.EventKind) *metrics.Counter {
	return m.set.GetOrCreateCounter(fmt.Sprintf("turmericroute_sched_worker_events_total{kind=%q}", strings.TrimPrefix(string(kind), "worker_")))
}

// givenUpRuns returns the counter of runs that were given up for a reason.
func (m schedulerMetrics) givenUpRuns(why givenUpReason) *metrics.Counter {
	return m.set.GetOrCreateCounter(fmt.Sprintf("turmericroute_sched_given_up_runs_total{why=%q}", why))
}

// refusedJobs returns the counter of submissions refused with a code.
func (m schedulerMetrics) refusedJobs(code model.Code) *metrics.Counter {
	return m.set.GetOrCreateCounter(fmt.Sprintf("turmericroute_sched_refused_jobs_total{code=%q}", code))
}
