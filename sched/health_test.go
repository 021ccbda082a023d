package sched_test

import (
	"context"
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"turmericroute/batch"
	"turmericroute/sched"
)

// idleFleet is an idle fixture with n workers of 8 accelerators in one rack.
func idleFleet(n int) *fixture {
	f := newIdleFixture()
	for i := range n {
		f.addWorkers("r1", "dc1", fmt.Sprint("w", i))
	}
	return f
}

// turn runs a placement pass and lets all workers report twice, so that they carry out its orders.
func (f *fixture) turn() {
	GinkgoHelper()
	Expect(f.s.Pass(sched.InTime)).Error().NotTo(HaveOccurred())
	for range 2 {
		f.advance(100 * time.Millisecond)
		for name := range f.workers {
			f.heartbeatSoon(name)
		}
	}
	Expect(f.s.CheckKept()).To(Succeed())
}

// heartbeatSoon sends a heartbeat without waiting for a placement pass to answer it.
func (f *fixture) heartbeatSoon(name string) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	f.heartbeatIn(ctx, name)
}

// failOn submits jobs of one task until one runs on a worker, and fails it there.
func (f *fixture) failOn(name string, times int) {
	GinkgoHelper()
	for i := range times {
		id := fmt.Sprintf("fail-%s-%d", name, i)
		f.submit("normal", id, batch.Step{Count: 1, Need: gpus(1), Label: "only-" + name, EstimateMS: 1000})
		f.turn()
		Expect(f.running(id)).To(HaveKeyWithValue(taskID(id, 0, 0), name))
		f.workers[name].end(taskID(id, 0, 0), batch.EndFailed)
		f.heartbeatSoon(name)
		f.cancel("normal", id)
	}
}

// label gives each worker a label that no other has.
func (f *fixture) label() {
	for name, w := range f.workers {
		w.hb.Labels = append(w.hb.Labels, "only-"+name)
		f.heartbeatSoon(name)
	}
}

// work lets all running tasks advance for d.
func (f *fixture) work(d time.Duration, percent func(worker string) int) {
	for range d / (200 * time.Millisecond) {
		f.advance(200 * time.Millisecond)
		for name, w := range f.workers {
			for i := range w.hb.Running {
				w.hb.Running[i].Percent = min(99, w.hb.Running[i].Percent+percent(name))
			}
			f.heartbeatSoon(name)
		}
	}
}

// endComplete ends the tasks that have done all their work.
func (f *fixture) endComplete() {
	for name, w := range f.workers {
		for _, r := range slices.Clone(w.hb.Running) {
			if r.Percent >= 99 {
				w.end(r.Task, batch.EndDone)
			}
		}
		f.heartbeatSoon(name)
	}
}

var _ = Describe("a worker that fails what it starts", func() {
	// Guards against further runs there, by the same and by the next leader, and against a probe that is a gang or the last
	// attempt of a task.
	It("gets one small probe at a time, also from the next leader", func() {
		f := idleFleet(8)
		f.label()
		f.failOn("w0", 2)
		f.submit("normal", "gang", batch.Step{Count: 8, Need: gpus(8), Gang: true, EstimateMS: 1000})
		f.submit("urgent", "urgent", batch.Step{Count: 8, Need: gpus(1), Label: "only-w0", EstimateMS: 1000})
		f.turn()
		Expect(f.starts("gang") + f.starts("urgent")).To(BeZero())

		f.s.End()
		f.s, f.term = sched.New(f.cfg), f.term+1
		f.s.Begin(context.Background(), f.term, f.r)
		for name := range f.workers {
			f.heartbeatSoon(name)
		}
		f.s.ReviewHealth()
		f.turn()
		Expect(f.starts("gang") + f.starts("urgent")).To(BeZero())

		f.work(time.Second, func(string) int { return 0 })
		f.submit("normal", "probe", batch.Step{Count: 4, Need: gpus(1), Label: "only-w0", EstimateMS: 1000})
		f.turn()
		Expect(f.running("probe")).To(HaveLen(1))
		f.cancel("urgent", "urgent")
		f.work(1400*time.Millisecond, func(string) int { return 5 })
		f.turn()
		Expect(f.running("probe")).To(HaveLen(4), "the probe was sound")
	})

	// Load: the last attempt of a task, and room on a worker of which nothing is known. Guards against a job that fails
	// though a proven worker could have run it, and against one that waits for long.
	It("is spared the last attempt of a task, which waits for a proven worker for a bounded time", func() {
		f := idleFleet(4)
		f.label()
		f.submit("normal", "proof", batch.Step{Count: 1, Need: gpus(8), Label: "only-w3", EstimateMS: 9000})
		f.turn()
		f.work(1600*time.Millisecond, func(string) int { return 2 })
		f.submit("normal", "j", batch.Step{Count: 1, Need: gpus(2), EstimateMS: 1000})
		f.turn()
		for _, name := range f.running("j") {
			f.workers[name].end(taskID("j", 0, 0), batch.EndFailed)
			f.heartbeatSoon(name)
		}
		f.turn()
		Expect(f.running("j")).To(BeEmpty(), "the proven worker is full")
		f.workers["w3"].end(taskID("proof", 0, 0), batch.EndDone)
		f.heartbeatSoon("w3")
		f.turn()
		Expect(f.running("j")).To(HaveKeyWithValue(taskID("j", 0, 0), "w3"))

		f.submit("normal", "full", batch.Step{Count: 1, Need: gpus(6), Label: "only-w3", EstimateMS: 9000})
		f.submit("normal", "k", batch.Step{Count: 1, Need: gpus(2), Label: "only-w1", EstimateMS: 1000})
		f.turn()
		f.workers["w1"].end(taskID("k", 0, 0), batch.EndFailed)
		f.heartbeatSoon("w1")
		for range 10 {
			f.turn()
		}
		Expect(f.running("k")).To(HaveLen(1), "no proven worker can ever run it")
	})
})

var _ = Describe("the last attempt of a task", func() {
	// Guards against jobs that fail although they could wait: after 1.8 s the last attempt started on a worker of which
	// nothing was known, while many failed what they started, although its job could still end in time to be of use.
	It("waits for a proven worker as long as its job still gains, and no longer", func() {
		f := idleFleet(4)
		f.label()
		f.submit("normal", "proof", batch.Step{Count: 1, Need: gpus(8), Label: "only-w3", EstimateMS: 60_000})
		f.turn()
		f.work(1600*time.Millisecond, func(string) int { return 2 })
		f.submit("normal", "j", batch.Step{Count: 1, Need: gpus(2), EstimateMS: 1000})
		f.turn()
		for _, name := range f.running("j") {
			f.workers[name].end(taskID("j", 0, 0), batch.EndFailed)
			f.heartbeatSoon(name)
		}
		for waited := time.Duration(0); waited < 9*time.Second; waited += 200 * time.Millisecond {
			f.turn()
			Expect(f.running("j")).To(BeEmpty(), waited.String())
		}
		for range 10 { // three objectives of 4 s, less the time that the task takes
			f.turn()
		}
		Expect(f.running("j")).To(HaveLen(1))
	})
})

var _ = Describe("workers of unlike speed", func() {
	fast := func(name string) bool { return name >= "w6" }
	percent := func(name string) int {
		if fast(name) {
			return 10
		}
		return 5
	}
	// learn runs tasks of a few jobs on all workers, a quarter of which is twice as fast.
	learn := func(f *fixture) {
		for n := range 3 {
			id := fmt.Sprint("learn", n)
			f.submit("normal", id, batch.Step{Count: 8, Need: gpus(8), EstimateMS: 500 * (1 + n)})
			f.turn()
			for range 2 {
				f.work(2*time.Second, percent)
				f.endComplete()
			}
		}
	}
	on := func(f *fixture, job string) (fastWorkers, slowWorkers int) {
		for _, name := range f.running(job) {
			if fast(name) {
				fastWorkers++
			} else {
				slowWorkers++
			}
		}
		return fastWorkers, slowWorkers
	}

	// Load: a quarter of the workers is twice as fast, and estimates are wrong. Guards against a gang that one slow member holds
	// up, and against fast workers that are full of work that could wait.
	It("run urgent gangs on the fast ones, and work with slack on the slow ones", func() {
		f := idleFleet(8)
		learn(f)
		f.submit("normal", "slack", batch.Step{Count: 3, Need: gpus(4), Gang: true, EstimateMS: 1000})
		f.submit("normal", "singles", batch.Step{Count: 4, Need: gpus(2), EstimateMS: 1000})
		f.submit("urgent", "urgent", batch.Step{Count: 2, Need: gpus(8), Gang: true, EstimateMS: 1000})
		f.turn()
		count := func(job string) [2]int {
			a, b := on(f, job)
			return [2]int{a, b}
		}
		Expect(count("slack")).To(Equal([2]int{0, 3}))
		Expect(count("singles")).To(Equal([2]int{0, 4}))
		Expect(count("urgent")).To(Equal([2]int{2, 0}))
	})

	It("run a gang that only both kinds can hold", func() {
		f := idleFleet(8)
		learn(f)
		f.submit("urgent", "j", batch.Step{Count: 6, Need: gpus(8), Gang: true, EstimateMS: 1000})
		f.turn()
		Expect(f.running("j")).To(HaveLen(6))
	})
})
