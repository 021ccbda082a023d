package ctrl

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"
	"google.golang.org/grpc"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/credentials"
)

const (
	dialTimeout = time.Second
	minBackoff  = 50 * time.Millisecond
	maxBackoff  = time.Second
)

// link keeps one connection to one address.
type link struct {
	address string
	pool    *linkPool

	mu      sync.Mutex
	conn    *grpc.ClientConn // nil unless ready
	drop    context.CancelFunc
	changed chan struct{}
	// unansweredSince is when the first of the unanswered questions was sent, lastRequestAt when the last was.
	unansweredSince, lastRequestAt time.Time
	// timeouts counts calls in a row that were not answered in time.
	timeouts int
}

// linkPool holds the link of each address; linkPool are made when first asked for.
type linkPool struct {
	ctx            context.Context
	cancel         context.CancelFunc
	logger         log.Logger
	credentials    credentials.TransportCredentials
	sent, received *metrics.Counter
	writes, reads  *metrics.Counter // about one segment each
	reconnects     *metrics.Counter

	wg        sync.WaitGroup
	mu        sync.Mutex
	byAddress map[string]*link
}

func newLinkPool(cfg Config) *linkPool {
	ctx, cancel := context.WithCancel(context.Background())
	return &linkPool{
		ctx: ctx, cancel: cancel, logger: cfg.Logger, credentials: cfg.Credentials, byAddress: map[string]*link{},
		sent:       cfg.Metrics.NewCounter(`turmericroute_ctrl_sent_bytes_total`),
		received:   cfg.Metrics.NewCounter(`turmericroute_ctrl_received_bytes_total`),
		writes:     cfg.Metrics.NewCounter(`turmericroute_ctrl_writes_total`),
		reads:      cfg.Metrics.NewCounter(`turmericroute_ctrl_reads_total`),
		reconnects: cfg.Metrics.NewCounter(`turmericroute_ctrl_reconnects_total`),
	}
}

func (p *linkPool) get(address string) *link {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l, ok := p.byAddress[address]; ok {
		return l
	}
	l := &link{address: address, pool: p, changed: make(chan struct{})}
	p.byAddress[address] = l
	p.wg.Go(l.run)
	return l
}

func (p *linkPool) close() {
	p.cancel()
	p.wg.Wait()
}

// run connects, waits until the connection is lost or dropped, and connects again.
func (l *link) run() {
	backoff := minBackoff
	for l.pool.ctx.Err() == nil {
		started := time.Now()
		l.connectOnce()
		if time.Since(started) > maxBackoff {
			backoff = minBackoff
		}
		wait := backoff/2 + rand.N(backoff/2)
		backoff = min(2*backoff, maxBackoff)
		select {
		case <-time.After(wait):
		case <-l.pool.ctx.Done():
		}
	}
}

// connectOnce holds one connection from dialling to its loss.
func (l *link) connectOnce() {
	ctx, cancel := context.WithCancel(l.pool.ctx)
	defer cancel()
	conn, err := grpc.NewClient("passthrough:///"+l.address,
		grpc.WithTransportCredentials(l.pool.credentials),
		grpc.WithContextDialer(l.pool.dial),
		grpc.WithDisableServiceConfig(), grpc.WithDisableRetry(), grpc.WithNoProxy(), grpc.WithIdleTimeout(0),
		grpc.WithInitialWindowSize(windowBytes), grpc.WithInitialConnWindowSize(windowBytes),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes), grpc.MaxCallSendMsgSize(maxMessageBytes)),
	)
	if err != nil {
		l.pool.logger.Log("event", "link_failed", "address", l.address, "err", err)
		return
	}
	defer conn.Close()
	if !waitReady(ctx, conn) {
		return
	}
	l.setConn(conn, cancel)
	defer l.setConn(nil, nil)
	conn.WaitForStateChange(ctx, connectivity.Ready)
	l.pool.reconnects.Inc()
}

func waitReady(ctx context.Context, conn *grpc.ClientConn) bool {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn.Connect()
	for {
		switch s := conn.GetState(); s {
		case connectivity.Ready:
			return true
		case connectivity.TransientFailure, connectivity.Shutdown:
			return false
		default:
			if !conn.WaitForStateChange(ctx, s) {
				return false
			}
		}
	}
}

func (l *link) setConn(conn *grpc.ClientConn, drop context.CancelFunc) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conn, l.drop, l.unansweredSince, l.timeouts = conn, drop, time.Time{}, 0
	close(l.changed)
	l.changed = make(chan struct{})
}

// waitConn returns the connection, waiting for it until ctx ends; nil when there is none.
func (l *link) waitConn(ctx context.Context) *grpc.ClientConn {
	for {
		l.mu.Lock()
		conn, changed := l.conn, l.changed
		l.mu.Unlock()
		if conn != nil {
			return conn
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
}

// requestSent notes that something was sent that the other side answers. It drops a
// connection on which questions went unanswered for stallTimeout, since TCP would
// notice a silent partition, and its end, only much later. A single question may
// rightly get no answer, so that a pause starts the count anew.
func (l *link) requestSent() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if l.unansweredSince.IsZero() || now.Sub(l.lastRequestAt) > stallTimeout {
		l.unansweredSince = now
	}
	l.lastRequestAt = now
	if now.Sub(l.unansweredSince) > stallTimeout {
		l.dropUnresponsive()
	}
}

// callTimedOut notes a call without an answer in time; the second in a row drops the connection.
func (l *link) callTimedOut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.timeouts++; l.timeouts > 1 {
		l.dropUnresponsive()
	}
}

func (l *link) dropUnresponsive() {
	if l.drop == nil {
		return
	}
	l.pool.logger.Log("event", "link_dropped", "address", l.address, "reason", "no answer")
	l.drop()
}

// replyReceived notes that what was sent on this connection has arrived.
func (l *link) replyReceived() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unansweredSince = time.Time{}
}

// callAnswered notes a call that was answered in time.
func (l *link) callAnswered() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unansweredSince, l.timeouts = time.Time{}, 0
}

func (p *linkPool) dial(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err //nolint:wrapcheck // gRPC reports it with the address.
	}
	return &countedConn{Conn: c, links: p}, nil
}

// countedListener counts the bytes of accepted connections.
type countedListener struct {
	net.Listener
	links *linkPool
}

// Accept returns the next connection.
func (l countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err //nolint:wrapcheck // gRPC inspects it.
	}
	return &countedConn{Conn: c, links: l.links}, nil
}

type countedConn struct {
	net.Conn
	links *linkPool
}

// Read counts what it reads.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.links.received.Add(n)
	c.links.reads.Inc()
	return n, err //nolint:wrapcheck // passes io.EOF and time-outs on.
}

// Write counts what it writes.
func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.links.sent.Add(n)
	c.links.writes.Inc()
	return n, err //nolint:wrapcheck // passes time-outs on.
}
