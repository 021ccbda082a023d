package fleet_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"turmericroute/batch"
	"turmericroute/fleet"
)

// bench drives a model with workers named w0, w1 and so on.
type bench struct {
	*fleet.Model
	workers []*fleet.Worker
	now     time.Duration
	tasks   int
}

func newBench(workers int) *bench {
	b := &bench{Model: fleet.New(), now: time.Minute}
	for i := range workers {
		b.join(i, batch.Health{})
	}
	return b
}

func (b *bench) join(i int, known batch.Health) []fleet.Event {
	w, events := b.Join(fmt.Sprintf("w%d", i), fleet.Profile{Service: "svc", Size: 1}, known, b.now)
	if i == len(b.workers) {
		b.workers = append(b.workers, nil)
	}
	b.workers[i] = w
	return events
}

// run returns the first run of a new task of a job.
func (b *bench) run(job string) fleet.RunID {
	b.tasks++
	id := fleet.RunID{Task: batch.TaskID{Job: job, Index: b.tasks}, Run: 1}
	b.Placed("svc", id, false, b.now)
	return id
}

// fail lets a run of a job fail at once on a worker.
func (b *bench) fail(i int, job string) []fleet.Event {
	b.now += 10 * time.Millisecond
	return b.End(b.workers[i], b.run(job), batch.EndFailed, false, b.now)
}

// work reports the progress of a run at its start, at half and at its end, which it reaches after d.
func (b *bench) work(i int, job string, d time.Duration) []fleet.Event {
	w, id := b.workers[i], b.run(job)
	w.Heard(b.now)
	var events []fleet.Event
	for _, percent := range []int{0, 2, 50} {
		events = append(events, b.Report(w, fleet.Progress{RunID: id, Percent: percent, Estimate: time.Second}, b.now+d*time.Duration(percent)/100)...)
	}
	return append(events, b.End(w, id, batch.EndDone, false, b.now+d)...)
}

func (b *bench) state(i int) fleet.State { return b.State(b.workers[i], b.now) }

func (b *bench) out() (n int) {
	for i := range b.workers {
		if b.state(i) == fleet.Probation {
			n++
		}
	}
	return n
}

var _ = Describe("the speed of workers", func() {
	// Load: a quarter of the workers is twice as fast, tasks of one step differ by a fifth, 3 % take seven times as long, and
	// estimates are off by half. Guards against slow workers, long tasks and bad estimates being taken for each other.
	It("is told apart within ten ends of each worker", func() {
		rnd := rand.New(rand.NewPCG(1, 2))
		b := newBench(40)
		factor := func(i int) float64 {
			if i%4 == 0 {
				return 2
			}
			return 1
		}
		for step := range 40 {
			length := math.Exp(0.5 * rnd.NormFloat64()) // in units of the estimate
			for range 10 {
				i := rnd.IntN(40)
				d := length * 3 / factor(i) * math.Exp(0.2*rnd.NormFloat64())
				if rnd.IntN(100) < 3 {
					d *= 7
				}
				b.work(i, fmt.Sprint("j", step), time.Duration(d*float64(time.Second)))
			}
			b.now += 100 * time.Millisecond
		}
		wrong := 0
		for i, w := range b.workers {
			if got := w.Speed(); !got.Known() || got.Class() != int(math.Log2(factor(i))) {
				wrong++
			}
		}
		Expect(wrong).To(BeNumerically("<=", 2), "of 40 workers")
	})

	It("is that of its recent runs when a worker becomes slower", func() {
		b := newBench(8)
		round := func(job string, slow time.Duration) {
			for i := range b.workers {
				d := 2 * time.Second
				if i == 0 {
					d = slow
				}
				b.work(i, job, d)
			}
		}
		for n := range 10 {
			round(fmt.Sprint("a", n), 2*time.Second)
		}
		Expect(b.workers[0].Speed().Class()).To(Equal(0))
		for n := range 6 {
			round(fmt.Sprint("b", n), 6*time.Second)
		}
		Expect(b.workers[0].Speed().Factor).To(BeNumerically("~", 1.0/3, 0.05))
	})

	// A member that is done waits at 100 percent for its gang. Guards against that time being taken for work.
	It("is not that of the slowest member of a gang", func() {
		b := newBench(9)
		for gang := range 3 {
			for percent := 0; percent <= 100; percent += 10 {
				for i, w := range b.workers {
					p := percent
					if i == 0 {
						p = min(100, 2*percent)
					}
					id := fleet.RunID{Task: batch.TaskID{Job: fmt.Sprint("g", gang), Index: i}, Run: 1}
					b.Report(w, fleet.Progress{RunID: id, Percent: p, Gang: true}, b.now)
				}
				b.now += 200 * time.Millisecond
			}
		}
		Expect(b.workers[0].Speed().Factor).To(BeNumerically("~", 2, 0.1))
		Expect(b.workers[1].Speed().Factor).To(BeNumerically("~", 1, 0.1))
	})

	// Load: fast workers are measured first, since they advance sooner. Guards against a scale that is theirs alone, and so
	// against slow workers that look slower than they are.
	It("is compared once most workers of a step are measured", func() {
		b := newBench(20)
		ids := make([]fleet.RunID, 20)
		for percent := 0; percent <= 40; percent += 2 {
			for i, w := range b.workers {
				if ids[i] == (fleet.RunID{}) {
					ids[i] = b.run("j")
				}
				p := percent
				if i < 5 {
					p = 2 * percent
				}
				b.Report(w, fleet.Progress{RunID: ids[i], Percent: p, Gang: true, Fresh: true}, b.now)
				Expect(w.Speed().Class()).To(BeNumerically(">=", 0))
			}
			b.now += 100 * time.Millisecond
		}
		Expect(b.workers[0].Speed().Class()).To(Equal(1))
		Expect(b.workers[19].Speed().Class()).To(Equal(0))
	})

	It("is known to the next leader", func() {
		b := newBench(0)
		b.join(0, batch.Health{SpeedPercent: 210})
		Expect(b.workers[0].Speed().Class()).To(Equal(1))
		Expect(b.Health(b.workers[0])).To(Equal(batch.Health{SpeedPercent: 210}))
	})
})

var _ = Describe("a worker that fails what it starts", func() {
	// Load: workers that fail every run at once, of many jobs. Guards against a third run there.
	It("is taken out within two failures in a row", func() {
		b := newBench(20)
		Expect(b.fail(0, "a")).To(BeEmpty())
		Expect(b.state(0)).To(Equal(fleet.Suspect))
		events := b.fail(0, "b")
		Expect(events).To(HaveLen(1))
		Expect(events[0].Kind).To(Equal(fleet.TakenOut))
		Expect(b.state(0)).To(Equal(fleet.Probation))
	})

	// Guards against a single job whose tasks all land on one worker being taken for the job's own fault.
	It("is taken out by one job that is sound elsewhere", func() {
		b := newBench(20)
		b.work(1, "a", 2*time.Second)
		b.fail(0, "a")
		b.fail(0, "a")
		Expect(b.state(0)).To(Equal(fleet.Probation))
	})

	// Load: 4 % of all tasks fail by themselves, anywhere and at any time of their run.
	It("is told from workers whose tasks fail by themselves now and then", func() {
		type active struct {
			fleet.RunID
			worker       int
			began, endAt time.Duration
			how          batch.EndReason
		}
		const length = 2 * time.Second
		rnd := rand.New(rand.NewPCG(3, 4))
		b := newBench(50)
		var runs []active
		out, most := 0, 0
		for n := range 10000 {
			b.now += 10 * time.Millisecond
			for _, w := range b.workers {
				w.Heard(b.now - 50*time.Millisecond)
			}
			r := active{RunID: b.run(fmt.Sprint("j", n/20)), worker: rnd.IntN(50), began: b.now, endAt: b.now + length, how: batch.EndDone}
			if rnd.IntN(100) < 4 {
				r.endAt, r.how = b.now+time.Duration(rnd.Int64N(int64(length))), batch.EndFailed
			}
			runs = slices.DeleteFunc(append(runs, r), func(r active) bool {
				if b.now >= r.endAt {
					b.End(b.workers[r.worker], r.RunID, r.how, false, b.now)
					return true
				}
				if n%10 == 0 {
					b.Report(b.workers[r.worker], fleet.Progress{RunID: r.RunID, Percent: int(100 * (b.now - r.began) / length)}, b.now)
				}
				return false
			})
			b.Tick(b.now)
			out += b.out()
			most = max(most, b.out())
		}
		Expect(most).To(BeNumerically("<=", 3), "of 50 workers at once")
		Expect(out).To(BeNumerically("<=", 5000), "on average half a worker of 50")
	})

	// Load: jobs none of whose tasks can be done, on workers that are sound.
	It("is told from workers that run a job which fails everywhere", func() {
		b := newBench(20)
		for range 4 {
			for i := range b.workers {
				b.fail(i, "poison")
				Expect(b.out()).To(BeZero())
				if i%2 == 0 {
					b.work(i, "sound", time.Second)
				}
			}
		}
	})

	It("comes back at once when its failures turn out to be those of the jobs", func() {
		b := newBench(20)
		b.fail(0, "p1")
		b.fail(0, "p2")
		Expect(b.state(0)).To(Equal(fleet.Probation))
		for _, job := range []string{"p1", "p2"} {
			for i := 1; i < 6; i++ {
				b.fail(i, job)
				b.work(i, "sound", time.Second)
			}
		}
		events := b.Tick(b.now)
		Expect(events).To(ContainElement(HaveField("Kind", fleet.Returned)))
		Expect(b.out()).To(BeZero())
	})

	// Guards against taking out so many workers that the others cannot carry the load.
	It("stays in service beyond a quarter of the capacity", func() {
		b := newBench(20)
		for i := range 12 {
			b.fail(i, fmt.Sprint("a", i))
			b.fail(i, fmt.Sprint("b", i))
		}
		Expect(b.out()).To(Equal(5))
		Expect(b.Standing(b.workers[11], b.now).Failing).To(BeTrue())
	})

	It("is probed with exponential backoff and returns when a probe is sound", func() {
		b := newBench(20)
		b.fail(0, "a")
		b.fail(0, "b")
		w := b.workers[0]
		Expect(w.ProbeDue(b.now)).To(BeFalse())
		for _, backoff := range []time.Duration{500 * time.Millisecond, time.Second, 2 * time.Second} {
			Expect(w.ProbeDue(b.now + backoff - time.Millisecond)).To(BeFalse())
			b.now += backoff
			Expect(w.ProbeDue(b.now)).To(BeTrue())
			probe := b.run("probe")
			w.BeginProbe(probe, b.now)
			Expect(w.ProbeDue(b.now)).To(BeFalse(), "one probe at a time")
			Expect(w.Excludes(probe)).To(BeFalse())
			Expect(w.Excludes(b.run("other"))).To(BeTrue())
			b.End(w, probe, batch.EndFailed, false, b.now)
		}
		b.now += 4 * time.Second
		probe := b.run("probe")
		w.BeginProbe(probe, b.now)
		w.Heard(b.now)
		b.Report(w, fleet.Progress{RunID: probe}, b.now)
		b.Report(w, fleet.Progress{RunID: probe, Percent: 5}, b.now+500*time.Millisecond)
		Expect(b.state(0)).To(Equal(fleet.Probation), "it has not been at work for long")
		b.now += time.Second
		Expect(b.Report(w, fleet.Progress{RunID: probe, Percent: 10}, b.now)).To(ConsistOf(HaveField("Kind", fleet.Returned)))
		Expect(b.state(0)).To(Equal(fleet.Proven))
	})

	It("returns when there is no task to probe it with", func() {
		b := newBench(20)
		b.fail(0, "a")
		b.fail(0, "b")
		b.now += 11 * time.Second
		Expect(b.Tick(b.now)).To(ConsistOf(HaveField("Kind", fleet.Returned)))
		Expect(b.Tick(b.now)).To(BeEmpty())
	})

	// Load: runs that fail after three seconds of work. Guards against their early progress being taken for soundness.
	It("is taken out also if its runs fail late", func() {
		b := newBench(20)
		for n := range 2 {
			id := b.run(fmt.Sprint("j", n))
			for percent := range 4 {
				b.Report(b.workers[0], fleet.Progress{RunID: id, Percent: 10 * percent}, b.now)
				b.now += time.Second
			}
			b.End(b.workers[0], id, batch.EndFailed, false, b.now)
		}
		Expect(b.state(0)).To(Equal(fleet.Probation))
	})

	// Load: a tenth of the workers begins to fail all at once. Guards against trust in what they did before.
	It("is taken out at its first failure while many fail, and only later runs prove the others", func() {
		b := newBench(40)
		for i := range b.workers {
			b.work(i, "before", time.Second)
		}
		b.now += 2 * time.Second
		Expect(b.state(20)).To(Equal(fleet.Proven))
		for i := range 4 {
			b.fail(i, fmt.Sprint("j", i))
		}
		b.Tick(b.now)
		Expect(b.out()).To(Equal(4))
		Expect(b.state(20)).To(Equal(fleet.Unproven))
		b.work(20, "after", time.Second)
		Expect(b.state(20)).To(Equal(fleet.Proven))
		b.now += 5 * time.Second
		b.Tick(b.now)
		Expect(b.state(21)).To(Equal(fleet.Proven), "the failures have ended")
	})

	// Guards against a new leader that gives such a worker two further runs.
	It("is known to the next leader, and to none after its restart", func() {
		b := newBench(20)
		b.fail(0, "a")
		b.fail(0, "b")
		health := b.Health(b.workers[0])
		next := newBench(20)
		Expect(next.join(0, health)).To(ConsistOf(HaveField("Kind", fleet.TakenOut)))
		next.join(0, batch.Health{})
		Expect(next.state(0)).To(Equal(fleet.Unproven))
	})

	It("counts an end that is reported again once", func() {
		b := newBench(20)
		id := b.run("a")
		for range 3 {
			b.End(b.workers[0], id, batch.EndFailed, false, b.now)
		}
		Expect(b.state(0)).To(Equal(fleet.Suspect))
	})
})
