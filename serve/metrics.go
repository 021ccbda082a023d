package serve

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"turmericroute/model"
)

// configMetrics tell how soon configuration versions are in force here.
type configMetrics struct {
	delay *metrics.Histogram
	// acceptedMS is when the version in force was accepted, in unix milliseconds by the leader's clock.
	acceptedMS atomic.Int64
}

func newConfigMetrics(set *metrics.Set, node Node) *configMetrics {
	m := &configMetrics{delay: set.GetOrCreateHistogram("turmericroute_config_delay_seconds")}
	set.GetOrCreateGauge("turmericroute_config_version_number", func() float64 { return float64(node.Machine().Config().Version) })
	set.GetOrCreateGauge("turmericroute_config_version_age_seconds", func() float64 {
		at := m.acceptedMS.Load()
		if at == 0 {
			return 0
		}
		return max(0, time.Since(time.UnixMilli(at)).Seconds())
	})
	return m
}

// watch notes each new version until ctx ends. A version that arrives while the
// view is too old to serve from, as after a start or a partition, has no delay
// that a caller could notice.
func (m *configMetrics) watch(ctx context.Context, node Node) {
	last := uint64(0)
	for {
		changed := node.Machine().Changed()
		if v := node.Machine().Config().Version; v != last {
			last = v
			history := node.Machine().History()
			if n := len(history); n > 0 {
				at := history[n-1].AtMS
				m.acceptedMS.Store(at)
				if node.ViewAge() <= model.MaxViewAge {
					m.delay.Update(max(0, time.Since(time.UnixMilli(at)).Seconds()))
				}
			}
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// refreshQueueGauges sets the gauges of the requests that wait for an executor, by team.
func (p *Process) refreshQueueGauges() {
	p.gaugedTeamsMu.Lock()
	defer p.gaugedTeamsMu.Unlock()
	queued := map[string]int{}
	for _, st := range p.components.Services.States() {
		for team, n := range st.Queued {
			queued[team] += n
			p.gaugedTeams[team] = true
		}
	}
	for team := range p.gaugedTeams {
		p.components.Metrics.GetOrCreateGauge(fmt.Sprintf("turmericroute_entry_queued_requests_count{team=%q}", team), nil).Set(float64(queued[team]))
	}
}
