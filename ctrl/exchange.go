package ctrl

import (
	"context"
	"sync"

	"github.com/VictoriaMetrics/metrics"
	"google.golang.org/grpc"

	"turmericroute/clock"
	"turmericroute/quorum"
	"turmericroute/wire"
)

// Transport sends protocol messages to other members; it may lose them.
type Transport interface {
	// SetMembers sets the members that messages can be sent to.
	SetMembers(m quorum.Membership)
	// StreamOpened records that a member sends messages to this one, StreamClosed that it no longer does. It can be sent to
	// meanwhile, also if it is not among the members: a log that is behind does not name a member that has joined since.
	StreamOpened(m quorum.Member)
	StreamClosed(id string)
	// Send queues a message for the member m.To.
	Send(m quorum.Message)
	// ReplyReceived records that a member has replied to a message.
	ReplyReceived(id string)
	// Close ends all streams.
	Close()
}

// exchangeTransport is the Transport over Quorum.Exchange, with one stream per member.
type exchangeTransport struct {
	cfg     Config
	self    string
	links   *linkPool
	dropped *metrics.Counter

	wg    sync.WaitGroup
	mu    sync.Mutex
	peers map[string]*sender
	// members holds the IDs of the members, incoming the number of streams from each member.
	members  map[string]bool
	incoming map[string]int
	closed   bool
}

// sender sends the queued messages for one member.
type sender struct {
	self   quorum.Member
	link   *link
	queue  chan *wire.QuorumMessage
	cancel context.CancelFunc
}

func newExchangeTransport(cfg Config, self string, l *linkPool) *exchangeTransport {
	return &exchangeTransport{
		cfg: cfg, self: self, links: l, peers: map[string]*sender{}, members: map[string]bool{}, incoming: map[string]int{},
		dropped: cfg.Metrics.GetOrCreateCounter(`turmericroute_ctrl_dropped_messages_total{direction="sent"}`),
	}
}

// SetMembers starts streams to new members and closes those to removed ones that send nothing themselves.
func (x *exchangeTransport) SetMembers(m quorum.Membership) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.members = map[string]bool{}
	for _, list := range [][]quorum.Member{m.Voters, m.Learners} {
		for _, member := range list {
			x.members[member.ID] = true
			x.ensureSender(member)
		}
	}
	for id := range x.peers {
		x.dropUnused(id)
	}
}

// StreamOpened starts a stream to a member that sends messages to this one.
func (x *exchangeTransport) StreamOpened(m quorum.Member) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.incoming[m.ID]++
	x.ensureSender(m)
}

// StreamClosed closes the stream to a member that no longer sends messages to this one, unless it is among the members.
func (x *exchangeTransport) StreamClosed(id string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.incoming[id]--; x.incoming[id] <= 0 {
		delete(x.incoming, id)
	}
	x.dropUnused(id)
}

// ensureSender starts a stream to a member if there is none. The caller holds x.mu.
func (x *exchangeTransport) ensureSender(m quorum.Member) {
	if _, ok := x.peers[m.ID]; !ok && m.ID != x.self && !x.closed {
		x.startSender(m)
	}
}

// dropUnused closes the stream to an instance that is no member and sends nothing itself. The caller holds x.mu.
func (x *exchangeTransport) dropUnused(id string) {
	s := x.peers[id]
	if s == nil || x.members[id] || x.incoming[id] > 0 {
		return
	}
	s.cancel()
	delete(x.peers, id)
}

func (x *exchangeTransport) startSender(m quorum.Member) {
	ctx, cancel := context.WithCancel(x.links.ctx)
	s := &sender{
		self: quorum.Member{Name: x.cfg.Name, ID: x.self, Address: x.cfg.Address, DataCentre: x.cfg.DataCentre},
		link: x.links.get(x.cfg.addressOf(m)), queue: make(chan *wire.QuorumMessage, sendQueueSize), cancel: cancel,
	}
	x.peers[m.ID] = s
	x.wg.Go(func() { s.run(ctx) })
}

// Send queues a message, or drops it if the queue is full.
func (x *exchangeTransport) Send(m quorum.Message) {
	x.mu.Lock()
	s := x.peers[m.To]
	x.mu.Unlock()
	if s == nil {
		return
	}
	select {
	case s.queue <- messageToWire(m):
	default:
		x.dropped.Inc()
	}
}

// ReplyReceived records that messages reach a member.
func (x *exchangeTransport) ReplyReceived(id string) {
	x.mu.Lock()
	s := x.peers[id]
	x.mu.Unlock()
	if s != nil {
		s.link.replyReceived()
	}
}

// Close ends all streams.
func (x *exchangeTransport) Close() {
	x.mu.Lock()
	x.closed = true
	for _, s := range x.peers {
		s.cancel()
	}
	x.mu.Unlock()
	x.wg.Wait()
}

func (s *sender) run(ctx context.Context) {
	for ctx.Err() == nil {
		if conn := s.link.waitConn(ctx); conn != nil {
			s.stream(ctx, conn)
		}
	}
}

// stream sends from the queue until the stream breaks.
func (s *sender) stream(ctx context.Context, conn *grpc.ClientConn) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := wire.NewQuorumClient(conn).Exchange(ctx)
	if err != nil {
		s.pause(ctx)
		return
	}
	// Messages queued while there was no connection are outdated.
	for len(s.queue) > 0 {
		<-s.queue
	}
	for first := true; ; first = false {
		select {
		case m := <-s.queue:
			if first {
				m.Sender = memberToWire(s.self)
			} else {
				// All messages of a stream are between the same two members.
				m.From, m.To = "", ""
			}
			if expectsReply(quorum.MessageKind(m.GetKind())) {
				s.link.requestSent()
			}
			if err := stream.Send(m); err != nil {
				s.pause(ctx)
				return
			}
		case <-stream.Context().Done():
			s.pause(ctx)
			return
		case <-ctx.Done():
			return
		}
	}
}

// expectsReply reports whether a healthy member replies to a message of this kind.
// A member that only replies detects a broken connection to the leader by its calls.
func expectsReply(kind quorum.MessageKind) bool {
	switch kind {
	case quorum.MessageAppend, quorum.MessageHeartbeat, quorum.MessageSnapshot, quorum.MessagePreVote:
		return true
	default:
		return false
	}
}

// isReply reports whether a message replies to one for which expectsReply is true.
func isReply(kind quorum.MessageKind) bool {
	switch kind {
	case quorum.MessageAppendReply, quorum.MessageHeartbeatReply, quorum.MessageSnapshotReply, quorum.MessagePreVoteReply:
		return true
	default:
		return false
	}
}

func (s *sender) pause(ctx context.Context) { clock.Sleep(ctx, minBackoff) }
