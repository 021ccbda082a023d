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
	// Value is the caller's own data.
	Value any

	queued bool
}

// Pace says how fast requests leave the queue.
type Pace struct {
	// PerSecond is the rate at which requests end; 0 when it is not known.
	PerSecond float64
	// Service is the expected time of one request after it leaves the queue.
	Service time.Duration
}

type teamQueue struct {
	name    string
	weight  float64
	virtual float64
	waiters []*Waiter
}

// Queue holds requests by team; teams leave in proportion to their weights and
// requests of one team in order of arrival.
type Queue struct {
	max     int
	n       int
	virtual float64
	teams   []*teamQueue
}

// NewQueue returns an empty queue for at most maxLen requests; 0 means the default.
func NewQueue(maxLen int) *Queue { return &Queue{max: orDefault(maxLen, DefaultQueueLength)} }

// Len returns the number of requests.
func (q *Queue) Len() int { return q.n }

// Push adds w unless it cannot end before its deadline or the queue is full. In a full queue a
// team below its share replaces the newest request of the team that is furthest beyond its own.
func (q *Queue) Push(now time.Time, w *Waiter, p Pace) (evicted *Waiter, ok bool) {
	t := q.team(w)
	if !q.feasible(now, t, w, p) {
		return nil, false
	}
	if q.n >= q.max {
		worst := q.worst()
		if worst == t || q.excess(worst) <= q.excess(t)+1/t.weight {
			return nil, false
		}
		evicted = worst.waiters[len(worst.waiters)-1]
		q.removeAt(worst, len(worst.waiters)-1)
	}
	if len(t.waiters) == 0 {
		t.virtual = max(t.virtual, q.virtual)
	}
	t.waiters = append(t.waiters, w)
	w.queued = true
	q.n++
	return evicted, true
}

// Expects reports whether a request pushed now could end before its deadline.
func (q *Queue) Expects(now time.Time, w *Waiter, p Pace) bool {
	return q.n < q.max && q.feasible(now, q.team(w), w, p)
}

func (q *Queue) feasible(now time.Time, t *teamQueue, w *Waiter, p Pace) bool {
	wait := time.Duration(0)
	if p.PerSecond > 0 {
		wait = time.Duration(q.ahead(t) / p.PerSecond * float64(time.Second))
	}
	return !now.Add(wait + p.Service).After(w.Deadline)
}

// ahead estimates how many requests leave the queue before a new one of team t.
func (q *Queue) ahead(t *teamQueue) float64 {
	rounds := float64(len(t.waiters)) / t.weight
	n := 0.0
	for _, o := range q.teams {
		n += min(float64(len(o.waiters)), rounds*o.weight)
	}
	return n
}

// excess is a team's queue length in units of its weight.
func (q *Queue) excess(t *teamQueue) float64 { return float64(len(t.waiters)) / t.weight }

func (q *Queue) worst() *teamQueue {
	return slices.MaxFunc(q.teams, func(a, b *teamQueue) int {
		switch x, y := q.excess(a), q.excess(b); {
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
	t := &teamQueue{name: w.Team, weight: weight, virtual: q.virtual}
	q.teams = append(q.teams, t)
	return t
}

// Choice is what the caller of Pop does with a request.
type Choice int

// The choices.
const (
	// Take removes the request and returns it.
	Take Choice = iota
	// Skip leaves the request and its team in the queue for now.
	Skip
)

// Pop returns the next request by weighted share for which choose says Take, or nil.
func (q *Queue) Pop(choose func(*Waiter) Choice) *Waiter {
	slices.SortStableFunc(q.teams, func(a, b *teamQueue) int {
		switch {
		case a.virtual < b.virtual:
			return -1
		case a.virtual > b.virtual:
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
		q.virtual = max(q.virtual, t.virtual)
		t.virtual += 1 / t.weight
		return w
	}
	return nil
}

// Expire removes and returns the requests that cannot end before their deadlines.
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

// Remove takes w out; false when it is no longer in the queue.
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
	q.n--
}

// Lengths returns the number of waiting requests of each team that has any.
func (q *Queue) Lengths() map[string]int {
	out := map[string]int{}
	for _, t := range q.teams {
		if len(t.waiters) > 0 {
			out[t.name] = len(t.waiters)
		}
	}
	return out
}
