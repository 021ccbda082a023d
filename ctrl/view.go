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

// ViewAge returns an upper bound on the age of the local copy: the time since
// the start of the latest read of the leader's commit index that is applied here.
func (n *Node) ViewAge() time.Duration {
	at := n.viewTime.Load()
	if at == math.MinInt64 {
		return math.MaxInt64
	}
	return clock.SinceBoot() - time.Duration(at)
}

// advanceView records that the local copy holds all that was committed before
// start, a boot clock time; earlier times than the recorded one are ignored.
func (n *Node) advanceView(start time.Duration) {
	at := int64(start)
	for {
		old := n.viewTime.Load()
		if old >= at || n.viewTime.CompareAndSwap(old, at) {
			return
		}
	}
}

// runViewRefresh refreshes the view every viewInterval until the instance stops.
func (n *Node) runViewRefresh() {
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

// refreshView reads the commit index and waits until it is applied here. If that
// takes longer than stallTimeout, a diskless instance switches to another peer.
func (n *Node) refreshView(ctx context.Context) {
	readCtx, cancel := context.WithTimeout(ctx, viewTimeout)
	defer cancel()
	start := clock.SinceBoot()
	index, err := n.readIndex(readCtx)
	if err != nil {
		return
	}
	waitCtx, cancelWait := context.WithTimeout(ctx, stallTimeout)
	defer cancelWait()
	if err := n.machine.Wait(waitCtx, index); err != nil {
		// The followed instance is itself behind.
		if stop := n.cancelFollow.Load(); stop != nil {
			(*stop)()
		}
		return
	}
	n.advanceView(start)
}

// Barrier waits until the local copy holds all that was committed before the call.
func (n *Node) Barrier(ctx context.Context) error {
	start := clock.SinceBoot()
	index, err := n.readIndex(ctx)
	if err != nil {
		return err
	}
	if err := n.machine.Wait(ctx, index); err != nil {
		return err //nolint:wrapcheck // a typed error.
	}
	n.advanceView(start)
	return nil
}

// readIndex returns the leader's commit index; it retries for at most
// leaderSearchTimeout.
func (n *Node) readIndex(ctx context.Context) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, leaderSearchTimeout)
	defer cancel()
	for {
		index, ok := n.readIndexOnce(ctx)
		if ok {
			return index, nil
		}
		if !clock.Sleep(ctx, retryDelay) {
			return 0, model.NotRun(model.CodeNoLeader, "no leader answered in time")
		}
	}
}

func (n *Node) readIndexOnce(ctx context.Context) (uint64, bool) {
	if m := n.member.Load(); m != nil {
		if index, _, ok := m.readIndex(ctx); ok {
			return index, true
		}
	}
	p, conn, _ := n.leaderConn(ctx)
	if conn == nil {
		return 0, false
	}
	ctx, cancel := context.WithTimeout(ctx, viewTimeout)
	defer cancel()
	l := n.links.get(p.Address)
	sentAt := time.Now()
	resp, err := wire.NewControlClient(conn).ReadIndex(ctx, &wire.ReadIndexRequest{})
	if err != nil {
		if status.Code(err) == codes.DeadlineExceeded {
			l.callTimedOut(sentAt)
		}
		n.forgetLeader(p.Name)
		return 0, false
	}
	l.callAnswered()
	if resp.GetNotLeader() {
		n.noteRedirect(p.Name, resp.GetLeader())
		return 0, false
	}
	n.setLeaderName(p.Name)
	return resp.GetIndex(), true
}
