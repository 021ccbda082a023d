package sched_test

import (
	"context"
	"slices"
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"turmericroute/batch"
	"turmericroute/sched"
	"turmericroute/state"
)

// regain makes the scheduler lose its lease and lead again in the same term after a while.
func (f *fixture) regain(gap time.Duration) {
	f.stop()
	<-f.ended
	f.advance(gap)
	f.term--
	f.lead()
}

var _ = Describe("a leader that regains its lease in the same term", func() {
	// Guards against members that wait until their gang times out, because the time since the first start order was
	// forgotten.
	It("gives a gang up in time that forms meanwhile", func() {
		f := newGangFixture(3*time.Second, "w1", "w2")
		f.submitGang("j", 2)
		f.awaitStart("w1")
		f.advance(500 * time.Millisecond)
		f.heartbeat("w1")
		f.regain(700 * time.Millisecond)
		f.advance(400 * time.Millisecond)
		Expect(f.heartbeat("w1").Stops).To(HaveLen(1))
	})

	It("goes on with a gang that is at work", func() {
		f := newGangFixture(3*time.Second, "w1", "w2")
		f.submitGang("j", 2)
		f.awaitRunning("j", 2)
		f.heartbeatAll()
		f.regain(2 * time.Second)
		f.heartbeat("w1")
		f.advance(2 * time.Second)
		Expect(f.heartbeat("w1").Stops).To(BeEmpty())
	})

	// Guards against a wait for the next heartbeats of all workers.
	It("places tasks on workers that it has heard from before", func() {
		f := newFixture()
		f.addWorkers("r1", "dc1", "w1")
		f.regain(100 * time.Millisecond)
		f.submit("normal", "j", batch.Step{Count: 1, Need: gpus(1)})
		Eventually(func() int { return f.runsOn("w1") }).Should(Equal(1))
	})

	// Guards against a further lease that is granted to workers that are silent.
	It("counts the lease of a silent worker from its last heartbeat", func() {
		f := newFixture()
		f.addWorkers("r1", "dc1", "w1")
		f.submit("normal", "j", batch.Step{Count: 1, Need: gpus(1)})
		f.awaitRunning("j", 1)
		delete(f.workers, "w1")
		f.addWorkers("r1", "dc1", "w2")
		f.advance(3 * time.Second)
		f.regain(500 * time.Millisecond)
		f.expectNoStart("j")
		f.advance(time.Second)
		f.heartbeat("w2")
		Eventually(func() int { return f.runsOn("w2") }).Should(Equal(1))
	})

	It("goes on with a preemption", func() {
		f := newFixture()
		f.addWorkers("r1", "dc1", "w1")
		f.submit("normal", "other", batch.Step{Count: 1, Need: gpus(8), EstimateMS: 100_000})
		f.awaitRunning("other", 1)
		f.heartbeat("w1")
		f.submit("urgent", "j", batch.Step{Count: 1, Need: gpus(8), EstimateMS: 1000})
		Eventually(func() bool {
			f.advance(100 * time.Millisecond)
			return f.s.Preempting("w1")
		}).Should(BeTrue())
		f.regain(100 * time.Millisecond)
		Expect(f.heartbeat("w1").Stops).To(HaveLen(1))
	})

	It("knows what was committed meanwhile", func() {
		f := newFixture()
		f.addWorkers("r1", "dc1", "w1")
		f.submit("normal", "j", batch.Step{Count: 1, Need: gpus(8)})
		f.awaitRunning("j", 1)
		f.stop()
		<-f.ended
		f.term--
		Expect(f.r.change(batch.Change{Cancel: &batch.Cancel{ID: "j"}})).To(Succeed())
		f.lead()
		Expect(f.heartbeat("w1").Stops).To(HaveLen(1))
		f.submit("normal", "next", batch.Step{Count: 1, Need: gpus(8)})
		f.awaitRunning("next", 1)
	})

	// Guards against more runs on a worker than it has room for: starts of the earlier session were committed after the next
	// one had given their room to others.
	DescribeTable("leaves room to starts that the earlier session has proposed",
		func(between func(f *fixture)) {
			f := newFixture()
			f.addWorkers("r1", "dc1", "w1")
			now := time.Duration(f.now.Load())
			Expect(f.offer("urgent", "later", batch.Spec{
				Text: "t", Steps: []batch.Step{{Count: 1, Need: gpus(8), EstimateMS: 1000}}, Rounds: 1, FirstAtMS: (now + time.Second).Milliseconds(),
			})).To(BeTrue())
			f.r.setStallStarts(true)
			f.submit("normal", "j", batch.Step{Count: 1, Need: gpus(8), EstimateMS: 1000})
			Eventually(f.r.stalledCount).Should(Equal(1))
			f.advance(time.Second)
			between(f)
			Eventually(func() int { f.heartbeat("w1"); return f.runsOn("w1") }).Should(Equal(1))
			Consistently(func() int { f.heartbeat("w1"); return f.runsOn("w1") }, 300*time.Millisecond).Should(Equal(1))
		},
		Entry("when it regains its lease", func(f *fixture) {
			f.stop()
			<-f.ended
			f.r.setStallStarts(false)
			f.term--
			f.lead()
		}),
		Entry("when it has lost its memory", func(f *fixture) {
			f.r.setStallStarts(false)
			f.s.Panic()
			Eventually(func() error { return f.call(sched.Call{Ping: true}).err }).Should(Succeed())
		}),
	)

	It("starts anew in another term", func() {
		f := newFixture()
		f.addWorkers("r1", "dc1", "w1")
		f.stop()
		<-f.ended
		f.lead()
		f.submit("normal", "j", batch.Step{Count: 1, Need: gpus(1)})
		Consistently(func() int { return f.runsOn("w1") }, 300*time.Millisecond).Should(BeZero())
		f.heartbeat("w1")
		Eventually(func() int { return f.runsOn("w1") }).Should(Equal(1))
	})

	// Guards against going on with what a call that panicked has left half done.
	It("starts anew after a call has panicked", func() {
		f := newFixture(func(cfg *sched.Config) {
			cfg.Logger = log.LoggerFunc(func(keyvals ...any) error {
				if slices.Contains(keyvals, any("worker_draining")) {
					panic("unexpected")
				}
				return nil
			})
		})
		f.addWorkers("r1", "dc1", "w1", "w2")
		poison := f.workers["w2"].hb
		poison.Seq, poison.Draining = poison.Seq+1, true
		Expect(f.call(sched.Call{Heartbeat: &poison}).err).NotTo(Succeed())
		f.regain(0)
		f.submit("normal", "j", batch.Step{Count: 1, Need: gpus(1)})
		Consistently(func() int { return f.runsOn("w1") }, 300*time.Millisecond).Should(BeZero())
		f.heartbeat("w1")
		Eventually(func() int { return f.runsOn("w1") }).Should(Equal(1))
	})
})

// change applies a change as if it had been proposed before.
func (r *replica) change(c batch.Change) error {
	_, err := r.Execute(context.Background(), state.ChangeBatch{Change: c})
	return err
}
