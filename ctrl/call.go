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
	// callTimeout bounds one attempt of Call; callers of the platform wait a second or more.
	callTimeout = 800 * time.Millisecond
	// callTimeoutPerByte is added to it for large requests, which take long on narrow links.
	callTimeoutPerByte = time.Microsecond
	// compressAboveBytes is the size in bytes from which requests are compressed; smaller ones are not worth the processor time.
	compressAboveBytes = 16 << 10
)

// Call hands an encoded request to the leader and returns its encoded answer.
// All requests are idempotent: an attempt that fails is repeated until ctx
// ends. The error is a *model.Error; its outcome is unknown once an attempt
// may have reached the leader.
func (n *Node) Call(ctx context.Context, request []byte) ([]byte, error) {
	unclear := false
	avoid := "" // the leader could not be reached directly
	for {
		resp, asked, fail := n.callOnce(ctx, request, avoid)
		if fail == nil {
			return resp, nil
		}
		if fail.Outcome == model.OutcomeUnknown {
			unclear = true
		} else if fail.Code != model.CodeNoLeader {
			return nil, fail
		}
		avoid = asked
		if !clock.Sleep(ctx, retryDelay) {
			if unclear {
				return nil, model.Unknown(fail.Code, "%s", fail.Message)
			}
			return nil, model.NotRun(model.CodeNoLeader, "%s", fail.Message)
		}
	}
}

// callOnce makes one attempt; asked names the leader that could not be reached.
func (n *Node) callOnce(ctx context.Context, request []byte, avoid string) (response []byte, asked string, _ *model.Error) {
	if _, ok := n.leadership.current(); ok {
		resp, fail := n.respondLocal(ctx, request)
		return resp, "", fail
	}
	if avoid != "" {
		n.forgetLeader(avoid)
	}
	p, conn := n.leaderConn(ctx)
	if conn == nil {
		return nil, p.Name, noLeaderError(p.Name)
	}
	try, cancel := context.WithTimeout(ctx, callTimeout+time.Duration(len(request))*callTimeoutPerByte)
	defer cancel()
	var options []grpc.CallOption
	if len(request) > compressAboveBytes {
		options = append(options, grpc.UseCompressor(gzip.Name))
	}
	l := n.links.get(p.Address)
	resp, err := wire.NewControlClient(conn).Call(try, &wire.CallRequest{Request: request, Relay: avoid != "" && p.Name != avoid}, options...)
	if err != nil {
		if status.Code(err) == codes.DeadlineExceeded {
			l.callTimedOut()
		}
		n.forgetLeader(p.Name)
		return nil, p.Name, callError(ctx, p.Name, err)
	}
	l.callAnswered()
	n.learnMembers(resp.GetMembers())
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

// respondLocal answers on the leader, and confirms afterwards that it still
// leads: the answer may renew leases that a later leader counts from its election.
func (n *Node) respondLocal(ctx context.Context, request []byte) ([]byte, *model.Error) {
	var resp []byte
	err := n.WhileLeading(ctx, func(ctx context.Context) error {
		if n.cfg.Responder == nil {
			return model.NotRun(model.CodeUnavailable, "this deployment answers no calls")
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

// WhileLeading runs f, whose context ends with the leadership, with all that
// earlier leaders committed applied. Afterwards it confirms that this instance
// still leads; otherwise the error's outcome is unknown.
func (n *Node) WhileLeading(ctx context.Context, f func(ctx context.Context) error) error {
	o, ok := n.leadership.current()
	if !ok {
		return notLeaderError()
	}
	if err := n.machine.Wait(ctx, o.commitIndex); err != nil {
		return err //nolint:wrapcheck // a typed error.
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(o.ctx, cancel)()
	if err := f(ctx); err != nil {
		return err
	}
	if _, term, held := n.member.Load().readIndex(ctx); !held || term != o.term {
		return model.Unknown(model.CodeNoLeader, "leadership was lost before the answer")
	}
	return nil
}

// noteLeader notes that a leader is known or has answered.
func (n *Node) noteLeader() { n.leaderSeenAt.Store(int64(clock.Boot())) }

// Leaderless reports whether this instance has known no leader, or reached none, for longer than an election takes.
func (n *Node) Leaderless() bool {
	if m := n.member.Load(); m != nil && m.status.Load().Leader != "" {
		return false
	}
	return clock.Boot()-time.Duration(n.leaderSeenAt.Load()) > leaderlessAfter
}

// TransferLeadership makes another voter the leader if this instance leads, and waits for it a little.
func (n *Node) TransferLeadership(ctx context.Context) {
	if m := n.member.Load(); m != nil {
		n.transferLeadership(ctx, m)
	}
}

// Leader returns the address of the leader's process, empty when none is known.
func (n *Node) Leader() string {
	if _, ok := n.leadership.current(); ok {
		return n.cfg.Address
	}
	if p, ok := n.peerNamed(n.leaderName()); ok {
		return p.Address
	}
	return ""
}

// Call answers a request that another instance hands on.
func (s *server) Call(ctx context.Context, req *wire.CallRequest) (*wire.CallResponse, error) {
	out := &wire.CallResponse{Leader: s.n.leaderName(), Members: s.n.knownMembers()}
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
