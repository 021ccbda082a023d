package sched_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"turmericroute/batch"
	"turmericroute/sched"
)

// loseHeartbeat sends a worker's heartbeat, whose answer is lost.
func (f *fixture) loseHeartbeat(name string) *sched.Orders {
	w := f.workers[name]
	w.hb.Seq++
	hb := w.hb
	a := f.call(sched.Call{Heartbeat: &hb})
	Expect(a.err).NotTo(HaveOccurred())
	return a.Orders
}

var _ = Describe("a run whose end is not committed in time", func() {
	// Guards against two runs of one task: an end was committed late, the run was ordered to start meanwhile, and its
	// successor started elsewhere after the commit.
	It("is not ordered to start once it was found never to have started", func() {
		f := newFixture()
		f.addWorkers("r1", "dc1", "w1")
		f.submit("normal", "j", batch.Step{Count: 1, Need: gpus(1), EstimateMS: 60_000})
		Eventually(func() (n int) {
			f.r.machine.Batch().View(func(b *batch.State) { n = len(b.Runs["w1"]) })
			return n
		}).Should(Equal(1))
		Expect(f.setOutage("dc1", true)).To(Succeed())
		Expect(f.loseHeartbeat("w1").Stops).To(HaveLen(1))
		Expect(f.setOutage("dc1", false)).To(Succeed())
		f.r.delayEnds()
		Expect(f.heartbeat("w1").Starts).To(BeEmpty())
		Expect(f.heartbeat("w1").Starts).To(BeEmpty())
		f.r.commitLate()
		f.awaitRunning("j", 1)
		Expect(f.starts("j")).To(Equal(1))
	})

	// Guards against orders that a worker must refuse, for a run whose end it has reported.
	It("is not ordered to start once its worker has reported the end", func() {
		f := newFixture()
		f.addWorkers("r1", "dc1", "w1")
		f.submit("normal", "j", batch.Step{Count: 1, Need: gpus(1), EstimateMS: 60_000})
		f.awaitRunning("j", 1)
		f.r.delayEnds()
		f.workers["w1"].end(taskID("j", 0, 0), batch.EndDone)
		for range 3 {
			orders := f.heartbeat("w1")
			Expect(orders.Starts).To(BeEmpty())
			Expect(orders.AckedThrough).To(BeZero())
			f.advance(100 * time.Millisecond)
		}
		f.r.commitLate()
		Expect(f.heartbeat("w1").AckedThrough).To(Equal(int64(1)))
		Expect(f.state("normal", "j")).To(Equal(sched.StateSucceeded))
	})
})

var _ = Describe("a repeated order to start a run", func() {
	// Guards against two runs of one task: a worker that has the run refuses the order, which counted as the end of the run.
	It("does not end the run when the worker refuses it", func() {
		f := newFixture()
		f.addWorkers("r1", "dc1", "w1", "w2")
		f.submit("normal", "j", batch.Step{Count: 1, Need: gpus(1), EstimateMS: 60_000})
		f.awaitRunning("j", 1)
		w := f.workers[f.running("j")[taskID("j", 0, 0)]]
		w.nextEnd++
		w.hb.Ended = append(w.hb.Ended, sched.RunEnd{Number: w.nextEnd, Task: taskID("j", 0, 0), Run: 1, Reason: batch.EndRefused})
		f.expectNoStart("j")
		Expect(w.hb.Ended).To(BeEmpty()) // acknowledged
		Expect(w.stopped).To(BeEmpty())
	})
})
