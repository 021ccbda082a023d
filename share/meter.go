package share

import (
	"math"
	"time"

	"turmericroute/quota"
)

const (
	// averagePeriod is the time after which past use counts for 1/e.
	averagePeriod = 30 * time.Second
	// pastShare is how much past use counts against present use. Below 1, a team that returns after a pause does not take
	// all room from those that have used it meanwhile.
	pastShare = 0.5
)

// Beyond returns the dominant share of a team's use beyond its guarantee: the largest fraction that it takes of any
// resource, less the part of its use that its guaranteed accelerators cover.
func Beyond(used, capacity quota.Amounts, guaranteedGPUs int) float64 {
	dominant := 0.0
	for _, r := range quota.Resources() {
		if all := capacity.Of(r); all > 0 {
			dominant = max(dominant, float64(used.Of(r))/float64(all))
		}
	}
	if used.GPUs <= guaranteedGPUs && guaranteedGPUs > 0 {
		return 0
	}
	if guaranteedGPUs > 0 {
		dominant *= 1 - float64(guaranteedGPUs)/float64(used.GPUs)
	}
	return dominant
}

// Meter keeps what each team uses and has used lately. The zero value is ready for use.
type Meter struct {
	at      time.Duration
	present map[string]float64
	// past is the decayed average of the use of each team, present use included.
	past map[string]float64
}

// Observe records the use of each team from now on. A new meter assumes that teams have used before what they use now.
func (m *Meter) Observe(now time.Duration, use map[string]float64) {
	if m.past == nil {
		m.past = map[string]float64{}
		for team, n := range use {
			m.past[team] = n
		}
	} else {
		m.decay(now - m.at)
	}
	m.at, m.present = now, use
}

// negligible is a decayed use that is dropped.
const negligible = 1e-9

func (m *Meter) decay(d time.Duration) {
	keep := math.Exp(-d.Seconds() / averagePeriod.Seconds())
	for team, n := range m.past {
		m.past[team] = n * keep
	}
	for team, n := range m.present {
		m.past[team] += n * (1 - keep)
	}
	for team, n := range m.past {
		if n < negligible {
			delete(m.past, team)
		}
	}
}

// Use returns what a team uses and has used lately in relation to its weight. The team with the least is next.
func (m *Meter) Use(team string, weight float64) float64 {
	return (m.present[team] + pastShare*m.past[team]) / weight
}
