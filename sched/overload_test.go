package sched_test

import (
	"context"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"turmericroute/batch"
	"turmericroute/model"
	"turmericroute/sched"
)

// pass runs a placement pass and a heartbeat of each worker.
func (f *fixture) pass() {
	GinkgoHelper()
	Expect(f.s.Pass(sched.InTime)).Error().NotTo(HaveOccurred())
	for _, n := range []string{"w1", "w2", "w3", "w4", "w5", "w6", "w7", "w8"} {
		f.heartbeatSoon(n)
	}
}

// replaceLeader makes a scheduler without in-memory state begin the next term.
func (f *fixture) replaceLeader() {
	f.s.End()
	f.s = sched.New(f.cfg)
	f.term++
	f.s.Begin(context.Background(), f.term, f.r)
}

// newRacks returns an idle fixture with four racks of 16 accelerators.
func newRacks() *fixture {
	f := newIdleFixture()
	for i := range 8 {
		f.addWorkers(fmt.Sprintf("r%d", i/2), "dc1", fmt.Sprintf("w%d", i+1))
	}
	return f
}

var _ = Describe("urgent gangs among work with slack", func() {
	gang := batch.Step{Count: 2, Need: gpus(8), EstimateMS: 2000, Gang: true, SameRack: true}
	single := func(n int) batch.Step { return batch.Step{Count: n, Need: gpus(1), EstimateMS: 6000} }

	// burst plays some urgent gangs that start and end at once.
	burst := func(f *fixture) {
		for i := range 3 {
			id := fmt.Sprintf("gang%d", i)
			f.submit("urgent", id, gang)
			f.pass()
			f.pass()
			for task, w := range f.running(id) {
				f.workers[w].end(task, batch.EndDone)
			}
			f.pass()
			f.advance(300 * time.Millisecond)
		}
	}

	// Guards against racks full of work that could wait when the next gang of a burst comes.
	It("start at once, while as much of the other work waits as they are forecast to need", func() {
		f := newRacks()
		burst(f)
		f.submit("normal", "early", single(40))
		f.pass()
		f.submit("normal", "deferred", single(24))
		f.pass()
		f.pass()
		Expect(f.running("early")).To(HaveLen(40))
		Expect(f.running("deferred")).To(BeEmpty())
		f.submit("urgent", "gang", gang)
		f.pass()
		f.pass()
		Expect(f.running("gang")).To(HaveLen(2))
		Expect(f.running("early")).To(HaveLen(40), "nothing is stopped")
	})

	// Guards against work that waits for a load which the next leader does not know.
	It("leave the room to other work after a change of leader, until more of them come", func() {
		f := newRacks()
		burst(f)
		f.submit("normal", "early", single(40))
		f.pass()
		f.submit("normal", "deferred", single(24))
		f.pass()
		Expect(f.starts("deferred")).To(BeZero())
		f.replaceLeader()
		for range 3 {
			f.pass()
		}
		Expect(f.running("deferred")).To(HaveLen(24))
	})
})

var _ = Describe("a wave of submissions to a full room", func() {
	submit := func(f *fixture, id string) *model.Error {
		spec := batch.Spec{Text: "t", Steps: []batch.Step{{Count: 32, Need: gpus(2), EstimateMS: 4000}}}
		err := f.call(sched.Call{Submit: &sched.Submit{JobRef: jobRef("normal", id), Spec: spec}}).err
		if err == nil {
			return nil
		}
		return model.AsError(err)
	}
	settle := func(f *fixture) {
		for range 14 {
			f.advance(500 * time.Millisecond)
			f.pass()
		}
	}

	// Guards against callers who wait for results that come too late, or who all return at the same time. A wrong
	// refusal costs more than a late result, so it comes late itself, and never from a leader that does not know its workers.
	It("is accepted, then told when to return, and accepted by a new leader", func() {
		f := newRacks()
		settle(f)
		f.submit("normal", "done", batch.Step{Count: 40, Need: gpus(1), EstimateMS: 4000})
		f.pass()
		for task, w := range f.running("done") {
			f.workers[w].end(task, batch.EndDone)
		}
		f.pass()
		Expect(f.state("normal", "done")).To(Equal(sched.StateSucceeded))
		f.r.delayAccepts(true)
		Expect(submit(f, "doubt").Outcome).To(Equal(model.OutcomeUnknown))
		f.r.delayAccepts(false)
		accepted := 0
		for submit(f, fmt.Sprintf("j%d", accepted)) == nil {
			accepted++
			Expect(accepted).To(BeNumerically("<", 100))
		}
		// The objective is 13 s: three times that, less 4 s for the job itself, is half of 18 jobs of 4 s.
		Expect(accepted).To(Equal(18))
		seconds := map[time.Duration]int{}
		for i := range 6 {
			e := submit(f, fmt.Sprintf("more%d", i))
			Expect(e).NotTo(BeNil())
			Expect(e.Code).To(Equal(model.CodeOverloaded))
			Expect(e.Outcome).To(Equal(model.OutcomeNotRun))
			seconds[e.RetryAfter]++
		}
		Expect(seconds).To(HaveLen(6))
		r := jobRef("normal", "more0")
		Expect(f.call(sched.Call{Show: &r}).err).To(HaveOccurred(), "a refused job is unknown")
		Expect(submit(f, "doubt")).To(BeNil(), "its first submission may still be committed")

		f.replaceLeader()
		f.pass()
		Expect(submit(f, "more0")).To(BeNil())
	})
})

var _ = Describe("work that has ended", func() {
	// Guards against jobs that are accepted in vain: an end that was reported again while its commit was late counted again.
	It("counts once however often its end is reported", func() {
		f := newRacks()
		f.submit("normal", "done", batch.Step{Count: 40, Need: gpus(1), EstimateMS: 4000})
		f.pass()
		for task, w := range f.running("done") {
			f.workers[w].end(task, batch.EndDone)
		}
		f.r.delayEnds()
		f.heartbeatAll()
		once := f.s.EndedWork("svc")
		Expect(once).To(BeNumerically(">", 0))
		for range 2 {
			f.heartbeatAll()
		}
		Expect(f.s.EndedWork("svc")).To(Equal(once))
	})
})
