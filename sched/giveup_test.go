package sched_test

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"turmericroute/batch"
	"turmericroute/sched"
)

// sweepLate lets a sweep give up the runs of silent workers, whose ends are committed late.
func (f *fixture) sweepLate() {
	GinkgoHelper()
	f.r.delayEnds()
	Expect(f.s.Sweep()).NotTo(Succeed())
}

// placedOnSilent returns a fixture with a step that is placed on w1, which falls silent before it hears of that: the answer
// with the order is lost.
func placedOnSilent(step batch.Step) *fixture {
	GinkgoHelper()
	f := newIdleFixture(func(cfg *sched.Config) { cfg.Metrics = metrics.NewSet() })
	f.addWorkers("r1", "dc1", "w1")
	f.submit("normal", "j", step)
	Expect(f.s.Pass(sched.InTime)).To(HaveLen(step.Count))
	f.heartbeatLost("w1")
	f.advance(10 * time.Second)
	return f
}

var _ = Describe("a run that is given up", func() {
	step := batch.Step{Count: 2, Need: gpus(1), EstimateMS: 60_000}

	// Guards against two runs of one task: the worker was heard again before the end of its run was committed, and was
	// ordered to start it; the next run started elsewhere.
	DescribeTable("is not ordered to start before its end is committed",
		func(between func(f *fixture)) {
			f := placedOnSilent(step)
			f.sweepLate()
			between(f)
			for range 3 {
				f.heartbeat("w1")
				f.advance(100 * time.Millisecond)
			}
			f.r.commitLate()
			Expect(f.s.Sweep()).To(Succeed())
			f.addWorkers("r1", "dc1", "w2")
			f.turn()
			Expect(f.running("j")).To(HaveLen(2))
			Expect(f.starts("j")).To(Equal(2))
		},
		Entry("by a leader that has heard the worker before", func(*fixture) {}),
		Entry("by a leader that has forgotten the worker since", func(f *fixture) {
			f.advance(20 * time.Second)
			Expect(f.s.Sweep()).NotTo(Succeed())
		}),
		Entry("by a leader that regains its lease in the same term", func(f *fixture) {
			f.s.End()
			f.s.Begin(GinkgoT().Context(), f.term, f.r)
		}),
		Entry("by a leader that has lost its memory in the same term", func(f *fixture) {
			f.s.Spoil()
			f.s.End()
			f.s.Begin(GinkgoT().Context(), f.term, f.r)
		}),
	)

	// Guards against two runs of one task: as above, where this leader has never heard the worker.
	It("is not ordered to start by a leader that hears the worker for the first time", func() {
		f := placedOnSilent(step)
		f.s = sched.New(f.cfg)
		f.term++
		f.s.Begin(GinkgoT().Context(), f.term, f.r)
		f.advance(10 * time.Second)
		f.sweepLate()
		Expect(f.heartbeat("w1").Starts).To(BeEmpty())
		f.r.commitLate()
		f.turn()
		Expect(f.starts("j")).To(Equal(2))
	})

	// Guards against members that wait in vain for one that does not start.
	It("keeps the other members of its gang from starting", func() {
		f := newIdleFixture()
		f.addWorkers("r1", "dc1", "w1", "w2")
		f.submit("normal", "j", batch.Step{Count: 2, Need: gpus(8), Gang: true, EstimateMS: 60_000})
		Expect(f.s.Pass(sched.InTime)).To(HaveLen(2))
		f.advance(time.Second) // w1 is silent for so long that its machine may have another life
		w3 := f.workers["w1"].hb
		w3.Worker, w3.Incarnation = "w3", 2
		Expect(f.call(sched.Call{Heartbeat: &w3}).err).NotTo(HaveOccurred()) // a later life on the machine of w1
		f.sweepLate()
		Expect(f.heartbeat("w2").Starts).To(BeEmpty())
	})

	// Guards against runs on other workers that restart late: the sweep waited for a commit without a limit.
	It("keeps no other run from being given up while its end is not committed", func() {
		f := placedOnSilent(step)
		f.addWorkers("r1", "dc1", "w2")
		f.submit("normal", "k", batch.Step{Count: 1, Need: gpus(1), EstimateMS: 60_000})
		Expect(f.s.Pass(sched.InTime)).To(HaveLen(1))
		f.r.setStallEnds(true)
		swept := make(chan error, 1)
		sweep := func() { swept <- f.s.Sweep() }
		go sweep()
		Eventually(swept, "5s").Should(Receive(HaveOccurred()))
		f.advance(10 * time.Second)
		go sweep()
		Eventually(swept, "5s").Should(Receive(HaveOccurred()))
		Expect(f.s.GivenUp()).To(Equal(3))
		f.r.setStallEnds(false)
	})

	// Guards against runs that are never ended, since their worker is heard again and the first proposal was lost.
	It("ends when the first proposal of its end is lost, and counts once", func() {
		f := placedOnSilent(step)
		f.sweepLate()
		Expect(f.s.Sweep()).To(Succeed()) // proposes nothing so soon
		f.r.dropLate()
		f.heartbeat("w1")
		f.advance(time.Second)
		Expect(f.s.Sweep()).To(Succeed())
		Expect(f.s.GivenUp()).To(Equal(2))
		Expect(f.s.Sweep()).To(Succeed())
		Expect(f.s.GivenUp()).To(BeZero())
		Expect(f.cfg.Metrics.GetOrCreateCounter(`turmericroute_sched_given_up_runs_total{why="lease_expired"}`).Get()).To(BeEquivalentTo(2))
		f.heartbeat("w1")
		f.turn()
		Expect(f.running("j")).To(HaveLen(2))
	})

	// Guards against a run that goes on beside the next one, should its worker run it against all expectation.
	It("is stopped when its worker reports it before its end is committed", func() {
		f := newIdleFixture()
		f.addWorkers("r1", "dc1", "w1")
		f.submit("normal", "j", step)
		f.turn()
		f.advance(10 * time.Second)
		f.sweepLate()
		Expect(f.heartbeat("w1").Stops).To(HaveLen(2))
	})

	// Guards against two runs of one task: a worker reported the given-up run and was told to stop it, and the next run
	// was placed while it was still stopping.
	DescribeTable("has no successor while its worker reports it as running", func(between func(*fixture, *sched.Heartbeat)) {
		f := newIdleFixture()
		f.addWorkers("r1", "dc1", "w1")
		f.submit("normal", "j", step)
		f.turn()
		f.advance(10 * time.Second)
		f.sweepLate()
		reported := f.workers["w1"].hb
		reported.Seq++
		Expect(f.call(sched.Call{Heartbeat: &reported}).Orders.Stops).To(HaveLen(2))
		f.r.commitLate()
		delete(f.workers, "w1")
		f.addWorkers("r1", "dc1", "w2")
		Expect(f.s.Pass(sched.InTime)).To(BeEmpty())
		Expect(f.s.CheckKept()).To(Succeed())
		between(f, &reported)
		Expect(f.s.Pass(sched.InTime)).To(HaveLen(2))
		Expect(f.s.CheckKept()).To(Succeed())
	},
		Entry("until the worker reports its end", func(f *fixture, hb *sched.Heartbeat) {
			hb.Running, hb.Ended = nil, []sched.RunEnd{{Number: 1, Task: taskID("j", 0, 0), Run: 1, Reason: batch.EndStopped}, {Number: 2, Task: taskID("j", 0, 1), Run: 1, Reason: batch.EndStopped}}
			hb.Seq++
			Expect(f.call(sched.Call{Heartbeat: hb}).err).NotTo(HaveOccurred())
		}),
		Entry("until the lease of the worker has expired", func(f *fixture, _ *sched.Heartbeat) {
			f.advance(10 * time.Second)
			f.heartbeat("w2")
		}),
	)

	// Guards against ends that no line and no figure shows: those that reached the ledger after the wait for them was over.
	DescribeTable("is counted as lost once its end is committed",
		func(commit func(f *fixture)) {
			set := metrics.NewSet()
			f := newIdleFixture(func(cfg *sched.Config) { cfg.Metrics = set })
			f.addWorkers("r1", "dc1", "w1")
			f.submit("normal", "j", step)
			f.turn()
			f.advance(10 * time.Second)
			commit(f)
			Expect(f.s.Sweep()).To(Succeed())
			Expect(set.GetOrCreateCounter(`turmericroute_sched_lost_runs_total{cause="worker_lost"}`).Get()).To(BeEquivalentTo(2))
		},
		Entry("in time", func(*fixture) {}),
		Entry("late", func(f *fixture) {
			f.sweepLate()
			f.r.commitLate()
		}),
	)
})

// placeOnSilent places a gang of two on two of four workers, one of which is silent from then on. It returns that worker once
// the others have been heard for d.
func (f *fixture) placeOnSilent(d time.Duration, before func(silent string)) string {
	GinkgoHelper()
	f.submit("normal", "j", batch.Step{Count: 2, Need: gpus(8), Gang: true, EstimateMS: 60_000})
	starts, err := f.s.Pass(sched.InTime)
	Expect(err).NotTo(HaveOccurred())
	Expect(starts).To(HaveLen(2))
	silent := starts[0].Worker
	before(silent)
	worker := f.workers[silent]
	delete(f.workers, silent)
	for range d / (200 * time.Millisecond) {
		f.turn()
		Expect(f.s.Sweep()).To(Succeed())
	}
	f.workers[silent] = worker
	return silent
}

var _ = Describe("a gang that is placed on a worker which falls silent", func() {
	const soon = 2 * time.Second // within the lease

	// Guards against large gangs that wait for a lease under which nothing runs: one of their many workers falls silent between
	// the placement and the order to start.
	It("starts elsewhere soon if the worker has not been ordered to start its member", func() {
		f := idleFleet(4)
		silent := f.placeOnSilent(soon, func(string) {})
		Expect(f.running("j")).To(HaveLen(2))
		Expect(f.running("j")).NotTo(ContainElement(silent))
		Expect(f.heartbeat(silent).Starts).To(BeEmpty())
	})

	// Guards against two runs of one task: a worker may have received an order although it is silent since.
	DescribeTable("waits for the lease if the worker may have been ordered to start its member",
		func(first func(f *fixture), before func(f *fixture, silent string)) {
			f := idleFleet(4)
			first(f)
			f.placeOnSilent(soon, func(silent string) { before(f, silent) })
			for _, w := range f.workers {
				for _, s := range w.started {
					Expect(s.Run).To(Equal(1))
				}
			}
		},
		Entry("by this leader", func(*fixture) {}, func(f *fixture, silent string) { f.heartbeatSoon(silent) }),
		Entry("by an earlier one", func(*fixture) {}, func(f *fixture, _ string) {
			f.s.End()
			f.s, f.term = sched.New(f.cfg), f.term+1
			f.s.Begin(GinkgoT().Context(), f.term, f.r)
			f.turn()
		}),
		Entry("by a call that was at work when this leader lost its memory", func(f *fixture) {
			f.s.Spoil()
			f.s.End()
			f.s.Begin(GinkgoT().Context(), f.term, f.r)
			f.turn()
		}, func(*fixture, string) {}),
	)
})
