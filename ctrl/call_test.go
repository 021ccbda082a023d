package ctrl_test

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/grpc"

	"turmericroute/ctrl"
	"turmericroute/model"
	"turmericroute/wire"
)

// silentPeer is a control instance that names a leader, if it has one, and never answers calls.
type silentPeer struct {
	wire.UnimplementedControlServer
	address string
	leader  string
	calls   atomic.Int32
	deaf    atomic.Bool // leaves questions without an answer as well
	refuses atomic.Bool // refuses all calls but the first
}

func newSilentPeer(leader func(address string) string) *silentPeer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	p := &silentPeer{address: l.Addr().String()}
	p.leader = leader(p.address)
	s := grpc.NewServer()
	wire.RegisterControlServer(s, p)
	go s.Serve(l)
	DeferCleanup(s.Stop)
	return p
}

func (p *silentPeer) Identify(ctx context.Context, _ *wire.IdentifyRequest) (*wire.IdentifyResponse, error) {
	if p.deaf.Load() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return &wire.IdentifyResponse{Name: p.address, Leader: p.leader}, nil
}

func (p *silentPeer) Call(ctx context.Context, _ *wire.CallRequest) (*wire.CallResponse, error) {
	if p.calls.Add(1) > 1 && p.refuses.Load() {
		return &wire.CallResponse{Failure: &wire.Failure{Code: string(model.CodeUnauthorised), Outcome: string(model.OutcomeNotRun)}}, nil
	}
	<-ctx.Done()
	return nil, ctx.Err()
}

func (p *silentPeer) caller() *ctrl.Node {
	c := newOpenCluster(0)
	n, _ := c.startStateless(ctrl.Peer{Name: p.address, Address: p.address, Control: true})
	return n
}

var _ = Describe("a call to the leader", func() {
	// Guards against calls that end in doubt although there was no leader: the request was sent to instances
	// that might lead, and time ran out before one of them answered.
	It("is not sent to an instance that knows no leader, and has certainly not run", func() {
		peer := newSilentPeer(func(string) string { return "" })
		_, err := call(peer.caller(), 300*time.Millisecond)
		Expect(model.AsError(err)).To(And(HaveField("Code", model.CodeNoLeader), HaveField("Outcome", model.OutcomeNotRun)))
		Expect(peer.calls.Load()).To(BeZero())
	})

	It("is in doubt once it was sent to a leader that does not answer", func() {
		peer := newSilentPeer(func(address string) string { return address })
		_, err := call(peer.caller(), 300*time.Millisecond)
		Expect(model.AsError(err)).To(HaveField("Outcome", model.OutcomeUnknown))
		Expect(peer.calls.Load()).To(BeEquivalentTo(1))
	})

	// Guards against a refusal that says "not run" of a job that runs: the attempt before it had been carried out, and
	// only its answer was lost.
	It("is in doubt if a later attempt is refused after one that may have been carried out", func() {
		peer := newSilentPeer(func(address string) string { return address })
		peer.refuses.Store(true)
		_, err := call(peer.caller(), 3*time.Second)
		Expect(model.AsError(err)).To(And(HaveField("Code", model.CodeUnauthorised), HaveField("Outcome", model.OutcomeUnknown)))
		Expect(peer.calls.Load()).To(BeEquivalentTo(2))
	})

	// Guards against a leader that has lost power leaving every caller in doubt until its connection is given up.
	It("waits until a silent leader answers a question, and has certainly not run before", func() {
		peer := newSilentPeer(func(address string) string { return address })
		n := peer.caller()
		_, err := call(n, 400*time.Millisecond)
		Expect(model.AsError(err)).To(HaveField("Outcome", model.OutcomeUnknown), "the first call finds out")
		peer.deaf.Store(true)
		for range 3 {
			_, err = call(n, 100*time.Millisecond)
			Expect(model.AsError(err)).To(HaveField("Outcome", model.OutcomeNotRun))
		}
		Expect(peer.calls.Load()).To(BeEquivalentTo(1))
		peer.deaf.Store(false)
		_, err = call(n, 400*time.Millisecond)
		Expect(model.AsError(err)).To(HaveField("Outcome", model.OutcomeUnknown), "it was sent")
	})

	// Guards against an attempt that failed before its request was written being taken for one that may have run.
	It("has certainly not run if its time was up before it was sent", func() {
		peer := newSilentPeer(func(address string) string { return address })
		n := peer.caller()
		_, err := call(n, 300*time.Millisecond) // makes the connection and the leader known
		Expect(err).To(HaveOccurred())
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		n.SetLeaderName(peer.address)
		_, err = n.Call(ctx, []byte("late"))
		Expect(model.AsError(err)).To(HaveField("Outcome", model.OutcomeNotRun))
		Expect(peer.calls.Load()).To(BeEquivalentTo(1))
	})
})

var _ = Describe("a link to an instance that comes back", func() {
	// Guards against elections that wait for a dial which began before the other machine had power: its opening packet
	// is lost, and the next one is sent only a second later.
	It("is made soon, though the first dials get no answer", func() {
		peer := newSilentPeer(func(address string) string { return address })
		back := time.Now().Add(200 * time.Millisecond)
		c := newOpenCluster(0)
		cfg := ctrl.Config{Name: "caller", Address: freeAddress(), Peers: []ctrl.Peer{{Name: peer.address, Address: peer.address, Control: true}}, OpenMembership: true, Stateless: true}
		n := c.startWith(cfg.WithDial(func(ctx context.Context, network, address string) (net.Conn, error) {
			if time.Now().Before(back) {
				<-ctx.Done()
				return nil, ctx.Err()
			}
			return (&net.Dialer{}).DialContext(ctx, network, address)
		}))
		_, err := call(n, 800*time.Millisecond)
		Expect(err).To(HaveOccurred())
		Expect(peer.calls.Load()).To(BeEquivalentTo(1), "the call was sent")
	})
})

var _ = Describe("an instance that loses its leader", func() {
	// Guards against orders that are refused as soon as an election starts, because a failed call had cleared the
	// leader's name before the instance noted the end of the leader's time.
	It("counts the time without a leader from the end of the leader's time", func() {
		n, err := ctrl.New(ctrl.Config{Name: "a", Address: "127.0.0.1:1", DataDir: GinkgoT().TempDir(), OpenMembership: true})
		Expect(err).NotTo(HaveOccurred())
		n.RoleChanged("b")
		n.AgeLeader(time.Minute)
		n.SetLeaderName("")
		n.RoleChanged("")
		Expect(n.Leaderless()).To(BeFalse())
		n.AgeLeader(time.Minute)
		n.RoleChanged("")
		Expect(n.Leaderless()).To(BeTrue(), "only the end of a leader's time counts")
	})
})
