package ctrl_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"turmericroute/ctrl"
	"turmericroute/model"
)

// refusingResponder refuses all calls.
type refusingResponder struct{}

func (refusingResponder) Respond(context.Context, []byte) ([]byte, error) {
	return nil, model.NotRun(model.CodeOverloaded, "").WithRetryAfter(3500 * time.Millisecond)
}

var _ = Describe("a call that the leader refuses", func() {
	// Guards against callers who return at the default time as another instance drops the one that the leader has chosen.
	It("carries the time to return to other instances", func() {
		c := newCluster("a", "b", "c")
		for _, p := range c.peers {
			c.startWith(ctrl.Config{Name: p.Name, Address: p.Address, DataDir: c.dataDir(p.Name), Peers: c.peers, Bootstrap: true, Responder: refusingResponder{}})
		}
		c.leader()
		for name, n := range c.nodes {
			Eventually(func() time.Duration {
				ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
				defer cancel()
				_, err := n.Call(ctx, []byte("x"))
				return model.AsError(err).RetryAfter
			}).Should(Equal(3500*time.Millisecond), name)
		}
	})
})
