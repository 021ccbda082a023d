package sched_test

import (
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"turmericroute/batch"
	"turmericroute/sched"
)

// newGangFixture returns a fixture with a time limit for gangs to form and workers with room for one member each.
func newGangFixture(timeout time.Duration, workers ...string) *fixture {
	f := newFixture(func(cfg *sched.Config) { cfg.Limits.GangTimeout = timeout })
	f.addWorkers("r1", "dc1", workers...)
	return f
}

// submitGang submits a gang with one member for each of the given number of workers.
func (f *fixture) submitGang(id string, members int) {
	f.submit("normal", id, batch.Step{Count: members, Need: gpus(8), Gang: true, Checkpoints: true, EstimateMS: 100_000})
}

// awaitStart sends heartbeats of one worker, without advancing the clock, until it is ordered to start a run.
func (f *fixture) awaitStart(worker string) {
	GinkgoHelper()
	Eventually(func() int { return len(f.heartbeat(worker).Starts) }).Should(Equal(1))
}

// resume makes the first member's run fail with a checkpoint and waits until it is started again from there, while the
// other workers are not heard from.
func (f *fixture) resume(id, worker, checkpoint string, percent int) {
	GinkgoHelper()
	w := f.workers[worker]
	w.end(w.hb.Running[0].Task, batch.EndFailed)
	w.hb.Ended[0].Checkpoint = checkpoint
	for _, other := range f.workers {
		if other != w {
			other.end(taskID(id, 0, other.memberOf(id)), batch.EndGangBroken)
		}
	}
	f.heartbeatAll()
	Eventually(func() int {
		f.heartbeat(worker)
		return len(w.hb.Running)
	}).Should(Equal(1))
	w.hb.Running[0].Percent, w.hb.Running[0].Checkpoint = percent, checkpoint
}

// memberOf returns the index of the member of a gang that runs on the worker.
func (w *fakeWorker) memberOf(id string) int {
	i := slices.IndexFunc(w.hb.Running, func(r sched.RunState) bool { return r.Task.Job == id })
	return w.hb.Running[i].Task.Index
}

var _ = Describe("a gang that forms", func() {
	// Guards against members that wait until their gang times out, because the progress from which they resume counted
	// as a sign that the gang is at work.
	It("is given up in time when it resumes from a checkpoint and a member is not heard from", func() {
		f := newGangFixture(3*time.Second, "w1", "w2")
		f.submitGang("j", 2)
		f.awaitRunning("j", 2)
		f.heartbeatAll()
		f.resume("j", "w1", "c1", 40)
		f.heartbeat("w1")
		f.advance(2300 * time.Millisecond)
		Expect(f.heartbeat("w1").Stops).To(HaveLen(1))
	})

	It("is at work once it has got further than where it resumed", func() {
		f := newGangFixture(3*time.Second, "w1", "w2")
		f.submitGang("j", 2)
		f.awaitRunning("j", 2)
		f.heartbeatAll()
		f.resume("j", "w1", "c1", 40)
		f.heartbeat("w1")
		f.workers["w1"].hb.Running[0].Percent = 41
		f.heartbeat("w1")
		f.advance(2300 * time.Millisecond)
		Expect(f.heartbeat("w1").Stops).To(BeEmpty())
	})

	// Guards against members that wait until their gang times out, because the withdrawal of one that must not start
	// reached the others two heartbeats later.
	It("is withdrawn from members that wait as soon as another must not start", func() {
		f := newGangFixture(3*time.Second, "w1", "w2")
		f.submitGang("j", 2)
		f.awaitStart("w1")
		f.workers["w2"].hb.Draining, f.workers["w2"].hb.DrainLeftMS = true, 20_000
		Expect(f.heartbeat("w2").Starts).To(BeEmpty())
		Expect(f.heartbeat("w1").Stops).To(HaveLen(1))
	})

	It("does not begin to start once a member must not", func() {
		f := newGangFixture(3*time.Second, "w1", "w2")
		f.submitGang("j", 2)
		Eventually(func() int { return f.runsOn("w1") + f.runsOn("w2") }).Should(Equal(2))
		f.workers["w2"].hb.Draining, f.workers["w2"].hb.DrainLeftMS = true, 20_000
		f.heartbeat("w2")
		Expect(f.heartbeat("w1").Starts).To(BeEmpty())
	})

	// Guards against a member that waits alone because another has ended: the leader took the gang for one that no longer
	// forms, and stopped the member only once that end was committed.
	It("is withdrawn from members that wait as soon as another has ended, before that is committed", func() {
		f := newGangFixture(3*time.Second, "w1", "w2")
		f.submitGang("j", 2)
		f.awaitStart("w1")
		f.awaitStart("w2")
		f.heartbeat("w1")
		f.r.delayEnds()
		w2 := f.workers["w2"]
		w2.end(w2.hb.Running[0].Task, batch.EndRefused)
		f.heartbeat("w2")
		Expect(f.heartbeat("w1").Stops).To(HaveLen(1))
	})

	It("does not begin to start once a member has ended, before that is committed", func() {
		f := newGangFixture(3*time.Second, "w1", "w2")
		f.submitGang("j", 2)
		f.awaitStart("w2")
		f.r.delayEnds()
		w2 := f.workers["w2"]
		w2.end(w2.hb.Running[0].Task, batch.EndRefused)
		f.heartbeat("w2")
		Expect(f.heartbeat("w1").Starts).To(BeEmpty())
	})

	It("is not withdrawn when a member has ended as done, before that is committed", func() {
		f := newGangFixture(3*time.Second, "w1", "w2")
		f.submitGang("j", 2)
		f.awaitStart("w1")
		f.awaitStart("w2")
		f.heartbeat("w1")
		f.r.delayEnds()
		w2 := f.workers["w2"]
		w2.end(w2.hb.Running[0].Task, batch.EndDone)
		f.heartbeat("w2")
		f.advance(2300 * time.Millisecond)
		Expect(f.heartbeat("w1").Stops).To(BeEmpty())
	})

	// Guards against a member that waits alone because the answer that stops it is lost: its worker asks again a second
	// later, and a gang whose last member was ordered to start late was given up too late for that.
	It("is given up in time for a second stop when its last member has been ordered to start late and is not heard from", func() {
		f := newGangFixture(3*time.Second, "w1", "w2")
		f.submitGang("j", 2)
		f.awaitStart("w1")
		f.advance(900 * time.Millisecond)
		f.awaitStart("w2")
		f.advance(650 * time.Millisecond)
		Expect(f.heartbeat("w1").Stops).To(HaveLen(1))
	})

	// Guards against stops that arrive a second late: a member takes the room of its worker, and workers without room
	// were asked for a heartbeat once a second.
	It("is heard from often until all members have joined, however many workers there are", func() {
		f := newGangFixture(3 * time.Second)
		for i := range 300 {
			f.addWorkers("r1", "dc1", fmt.Sprintf("w%d", i))
		}
		f.submitGang("j", 300)
		Eventually(func() int { return f.runsOn("w0") }).Should(Equal(1))
		orders := f.heartbeat("w0")
		Expect(orders.Starts).To(HaveLen(1))
		Expect(orders.RetryAfterMS).To(BeNumerically("<=", 200))
		Expect(f.heartbeat("w0").RetryAfterMS).To(BeNumerically("<=", 200))
		f.heartbeatAll() // starts the others
		f.heartbeatAll() // reports them
		Expect(f.heartbeat("w0").RetryAfterMS).To(Equal(1000))
	})
})

var _ = Describe("a gang that was ordered to start by an earlier leader", func() {
	// Guards against members that wait until their gang times out because a new leader did not know that they waited.
	It("is given up if a member is not heard from", func() {
		f := newGangFixture(3*time.Second, "w1", "w2")
		f.submitGang("j", 2)
		f.awaitStart("w1")
		f.changeLeader()
		Expect(f.heartbeat("w1").Stops).To(BeEmpty())
		f.advance(1600 * time.Millisecond)
		Expect(f.heartbeat("w1").Stops).To(HaveLen(1))
	})

	It("is given up if a member is not heard from, also when it resumed from a checkpoint", func() {
		f := newGangFixture(3*time.Second, "w1", "w2")
		f.submitGang("j", 2)
		f.awaitRunning("j", 2)
		f.heartbeatAll()
		f.resume("j", "w1", "c1", 40)
		f.changeLeader()
		f.heartbeat("w1")
		f.advance(1600 * time.Millisecond)
		Expect(f.heartbeat("w1").Stops).To(HaveLen(1))
	})

	// Guards against a gang that is never given up because a member is ordered to start again and again.
	It("is given up if the order to start a missing member is lost", func() {
		f := newGangFixture(3*time.Second, "w1", "w2")
		f.submitGang("j", 2)
		f.awaitStart("w1")
		f.changeLeader()
		f.heartbeat("w1")
		Expect(f.heartbeat("w2").Starts).To(HaveLen(1))
		f.workers["w2"].hb.Running = nil // the answer was lost
		f.advance(1600 * time.Millisecond)
		Expect(f.heartbeat("w2").Starts).To(BeEmpty())
		Expect(f.heartbeat("w1").Stops).To(HaveLen(1))
		f.awaitRunning("j", 2)
		Expect(f.workers["w1"].hb.Running[0].Run).To(Equal(2))
	})

	It("starts if no member has been started", func() {
		f := newGangFixture(3*time.Second, "w1", "w2")
		f.submitGang("j", 2)
		Eventually(func() int { return f.runsOn("w1") + f.runsOn("w2") }).Should(Equal(2))
		f.changeLeader()
		f.heartbeatAll()
		f.heartbeatAll()
		f.advance(4 * time.Second)
		Expect(f.heartbeat("w1").Stops).To(BeEmpty())
		Expect(f.running("j")).To(HaveLen(2))
	})

	It("goes on if all members report it, although it has only just begun", func() {
		f := newGangFixture(3*time.Second, "w1", "w2")
		f.submitGang("j", 2)
		f.awaitRunning("j", 2)
		f.changeLeader()
		f.heartbeat("w1")
		f.advance(time.Second)
		Expect(f.heartbeat("w2").Stops).To(BeEmpty())
		f.advance(3 * time.Second)
		Expect(f.heartbeat("w1").Stops).To(BeEmpty())
	})

	It("goes on if it is at work, although a member is not heard from", func() {
		f := newGangFixture(3*time.Second, "w1", "w2", "w3")
		f.submitGang("j", 3)
		f.awaitRunning("j", 3)
		f.workers["w1"].hb.Running[0].Gauge = 900
		f.changeLeader()
		f.heartbeat("w1")
		f.heartbeat("w2") // reports no work of its own
		f.advance(3 * time.Second)
		Expect(f.heartbeat("w1").Stops).To(BeEmpty())
		Expect(f.heartbeat("w2").Stops).To(BeEmpty())
	})
})
