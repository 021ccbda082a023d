package ctrl_test

import (
	"net"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// relay forwards TCP connections to an address. While it is frozen it drops all
// data without closing connections, like a silent partition.
type relay struct {
	net.Listener
	target string
	mu     sync.Mutex
	frozen bool
	conns  []net.Conn
}

func newRelay(target string) *relay {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	r := &relay{Listener: l, target: target}
	go r.serve()
	DeferCleanup(func() {
		l.Close()
		r.freeze(true)
		r.mu.Lock()
		defer r.mu.Unlock()
		for _, c := range r.conns {
			c.Close()
		}
	})
	return r
}

func (r *relay) freeze(frozen bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.frozen = frozen
}

func (r *relay) isFrozen() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.frozen
}

func (r *relay) serve() {
	for {
		in, err := r.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", r.target)
		if err != nil {
			in.Close()
			continue
		}
		r.mu.Lock()
		r.conns = append(r.conns, in, out)
		r.mu.Unlock()
		go r.forward(in, out)
		go r.forward(out, in)
	}
}

// forward copies data in one direction. Once data was dropped because the relay
// was frozen, it drops the rest too and leaves the connection open.
func (r *relay) forward(from, to net.Conn) {
	lost := false
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		lost = lost || r.isFrozen()
		if err != nil && !lost {
			to.Close()
		}
		if err != nil {
			return
		}
		if lost {
			continue
		}
		if _, err := to.Write(buf[:n]); err != nil {
			from.Close()
			return
		}
	}
}

// addRelays puts a relay between each pair of instances, one per direction of connecting.
func (c *cluster) addRelays() {
	c.relays = map[string]map[string]*relay{}
	for _, from := range c.peers {
		c.relays[from.Name] = map[string]*relay{}
		for _, to := range c.peers {
			if from.Name != to.Name {
				c.relays[from.Name][to.Name] = newRelay(to.Address)
			}
		}
	}
}

// isolate freezes or unfreezes the connections that an instance makes and, if
// both is set, those made to it.
func (c *cluster) isolate(name string, frozen, both bool) {
	for from, byTarget := range c.relays {
		for to, r := range byTarget {
			if from == name || both && to == name {
				r.freeze(frozen)
			}
		}
	}
}
