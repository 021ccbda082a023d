package ctrl

import (
	"context"
	"encoding/json"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"turmericroute/clock"
	"turmericroute/model"
	"turmericroute/state"
	"turmericroute/wire"
)

// Execute commits c through the leader. Refusals by the leader or by the state
// are in Result.Failure. A command that was certainly not proposed is retried for
// leaderSearchTimeout.
func (n *Node) Execute(ctx context.Context, c state.Command) (state.Result, error) {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, executeTimeout)
		defer cancel()
	}
	data, err := state.Encode(c)
	if err != nil {
		return state.Result{}, model.NotRun(model.CodeInvalid, "%v", err)
	}
	searchUntil := time.Now().Add(leaderSearchTimeout)
	for {
		if n.closing.Load() {
			return state.Result{}, model.NotRun(model.CodeShuttingDown, "instance is stopping")
		}
		out := n.executeOnce(ctx, c, data)
		if out.err == nil || out.err.Outcome != model.OutcomeNotRun || out.err.Code != model.CodeNoLeader {
			return out.result, errorOrNil(out.err)
		}
		if time.Now().After(searchUntil) || !clock.Sleep(ctx, retryDelay) {
			return state.Result{}, out.err
		}
	}
}

func (n *Node) executeOnce(ctx context.Context, c state.Command, data []byte) outcome {
	if _, ok := n.leadership.current(); ok {
		return n.executeLocal(ctx, c)
	}
	return n.executeRemote(ctx, data)
}

// ExecuteIn commits c if this instance leads in term, and fails with outcome
// not_run otherwise. It depends on no lease, since only the leader of a term can
// commit in it.
func (n *Node) ExecuteIn(ctx context.Context, term uint64, c state.Command) (state.Result, error) {
	session, ok := n.leadership.in(term)
	if !ok {
		return state.Result{}, notLeaderError()
	}
	out := n.propose(ctx, session, c)
	return out.result, errorOrNil(out.err)
}

// executeLocal commits a command if this instance leads.
func (n *Node) executeLocal(ctx context.Context, c state.Command) outcome {
	session, ok := n.leadership.current()
	if !ok {
		return outcome{err: notLeaderError()}
	}
	return n.propose(ctx, session, c)
}

// propose commits a command within a leader session.
func (n *Node) propose(ctx context.Context, session leaderSession, c state.Command) outcome {
	// Admission needs all entries that earlier leaders committed: a resent patch must get its first result.
	if err := n.machine.Wait(ctx, session.commitIndex); err != nil {
		return outcome{err: model.AsError(err)}
	}
	if n.cfg.Leader != nil {
		if refusal := n.cfg.Leader.Admit(n.machine, c); refusal != nil {
			return outcome{result: state.Result{Failure: refusal}}
		}
	}
	data, err := state.Encode(stamp(c, time.Now().UnixMilli()))
	if err != nil {
		return outcome{err: model.NotRun(model.CodeInvalid, "%v", err)}
	}
	// Applying the decoded value makes all members apply the same one. Decoding here also relieves the applier, which
	// handles one entry at a time.
	decoded, err := state.Decode(data)
	if err != nil {
		return outcome{err: model.NotRun(model.CodeInvalid, "%v", err)}
	}
	start := time.Now()
	out := n.member.Load().submit(ctx, &proposal{data: data, command: decoded, term: session.term})
	n.metrics.commitSeconds.UpdateDuration(start)
	return out
}

// stamp sets the timestamps of a command to nowMS, the leader's clock in Unix
// milliseconds. The deadline of a key is shifted by as much as its creation time.
func stamp(c state.Command, nowMS int64) state.Command {
	switch c := c.(type) {
	case state.PatchConfig:
		c.AtMS = nowMS
		return c
	case state.SubmitJob:
		c.AtMS = nowMS
		return c
	case state.CancelJob:
		c.AtMS = nowMS
		return c
	case state.MoveJob:
		c.AtMS = nowMS
		return c
	case state.ChangeBatch:
		c.Change.AtMS = nowMS
		return c
	case state.ClaimKey:
		c.Key.DeadlineMS += nowMS - c.Key.CreatedMS
		c.Key.CreatedMS = nowMS
		return c
	default:
		return c
	}
}

// executeRemote forwards a command to the leader.
func (n *Node) executeRemote(ctx context.Context, data []byte) outcome {
	p, conn, _ := n.leaderConn(ctx)
	if conn == nil {
		return outcome{err: noLeaderError(p.Name)}
	}
	ctx, sent := recordSend(ctx)
	resp, err := wire.NewControlClient(conn).Execute(ctx, &wire.ExecuteRequest{Command: data})
	switch {
	case err != nil:
		if ctx.Err() == nil {
			n.forgetLeader(p.Name)
		}
		return outcome{err: callError(ctx, p.Name, sent, err)}
	case resp.GetNotLeader():
		n.noteRedirect(p.Name, resp.GetLeader())
		return outcome{err: noLeaderError(p.Name)}
	case resp.GetFailure() != nil:
		return outcome{err: failureFromWire(resp.GetFailure())}
	}
	var out outcome
	if err := json.Unmarshal(resp.GetResult(), &out.result); err != nil {
		return outcome{err: model.Unknown(model.CodeInternal, "decode result: %v", err)}
	}
	return out
}

// noLeaderError returns the error for a command that reached no leader; peer is
// the instance that was tried, empty if there was none.
func noLeaderError(peer string) *model.Error {
	if peer == "" {
		return model.NotRun(model.CodeNoLeader, "no leader is known")
	}
	return model.NotRun(model.CodeNoLeader, "%s is not the leader or cannot be reached", peer)
}

// callError returns the error for a failed call to peer; its outcome is unknown if the request was sent.
func callError(ctx context.Context, peer string, sent *sendRecord, err error) *model.Error {
	if !sent.sent.Load() {
		return noLeaderError(peer)
	}
	if ctx.Err() != nil || status.Code(err) == codes.DeadlineExceeded {
		return model.Unknown(model.CodeDeadline, "%s did not answer in time", peer)
	}
	return model.Unknown(model.CodeUnavailable, "call to %s failed: %v", peer, err)
}

// leaderConn returns the leader and a connection to it, nil if it cannot be
// reached; known is false if no leader is known. While it is not, the control peers
// are asked: a request sent to one instance after the other leaves its caller in
// doubt when time runs out, a question does not.
func (n *Node) leaderConn(ctx context.Context) (p Peer, conn *grpc.ClientConn, known bool) {
	p, ok := n.knownLeader()
	if !ok {
		if p, ok = n.findLeader(ctx); !ok {
			return Peer{}, nil, false
		}
	}
	if conn = n.connTo(ctx, p); conn == nil {
		n.forgetLeader(p.Name)
	}
	return p, conn, true
}

// connTo returns a connection to a peer, nil if there is none in time.
func (n *Node) connTo(ctx context.Context, p Peer) *grpc.ClientConn {
	ctx, cancel := context.WithTimeout(ctx, viewTimeout/2)
	defer cancel()
	return n.links.get(p.Address).waitConn(ctx)
}

// knownLeader returns the leader that this instance believes in, false if it knows none but itself.
func (n *Node) knownLeader() (Peer, bool) {
	name := n.leaderName()
	if name == n.cfg.Name {
		return Peer{}, false
	}
	return n.peerNamed(name)
}

// forgetLeader clears the known leader if it is the named instance, which could not be reached.
func (n *Node) forgetLeader(name string) {
	if n.leaderName() == name {
		n.setLeaderName("")
	}
}

// noteRedirect updates the known leader from the reply of a peer that is not the leader.
func (n *Node) noteRedirect(peer, leader string) {
	if leader == peer {
		leader = ""
	}
	if leader != "" || n.leaderName() == peer {
		n.setLeaderName(leader)
	}
}

// Poll forwards a worker's poll to the leader.
func (n *Node) Poll(ctx context.Context, req model.PollRequest) (model.PollResponse, error) {
	if _, ok := n.leadership.current(); ok {
		return n.pollLocal(ctx, req)
	}
	var none model.PollResponse
	data, err := json.Marshal(req)
	if err != nil {
		return none, model.NotRun(model.CodeInvalid, "encode poll: %v", err)
	}
	p, conn, _ := n.leaderConn(ctx)
	if conn == nil {
		return none, noLeaderError(p.Name)
	}
	ctx, sent := recordSend(ctx)
	resp, err := wire.NewControlClient(conn).Poll(ctx, &wire.PollRequest{Request: data})
	switch {
	case err != nil:
		if ctx.Err() == nil {
			n.forgetLeader(p.Name)
		}
		return none, callError(ctx, p.Name, sent, err)
	case resp.GetNotLeader():
		n.noteRedirect(p.Name, resp.GetLeader())
		return none, noLeaderError(p.Name)
	case resp.GetFailure() != nil:
		return none, failureFromWire(resp.GetFailure())
	}
	var out model.PollResponse
	if err := json.Unmarshal(resp.GetResponse(), &out); err != nil {
		return none, model.Unknown(model.CodeInternal, "decode poll response: %v", err)
	}
	return out, nil
}

// pollLocal answers a poll on the leader; the context ends with the leadership.
func (n *Node) pollLocal(ctx context.Context, req model.PollRequest) (model.PollResponse, error) {
	session, ok := n.leadership.current()
	if !ok {
		return model.PollResponse{}, notLeaderError()
	}
	if n.cfg.Leader == nil {
		return model.PollResponse{}, model.NotRun(model.CodeUnavailable, "this deployment runs no scheduler")
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(session.ctx, cancel)()
	resp, err := n.cfg.Leader.Poll(ctx, req)
	if err != nil {
		return model.PollResponse{}, err //nolint:wrapcheck // a typed error.
	}
	// The response renews task leases, which a later leader counts from its election. It must not be sent after
	// that election, even if this instance notices the loss of its leader lease too late.
	if !n.confirmLease(ctx, session) {
		return model.PollResponse{}, notLeaderError()
	}
	return resp, nil
}
