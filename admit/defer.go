package admit

import (
	"cmp"
	"slices"
	"time"
)

// minUtilisation is the fraction of accelerators in use below which no step is deferred, so that no work waits while
// much room is idle.
const minUtilisation = 0.6

// maxDeferral and maxBegunDeferral bound how long a step gives way, whatever slack its job seems to have: estimates may be
// ten times too long, and the work that a job has done waits with the rest of it.
const (
	maxDeferral      = 20 * time.Second
	maxBegunDeferral = 3 * time.Second
)

// Reason is why a step may start or is deferred.
type Reason string

// The reasons of decisions about waiting steps.
const (
	NoObjective  Reason = "no_objective"
	LatestStart  Reason = "latest_start"
	WaitedLong   Reason = "waited_long"
	LowUse       Reason = "low_use"
	NoHeadroom   Reason = "no_headroom"
	ForWaiting   Reason = "for_waiting"
	ForForecasts Reason = "for_forecast"
)

// Load is the use of a service's accelerators as work of one priority sees it.
type Load struct {
	// Utilisation is the fraction of the accelerators that is in use.
	Utilisation float64 `json:"utilisation"`
	// Forecast is what more urgent queues need; Held is what their runs have, Waiting what their waiting steps need.
	Forecast Need `json:"forecast"`
	Held     int  `json:"held_gpus"`
	Waiting  int  `json:"waiting_gpus"`
}

// Headroom returns the accelerators to keep free for more urgent work.
func (l Load) Headroom() int { return max(0, l.Forecast.GPUs-l.Held, l.Waiting) }

// Decision says whether a waiting step must leave the headroom free.
type Decision struct {
	Defer  bool
	Reason Reason
	// Until is the time from now after which the step is no longer deferred.
	Until time.Duration
}

// Decide decides whether a step of a job that has waited for room leaves the headroom to more urgent work.
func Decide(j Job, waited time.Duration, l Load) Decision {
	slack := j.Slack()
	left := maxDeferral - waited
	if j.Begun {
		left = maxBegunDeferral - waited
	}
	switch {
	case j.Objective == 0:
		return Decision{Reason: NoObjective}
	case slack <= 0:
		return Decision{Reason: LatestStart}
	case left <= 0:
		return Decision{Reason: WaitedLong}
	case l.Utilisation < minUtilisation:
		return Decision{Reason: LowUse}
	case l.Headroom() == 0:
		return Decision{Reason: NoHeadroom}
	case l.Waiting >= l.Forecast.GPUs-l.Held:
		return Decision{Defer: true, Reason: ForWaiting, Until: min(slack, left)}
	default:
		return Decision{Defer: true, Reason: ForForecasts, Until: min(slack, left)}
	}
}

// Rack is a rack that may be kept for more urgent work.
type Rack struct {
	Name string
	// Free is the number of free accelerators.
	Free int
	// Kept is set if the rack is kept already, so that it goes on to be emptied of other work.
	Kept bool
}

// KeepRacks returns the names of the racks to keep so that their free accelerators hold the headroom in gangs of the
// given size. The racks with most room come first; racks that hold no gang yet are kept as well until there is enough,
// since room only adds up to a gang where nothing else starts.
func KeepRacks(racks []Rack, headroom, gang int) map[string]bool {
	gang = max(1, gang)
	rank := func(r Rack) int {
		if r.Kept {
			return r.Free + gang
		}
		return r.Free
	}
	racks = slices.Clone(racks)
	slices.SortFunc(racks, func(a, b Rack) int { return cmp.Or(cmp.Compare(rank(b), rank(a)), cmp.Compare(a.Name, b.Name)) })
	kept := map[string]bool{}
	for _, r := range racks {
		if headroom <= 0 {
			break
		}
		kept[r.Name] = true
		headroom -= r.Free / gang * gang
	}
	return kept
}
