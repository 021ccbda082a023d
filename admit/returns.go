package admit

import "time"

const (
	// backlogShare is the fraction of the estimated work ahead that a refusal counts on. Estimates may be too long, and
	// a wrong refusal costs a caller more than a late result.
	backlogShare = 0.5
	// minReturn and maxReturn bound the time after which a refused caller returns.
	minReturn = time.Second
	maxReturn = time.Minute
	// minReturnInterval separates the returns of callers with little work.
	minReturnInterval = 10 * time.Millisecond
)

// Room is the room that a submission would have.
type Room struct {
	// GPUs is the number of accelerators of the usable workers.
	GPUs int
	// Rate is the estimated work that has ended lately in a unit of time, 0 if that is not known.
	Rate float64
	// Ahead is the work, in accelerators times time, of running and waiting steps that go before the job.
	Ahead time.Duration
}

// Drain returns how long the work ahead takes.
func (r Room) Drain() time.Duration { return r.drain(r.Ahead) }

// drain returns how long some work takes, either with all accelerators at once, or at the rate at which work ends if
// that is higher, as it is where estimates are too long.
func (r Room) drain(work time.Duration) time.Duration {
	return time.Duration(float64(work) / max(float64(r.GPUs), r.Rate))
}

// Refuse reports whether a submission certainly cannot end while its result has value, and else may be accepted. Nothing
// is refused while the rate at which work ends is not known. If it cannot end in time, it returns the time until the work ahead leaves enough time for the job's objective.
func Refuse(j Job, r Room) (wait time.Duration, refuse bool) {
	if j.Objective == 0 || r.GPUs == 0 || r.Rate == 0 {
		return 0, false
	}
	start := r.drain(time.Duration(backlogShare * float64(r.Ahead)))
	if j.Age+start+j.Path <= LateFactor*j.Objective {
		return 0, false
	}
	return max(0, r.drain(r.Ahead)-max(0, j.Slack())), true
}

// Returns spreads the returns of refused callers over time by the work that they bring; the zero value knows of none.
type Returns struct {
	// next is the boot time at which the work of all who were told to return will have been done.
	next time.Duration
	// capped counts the returns that were told although there is no room within maxReturn.
	capped int
}

// Tell returns the time after which a caller with some work should return, at least wait from now. Each gets the time
// at which the work of those who were told before is done. Where that is later than maxReturn, returns are spread over
// the second half of that time.
func (t *Returns) Tell(now, wait, work time.Duration, r Room) time.Duration {
	at := max(t.next, now+max(wait, minReturn))
	if at > now+maxReturn {
		t.capped++
		const half, stride = maxReturn / 2, 7 * time.Second // every second comes once in a round, neighbours far apart
		return half + stride*time.Duration(t.capped)%half
	}
	t.next = at + max(r.drain(work), minReturnInterval)
	return at - now
}

// Told returns how long the work of the callers who are still to return takes.
func (t *Returns) Told(now time.Duration) time.Duration { return max(0, t.next-now) }
