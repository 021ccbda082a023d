package sched_test

import (
	"encoding/json"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"turmericroute/batch"
)

// stopping returns the tasks that are being preempted, with the job that they make room for.
func (f *fixture) stopping() map[string]string {
	data, err := json.Marshal(f.s.Dump())
	Expect(err).NotTo(HaveOccurred())
	var dump struct {
		Stopping map[string]string `json:"stopping"`
	}
	Expect(json.Unmarshal(data, &dump)).To(Succeed())
	return dump.Stopping
}

// awaitStopping waits until so many tasks are being preempted. The clock goes on, since only full passes preempt, and there
// may have been one at its present time.
func (f *fixture) awaitStopping(n int) {
	GinkgoHelper()
	Eventually(func() map[string]string {
		f.advance(10 * time.Millisecond)
		return f.stopping()
	}).Should(HaveLen(n))
}

var _ = Describe("preemption", func() {
	// Guards against work that is lost for nobody: the job was cancelled before the stop went out.
	It("ends for runs that have not been told to stop when the job no longer waits", func() {
		f := newFixture()
		f.addWorkers("r1", "dc1", "w1", "w2")
		f.submit("normal", "other", batch.Step{Count: 2, Need: gpus(8), Gang: true, EstimateMS: 100_000})
		f.awaitRunning("other", 2)
		f.heartbeatAll()
		f.submit("urgent", "j", batch.Step{Count: 1, Need: gpus(8), Gang: true, EstimateMS: 10_000})
		f.awaitStopping(2)
		f.cancel("urgent", "j")
		Eventually(f.stopping).Should(BeEmpty())
		f.heartbeatAll()
		Expect(f.running("other")).To(HaveLen(2))
	})

	// Guards against a gang of which a part is stopped: a member that has been told to stop takes the others with it.
	It("goes on for a gang of which a member has been told to stop", func() {
		f := newFixture()
		f.addWorkers("r1", "dc1", "w1", "w2")
		f.submit("normal", "other", batch.Step{Count: 2, Need: gpus(8), Gang: true, EstimateMS: 100_000})
		f.awaitRunning("other", 2)
		f.heartbeatAll()
		f.submit("urgent", "j", batch.Step{Count: 1, Need: gpus(8), Gang: true, EstimateMS: 10_000})
		f.awaitStopping(2)
		f.heartbeat("w1")
		f.cancel("urgent", "j")
		Consistently(f.stopping, 300*time.Millisecond).ShouldNot(BeEmpty())
		f.heartbeat("w2")
		Expect(f.workers["w2"].stopped).To(HaveLen(1))
	})

	// Guards against a run that is stopped just before its end, for a job that starts no earlier for it.
	It("does not stop runs that end as soon as a stop would make room, but does if they do not end", func() {
		f := newFixture()
		f.addWorkers("r1", "dc1", "w1")
		f.submit("normal", "other", batch.Step{Count: 1, Need: gpus(8), EstimateMS: 100_000})
		f.awaitRunning("other", 1)
		f.heartbeatAll()
		f.advance(2 * time.Second)
		f.workers["w1"].hb.Running[0].Percent = 90
		f.heartbeatAll()
		f.submit("urgent", "j", batch.Step{Count: 1, Need: gpus(8), Gang: true, EstimateMS: 10_000})
		f.expectNoStart("j")
		Expect(f.workers["w1"].stopped).To(BeEmpty())
		f.advance(time.Second)
		f.awaitRunning("j", 1)
		Expect(f.workers["w1"].stopped).To(HaveLen(1))
	})
})

var _ = Describe("a worker that leaves", func() {
	leave := func(checkpoints bool) *fixture {
		f := newFixture()
		f.addWorkers("r1", "dc1", "w1")
		f.submit("normal", "j", batch.Step{Count: 1, Need: gpus(8), Checkpoints: checkpoints, EstimateMS: 20_000})
		f.awaitRunning("j", 1)
		f.heartbeatAll()
		f.advance(2 * time.Second)
		w := f.workers["w1"]
		w.hb.Running[0].Percent, w.hb.Draining, w.hb.DrainLeftMS = 10, true, 5000
		f.heartbeat("w1")
		return f
	}

	// Guards against seconds of work that are lost for certain, because a run goes on until its worker shuts down.
	It("stops a run at once that saves no progress and can't end there", func() {
		Expect(leave(false).workers["w1"].stopped).To(HaveLen(1))
	})

	It("lets a run go on that saves its progress", func() {
		Expect(leave(true).workers["w1"].stopped).To(BeEmpty())
	})
})
