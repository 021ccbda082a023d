package soak_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"turmericroute/batch"
	"turmericroute/soak"
)

// Guards against a soak that passes because its checks cannot fail.
var _ = Describe("the ledger", func() {
	const job = "0a"
	id := batch.TaskID{Job: job}
	second := batch.TaskID{Job: job, Step: 1}
	a, b := soak.NewWorker("a"), soak.NewWorker("b")
	var l soak.Ledger
	BeforeEach(func() { l = soak.NewLedger(job) })
	doneFirst := func() {
		for i := range 2 {
			t := batch.TaskID{Job: job, Index: i}
			l.RunStarted(a, t, 1, "text", "")
			l.RunEnded(a, t, 1, batch.EndDone, true, false)
		}
	}

	It("accepts a job that runs as it should", func() {
		doneFirst()
		for i := range 2 {
			l.RunStarted(b, batch.TaskID{Job: job, Step: 1, Index: i}, 1, "text", "")
		}
		l.RunEnded(b, second, 1, batch.EndDone, true, false)
		l.StateReported(job, "succeeded")
		l.ConfigSent(1, "one", true)
		l.ConfigRead(1, "one")
		Expect(l.Violations()).To(BeEmpty())
	})

	It("accepts a new run after the worker's life or lease has ended", func() {
		l.RunStarted(a, id, 1, "text", "")
		l.Ended(a)
		l.RunStarted(b, id, 2, "text", "")
		l.RunEnded(b, id, 2, batch.EndDone, true, true)
		l.RunStarted(a, id, 3, "text", "")
		Expect(l.Violations()).To(BeEmpty())
	})

	DescribeTable("finds a broken promise",
		func(rule string, breakIt func()) {
			breakIt()
			Expect(l.Violations()).To(ContainElement(ContainSubstring(rule)))
		},
		Entry("two live runs", "TWICE", func() { l.RunStarted(a, id, 1, "text", ""); l.RunStarted(b, id, 2, "text", "") }),
		Entry("a run after an end as done that was noted", "TWICE", func() {
			l.RunStarted(a, id, 1, "text", "")
			l.RunEnded(a, id, 1, batch.EndDone, true, false)
			l.RunStarted(b, id, 2, "text", "")
		}),
		Entry("a task that nobody sent", "UNASKED", func() { l.RunStarted(a, batch.TaskID{Job: job, Index: 2}, 1, "text", "") }),
		Entry("another text", "UNASKED", func() { l.RunStarted(a, id, 1, "other", "") }),
		Entry("a checkpoint of another task", "UNASKED", func() { l.RunStarted(a, id, 1, "text", "00000064") }),
		Entry("a run long after the cancellation", "UNASKED", func() {
			l.Cancelled(job, time.Minute)
			l.RunStarted(a, id, 1, "text", "")
		}),
		Entry("a step before the one that it needs", "ORDER", func() { l.RunStarted(a, second, 1, "text", "") }),
		Entry("a run after too many failures", "BUDGET", func() {
			for run := 1; run <= 3; run++ {
				l.RunStarted(a, id, run, "text", "")
				l.RunEnded(a, id, run, batch.EndFailed, true, false)
			}
			l.RunStarted(a, id, 4, "text", "")
		}),
		Entry("a refused job that runs", "REFUSED", func() { l.Refuse(job); l.RunStarted(a, id, 1, "text", "") }),
		Entry("success before the end", "MIXED", func() { l.StateReported(job, "succeeded") }),
		Entry("failure without cause", "LOST", func() { l.StateReported(job, "failed") }),
		Entry("a cancellation that nobody sent", "LOST", func() { l.StateReported(job, "canceled") }),
		Entry("a job that is not known", "LOST", func() { l.StateReported(job, "") }),
		Entry("an older configuration", "CONFIG", func() {
			l.ConfigSent(1, "one", true)
			l.ConfigSent(2, "two", true)
			l.ConfigRead(1, "one")
		}),
		Entry("another document", "CONFIG", func() { l.ConfigSent(1, "one", true); l.ConfigRead(1, "two") }),
	)
})
