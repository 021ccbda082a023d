package fakes

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
)

type connPlanKey struct{}

// connPlan decides when a connection ends and whether by a reset.
type connPlan struct {
	conn     net.Conn
	requests int
	resetAt  int // the request during which the connection is reset; 0 for none
	resetNow bool
}

func newConnPlan(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connPlanKey{}, &connPlan{conn: c})
}

func connPlanOf(ctx context.Context) *connPlan { return ctx.Value(connPlanKey{}).(*connPlan) }

// startRequest begins the next request of the connection. Half of the resets come before the request
// runs, the others after.
func (p *connPlan) startRequest(w http.ResponseWriter, b Behaviour) {
	if p.requests == 0 && rand.Float64() < b.ResetShare {
		p.resetAt = 1 + rand.IntN(b.ConnRequests)
	}
	p.requests++
	if p.requests >= b.ConnRequests {
		w.Header().Set("Connection", "close")
	}
	p.resetNow = p.requests == p.resetAt
	if p.resetNow && rand.IntN(2) == 0 {
		p.abort()
	}
}

func (p *connPlan) endRequest() {
	if p.resetNow {
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
