package gang

import (
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"turmericroute/model"
	"turmericroute/place"
)

// gaugeInterval is the interval at which the gauges of waiting jobs are set.
const gaugeInterval = time.Second

// driverMetrics holds the metrics of a Driver.
type driverMetrics struct {
	set         *metrics.Set
	polls       *metrics.Counter
	workersLost *metrics.Counter
	startTime   *metrics.Histogram
	urgentStart *metrics.Histogram
	reclaimTime *metrics.Histogram
	reclaims    *metrics.Counter
	displaced   *metrics.Counter
	teams       *teamGauges
}

// teamGauges records the teams that have a gauge of waiting jobs.
type teamGauges struct {
	mu   sync.Mutex
	seen map[string]bool
}

func newDriverMetrics(set *metrics.Set) driverMetrics {
	return driverMetrics{
		set:         set,
		polls:       set.GetOrCreateCounter("turmericroute_worker_polls_total"),
		workersLost: set.GetOrCreateCounter("turmericroute_workers_silent_total"),
		startTime:   set.GetOrCreateHistogram("turmericroute_job_start_seconds"),
		urgentStart: set.GetOrCreateHistogram("turmericroute_urgent_job_start_seconds"),
		reclaimTime: set.GetOrCreateHistogram("turmericroute_reclaim_seconds"),
		reclaims:    set.GetOrCreateCounter(`turmericroute_preemptions_total{cause="reclaim"}`),
		displaced:   set.GetOrCreateCounter(`turmericroute_preemptions_total{cause="displaced"}`),
		teams:       &teamGauges{seen: map[string]bool{}},
	}
}

// jobStarted records the time in seconds from a job's acceptance to its start, for first attempts only.
func (m driverMetrics) jobStarted(j model.Job, now time.Time) {
	if j.Attempt != 1 {
		return
	}
	took := now.Sub(time.UnixMilli(j.Accepted)).Seconds()
	m.startTime.Update(took)
	if j.Spec.Urgent {
		m.urgentStart.Update(took)
	}
}

// countPreemption counts a preemption and records the time of the first one in favour of a job.
func (l *leaderState) countPreemption(dec place.Preempt, now time.Time) {
	if dec.For == "" {
		l.metrics.displaced.Inc()
		return
	}
	l.metrics.reclaims.Inc()
	if _, ok := l.firstPreemption[dec.For]; !ok {
		l.firstPreemption[dec.For] = now
	}
}

// recordReclaim records the time in seconds from the first preemption in favour of a job to
// the start of all its tasks.
func (l *leaderState) recordReclaim(id string, now time.Time) {
	if at, ok := l.firstPreemption[id]; ok {
		delete(l.firstPreemption, id)
		l.metrics.reclaimTime.Update(now.Sub(at).Seconds())
	}
}

// setGauges updates the gauges of waiting jobs once every gaugeInterval.
func (l *leaderState) setGauges(now time.Time) {
	if now.Sub(l.gaugesSetAt) < gaugeInterval {
		return
	}
	l.gaugesSetAt = now
	l.metrics.setWaiting(l.policy.WaitingByTeam())
}

// setWaiting sets the gauge of each team to its number of waiting jobs, which is 0 for
// teams that have none left.
func (m driverMetrics) setWaiting(waiting map[string]int) {
	m.teams.mu.Lock()
	defer m.teams.mu.Unlock()
	for team := range waiting {
		m.teams.seen[team] = true
	}
	for team := range m.teams.seen {
		m.set.GetOrCreateGauge(fmt.Sprintf("turmericroute_jobs_waiting_count{team=%q}", team), nil).Set(float64(waiting[team]))
	}
}

// registerLeaseGauge registers the gauge of the age of the oldest lease among the workers
// that are not silent.
func (d *Driver) registerLeaseGauge(set *metrics.Set) {
	set.GetOrCreateGauge("turmericroute_worker_lease_age_seconds", func() float64 {
		l := d.leader.Load()
		if l == nil {
			return 0
		}
		now, oldest := l.cfg.Now(), time.Duration(0)
		l.sessions.each(func(w *session) {
			w.mu.Lock()
			defer w.mu.Unlock()
			if !w.silent && !w.lastPoll.IsZero() {
				oldest = max(oldest, now.Sub(w.lastPoll))
			}
		})
		return oldest.Seconds()
	})
}
