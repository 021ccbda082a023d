package ctrl_test

import (
	"context"
	"fmt"
	"maps"
	"os"
	"slices"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"turmericroute/ctrl"
	"turmericroute/quorum"
)

// machineState is a control machine in membershipModel.
type machineState struct {
	quorum.Member
	up     bool
	behind bool // has not caught up with the log
	disks  int  // how many disks it has had
}

// membershipModel steers a membership by NextOpenMembership while machines fall silent, return and lose their disks. Any
// voter that is up leads while a majority of the voters is up.
type membershipModel struct {
	t          *rapid.T
	tolerated  int
	machines   []*machineState
	membership quorum.Membership
	// newLeader means that the leader has not led for long enough to take any voter for silent.
	newLeader bool
	// smallest is the smallest majority that the membership has needed so far, at most tolerated+1.
	smallest int
}

// newMembershipModel returns a model of machines in a number of data centres, 0 for unknown ones.
func newMembershipModel(t *rapid.T, machines, seeds, tolerated, dataCentres int) *membershipModel {
	m := &membershipModel{t: t, tolerated: tolerated}
	for i := range machines {
		s := &machineState{Member: quorum.Member{Name: fmt.Sprint(i)}, up: true}
		if dataCentres > 0 {
			s.DataCentre = fmt.Sprint("dc", rapid.IntRange(0, dataCentres-1).Draw(t, "data centre"))
		}
		m.machines = append(m.machines, s)
		s.newDisk()
		if i < seeds {
			m.membership.Voters = append(m.membership.Voters, s.Member)
		}
	}
	m.smallest = min(majority(m.membership), tolerated+1)
	return m
}

func (s *machineState) newDisk() {
	s.disks++
	s.ID = fmt.Sprintf("%s-%d", s.Name, s.disks)
}

func majority(m quorum.Membership) int { return len(m.Voters)/2 + 1 }

// running returns the machine that runs with a disk, nil if it is down or has another disk.
func (m *membershipModel) running(id string) *machineState {
	for _, s := range m.machines {
		if s.ID == id && s.up {
			return s
		}
	}
	return nil
}

// status returns what a leader sees, false if no voter can lead.
func (m *membershipModel) status() (quorum.Status, map[string]bool, bool) {
	s := quorum.Status{Role: quorum.RoleLeader, Membership: m.membership, Members: map[string]quorum.MemberStatus{}}
	silent := map[string]bool{}
	up := 0
	for _, v := range m.membership.Voters {
		if m.running(v.ID) == nil {
			silent[v.ID] = !m.newLeader
			continue
		}
		up++
		s.ID = v.ID
	}
	for _, l := range m.membership.Learners {
		s.Members[l.ID] = quorum.MemberStatus{CaughtUp: m.running(l.ID) != nil && !m.running(l.ID).behind}
	}
	return s, silent, up >= majority(m.membership)
}

// join adds the machines that run and are no members as learners, replacing earlier learners of their name.
func (m *membershipModel) join() {
	for _, s := range m.machines {
		if _, ok := m.membership.Find(s.ID); ok || !s.up {
			continue
		}
		for _, l := range m.membership.Learners {
			if l.Name == s.Name {
				m.membership = m.membership.Without(l.ID)
			}
		}
		m.membership = m.membership.WithLearner(s.Member)
	}
}

// steer makes up to n changes of the membership and reports whether there are no more.
func (m *membershipModel) steer(n int) bool {
	for range n {
		if _, _, ok := m.status(); !ok {
			return true
		}
		m.join()
		s, silent, _ := m.status()
		next, change := ctrl.NextOpenMembership(s, silent, m.tolerated)
		if change == "" {
			return true
		}
		// While a lost voter is replaced, a data centre may hold a majority for a short time.
		spread := !m.crowdsAt(m.fullSize()) && !m.hasLostVoter() && len(m.membership.Voters) > 2 && majority(m.membership) > m.tolerated && m.largestShare() < majority(m.membership)
		m.membership = next
		if n := m.largestShare(); spread && n >= majority(next) {
			m.t.Fatalf("%s: %d of %d voters are in one data centre", change, n, len(next.Voters))
		}
		m.t.Logf("%s: %v of %v, tolerated %d", change, next.Voters, next.Learners, m.tolerated)
		if got := majority(next); got < m.smallest {
			m.t.Fatalf("%s: an entry is committed on %d disks, %d losses are to be tolerated", change, got, m.tolerated)
		}
		m.smallest = max(m.smallest, min(majority(next), m.tolerated+1))
	}
	return false
}

// disturb changes the state of one machine. A disk is lost only while the voters that remain can commit.
func (m *membershipModel) disturb() {
	s := rapid.SampledFrom(m.machines).Draw(m.t, "machine")
	before := *s
	action := rapid.SampledFrom([]string{"silence", "return", "catch up", "lose disk"}).Draw(m.t, "action")
	switch action {
	case "silence":
		s.up = false
	case "return":
		s.up, s.behind = true, rapid.Bool().Draw(m.t, "behind")
	case "catch up":
		s.behind = false
	default:
		s.newDisk()
		s.behind = true
		voters := 0
		for _, v := range m.membership.Voters {
			for _, o := range m.machines {
				if o.ID == v.ID {
					voters++
				}
			}
		}
		if voters < majority(m.membership) {
			*s = before
			return
		}
	}
	m.t.Logf("machine %s: %s", s.Name, action)
}

// largestShare is the largest number of voters in one data centre that have their disks.
func (m *membershipModel) largestShare() int {
	voters, n := map[string]int{}, 0
	for _, s := range m.machines {
		if m.membership.IsVoter(s.ID) && s.DataCentre != "" {
			voters[s.DataCentre]++
			n = max(n, voters[s.DataCentre])
		}
	}
	return n
}

// hasLostVoter reports whether a voter's disk is gone.
func (m *membershipModel) hasLostVoter() bool {
	return slices.ContainsFunc(m.membership.Voters, func(v quorum.Member) bool {
		return !slices.ContainsFunc(m.machines, func(s *machineState) bool { return s.ID == v.ID })
	})
}

// crowdsAt reports whether any choice of so many voters has a majority in one data centre.
func (m *membershipModel) crowdsAt(voters int) bool {
	machines, choices := map[string]int{}, 0
	for _, s := range m.machines {
		machines[s.DataCentre]++
		if s.DataCentre == "" || machines[s.DataCentre] <= voters/2 {
			choices++
		}
	}
	return choices < voters
}

// fullSize is the number of voters when all machines run and have caught up.
func (m *membershipModel) fullSize() int {
	n := min(len(m.machines), max(5, 2*m.tolerated+1))
	if n%2 == 0 && n-1 >= 2*m.tolerated {
		n--
	}
	return n
}

var _ = Describe("the membership of an open cluster", func() {
	// Guards against removals after which an acknowledged entry is on fewer disks than may be lost together, against
	// sequences that end with too few voters, or without an end, and against lost voters that stay for as long as a
	// silent one although their replacement votes.
	It("keeps a majority of more disks than may be lost and returns to its full size", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			tolerated := rapid.IntRange(1, 3).Draw(t, "tolerated")
			machines := rapid.IntRange(2*tolerated+1, 2*tolerated+3).Draw(t, "machines")
			m := newMembershipModel(t, machines, rapid.IntRange(1, 3).Draw(t, "seeds"), tolerated, rapid.SampledFrom([]int{0, 3, 4, 5}).Draw(t, "data centres"))
			for range rapid.IntRange(0, 60).Draw(t, "disturbances") {
				m.disturb()
				m.steer(rapid.IntRange(0, 4).Draw(t, "changes"))
			}
			for _, s := range m.machines {
				s.up, s.behind = true, false
			}
			m.newLeader = true
			if !m.steer(4 * machines) {
				t.Fatalf("the membership changes without end: %v", m.membership)
			}
			if got := len(m.membership.Voters); got != m.fullSize() && (!m.crowdsAt(m.fullSize()) || majority(m.membership) <= tolerated) {
				t.Fatalf("%d voters of %d machines, want %d", got, machines, m.fullSize())
			}
			if n := m.largestShare(); n >= majority(m.membership) && !m.crowdsAt(len(m.membership.Voters)) {
				t.Fatalf("%d of %d voters are in one data centre", n, len(m.membership.Voters))
			}
			if _, lost, _ := m.status(); len(lost) > 0 {
				t.Fatalf("voters without a disk remain: %v", lost)
			}
		})
	})

	// Guards against a membership that can elect no leader any more, once two disks are lost while a silent voter, which
	// comes back with its disk, has been removed and its replacement doesn't vote yet.
	It("keeps a majority when two disks are lost before a silent voter is replaced", func() {
		m := quorum.Membership{Learners: []quorum.Member{{Name: "f", ID: "f1"}}}
		for _, name := range []string{"a", "b", "c", "d", "e"} {
			m.Voters = append(m.Voters, quorum.Member{Name: name, ID: name + "1"})
		}
		s := quorum.Status{ID: "a1", Role: quorum.RoleLeader, Membership: m, Members: map[string]quorum.MemberStatus{
			"b1": {Active: true}, "c1": {Active: true}, "d1": {Active: true}, "f1": {Active: true, CaughtUp: true},
		}}
		next, change := ctrl.NextOpenMembership(s, map[string]bool{"e1": true}, 2)
		Expect(change).NotTo(BeEmpty())
		Expect(len(next.Voters)-2).To(BeNumerically(">=", len(next.Voters)/2+1), change)
	})

	// Guards against a loss of acknowledged entries: both silent voters of five were removed, and the entries
	// committed by the remaining three were gone with two disks.
	It("keeps committed entries when two disks are lost after two voters were silent", func() {
		c := newOpenCluster(3)
		c.toleratedLosses = 2
		addresses := []string{freeAddress(), freeAddress(), freeAddress()}
		for _, s := range c.seeds {
			addresses = append(addresses, s.Address)
		}
		for _, a := range addresses {
			c.startControl(a, a, true)
		}
		leader := c.leader()
		Eventually(c.voters(leader), waitTimeout).Should(HaveLen(5))
		Eventually(func() int { return len(c.nodes[leader].Status().Members) }, waitTimeout).Should(Equal(6))

		others := slices.DeleteFunc(c.voters(leader)(), func(v string) bool { return v == leader })
		silenced, lost := others[:2], []string{others[2], leader}
		for _, a := range silenced {
			c.close(a)
		}
		Eventually(c.voters(leader), waitTimeout).ShouldNot(ContainElement(silenced[0]))
		time.Sleep(time.Second) // enough for the removal of the other one
		registerWorker(c.nodes[leader], 1)

		for a := range maps.Clone(c.nodes) {
			c.close(a)
		}
		for _, a := range lost {
			Expect(os.RemoveAll(c.dataDir(a))).To(Succeed())
		}
		for _, a := range addresses {
			c.startControl(a, a, false)
		}
		Eventually(workerCount(c.nodes[c.leader()]), waitTimeout).Should(Equal(1))
		Eventually(func() []string { return c.voters(c.leader())() }, waitTimeout).Should(HaveLen(5))
	})

	// Guards against members that are dropped by a change which was prepared before they joined.
	It("keeps all members that join at the same time", func() {
		c := newOpenCluster(3)
		for i, s := range c.seeds {
			c.startControl(s.Address, fmt.Sprint(i), true)
		}
		leader := c.leader()
		const joining = 30
		var wg sync.WaitGroup
		for i := range joining {
			wg.Go(func() {
				defer GinkgoRecover()
				a := fmt.Sprintf("127.0.0.1:%d", i+1)
				Eventually(func() error {
					ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
					defer cancel()
					return c.nodes[leader].AddLearner(ctx, quorum.Member{ID: fmt.Sprint(i), Name: a, Address: a})
				}, waitTimeout).Should(Succeed())
			})
		}
		wg.Wait()
		Expect(c.nodes[leader].Status().Members).To(HaveLen(len(c.seeds) + joining))
	})

	// Guards against a data centre that holds a majority of the voters for good, after a replacement or as the seeds were:
	// with it all commits stop, and with its disks committed entries are gone.
	It("leaves no data centre a majority once another voter can be had", func() {
		c := newOpenCluster(3)
		start := func(address, dc string) {
			c.startWith(ctrl.Config{
				Name: address, Address: address, DataDir: c.dataDir(address), DataCentre: dc, Peers: c.seeds, OpenMembership: true,
				Bootstrap: true, ToleratedLosses: 1,
			})
		}
		for i, s := range c.seeds {
			start(s.Address, []string{"a", "a", "b"}[i])
		}
		c.leader()
		fresh := freeAddress()
		start(fresh, "c")
		Eventually(func() []string { return c.voters(c.leader())() }, waitTimeout).Should(
			And(HaveLen(3), ContainElements(c.seeds[2].Address, fresh)))
		Eventually(func() int { return len(c.nodes[c.leader()].Status().Members) }, waitTimeout).Should(Equal(4))
	})
})
