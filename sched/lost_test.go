package sched_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"turmericroute/batch"
	"turmericroute/sched"
)

var _ = Describe("lost workers", func() {
	It("restarts the runs of a silent worker elsewhere only after its lease has expired on any clock", func() {
		f := newFixture()
		f.addWorkers("r1", "dc1", "w1")
		f.submit("normal", "j", batch.Step{Count: 1, Need: gpus(1)})
		f.awaitRunning("j", 1)
		lost := f.workers["w1"]
		lease := time.Duration(lost.last.LeaseMS) * time.Millisecond
		delete(f.workers, "w1")
		f.addWorkers("r1", "dc1", "w2")
		f.advance(lease - time.Second) // expectNoStart advances the clock by another 750 ms
		f.expectNoStart("j")
		f.advance(time.Second)
		f.awaitRunning("j", 1)
	})

	It("respects the leases that an earlier leader may have granted", func() {
		f := newFixture()
		f.addWorkers("r1", "dc1", "w1")
		f.submit("normal", "j", batch.Step{Count: 1, Need: gpus(1)})
		f.awaitRunning("j", 1)
		delete(f.workers, "w1")
		f.advance(time.Minute)
		f.changeLeader()
		f.addWorkers("r1", "dc1", "w2")
		f.expectNoStart("j")
		f.advance(6 * time.Second)
		f.awaitRunning("j", 1)
	})

	It("keeps the runs on its workers when it has just become leader", func() {
		f := newFixture()
		f.addWorkers("r1", "dc1", "w1")
		f.submit("normal", "j", batch.Step{Count: 1, Need: gpus(1)})
		f.awaitRunning("j", 1)
		f.changeLeader()
		f.expectNoStart("j")
		Expect(f.running("j")).To(HaveLen(1))
		Expect(f.state("normal", "j")).To(Equal(sched.StateRunning))
	})

	It("treats an incarnation as ended when its machine reports a later one", func() {
		f := newFixture()
		f.addWorkers("r1", "dc1", "w1")
		f.submit("normal", "j", batch.Step{Count: 1, Need: gpus(1)})
		f.awaitRunning("j", 1)
		delete(f.workers, "w1")
		f.addWorkers("r1", "dc1", "w2")
		f.workers["w2"].hb.Machine, f.workers["w2"].hb.Incarnation = "m-w1", 2
		f.awaitRunning("j", 1)
		Expect(f.running("j")).To(HaveKeyWithValue(taskID("j", 0, 0), "w2"))
	})

	// Guards against a leader that asks for more heartbeats than it can answer, as on a machine that has become slow.
	It("asks for fewer heartbeats while the leader is late, and for more again afterwards", func() {
		rate := 5000
		for range 3 {
			rate = sched.NextRate(rate, 100*time.Millisecond)
		}
		Expect(rate).To(BeNumerically("<", 2000))
		for range 30 {
			rate = sched.NextRate(rate, 100*time.Millisecond)
		}
		Expect(rate).To(Equal(1000))
		for range 100 {
			rate = sched.NextRate(rate, time.Millisecond)
		}
		Expect(rate).To(Equal(5000))
	})

	// Guards against a silence limit that does not grow with the heartbeat interval: with 3,000 workers the interval
	// was 2.5 s, and only workers heard within the last 0.9 s got new runs.
	It("places runs on all of many workers, whose heartbeats are further apart", func() {
		f := newFixture()
		const workers = 1800 // each sends a heartbeat every 1.5 s
		for i := range workers {
			f.addWorkers("r1", "dc1", fmt.Sprintf("w%d", i))
		}
		f.now.Add(int64(1400 * time.Millisecond))
		f.submit("normal", "j", batch.Step{Count: workers, Need: gpus(8), EstimateMS: 1000})
		Eventually(func() (n int) {
			f.r.machine.Batch().View(func(b *batch.State) { n = len(b.Runs) })
			return n
		}, "10s").Should(Equal(workers))
	})

	It("ignores a heartbeat that is older than the latest one, or of an earlier incarnation", func() {
		f := newFixture()
		f.addWorkers("r1", "dc1", "w1")
		f.submit("normal", "j", batch.Step{Count: 1, Need: gpus(1)})
		f.awaitRunning("j", 1)
		old := f.workers["w1"].hb
		old.Running = nil
		for _, change := range []func(){func() { old.Seq = 1 }, func() { old.Seq, old.Incarnation = 1000, 0 }} {
			change()
			stale := old
			Expect(f.call(sched.Call{Heartbeat: &stale}).Orders).To(Equal(&sched.Orders{}))
		}
		f.expectNoStart("j")
	})

	// Guards against starting a task a second time: the leave notice of a worker overtook the heartbeat that reported
	// the task's run as done.
	It("accepts the last heartbeat of a worker that has left", func() {
		f := newFixture()
		f.addWorkers("r1", "dc1", "w1", "w2")
		f.submit("normal", "j", batch.Step{Count: 1, Need: gpus(1)})
		f.awaitRunning("j", 1)
		worker := f.running("j")[taskID("j", 0, 0)]
		w := f.workers[worker]
		w.end(taskID("j", 0, 0), batch.EndDone)
		Expect(f.call(sched.Call{Leave: &sched.Leave{Worker: worker}}).err).To(Succeed())
		time.Sleep(300 * time.Millisecond) // sweeps run in real time
		f.heartbeat(worker)
		Expect(w.last.AckedThrough).To(Equal(int64(1)))
		Expect(f.state("normal", "j")).To(Equal(sched.StateSucceeded))
		Expect(f.starts("j")).To(Equal(1))
	})

	It("restarts the runs of a worker that has left and reports nothing more", func() {
		f := newFixture()
		f.addWorkers("r1", "dc1", "w1")
		f.submit("normal", "j", batch.Step{Count: 1, Need: gpus(1)})
		f.awaitRunning("j", 1)
		Expect(f.call(sched.Call{Leave: &sched.Leave{Worker: "w1"}}).err).To(Succeed())
		delete(f.workers, "w1")
		f.addWorkers("r1", "dc1", "w2")
		f.advance(2600 * time.Millisecond)
		f.awaitRunning("j", 1)
	})

	// Guards against ending the runs of a worker's present life by the notice of a former one, which arrives after the
	// worker has started again under its ID: the notice names no life.
	DescribeTable("keeps the runs of a worker whose former life's notice of leaving arrives late",
		func(draining, newLeader bool) {
			f := newFixture()
			f.addWorkers("r1", "dc1", "w1")
			w1 := f.workers["w1"]
			w1.hb.Draining = true
			f.heartbeat("w1")
			w1.hb.Draining, w1.hb.Incarnation, w1.hb.Seq = false, 2, 0
			f.heartbeat("w1")
			f.submit("normal", "j", batch.Step{Count: 1, Need: gpus(1), EstimateMS: 60000})
			f.awaitRunning("j", 1)
			f.addWorkers("r1", "dc1", "w2")
			if newLeader {
				f.changeLeader()
			}
			w1.hb.Draining, w1.hb.DrainLeftMS = draining, 20000
			f.heartbeatAll()
			Expect(f.call(sched.Call{Leave: &sched.Leave{Worker: "w1"}}).err).To(Succeed())
			for range 8 {
				f.advance(time.Second)
				f.heartbeatAll()
				time.Sleep(50 * time.Millisecond) // sweeps and placement passes run in real time
			}
			Expect(w1.last.LeaseMS).To(BeNumerically(">", 0))
			Expect(w1.stopped).To(BeEmpty())
			Expect(f.running("j")).To(Equal(map[batch.TaskID]string{taskID("j", 0, 0): "w1"}))
			Expect(f.starts("j")).To(Equal(1))
		},
		Entry("while the present life is ready", false, false),
		Entry("while the present life drains itself", true, false),
		Entry("at the next leader", false, true),
	)

	// Guards against ending the runs of a worker's present life by a heartbeat of a former one, which is the first that a
	// new leader hears of the worker.
	It("ignores a late heartbeat of a worker's former life at the next leader", func() {
		f := newFixture()
		f.addWorkers("r1", "dc1", "w1")
		w1 := f.workers["w1"]
		late := w1.hb
		late.Seq = 100
		w1.hb.Incarnation, w1.hb.Seq = 2, 0
		f.heartbeat("w1")
		f.submit("normal", "j", batch.Step{Count: 1, Need: gpus(1), EstimateMS: 60000})
		f.awaitRunning("j", 1)
		f.changeLeader()
		f.addWorkers("r1", "dc1", "w2")
		Expect(f.call(sched.Call{Heartbeat: &late}).Orders).To(Equal(&sched.Orders{}))
		f.expectUndisturbed()
	})

	// Guards against two runs of one task: heartbeats from before the start of a run, which arrived late at the next leader,
	// counted as a sign that the run had never started.
	It("keeps a run that late heartbeats from before its start omit at the next leader", func() {
		f := newFixture()
		f.addWorkers("r1", "dc1", "w1")
		w1 := f.workers["w1"]
		late := []sched.Heartbeat{w1.hb, w1.hb}
		late[0].Seq, late[1].Seq = 100, 101
		w1.hb.Seq = 101
		f.submit("normal", "j", batch.Step{Count: 1, Need: gpus(1), EstimateMS: 60_000})
		f.awaitRunning("j", 1)
		f.changeLeader()
		f.addWorkers("r2", "dc2", "w2")
		Expect(f.setOutage("dc1", true)).To(Succeed())
		for _, hb := range late {
			Expect(f.call(sched.Call{Heartbeat: &hb}).err).NotTo(HaveOccurred())
		}
		delete(f.workers, "w1") // it is cut off and runs on
		f.expectNoStart("j")
		f.advance(time.Second)
		f.expectNoStart("j")
		f.advance(6 * time.Second)
		f.awaitRunning("j", 1)
	})

	// Guards against ending a lease early: a worker that is cut off when the notice of a former life arrives goes on
	// until its lease expires.
	It("waits for the lease of a worker that is silent after a notice of leaving", func() {
		f := newFixture()
		f.addWorkers("r1", "dc1", "w1")
		f.submit("normal", "j", batch.Step{Count: 1, Need: gpus(1)})
		f.awaitRunning("j", 1)
		lease := time.Duration(f.workers["w1"].last.LeaseMS) * time.Millisecond
		Expect(f.call(sched.Call{Leave: &sched.Leave{Worker: "w1"}}).err).To(Succeed())
		delete(f.workers, "w1")
		f.addWorkers("r1", "dc1", "w2")
		f.advance(lease - time.Second) // expectNoStart advances the clock by another 750 ms
		f.expectNoStart("j")
		f.advance(time.Second)
		f.awaitRunning("j", 1)
	})

	It("places nothing on a worker after its notice of leaving, until it sends another heartbeat", func() {
		f := newFixture()
		f.addWorkers("r1", "dc1", "w1")
		Expect(f.call(sched.Call{Leave: &sched.Leave{Worker: "w1"}}).err).To(Succeed())
		f.submit("normal", "j", batch.Step{Count: 1, Need: gpus(1)})
		runs := func() (n int) {
			f.r.machine.Batch().View(func(b *batch.State) { n = len(b.Runs["w1"]) })
			return n
		}
		Consistently(runs, 400*time.Millisecond).Should(BeZero())
		f.heartbeat("w1")
		Eventually(runs).Should(Equal(1))
	})
})
