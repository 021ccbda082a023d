package quorum_test

import (
	"errors"
	"fmt"
	"maps"
	"slices"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"turmericroute/quorum"
)

// step is one action of a random history, with its parameters and the time until the next step.
type step struct {
	action string
	a, b   int
	ticks  float64
}

var actions = map[string]func(*network, int, int){
	"propose":   func(w *network, a, _ int) { w.propose(a%30 + 1) },
	"isolate":   func(w *network, a, _ int) { w.split(func(i int) bool { return i == a%len(w.hosts) }, true) },
	"halve":     func(w *network, a, _ int) { w.split(func(i int) bool { return a>>i&1 == 1 }, true) },
	"one_way":   func(w *network, a, _ int) { w.split(func(i int) bool { return a>>i&1 == 1 }, false) },
	"reconnect": func(w *network, _, _ int) { w.cut = map[[2]int]bool{} },
	"crash": func(w *network, a, _ int) {
		if h := w.hosts[a%len(w.hosts)]; h.node != nil {
			w.crash(h)
		}
	},
	"restart": func(w *network, _, _ int) {
		for _, h := range w.hosts {
			if h.node == nil {
				w.start(h)
			}
		}
	},
	"stall": func(w *network, a, b int) {
		h := w.hosts[a%len(w.hosts)]
		h.stalledUntil = max(h.stalledUntil, w.now+float64(b%30))
	},
	"slow":  func(w *network, a, b int) { w.delay, w.syncTime = float64(a%12), float64(b%5) },
	"lossy": func(w *network, a, b int) { w.loss, w.duplicate = float64(a%5)/10, float64(b%5)/10 },
	"lose_disk": func(w *network, a, _ int) {
		if w.mayLoseDisk() {
			w.loseDisk(w.hosts[a%len(w.hosts)])
		}
	},
	"change": func(w *network, a, _ int) { w.changeMembership(a) },
	"transfer": func(w *network, a, _ int) {
		if h := w.leader(); h != nil {
			_ = h.node.TransferLeadership(w.hosts[a%len(w.hosts)].id)
		}
	},
	"compact": func(w *network, a, b int) {
		if h := w.hosts[a%len(w.hosts)]; h.node != nil {
			w.compact(h, b%4)
		}
	},
}

func steps() *rapid.Generator[step] {
	names := slices.Sorted(maps.Keys(actions))
	return rapid.Custom(func(t *rapid.T) step {
		return step{
			action: rapid.SampledFrom(names).Draw(t, "action"),
			a:      rapid.IntRange(0, 1<<10).Draw(t, "a"),
			b:      rapid.IntRange(0, 1<<10).Draw(t, "b"),
			ticks:  float64(rapid.IntRange(0, 30).Draw(t, "ticks")),
		}
	})
}

var _ = Describe("A network of members", func() {
	runHistories := func(voters, spares int) {
		leases, commits := 0, uint64(0)
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			seed := rapid.Int64().Draw(t, "seed")
			w := newNetwork(t.Fatalf, seed, voters, spares)
			w.run(20)
			for _, s := range rapid.SliceOfN(steps(), 10, 60).Draw(t, "steps") {
				actions[s.action](w, s.a, s.b)
				w.run(s.ticks / 2)
				w.propose(s.b % 3)
				w.run(s.ticks / 2)
			}
			w.verifyRecovery()
			leases += w.leaseReads
			commits += w.commit.index
		})
		// Guards against histories that never exercise leases or commits.
		Expect(leases).To(BeNumerically(">", 0))
		Expect(commits).To(BeNumerically(">", 0))
		AddReportEntry("events with a lease, commits", []uint64{uint64(leases), commits})
	}
	It("is safe and recovers with three voters and two spares", func() { runHistories(3, 2) })
	It("is safe and recovers with five voters and a spare", func() { runHistories(5, 1) })
	It("is safe and recovers with one voter and two spares", func() { runHistories(1, 2) })
})

// propose makes proposals on every running member; each one that considers
// itself the leader accepts them, even if it is outdated.
func (w *network) propose(count int) {
	for _, h := range w.hosts {
		for range count {
			if h.node != nil && h.stalledUntil <= w.now {
				w.proposed++
				_, _, _ = h.node.Propose(fmt.Append(nil, w.proposed))
			}
		}
	}
}

// split cuts the links from one side to the other, and the reverse links if both is set.
func (w *network) split(side func(int) bool, both bool) {
	for i := range w.hosts {
		for j := range w.hosts {
			if side(i) && !side(j) {
				w.cut[[2]int{i, j}] = true
				w.cut[[2]int{j, i}] = both
			}
		}
	}
}

// mayLoseDisk reports whether another disk may be lost without losing a majority:
// all hosts are up, the voters agree on the membership and it has no lost disk.
func (w *network) mayLoseDisk() bool {
	l := w.leader()
	if l == nil || l.node.Status().Pending || len(l.node.Status().Membership.Voters) < 3 {
		return false
	}
	m := l.node.Status().Membership
	for _, h := range w.hosts {
		if h.node == nil || m.IsVoter(h.id) && !h.node.Status().Membership.Equal(m) {
			return false
		}
	}
	return w.lostVoter(m) == ""
}

// lostVoter returns the ID of a voter whose disk is lost, empty for none.
func (w *network) lostVoter(m quorum.Membership) string {
	for _, v := range m.Voters {
		if i, _ := w.hostIndex(v.ID); w.hosts[i].id != v.ID {
			return v.ID
		}
	}
	return ""
}

// changeMembership proposes to remove a voter whose disk is lost, or else to add, promote
// or remove the host that a selects.
func (w *network) changeMembership(a int) {
	h := w.leader()
	if h == nil || h.stalledUntil > w.now {
		return
	}
	m := h.node.Status().Membership
	next := m
	other := w.hosts[a%len(w.hosts)]
	if id := w.lostVoter(m); id != "" {
		next = m.Without(id)
	} else if _, ok := m.Find(other.id); !ok {
		next = m.WithLearner(member(other.id))
	} else if m.IsLearner(other.id) {
		next = m.WithVoter(member(other.id))
	} else if len(m.Voters) > 2 {
		next = m.Without(other.id)
	}
	_, _, err := h.node.ProposeMembership(next)
	for _, expected := range []error{nil, quorum.ErrPending, quorum.ErrNotCaughtUp, quorum.ErrNotLeader} {
		if errors.Is(err, expected) {
			return
		}
	}
	w.fail("propose %+v: %v", next, err)
}

// verifyRecovery ends the faults and verifies that a leader is elected and that all
// members apply an entry that it proposes.
func (w *network) verifyRecovery() {
	w.heal()
	w.run(150)
	l := w.leader()
	if l == nil {
		for _, h := range w.hosts {
			w.fail("no leader after the faults ended: %+v", h.node.Status())
		}
	}
	index, _, err := l.node.Propose([]byte("last"))
	if err != nil {
		w.fail("propose after the faults ended: %v", err)
	}
	w.run(50)
	m := l.node.Status().Membership
	for _, h := range w.hosts {
		if _, ok := m.Find(h.id); ok && h.applied < index {
			w.fail("%s applied entries up to %d instead of %d after the faults ended: %+v", h.id, h.applied, index, h.node.Status())
		}
	}
}
