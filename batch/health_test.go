package batch_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"turmericroute/batch"
)

func endWith(l *batch.Ledger, t batch.TaskID, run int, h batch.Health, atMS int64) {
	l.Apply(batch.Change{AtMS: atMS, Ends: []batch.End{{Task: t, Run: run, Reason: batch.EndFailed, Health: &h}}})
}

func health(l *batch.Ledger, worker string, life int64) (h batch.Health) {
	l.View(func(b *batch.State) { h = b.HealthOf(worker, life) })
	return h
}

var _ = Describe("the health of a worker", func() {
	// Guards against a next leader that gives a failing worker two further runs, also one that starts from a snapshot.
	It("is kept with an end, also in snapshots, until a later life of the worker gets a run", func() {
		l := batch.NewLedger()
		accept(l, "j", batch.Step{Count: 2})
		start(l, "w", 1, task("j", 0, 0))
		endWith(l, task("j", 0, 0), 1, batch.Health{Failures: 2, SpeedPercent: 210}, 2000)
		data, err := l.EncodeSnapshot()
		Expect(err).NotTo(HaveOccurred())
		restored := batch.NewLedger()
		Expect(restored.Restore(data)).To(Succeed())
		for _, l := range []*batch.Ledger{l, restored} {
			Expect(health(l, "w", 1)).To(Equal(batch.Health{Failures: 2, SpeedPercent: 210}))
			Expect(health(l, "w", 2)).To(BeZero())
			l.Apply(batch.Change{Starts: []batch.Start{{Task: task("j", 0, 1), Run: 1, Worker: "w", Incarnation: 2}}})
			Expect(health(l, "w", 1)).To(BeZero())
			endWith(l, task("j", 0, 0), 1, batch.Health{Failures: 3}, 3000)
			Expect(health(l, "w", 1)).To(BeZero(), "a repeated end of the earlier life")
		}
	})

	It("is dropped when it is as that of any other worker, or has not changed for long", func() {
		l := batch.NewLedger()
		accept(l, "j", batch.Step{Count: 3})
		for i := range 3 {
			start(l, fmt.Sprint("w", i), 1, task("j", 0, i))
			endWith(l, task("j", 0, i), 1, batch.Health{Failures: 1}, int64(1000*i))
		}
		start(l, "w1", 2, task("j", 0, 1))
		endWith(l, task("j", 0, 1), 2, batch.Health{}, 5000)
		l.Apply(batch.Change{AtMS: 601000, Purge: []string{"other"}})
		l.View(func(b *batch.State) { Expect(b.Health).To(HaveLen(1)) })
		Expect(health(l, "w2", 1)).To(Equal(batch.Health{Failures: 1}))
	})

	It("is kept of a bounded number of workers", func() {
		l := batch.NewLedger()
		for i := range batch.MaxHealthRecords + 10 {
			id := fmt.Sprint("j", i)
			accept(l, id, batch.Step{Count: 1})
			start(l, fmt.Sprint("w", i), 1, task(id, 0, 0))
			endWith(l, task(id, 0, 0), 1, batch.Health{Failures: 1}, int64(i))
		}
		l.View(func(b *batch.State) { Expect(b.Health).To(HaveLen(batch.MaxHealthRecords)) })
		Expect(health(l, "w9", 1)).To(BeZero())
		Expect(health(l, "w10", 1)).To(Equal(batch.Health{Failures: 1}))
	})
})
