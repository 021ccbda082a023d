package sched_test

import (
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"turmericroute/batch"
	"turmericroute/sched"
)

// goOn lets clock time pass in which the idle workers are heard from and begin nothing, and all others work.
func (f *fixture) goOn(d time.Duration, idle ...string) {
	GinkgoHelper()
	for range d / (200 * time.Millisecond) {
		f.advance(200 * time.Millisecond)
		for _, name := range idle {
			f.heartbeatLost(name)
		}
		for name := range f.workers {
			if !slices.Contains(idle, name) {
				f.heartbeatSoon(name)
			}
		}
		Expect(f.s.Sweep()).To(Succeed())
		Expect(f.s.Pass(sched.InTime)).Error().NotTo(HaveOccurred())
		Expect(f.s.CheckKept()).To(Succeed())
	}
}

var _ = Describe("a worker that begins no run that it is told to start", func() {
	// Guards against jobs that stay pending while other workers are idle: the order was repeated without a limit, and the
	// task was placed on the same worker again.
	DescribeTable("leaves its runs to others",
		func(step batch.Step, newLeader bool) {
			f := newIdleFixture()
			f.advance(10 * time.Second) // early in a term a run may have been ordered by the leader before
			f.addWorkers("r1", "dc1", "w1")
			f.submit("normal", "j", step)
			f.goOn(400*time.Millisecond, "w1")
			Expect(f.runsOn("w1")).To(BeNumerically(">", 0))
			f.addWorkers("r1", "dc1", "w2", "w3")
			most := 4 * time.Second
			if newLeader {
				f.s.End()
				f.s = sched.New(f.cfg)
				f.term++
				f.s.Begin(GinkgoT().Context(), f.term, f.r)
				most += 8 * time.Second // a new leader waits for the leases of the one before
			}
			f.goOn(most, "w1")
			Expect(f.running("j")).To(HaveLen(step.Count))
			Expect(f.runsOn("w1")).To(BeZero())
		},
		Entry("if they are of single tasks", batch.Step{Count: 3, Need: gpus(1), EstimateMS: 60_000}, false),
		Entry("if they are of single tasks, under the next leader", batch.Step{Count: 3, Need: gpus(1), EstimateMS: 60_000}, true),
		Entry("if they are of a gang", batch.Step{Count: 2, Need: gpus(3), Gang: true, EstimateMS: 60_000}, false),
	)

	// Guards against a sound worker that is kept off new runs, and against a job that waits longer for it.
	It("is told again and keeps its runs if few answers are lost", func() {
		f := newIdleFixture()
		f.addWorkers("r1", "dc1", "w1")
		f.submit("normal", "j", batch.Step{Count: 1, Need: gpus(1), EstimateMS: 60_000})
		Expect(f.s.Pass(sched.InTime)).To(HaveLen(1))
		for range 3 {
			f.heartbeatLost("w1")
			f.advance(time.Second)
		}
		f.goOn(400 * time.Millisecond)
		Expect(f.running("j")).To(HaveLen(1))
		Expect(f.starts("j")).To(Equal(1))
	})

	// Guards against a worker that is kept off new runs for good.
	It("gets runs again after a rest", func() {
		f := newIdleFixture()
		f.addWorkers("r1", "dc1", "w1")
		f.submit("normal", "j", batch.Step{Count: 1, Need: gpus(1), EstimateMS: 60_000})
		f.goOn(20*time.Second, "w1")
		Expect(f.running("j")).To(BeEmpty())
		f.goOn(20 * time.Second)
		Expect(f.running("j")).To(HaveLen(1))
	})
})
