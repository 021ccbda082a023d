package ctrl

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"runtime/debug"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	"turmericroute/model"
	"turmericroute/state"
	"turmericroute/wire"
)

const (
	// keepaliveInterval and keepaliveTimeout bound how long the connection of an unreachable instance stays open.
	keepaliveInterval = 5 * time.Second
	keepaliveTimeout  = 2 * time.Second
)

// server implements the Quorum and Control services for a Node.
type server struct {
	wire.UnimplementedQuorumServer
	wire.UnimplementedControlServer
	n *Node
}

func newServer(n *Node) *grpc.Server {
	s := grpc.NewServer(
		grpc.Creds(n.cfg.Credentials),
		grpc.MaxRecvMsgSize(maxMessageBytes), grpc.MaxSendMsgSize(maxMessageBytes),
		grpc.InitialWindowSize(windowBytes), grpc.InitialConnWindowSize(windowBytes),
		grpc.ChainUnaryInterceptor(n.recoverCall),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: keepaliveInterval, Timeout: keepaliveTimeout}),
	)
	h := &server{n: n}
	wire.RegisterQuorumServer(s, h)
	wire.RegisterControlServer(s, h)
	return s
}

// recoverCall ends a call from another instance that panics alone.
func (n *Node) recoverCall(ctx context.Context, req any, info *grpc.UnaryServerInfo, handler grpc.UnaryHandler) (resp any, err error) {
	defer func() {
		if v := recover(); v != nil {
			n.metrics.panics.Inc()
			n.cfg.Logger.Log("event", "call_panicked", "method", info.FullMethod, "panic", fmt.Sprint(v), "stack", string(debug.Stack()))
			err = status.Errorf(codes.Internal, "call failed: %v", v)
		}
	}()
	return handler(ctx, req)
}

// grpcError returns an Unavailable status whose message starts with code.
func grpcError(code model.Code, message string) error {
	return status.Error(codes.Unavailable, string(code)+": "+message)
}

// Exchange receives protocol messages from another member.
func (s *server) Exchange(stream grpc.ClientStreamingServer[wire.QuorumMessage, wire.ExchangeSummary]) error {
	var from, to string
	var sender *wire.Member
	var opened *member // that has been told of the stream
	defer func() {
		if opened != nil {
			opened.transport.StreamClosed(from)
		}
	}()
	for {
		msg, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return stream.SendAndClose(&wire.ExchangeSummary{}) //nolint:wrapcheck // a gRPC status.
		}
		if err != nil {
			return err //nolint:wrapcheck // a gRPC status.
		}
		if msg.GetFrom() != "" {
			from, to, sender = msg.GetFrom(), msg.GetTo(), msg.GetSender()
		}
		// Messages addressed to an earlier identity of this instance are dropped.
		if m := s.n.member.Load(); m != nil && to == m.id {
			if opened == nil && sender.GetId() == from && from != "" {
				opened = m
				m.transport.StreamOpened(memberFromWire(sender))
			}
			msg.From, msg.To = from, to
			m.receive(messageFromWire(msg))
		}
	}
}

// Execute commits a command forwarded by another instance.
func (s *server) Execute(ctx context.Context, req *wire.ExecuteRequest) (*wire.ExecuteResponse, error) {
	c, err := state.Decode(req.GetCommand())
	if err != nil {
		return &wire.ExecuteResponse{Failure: failureToWire(model.NotRun(model.CodeInvalid, "%v", err))}, nil
	}
	out := s.n.executeLocal(ctx, c)
	switch {
	case out.err != nil && out.err.Code == model.CodeNoLeader && out.err.Outcome == model.OutcomeNotRun:
		return &wire.ExecuteResponse{NotLeader: true, Leader: s.n.leaderName()}, nil
	case out.err != nil:
		return &wire.ExecuteResponse{Failure: failureToWire(out.err)}, nil
	}
	data, err := json.Marshal(out.result)
	if err != nil {
		return &wire.ExecuteResponse{Failure: failureToWire(model.Unknown(model.CodeInternal, "encode result: %v", err))}, nil
	}
	return &wire.ExecuteResponse{Result: data}, nil
}

// ReadIndex returns the commit index while this instance holds the leader lease.
func (s *server) ReadIndex(ctx context.Context, _ *wire.ReadIndexRequest) (*wire.ReadIndexResponse, error) {
	if m := s.n.member.Load(); m != nil {
		if index, term, ok := m.readIndex(ctx); ok {
			return &wire.ReadIndexResponse{Index: index, Term: term}, nil
		}
	}
	return &wire.ReadIndexResponse{NotLeader: true, Leader: s.n.leaderName()}, nil
}

// Watch streams committed entries to an instance without a disk.
func (s *server) Watch(req *wire.WatchRequest, stream grpc.ServerStreamingServer[wire.WatchResponse]) error {
	return s.n.watch(req, stream)
}

// Poll answers a worker's poll forwarded by another instance.
func (s *server) Poll(ctx context.Context, req *wire.PollRequest) (*wire.PollResponse, error) {
	var poll model.PollRequest
	if err := json.Unmarshal(req.GetRequest(), &poll); err != nil {
		return &wire.PollResponse{Failure: failureToWire(model.NotRun(model.CodeInvalid, "decode poll: %v", err))}, nil
	}
	if _, ok := s.n.leadership.current(); !ok {
		return &wire.PollResponse{NotLeader: true, Leader: s.n.leaderName()}, nil
	}
	resp, err := s.n.pollLocal(ctx, poll)
	if err != nil {
		return &wire.PollResponse{Failure: failureToWire(model.AsError(err))}, nil
	}
	data, err := json.Marshal(resp)
	if err != nil {
		return &wire.PollResponse{Failure: failureToWire(model.Unknown(model.CodeInternal, "encode poll response: %v", err))}, nil
	}
	return &wire.PollResponse{Response: data}, nil
}

// Dump returns the state of the process as JSON.
func (s *server) Dump(context.Context, *wire.DumpRequest) (*wire.DumpResponse, error) {
	data, err := json.Marshal(s.n.Dump())
	if err != nil {
		return nil, status.Error(codes.Internal, err.Error())
	}
	return &wire.DumpResponse{Dump: data}, nil
}

// Identify returns the name and ID of this instance and the membership it knows.
func (s *server) Identify(_ context.Context, req *wire.IdentifyRequest) (*wire.IdentifyResponse, error) {
	id, dataLost, m := s.n.bootstrapState.get()
	if s.n.cfg.OpenMembership {
		s.n.learnMembers(req.GetMembers(), req.GetMembersIndex())
	}
	resp := &wire.IdentifyResponse{Name: s.n.cfg.Name, Id: id, Leader: s.n.leaderName(), DataCentre: s.n.cfg.DataCentre}
	resp.Members, resp.MembersIndex = s.n.knownMembers()
	// With open membership Bootstrap is set only at the first start: a disk that is empty later has lost its data.
	resp.Fresh = id != "" && !dataLost && m == nil && (s.n.cfg.Bootstrap || !s.n.cfg.OpenMembership)
	switch {
	case s.n.member.Load() != nil:
		resp.Membership = membershipToWire(s.n.applier.membership())
	case m != nil:
		resp.Membership = membershipToWire(*m)
	}
	return resp, nil
}

// Form accepts the initial membership if this is a fresh control instance.
func (s *server) Form(_ context.Context, req *wire.FormRequest) (*wire.FormResponse, error) {
	id, dataLost, _ := s.n.bootstrapState.get()
	m := membershipFromWire(req.GetMembership())
	if _, ok := m.Find(id); !ok || dataLost || id == "" {
		return &wire.FormResponse{}, nil
	}
	accepted, err := s.n.adoptMembership(m)
	if err != nil {
		return nil, status.Error(codes.Internal, err.Error())
	}
	return &wire.FormResponse{Accepted: accepted}, nil
}

// Join adds a fresh control instance as a learner.
func (s *server) Join(ctx context.Context, req *wire.JoinRequest) (*wire.JoinResponse, error) {
	m, fail := s.n.addLearner(ctx, memberFromWire(req.GetMember()))
	if fail != nil && fail.Code == model.CodeNoLeader {
		return &wire.JoinResponse{NotLeader: true, Leader: s.n.leaderName()}, nil
	}
	if fail != nil {
		return &wire.JoinResponse{Failure: failureToWire(fail)}, nil
	}
	return &wire.JoinResponse{Membership: membershipToWire(m)}, nil
}

var _ wire.QuorumServer = (*server)(nil)
