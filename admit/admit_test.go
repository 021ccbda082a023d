package admit_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"turmericroute/admit"
)

const second = time.Second

var _ = Describe("Rank", func() {
	DescribeTable("places first what loses most by waiting",
		func(first, second admit.Job) {
			Expect(first.Rank().Compare(second.Rank())).To(BeNumerically("<", 0))
			Expect(second.Rank().Compare(first.Rank())).To(BeNumerically(">", 0))
		},
		Entry("the more urgent", admit.Job{Objective: 9 * second, Path: second}, admit.Job{Priority: 1, Objective: 3 * second, Path: second}),
		Entry("the one with less slack, although its objective is later", admit.Job{Objective: 9 * second, Path: 6 * second}, admit.Job{Objective: 4 * second, Path: second}),
		Entry("the one that can meet its objective", admit.Job{Objective: 9 * second, Path: second}, admit.Job{Age: 2 * second, Objective: 2 * second, Path: second}),
		Entry("the one that still gains, although it is less urgent", admit.Job{Priority: 2, Objective: 9 * second, Path: second}, admit.Job{Age: 9 * second, Objective: 2 * second, Path: second}),
		Entry("of late ones the smaller, so that more of them gain", admit.Job{Age: 3 * second, Objective: 2 * second, Path: second, Work: second}, admit.Job{Age: 4 * second, Objective: 2 * second, Path: second, Work: 9 * second}),
		Entry("the promoted one", admit.Job{Priority: 2, Promoted: true, Age: 91 * second, Objective: 9 * second, Path: second}, admit.Job{Objective: 2 * second, Path: second}),
		Entry("the earlier of two without an objective", admit.Job{Age: 2 * second}, admit.Job{Age: second}),
	)
})

var _ = Describe("the forecast", func() {
	arrive := func(f *admit.Forecast, from, to time.Duration, priority int) {
		for at := from; at < to; at += 100 * time.Millisecond {
			f.Note(at, admit.Queue{Service: "svc", Priority: priority}, []admit.Demand{{GPUs: 20, Duration: 2 * second}})
		}
	}

	// Guards against room that is kept for work that does not come.
	It("covers a burst while it lasts and forgets it afterwards", func() {
		var f admit.Forecast
		arrive(&f, 0, 20*second, 0)
		// Ten gangs of 20 accelerators a second, for 2 s each, are 400 in use at once, with a deviation of 89.
		Expect(f.MoreUrgent(20*second, "svc", 1).GPUs).To(BeNumerically("~", 480, 30))
		Expect(f.MoreUrgent(20*second, "svc", 1).Gang).To(Equal(20))
		Expect(f.MoreUrgent(45*second, "svc", 1)).To(Equal(admit.Need{}))
	})

	// Guards against racks that stand empty for estimates that are ten times too long.
	It("is reduced where more estimated work ends than the accelerators in use can do", func() {
		need := admit.Need{GPUs: 300, Gang: 20}
		Expect(need.Calibrated(100, 1000)).To(Equal(admit.Need{GPUs: 30, Gang: 20}))
		Expect(need.Calibrated(100, 50)).To(Equal(need))
		Expect(need.Calibrated(100, 0)).To(Equal(need))
	})

	It("counts more urgent queues of the same service only", func() {
		var f admit.Forecast
		arrive(&f, 0, 20*second, 1)
		Expect(f.MoreUrgent(20*second, "svc", 1)).To(Equal(admit.Need{}))
		Expect(f.MoreUrgent(20*second, "other", 2)).To(Equal(admit.Need{}))
		Expect(f.MoreUrgent(20*second, "svc", 2).GPUs).To(BeNumerically(">", 0))
	})
})

var _ = Describe("Decide", func() {
	job := admit.Job{Priority: 2, Objective: 20 * second, Path: 6 * second}
	load := admit.Load{Utilisation: 0.9, Forecast: admit.Need{GPUs: 100, Gang: 20}, Held: 60}

	It("defers work with slack for forecast work, until its latest start", func() {
		Expect(admit.Decide(job, 0, load)).To(Equal(admit.Decision{Defer: true, Reason: admit.ForForecasts, Until: 11 * second}))
	})

	// Guards against jobs with much slack by their estimates of which a last task, and so all that depends on it, gives way
	// for most of a minute.
	It("defers for a limited time, whatever the slack, and briefly once the job has begun", func() {
		patient := admit.Job{Priority: 2, Objective: 160 * second, Path: 53 * second}
		Expect(admit.Decide(patient, 19*second, load)).To(Equal(admit.Decision{Defer: true, Reason: admit.ForForecasts, Until: second}))
		Expect(admit.Decide(patient, 20*second, load)).To(Equal(admit.Decision{Reason: admit.WaitedLong}))
		patient.Begun = true
		Expect(admit.Decide(patient, 2*second, load)).To(Equal(admit.Decision{Defer: true, Reason: admit.ForForecasts, Until: second}))
		Expect(admit.Decide(patient, 3*second, load)).To(Equal(admit.Decision{Reason: admit.WaitedLong}))
	})

	DescribeTable("starts work",
		func(j admit.Job, l admit.Load, why admit.Reason) {
			Expect(admit.Decide(j, 0, l)).To(Equal(admit.Decision{Reason: why}))
		},
		Entry("at its latest start", admit.Job{Priority: 2, Age: 11 * second, Objective: 20 * second, Path: 6 * second}, load, admit.LatestStart),
		Entry("without an objective", admit.Job{Priority: 2, Path: 6 * second}, load, admit.NoObjective),
		Entry("while much room is idle", job, admit.Load{Utilisation: 0.59, Forecast: load.Forecast}, admit.LowUse),
		Entry("while the urgent work has what it needs", job, admit.Load{Utilisation: 0.9, Forecast: load.Forecast, Held: 100}, admit.NoHeadroom),
	)
})

var _ = Describe("KeepRacks", func() {
	// Guards against headroom in scattered accelerators, on which no gang fits.
	It("counts only whole gangs", func() {
		racks := []admit.Rack{{Name: "a", Free: 19}, {Name: "b", Free: 45}, {Name: "c", Free: 30}, {Name: "d", Free: 2}}
		Expect(admit.KeepRacks(racks, 60, 20)).To(Equal(map[string]bool{"b": true, "c": true}))
		Expect(admit.KeepRacks(racks, 70, 20)).To(HaveLen(4))
		Expect(admit.KeepRacks(racks, 0, 20)).To(BeEmpty())
	})

	// Guards against racks that take turns, so that none is ever emptied of other work.
	It("goes on keeping a rack that has a little less room than another", func() {
		racks := []admit.Rack{{Name: "a", Free: 22}, {Name: "b", Free: 20, Kept: true}}
		Expect(admit.KeepRacks(racks, 20, 20)).To(Equal(map[string]bool{"b": true}))
	})
})

var _ = Describe("endless urgent load", func() {
	const step = 100 * time.Millisecond
	type work struct {
		admit.Job
		id       string
		accepted time.Duration
		gpus     int
	}

	// play plays ten minutes in a room of 100 accelerators, for which about twice as much urgent work comes and, once in
	// ten seconds, work with slack. It returns how long the latter has waited at most.
	play := func(rnd *rand.Rand) (longest time.Duration) {
		var f admit.Forecast
		var promotion admit.Promotion
		var waiting []*work
		ends := map[time.Duration]int{}
		free, jobs := 100, 0
		for now := time.Duration(0); now < 10*time.Minute; now += step {
			free += ends[now]
			add := func(priority, gpus int, objective, path time.Duration) {
				jobs++
				waiting = append(waiting, &work{Job: admit.Job{Priority: priority, Objective: objective, Path: path}, id: fmt.Sprint(jobs), accepted: now, gpus: gpus})
				f.Note(now, admit.Queue{Priority: priority}, []admit.Demand{{GPUs: gpus, Duration: path}})
			}
			if rnd.IntN(3) > 0 {
				add(0, 10+rnd.IntN(10), 3*second, 2*second)
			}
			if rnd.IntN(100) == 0 {
				add(2, 1+rnd.IntN(10), 18*second, 4*second)
			}
			load := admit.Load{Utilisation: 1 - float64(free)/100, Forecast: f.MoreUrgent(now, "", 2)}
			for _, w := range waiting {
				w.Age, w.Work = now-w.accepted, time.Duration(w.gpus)*w.Path
				if w.Priority == 0 {
					load.Waiting += w.gpus
				} else {
					longest = max(longest, w.Age)
				}
			}
			// Callers cancel urgent jobs whose results are of no more use, or their number would grow without end.
			waiting = slices.DeleteFunc(waiting, func(w *work) bool { return w.Priority == 0 && w.Value() == admit.None })
			promoted := promotion.Next(now, func(yield func(string, admit.Job) bool) {
				for _, w := range waiting {
					if !yield(w.id, w.Job) {
						return
					}
				}
			})
			for _, w := range waiting {
				w.Promoted = w.id == promoted
			}
			slices.SortStableFunc(waiting, func(a, b *work) int { return a.Rank().Compare(b.Rank()) })
			blocked := false
			waiting = slices.DeleteFunc(waiting, func(w *work) bool {
				d := admit.Decide(w.Job, w.Age, load)
				if d.Defer {
					Expect(w.Slack()).To(BeNumerically(">", 0), "deferred beyond its latest start")
				}
				// The room is held for the first job that does not fit.
				blocked = blocked || w.gpus > free
				if blocked || d.Defer {
					return false
				}
				free -= w.gpus
				ends[now+w.Path] += w.gpus
				return true
			})
		}
		return longest
	}

	// Guards against starvation by more urgent work that never ends.
	It("delays work with slack until it is overdue at most, and then by what is promoted before it", func() {
		const overdue, toDrain, promotions = 180 * second, 5 * second, 20 * second
		for seed := range uint64(10) {
			longest := play(rand.New(rand.NewPCG(seed, 7)))
			Expect(longest).To(BeNumerically("<=", overdue+toDrain+promotions), "seed %d", seed)
			Expect(longest).To(BeNumerically(">", 10*second), "seed %d: the load is no burden", seed)
		}
	})
})

var _ = Describe("a wave of submissions that cannot be served", func() {
	room := admit.Room{GPUs: 100, Rate: 60, Ahead: 100 * 40 * second}
	job := admit.Job{Objective: 5 * second, Path: 2 * second, Work: 50 * second}

	It("is refused only where it certainly ends too late", func() {
		_, refuse := admit.Refuse(job, room)
		Expect(refuse).To(BeTrue())
		_, refuse = admit.Refuse(job, admit.Room{GPUs: 100, Rate: 60, Ahead: 100 * 25 * second}) // at half the estimate in time
		Expect(refuse).To(BeFalse())
		_, refuse = admit.Refuse(admit.Job{Path: 2 * second}, room)
		Expect(refuse).To(BeFalse(), "a job without an objective")
		_, refuse = admit.Refuse(job, admit.Room{GPUs: 100, Ahead: room.Ahead})
		Expect(refuse).To(BeFalse(), "too few ends are known")
	})

	// Guards against refusals that rest on estimates alone, which may be ten times too long.
	It("is accepted where ends show that the work ahead takes less than estimated", func() {
		var ended admit.Throughput
		for i := range 300 {
			ended.Note(time.Duration(i)*100*time.Millisecond, 40*second) // 10 a second
		}
		rate := ended.Rate(30 * second)
		Expect(rate).To(BeNumerically("~", 400, 40))
		_, refuse := admit.Refuse(job, admit.Room{GPUs: 100, Rate: rate, Ahead: room.Ahead})
		Expect(refuse).To(BeFalse())
		Expect(ended.Rate(90 * second)).To(BeZero())
	})

	// Guards against callers who return together, find no room and are refused again.
	It("returns spread over the time in which it can be served, and is served then", func() {
		var returns admit.Returns
		now := 1000*second + 300*time.Millisecond
		back := map[time.Duration]int{}
		for range 30 {
			wait, refuse := admit.Refuse(job, room)
			Expect(refuse).To(BeTrue())
			back[now+returns.Tell(now, wait, job.Work, room)]++
		}
		Expect(back).To(HaveLen(30), "one each half a second, the work of a job")
		for at := range back {
			// Whoever returns finds what has not drained of the work that was ahead, and of those who returned before.
			ahead := max(0, room.Ahead-time.Duration(room.GPUs)*(at-now))
			for earlier := range back {
				if earlier < at {
					ahead += job.Work
				}
			}
			_, refuse := admit.Refuse(job, admit.Room{GPUs: room.GPUs, Rate: room.Rate, Ahead: ahead})
			Expect(refuse).To(BeFalse(), fmt.Sprint(at))
		}
	})

	It("is told a time within bounds, whatever waits and however many come", func() {
		var returns admit.Returns
		seconds := map[time.Duration]int{}
		for range 300 {
			seconds[returns.Tell(0, time.Hour, 300*second, room)]++
		}
		Expect(seconds).To(HaveLen(30))
		for at, n := range seconds {
			Expect(at).To(And(BeNumerically(">=", 30*second), BeNumerically("<=", 60*second)))
			Expect(n).To(Equal(10))
		}
		Expect(returns.Tell(0, 0, second, room)).To(Equal(second))
	})
})
