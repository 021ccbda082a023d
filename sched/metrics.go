package sched

import (
	"fmt"
	"strings"

	"github.com/VictoriaMetrics/metrics"

	"turmericroute/admit"
	"turmericroute/batch"
	"turmericroute/fleet"
	"turmericroute/loss"
	"turmericroute/model"
	"turmericroute/quota"
)

// schedulerMetrics are the metrics of the scheduler.
type schedulerMetrics struct {
	set                      *metrics.Set
	heartbeats, acceptedJobs *metrics.Counter
	ignoredHeartbeats        *metrics.Counter
	unbegunStarts            *metrics.Counter
	placedRuns, panics       *metrics.Counter
	// refreshedWorkers and triedSteps count what the passes have looked at.
	refreshedWorkers, triedSteps *metrics.Counter
	passSeconds                  *metrics.Summary
	startSeconds                 *metrics.Histogram
	// retryAfterSeconds holds the times after which refused callers were told to return.
	retryAfterSeconds *metrics.Histogram
	// endCommitSeconds holds how long the ledger took to record ends of runs; givenUpReports counts the runs that their
	// workers reported as running after they had been given up.
	endCommitSeconds *metrics.Histogram
	givenUpReports   *metrics.Counter
	// gaugedTeams and gaugedWaits hold what the gauges by team have been set for; they are guarded by Scheduler.mu.
	gaugedTeams map[string]bool
	gaugedWaits map[waitingKey]bool
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
	s.registerHeadroom(set)
	for _, state := range fleet.States {
		set.GetOrCreateGauge(fmt.Sprintf("turmericroute_sched_workers_state_count{state=%q}", state), func() float64 {
			return float64(s.countWorkers(state))
		})
	}
	return schedulerMetrics{
		set: set, gaugedTeams: map[string]bool{}, gaugedWaits: map[waitingKey]bool{}, heartbeats: set.GetOrCreateCounter("turmericroute_sched_heartbeats_total"),
		ignoredHeartbeats: set.GetOrCreateCounter("turmericroute_sched_ignored_heartbeats_total"),
		unbegunStarts:     set.GetOrCreateCounter("turmericroute_sched_unbegun_starts_total"),
		acceptedJobs:      set.GetOrCreateCounter("turmericroute_sched_accepted_jobs_total"), placedRuns: set.GetOrCreateCounter("turmericroute_sched_placed_runs_total"),
		panics:           set.GetOrCreateCounter("turmericroute_sched_panics_total"),
		refreshedWorkers: set.GetOrCreateCounter("turmericroute_sched_refreshed_workers_total"), triedSteps: set.GetOrCreateCounter("turmericroute_sched_tried_steps_total"),
		passSeconds:       set.GetOrCreateSummary("turmericroute_sched_pass_seconds"),
		failingStarts:     set.GetOrCreateCounter("turmericroute_sched_failing_worker_starts_total"),
		workerSpeeds:      set.GetOrCreateHistogram("turmericroute_sched_worker_speed_ratio"),
		startSeconds:      set.GetOrCreateHistogram("turmericroute_sched_start_seconds"),
		endCommitSeconds:  set.GetOrCreateHistogram("turmericroute_sched_end_commit_seconds"),
		givenUpReports:    set.GetOrCreateCounter("turmericroute_sched_given_up_runs_reported_total"),
		retryAfterSeconds: set.GetOrCreateHistogram("turmericroute_sched_retry_after_seconds"),
	}
}

// runningResources returns the gauge of what a team has running of a resource.
func (m schedulerMetrics) runningResources(team string, r quota.Resource) *metrics.Gauge {
	return m.set.GetOrCreateGauge(fmt.Sprintf("turmericroute_sched_running_resources_count{team=%q,resource=%q}", team, r), nil)
}

// waitingSteps returns the gauge of the steps that wait for a reason.
func (m schedulerMetrics) waitingSteps(key waitingKey) *metrics.Gauge {
	return m.set.GetOrCreateGauge(fmt.Sprintf("turmericroute_sched_waiting_steps_count{team=%q,queue=%q,reason=%q}", key.team, key.queue, key.reason), nil)
}

// quotaWaits returns the counter of waits for the quota of a team.
func (m schedulerMetrics) quotaWaits(team string, r quota.Resource) *metrics.Counter {
	return m.set.GetOrCreateCounter(fmt.Sprintf("turmericroute_sched_quota_waits_total{team=%q,resource=%q}", team, r))
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

// deferredSteps returns the counter of steps of a queue that were deferred for a reason.
func (m schedulerMetrics) deferredSteps(queue string, why admit.Reason) *metrics.Counter {
	return m.set.GetOrCreateCounter(fmt.Sprintf("turmericroute_sched_deferred_steps_total{queue=%q,why=%q}", queue, why))
}

// countLoss counts runs that lost work for a cause, and the core-seconds that they lost.
func (m schedulerMetrics) countLoss(c loss.Cause, runs int, coreSeconds float64) {
	m.set.GetOrCreateCounter(fmt.Sprintf("turmericroute_sched_lost_runs_total{cause=%q}", c)).Add(runs)
	m.set.GetOrCreateFloatCounter(fmt.Sprintf("turmericroute_sched_lost_core_seconds_total{cause=%q}", c)).Add(coreSeconds)
}

// refusedJobs returns the counter of submissions refused with a code.
func (m schedulerMetrics) refusedJobs(code model.Code) *metrics.Counter {
	return m.set.GetOrCreateCounter(fmt.Sprintf("turmericroute_sched_refused_jobs_total{code=%q}", code))
}
