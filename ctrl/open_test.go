package ctrl_test

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"turmericroute/ctrl"
	"turmericroute/quorum"
	"turmericroute/state"
)

// echo answers calls with the name of the instance that leads.
type echo struct{ name string }

func (e echo) Respond(_ context.Context, request []byte) ([]byte, error) {
	return append(bytes.Clone(request), e.name...), nil
}

// openCluster starts instances that are told only seeds.
type openCluster struct {
	*cluster
	seeds []ctrl.Peer
}

func newOpenCluster(seeds int) *openCluster {
	c := &openCluster{cluster: newCluster()}
	for range seeds {
		a := freeAddress()
		c.seeds = append(c.seeds, ctrl.Peer{Name: a, Address: a, Control: true})
	}
	return c
}

func (c *openCluster) control(address, folder string, bootstrap bool) *ctrl.Node {
	return c.startWith(ctrl.Config{
		Name: address, Address: address, DataDir: c.folder(folder), Peers: c.seeds, OpenMembership: true, Bootstrap: bootstrap, Responder: echo{address},
	})
}

// caller starts an instance without a disk at a free address that knows the seeds given.
func (c *openCluster) caller(seeds ...ctrl.Peer) (*ctrl.Node, ctrl.Peer) {
	a := freeAddress()
	return c.callerAt(a, seeds...), ctrl.Peer{Name: a, Address: a, Control: true}
}

func (c *openCluster) callerAt(address string, seeds ...ctrl.Peer) *ctrl.Node {
	return c.startWith(ctrl.Config{Name: address, Address: address, Peers: seeds, OpenMembership: true, Stateless: true})
}

func (c *openCluster) voters(from string) func() []string {
	return func() []string {
		var names []string
		for _, m := range c.nodes[from].Status().Members {
			if m.Voter {
				names = append(names, m.Name)
			}
		}
		return names
	}
}

func call(n *ctrl.Node, timeout time.Duration) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	data, err := n.Call(ctx, []byte("asked "))
	return string(data), err
}

var _ = Describe("an open cluster", func() {
	It("forms once from its seeds, keeps an odd number of voters and answers callers", func() {
		c := newOpenCluster(3)
		fourth := freeAddress()
		c.control(fourth, "d", true)
		for i, s := range c.seeds {
			c.control(s.Address, fmt.Sprint(i), true)
		}
		leader := c.leader()
		Eventually(func() int { return len(c.nodes[leader].Status().Members) }, waitTimeout).Should(Equal(4))
		Consistently(c.voters(leader), time.Second).Should(HaveLen(3), "a fourth voter survives no further loss")
		n, _ := c.caller(c.seeds...)
		Expect(call(n, waitTimeout)).To(Equal("asked " + leader))
	})

	// Guards against instances that find nobody when the seeds of their settings have no disk.
	It("is found through instances without a disk", func() {
		c := newOpenCluster(3)
		for i, s := range c.seeds {
			c.control(s.Address, fmt.Sprint(i), true)
		}
		leader := c.leader()
		n, entry := c.caller(c.seeds...)
		Expect(call(n, waitTimeout)).To(Equal("asked " + leader))
		n, _ = c.caller(entry)
		Expect(call(n, waitTimeout)).To(Equal("asked " + leader))
		gone := c.seeds[0].Name
		if gone == leader {
			gone = c.seeds[1].Name
		}
		c.close(gone)
		c.seeds = []ctrl.Peer{entry}
		fresh := freeAddress()
		c.control(fresh, "fresh", false)
		Eventually(c.voters(leader), waitTimeout).Should(And(HaveLen(3), ContainElement(fresh)))
	})

	// Guards against instances that never find each other when all restart with seeds that have no disk.
	It("is found after a restart of all whose seeds have no disk", func() {
		c := newOpenCluster(3)
		for i, s := range c.seeds {
			c.control(s.Address, fmt.Sprint(i), true)
		}
		c.leader()
		controls := c.seeds
		for _, s := range controls {
			c.close(s.Name)
		}
		_, entry := c.caller(ctrl.Peer{Name: "127.0.0.1:9", Address: "127.0.0.1:9", Control: true})
		c.seeds = []ctrl.Peer{entry}
		for i, s := range controls {
			c.control(s.Address, fmt.Sprint(i), false)
		}
		leader := c.leader()
		n, _ := c.caller(entry)
		Eventually(func() (string, error) { return call(n, time.Second) }, waitTimeout).Should(Equal("asked " + leader))
	})

	// Guards against a first start that waits for the disk of a seed that has none.
	It("forms from the seeds that have a disk", func() {
		c := newOpenCluster(3)
		entry := c.seeds[1]
		c.callerAt(entry.Address, c.seeds...)
		c.control(c.seeds[0].Address, "0", true)
		c.control(c.seeds[2].Address, "2", true)
		leader := c.leader()
		Eventually(c.voters(leader), waitTimeout).Should(ConsistOf(c.seeds[0].Name, c.seeds[2].Name))
		Expect(call(c.nodes[entry.Name], waitTimeout)).To(Equal("asked " + leader))
	})

	It("admits an empty disk at an old address that is not told to form a cluster", func() {
		c := newOpenCluster(3)
		for i, s := range c.seeds {
			c.control(s.Address, fmt.Sprint(i), true)
		}
		leader := c.leader()
		var lost ctrl.Peer
		for _, s := range c.seeds {
			if s.Name != leader {
				lost = s
			}
		}
		c.close(lost.Name)
		Expect(os.RemoveAll(c.folder("new"))).To(Succeed())
		c.control(lost.Address, "new", false)
		Eventually(func() string { return c.nodes[lost.Name].Status().Role }, waitTimeout).Should(Equal("follower"))
		Eventually(c.voters(leader), waitTimeout).Should(ConsistOf(c.seeds[0].Name, c.seeds[1].Name, c.seeds[2].Name))
	})

	It("lets an instance at a new address take the place of a voter that is gone for good", func() {
		c := newOpenCluster(3)
		for i, s := range c.seeds {
			c.control(s.Address, fmt.Sprint(i), true)
		}
		leader := c.leader()
		gone := c.seeds[0].Name
		if gone == leader {
			gone = c.seeds[1].Name
		}
		c.close(gone)
		fresh := freeAddress()
		c.control(fresh, "fresh", false)
		Eventually(c.voters(leader), waitTimeout).Should(And(HaveLen(3), ContainElement(fresh), Not(ContainElement(gone))))
	})

	It("never forms a second cluster from empty disks that come back", func() {
		c := newOpenCluster(3)
		for i, s := range c.seeds {
			c.control(s.Address, fmt.Sprint(i), false)
		}
		Consistently(func() string { return c.nodes[c.seeds[0].Name].Status().Leader }, time.Second).Should(BeEmpty())
		n, _ := c.caller(c.seeds...)
		_, err := call(n, 300*time.Millisecond)
		Expect(err).To(MatchError(ContainSubstring("no_leader")))
	})
})

var _ = DescribeTable("the next membership of an open cluster",
	func(voters, learners, gone int, want string) {
		s := quorum.Status{ID: "v0", Role: quorum.RoleLeader, Members: map[string]quorum.MemberStatus{}}
		silent := map[string]bool{}
		for i := range voters {
			id := fmt.Sprintf("v%d", i)
			s.Membership.Voters = append(s.Membership.Voters, quorum.Member{Name: id, ID: id})
			silent[id] = i > 0 && i <= gone
		}
		for i := range learners {
			id := fmt.Sprintf("l%d", i)
			s.Membership.Learners = append(s.Membership.Learners, quorum.Member{Name: id, ID: id})
			s.Members[id] = quorum.MemberStatus{CaughtUp: true}
		}
		_, what := ctrl.NextOpenMembership(s, silent)
		Expect(what).To(Equal(want))
	},
	Entry("three voters and a spare stay", 3, 1, 0, ""),
	Entry("two spares make five voters", 3, 2, 0, "add voter l0"),
	Entry("an even number is completed", 4, 1, 0, "add voter l0"),
	Entry("a silent voter gives way to a spare", 3, 1, 1, "remove silent voter v1"),
	Entry("a silent voter without a spare stays among three", 3, 0, 1, ""),
	Entry("a silent voter goes from an even number", 4, 0, 1, "remove silent voter v1"),
	Entry("five are enough", 5, 3, 0, ""),
)

var _ = Describe("decisions of a leader", func() {
	// In an incident at Canaleta a suspended leader woke, took all workers for lost and handed that to the
	// other instances; its successor would have committed it.
	It("are not handed to its successor", func() {
		c := newCluster("a", "b", "c")
		c.start("a", "b", "c")
		leader := c.leader()
		term := c.nodes[leader].Status().Term
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		defer cancel()
		_, err := c.nodes[leader].ExecuteIn(ctx, term, state.RegisterWorker{})
		Expect(err).NotTo(HaveOccurred())
		c.nodes[leader].TransferLeadership(ctx)
		Eventually(func() string { return c.nodes[leader].Status().Role }, waitTimeout).Should(Equal("follower"))
		_, err = c.nodes[leader].ExecuteIn(ctx, term, state.RegisterWorker{})
		Expect(err).To(MatchError(ContainSubstring("no_leader")))
		_, err = c.nodes[c.leader()].ExecuteIn(ctx, term, state.RegisterWorker{})
		Expect(err).To(MatchError(ContainSubstring("no_leader")), "another term")
	})
})
