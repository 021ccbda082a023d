package share

// burstSeconds is for how long a team may save up its rate.
const burstSeconds = 5

// Bucket is a token bucket that tells which jobs of a team are within its rate.
type Bucket struct {
	// PerSecond is the rate in jobs per second.
	PerSecond float64

	begun  bool
	tokens float64
	lastMS int64
}

// Take reports whether a job that was accepted at a time in Unix milliseconds is within the rate. Jobs must be taken in
// the order of their times.
func (b *Bucket) Take(atMS int64) bool {
	size := max(1, burstSeconds*b.PerSecond)
	if !b.begun {
		b.begun, b.tokens, b.lastMS = true, size, atMS
	}
	if atMS > b.lastMS {
		b.tokens = min(size, b.tokens+b.PerSecond*float64(atMS-b.lastMS)/1000)
		b.lastMS = atMS
	}
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
