package route

import (
	"slices"
	"time"
)

// DefaultQueueLength bounds the requests that wait for one service in one instance.
const DefaultQueueLength = 512

// Waiter is a request in a queue.
type Waiter struct {
	Team     string
	Weight   float64
	Deadline time.Time
	// Value is opaque data of the caller.
	Value any

	queued bool
}

// Throughput describes how fast requests leave the queue.
type Throughput struct {
	// PerSecond is the rate at which requests complete; 0 if unknown.
	PerSecond float64
	// ServiceTime is the expected time of one request after it leaves the queue.
	ServiceTime time.Duration
}

type teamQueue struct {
	name        string
	weight      float64
	virtualTime float64
	waiters     []*Waiter
}

// Queue holds requests by team. Teams are served in proportion to their weights, and requests of
// one team in order of arrival.
type Queue struct {
	max         int
	length      int
	virtualTime float64
	teams       []*teamQueue
}

// NewQueue returns an empty queue for at most maxLen requests; 0 means the default.
func NewQueue(maxLen int) *Queue { return &Queue{max: orDefault(maxLen, DefaultQueueLength)} }

// Len returns the number of queued requests.
func (q *Queue) Len() int { return q.length }

// Push adds w unless it cannot complete before its deadline or the queue is full. In a full queue,
// a team below its share evicts the newest request of the team that exceeds its own the most.
func (q *Queue) Push(now time.Time, w *Waiter, p Throughput) (evicted *Waiter, ok bool) {
	t := q.team(w)
	if !q.meetsDeadline(now, t, w, p) {
		return nil, false
	}
	if q.length >= q.max {
		longest := q.longestByWeight()
		if longest == t || q.weightedLength(longest) <= q.weightedLength(t)+1/t.weight {
			return nil, false
		}
		evicted = longest.waiters[len(longest.waiters)-1]
		q.removeAt(longest, len(longest.waiters)-1)
	}
	if len(t.waiters) == 0 {
		t.virtualTime = max(t.virtualTime, q.virtualTime)
	}
	t.waiters = append(t.waiters, w)
	w.queued = true
	q.length++
	return evicted, true
}

// WouldAccept reports whether the queue has room for a request and it could complete before its
// deadline.
func (q *Queue) WouldAccept(now time.Time, w *Waiter, p Throughput) bool {
	return q.length < q.max && q.meetsDeadline(now, q.team(w), w, p)
}

// meetsDeadline reports whether a new request of team t could complete before its deadline.
func (q *Queue) meetsDeadline(now time.Time, t *teamQueue, w *Waiter, p Throughput) bool {
	wait := time.Duration(0)
	if p.PerSecond > 0 {
		wait = time.Duration(q.requestsAhead(t) / p.PerSecond * float64(time.Second))
	}
	return !now.Add(wait + p.ServiceTime).After(w.Deadline)
}

// requestsAhead estimates how many requests leave the queue before a new one of team t.
func (q *Queue) requestsAhead(t *teamQueue) float64 {
	rounds := float64(len(t.waiters)) / t.weight
	n := 0.0
	for _, o := range q.teams {
		n += min(float64(len(o.waiters)), rounds*o.weight)
	}
	return n
}

// weightedLength returns a team's queue length divided by its weight.
func (q *Queue) weightedLength(t *teamQueue) float64 { return float64(len(t.waiters)) / t.weight }

// longestByWeight returns the team with the largest weighted length.
func (q *Queue) longestByWeight() *teamQueue {
	return slices.MaxFunc(q.teams, func(a, b *teamQueue) int {
		switch x, y := q.weightedLength(a), q.weightedLength(b); {
		case x < y:
			return -1
		case x > y:
			return 1
		default:
			return 0
		}
	})
}

func (q *Queue) team(w *Waiter) *teamQueue {
	weight := w.Weight
	if weight <= 0 {
		weight = 1
	}
	for _, t := range q.teams {
		if t.name == w.Team {
			t.weight = weight
			return t
		}
	}
	t := &teamQueue{name: w.Team, weight: weight, virtualTime: q.virtualTime}
	q.teams = append(q.teams, t)
	return t
}

// Choice is the caller's decision on a request that Pop offers.
type Choice int

// The choices.
const (
	// Take removes and returns the request.
	Take Choice = iota
	// Skip leaves the request in the queue and passes over its team.
	Skip
)

// Pop returns the next request by weighted share for which choose returns Take, or nil.
func (q *Queue) Pop(choose func(*Waiter) Choice) *Waiter {
	slices.SortStableFunc(q.teams, func(a, b *teamQueue) int {
		switch {
		case a.virtualTime < b.virtualTime:
			return -1
		case a.virtualTime > b.virtualTime:
			return 1
		default:
			return 0
		}
	})
	for _, t := range q.teams {
		if len(t.waiters) == 0 {
			continue
		}
		w := t.waiters[0]
		if choose(w) == Skip {
			continue
		}
		q.removeAt(t, 0)
		q.virtualTime = max(q.virtualTime, t.virtualTime)
		t.virtualTime += 1 / t.weight
		return w
	}
	return nil
}

// Expire removes and returns the requests that cannot complete before their deadlines with the
// given service time.
func (q *Queue) Expire(now time.Time, service time.Duration) []*Waiter {
	var out []*Waiter
	for _, t := range q.teams {
		for i := 0; i < len(t.waiters); {
			if w := t.waiters[i]; now.Add(service).After(w.Deadline) {
				q.removeAt(t, i)
				out = append(out, w)
			} else {
				i++
			}
		}
	}
	return out
}

// Remove removes w; it reports false if w is no longer queued.
func (q *Queue) Remove(w *Waiter) bool {
	if !w.queued {
		return false
	}
	for _, t := range q.teams {
		if i := slices.Index(t.waiters, w); i >= 0 {
			q.removeAt(t, i)
			return true
		}
	}
	return false
}

func (q *Queue) removeAt(t *teamQueue, i int) {
	t.waiters[i].queued = false
	t.waiters = slices.Delete(t.waiters, i, i+1)
	q.length--
}

// Lengths returns the number of queued requests of each team that has any.
func (q *Queue) Lengths() map[string]int {
	out := map[string]int{}
	for _, t := range q.teams {
		if len(t.waiters) > 0 {
			out[t.name] = len(t.waiters)
		}
	}
	return out
}
