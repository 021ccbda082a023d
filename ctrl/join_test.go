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

func startOutdatedMember() ctrl.Peer {
	a := freeAddress()
	l, err := net.Listen("tcp", a)
	Expect(err).NotTo(HaveOccurred())
	srv := grpc.NewServer()
	wire.RegisterControlServer(srv, &outdatedMember{address: a, leader: freeAddress()})
	go srv.Serve(l)
	DeferCleanup(srv.Stop)
	return ctrl.Peer{Name: a, Address: a, Control: true}
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
		c.seeds = append([]ctrl.Peer{startOutdatedMember()}, c.seeds...)
		fresh := freeAddress()
		c.startControl(fresh, "fresh", false)
		Eventually(func() string { return c.nodes[fresh].Status().Role }, 2*time.Second, 10*time.Millisecond).Should(Equal("learner"))
	})
})
