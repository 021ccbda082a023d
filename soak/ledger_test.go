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
	a, b := soak.NewLife("a"), soak.NewLife("b")
	var l soak.Ledger
	BeforeEach(func() { l = soak.NewLedger(job) })
	doneFirst := func() {
		for i := range 2 {
			t := batch.TaskID{Job: job, Index: i}
			l.Start(a, t, 1, "text", "")
			l.End(a, t, 1, batch.EndDone, true, false)
		}
	}

	It("accepts a job that runs as it should", func() {
		doneFirst()
		for i := range 2 {
			l.Start(b, batch.TaskID{Job: job, Step: 1, Index: i}, 1, "text", "")
		}
		l.End(b, second, 1, batch.EndDone, true, false)
		l.Shown(job, "succeeded")
		l.Declared(1, "one", true)
		l.Read(1, "one")
		Expect(l.Violations()).To(BeEmpty())
	})

	It("accepts a new run after the worker's life or lease has ended", func() {
		l.Start(a, id, 1, "text", "")
		l.Gone(a)
		l.Start(b, id, 2, "text", "")
		l.End(b, id, 2, batch.EndDone, true, true)
		l.Start(a, id, 3, "text", "")
		Expect(l.Violations()).To(BeEmpty())
	})

	DescribeTable("finds a broken promise",
		func(rule string, breakIt func()) {
			breakIt()
			Expect(l.Violations()).To(ContainElement(ContainSubstring(rule)))
		},
		Entry("two live runs", "TWICE", func() { l.Start(a, id, 1, "text", ""); l.Start(b, id, 2, "text", "") }),
		Entry("a run after an end as done that was noted", "TWICE", func() {
			l.Start(a, id, 1, "text", "")
			l.End(a, id, 1, batch.EndDone, true, false)
			l.Start(b, id, 2, "text", "")
		}),
		Entry("a task that nobody sent", "UNASKED", func() { l.Start(a, batch.TaskID{Job: job, Index: 2}, 1, "text", "") }),
		Entry("another text", "UNASKED", func() { l.Start(a, id, 1, "other", "") }),
		Entry("a checkpoint of another task", "UNASKED", func() { l.Start(a, id, 1, "text", "00000064") }),
		Entry("a run long after the cancellation", "UNASKED", func() {
			l.Cancelled(job, time.Minute)
			l.Start(a, id, 1, "text", "")
		}),
		Entry("a step before the one that it needs", "ORDER", func() { l.Start(a, second, 1, "text", "") }),
		Entry("a run after too many failures", "BUDGET", func() {
			for run := 1; run <= 3; run++ {
				l.Start(a, id, run, "text", "")
				l.End(a, id, run, batch.EndFailed, true, false)
			}
			l.Start(a, id, 4, "text", "")
		}),
		Entry("a refused job that runs", "REFUSED", func() { l.Refuse(job); l.Start(a, id, 1, "text", "") }),
		Entry("success before the end", "MIXED", func() { l.Shown(job, "succeeded") }),
		Entry("failure without cause", "LOST", func() { l.Shown(job, "failed") }),
		Entry("a cancellation that nobody sent", "LOST", func() { l.Shown(job, "canceled") }),
		Entry("a job that is not known", "LOST", func() { l.Shown(job, "") }),
		Entry("an older configuration", "CONFIG", func() {
			l.Declared(1, "one", true)
			l.Declared(2, "two", true)
			l.Read(1, "one")
		}),
		Entry("another document", "CONFIG", func() { l.Declared(1, "one", true); l.Read(1, "two") }),
	)
})
