package sched_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"turmericroute/batch"
	"turmericroute/model"
	"turmericroute/sched"
)

var _ = Describe("a job that is cancelled before its submission arrives", func() {
	submit := func(f *fixture, id string) *model.Error {
		err := f.call(sched.Call{Submit: &sched.Submit{JobRef: jobRef("normal", id), Spec: batch.Spec{Text: "t", Steps: []batch.Step{{Count: 1, Need: gpus(1)}}}}}).err
		if err == nil {
			return nil
		}
		return model.AsError(err)
	}
	cancel := func(f *fixture, queue, id string) error {
		ref := jobRef(queue, id)
		return f.call(sched.Call{Cancel: &ref}).err
	}
	tombstones := func(f *fixture) (n int) {
		f.r.machine.Batch().View(func(b *batch.State) { n = len(b.Tombstones) })
		return n
	}

	// Guards against running a job whose cancellation was acknowledged: the submission had waited in a suspended process,
	// and the leader took it for a new one.
	It("never runs, under this leader and the next", func() {
		f := newFixture()
		f.addWorkers("r1", "dc1", "w1")
		Expect(model.AsError(cancel(f, "normal", "j")).Code).To(Equal(sched.CodeNoSuchJob))
		Expect(submit(f, "j")).To(And(HaveField("Code", batch.CodeCancelled), HaveField("Outcome", model.OutcomeNotRun)))
		f.changeLeader()
		f.heartbeatAll()
		Expect(submit(f, "j")).To(HaveField("Code", batch.CodeCancelled))
		f.expectNoStart("j")
		ref := jobRef("normal", "j")
		Expect(model.AsError(f.call(sched.Call{Show: &ref}).err).Code).To(Equal(sched.CodeNoSuchJob), "nobody has handed it in")
		Expect(model.AsError(cancel(f, "normal", "j")).Code).To(Equal(sched.CodeNoSuchJob), "a repeated cancellation is acknowledged again")
	})

	It("is forgotten after the retention time of finished jobs", func() {
		f := newFixture()
		f.addWorkers("r1", "dc1", "w1")
		Expect(cancel(f, "normal", "j")).NotTo(Succeed())
		f.advance(2 * time.Minute)
		time.Sleep(300 * time.Millisecond) // sweeps run in real time
		Expect(submit(f, "j")).To(HaveField("Code", batch.CodeCancelled))
		f.advance(time.Minute)
		Eventually(func() int { return tombstones(f) }, "2s").Should(BeZero())
		Expect(submit(f, "j")).To(BeNil())
	})

	It("is not remembered if the caller may not cancel it", func() {
		f := newFixture()
		ref := jobRef("normal", "j")
		ref.Key = "unknown"
		Expect(model.AsError(f.call(sched.Call{Cancel: &ref}).err).Code).To(Equal(model.CodeUnauthorised))
		Expect(model.AsError(cancel(f, "absent", "j")).Code).To(Equal(model.CodeNotFound))
		Expect(model.AsError(cancel(f, "normal", "")).Code).To(Equal(sched.CodeNoSuchJob))
		Expect(tombstones(f)).To(BeZero())
		Expect(submit(f, "j")).To(BeNil())
	})
})
