package ctrl

import (
	"context"
	"encoding/json"
	"time"

	"turmericroute/clock"
	"turmericroute/model"
	"turmericroute/state"
	"turmericroute/wire"
)

// Inquire queries the leader for information that only it has. It retries for
// leaderSearchTimeout while no leader answers.
func (n *Node) Inquire(ctx context.Context, q state.Inquiry) (state.Report, error) {
	data, err := json.Marshal(q)
	if err != nil {
		return state.Report{}, model.NotRun(model.CodeInvalid, "encode inquiry: %v", err)
	}
	searchUntil := time.Now().Add(leaderSearchTimeout)
	for {
		report, fail := n.inquireOnce(ctx, q, data)
		switch {
		case fail == nil:
			return report, nil
		case fail.Code != model.CodeNoLeader, time.Now().After(searchUntil), !clock.Sleep(ctx, retryDelay):
			return state.Report{}, fail
		}
	}
}

func (n *Node) inquireOnce(ctx context.Context, q state.Inquiry, data []byte) (state.Report, *model.Error) {
	if _, ok := n.leadership.current(); ok {
		return n.inquireLocal(ctx, q)
	}
	p, conn, _ := n.leaderConn(ctx)
	if conn == nil {
		return state.Report{}, noLeaderError(p.Name)
	}
	ctx, sent := recordSend(ctx)
	resp, err := wire.NewControlClient(conn).Inquire(ctx, &wire.InquireRequest{Inquiry: data})
	switch {
	case err != nil:
		if ctx.Err() == nil {
			n.forgetLeader(p.Name)
		}
		// An inquiry is read-only, so a failed one has outcome not_run in any case.
		e := callError(ctx, p.Name, sent, err)
		return state.Report{}, model.NotRun(e.Code, "%s", e.Message)
	case resp.GetNotLeader():
		n.noteRedirect(p.Name, resp.GetLeader())
		return state.Report{}, noLeaderError(p.Name)
	case resp.GetFailure() != nil:
		return state.Report{}, failureFromWire(resp.GetFailure())
	}
	var report state.Report
	if err := json.Unmarshal(resp.GetReport(), &report); err != nil {
		return state.Report{}, model.NotRun(model.CodeInternal, "decode report: %v", err)
	}
	return report, nil
}

// inquireLocal answers an inquiry on the leader; the context ends with the leadership.
func (n *Node) inquireLocal(ctx context.Context, q state.Inquiry) (state.Report, *model.Error) {
	session, ok := n.leadership.current()
	if !ok {
		return state.Report{}, notLeaderError()
	}
	if n.cfg.Leader == nil {
		return state.Report{}, model.NotRun(model.CodeUnavailable, "this deployment runs no scheduler")
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(session.ctx, cancel)()
	report, err := n.cfg.Leader.Report(ctx, q)
	if err != nil {
		return state.Report{}, model.AsError(err)
	}
	return report, nil
}

// Inquire answers an inquiry forwarded by another instance.
func (s *server) Inquire(ctx context.Context, req *wire.InquireRequest) (*wire.InquireResponse, error) {
	var q state.Inquiry
	if err := json.Unmarshal(req.GetInquiry(), &q); err != nil {
		return &wire.InquireResponse{Failure: failureToWire(model.NotRun(model.CodeInvalid, "decode inquiry: %v", err))}, nil
	}
	report, fail := s.n.inquireLocal(ctx, q)
	switch {
	case fail != nil && fail.Code == model.CodeNoLeader:
		return &wire.InquireResponse{NotLeader: true, Leader: s.n.leaderName()}, nil
	case fail != nil:
		return &wire.InquireResponse{Failure: failureToWire(fail)}, nil
	}
	data, err := json.Marshal(report)
	if err != nil {
		return &wire.InquireResponse{Failure: failureToWire(model.NotRun(model.CodeInternal, "encode report: %v", err))}, nil
	}
	return &wire.InquireResponse{Report: data}, nil
}
