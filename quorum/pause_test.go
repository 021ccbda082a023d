package quorum_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"turmericroute/quorum"
)

// pause stops hosts for the given number of ticks; what is sent to them meanwhile waits.
func (w *network) pause(ticks float64, hosts ...*host) {
	for _, h := range hosts {
		h.stalledUntil = w.now + ticks
	}
	w.run(ticks)
}

// others returns all hosts but one.
func (w *network) others(than *host) (list []*host) {
	for _, h := range w.hosts {
		if h != than {
			list = append(list, h)
		}
	}
	return list
}

var _ = Describe("A pause of members", func() {
	const seeds = 40

	// keepsLeader verifies that pauses end with the leader and the term before them, which holds its lease again.
	keepsLeader := func(ticks float64, paused func(w *network, leader *host) []*host) {
		for seed := range int64(seeds) {
			w := newNetwork(failf, seed, 5, 0)
			w.run(60)
			leader := w.leader()
			Expect(leader).NotTo(BeNil())
			before := leader.node.Status()
			for range 5 {
				w.pause(ticks, paused(w, leader)...)
				w.run(second)
				for _, h := range w.hosts {
					s := h.node.Status()
					Expect(s.Leader).To(Equal(leader.id), "seed %d: %s", seed, h.id)
					Expect(s.Term).To(Equal(before.Term), "seed %d: %s", seed, h.id)
				}
				Expect(leader.node.Status().Lease).To(BeTrue(), "seed %d", seed)
			}
		}
	}

	// Guards against elections by members that count the ticks of a pause before they read what the leader has sent
	// meanwhile, and against a leader that steps down while the answers to it are waiting.
	DescribeTable("does not end a term", keepsLeader,
		Entry("of one follower for 1 s", float64(second), func(w *network, l *host) []*host { return w.others(l)[:1] }),
		Entry("of a minority of followers for 1 s", float64(second), func(w *network, l *host) []*host { return w.others(l)[:2] }),
		Entry("of all followers for 250 ms", 5.0, func(w *network, l *host) []*host { return w.others(l) }),
		Entry("of the leader for 250 ms", 5.0, func(_ *network, l *host) []*host { return []*host{l} }),
		Entry("of all members for 1 s", float64(second), func(w *network, _ *host) []*host { return w.hosts }),
	)

	// Guards against pre-votes after a pause, which succeed when a majority has been paused at the same time.
	It("causes no pre-vote of a follower to which the leader's messages have been sent", func() {
		n, err := quorum.New(followerConfig())
		Expect(err).NotTo(HaveOccurred())
		heartbeat := quorum.Message{Kind: quorum.MessageHeartbeat, From: "a0", To: "b0", Term: 2}
		Expect(n.Step(heartbeat)).To(Succeed())
		ticks(n, 2)
		n.Tick(second)
		Expect(n.Step(heartbeat)).To(Succeed())
		for _, m := range drainReady(n) {
			Expect(m.Kind).To(Equal(quorum.MessageHeartbeatReply))
		}
	})

	// Guards against an answer under a lease that ran out during the pause: another member may lead by then.
	It("ends the lease of a leader, which a round after the pause renews in the same term", func() {
		n := electedLeader()
		reply(n, "a0", quorum.MessageAppendReply, 1, 3)
		_, ok := n.ReadIndex()
		Expect(ok).To(BeTrue())
		n.Tick(second)
		Expect(n.Status().Role).To(Equal(quorum.RoleLeader))
		reply(n, "a0", quorum.MessageHeartbeatReply, 1, 0)
		_, ok = n.ReadIndex()
		Expect(ok).To(BeFalse(), "the answer is to a round before the pause")
		reply(n, "a0", quorum.MessageHeartbeatReply, 2, 0)
		_, ok = n.ReadIndex()
		Expect(ok).To(BeTrue())
		Expect(n.Status().Term).To(Equal(uint64(3)))
	})

	// Guards against a leader that keeps its office for ever because each pause extends it.
	It("does not extend the time after which a leader without answers steps down by more than one tick", func() {
		n := electedLeader()
		for range 7 {
			n.Tick(second)
			Expect(n.Status().Role).To(Equal(quorum.RoleLeader))
			Expect(n.Status().Lease).To(BeFalse())
		}
		n.Tick(second)
		Expect(n.Status().Role).To(Equal(quorum.RoleFollower))
	})
})
