package ctrl

import (
	"context"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/encoding/gzip"
	"google.golang.org/grpc/status"

	"turmericroute/clock"
	"turmericroute/model"
	"turmericroute/wire"
)

const (
	// callTimeout bounds one attempt of Call; it is below the shortest timeout of the platform's callers, 1 s.
	callTimeout = 800 * time.Millisecond
	// callTimeoutPerByte extends callTimeout for each byte of the request, since large ones take long on slow links.
	callTimeoutPerByte = time.Microsecond
	// compressAboveBytes is the size above which requests are compressed; smaller ones don't justify the CPU time.
	compressAboveBytes = 16 << 10
)

// Call sends an encoded request to the leader and returns its encoded response.
// All requests are idempotent: failed attempts are retried until ctx ends. The
// error is a *model.Error; its outcome is unknown once an attempt may have
// reached the leader, also if a later one is refused.
func (n *Node) Call(ctx context.Context, request []byte) ([]byte, error) {
	maybeExecuted := false
	unreachable := "" // the leader that could not be reached directly
	for {
		resp, failedPeer, fail := n.callOnce(ctx, request, unreachable)
		if fail == nil {
			return resp, nil
		}
		if fail.Outcome == model.OutcomeUnknown {
			maybeExecuted = true
		} else if fail.Code != model.CodeNoLeader {
			return nil, fail.InDoubtIf(maybeExecuted)
		}
		unreachable = failedPeer
		if !clock.Sleep(ctx, retryDelay) {
			if maybeExecuted {
				return nil, model.Unknown(fail.Code, "%s", fail.Message)
			}
			return nil, model.NotRun(model.CodeNoLeader, "%s", fail.Message)
		}
	}
}

// callOnce makes one attempt. If unreachable names a leader, an instance that can
// reach it is asked to relay the request. failedPeer is the leader that could not
// be reached.
func (n *Node) callOnce(ctx context.Context, request []byte, unreachable string) (response []byte, failedPeer string, _ *model.Error) {
	if _, ok := n.leadership.current(); ok {
		resp, fail := n.respondLocal(ctx, request)
		return resp, "", fail
	}
	t := n.callTarget(ctx, unreachable)
	if t.conn == nil {
		return nil, t.leader, noLeaderError(t.peer.Name)
	}
	p, l := t.peer, n.links.get(t.peer.Address)
	if l.isSilent() {
		// A request that is sent to an instance that is gone leaves its caller in doubt.
		n.forgetLeader(p.Name)
		return nil, "", noLeaderError(p.Name)
	}
	l.callSent()
	sentAt := time.Now()
	attemptCtx, cancel := context.WithTimeout(ctx, callTimeout+time.Duration(len(request))*callTimeoutPerByte)
	defer cancel()
	attemptCtx, sent := recordSend(attemptCtx)
	var options []grpc.CallOption
	if len(request) > compressAboveBytes {
		options = append(options, grpc.UseCompressor(gzip.Name))
	}
	resp, err := wire.NewControlClient(t.conn).Call(attemptCtx, &wire.CallRequest{Request: request, Relay: t.relay}, options...)
	if err != nil {
		if status.Code(err) == codes.DeadlineExceeded {
			l.callTimedOut(sentAt)
		}
		n.forgetLeader(p.Name)
		return nil, t.leader, callError(ctx, p.Name, sent, err)
	}
	l.callAnswered()
	n.learnMembers(resp.GetMembers(), resp.GetMembersIndex())
	if resp.GetNotLeader() {
		n.noteRedirect(p.Name, resp.GetLeader())
		return nil, "", noLeaderError(p.Name)
	}
	n.noteLeader()
	if resp.GetFailure() != nil {
		return nil, "", failureFromWire(resp.GetFailure())
	}
	if resp.GetLeader() != "" {
		n.setLeaderName(resp.GetLeader())
	}
	return resp.GetResponse(), "", nil
}

// callTarget is the instance that an attempt is sent to.
type callTarget struct {
	peer Peer
	conn *grpc.ClientConn // nil if no attempt can be made
	// leader is the leader that the attempt should reach, empty if it is not known.
	leader string
	// relay means that peer hands the request on to the leader.
	relay bool
}

// callTarget returns the leader, or if unreachable names a leader that could not
// be reached, another instance that still knows it.
func (n *Node) callTarget(ctx context.Context, unreachable string) callTarget {
	if unreachable == "" {
		p, conn, known := n.leaderConn(ctx)
		if !known {
			return callTarget{}
		}
		return callTarget{peer: p, conn: conn, leader: p.Name}
	}
	n.forgetLeader(unreachable)
	leader, ok := n.findLeader(ctx)
	switch {
	case !ok:
		return callTarget{leader: unreachable}
	case leader.Name != unreachable:
		return callTarget{peer: leader, conn: n.connTo(ctx, leader), leader: leader.Name}
	}
	n.forgetLeader(unreachable)
	if p, ok := n.findRelay(ctx, unreachable); ok {
		return callTarget{peer: p, conn: n.connTo(ctx, p), leader: unreachable, relay: true}
	}
	return callTarget{peer: leader, conn: n.connTo(ctx, leader), leader: unreachable}
}

// respondLocal answers a request on the leader and afterwards confirms that it
// still leads: the response may renew leases, which a later leader counts from
// its election.
func (n *Node) respondLocal(ctx context.Context, request []byte) ([]byte, *model.Error) {
	var resp []byte
	err := n.WhileLeading(ctx, func(ctx context.Context) error {
		if n.cfg.Responder == nil {
			return model.NotRun(model.CodeUnavailable, "this instance has no responder for calls")
		}
		var err error
		resp, err = n.cfg.Responder.Respond(ctx, request)
		return err //nolint:wrapcheck // a typed error.
	})
	if err != nil {
		return nil, model.AsError(err)
	}
	return resp, nil
}

// WhileLeading runs f on the leader, once all entries of earlier leaders are
// applied; the context of f ends with the leadership. Afterwards it confirms that
// this instance still leads; if not, it returns an error with outcome unknown.
func (n *Node) WhileLeading(ctx context.Context, f func(ctx context.Context) error) error {
	session, ok := n.leadership.current()
	if !ok {
		return notLeaderError()
	}
	if err := n.machine.Wait(ctx, session.commitIndex); err != nil {
		return err //nolint:wrapcheck // a typed error.
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(session.ctx, cancel)()
	if err := f(ctx); err != nil {
		return err
	}
	if !n.confirmLease(ctx, session) {
		return model.Unknown(model.CodeNoLeader, "leadership was lost before the answer")
	}
	return nil
}

// noteLeader records that a leader is known or has replied.
func (n *Node) noteLeader() { n.leaderSeenAt.Store(int64(clock.SinceBoot())) }

// Leaderless reports whether this instance has neither known nor reached a leader for leaderlessAfter.
func (n *Node) Leaderless() bool { return n.timeWithoutLeader() > leaderlessAfter }

// timeWithoutLeader returns how long this instance has neither known nor reached a leader.
func (n *Node) timeWithoutLeader() time.Duration {
	if m := n.member.Load(); m != nil && m.status.Load().Leader != "" {
		return 0
	}
	return clock.SinceBoot() - time.Duration(n.leaderSeenAt.Load())
}

// TransferLeadership transfers leadership to another voter if this instance
// leads, and waits for at most transferTimeout.
func (n *Node) TransferLeadership(ctx context.Context) {
	if m := n.member.Load(); m != nil {
		n.transferLeadership(ctx, m)
	}
}

// Leader returns the address of the leader, empty if none is known.
func (n *Node) Leader() string {
	if _, ok := n.leadership.current(); ok {
		return n.cfg.Address
	}
	if p, ok := n.peerNamed(n.leaderName()); ok {
		return p.Address
	}
	return ""
}

// Call answers a request forwarded by another instance.
func (s *server) Call(ctx context.Context, req *wire.CallRequest) (*wire.CallResponse, error) {
	out := &wire.CallResponse{Leader: s.n.leaderName()}
	out.Members, out.MembersIndex = s.n.knownMembers()
	resp, fail := s.n.respondLocal(ctx, req.GetRequest())
	if fail != nil && fail.Code == model.CodeNoLeader && fail.Outcome == model.OutcomeNotRun && req.GetRelay() {
		resp, _, fail = s.n.callOnce(ctx, req.GetRequest(), "")
		out.Leader = ""
	}
	switch {
	case fail != nil && fail.Code == model.CodeNoLeader && fail.Outcome == model.OutcomeNotRun:
		out.NotLeader = true
	case fail != nil:
		out.Failure = failureToWire(fail)
	default:
		out.Response = resp
	}
	return out, nil
}
