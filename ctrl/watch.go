package ctrl

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"google.golang.org/grpc"

	"turmericroute/clock"
	"turmericroute/model"
	"turmericroute/quorum"
	"turmericroute/wire"
)

// follow replicates the state to an instance without a disk from one of the
// control peers, and switches to the next one when the stream breaks or stalls.
func (n *Node) follow() {
	peers := n.seedPeers()
	for at := rand.IntN(len(peers)); n.ctx.Err() == nil; at = (at + 1) % len(peers) {
		err := n.followOne(peers[at])
		if n.ctx.Err() == nil {
			n.cfg.Logger.Log("event", "watch_ended", "peer", peers[at].Name, "applied", n.machine.Applied(), "err", err)
		}
		clock.Sleep(n.ctx, minBackoff)
	}
}

// followOne applies the Watch stream of a peer until it breaks, or is silent for
// stallTimeout.
func (n *Node) followOne(p Peer) error {
	ctx, cancel := context.WithCancel(n.ctx)
	defer cancel()
	n.cancelFollow.Store(&cancel)
	stall := time.AfterFunc(stallTimeout, cancel)
	defer stall.Stop()
	conn := n.links.get(p.Address).waitConn(ctx)
	if conn == nil {
		return fmt.Errorf("no connection to %s", p.Address)
	}
	next := n.machine.Applied() + 1
	stream, err := wire.NewControlClient(conn).Watch(ctx, &wire.WatchRequest{From: next})
	if err != nil {
		return fmt.Errorf("watch: %w", err)
	}
	for {
		resp, err := stream.Recv()
		if err != nil {
			return fmt.Errorf("receive: %w", err)
		}
		stall.Reset(stallTimeout)
		if next, err = n.applyResponse(resp, next); err != nil {
			return err
		}
	}
}

// applyResponse applies one Watch response and returns the index of the next entry.
func (n *Node) applyResponse(resp *wire.WatchResponse, next uint64) (uint64, error) {
	if a := resp.GetLeader(); a != "" && n.leaderName() == "" {
		n.setLeaderName(a)
	}
	if m := resp.GetMembers(); m != nil {
		n.applier.setMembership(membershipFromWire(m))
	}
	if s := snapshotFromWire(resp.GetSnapshot()); s != nil {
		if s.Index < next {
			return next, fmt.Errorf("snapshot at index %d is older than the state at index %d", s.Index, next-1)
		}
		n.applier.process(applyItem{snapshot: s})
		if got := n.machine.Applied(); got != s.Index {
			return next, fmt.Errorf("snapshot at index %d restored a state at index %d", s.Index, got)
		}
		next = s.Index + 1
	}
	entries := entriesFromWire(resp.GetEntries())
	for _, e := range entries {
		if e.Index != next {
			return next, fmt.Errorf("received entry %d, want %d", e.Index, next)
		}
		next++
	}
	n.applier.process(applyItem{entries: entries})
	n.applier.discardEntries()
	return next, nil
}

// watch serves Control.Watch. It sends a snapshot first if the requested entries
// are compacted, then entries as they are applied, and a response without entries
// every watchKeepaliveInterval while there are none.
func (n *Node) watch(req *wire.WatchRequest, stream grpc.ServerStreamingServer[wire.WatchResponse]) error {
	if n.member.Load() == nil {
		return errNoMember
	}
	next := max(req.GetFrom(), 1)
	resp := &wire.WatchResponse{Members: membershipToWire(n.applier.membership()), Leader: n.leaderName()}
	keepalive := time.NewTicker(watchKeepaliveInterval)
	defer keepalive.Stop()
	for {
		changed := n.machine.Changed()
		entries, snapshot := n.applier.entriesFrom(next, maxWatchBytes)
		resp.Entries, resp.Snapshot = entriesToWire(entries), snapshotToWire(snapshot)
		next = nextIndex(next, entries, snapshot)
		if len(entries) > 0 || snapshot != nil || resp.Leader != "" || resp.Members != nil {
			if err := stream.Send(resp); err != nil {
				return err //nolint:wrapcheck // a gRPC status.
			}
			resp = &wire.WatchResponse{}
			continue
		}
		select {
		case <-changed:
		case <-keepalive.C:
			resp.Leader = n.leaderName()
			if resp.Leader == "" {
				if err := stream.Send(resp); err != nil {
					return err //nolint:wrapcheck // a gRPC status.
				}
			}
		case <-stream.Context().Done():
			return nil
		case <-n.ctx.Done():
			return errStopping
		}
	}
}

// nextIndex returns the index that follows the entries, which start at next, or
// the snapshot.
func nextIndex(next uint64, entries []quorum.Entry, s *quorum.Snapshot) uint64 {
	if s != nil {
		return s.Index + 1
	}
	return next + uint64(len(entries))
}

// discardEntries drops the retained entries and the snapshot, which an instance
// without a disk doesn't need.
func (a *applier) discardEntries() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.recent, a.snapshot, a.entriesSinceSnapshot, a.bytesSinceSnapshot = nil, nil, 0, 0
}

func (a *applier) setMembership(m quorum.Membership) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.members = m
}

func (a *applier) setPersist(f func(quorum.Snapshot, uint64) error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.persistSnapshot = f
}

var (
	errNoMember = grpcError(model.CodeUnavailable, "this instance has no membership")
	errStopping = grpcError(model.CodeShuttingDown, "instance is stopping")
)
