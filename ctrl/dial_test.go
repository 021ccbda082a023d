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
	"turmericroute/wire"
)

// busyListener accepts connections one after the other and spends a time on each, also on those that were given up.
type busyListener struct {
	net.Listener
	perConnection time.Duration
}

// Accept returns the next connection after the time that it takes.
func (l busyListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		time.Sleep(l.perConnection)
	}
	return c, err
}

// namedPeer is a control instance that only tells its name.
type namedPeer struct {
	wire.UnimplementedControlServer
	address string
}

func (p *namedPeer) Identify(context.Context, *wire.IdentifyRequest) (*wire.IdentifyResponse, error) {
	return &wire.IdentifyResponse{Name: p.address, Leader: p.address}, nil
}

func (p *namedPeer) Call(context.Context, *wire.CallRequest) (*wire.CallResponse, error) {
	return &wire.CallResponse{Leader: p.address, Response: []byte("answer")}, nil
}

func startBusyPeer(perConnection time.Duration) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	s := grpc.NewServer()
	wire.RegisterControlServer(s, &namedPeer{address: l.Addr().String()})
	go s.Serve(busyListener{l, perConnection})
	DeferCleanup(s.Stop)
	return l.Addr().String()
}

var _ = Describe("connections to an instance that is short of processor time", func() {
	// Guards against dials that are given up and repeated faster than the other instance completes handshakes: none is
	// ever completed, and the ones that were given up keep it busy for good.
	It("are all made, although the handshakes of all callers together take longer than a dial may", func() {
		const callers = 10
		address := startBusyPeer(300 * time.Millisecond)
		c := newOpenCluster(0)
		var nodes []*ctrl.Node
		for range callers {
			n, _ := c.startStateless(ctrl.Peer{Name: address, Address: address, Control: true})
			nodes = append(nodes, n)
		}
		answered := make(chan error, callers)
		for _, n := range nodes {
			go func() {
				_, err := call(n, 20*time.Second)
				answered <- err
			}()
		}
		for range callers {
			Expect(<-answered).To(Succeed())
		}
	})

	// Guards against a caller that keeps a busy instance busy: what it gives up costs the other side a handshake each time.
	It("are given up less and less often while no handshake is completed", func() {
		address := startBusyPeer(10 * time.Second)
		var connections atomic.Int32
		n := newOpenCluster(0).startWith(ctrl.Config{
			Name: "caller", Address: freeAddress(), Peers: []ctrl.Peer{{Name: address, Address: address, Control: true}}, OpenMembership: true, Stateless: true,
			DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
				connections.Add(1)
				return (&net.Dialer{}).DialContext(ctx, network, address)
			},
		})
		_, err := call(n, 8*time.Second)
		Expect(err).To(HaveOccurred())
		Expect(connections.Load()).To(BeNumerically("<=", 4), "after 0, 1, 3 and 7 s")
	})
})
