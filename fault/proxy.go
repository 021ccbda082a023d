package fault

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Rule says what the proxy does to traffic; the zero rule forwards it unchanged.
type Rule struct {
	// Delay is added one way in each direction.
	Delay time.Duration
	// DropForward and DropBack discard bytes silently: to the target, and from it.
	DropForward, DropBack bool
	// Refuse closes new connections at once.
	Refuse bool
}

// Proxy forwards connections to a target: those to its own address, or those handed to it.
type Proxy struct {
	target string
	ln     net.Listener // nil without an address of its own
	wg     sync.WaitGroup

	mu    sync.Mutex
	rule  Rule
	cut   map[direction]int
	conns map[net.Conn]struct{}
	// accepted counts connections; those up to silencedThrough pass nothing on any more.
	accepted, silencedThrough int
	closed                    bool
	forwarded                 [2]atomic.Int64
}

type direction int

const (
	forward direction = iota
	back
)

// New returns a proxy to a target address for connections that are handed to Forward.
func New(target string) *Proxy {
	return &Proxy{target: target, conns: map[net.Conn]struct{}{}, cut: map[direction]int{}}
}

// Listen starts a proxy on a loopback address ("127.0.0.1:0" picks a port) to a target address.
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

// Address returns the proxy's own address.
func (p *Proxy) Address() string { return p.ln.Addr().String() }

// Bytes returns how many bytes were passed on in both directions together.
func (p *Proxy) Bytes() int64 { return p.forwarded[forward].Load() + p.forwarded[back].Load() }

// SetRule replaces the rule for present and new connections.
func (p *Proxy) SetRule(r Rule) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rule = r
}

// CutForward closes the connection that carries the next n bytes to the target after passing them on.
func (p *Proxy) CutForward(n int) { p.setCut(forward, n) }

// CutBack closes the connection that carries the next n bytes from the target after passing them on.
func (p *Proxy) CutBack(n int) { p.setCut(back, n) }

func (p *Proxy) setCut(d direction, n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut[d] = n
}

// Reset closes all present connections with a TCP reset.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		reset(c)
	}
}

// Silence stops all traffic on present connections, which stay open; new ones work.
func (p *Proxy) Silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silencedThrough = p.accepted
}

// Close stops the proxy and its connections.
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

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		// A zero linger makes Close send a reset.
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

// Forward serves a connection that the caller has accepted.
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

// track remembers a connection for Reset and Close; false when the proxy is closed.
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

// chunk is data on its way with the time at which it may be delivered.
type chunk struct {
	data []byte
	due  time.Time
}

// pipe copies from src to dst under the rules. A reader and a writer are
// needed so that a delay adds latency and does not divide the throughput.
func (p *Proxy) pipe(dst, src net.Conn, d direction, number int) {
	queue := make(chan chunk, 1024)
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

func (p *Proxy) dropped(d direction, number int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.rule
	return number <= p.silencedThrough || d == forward && r.DropForward || d == back && r.DropBack
}

// applyCut shortens data to what a requested cut still lets through.
func (p *Proxy) applyCut(d direction, data []byte) ([]byte, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	left, ok := p.cut[d]
	switch {
	case !ok:
		return data, false
	case len(data) < left:
		p.cut[d] = left - len(data)
		return data, false
	default:
		delete(p.cut, d)
		return data[:left], true
	}
}

func closeWrite(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.CloseWrite()
	}
}
