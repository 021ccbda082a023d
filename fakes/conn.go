package fakes

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
)

type planKey struct{}

// connPlan decides when a connection ends and whether by a reset.
type connPlan struct {
	conn    net.Conn
	served  int
	resetAt int // the request during which the connection is reset; 0 for none
	reset   bool
}

func newConnPlan(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, planKey{}, &connPlan{conn: c})
}

func planOf(ctx context.Context) *connPlan { return ctx.Value(planKey{}).(*connPlan) }

// step begins the next request of the connection. Half of the resets come before the request
// runs, the others after.
func (p *connPlan) step(w http.ResponseWriter, b Behaviour) {
	if p.served == 0 && rand.Float64() < b.ResetShare {
		p.resetAt = 1 + rand.IntN(b.ConnRequests)
	}
	p.served++
	if p.served >= b.ConnRequests {
		w.Header().Set("Connection", "close")
	}
	p.reset = p.served == p.resetAt
	if p.reset && rand.IntN(2) == 0 {
		p.abort()
	}
}

func (p *connPlan) finish() {
	if p.reset {
		p.abort()
	}
}

// abort resets the connection without an answer.
func (p *connPlan) abort() {
	if c, ok := p.conn.(*net.TCPConn); ok {
		c.SetLinger(0) //nolint:errcheck // the connection ends either way
	}
	panic(http.ErrAbortHandler)
}
