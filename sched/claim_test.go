package sched_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"turmericroute/batch"
	"turmericroute/sched"
)

// claim is the heartbeat of a worker x that claims an address or a machine.
func claim(change func(*sched.Heartbeat)) sched.Heartbeat {
	hb := sched.Heartbeat{
		Worker: "x", Service: "svc", Address: "x:1", DataCentre: "dc1", Machine: "m-x", Incarnation: 5, Seq: 1, Labels: []string{"a", "r1"}, Rack: "r1",
		Capacity: batch.Resources{CPUMilli: 1000, MemoryMB: 1000, GPUs: 0},
	}
	change(&hb)
	return hb
}

// workFor sends heartbeats of all workers for seconds of clock time.
func (f *fixture) workFor(seconds int) {
	for range seconds {
		f.advance(time.Second)
		f.heartbeatAll()
		time.Sleep(50 * time.Millisecond) // sweeps and placement passes run in real time
	}
}

// expectUndisturbed expects that w1 goes on with its run of job j, which nobody else has started.
func (f *fixture) expectUndisturbed() {
	GinkgoHelper()
	f.workFor(8)
	Expect(f.workers["w1"].last.LeaseMS).To(BeNumerically(">", 0))
	Expect(f.running("j")).To(Equal(map[batch.TaskID]string{taskID("j", 0, 0): "w1"}))
	Expect(f.starts("j")).To(Equal(1))
}

// runsOn returns the number of runs that the ledger has on a worker.
func (f *fixture) runsOn(worker string) (n int) {
	f.r.machine.Batch().View(func(b *batch.State) { n = len(b.Runs[worker]) })
	return n
}

var _ = Describe("a worker's entry that concerns another worker", func() {
	// Guards against ending the runs of a sound worker because of what somebody else says: they ran a second time
	// elsewhere while the worker went on with them.
	DescribeTable("does not end the runs of a sound worker",
		func(newLeader bool, change func(*sched.Heartbeat)) {
			f := newFixture()
			f.addWorkers("r1", "dc1", "w1")
			f.submit("normal", "j", batch.Step{Count: 1, Need: gpus(1), EstimateMS: 60000})
			f.awaitRunning("j", 1)
			f.addWorkers("r1", "dc1", "w2")
			if newLeader {
				f.changeLeader()
				f.heartbeatAll()
			}
			hb := claim(change)
			Expect(f.call(sched.Call{Heartbeat: &hb}).err).To(Succeed())
			f.expectUndisturbed()
		},
		Entry("if it gives the worker's address", false, func(hb *sched.Heartbeat) { hb.Address = "w1:1" }),
		Entry("if it gives the worker's address at the next leader", true, func(hb *sched.Heartbeat) { hb.Address = "w1:1" }),
		Entry("if it gives the worker's address and no machine", false, func(hb *sched.Heartbeat) { hb.Address, hb.Machine = "w1:1", "" }),
		Entry("if it gives the worker's machine", false, func(hb *sched.Heartbeat) { hb.Machine = "m-w1" }),
		Entry("if it gives the worker's machine at the next leader", true, func(hb *sched.Heartbeat) { hb.Machine = "m-w1" }),
		Entry("if it is of an undeclared service and gives the worker's address and machine", false, func(hb *sched.Heartbeat) {
			hb.Service, hb.Address, hb.Machine = "other", "w1:1", "m-w1"
		}),
		Entry("if it is of an undeclared service and gives the worker's machine at the next leader", true, func(hb *sched.Heartbeat) {
			hb.Service, hb.Machine = "other", "m-w1"
		}),
		Entry("if it is of an undeclared service under the worker's ID", false, func(hb *sched.Heartbeat) {
			hb.Service, hb.Worker = "other", "w1"
		}),
		Entry("if it is of an undeclared service under the worker's ID at the next leader", true, func(hb *sched.Heartbeat) {
			hb.Service, hb.Worker = "other", "w1"
		}),
	)

	// Guards against a sound worker that is refused for as long as a former entry is remembered: before there is a
	// configuration, nobody can tell whose service is declared.
	It("does not end a worker before the first configuration", func() {
		f := &fixture{workers: map[string]*fakeWorker{}}
		f.start()
		f.addWorkers("r1", "dc1", "w1")
		hb := claim(func(hb *sched.Heartbeat) { hb.Service, hb.Machine = "other", "m-w1" })
		Expect(f.call(sched.Call{Heartbeat: &hb}).err).To(Succeed())
		f.declare(1)
		Expect(f.heartbeat("w1").LeaseMS).To(BeNumerically(">", 0))
		f.submit("normal", "j", batch.Step{Count: 1, Need: gpus(1), EstimateMS: 60000})
		f.awaitRunning("j", 1)
		f.expectUndisturbed()
	})

	// Guards against losing the runs of workers whose service operators have removed.
	It("is answered with a lease while the worker has runs, also if its service is declared no more", func() {
		f := newFixture()
		f.addWorkers("r1", "dc1", "w1")
		f.submit("normal", "j", batch.Step{Count: 1, Need: gpus(1), EstimateMS: 60000})
		f.awaitRunning("j", 1)
		Expect(f.call(sched.Call{Declare: &batch.Catalog{
			Version: 2, Source: []byte("2"), Services: []batch.Service{{Name: "next"}},
			Queues: []batch.Queue{{Name: "normal", Host: testHost, Prefix: "/normal/", Service: "next", Priority: 1, MaxFailures: 2}},
			Teams:  []batch.Team{{Name: "team", Keys: []string{testKey}}},
		}}).err).To(Succeed())
		f.expectUndisturbed()
		f.changeLeader()
		f.expectUndisturbed()
	})

	// Guards against runs that are placed on a worker that has ended: its last heartbeat arrived after another worker
	// had taken its address.
	It("keeps new runs off a worker whose address a later one has taken, while that one is heard from", func() {
		f := newFixture()
		f.addWorkers("r1", "dc1", "w1")
		hb := claim(func(hb *sched.Heartbeat) { hb.Address = "w1:1" })
		Expect(f.call(sched.Call{Heartbeat: &hb}).err).To(Succeed())
		f.heartbeat("w1")
		f.submit("normal", "j", batch.Step{Count: 1, Need: gpus(1)})
		Consistently(func() int { return f.runsOn("w1") }, 400*time.Millisecond).Should(BeZero())
		f.advance(3 * time.Second) // the later one is silent
		f.awaitRunning("j", 1)
	})

	// Guards against an end that somebody else reports for a worker's run.
	It("ends no run of another worker", func() {
		f := newFixture()
		f.addWorkers("r1", "dc1", "w1")
		f.submit("normal", "j", batch.Step{Count: 1, Need: gpus(1), EstimateMS: 60000})
		f.awaitRunning("j", 1)
		f.addWorkers("r1", "dc1", "w2")
		f.workers["w2"].hb.Ended = []sched.RunEnd{{Number: 1, Task: taskID("j", 0, 0), Run: 1, Reason: batch.EndFailed}}
		f.heartbeat("w2")
		Expect(f.workers["w2"].hb.Ended).To(BeEmpty(), "the report is acknowledged, as it changes nothing")
		f.expectUndisturbed()
	})

	// Guards against ending the runs of a sound worker, and against new runs on the machine by way of two IDs.
	It("does not end the runs of a sound worker on the same machine, also if both are heard from", func() {
		f := newFixture()
		f.addWorkers("r1", "dc1", "w1")
		f.submit("normal", "j", batch.Step{Count: 1, Need: gpus(1), EstimateMS: 60000})
		f.awaitRunning("j", 1)
		f.workers["x"] = &fakeWorker{hb: claim(func(hb *sched.Heartbeat) { hb.Machine = "m-w1" })}
		f.expectUndisturbed()
		f.submit("normal", "k", batch.Step{Count: 1, Need: gpus(1)})
		f.workFor(2)
		Expect(f.running("k")).To(BeEmpty())
		delete(f.workers, "x")
		f.awaitRunning("k", 1)
	})

	// Guards against runs that restart only when the lease of the earlier worker has expired.
	It("ends an earlier worker on the same machine that is silent, whose runs restart at once", func() {
		f := newFixture()
		f.addWorkers("r1", "dc1", "w1")
		f.submit("normal", "j", batch.Step{Count: 1, Need: gpus(1)})
		f.awaitRunning("j", 1)
		delete(f.workers, "w1")
		f.advance(200 * time.Millisecond) // the machine restarts quickly
		hb := claim(func(hb *sched.Heartbeat) {
			hb.Machine, hb.Capacity = "m-w1", batch.Resources{CPUMilli: 32000, MemoryMB: 64000, GPUs: 8}
		})
		Expect(f.call(sched.Call{Heartbeat: &hb}).err).To(Succeed())
		Consistently(func() int { return f.runsOn("w1") }, 300*time.Millisecond).Should(Equal(1)) // the clock stands still
		f.advance(700 * time.Millisecond)
		hb.Seq++
		Expect(f.call(sched.Call{Heartbeat: &hb}).err).To(Succeed())
		Eventually(func() int { return f.runsOn("w1") }).Should(BeZero())
		Eventually(func() int { return f.runsOn("x") }).Should(Equal(1))
	})
})
