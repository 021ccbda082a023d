package ctrl_test

import (
	"context"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/grpc"

	"turmericroute/ctrl"
	"turmericroute/wire"
)

// outdatedMember answers like a member that doesn't know yet that its leader is gone.
type outdatedMember struct {
	wire.UnimplementedControlServer
	address, leader string
}

func (s *outdatedMember) Identify(context.Context, *wire.IdentifyRequest) (*wire.IdentifyResponse, error) {
	m := &wire.Membership{Voters: []*wire.Member{
		{Name: s.address, Id: "1", Address: s.address}, {Name: s.leader, Id: "2", Address: s.leader},
	}}
	return &wire.IdentifyResponse{Name: s.address, Id: "1", Membership: m, Leader: s.leader}, nil
}

// outdatedInstance answers like an instance without a disk whose list of members is out of date.
type outdatedInstance struct {
	wire.UnimplementedControlServer
	address, member string
}

func (s *outdatedInstance) Identify(context.Context, *wire.IdentifyRequest) (*wire.IdentifyResponse, error) {
	return &wire.IdentifyResponse{Name: s.address, Members: []*wire.Member{{Name: s.member, Address: s.member}}}, nil
}

// startServer serves s at an address.
func startServer(address string, s wire.ControlServer) ctrl.Peer {
	l, err := net.Listen("tcp", address)
	Expect(err).NotTo(HaveOccurred())
	srv := grpc.NewServer()
	wire.RegisterControlServer(srv, s)
	go srv.Serve(l) //nolint:errcheck // returns after Stop.
	DeferCleanup(srv.Stop)
	return ctrl.Peer{Name: address, Address: address, Control: true}
}

var _ = Describe("an instance with an empty disk", func() {
	// Guards against a join that is tried only at the leader that the first member names: while that one is gone, each
	// attempt took 5 s, and the loss of another disk is borne only once the instance has joined.
	It("joins within 2 s although a member names a leader that is gone", func() {
		c := newOpenCluster(3)
		for i, s := range c.seeds {
			c.startControl(s.Address, string(rune('a'+i)), true)
		}
		c.leader()
		outdated := &outdatedMember{address: freeAddress(), leader: freeAddress()}
		c.seeds = append([]ctrl.Peer{startServer(outdated.address, outdated)}, c.seeds...)
		fresh := freeAddress()
		c.startControl(fresh, "fresh", false)
		Eventually(func() string { return c.nodes[fresh].Status().Role }, 2*time.Second, 10*time.Millisecond).Should(Equal("learner"))
	})
})

var _ = Describe("a stateless instance", func() {
	// Guards against a list of members that is replaced by an older one, which passes from instance to instance: when
	// the leader was lost, the instance had forgotten the other members.
	It("keeps the newest members that it knows", func() {
		c := newOpenCluster(3)
		for i, s := range c.seeds {
			c.startControl(s.Address, string(rune('a'+i)), true)
		}
		leader := c.leader()
		outdated := &outdatedInstance{address: freeAddress(), member: freeAddress()}
		n, _ := c.startStateless(ctrl.Peer{Name: leader, Address: leader, Control: true}, startServer(outdated.address, outdated))
		Expect(call(n, waitTimeout)).To(Equal("asked " + leader))
		returns := -1
		for i, p := range c.seeds {
			if p.Name != leader {
				returns = i
			}
		}
		c.close(c.seeds[returns].Name)
		c.close(leader)
		Eventually(func() error {
			_, err := call(n, time.Second)
			return err
		}, waitTimeout).Should(MatchError(ContainSubstring("no_leader")))
		c.startControl(c.seeds[returns].Name, string(rune('a'+returns)), false)
		successor := c.leader()
		Eventually(func() (string, error) { return call(n, time.Second) }, waitTimeout).Should(Equal("asked " + successor))
	})
})

var _ = Describe("an instance whose seeds are all down", func() {
	unreachable := func() []ctrl.Peer {
		a := freeAddress()
		return []ctrl.Peer{{Name: a, Address: a, Control: true}}
	}

	// Guards against a control instance that has lost its disk and waits until one of its seeds is back, although the
	// members know its address; until it joins, the loss of another disk isn't borne.
	It("is admitted again by the members that know its address", func() {
		c := newOpenCluster(3)
		for i, s := range c.seeds {
			c.startControl(s.Address, string(rune('a'+i)), true)
		}
		leader := c.leader()
		var lost string
		for _, s := range c.seeds {
			if s.Name != leader {
				lost = s.Name
			}
		}
		c.close(lost)
		c.seeds = unreachable()
		c.startControl(lost, "new", false)
		Eventually(func() string { return c.nodes[lost].Status().Role }, 4*time.Second, 10*time.Millisecond).Should(Or(Equal("learner"), Equal("follower")))
	})

	// Guards against an instance without a disk that answers no_leader while others that work have it as their seed.
	It("finds the leader through an instance without a disk whose seed it is", func() {
		c := newOpenCluster(3)
		for i, s := range c.seeds {
			c.startControl(s.Address, string(rune('a'+i)), true)
		}
		leader := c.leader()
		a := freeAddress()
		n, _ := c.startStateless(append(c.seeds, ctrl.Peer{Name: a, Address: a, Control: true})...)
		Expect(call(n, waitTimeout)).To(Equal("asked " + leader))
		time.Sleep(time.Second) // the search of n has ended
		restarted := c.startStatelessAt(a, unreachable()...)
		Expect(call(restarted, waitTimeout)).To(Equal("asked " + leader))
	})
})
