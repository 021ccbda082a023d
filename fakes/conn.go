package fakes

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
)

type connPlanKey struct{}

// connPlan decides after which request a connection is closed, and whether it is reset.
type connPlan struct {
	conn     net.Conn
	requests int  // requests received
	resetAt  int  // number of the request during which the connection is reset; 0 for none
	resetNow bool // resets the connection during the current request
}

// newConnPlan adds a plan for c to the context of the connection.
func newConnPlan(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connPlanKey{}, &connPlan{conn: c})
}

func connPlanOf(ctx context.Context) *connPlan { return ctx.Value(connPlanKey{}).(*connPlan) }

// startRequest is called at the start of each request. Half of the resets happen
// here, before the request runs, the others in endRequest.
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

// endRequest is called after the response of each request was written.
func (p *connPlan) endRequest() {
	if p.resetNow {
		p.abort()
	}
}

// abort resets the connection without a response.
func (p *connPlan) abort() {
	if c, ok := p.conn.(*net.TCPConn); ok {
		c.SetLinger(0) //nolint:errcheck // the connection is closed in any case
	}
	panic(http.ErrAbortHandler)
}
