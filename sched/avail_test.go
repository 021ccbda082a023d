package sched_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"turmericroute/batch"
	"turmericroute/sched"
)

// serve submits a long-running job and waits until all its tasks are at work.
func (f *fixture) serve(id string, step batch.Step) {
	GinkgoHelper()
	step.LongRunning, step.EstimateMS = true, 1000
	f.submit("normal", id, step)
	f.awaitRunning(id, step.Count)
	f.setAtWork(id, true)
}

// setAtWork makes the running tasks of a job report that they are at work, or that they start up.
func (f *fixture) setAtWork(id string, atWork bool) {
	for _, w := range f.workers {
		for i, r := range w.hb.Running {
			if r.Task.Job == id && atWork {
				w.hb.Running[i].Percent = 100
			} else if r.Task.Job == id {
				w.hb.Running[i].Percent = 0
			}
		}
	}
	f.heartbeatAll()
}

var _ = Describe("a long-running step with a bound on unavailable tasks", func() {
	// Guards against guaranteed accelerators that such steps keep for as long as they last.
	It("is preempted for a guaranteed job, by no more tasks than may be unavailable", func() {
		f := newFixture()
		f.addWorkers("r1", "dc1", "w1", "w2")
		for _, id := range []string{"a", "b"} {
			f.serve(id, batch.Step{Count: 2, Need: gpus(4), MaxUnavailable: 1, PerWorker: 1})
		}
		f.submit("urgent", "j", batch.Step{Count: 2, Need: gpus(4), EstimateMS: 1000})
		f.awaitRunning("j", 2)
		for _, id := range []string{"a", "b"} {
			Expect(f.running(id)).To(HaveLen(1), "one task of each goes on")
		}
	})

	It("is not preempted while as many others of it are unavailable", func() {
		f := newFixture()
		f.addWorkers("r1", "dc1", "w1")
		f.serve("a", batch.Step{Count: 2, Need: gpus(4), MaxUnavailable: 1})
		f.setAtWork("a", false)
		f.workers["w1"].hb.Running[0].Percent = 100
		f.submit("urgent", "j", batch.Step{Count: 1, Need: gpus(4), EstimateMS: 1000})
		for range 8 {
			f.advance(time.Second)
			f.expectNoStart("j")
		}
		Expect(f.running("a")).To(HaveLen(2))
		f.setAtWork("a", true)
		f.awaitRunning("j", 1)
	})

	It("is not preempted at all if none may be unavailable", func() {
		f := newFixture()
		f.addWorkers("r1", "dc1", "w1")
		f.serve("a", batch.Step{Count: 2, Need: gpus(4), MaxUnavailable: 0})
		f.submit("urgent", "j", batch.Step{Count: 1, Need: gpus(4), EstimateMS: 1000})
		for range 8 {
			f.advance(time.Second)
			f.expectNoStart("j")
		}
		Expect(f.running("a")).To(HaveLen(2))
	})

	// Guards against a stop that comes after another task of the step was lost: it was within the bound when it was decided.
	It("keeps a task that was to be preempted when another one becomes unavailable before the stop is sent", func() {
		f := newIdleFixture()
		f.addWorkers("r1", "dc1", "w1", "w2")
		pass := func() {
			_, err := f.s.Pass(sched.InTime)
			Expect(err).NotTo(HaveOccurred())
		}
		f.submit("normal", "a", batch.Step{Count: 2, Need: gpus(8), LongRunning: true, MaxUnavailable: 1, EstimateMS: 1000})
		pass()
		f.heartbeatAll()
		f.setAtWork("a", true)
		f.submit("urgent", "j", batch.Step{Count: 1, Need: gpus(8), EstimateMS: 1000})
		pass()
		f.advance(2500 * time.Millisecond) // preemption is due
		f.heartbeatAll()
		pass()
		chosen := "w1"
		if f.s.Preempting("w2") {
			chosen = "w2"
		}
		Expect(f.s.Preempting(chosen)).To(BeTrue())
		other := map[string]string{"w1": "w2", "w2": "w1"}[chosen]
		f.workers[other].hb.Running[0].Percent = 0
		f.heartbeat(other)
		Expect(f.heartbeat(chosen).Stops).To(BeEmpty())
		Expect(f.running("a")).To(HaveLen(2))
	})
})

var _ = Describe("a maintenance wave", func() {
	// Guards against a check that takes down several machines, each with a task of the same step: only one task may be
	// unavailable.
	It("takes down no second task of a long-running step before the first is at work again", func() {
		p := &provider{refusal: map[string]sched.Refusal{}}
		f := newFixture(func(c *sched.Config) { c.Provider = p })
		f.addWorkers("r1", "dc1", "w1", "w2", "w3")
		f.serve("a", batch.Step{Count: 3, Need: gpus(8), MaxUnavailable: 1})
		Expect(f.call(sched.Call{Wave: &batch.Wave{Number: 1, Machines: []string{"m-w1", "m-w2", "m-w3"}, DurationMS: 60_000, MaxConcurrent: 3}}).err).To(Succeed())
		Eventually(p.ordered, 5*time.Second).Should(HaveLen(1))
		Consistently(p.ordered, 700*time.Millisecond).Should(HaveLen(1))
		down := f.workers[p.ordered()[0][2:]]
		down.hb.Incarnation, down.hb.Seq, down.hb.Running = 2, 0, nil
		f.advance(4 * time.Second)
		f.awaitRunning("a", 3)
		Consistently(p.ordered, 700*time.Millisecond).Should(HaveLen(1), "the task has started and is not at work")
		f.setAtWork("a", true)
		Eventually(p.ordered, 5*time.Second).Should(HaveLen(2))
	})

	It("leaves a machine up that has more tasks of a long-running step than may be unavailable", func() {
		p := &provider{refusal: map[string]sched.Refusal{}}
		f := newFixture(func(c *sched.Config) { c.Provider = p })
		f.addWorkers("r1", "dc1", "w1")
		f.serve("a", batch.Step{Count: 2, Need: gpus(1), MaxUnavailable: 1})
		Expect(f.call(sched.Call{Wave: &batch.Wave{Number: 1, Machines: []string{"m-w1"}, DurationMS: 60_000, MaxConcurrent: 1}}).err).To(Succeed())
		Consistently(p.ordered, time.Second).Should(BeEmpty())
	})
})
