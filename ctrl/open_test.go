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

// echoResponder answers a call with the request followed by the leader's name.
type echoResponder struct{ name string }

func (r echoResponder) Respond(_ context.Context, request []byte) ([]byte, error) {
	return append(bytes.Clone(request), r.name...), nil
}

// openCluster runs instances with open membership that are configured with seeds only.
type openCluster struct {
	*cluster
	seeds           []ctrl.Peer
	toleratedLosses int // Config.ToleratedLosses of the control instances
}

func newOpenCluster(seeds int) *openCluster {
	c := &openCluster{cluster: newCluster()}
	for range seeds {
		a := freeAddress()
		c.seeds = append(c.seeds, ctrl.Peer{Name: a, Address: a, Control: true})
	}
	return c
}

// startControl starts a control instance.
func (c *openCluster) startControl(address, dataDir string, bootstrap bool) *ctrl.Node {
	return c.startWith(ctrl.Config{
		Name: address, Address: address, DataDir: c.dataDir(dataDir), Peers: c.seeds, OpenMembership: true, Bootstrap: bootstrap, ToleratedLosses: c.toleratedLosses,
		Responder: echoResponder{address},
	})
}

// startStateless starts a stateless instance at a free address with the given seeds.
func (c *openCluster) startStateless(seeds ...ctrl.Peer) (*ctrl.Node, ctrl.Peer) {
	a := freeAddress()
	return c.startStatelessAt(a, seeds...), ctrl.Peer{Name: a, Address: a, Control: true}
}

func (c *openCluster) startStatelessAt(address string, seeds ...ctrl.Peer) *ctrl.Node {
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
	It("forms once from its seeds, keeps an odd number of voters and answers calls", func() {
		c := newOpenCluster(3)
		fourth := freeAddress()
		c.startControl(fourth, "d", true)
		for i, s := range c.seeds {
			c.startControl(s.Address, fmt.Sprint(i), true)
		}
		leader := c.leader()
		Eventually(func() int { return len(c.nodes[leader].Status().Members) }, waitTimeout).Should(Equal(4))
		Consistently(c.voters(leader), time.Second).Should(HaveLen(3), "a fourth voter would not let the cluster survive one more failure")
		n, _ := c.startStateless(c.seeds...)
		Expect(call(n, waitTimeout)).To(Equal("asked " + leader))
	})

	// Guards against instances that find no member when none of their seeds has a disk.
	It("is found through seeds without a disk", func() {
		c := newOpenCluster(3)
		for i, s := range c.seeds {
			c.startControl(s.Address, fmt.Sprint(i), true)
		}
		leader := c.leader()
		n, stateless := c.startStateless(c.seeds...)
		Expect(call(n, waitTimeout)).To(Equal("asked " + leader))
		n, _ = c.startStateless(stateless)
		Expect(call(n, waitTimeout)).To(Equal("asked " + leader))
		gone := c.seeds[0].Name
		if gone == leader {
			gone = c.seeds[1].Name
		}
		c.close(gone)
		c.seeds = []ctrl.Peer{stateless}
		fresh := freeAddress()
		c.startControl(fresh, "fresh", false)
		Eventually(c.voters(leader), waitTimeout).Should(And(HaveLen(3), ContainElement(fresh)))
	})

	// Guards against members that never find each other when all restart with seeds that have no disk.
	It("is found after a restart of all members with seeds that have no disk", func() {
		c := newOpenCluster(3)
		for i, s := range c.seeds {
			c.startControl(s.Address, fmt.Sprint(i), true)
		}
		c.leader()
		controls := c.seeds
		for _, s := range controls {
			c.close(s.Name)
		}
		_, stateless := c.startStateless(ctrl.Peer{Name: "127.0.0.1:9", Address: "127.0.0.1:9", Control: true})
		c.seeds = []ctrl.Peer{stateless}
		for i, s := range controls {
			c.startControl(s.Address, fmt.Sprint(i), false)
		}
		leader := c.leader()
		n, _ := c.startStateless(stateless)
		Eventually(func() (string, error) { return call(n, time.Second) }, waitTimeout).Should(Equal("asked " + leader))
	})

	// Guards against a first start that waits for a seed without a disk to report a fresh one.
	It("forms from the seeds that have a disk", func() {
		c := newOpenCluster(3)
		stateless := c.seeds[1]
		c.startStatelessAt(stateless.Address, c.seeds...)
		c.startControl(c.seeds[0].Address, "0", true)
		c.startControl(c.seeds[2].Address, "2", true)
		leader := c.leader()
		Eventually(c.voters(leader), waitTimeout).Should(ConsistOf(c.seeds[0].Name, c.seeds[2].Name))
		Expect(call(c.nodes[stateless.Name], waitTimeout)).To(Equal("asked " + leader))
	})

	It("admits an instance with an empty disk at a known address that may not form a cluster", func() {
		c := newOpenCluster(3)
		for i, s := range c.seeds {
			c.startControl(s.Address, fmt.Sprint(i), true)
		}
		leader := c.leader()
		var lost ctrl.Peer
		for _, s := range c.seeds {
			if s.Name != leader {
				lost = s
			}
		}
		c.close(lost.Name)
		Expect(os.RemoveAll(c.dataDir("new"))).To(Succeed())
		c.startControl(lost.Address, "new", false)
		Eventually(func() string { return c.nodes[lost.Name].Status().Role }, waitTimeout).Should(Equal("follower"))
		Eventually(c.voters(leader), waitTimeout).Should(ConsistOf(c.seeds[0].Name, c.seeds[1].Name, c.seeds[2].Name))
	})

	It("replaces a permanently lost voter with an instance at a new address", func() {
		c := newOpenCluster(3)
		for i, s := range c.seeds {
			c.startControl(s.Address, fmt.Sprint(i), true)
		}
		leader := c.leader()
		gone := c.seeds[0].Name
		if gone == leader {
			gone = c.seeds[1].Name
		}
		c.close(gone)
		fresh := freeAddress()
		c.startControl(fresh, "fresh", false)
		Eventually(c.voters(leader), waitTimeout).Should(And(HaveLen(3), ContainElement(fresh), Not(ContainElement(gone))))
	})

	It("never forms a second cluster from instances that restart with empty disks", func() {
		c := newOpenCluster(3)
		for i, s := range c.seeds {
			c.startControl(s.Address, fmt.Sprint(i), false)
		}
		Consistently(func() string { return c.nodes[c.seeds[0].Name].Status().Leader }, time.Second).Should(BeEmpty())
		n, _ := c.startStateless(c.seeds...)
		_, err := call(n, 300*time.Millisecond)
		Expect(err).To(MatchError(ContainSubstring("no_leader")))
	})
})

var _ = DescribeTable("the next membership of an open cluster",
	func(voters, learners, silentVoters, toleratedLosses int, want string) {
		s := quorum.Status{ID: "v0", Role: quorum.RoleLeader, Members: map[string]quorum.MemberStatus{}}
		silent := map[string]bool{}
		for i := range voters {
			id := fmt.Sprintf("v%d", i)
			s.Membership.Voters = append(s.Membership.Voters, quorum.Member{Name: id, ID: id})
			silent[id] = i > 0 && i <= silentVoters
		}
		for i := range learners {
			id := fmt.Sprintf("l%d", i)
			s.Membership.Learners = append(s.Membership.Learners, quorum.Member{Name: id, ID: id})
			s.Members[id] = quorum.MemberStatus{CaughtUp: true}
		}
		_, change := ctrl.NextOpenMembership(s, silent, toleratedLosses)
		Expect(change).To(Equal(want))
	},
	Entry("three voters and one spare learner stay as they are", 3, 1, 0, 1, ""),
	Entry("two spare learners make five voters", 3, 2, 0, 1, "add voter l0"),
	Entry("a spare learner makes an even number odd", 4, 1, 0, 1, "add voter l0"),
	// A voter that is removed before counts no more after a loss of another one's disk, even if it comes back with its own.
	Entry("a spare learner votes before a silent voter is removed", 3, 1, 1, 1, "add voter l0"),
	Entry("a silent voter is removed once a spare learner votes", 6, 0, 1, 2, "remove silent voter v1"),
	Entry("a voter too many is demoted", 6, 0, 0, 2, "demote voter v5"),
	Entry("an even number is made odd if there is no learner", 4, 0, 0, 1, "demote voter v3"),
	Entry("a silent voter of three stays if there is no spare learner", 3, 0, 1, 1, ""),
	Entry("a silent voter of an even number is removed", 4, 0, 1, 1, "remove silent voter v1"),
	Entry("five voters get no further one", 5, 3, 0, 1, ""),
	// The majority of three voters is on two disks, both of which may be lost.
	Entry("a silent voter of four stays if two losses are tolerated", 4, 0, 1, 2, ""),
	Entry("a learner is added before a further silent voter is removed", 4, 1, 1, 2, "add voter l0"),
	Entry("a fourth voter is added if two losses are tolerated", 3, 1, 0, 2, "add voter l0"),
	Entry("a second voter is added if one loss is tolerated", 1, 1, 0, 1, "add voter l0"),
)

var _ = Describe("commands decided by a leader", func() {
	// Guards against stale decisions of a suspended leader: when it resumed, it considered all workers lost
	// and sent that to the other instances, where its successor would have committed it.
	It("are not committed by its successor", func() {
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
