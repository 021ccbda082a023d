package route_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"turmericroute/route"
)

func TestRoute(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "route")
}

var start = time.Unix(1_700_000_000, 0)

func executors(n, slots int, dc string) []route.Executor {
	out := make([]route.Executor, n)
	for i := range out {
		out[i] = route.Executor{ID: route.ID{Name: fmt.Sprintf("%s-%02d", dc, i), Incarnation: 1}, DataCentre: dc, Slots: slots}
	}
	return out
}

// probedSet returns a set whose executors have all been probed, and a query with a fixed seed.
func probedSet(list []route.Executor) (*route.Set, route.Query) {
	s := route.NewSet(route.Config{})
	s.Update(start, list)
	for _, x := range list {
		s.Probe(start, x.ID, true, nil)
	}
	rnd := rand.New(rand.NewPCG(1, 2))
	return s, route.Query{PreferredDataCentre: "a", AllowedDataCentres: map[string]bool{"a": true, "b": true}, Rand: rnd.Float64}
}

// view returns the state of the named executor.
func view(s *route.Set, now time.Time, name string) route.View {
	for _, v := range s.Views(now) {
		if v.Name == name {
			return v
		}
	}
	panic("no executor " + name)
}

// sendOne picks an executor for a request and ends the request with the given result.
func sendOne(s *route.Set, now time.Time, q route.Query, r route.Result) route.Assignment {
	GinkgoHelper()
	x, v := s.Pick(now, q)
	Expect(v).To(Equal(route.Picked))
	s.Done(now, x, r)
	return x
}

var _ = Describe("Set", func() {
	// Guards against slots that stay unused while requests wait.
	It("uses every slot of every executor", func() {
		s, q := probedSet(executors(5, 3, "a"))
		for range 15 {
			_, v := s.Pick(start, q)
			Expect(v).To(Equal(route.Picked))
		}
		_, v := s.Pick(start, q)
		Expect(v).To(Equal(route.Full))
	})

	// Guards against slots that a single busy instance leaves unused because the reports of its own
	// requests make executors look full.
	It("reuses each slot once its own request has ended", func() {
		s, q := probedSet(executors(5, 3, "a"))
		now := start
		var held []route.Assignment
		for range 1000 {
			now = now.Add(time.Millisecond)
			if l, v := s.Pick(now, q); v == route.Picked {
				held = append(held, l)
				continue
			}
			Expect(held).To(HaveLen(15))
			s.Done(now, held[0], route.Result{Latency: 15 * time.Millisecond, Load: &route.Load{InUse: 3, Slots: 3}})
			held = held[1:]
		}
	})

	// Guards against requests to other data centres while the preferred one has room, and against
	// overload of the preferred one.
	It("keeps to the preferred data centre until it is loaded", func() {
		s, q := probedSet(append(executors(4, 8, "a"), executors(4, 8, "b")...))
		count := map[string]int{}
		for i := range 64 {
			x, v := s.Pick(start, q)
			Expect(v).To(Equal(route.Picked))
			count[x.DataCentre]++
			if i == 15 {
				Expect(count["b"]).To(BeZero())
			}
		}
		Expect(count).To(Equal(map[string]int{"a": 32, "b": 32}))
	})

	// Guards the doubling of ejections, their bounds, and the gradual return of traffic.
	It("ejects after five failures for a time that doubles", func() {
		s, q := probedSet(executors(6, 8, "a"))
		q.AllowedDataCentres = map[string]bool{"a": true}
		now := start
		for _, want := range []time.Duration{1, 2, 4, 8, 16, 32, 60, 60} {
			fails := 0
			for !view(s, now, "a-00").Ejected {
				for _, x := range executors(6, 8, "a") {
					s.Probe(now, x.ID, true, nil)
				}
				x, _ := s.Pick(now, q)
				k := route.Succeeded
				if x.Name == "a-00" {
					k = route.ConnectionLost
					fails++
				}
				s.Done(now, x, route.Result{Kind: k, Latency: time.Millisecond})
			}
			Expect(fails).To(Equal(5))
			Expect(view(s, now.Add(want*time.Second-1), "a-00").Ejected).To(BeTrue())
			now = now.Add(want * time.Second)
			Expect(view(s, now, "a-00").Ejected).To(BeFalse())
		}
		count := func(now time.Time) int {
			for _, x := range executors(6, 8, "a") {
				s.Probe(now, x.ID, true, nil)
			}
			n := 0
			for range 6000 {
				if sendOne(s, now, q, route.Result{Latency: time.Millisecond}).Name == "a-00" {
					n++
				}
			}
			return n
		}
		early := count(now.Add(time.Second))
		Expect(early).To(And(BeNumerically(">", 50), BeNumerically("<", 500)))
		Expect(count(now.Add(10 * time.Second))).To(BeNumerically("~", 1000, 200))
	})

	// Guards against ejecting more than a third of the executors for errors; failed connections are
	// exempt.
	It("ejects at most a third for errors", func() {
		s, q := probedSet(executors(9, 8, "a"))
		for range 2000 {
			if x, v := s.Pick(start, q); v == route.Picked {
				s.Done(start, x, route.Result{Kind: route.ConnectionLost})
			}
		}
		ejected := 0
		for _, v := range s.Views(start) {
			if v.Ejected {
				ejected++
			}
		}
		Expect(ejected).To(Equal(3))
		for range 6 {
			sendOne(s, start, q, route.Result{Kind: route.ConnectFailed})
		}
		_, v := s.Pick(start, q)
		Expect(v).To(Equal(route.Unavailable))
	})

	// Guards against an executor that responds, but many times slower than its peers.
	It("ejects an executor that is much slower than the others", func() {
		s, q := probedSet(executors(8, 8, "a"))
		for range 4000 {
			x, _ := s.Pick(start, q)
			latency := 10 * time.Millisecond
			if x.Name == "a-03" {
				latency = 100 * time.Millisecond
			}
			s.Done(start, x, route.Result{Latency: latency})
		}
		for _, v := range s.Views(start) {
			Expect(v.Ejected).To(Equal(v.Name == "a-03"), v.Name)
		}
	})

	// Guards against choices by an outdated load report.
	It("follows reported load while it is recent", func() {
		s, q := probedSet(executors(2, 8, "a"))
		s.Probe(start, route.ID{Name: "a-00", Incarnation: 1}, true, &route.Load{InUse: 7, Slots: 8})
		s.Probe(start, route.ID{Name: "a-01", Incarnation: 1}, true, &route.Load{InUse: 0, Slots: 8})
		for range 5 {
			x, _ := s.Pick(start, q)
			Expect(x.Name).To(Equal("a-01"))
		}
	})

	// Guards the conditions for a pick and the bound on this instance's requests, in any order of
	// events.
	It("respects eligibility and in-flight bounds in any order of events", func() {
		rapid.Check(GinkgoT(), checkSet)
	})
})

func checkSet(t *rapid.T) {
	type executorState struct {
		success  time.Time
		inFlight int
	}
	now := start
	s := route.NewSet(route.Config{})
	list := append(executors(4, 2, "a"), executors(3, 2, "b")...)
	state := map[route.ID]*executorState{}
	update := func(n int) {
		s.Update(now, list[:n])
		for _, x := range list[n:] {
			delete(state, x.ID)
		}
		for _, x := range list[:n] {
			if state[x.ID] == nil {
				state[x.ID] = &executorState{}
			}
		}
	}
	update(len(list))
	type sentRequest struct {
		assignment route.Assignment
		executor   *executorState
	}
	var sent []sentRequest
	seed := rapid.Uint64().Draw(t, "seed")
	rnd := rand.New(rand.NewPCG(seed, 1))
	t.Repeat(map[string]func(*rapid.T){
		"time": func(t *rapid.T) {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
		},
		"update": func(t *rapid.T) { update(rapid.IntRange(1, len(list)).Draw(t, "n")) },
		"probe": func(t *rapid.T) {
			x := rapid.SampledFrom(list).Draw(t, "x")
			ok := rapid.Bool().Draw(t, "ok")
			s.Probe(now, x.ID, ok, &route.Load{InUse: rapid.IntRange(0, 2).Draw(t, "load"), Slots: 2})
			if k := state[x.ID]; k != nil && ok {
				k.success = now
			}
		},
		"pick": func(t *rapid.T) {
			allowed := map[string]bool{"a": rapid.Bool().Draw(t, "a"), "b": true}
			x, v := s.Pick(now, route.Query{PreferredDataCentre: "b", AllowedDataCentres: allowed, Rand: rnd.Float64})
			if v != route.Picked {
				return
			}
			k := state[x.ID]
			k.inFlight++
			if !allowed[x.DataCentre] || k.success.IsZero() || now.Sub(k.success) > 3*time.Second || k.inFlight > 2 || view(s, now, x.Name).Ejected {
				t.Fatalf("picked %+v: %+v", x, k)
			}
			sent = append(sent, sentRequest{x, k})
		},
		"done": func(t *rapid.T) {
			if len(sent) == 0 {
				t.Skip("nothing in flight")
			}
			i := rapid.IntRange(0, len(sent)-1).Draw(t, "i")
			x, k := sent[i].assignment, sent[i].executor
			sent = append(sent[:i], sent[i+1:]...)
			kind := rapid.SampledFrom([]route.ResultKind{route.Succeeded, route.ExecutorError, route.Refused, route.ConnectionLost, route.TimedOut, route.ConnectFailed, route.Abandoned}).Draw(t, "kind")
			s.Done(now, x, route.Result{Kind: kind, Latency: time.Millisecond})
			k.inFlight--
			if kind == route.Succeeded || kind == route.ExecutorError || kind == route.Refused {
				k.success = now
			}
		},
		"": func(t *rapid.T) {
			ejected := 0
			for _, v := range s.Views(now) {
				if v.InFlight < 0 || v.InFlight != state[v.ID].inFlight {
					t.Fatalf("%s has %d in flight, want %d", v.Name, v.InFlight, state[v.ID].inFlight)
				}
				if v.Ejected && !v.ConnectFailed {
					ejected++
				}
			}
			// A set that shrinks keeps the ejections of its members.
			if ejected > len(list)/3 {
				t.Fatalf("%d of %d ejected", ejected, s.Len())
			}
		},
	})
}

var _ = Describe("Queue", func() {
	// Guards the bound, the order within a team, and that each request leaves exactly once.
	It("loses and duplicates nothing in any order of events", func() {
		rapid.Check(GinkgoT(), checkQueue)
	})

	// Guards the share of a small team against a team that floods the queue.
	It("serves teams by weight and keeps room for the small one", func() {
		q := route.NewQueue(60)
		push := func(team string, weight float64) (*route.Waiter, bool) {
			return q.Push(start, &route.Waiter{Team: team, Weight: weight, Deadline: start.Add(time.Hour)}, route.Throughput{})
		}
		for range 100 {
			push("big", 3)
		}
		evicted, ok := push("small", 1)
		Expect(ok).To(BeTrue())
		Expect(evicted.Team).To(Equal("big"))
		for range 100 {
			push("small", 1)
		}
		Expect(q.Lengths()).To(Equal(map[string]int{"big": 45, "small": 15}))
		count := map[string]int{}
		for range 20 {
			count[q.Pop(func(*route.Waiter) route.Choice { return route.Take }).Team]++
		}
		Expect(count).To(Equal(map[string]int{"big": 15, "small": 5}))
	})

	// Guards against queuing requests that will miss their deadlines.
	It("rejects and expires requests that cannot complete in time", func() {
		q := route.NewQueue(100)
		throughput := route.Throughput{PerSecond: 10, ServiceTime: 100 * time.Millisecond}
		w := func(d time.Duration) *route.Waiter { return &route.Waiter{Team: "t", Deadline: start.Add(d)} }
		for range 10 {
			_, ok := q.Push(start, w(2*time.Second), throughput)
			Expect(ok).To(BeTrue())
		}
		_, ok := q.Push(start, w(time.Second), throughput)
		Expect(ok).To(BeFalse())
		Expect(q.Expire(start.Add(1950*time.Millisecond), throughput.ServiceTime)).To(HaveLen(10))
		Expect(q.Len()).To(BeZero())
	})
})

func checkQueue(t *rapid.T) {
	const bound = 6
	q := route.NewQueue(bound)
	now := start
	in := map[*route.Waiter]bool{}
	order := map[string][]*route.Waiter{}
	leave := func(t *rapid.T, w *route.Waiter) {
		if !in[w] {
			t.Fatalf("removed twice or never queued")
		}
		delete(in, w)
		list := order[w.Team]
		for i := range list {
			if list[i] == w {
				order[w.Team] = append(append([]*route.Waiter{}, list[:i]...), list[i+1:]...)
			}
		}
	}
	t.Repeat(map[string]func(*rapid.T){
		"push": func(t *rapid.T) {
			team := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "team")
			w := &route.Waiter{Team: team, Weight: float64(len(team)), Deadline: now.Add(time.Duration(rapid.IntRange(1, 1000).Draw(t, "ms")) * time.Millisecond)}
			evicted, ok := q.Push(now, w, route.Throughput{PerSecond: 100, ServiceTime: time.Millisecond})
			if evicted != nil {
				leave(t, evicted)
			}
			if ok {
				in[w] = true
				order[team] = append(order[team], w)
			}
		},
		"pop": func(t *rapid.T) {
			skip := rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "skip")
			w := q.Pop(func(w *route.Waiter) route.Choice {
				if w.Team == skip {
					return route.Skip
				}
				return route.Take
			})
			if w == nil {
				if len(in) != len(order[skip]) {
					t.Fatalf("popped none of %d requests", len(in))
				}
				return
			}
			if order[w.Team][0] != w {
				t.Fatalf("popped a request that is not the oldest of its team")
			}
			leave(t, w)
		},
		"expire": func(t *rapid.T) {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			for _, w := range q.Expire(now, 0) {
				if !now.After(w.Deadline) {
					t.Fatalf("expired before its deadline")
				}
				leave(t, w)
			}
		},
		"remove": func(t *rapid.T) {
			for w := range in {
				if !q.Remove(w) || q.Remove(w) {
					t.Fatalf("wrong result of Remove")
				}
				leave(t, w)
				break
			}
		},
		"": func(t *rapid.T) {
			if q.Len() != len(in) || q.Len() > bound {
				t.Fatalf("length %d, want %d", q.Len(), len(in))
			}
		},
	})
}

var _ = Describe("Budget", func() {
	// Guards the bound on amplification: retries stay within the burst plus a tenth of the
	// requests.
	It("bounds retries", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			b := route.NewBudget(0, 0)
			requests, retries := 0, 0
			for _, retry := range rapid.SliceOf(rapid.Bool()).Draw(t, "events") {
				if retry && b.Withdraw() {
					retries++
				} else if !retry {
					b.Deposit()
					requests++
				}
				if float64(retries) > route.DefaultRetryBurst+route.DefaultRetryRatio*float64(requests)+1e-6 {
					t.Fatalf("%d retries of %d requests", retries, requests)
				}
			}
		})
	})

	// Guards the bounds of the delay before retries.
	It("backs off within bounds", func() {
		Expect(route.Backoff(1, 0.999)).To(BeNumerically("<", route.BackoffBase))
		for retry := 1; retry < 100; retry++ {
			Expect(route.Backoff(retry, 0.999)).To(BeNumerically("<", route.BackoffMax))
			Expect(route.Backoff(retry, 0)).To(BeZero())
		}
	})

	// Guards the hard bound on a team's requests over all entries.
	It("divides a team's limit exactly", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			names := rapid.SliceOfNDistinct(rapid.StringMatching(`[a-z]{1,4}`), 1, 9, rapid.ID).Draw(t, "entries")
			limit, team := rapid.IntRange(0, 1000).Draw(t, "limit"), rapid.String().Draw(t, "team")
			sum := 0
			for _, n := range names {
				sum += route.LimitShare(limit, team, n, names)
			}
			if sum != limit {
				t.Fatalf("shares add up to %d of %d", sum, limit)
			}
		})
	})
})
