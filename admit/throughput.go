package admit

import (
	"math"
	"time"
)

const (
	// endDecay is the time constant with which ended work loses its weight.
	endDecay = 10 * time.Second
	// minEnds is the number of ended tasks or gangs, by weight, below which no rate is known.
	minEnds = 20
)

// Throughput measures the rate at which work ends, in the callers' estimates of it. Estimates may be wrong by a factor
// of ten either way, so a backlog is compared with what has ended by the same estimates; the zero value has seen no end.
type Throughput struct {
	at time.Duration
	// ends and work are sums in which the weight of each end decays.
	ends, work float64
}

// Note records the end of a task or gang with some estimated work, in accelerators times time, at a boot time.
func (t *Throughput) Note(now, work time.Duration) {
	*t = t.decayed(now)
	t.ends++
	t.work += work.Seconds()
}

// Calibrated returns the need by what ends have shown of the estimates: less where more estimated work ends in a unit of
// time, at a rate, than the accelerators in use can do.
func (n Need) Calibrated(used int, rate float64) Need {
	if rate > float64(used) {
		n.GPUs = int(float64(n.GPUs) * float64(used) / rate)
	}
	return n
}

// Rate returns the estimated work that ends in a unit of time, in accelerators; 0 if too few ends are known.
func (t *Throughput) Rate(now time.Duration) float64 {
	d := t.decayed(now)
	if d.ends < minEnds {
		return 0
	}
	return d.work / endDecay.Seconds()
}

func (t *Throughput) decayed(now time.Duration) Throughput {
	w := math.Exp(-max(0, now-t.at).Seconds() / endDecay.Seconds())
	return Throughput{at: now, ends: t.ends * w, work: t.work * w}
}
