package admit

import (
	"math"
	"time"
)

const (
	// backlogShare is the fraction of the estimated work ahead that a refusal counts on. Estimates may be too long, and
	// a wrong refusal costs a caller more than a late result.
	backlogShare = 0.5
	// minReturn and maxReturn bound the time after which a refused caller returns.
	minReturn = time.Second
	maxReturn = time.Minute
	// returnSlot is the time for which returns are counted together; callers are told whole seconds.
	returnSlot = time.Second
)

// Room is the room that a submission would have.
type Room struct {
	// GPUs is the number of accelerators of the usable workers.
	GPUs int
	// Ahead is the work, in accelerators times time, of running and waiting steps that go before the job.
	Ahead time.Duration
}

// drain returns how long all accelerators take for some work at once.
func (r Room) drain(work time.Duration) time.Duration {
	return time.Duration(float64(work) / float64(r.GPUs))
}

// Refuse reports whether a submission certainly cannot end while its result has value, and else may be accepted. If it
// cannot, it returns the time until the work ahead leaves enough time for the job's objective.
func Refuse(j Job, r Room) (wait time.Duration, refuse bool) {
	if j.Objective == 0 || r.GPUs == 0 {
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
	// told is the work that was told to return in each slot, by the slot's number.
	told map[int64]time.Duration
}

// Tell returns the time after which a caller with some work should return, at least wait from now if that is within
// bounds. A slot takes as much work as the accelerators do in its time, or else a single caller.
func (t *Returns) Tell(now, wait, work time.Duration, r Room) time.Duration {
	if t.told == nil {
		t.told = map[int64]time.Duration{}
	}
	current := int64(now / returnSlot)
	for slot := range t.told {
		if slot < current {
			delete(t.told, slot)
		}
	}
	room := time.Duration(r.GPUs) * returnSlot
	wait = min(max(wait, minReturn), maxReturn)
	first := int64(math.Ceil(float64(now+wait) / float64(returnSlot)))
	last := int64((now + maxReturn) / returnSlot)
	best := min(first, last)
	for slot := best; slot <= last; slot++ {
		if t.told[slot] == 0 || t.told[slot]+work <= room {
			best = slot
			break
		}
		if t.told[slot] < t.told[best] {
			best = slot // all slots are full: the one with least work
		}
	}
	t.told[best] += max(work, 1)
	return time.Duration(best)*returnSlot - now
}

// Told returns the work that callers who are still to return bring.
func (t *Returns) Told(now time.Duration) time.Duration {
	sum := time.Duration(0)
	for slot, work := range t.told {
		if slot >= int64(now/returnSlot) {
			sum += work
		}
	}
	return sum
}
