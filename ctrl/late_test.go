package ctrl_test

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"turmericroute/ctrl"
)

// lateResponder answers as late as a commit during a slow sync.
type lateResponder struct{}

func (lateResponder) Respond(ctx context.Context, request []byte) ([]byte, error) {
	select {
	case <-time.After(2500 * time.Millisecond):
	case <-ctx.Done():
	}
	return request, nil
}

var _ = Describe("calls to a leader that waits for its disk", func() {
	// Guards against a follower that drops the connection on which it answers heartbeats, because several of its calls
	// wait for the same commit: the leader then loses its lease.
	It("don't drop the connection on which a member answers heartbeats", func() {
		c := newCluster("a", "b", "c")
		sets := map[string]*metrics.Set{}
		for _, p := range c.peers {
			sets[p.Name] = metrics.NewSet()
			c.startWith(ctrl.Config{
				Name: p.Name, Address: p.Address, DataDir: c.dataDir(p.Name), Peers: c.peers, Bootstrap: true, Responder: lateResponder{}, Metrics: sets[p.Name],
			})
		}
		leader := c.leader()
		Eventually(func() int { return len(ctrl.Voters(c.nodes[leader])) }).Should(Equal(3))
		var wg sync.WaitGroup
		for name, n := range c.nodes {
			if name == leader {
				continue
			}
			for range 10 {
				wg.Go(func() {
					ctx, cancel := context.WithTimeout(context.Background(), 2200*time.Millisecond)
					defer cancel()
					_, err := n.Call(ctx, []byte("x"))
					GinkgoWriter.Println(name, err)
				})
			}
		}
		wg.Wait()
		for name, set := range sets {
			Expect(set.GetOrCreateCounter(`turmericroute_ctrl_reconnects_total`).Get()).To(BeZero(), name)
		}
	})
})
