package ctrl

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"google.golang.org/grpc"
	"google.golang.org/grpc/connectivity"
)

// dialResult is how a dial ended.
type dialResult string

const (
	dialConnected dialResult = "connected"
	// dialRefused means that the machine answered that nobody listens, or that the handshake failed.
	dialRefused dialResult = "refused"
	// dialNotAccepted means that the machine did not answer in time.
	dialNotAccepted dialResult = "not_accepted"
	// dialNoHandshake means that the machine accepted the connection, but the process did not complete the handshake in time.
	dialNoHandshake dialResult = "no_handshake"
)

// dialCounters returns a counter for each result of a dial.
func dialCounters(set *metrics.Set) map[dialResult]*metrics.Counter {
	counters := map[dialResult]*metrics.Counter{}
	for _, r := range []dialResult{dialConnected, dialRefused, dialNotAccepted, dialNoHandshake} {
		counters[r] = set.NewCounter(fmt.Sprintf(`turmericroute_ctrl_dials_total{result=%q}`, string(r)))
	}
	return counters
}

const (
	// minHandshakeTimeout and maxHandshakeTimeout bound the time that a machine which has accepted a connection gets to
	// complete the handshake. A dial that is given up costs it another handshake.
	minHandshakeTimeout = time.Second
	maxHandshakeTimeout = 16 * time.Second
)

// acceptTimeouts bound the wait until a machine accepts a connection, in turn. A dial that began while the machine was
// without power gets no answer for a second after it is back, so short ones come between; the longest suits links with
// a long delay.
var acceptTimeouts = [...]time.Duration{150 * time.Millisecond, 300 * time.Millisecond, 900 * time.Millisecond}

// dialTimeouts bounds a dial to an address.
type dialTimeouts struct {
	attempt   int // number of the dial
	handshake time.Duration
}

func newDialTimeouts() dialTimeouts { return dialTimeouts{handshake: minHandshakeTimeout} }

// accept returns the bound on the wait until the machine accepts the connection.
func (t dialTimeouts) accept() time.Duration { return acceptTimeouts[t.attempt%len(acceptTimeouts)] }

// after returns the bounds of the next dial.
func (t dialTimeouts) after(r dialResult) dialTimeouts {
	t.attempt++
	switch r {
	case dialNoHandshake:
		t.handshake = min(2*t.handshake, maxHandshakeTimeout)
	case dialConnected:
		t.handshake = minHandshakeTimeout
	}
	return t
}

// dialAttempt is one dial of a connection.
type dialAttempt struct {
	pool       *linkPool
	startedAt  time.Time
	accepted   chan struct{} // closed when the machine has accepted the connection
	acceptOnce sync.Once
}

// dialContext connects and records that the machine has accepted the connection.
func (d *dialAttempt) dialContext(ctx context.Context, address string) (net.Conn, error) {
	c, err := d.pool.dial(ctx, address)
	if err == nil {
		d.acceptOnce.Do(func() { close(d.accepted) })
	}
	return c, err
}

// waitReady waits until the connection can be used, and returns how the dial ended.
func (d *dialAttempt) waitReady(ctx context.Context, conn *grpc.ClientConn, timeouts dialTimeouts) dialResult {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timedOut := make(chan dialResult, 1)
	go func() {
		defer cancel()
		timedOut <- d.timeOut(ctx, timeouts)
	}()
	conn.Connect()
	for {
		switch s := conn.GetState(); s {
		case connectivity.Ready:
			return dialConnected
		case connectivity.TransientFailure, connectivity.Shutdown:
			return dialRefused
		default:
			if !conn.WaitForStateChange(ctx, s) {
				return <-timedOut
			}
		}
	}
}

// timeOut waits until a bound of the dial has passed or ctx ends, and returns what the dial was waiting for.
func (d *dialAttempt) timeOut(ctx context.Context, timeouts dialTimeouts) dialResult {
	select {
	case <-d.accepted:
	case <-time.After(timeouts.accept()):
		return dialNotAccepted
	case <-ctx.Done():
		return dialNotAccepted
	}
	select {
	case <-time.After(timeouts.handshake):
	case <-ctx.Done():
	}
	return dialNoHandshake
}

// record counts the dial.
func (d *dialAttempt) record(r dialResult) {
	d.pool.dials[r].Inc()
	if r == dialConnected {
		d.pool.dialSeconds.UpdateDuration(d.startedAt)
	}
}
