package ctrl_test

import (
	"net"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// relay passes TCP connections on until it is frozen, as a silent partition does.
type relay struct {
	net.Listener
	to     string
	mu     sync.Mutex
	frozen bool
	conns  []net.Conn
}

func newRelay(to string) *relay {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	r := &relay{Listener: l, to: to}
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
		out, err := net.Dial("tcp", r.to)
		if err != nil {
			in.Close()
			continue
		}
		r.mu.Lock()
		r.conns = append(r.conns, in, out)
		r.mu.Unlock()
		go r.pass(in, out)
		go r.pass(out, in)
	}
}

// pass drops what is sent while frozen; the connection stays open but is useless then.
func (r *relay) pass(from, to net.Conn) {
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

// mesh puts a relay between each pair of instances, in each direction of connecting.
func (c *cluster) mesh() {
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

// isolate cuts the connections that an instance makes and, if both, those made to it.
func (c *cluster) isolate(name string, frozen, both bool) {
	for from, list := range c.relays {
		for to, r := range list {
			if from == name || both && to == name {
				r.freeze(frozen)
			}
		}
	}
}
