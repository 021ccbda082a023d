package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// linkDelay is the delay of a link, one way.
const linkDelay = 3 * time.Millisecond

// link is the way of connections to an address of a machine. While the machine is frozen, what is sent to it is held up;
// then TCP sends the first bytes again, and the rest, the end of the connection included, once these are acknowledged.
type link struct {
	play     *play
	listener net.Listener
	target   string

	mu     sync.Mutex
	frozen chan struct{} // closed when the machine wakes, nil while it is awake
}

// newLink opens a link to an address; n is the last byte of its own.
func (p *play) newLink(n int, target string) (*link, error) {
	l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", p.prefix, n, firstPort))
	if err != nil {
		return nil, notRun("a link cannot listen: %v", err)
	}
	k := &link{play: p, listener: l, target: target}
	p.wg.Go(k.accept)
	p.wg.Go(func() {
		<-p.ctx.Done()
		l.Close()
	})
	return k, nil
}

func (k *link) address() string { return k.listener.Addr().String() }

// freeze holds up what is sent from now on, and wake lets it through.
func (k *link) freeze() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.frozen = make(chan struct{})
}

func (k *link) wake() {
	k.mu.Lock()
	defer k.mu.Unlock()
	close(k.frozen)
	k.frozen = nil
}

// await waits until the machine is awake, or the play ends.
func (k *link) await() {
	k.mu.Lock()
	frozen := k.frozen
	k.mu.Unlock()
	if frozen == nil {
		return
	}
	select {
	case <-frozen:
	case <-k.play.ctx.Done():
	}
}

func (k *link) accept() {
	for {
		from, err := k.listener.Accept()
		if err != nil {
			return
		}
		to, err := net.Dial("tcp", k.target)
		if err != nil {
			from.Close()
			continue
		}
		go k.carry(from.(*net.TCPConn), to.(*net.TCPConn))
		go k.carry(to.(*net.TCPConn), from.(*net.TCPConn))
	}
}

// carry passes on what one side sends, each piece after the delay of the link, and its end after a round trip.
func (k *link) carry(from, to *net.TCPConn) {
	buf := make([]byte, 64<<10)
	for {
		n, err := from.Read(buf)
		sleep(k.play.ctx, linkDelay)
		k.await()
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				_ = from.Close() // the link ends
				return
			}
		}
		if err != nil {
			sleep(k.play.ctx, 2*linkDelay)
			if errors.Is(err, io.EOF) {
				_ = to.CloseWrite() // the other side may have gone
			} else {
				_ = to.Close() // the connection is broken
			}
			return
		}
	}
}
