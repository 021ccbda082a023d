package ctrl

import (
	"context"
	"math"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"turmericroute/clock"
	"turmericroute/model"
	"turmericroute/wire"
)

// ViewAge returns how old the local copy may be: the time since before the
// question whose answer, the leader's commit index, is applied here.
func (n *Node) ViewAge() time.Duration {
	at := n.view.Load()
	if at == math.MinInt64 {
		return math.MaxInt64
	}
	return clock.SinceBoot() - time.Duration(at)
}

// seen notes that the local copy held all that was committed before start.
func (n *Node) seen(start time.Duration) {
	at := int64(start)
	for {
		old := n.view.Load()
		if old >= at || n.view.CompareAndSwap(old, at) {
			return
		}
	}
}

// keepView asks for the commit index regularly.
func (n *Node) keepView() {
	t := time.NewTicker(viewInterval)
	defer t.Stop()
	for {
		n.refreshView(n.ctx)
		select {
		case <-t.C:
		case <-n.ctx.Done():
			return
		}
	}
}

func (n *Node) refreshView(ctx context.Context) {
	ask, cancel := context.WithTimeout(ctx, viewTimeout)
	defer cancel()
	start := clock.SinceBoot()
	index, err := n.readIndex(ask)
	if err != nil {
		return
	}
	wait, cancelWait := context.WithTimeout(ctx, stallTimeout)
	defer cancelWait()
	if err := n.machine.Wait(wait, index); err != nil {
		// What this instance follows is itself behind.
		if stop := n.refollow.Load(); stop != nil {
			(*stop)()
		}
		return
	}
	n.seen(start)
}

// Barrier waits until the local state holds all that was committed before the call.
func (n *Node) Barrier(ctx context.Context) error {
	start := clock.SinceBoot()
	index, err := n.readIndex(ctx)
	if err != nil {
		return err
	}
	if err := n.machine.Wait(ctx, index); err != nil {
		return err //nolint:wrapcheck // a typed error.
	}
	n.seen(start)
	return nil
}

// readIndex asks for the commit index while a leader may still be found.
func (n *Node) readIndex(ctx context.Context) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, leaderSearch)
	defer cancel()
	for {
		index, ok := n.readIndexOnce(ctx)
		if ok {
			return index, nil
		}
		if !clock.Sleep(ctx, retryDelay) {
			return 0, model.NotRun(model.CodeNoLeader, "no leader has answered in time")
		}
	}
}

func (n *Node) readIndexOnce(ctx context.Context) (uint64, bool) {
	if m := n.member.Load(); m != nil {
		if index, _, ok := m.readIndex(ctx); ok {
			return index, true
		}
	}
	p, conn := n.leaderConn(ctx)
	if conn == nil {
		return 0, false
	}
	ctx, cancel := context.WithTimeout(ctx, viewTimeout)
	defer cancel()
	l := n.links.get(p.Address)
	resp, err := wire.NewControlClient(conn).ReadIndex(ctx, &wire.ReadIndexRequest{})
	if err != nil {
		if status.Code(err) == codes.DeadlineExceeded {
			l.timedOut()
		}
		n.forget(p.Name)
		return 0, false
	}
	l.inTime()
	if resp.GetNotLeader() {
		n.redirect(p.Name, resp.GetLeader())
		return 0, false
	}
	n.learn(p.Name)
	return resp.GetIndex(), true
}
