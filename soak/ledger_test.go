package soak_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"turmericroute/batch"
	"turmericroute/soak"
)

// Guards against a soak that passes because its checks cannot fail: each rule of the
// ledger must detect a violation, and a correct run must cause none.
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

	It("accepts a job that runs correctly", func() {
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

	It("accepts a new run after the worker or its lease has ended", func() {
		l.RunStarted(a, id, 1, "text", "")
		l.WorkerEnded(a)
		l.RunStarted(b, id, 2, "text", "")
		l.RunEnded(b, id, 2, batch.EndDone, true, true)
		l.RunStarted(a, id, 3, "text", "")
		Expect(l.Violations()).To(BeEmpty())
	})

	// Guards against a check of waiting gangs that also fails near a fault or for a cancelled job.
	DescribeTable("accepts a member of a gang that waited alone", func(excuse func()) {
		doneFirst()
		excuse()
		l.RunStarted(a, second, 1, "text", "")
		l.RunEnded(a, second, 1, batch.EndGangIncomplete, true, false)
		Expect(l.Violations()).To(BeEmpty())
	},
		Entry("during a disruption", func() { l.Disrupted(time.Minute, -time.Minute) }),
		Entry("shortly after a disruption", func() { l.Disrupted(time.Minute, time.Second) }),
		Entry("of a cancelled job", func() { l.JobCancelled(job, 0) }),
	)

	DescribeTable("detects a violation",
		func(rule string, violate func()) {
			violate()
			Expect(l.Violations()).To(ContainElement(ContainSubstring(rule)))
		},
		Entry("two active runs", "TWICE", func() { l.RunStarted(a, id, 1, "text", ""); l.RunStarted(b, id, 2, "text", "") }),
		Entry("a run after an acknowledged end as done", "TWICE", func() {
			l.RunStarted(a, id, 1, "text", "")
			l.RunEnded(a, id, 1, batch.EndDone, true, false)
			l.RunStarted(b, id, 2, "text", "")
		}),
		Entry("a task of no submitted job", "UNASKED", func() { l.RunStarted(a, batch.TaskID{Job: job, Index: 2}, 1, "text", "") }),
		Entry("another text", "UNASKED", func() { l.RunStarted(a, id, 1, "other", "") }),
		Entry("a checkpoint of another task", "UNASKED", func() { l.RunStarted(a, id, 1, "text", "00000064") }),
		Entry("a run long after the cancellation", "UNASKED", func() {
			l.JobCancelled(job, time.Minute)
			l.RunStarted(a, id, 1, "text", "")
		}),
		Entry("a step before the one that it depends on", "ORDER", func() { l.RunStarted(a, second, 1, "text", "") }),
		Entry("a run after too many failures", "BUDGET", func() {
			for run := 1; run <= 3; run++ {
				l.RunStarted(a, id, run, "text", "")
				l.RunEnded(a, id, run, batch.EndFailed, true, false)
			}
			l.RunStarted(a, id, 4, "text", "")
		}),
		Entry("a member of a gang that waited alone without a disruption", "GANG", func() {
			doneFirst()
			l.RunStarted(a, second, 1, "text", "")
			l.RunEnded(a, second, 1, batch.EndGangIncomplete, true, false)
		}),
		Entry("a member of a gang that waited alone long after a disruption", "GANG", func() {
			doneFirst()
			l.Disrupted(time.Minute, 30*time.Second)
			l.RunStarted(a, second, 1, "text", "")
			l.RunEnded(a, second, 1, batch.EndGangIncomplete, true, false)
		}),
		Entry("a refused job that runs", "REFUSED", func() { l.SubmitRefused(job); l.RunStarted(a, id, 1, "text", "") }),
		Entry("success before all steps are done", "MIXED", func() { l.StateReported(job, "succeeded") }),
		Entry("failure without failed tasks", "LOST", func() { l.StateReported(job, "failed") }),
		Entry("a cancellation that no caller sent", "LOST", func() { l.StateReported(job, "canceled") }),
		Entry("an accepted job that is unknown", "LOST", func() { l.StateReported(job, "") }),
		Entry("an older configuration", "CONFIG", func() {
			l.ConfigSent(1, "one", true)
			l.ConfigSent(2, "two", true)
			l.ConfigRead(1, "one")
		}),
		Entry("another document", "CONFIG", func() { l.ConfigSent(1, "one", true); l.ConfigRead(1, "two") }),
	)
})

// Guards against a report that overlooks short times without a leader in calm.
var _ = DescribeTable("the longest time without a leader", func(want time.Duration, events ...soak.LeaderEvent) {
	Expect(soak.LongestGap(10*time.Second, events...)).To(Equal(want))
},
	Entry("with one leader", time.Duration(0), soak.LeaderEvent{After: -time.Second, Kind: "leading_began"}),
	Entry("without a leader", 10*time.Second),
	Entry("between two leaders", 2*time.Second, soak.LeaderEvent{After: -time.Second, Kind: "leading_began"},
		soak.LeaderEvent{After: time.Second, Kind: "leading_ended"}, soak.LeaderEvent{After: 3 * time.Second, Machine: 1, Kind: "leading_began"}),
	Entry("before the first leader", 3*time.Second, soak.LeaderEvent{After: 3 * time.Second, Kind: "leading_began"}),
	Entry("after the last leader", 4*time.Second, soak.LeaderEvent{After: -time.Second, Kind: "leading_began"}, soak.LeaderEvent{After: 6 * time.Second, Kind: "leading_ended"}),
	Entry("with an overlap of two leaders", time.Duration(0), soak.LeaderEvent{After: -time.Second, Kind: "leading_began"},
		soak.LeaderEvent{After: time.Second, Machine: 1, Kind: "leading_began"}, soak.LeaderEvent{After: 3 * time.Second, Kind: "leading_ended"}),
	Entry("before the calm", time.Duration(0), soak.LeaderEvent{After: -5 * time.Second, Kind: "leading_ended"}, soak.LeaderEvent{After: -time.Second, Kind: "leading_began"}),
	Entry("after a leader was killed and started again", time.Second, soak.LeaderEvent{After: -time.Second, Kind: "leading_began"},
		soak.LeaderEvent{After: time.Second, Kind: "started"}, soak.LeaderEvent{After: 2 * time.Second, Kind: "leading_began"}),
)
