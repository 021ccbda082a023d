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
	// defaultMaxIdleConnsPerHost bounds the idle connections to an executor when the service
	// declares no bound on connections.
	defaultMaxIdleConnsPerHost = 64
	// maxResponseHeaderBytes bounds the header of an executor's response.
	maxResponseHeaderBytes = 64 << 10
)

var (
	errWritesBlocked = errors.New("writes to this connection are blocked")
	errSurplusBytes  = errors.New("the executor sent bytes after the end of its response")
)

// upstreamConn is a connection to an executor. It counts writes, so that after
// a failure it is known whether any byte of a request may have reached the
// executor, and it closes when it receives bytes that belong to no response.
type upstreamConn struct {
	net.Conn
	writes        atomic.Int64
	writesBlocked atomic.Bool

	mu     sync.Mutex
	framer framer
}

// beginRequest prepares the connection for one request and returns the number of writes before it.
// It blocks writes when the previous response has not ended.
func (c *upstreamConn) beginRequest(method string) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.framer.expectResponse(method) {
		c.writesBlocked.Store(true)
	}
	return c.writes.Load()
}

// Read returns bytes of the expected response and closes the connection at surplus bytes.
func (c *upstreamConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n == 0 {
		return n, err
	}
	c.mu.Lock()
	accepted := c.framer.feed(b[:n])
	c.mu.Unlock()
	if accepted == n {
		return n, err
	}
	c.writesBlocked.Store(true)
	c.Close()
	if accepted == 0 {
		return 0, errSurplusBytes
	}
	return accepted, nil
}

// Write writes b unless writes are blocked. The count is raised before the
// check, so a write that blockWrites did not stop is always counted.
func (c *upstreamConn) Write(b []byte) (int, error) {
	c.writes.Add(1)
	if c.writesBlocked.Load() {
		c.writes.Add(-1)
		return 0, errWritesBlocked
	}
	return c.Conn.Write(b)
}

// blockWrites blocks all later writes and reports whether none has begun since beginRequest
// returned writesBefore.
func (c *upstreamConn) blockWrites(writesBefore int64) bool {
	c.writesBlocked.Store(true)
	return c.writes.Load() == writesBefore
}

// newClient returns a client with at most maxConnsPerHost connections to each executor; 0 means no bound.
func newClient(maxConnsPerHost int) *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: 15 * time.Second}
	maxIdle := maxConnsPerHost
	if maxIdle == 0 {
		maxIdle = defaultMaxIdleConnsPerHost
	}
	t := &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &upstreamConn{Conn: c}, nil
		},
		MaxConnsPerHost:        maxConnsPerHost,
		MaxIdleConnsPerHost:    maxIdle,
		IdleConnTimeout:        idleConnTimeout,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
		DisableCompression:     true,
	}
	return &http.Client{
		Transport:     t,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}
