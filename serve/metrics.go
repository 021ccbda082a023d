package serve

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"turmericroute/model"
)

// configMetrics measures the time from the acceptance of a configuration version until it applies on this instance.
type configMetrics struct {
	delay *metrics.Histogram
	// acceptedMS is when the version in force was accepted, in Unix milliseconds of the leader's clock.
	acceptedMS atomic.Int64
}

func newConfigMetrics(set *metrics.Set, node Node) *configMetrics {
	m := &configMetrics{delay: set.GetOrCreateHistogram("turmericroute_config_delay_seconds")}
	set.GetOrCreateGauge("turmericroute_config_version_number", func() float64 { return float64(node.Machine().Config().Version) })
	set.GetOrCreateGauge("turmericroute_config_version_age_seconds", func() float64 {
		acceptedMS := m.acceptedMS.Load()
		if acceptedMS == 0 {
			return 0
		}
		return max(0, time.Since(time.UnixMilli(acceptedMS)).Seconds())
	})
	return m
}

// watch records each new version until ctx ends. The delay of a version that
// arrives while the view is too old to serve requests, as after a start or a
// partition, is not recorded, since no caller can observe it.
func (m *configMetrics) watch(ctx context.Context, node Node) {
	lastVersion := uint64(0)
	for {
		changed := node.Machine().Changed()
		if v := node.Machine().Config().Version; v != lastVersion {
			lastVersion = v
			history := node.Machine().History()
			if n := len(history); n > 0 {
				acceptedMS := history[n-1].AtMS
				m.acceptedMS.Store(acceptedMS)
				if node.ViewAge() <= model.MaxViewAge {
					m.delay.Update(max(0, time.Since(time.UnixMilli(acceptedMS)).Seconds()))
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

// refreshQueueGauges sets the gauge of each team's requests that wait for an executor.
// A team without such requests keeps its gauge, at 0.
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
