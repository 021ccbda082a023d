package admit

import (
	"math"
	"time"
)

const (
	// progressHalfLife is the time after which what was observed counts half.
	progressHalfLife = 10 * time.Second
	// minEnds is the number of recent ends below which the estimates are taken as they are.
	minEnds = 20
)

// Progress compares the work that ends by its estimates with the time for which accelerators were in use. Callers guess
// how long their tasks take, so work that waits may take far less than its estimates say. The zero value knows nothing.
type Progress struct {
	at time.Duration // boot time of the latest observation
	// busy and done are in accelerators times time, ends counts the tasks in done; all decay.
	busy, done, ends float64
	gpus             int
}

// Observe records that so many accelerators are in use from now on.
func (p *Progress) Observe(now time.Duration, gpus int) {
	if elapsed := now - p.at; p.at != 0 && elapsed > 0 {
		keep := math.Exp2(-elapsed.Seconds() / progressHalfLife.Seconds())
		p.busy, p.done, p.ends = keep*p.busy+float64(p.gpus)*float64(elapsed), keep*p.done, keep*p.ends
	}
	p.at, p.gpus = now, gpus
}

// Done records the end of a task by its estimated work, in accelerators times time.
func (p *Progress) Done(work time.Duration) {
	p.done += float64(work)
	p.ends++
}

// Pace returns by what factor work ends faster than its estimates say. It is 1 if work ends more slowly, and while too few
// tasks have ended.
func (p *Progress) Pace() float64 {
	if p.ends < minEnds || p.busy <= 0 {
		return 1
	}
	return max(1, p.done/p.busy)
}
