package batch_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"turmericroute/batch"
	"turmericroute/model"
)

func cancel(l *batch.Ledger, id string, atMS int64) batch.Result {
	return l.Apply(batch.Change{AtMS: atMS, Cancel: &batch.Cancel{ID: id}})
}

func tombstones(l *batch.Ledger) (n int) {
	l.View(func(b *batch.State) { n = len(b.Tombstones) })
	return n
}

// Guards against accepting a job after its cancellation was acknowledged: the cancellation had overtaken the submission.
var _ = Describe("a job that is cancelled before it is submitted", func() {
	It("is refused, also by a replica that has restored a snapshot", func() {
		l := batch.NewLedger()
		Expect(cancel(l, "j", 1000)).To(Equal(batch.Result{NoJob: true}))
		data, err := l.EncodeSnapshot()
		Expect(err).NotTo(HaveOccurred())
		restored := batch.NewLedger()
		Expect(restored.Restore(data)).To(Succeed())
		for _, replica := range []*batch.Ledger{l, restored} {
			res := accept(replica, "j", batch.Step{Count: 1})
			Expect(res.Failure).To(HaveField("Code", batch.CodeCancelled))
			Expect(res.Failure.Outcome).To(Equal(model.OutcomeNotRun))
			replica.View(func(b *batch.State) {
				Expect(b.Jobs).To(BeEmpty())
				Expect(b.Open).To(BeEmpty())
			})
		}
		again, err := restored.EncodeSnapshot()
		Expect(err).NotTo(HaveOccurred())
		Expect(again).To(Equal(data))
	})

	It("is remembered from its latest cancellation on, until that is old", func() {
		l := batch.NewLedger()
		cancel(l, "j", 1000)
		cancel(l, "j", 5000)
		cancel(l, "j", 4000) // the clocks of leaders differ
		cancel(l, "k", 3000)
		l.Apply(batch.Change{PurgeTombstonesBeforeMS: 5000})
		Expect(accept(l, "k", batch.Step{Count: 1}).Failure).To(BeNil())
		Expect(accept(l, "j", batch.Step{Count: 1}).Failure).NotTo(BeNil())
		l.Apply(batch.Change{PurgeTombstonesBeforeMS: 5001})
		Expect(accept(l, "j", batch.Step{Count: 1}).Failure).To(BeNil())
	})

	It("leaves nothing behind if it is known", func() {
		l := batch.NewLedger()
		accept(l, "j", batch.Step{Count: 1})
		Expect(cancel(l, "j", 1000)).To(Equal(batch.Result{State: batch.JobCancelled}))
		Expect(tombstones(l)).To(BeZero())
		Expect(accept(l, "j", batch.Step{Count: 1})).To(Equal(batch.Result{State: batch.JobCancelled, Duplicate: true}))
	})

	// Guards against memory that callers can fill, and against forgetting a cancellation that was acknowledged.
	It("is refused its cancellation when too many are remembered", func() {
		l := batch.NewLedger()
		for i := range batch.MaxTombstones {
			Expect(cancel(l, fmt.Sprint("j", i), 1000).Failure).To(BeNil())
		}
		Expect(cancel(l, "one more", 1000).Failure).To(HaveField("Code", model.CodeOverloaded))
		Expect(tombstones(l)).To(Equal(batch.MaxTombstones))
		Expect(cancel(l, "j0", 2000).Failure).To(BeNil(), "it is remembered already")
		Expect(accept(l, "j1", batch.Step{Count: 1}).Failure).NotTo(BeNil())
	})
})
