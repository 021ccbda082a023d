package quorum_test

import (
	"fmt"
	"slices"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"turmericroute/quorum"
)

// longestTimeout is a Config.Rand that results in the longest election timeout, 16 ticks.
func longestTimeout(n int) int { return n - 1 }

func members(ids ...string) (list []quorum.Member) {
	for _, id := range ids {
		list = append(list, member(id+"0"))
	}
	return list
}

// followerConfig returns the configuration of b0, a voter with entries of terms 1 and 2.
func followerConfig() quorum.Config {
	return quorum.Config{
		ID: "b0", Rand: longestTimeout, MaxDrift: testDrift,
		Membership: quorum.Membership{Voters: members("a", "b", "c"), Learners: members("l")},
		HardState:  quorum.HardState{Term: 2},
		Entries:    []quorum.Entry{{Index: 1, Term: 1}, {Index: 2, Term: 2}},
	}
}

func failf(format string, args ...any) { Fail(fmt.Sprintf(format, args...)) }

func ticks(n *quorum.Node, count int) {
	for range count {
		n.Tick(1)
	}
}

// drainReady processes Ready until there is none and returns the messages.
func drainReady(n *quorum.Node) (sent []quorum.Message) {
	for r, ok := n.Ready(); ok; r, ok = n.Ready() {
		sent = append(sent, r.Messages...)
		n.Advance(r)
	}
	return sent
}

// electedLeader returns the leader of three voters, elected in term 3. It has
// synced the empty entry of its term, which is not committed yet.
func electedLeader() *quorum.Node {
	cfg := followerConfig()
	n, err := quorum.New(cfg)
	Expect(err).NotTo(HaveOccurred())
	ticks(n, 16)
	drainReady(n)
	Expect(n.Step(quorum.Message{Kind: quorum.MessagePreVoteReply, From: "a0", To: "b0", Term: 3})).To(Succeed())
	drainReady(n)
	Expect(n.Step(quorum.Message{Kind: quorum.MessageVoteReply, From: "a0", To: "b0", Term: 3})).To(Succeed())
	drainReady(n)
	Expect(n.Status().Role).To(Equal(quorum.RoleLeader))
	return n
}

// reply delivers a member's reply to the leader of term 3.
func reply(n *quorum.Node, from string, kind quorum.MessageKind, round, index uint64) {
	Expect(n.Step(quorum.Message{Kind: kind, From: from, To: "b0", Term: 3, Round: round, Index: index})).To(Succeed())
}

var _ = Describe("A vote request", func() {
	granted, rejected := func(m quorum.Message) bool { return !m.Reject }, func(m quorum.Message) bool { return m.Reject }
	heartbeat := quorum.Message{Kind: quorum.MessageHeartbeat, From: "a0", To: "b0", Term: 2}
	newer := quorum.Message{Kind: quorum.MessageAppendReply, From: "a0", To: "b0", Term: 3}
	request := quorum.Message{Kind: quorum.MessageVote, From: "c0", To: "b0", Term: 3, Index: 2, LogTerm: 2}
	with := func(change func(*quorum.Message)) quorum.Message {
		m := request
		change(&m)
		return m
	}
	promotion := func(index uint64) *quorum.Snapshot {
		return &quorum.Snapshot{Index: index, Membership: quorum.Membership{Voters: members("a", "b", "c")}}
	}
	learner := func(c *quorum.Config) {
		c.Membership = quorum.Membership{Voters: members("a", "c"), Learners: members("b")}
	}
	removed := func(commit uint64) func(*quorum.Config) {
		return func(c *quorum.Config) {
			e, err := quorum.EncodeMembership(c.Membership.Without("b0"))
			Expect(err).NotTo(HaveOccurred())
			e.Index, e.Term = 2, 2
			c.Entries[1], c.HardState.Commit = e, commit
		}
	}
	DescribeTable("is answered according to the lease, the log and the membership",
		func(change func(*quorum.Config), before []quorum.Message, wait int, m quorum.Message, expected func(quorum.Message) bool) {
			cfg := followerConfig()
			if change != nil {
				change(&cfg)
			}
			n, err := quorum.New(cfg)
			Expect(err).NotTo(HaveOccurred())
			ticks(n, 8)
			for _, b := range before {
				Expect(n.Step(b)).To(Succeed())
			}
			drainReady(n)
			ticks(n, wait)
			Expect(n.Step(m)).To(Succeed())
			r, _ := n.Ready()
			if expected == nil {
				Expect(r.Messages).To(BeEmpty())
				return
			}
			Expect(r.Messages).To(HaveLen(1))
			Expect(r.Messages[0]).To(Satisfy(expected))
			if !r.Messages[0].Reject && !slices.ContainsFunc(before, func(b quorum.Message) bool { return b.Kind == m.Kind }) {
				Expect(r.HardState).To(HaveValue(Equal(quorum.HardState{Term: 3, Vote: "c0", Commit: cfg.HardState.Commit})))
			}
		},
		Entry("granted and saved with the reply", nil, nil, 0, request, granted),
		Entry("granted and saved in a term that is already known", nil, []quorum.Message{newer}, 0, request, granted),
		Entry("rejected for a log that ends in an older term", nil, nil, 0, with(func(m *quorum.Message) { m.Index, m.LogTerm = 9, 1 }), rejected),
		Entry("rejected for a shorter log", nil, nil, 0, with(func(m *quorum.Message) { m.Index = 1 }), rejected),
		Entry("rejected for a second candidate", nil, []quorum.Message{request}, 0, with(func(m *quorum.Message) { m.From = "a0" }), rejected),
		Entry("granted again to the same candidate", nil, []quorum.Message{request}, 0, request, granted),
		Entry("ignored within a timeout after a heartbeat", nil, []quorum.Message{heartbeat}, 7, request, nil),
		Entry("granted one timeout after a heartbeat", nil, []quorum.Message{heartbeat}, 8, request, granted),
		Entry("ignored within a timeout after a heartbeat when the term is already known", nil, []quorum.Message{heartbeat, newer}, 7, request, nil),
		Entry("granted after a heartbeat of the leader that transfers its leadership", nil, []quorum.Message{heartbeat}, 0, with(func(m *quorum.Message) { m.HintTerm = 2 }), granted),
		Entry("ignored when a leader of an earlier term transferred its leadership", nil, []quorum.Message{heartbeat}, 0, with(func(m *quorum.Message) { m.HintTerm = 1 }), nil),
		Entry("ignored by a learner", learner, nil, 0, request, nil),
		Entry("ignored by a learner in the pre-vote", learner, nil, 0, with(func(m *quorum.Message) { m.Kind = quorum.MessagePreVote }), nil),
		Entry("granted by a learner that a newer membership promotes", learner, nil, 0, with(func(m *quorum.Message) { m.Snapshot = promotion(2) }), granted),
		Entry("ignored by a learner that an older membership had as a voter", removed(2), nil, 0, with(func(m *quorum.Message) { m.Snapshot = promotion(1) }), nil),
		Entry("granted by a voter whose removal is uncommitted", removed(1), nil, 0, request, granted),
	)
	It("is ignored within a timeout after a restart, since the member may have answered a round just before", func() {
		n, err := quorum.New(followerConfig())
		Expect(err).NotTo(HaveOccurred())
		ticks(n, 7)
		Expect(n.Step(request)).To(Succeed())
		Expect(drainReady(n)).To(BeEmpty())
	})
	It("is rejected when it is addressed to the ID of a lost disk", func() {
		cfg := followerConfig()
		cfg.ID, cfg.Membership, cfg.Entries, cfg.HardState = "b1", quorum.Membership{}, nil, quorum.HardState{}
		n, err := quorum.New(cfg)
		Expect(err).NotTo(HaveOccurred())
		ticks(n, 100)
		Expect(n.Step(request)).To(MatchError(quorum.ErrMisaddressed))
		Expect(n.Step(with(func(m *quorum.Message) { m.To = "b1" }))).To(Succeed())
		Expect(drainReady(n)).To(BeEmpty())
	})
})

var _ = Describe("A leader", func() {
	It("holds its lease for floor((8-1)*0.9) = 6 ticks from the start of an answered round", func() {
		n := electedLeader()
		round := uint64(1)
		reply(n, "l0", quorum.MessageHeartbeatReply, round, 0)
		Expect(n.Status().Lease).To(BeFalse(), "a learner does not count towards the majority")
		ticks(n, 1)
		reply(n, "a0", quorum.MessageHeartbeatReply, round, 0)
		ticks(n, 4)
		Expect(n.Status().Lease).To(BeTrue())
		_, ok := n.ReadIndex()
		Expect(ok).To(BeFalse(), "no entry of the term is committed")
		ticks(n, 1)
		Expect(n.Status().Lease).To(BeFalse())
	})
	It("steps down one timeout after the last round that a majority answered", func() {
		n := electedLeader()
		ticks(n, 2)
		reply(n, "a0", quorum.MessageHeartbeatReply, 2, 0)
		ticks(n, 7)
		Expect(n.Status().Role).To(Equal(quorum.RoleLeader))
		ticks(n, 1)
		Expect(n.Status().Role).To(Equal(quorum.RoleFollower))
	})
	It("gives up its lease for the rest of its term when it transfers its leadership", func() {
		n := electedLeader()
		reply(n, "a0", quorum.MessageAppendReply, 1, 3)
		_, ok := n.ReadIndex()
		Expect(ok).To(BeTrue())
		Expect(n.TransferLeadership("l0")).To(MatchError(quorum.ErrNotVoter))
		Expect(n.TransferLeadership("a0")).To(Succeed())
		for round := uint64(1); round <= 4; round++ {
			Expect(n.Status().Role).To(Equal(quorum.RoleLeader))
			reply(n, "a0", quorum.MessageHeartbeatReply, round, 0)
			_, ok = n.ReadIndex()
			Expect(ok).To(BeFalse())
			_, _, err := n.Propose(nil)
			Expect(err).To(MatchError(quorum.ErrNotLeader))
			ticks(n, 2)
		}
		Expect(n.Status().Role).To(Equal(quorum.RoleFollower), "the message to the voter may be delayed")
	})
	It("cancels a transfer to a voter that does not catch up", func() {
		n := electedLeader()
		Expect(n.TransferLeadership("c0")).To(Succeed())
		ticks(n, 7)
		reply(n, "a0", quorum.MessageAppendReply, 4, 3)
		ticks(n, 1)
		_, _, err := n.Propose(nil)
		Expect(err).NotTo(HaveOccurred())
	})
	DescribeTable("rejects a membership", func(committed bool, change func(quorum.Membership) quorum.Membership, expected error) {
		n := electedLeader()
		if committed {
			reply(n, "a0", quorum.MessageAppendReply, 1, 3)
		}
		_, _, err := n.ProposeMembership(change(n.Status().Membership))
		if expected != nil {
			Expect(err).To(MatchError(expected))
			return
		}
		Expect(err).NotTo(HaveOccurred())
		_, _, err = n.ProposeMembership(change(n.Status().Membership))
		Expect(err).To(MatchError(quorum.ErrPending))
	},
		Entry("before it has committed an entry of its term", false, func(m quorum.Membership) quorum.Membership { return m.Without("l0") }, quorum.ErrPending),
		Entry("while another is uncommitted", true, func(m quorum.Membership) quorum.Membership { return m.Without("l0") }, nil),
		Entry("that replaces a voter", true, func(m quorum.Membership) quorum.Membership {
			return m.Without("c0").WithVoter(m.Learners[0])
		}, quorum.ErrTooManyChanges),
		Entry("that promotes an inactive learner", true, func(m quorum.Membership) quorum.Membership {
			return m.WithVoter(m.Learners[0])
		}, quorum.ErrNotCaughtUp),
		Entry("that promotes an unknown member", true, func(m quorum.Membership) quorum.Membership { return m.WithVoter(member("x0")) }, quorum.ErrNotCaughtUp),
		Entry("without voters", true, func(quorum.Membership) quorum.Membership { return quorum.Membership{} }, quorum.ErrInvalidMembership),
		Entry("with a duplicate ID", true, func(m quorum.Membership) quorum.Membership {
			m.Learners = members("a")
			return m
		}, quorum.ErrInvalidMembership),
	)
	It("limits the size of appends and skips whole terms after a rejection", func() {
		cfg := followerConfig()
		cfg.Entries = nil
		for i := range uint64(300) {
			cfg.Entries = append(cfg.Entries, quorum.Entry{Index: i + 1, Term: 1 + i/100, Data: make([]byte, 76)})
		}
		cfg.HardState.Term, cfg.Membership, cfg.MaxBatchBytes = 3, quorum.Membership{Voters: members("b"), Learners: members("l")}, 1000
		n, err := quorum.New(cfg)
		Expect(err).NotTo(HaveOccurred())
		ticks(n, 16)
		appends := func() (list []quorum.Message) {
			for _, m := range drainReady(n) {
				if m.Kind == quorum.MessageAppend {
					list = append(list, m)
				}
			}
			return list
		}
		prev := appends()[0].Index
		Expect(prev).To(Equal(uint64(300)))
		// The learner has 250 entries of which only the first 100 are the leader's.
		reject := quorum.Message{Kind: quorum.MessageAppendReply, From: "l0", To: "b0", Term: 4, Reject: true, Index: prev, Hint: 250, HintTerm: 1}
		Expect(n.Step(reject)).To(Succeed())
		probe := appends()
		Expect(probe).To(HaveLen(1))
		Expect(probe[0].Index).To(Equal(uint64(100)))
		Expect(n.Step(quorum.Message{Kind: quorum.MessageAppendReply, From: "l0", To: "b0", Term: 4, Index: 110})).To(Succeed())
		batches := appends()
		Expect(len(batches)).To(BeNumerically(">", 1))
		for _, m := range batches {
			Expect(len(m.Entries)).To(BeNumerically("<=", 10))
		}
	})
	It("resends a lost append after the next heartbeat", func() {
		w := newNetwork(failf, 1, 3, 0)
		w.run(30)
		w.loss = 1
		w.propose(1)
		w.run(2)
		Expect(w.leader().applied).To(Equal(uint64(1)))
		w.loss = 0
		w.run(6)
		for _, h := range w.hosts {
			Expect(h.applied).To(Equal(w.leader().applied))
		}
		Expect(w.leader().applied).To(Equal(uint64(2)))
	})
	It("transfers its leadership in less than a timeout once its removal is committed", func() {
		w := newNetwork(failf, 1, 3, 0)
		w.run(30)
		old := w.leader()
		_, _, err := old.node.ProposeMembership(old.node.Status().Membership.Without(old.id))
		Expect(err).NotTo(HaveOccurred())
		w.run(5)
		Expect(old.node.Status().Role).To(Equal(quorum.RoleLearner))
		Expect(w.leader()).NotTo(BeNil())
	})
})

var _ = Describe("A restart", func() {
	snapshot := quorum.Snapshot{Index: 2, Term: 2, Membership: quorum.Membership{Voters: members("a", "b")}}
	DescribeTable("resumes from the synced state", func(entries []quorum.Entry, last uint64, expected error) {
		cfg := followerConfig()
		cfg.Snapshot, cfg.Entries, cfg.HardState.Commit = &snapshot, entries, 9
		n, err := quorum.New(cfg)
		if expected != nil {
			Expect(err).To(MatchError(expected))
			return
		}
		Expect(err).NotTo(HaveOccurred())
		s := n.Status()
		Expect([]uint64{s.Last, s.Commit, s.Applied}).To(Equal([]uint64{last, last, 2}), "a torn write may lose entries up to the commit index")
		Expect(s.Membership).To(Equal(snapshot.Membership))
	},
		Entry("after the snapshot", []quorum.Entry{{Index: 3, Term: 2}}, uint64(3), nil),
		Entry("with entries that the snapshot covers", []quorum.Entry{{Index: 1, Term: 1}, {Index: 2, Term: 2}, {Index: 3, Term: 2}}, uint64(3), nil),
		Entry("with a log that the snapshot replaced", []quorum.Entry{{Index: 2, Term: 1}, {Index: 3, Term: 2}}, uint64(2), nil),
		Entry("with an older log after the snapshot", []quorum.Entry{{Index: 3, Term: 1}}, uint64(2), nil),
		Entry("unless entries are missing after the snapshot", []quorum.Entry{{Index: 4, Term: 2}}, uint64(0), quorum.ErrMalformed),
	)
	It("rejects a compaction to an entry that is not applied or with another membership", func() {
		n := electedLeader()
		reply(n, "a0", quorum.MessageAppendReply, 1, 3)
		s := quorum.Snapshot{Index: 3, Term: 3, Membership: n.Status().Membership}
		Expect(n.Compact(s, 0)).To(MatchError(quorum.ErrBadSnapshot))
		drainReady(n)
		Expect(n.Compact(snapshot, 0)).To(MatchError(quorum.ErrBadSnapshot))
		Expect(n.Compact(s, 1)).To(Succeed())
		Expect(n.Status().First).To(Equal(uint64(3)))
	})
})

var _ = Describe("a member that restarts with a snapshot", func() {
	restart := func(terms ...uint64) (uint64, error) {
		cfg := followerConfig()
		cfg.HardState.Term = 9
		cfg.Snapshot = &quorum.Snapshot{Index: 4, Term: 5, Membership: cfg.Membership}
		cfg.Entries = nil
		for i, t := range terms {
			cfg.Entries = append(cfg.Entries, quorum.Entry{Index: 5 + uint64(i), Term: t})
		}
		n, err := quorum.New(cfg)
		if err != nil {
			return 0, err
		}
		return n.Status().Last, nil
	}

	It("drops entries of a log that the snapshot has replaced", func() {
		Expect(restart(4, 4)).To(BeEquivalentTo(4))
		Expect(restart(5, 6)).To(BeEquivalentTo(6))
	})

	// Guards against entries that were acknowledged being dropped without a word, because a later one is malformed.
	It("refuses entries whose terms go back, rather than dropping those before", func() {
		Expect(restart(5, 4)).Error().To(MatchError(quorum.ErrMalformed))
	})
})
