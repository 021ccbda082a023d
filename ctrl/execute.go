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
// are in Result.Failure. A command that certainly was not proposed is tried
// again while a leader may still be found.
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
	searched := time.Now().Add(leaderSearchTimeout)
	for {
		if n.closing.Load() {
			return state.Result{}, model.NotRun(model.CodeShuttingDown, "instance is stopping")
		}
		out := n.executeOnce(ctx, c, data)
		if out.err == nil || out.err.Outcome != model.OutcomeNotRun || out.err.Code != model.CodeNoLeader {
			return out.result, asError(out.err)
		}
		if time.Now().After(searched) || !clock.Sleep(ctx, retryDelay) {
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

// ExecuteIn commits c while this instance leads in term.
func (n *Node) ExecuteIn(ctx context.Context, term uint64, c state.Command) (state.Result, error) {
	o, ok := n.leadership.current()
	if !ok || o.term != term {
		return state.Result{}, notLeaderError()
	}
	out := n.propose(ctx, o, c)
	return out.result, asError(out.err)
}

// executeLocal commits a command on the leader.
func (n *Node) executeLocal(ctx context.Context, c state.Command) outcome {
	o, ok := n.leadership.current()
	if !ok {
		return outcome{err: notLeaderError()}
	}
	return n.propose(ctx, o, c)
}

// propose commits a command in a time in office.
func (n *Node) propose(ctx context.Context, o leaderSession, c state.Command) outcome {
	// Admission needs all that earlier leaders committed: a resent patch must find its first answer.
	if err := n.machine.Wait(ctx, o.commitIndex); err != nil {
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
	// All members must apply the same value, and decoding here spares the applier, which does one entry at a time.
	same, err := state.Decode(data)
	if err != nil {
		return outcome{err: model.NotRun(model.CodeInvalid, "%v", err)}
	}
	start := time.Now()
	out := n.member.Load().submit(ctx, &proposal{data: data, command: same, term: o.term})
	n.metrics.commitSeconds.UpdateDuration(start)
	return out
}

// stamp sets the times of a command by the leader's clock. The deadline of a
// key keeps its distance from the key's creation.
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
	p, conn := n.leaderConn(ctx)
	if conn == nil {
		return outcome{err: noLeaderError(p.Name)}
	}
	resp, err := wire.NewControlClient(conn).Execute(ctx, &wire.ExecuteRequest{Command: data})
	switch {
	case err != nil:
		if ctx.Err() == nil {
			n.forgetLeader(p.Name)
		}
		return outcome{err: callError(ctx, p.Name, err)}
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

func noLeaderError(asked string) *model.Error {
	if asked == "" {
		return model.NotRun(model.CodeNoLeader, "no leader is known")
	}
	return model.NotRun(model.CodeNoLeader, "%s does not lead or cannot be reached", asked)
}

// callError describes a call that may have reached the other side.
func callError(ctx context.Context, asked string, err error) *model.Error {
	if ctx.Err() != nil || status.Code(err) == codes.DeadlineExceeded {
		return model.Unknown(model.CodeDeadline, "%s has not answered in time", asked)
	}
	return model.Unknown(model.CodeUnavailable, "call to %s failed: %v", asked, err)
}

// leaderConn returns the leader, or a control peer that may know it, and a
// connection to it; nil when there is none.
func (n *Node) leaderConn(ctx context.Context) (Peer, *grpc.ClientConn) {
	p, ok := n.callTarget()
	if !ok {
		return Peer{}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, viewTimeout/2)
	defer cancel()
	conn := n.links.get(p.Address).waitConn(ctx)
	if conn == nil {
		n.forgetLeader(p.Name)
	}
	return p, conn
}

// callTarget returns the leader if known, else the control peers in turn.
func (n *Node) callTarget() (Peer, bool) {
	if name := n.leaderName(); name != n.cfg.Name {
		if p, ok := n.peerNamed(name); ok {
			return p, true
		}
	}
	peers := n.controlPeers()
	if len(peers) == 0 {
		return Peer{}, false
	}
	return peers[int(n.nextPeer.Add(1))%len(peers)], true
}

// forgetLeader drops what was believed of the leader after it could not be reached.
func (n *Node) forgetLeader(name string) {
	if n.leaderName() == name {
		n.setLeaderName("")
	}
}

// noteRedirect notes what an instance that does not lead says of the leader.
func (n *Node) noteRedirect(asked, leader string) {
	if leader == asked {
		leader = ""
	}
	if leader != "" || n.leaderName() == asked {
		n.setLeaderName(leader)
	}
}

// Poll hands a worker's poll to the leader.
func (n *Node) Poll(ctx context.Context, req model.PollRequest) (model.PollResponse, error) {
	if _, ok := n.leadership.current(); ok {
		return n.pollLocal(ctx, req)
	}
	var none model.PollResponse
	data, err := json.Marshal(req)
	if err != nil {
		return none, model.NotRun(model.CodeInvalid, "encode poll: %v", err)
	}
	p, conn := n.leaderConn(ctx)
	if conn == nil {
		return none, noLeaderError(p.Name)
	}
	resp, err := wire.NewControlClient(conn).Poll(ctx, &wire.PollRequest{Request: data})
	switch {
	case err != nil:
		if ctx.Err() == nil {
			n.forgetLeader(p.Name)
		}
		return none, callError(ctx, p.Name, err)
	case resp.GetNotLeader():
		n.noteRedirect(p.Name, resp.GetLeader())
		return none, noLeaderError(p.Name)
	case resp.GetFailure() != nil:
		return none, failureFromWire(resp.GetFailure())
	}
	var out model.PollResponse
	if err := json.Unmarshal(resp.GetResponse(), &out); err != nil {
		return none, model.Unknown(model.CodeInternal, "decode answer to poll: %v", err)
	}
	return out, nil
}

// pollLocal answers a poll on the leader, for as long as it leads.
func (n *Node) pollLocal(ctx context.Context, req model.PollRequest) (model.PollResponse, error) {
	o, ok := n.leadership.current()
	if !ok {
		return model.PollResponse{}, notLeaderError()
	}
	if n.cfg.Leader == nil {
		return model.PollResponse{}, model.NotRun(model.CodeUnavailable, "this deployment schedules nothing")
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(o.ctx, cancel)()
	resp, err := n.cfg.Leader.Poll(ctx, req)
	if err != nil {
		return model.PollResponse{}, err //nolint:wrapcheck // a typed error.
	}
	// The answer renews leases of tasks, which a later leader counts from its election: it must not be from
	// after that, even if this instance has noticed the loss of its lease too late.
	if _, term, held := n.member.Load().readIndex(ctx); !held || term != o.term {
		return model.PollResponse{}, notLeaderError()
	}
	return resp, nil
}
