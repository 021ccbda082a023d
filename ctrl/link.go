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
	// minBackoff and maxBackoff bound the pause between two dials.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 300 * time.Millisecond
	// minTimedOut is how long a call must have waited for its timeout to tell anything about the connection; it is below
	// searchTimeout.
	minTimedOut = 150 * time.Millisecond
	// maxPatience bounds how often the silence that a connection may keep is doubled.
	maxPatience = 3
)

// link maintains one connection to one address.
type link struct {
	address string
	pool    *linkPool

	mu      sync.Mutex
	conn    *grpc.ClientConn // nil unless connected
	drop    context.CancelFunc
	changed chan struct{}
	// unansweredSince is when the first of the requests without a reply was sent, lastRequestAt when the last was.
	unansweredSince, lastRequestAt time.Time
	// timeouts counts consecutive calls that timed out, of those that waited at the same time one; the last was counted at
	// timedOutAt. callUnansweredSince is when the first call since the last answer was sent.
	timeouts            int
	timedOutAt          time.Time
	callUnansweredSince time.Time
	// heardAt is when the last answer to a call, or reply to a message, was received.
	heardAt time.Time
	// patience counts the consecutive connections that were dropped as silent, up to maxPatience. Each doubles the silence
	// that the next one may keep: a new connection costs an instance that is merely slow more than an answer.
	patience int

	// failedDials counts the consecutive dials that failed, the first of which began at failingSince; used by run only.
	failedDials  int
	failingSince time.Time
}

// linkPool holds one link per address; links are created on first use.
type linkPool struct {
	ctx            context.Context
	cancel         context.CancelFunc
	logger         log.Logger
	credentials    credentials.TransportCredentials
	dialContext    func(ctx context.Context, network, address string) (net.Conn, error)
	sent, received *metrics.Counter
	writes, reads  *metrics.Counter // socket calls, about one TCP segment each
	reconnects     *metrics.Counter
	accepted       *metrics.Counter
	dialSeconds    *metrics.Summary
	dials          map[dialResult]*metrics.Counter

	wg        sync.WaitGroup
	mu        sync.Mutex
	byAddress map[string]*link
}

func newLinkPool(cfg Config) *linkPool {
	ctx, cancel := context.WithCancel(context.Background())
	return &linkPool{
		ctx: ctx, cancel: cancel, logger: cfg.Logger, credentials: cfg.Credentials, dialContext: cfg.DialContext, byAddress: map[string]*link{},
		sent:       cfg.Metrics.NewCounter(`turmericroute_ctrl_sent_bytes_total`),
		received:   cfg.Metrics.NewCounter(`turmericroute_ctrl_received_bytes_total`),
		writes:     cfg.Metrics.NewCounter(`turmericroute_ctrl_writes_total`),
		reads:      cfg.Metrics.NewCounter(`turmericroute_ctrl_reads_total`),
		reconnects: cfg.Metrics.NewCounter(`turmericroute_ctrl_reconnects_total`),
		accepted:   cfg.Metrics.NewCounter(`turmericroute_ctrl_accepted_connections_total`),
		// The time from a dial until the connection can be used.
		dialSeconds: cfg.Metrics.NewSummary(`turmericroute_ctrl_dial_seconds`),
		dials:       dialCounters(cfg.Metrics),
	}
}

// get returns the link to an address and starts it on first use.
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

// run reconnects with exponential back-off whenever the connection is lost or dropped.
func (l *link) run() {
	backoff := minBackoff
	timeouts := newDialTimeouts()
	for l.pool.ctx.Err() == nil {
		started := time.Now()
		timeouts = timeouts.after(l.connectOnce(timeouts))
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

// connectOnce dials and returns how that ended, if it was connected once the connection is lost or dropped.
func (l *link) connectOnce(timeouts dialTimeouts) dialResult {
	ctx, cancel := context.WithCancel(l.pool.ctx)
	defer cancel()
	d := &dialAttempt{pool: l.pool, startedAt: time.Now(), accepted: make(chan struct{})}
	conn, err := grpc.NewClient("passthrough:///"+l.address,
		grpc.WithTransportCredentials(l.pool.credentials),
		grpc.WithContextDialer(d.dialContext), grpc.WithStatsHandler(sendRecorder{}),
		grpc.WithDisableServiceConfig(), grpc.WithDisableRetry(), grpc.WithNoProxy(), grpc.WithIdleTimeout(0),
		grpc.WithInitialWindowSize(windowBytes), grpc.WithInitialConnWindowSize(windowBytes),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes), grpc.MaxCallSendMsgSize(maxMessageBytes)),
	)
	if err != nil {
		l.pool.logger.Log("event", "link_failed", "address", l.address, "err", err)
		return dialRefused
	}
	defer conn.Close()
	result := d.waitReady(ctx, conn, timeouts)
	d.record(result)
	l.logDial(d, result)
	if result != dialConnected {
		return result
	}
	l.setConn(conn, cancel)
	defer l.setConn(nil, nil)
	conn.WaitForStateChange(ctx, connectivity.Ready)
	l.pool.reconnects.Inc()
	return result
}

// logDial logs failed dials in a row at each doubling of their number, and the connection after them.
func (l *link) logDial(d *dialAttempt, r dialResult) {
	if r == dialConnected {
		if l.failedDials > 0 {
			l.pool.logger.Log("event", "link_connected", "address", l.address, "failed_dials", l.failedDials, "after_ms", time.Since(l.failingSince).Milliseconds(), "dial_ms", time.Since(d.startedAt).Milliseconds())
		}
		l.failedDials = 0
		return
	}
	if l.failedDials++; l.failedDials == 1 {
		l.failingSince = d.startedAt
	}
	if l.failedDials&(l.failedDials-1) == 0 && l.pool.ctx.Err() == nil {
		l.pool.logger.Log("event", "dial_failed", "address", l.address, "result", string(r), "failed_dials", l.failedDials, "failing_ms", time.Since(l.failingSince).Milliseconds(), "dial_ms", time.Since(d.startedAt).Milliseconds())
	}
}

// setConn replaces the connection and wakes the callers of waitConn.
func (l *link) setConn(conn *grpc.ClientConn, drop context.CancelFunc) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conn, l.drop, l.unansweredSince, l.timeouts, l.callUnansweredSince = conn, drop, time.Time{}, 0, time.Time{}
	close(l.changed)
	l.changed = make(chan struct{})
}

// waitConn waits for the connection and returns it, or nil when ctx ends first.
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

// requestSent records that a message that expects a reply was sent. It drops a
// connection on which such messages got no reply for stallTimeout, since TCP
// detects a silent partition, and its end, only much later. A single message may
// legitimately get no reply, so a pause of stallTimeout restarts the period.
func (l *link) requestSent() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if l.unansweredSince.IsZero() || now.Sub(l.lastRequestAt) > stallTimeout<<l.patience {
		l.unansweredSince = now
	}
	l.lastRequestAt = now
	if now.Sub(l.unansweredSince) > stallTimeout<<l.patience {
		l.dropSilent()
	}
}

// callSent records that a call is sent.
func (l *link) callSent() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.callUnansweredSince.IsZero() {
		l.callUnansweredSince = time.Now()
	}
}

// isSilent reports whether a call has been waiting for an answer for silentAfter, and no other got one.
func (l *link) isSilent() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.callUnansweredSince.IsZero() && time.Since(l.callUnansweredSince) > silentAfter
}

// callTimedOut records a call that had no answer since it was sent; the second consecutive one drops the connection, later
// ones if earlier connections were dropped as well. A call with little time left says nothing about the connection, nor
// does one that is slow while others are answered.
func (l *link) callTimedOut(sentAt time.Time) {
	if time.Since(sentAt) < minTimedOut {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.heardAt.After(sentAt) || l.timedOutAt.After(sentAt) {
		return
	}
	l.timedOutAt = time.Now()
	if l.timeouts++; l.timeouts > 1<<l.patience {
		l.dropSilent()
	}
}

func (l *link) dropSilent() {
	if l.drop == nil {
		return
	}
	l.pool.logger.Log("event", "link_dropped", "address", l.address, "reason", "no answer", "timeouts", l.timeouts, "patience", l.patience)
	l.patience = min(l.patience+1, maxPatience)
	l.drop()
	l.drop = nil
}

// replyReceived records a reply to a message sent on this connection.
func (l *link) replyReceived() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unansweredSince, l.patience, l.heardAt = time.Time{}, 0, time.Now()
}

// callAnswered records a call that was answered in time.
func (l *link) callAnswered() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unansweredSince, l.timeouts, l.callUnansweredSince, l.patience, l.heardAt = time.Time{}, 0, time.Time{}, 0, time.Now()
}

func (p *linkPool) dial(ctx context.Context, address string) (net.Conn, error) {
	c, err := p.dialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err //nolint:wrapcheck // gRPC adds the address.
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
	l.links.accepted.Inc()
	return &countedConn{Conn: c, links: l.links}, nil
}

// countedConn counts the bytes and calls of a connection.
type countedConn struct {
	net.Conn
	links *linkPool
}

// Read counts the call and the bytes read.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.links.received.Add(n)
	c.links.reads.Inc()
	return n, err //nolint:wrapcheck // callers inspect io.EOF and timeouts.
}

// Write counts the call and the bytes written.
func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.links.sent.Add(n)
	c.links.writes.Inc()
	return n, err //nolint:wrapcheck // callers inspect timeouts.
}
