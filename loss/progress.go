package loss

import "time"

// Progress is how far a run has come.
type Progress struct {
	// Elapsed is the time since the run was at From percent; Percent is its progress now, rounded down.
	Elapsed       time.Duration
	From, Percent int
}

// LeastRemaining returns the least time that the run still takes at its speed so far, given that its progress may be
// almost a percent more than it reports. It is 0 for a run that has shown none, as it may report none at all.
func (p Progress) LeastRemaining() time.Duration {
	if p.Percent <= p.From {
		return 0
	}
	next := min(p.Percent+1, 100)
	return time.Duration(float64(p.Elapsed) * float64(100-next) / float64(next-p.From))
}

// speedMargin is the factor by which a run may become faster than it was.
const speedMargin = 1.25

// EndsIn reports whether the run may end within a time.
func (p Progress) EndsIn(left time.Duration) bool {
	return p.LeastRemaining() <= time.Duration(speedMargin*float64(left))
}
