package quorum_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"turmericroute/quorum"
)

var _ = Describe("A sync in progress", func() {
	const seeds = 20

	// Guards against the loss of a lease, and of a term, because heartbeats wait for a slow disk.
	It("ends no term, however many members' syncs take 1 s", func() {
		for seed := range int64(seeds) {
			w := newNetwork(failf, seed, 5, 0)
			w.run(60)
			l := w.leader()
			Expect(l).NotTo(BeNil())
			term := l.node.Status().Term
			w.minSync = second
			for range 20 * second {
				w.run(1)
				if int(w.now)%10 == 0 {
					w.propose(1)
				}
				s := l.node.Status()
				Expect(s.Term).To(Equal(term), "seed %d", seed)
				Expect(s.Lease).To(BeTrue(), "seed %d at %v", seed, w.now)
			}
		}
	})

	// Guards against a promise to a leader that a member forgets when it restarts before its term is on disk.
	It("delays the answer to a heartbeat in a term that is not on disk", func() {
		n, err := quorum.New(followerConfig())
		Expect(err).NotTo(HaveOccurred())
		heartbeat := func(term, round uint64) {
			Expect(n.Step(quorum.Message{Kind: quorum.MessageHeartbeat, From: "a0", To: "b0", Term: term, Round: round})).To(Succeed())
		}
		heartbeat(3, 1)
		r, ok := n.Ready()
		Expect(ok).To(BeTrue())
		Expect(r.HardState).NotTo(BeNil())
		heartbeat(3, 2)
		Expect(n.Immediate()).To(BeEmpty())
		n.Advance(r)
		r, ok = n.Ready()
		Expect(ok).To(BeTrue())
		Expect(r.Messages).To(HaveLen(1))
		heartbeat(3, 3)
		Expect(n.Immediate()).To(ConsistOf(HaveField("Round", uint64(3))))
		heartbeat(4, 4)
		Expect(n.Immediate()).To(BeEmpty())
	})

	// Guards against entries that are sent again with each heartbeat while a member syncs them.
	It("is no reason to send the entries again", func() {
		n := electedLeader()
		reply(n, "a0", quorum.MessageAppendReply, 1, 3)
		drainReady(n)
		_, _, err := n.Propose([]byte("c"))
		Expect(err).NotTo(HaveOccurred())
		appends := func() (list []quorum.Message) {
			for _, m := range drainReady(n) {
				if m.Kind == quorum.MessageAppend && m.To == "a0" && len(m.Entries) > 0 {
					list = append(list, m)
				}
			}
			return list
		}
		Expect(appends()).To(HaveLen(1))
		answer := quorum.Message{Kind: quorum.MessageHeartbeatReply, From: "a0", To: "b0", Term: 3}
		for round := uint64(2); round < 6; round++ {
			ticks(n, 2)
			answer.Round, answer.Index = round, 4
			Expect(n.Step(answer)).To(Succeed())
			Expect(appends()).To(BeEmpty())
		}
		answer.Round, answer.Index = 5, 0
		Expect(n.Step(answer)).To(Succeed())
		Expect(appends()).To(HaveLen(1), "the append was lost")
	})
})
