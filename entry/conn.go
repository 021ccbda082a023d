package entry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// dialTimeout bounds the time to connect to an executor.
	dialTimeout = time.Second
	// idleConnTimeout is how long an unused connection to an executor stays open.
	idleConnTimeout = 30 * time.Second
	// defaultMaxIdleConnsPerHost bounds idle connections where the service declares no bound.
	defaultMaxIdleConnsPerHost = 64
	// maxResponseHeaderBytes bounds the header of an answer.
	maxResponseHeaderBytes = 64 << 10
)

var (
	errWritesBlocked = errors.New("nothing more is written to this connection")
	errSurplusBytes  = errors.New("the executor sent bytes beyond its answer")
)

// upstreamConn is a connection to an executor. It counts writes, so that after
// a failure it is known whether any byte of a request can have reached the
// executor, and it ends at bytes that belong to no answer.
type upstreamConn struct {
	net.Conn
	writes        atomic.Int64
	writesBlocked atomic.Bool

	mu     sync.Mutex
	framer framer
}

// beginRequest prepares for one request and returns the count of writes before it. A connection
// with an unfinished answer is sealed.
func (c *upstreamConn) beginRequest(method string) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.framer.expectResponse(method) {
		c.writesBlocked.Store(true)
	}
	return c.writes.Load()
}

// Read reads bytes of the expected answer and fails at surplus ones.
func (c *upstreamConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n == 0 {
		return n, err
	}
	c.mu.Lock()
	m := c.framer.feed(b[:n])
	c.mu.Unlock()
	if m == n {
		return n, err
	}
	c.writesBlocked.Store(true)
	c.Close()
	if m == 0 {
		return 0, errSurplusBytes
	}
	return m, nil
}

// Write writes b unless the connection is sealed. The count goes up before the
// check, so a write that seal did not stop is always counted.
func (c *upstreamConn) Write(b []byte) (int, error) {
	c.writes.Add(1)
	if c.writesBlocked.Load() {
		c.writes.Add(-1)
		return 0, errWritesBlocked
	}
	return c.Conn.Write(b)
}

// blockWrites stops all later writes and reports whether none began since the count was mark.
func (c *upstreamConn) blockWrites(mark int64) bool {
	c.writesBlocked.Store(true)
	return c.writes.Load() == mark
}

// newClient returns a client with at most maxConnsPerHost connections to one executor; 0 means no bound.
func newClient(perHost int) *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: 15 * time.Second}
	idle := perHost
	if idle == 0 {
		idle = defaultMaxIdleConnsPerHost
	}
	t := &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &upstreamConn{Conn: c}, nil
		},
		MaxConnsPerHost:        perHost,
		MaxIdleConnsPerHost:    idle,
		IdleConnTimeout:        idleConnTimeout,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
		DisableCompression:     true,
	}
	return &http.Client{
		Transport:     t,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}
