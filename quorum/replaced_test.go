package quorum_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"turmericroute/quorum"
)

var _ = Describe("A write in progress whose last entries are replaced", func() {
	// Guards against entries that are synced and acknowledged being written a second time, whose loss in a torn write
	// would lose what was acknowledged, and against a log that is compacted beyond what counts as synced.
	It("leaves the entries before them synced", func() {
		n, err := quorum.New(followerConfig())
		Expect(err).NotTo(HaveOccurred())
		drainReady(n)
		entry := func(index, term uint64) quorum.Entry { return quorum.Entry{Index: index, Term: term} }
		appended := func(from string, term, after, afterTerm uint64, entries ...quorum.Entry) {
			Expect(n.Step(quorum.Message{Kind: quorum.MessageAppend, From: from, To: "b0", Term: term, Index: after, LogTerm: afterTerm, Commit: 4, Entries: entries})).To(Succeed())
		}
		appended("a0", 3, 2, 2, entry(3, 3), entry(4, 3), entry(5, 3), entry(6, 3))
		first, ok := n.Ready()
		Expect(ok).To(BeTrue())
		Expect(first.Entries).To(HaveLen(4))
		appended("c0", 4, 4, 3, entry(5, 4))
		n.Advance(first)
		second, ok := n.Ready()
		Expect(ok).To(BeTrue())
		Expect(second.Entries).To(Equal([]quorum.Entry{entry(5, 4)}))

		m, _ := n.MembershipAt(4)
		Expect(n.Compact(quorum.Snapshot{Index: 4, Term: 3, Membership: m}, 0)).To(Succeed())
		appended("a0", 5, 4, 3, entry(5, 5))
		n.Advance(second)
		third, ok := n.Ready()
		Expect(ok).To(BeTrue())
		Expect(third.Entries).To(Equal([]quorum.Entry{entry(5, 5)}))
	})
})
