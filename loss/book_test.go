package loss_test

import (
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"turmericroute/batch"
	"turmericroute/loss"
)

func key(index int) loss.Key { return loss.Key{Task: batch.TaskID{Job: "j", Index: index}, Run: 1} }

// started returns a book with reported runs of n tasks that began at 1 s, and whose gang has formed a second later.
func started(n int, gang bool) *loss.Book {
	b := loss.NewBook()
	for i := range n {
		b.Order(key(i), gang, time.Second)
		b.Report(key(i), "", time.Second)
	}
	if gang {
		b.Order(key(n), gang, 2*time.Second)
		b.Form(key(0), 3*time.Second)
	}
	return b
}

var _ = Describe("a run that ends", func() {
	DescribeTable("loses what it has worked since its checkpoint",
		func(e loss.End, stop loss.Cause, cause loss.Cause, lost float64) {
			b := started(1, false)
			b.Report(key(0), "c1", 3*time.Second)
			b.Stop(key(0), false, stop)
			e.Cores = 4
			r, _ := b.End(key(0), e, 6*time.Second)
			work, wait := r.Lost()
			Expect(r.Cause).To(Equal(cause))
			Expect(work).To(Equal(lost))
			Expect(wait).To(BeZero())
		},
		Entry("done", loss.End{Reason: batch.EndDone, Counts: true}, loss.None, loss.None, 0.0),
		Entry("failed", loss.End{Reason: batch.EndFailed}, loss.None, loss.Failed, 20.0),
		Entry("preempted", loss.End{Reason: batch.EndStopped}, loss.Preempted(2, 0), loss.Cause("preempted_2_for_0"), 20.0),
		Entry("preempted, with a checkpoint at the stop", loss.End{Reason: batch.EndStopped, Checkpoints: true, Checkpoint: "c2"}, loss.Preempted(2, 0), loss.Cause("preempted_2_for_0"), 0.0),
		Entry("lost, with an earlier checkpoint", loss.End{Reason: batch.EndLost, Checkpoints: true}, loss.None, loss.WorkerLost, 12.0),
		Entry("done twice", loss.End{Reason: batch.EndDone, Replaced: true}, loss.None, loss.Replaced, 20.0),
		Entry("never started", loss.End{Reason: batch.EndNeverStarted}, loss.JobCancelled, loss.None, 0.0),
	)

	// Guards against an account that names only the symptom: the members of a broken gang say nothing of why it broke, and
	// some report before the member that does.
	It("takes the cause of the first member that tells it, for those before and after", func() {
		b := started(3, true)
		broken := loss.End{Reason: batch.EndGangBroken, Gang: true, Cores: 2}
		r, resolved := b.End(key(1), broken, 4*time.Second)
		Expect(r.Cause).To(Equal(loss.Unresolved))
		Expect(resolved).To(BeEmpty())
		r, resolved = b.End(key(0), loss.End{Reason: batch.EndFailed, Gang: true, Cores: 2}, 4*time.Second)
		Expect(r.Cause).To(Equal(loss.Failed))
		Expect(resolved).To(ConsistOf(loss.Resolved{Gang: key(0), Cause: loss.MemberFailed, Sum: loss.Sum{Runs: 1, CoreSeconds: 4}}))
		r, _ = b.End(key(2), broken, 4*time.Second)
		Expect(r.Cause).To(Equal(loss.MemberFailed))
		Expect(b.Recent.Table(4 * time.Second)).To(Equal(loss.Table{
			loss.Failed: {Runs: 1, CoreSeconds: 4}, loss.MemberFailed: {Runs: 2, CoreSeconds: 8}, loss.GangWait: {Runs: 3, CoreSeconds: 6},
		}))
		Expect(b.Recent.Table(2 * time.Minute)).To(BeEmpty())
	})

	// Guards against a gang whose lost member is never heard from again and leaves the cause open.
	It("counts a broken gang without a cause as one that lost a member", func() {
		b := started(2, true)
		b.End(key(1), loss.End{Reason: batch.EndGangBroken, Gang: true, Cores: 2}, 4*time.Second)
		none := func(loss.Key) bool { return false }
		Expect(b.Prune(13*time.Second, none)).To(BeEmpty())
		Expect(b.Prune(14*time.Second, none)).To(HaveLen(1))
		Expect(b.Recent.Table(13 * time.Second)).To(HaveKeyWithValue(loss.MemberLost, loss.Sum{Runs: 1, CoreSeconds: 4}))
	})

	// Guards against broken gangs without a cause after a change of leader: the run that broke the gang had ended before the
	// new leader heard of it.
	It("tells the cause of its gang even if it has never been reported as running", func() {
		b := started(2, true)
		b.End(key(1), loss.End{Reason: batch.EndGangBroken, Gang: true, Cores: 2}, 4*time.Second)
		unknown := key(2)
		r, resolved := b.End(unknown, loss.End{Reason: batch.EndLeaseExpired, Gang: true, Cores: 2}, 4*time.Second)
		Expect(r).To(BeZero())
		Expect(resolved).To(HaveLen(1))
		Expect(resolved[0].Cause).To(Equal(loss.MemberLost))
	})

	It("is not asked for its work before it is reported", func() {
		b := loss.NewBook()
		b.Order(key(0), false, 0)
		_, _, ok := b.Worked(key(0), time.Second)
		Expect(ok).To(BeFalse())
		b.Report(key(0), "", time.Second)
		b.Report(key(0), "c1", 2*time.Second)
		held, unsaved, ok := b.Worked(key(0), 3*time.Second)
		Expect([]any{held, unsaved, ok}).To(Equal([]any{3 * time.Second, time.Second, true}))
	})
})

var _ = It("reads from logs what ended runs have lost", func() {
	t := loss.Table{}
	Expect(loss.ReadLog(strings.NewReader(`ts=1 event=run_ended how=broken cause=unresolved lost=4 waited=1 term=1 err=null
ts=1 event=run_ended how=broken cause=unresolved lost=6 waited=0 term=1 err=null
ts=1 event=run_ended how=done cause= lost=0 waited=0 term=1 err=null
ts=1 event=run_ended how=failed cause=failed lost=7 waited=0 term=1 err="no quorum"
ts=1 event=gang_loss_resolved task=j.0.0.0 run=1 cause=member_failed runs=2 lost=10 term=1
`), t)).To(Succeed())
	Expect(t).To(Equal(loss.Table{loss.MemberFailed: {Runs: 2, CoreSeconds: 10}, loss.GangWait: {Runs: 1, CoreSeconds: 1}}))
	var out strings.Builder
	Expect(t.Write(&out)).To(Succeed())
	Expect(out.String()).To(MatchRegexp(`2 +10 +90.9% +member_failed`))
})

// Guards against work that goes on in vain on a worker that leaves, and against stopping a run for a rounded figure.
var _ = DescribeTable("the least remaining time of a run",
	func(p loss.Progress, least time.Duration, endsIn bool) {
		Expect(p.LeastRemaining()).To(Equal(least))
		Expect(p.EndsIn(2 * time.Second)).To(Equal(endsIn))
	},
	Entry("half done", loss.Progress{Elapsed: time.Second, Percent: 49}, time.Second, true),
	Entry("a fifth done", loss.Progress{Elapsed: time.Second, Percent: 19}, 4*time.Second, false),
	Entry("taken over by a new leader", loss.Progress{Elapsed: time.Second, From: 40, Percent: 49}, 5*time.Second, false),
	Entry("without progress", loss.Progress{Elapsed: time.Minute}, time.Duration(0), true),
	Entry("done", loss.Progress{Elapsed: time.Second, Percent: 100}, time.Duration(0), true),
)
