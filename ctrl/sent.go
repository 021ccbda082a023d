package ctrl

import (
	"context"
	"sync/atomic"

	"google.golang.org/grpc/stats"
)

// sendRecord records whether the request of a call was handed to a connection. One
// that was not has certainly not been executed.
type sendRecord struct{ sent atomic.Bool }

type sendRecordKey struct{}

// recordSend returns a context for one call and the record of its request.
func recordSend(ctx context.Context) (context.Context, *sendRecord) {
	r := &sendRecord{}
	return context.WithValue(ctx, sendRecordKey{}, r), r
}

// sendRecorder is the gRPC stats handler that marks the records of calls.
type sendRecorder struct{}

// HandleRPC marks the call's record when its request is written.
func (sendRecorder) HandleRPC(ctx context.Context, s stats.RPCStats) {
	if _, ok := s.(*stats.OutPayload); !ok {
		return
	}
	if r, ok := ctx.Value(sendRecordKey{}).(*sendRecord); ok {
		r.sent.Store(true)
	}
}

// TagRPC returns the context unchanged.
func (sendRecorder) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

// TagConn returns the context unchanged.
func (sendRecorder) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// HandleConn ignores events of connections.
func (sendRecorder) HandleConn(context.Context, stats.ConnStats) {}
