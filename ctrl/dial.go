package ctrl

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
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

// dialing is one dial of a connection.
type dialing struct {
	pool      *linkPool
	startedAt time.Time
	accepted  atomic.Bool // whether the machine has accepted the connection
}

// dialContext connects and records that the machine has accepted the connection.
func (d *dialing) dialContext(ctx context.Context, address string) (net.Conn, error) {
	c, err := d.pool.dial(ctx, address)
	if err == nil {
		d.accepted.Store(true)
	}
	return c, err
}

// waitReady waits until the connection can be used, and returns how the dial ended.
func (d *dialing) waitReady(ctx context.Context, conn *grpc.ClientConn, timeout time.Duration) dialResult {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	conn.Connect()
	for {
		switch s := conn.GetState(); s {
		case connectivity.Ready:
			return dialConnected
		case connectivity.TransientFailure, connectivity.Shutdown:
			return dialRefused
		default:
			if conn.WaitForStateChange(ctx, s) {
				continue
			}
			if d.accepted.Load() {
				return dialNoHandshake
			}
			return dialNotAccepted
		}
	}
}

// record counts the dial.
func (d *dialing) record(r dialResult) {
	d.pool.dials[r].Inc()
	if r == dialConnected {
		d.pool.dialSeconds.UpdateDuration(d.startedAt)
	}
}
