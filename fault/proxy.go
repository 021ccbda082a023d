package fault

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Rule selects the faults of a proxy. The zero Rule forwards all traffic unchanged.
type Rule struct {
	// Delay is added to the latency in each direction.
	Delay time.Duration
	// DropForward silently discards the bytes to the target, DropBack those from it.
	DropForward, DropBack bool
	// Refuse resets new connections at once.
	Refuse bool
}

// Proxy forwards connections to a target: those that its own listener accepts, or
// those passed to Forward.
type Proxy struct {
	target string
	ln     net.Listener // nil for a proxy without a listener
	wg     sync.WaitGroup

	mu       sync.Mutex
	rule     Rule
	cutAfter map[direction]int     // bytes until the requested cut
	conns    map[net.Conn]struct{} // open connections of both sides
	// accepted counts the connections. Those up to number silencedThrough forward
	// nothing any more.
	accepted, silencedThrough int
	closed                    bool
	forwarded                 [2]atomic.Int64 // bytes by direction
}

// direction is the direction of traffic on a connection.
type direction int

const (
	forward direction = iota // to the target
	back                     // from the target
)

// New returns a proxy without a listener. It forwards the connections that are passed
// to Forward to a target address.
func New(target string) *Proxy {
	return &Proxy{target: target, conns: map[net.Conn]struct{}{}, cutAfter: map[direction]int{}}
}

// Listen starts a proxy that listens on a TCP address and forwards to a target
// address. The address "127.0.0.1:0" selects a free port.
func Listen(address, target string) (*Proxy, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen for proxy: %w", err)
	}
	p := New(target)
	p.ln = ln
	p.wg.Add(1)
	go p.accept()
	return p, nil
}

// Address returns the address on which the proxy listens. It may only be called on
// proxies that Listen started.
func (p *Proxy) Address() string { return p.ln.Addr().String() }

// Bytes returns the number of bytes forwarded in both directions together.
func (p *Proxy) Bytes() int64 { return p.forwarded[forward].Load() + p.forwarded[back].Load() }

// SetRule replaces the rule for existing and new connections.
func (p *Proxy) SetRule(r Rule) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rule = r
}

// SetDelay replaces the delay of the rule.
func (p *Proxy) SetDelay(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rule.Delay = d
}

// CutForward forwards the next n bytes to the target and then closes the connection
// that carried the last of them.
func (p *Proxy) CutForward(n int) { p.setCut(forward, n) }

// CutBack forwards the next n bytes from the target and then closes the connection
// that carried the last of them.
func (p *Proxy) CutBack(n int) { p.setCut(back, n) }

func (p *Proxy) setCut(d direction, n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cutAfter[d] = n
}

// Reset closes all existing connections with a TCP reset.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		reset(c)
	}
}

// Silence stops all traffic on existing connections, which stay open. New connections
// are not affected.
func (p *Proxy) Silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silencedThrough = p.accepted
}

// Close stops the listener, closes all connections and waits for their goroutines.
func (p *Proxy) Close() error {
	p.mu.Lock()
	p.closed = true
	for c := range p.conns {
		c.Close()
	}
	p.mu.Unlock()
	var err error
	if p.ln != nil {
		err = p.ln.Close()
	}
	p.wg.Wait()
	if err != nil {
		return fmt.Errorf("close proxy: %w", err)
	}
	return nil
}

// reset closes c with a TCP reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		// With a linger time of zero, Close sends a reset.
		_ = t.SetLinger(0)
	}
	c.Close()
}

func (p *Proxy) accept() {
	defer p.wg.Done()
	for {
		c, err := p.ln.Accept()
		if err != nil {
			return
		}
		p.Forward(c)
	}
}

// Forward forwards a connection that the caller has accepted. It returns at once.
func (p *Proxy) Forward(c net.Conn) {
	p.mu.Lock()
	refuse := p.rule.Refuse || p.closed
	p.accepted++
	number := p.accepted
	if !refuse {
		p.wg.Add(1)
	}
	p.mu.Unlock()
	if refuse {
		reset(c)
		return
	}
	go p.serve(c, number)
}

func (p *Proxy) currentRule() Rule {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rule
}

// track registers a connection for Reset and Close. It returns false when the proxy
// is closed.
func (p *Proxy) track(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	p.conns[c] = struct{}{}
	return true
}

func (p *Proxy) untrack(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}

// serve forwards a connection with its number, counted from 1, in both directions until it ends.
func (p *Proxy) serve(client net.Conn, number int) {
	defer p.wg.Done()
	defer client.Close()
	target, err := net.Dial("tcp", p.target)
	if err != nil {
		reset(client)
		return
	}
	defer target.Close()
	if !p.track(client) || !p.track(target) {
		return
	}
	defer p.untrack(client)
	defer p.untrack(target)
	var wg sync.WaitGroup
	wg.Add(2)
	go func() { defer wg.Done(); p.pipe(target, client, forward, number) }()
	go func() { defer wg.Done(); p.pipe(client, target, back, number) }()
	wg.Wait()
}

// chunk is data in transit.
type chunk struct {
	data []byte
	due  time.Time // when the data may be delivered
}

// queueLength bounds the chunks in transit in one direction of a connection. It
// carries 10,000 chunks a second at a delay of 6 ms and costs 2 KiB a direction.
const queueLength = 64

// pipe copies from src to dst and applies the rule. It reads and writes in separate
// goroutines, so that a delay adds latency without reducing the throughput.
func (p *Proxy) pipe(dst, src net.Conn, d direction, number int) {
	queue := make(chan chunk, queueLength)
	go func() {
		defer close(queue)
		buf := make([]byte, 32<<10)
		for {
			n, err := src.Read(buf)
			if n > 0 && !p.dropped(d, number) {
				queue <- chunk{data: append([]byte(nil), buf[:n]...), due: time.Now().Add(p.currentRule().Delay)}
			}
			if err != nil {
				return
			}
		}
	}()
	for c := range queue {
		time.Sleep(time.Until(c.due))
		data, cut := p.applyCut(d, c.data)
		p.forwarded[d].Add(int64(len(data)))
		if _, err := dst.Write(data); err != nil || cut {
			dst.Close()
			src.Close()
		}
	}
	closeWrite(dst)
}

// dropped reports whether data of a connection is discarded.
func (p *Proxy) dropped(d direction, number int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.rule
	return number <= p.silencedThrough || d == forward && r.DropForward || d == back && r.DropBack
}

// applyCut returns the part of data that a requested cut still lets through, and
// whether the connection is to be closed after it.
func (p *Proxy) applyCut(d direction, data []byte) ([]byte, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	left, ok := p.cutAfter[d]
	switch {
	case !ok:
		return data, false
	case len(data) < left:
		p.cutAfter[d] = left - len(data)
		return data, false
	default:
		delete(p.cutAfter, d)
		return data[:left], true
	}
}

// closeWrite ends the stream to c, while data from c can still be read.
func closeWrite(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.CloseWrite()
	}
}
