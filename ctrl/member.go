package ctrl

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"

	"turmericroute/clock"
	"turmericroute/model"
	"turmericroute/quorum"
	"turmericroute/state"
	"turmericroute/store"
)

var errStopped = errors.New("instance is stopping")

// proposal is a command or a membership on its way into the log.
type proposal struct {
	data []byte
	// command is what data decodes to.
	command    state.Command
	membership *quorum.Membership
	// term is the one in which the command was admitted; in another one it is refused.
	term uint64
	// settled is set by whoever comes first: the loop that takes it or the proposer that gives up.
	settled atomic.Bool
	done    chan outcome
}

// member drives the protocol on one goroutine.
type member struct {
	cfg        Config
	id         string
	logger     log.Logger
	protocol   *quorum.Node
	storage    Storage
	transport  Transport
	applier    *applier
	leadership *leadership
	onChange   func(quorum.Status) // called by the loop when role, term, leader or membership change

	inbox     chan quorum.Message
	proposals chan *proposal
	calls     chan func()
	stop      chan struct{}
	done      chan struct{}
	err       error // why the loop ended; valid once done is closed

	status atomic.Pointer[quorum.Status]
	// lastTick is read on the boot clock, so that ticks are due for a time of suspension.
	lastTick time.Duration

	syncSeconds *metrics.Summary
	syncEntries *metrics.Summary
	dropped     *metrics.Counter
}

func newMember(cfg Config, rec store.Recovered, st Storage, tr Transport, a *applier, l *leadership) (*member, error) {
	q, err := quorum.New(quorum.Config{
		ID: rec.ID, Membership: *rec.Membership, HardState: rec.HardState, Snapshot: rec.Snapshot, Entries: rec.Entries,
		Rand: rand.IntN, MaxDrift: model.MaxClockDrift, MaxBatchBytes: maxAppendBytes,
	})
	if err != nil {
		return nil, fmt.Errorf("start protocol: %w", err)
	}
	m := &member{
		cfg: cfg, id: rec.ID, logger: cfg.Logger, protocol: q, storage: st, transport: tr, applier: a, leadership: l,
		inbox: make(chan quorum.Message, receiveQueueSize), proposals: make(chan *proposal, maxQueuedProposals),
		calls: make(chan func()), stop: make(chan struct{}), done: make(chan struct{}),
		syncSeconds: cfg.Metrics.NewSummary(`turmericroute_ctrl_sync_seconds`),
		syncEntries: cfg.Metrics.NewSummary(`turmericroute_ctrl_sync_entries`),
		dropped:     cfg.Metrics.GetOrCreateCounter(`turmericroute_ctrl_dropped_messages_total{direction="received"}`),
	}
	s := q.Status()
	m.status.Store(&s)
	tr.SetMembers(s.Membership)
	return m, nil
}

// receive hands a received message to the loop, or drops it when the loop is behind.
func (m *member) receive(msg quorum.Message) {
	if isReply(msg.Kind) {
		m.transport.ReplyReceived(msg.From)
	}
	select {
	case m.inbox <- msg:
	default:
		m.dropped.Inc()
	}
}

func (m *member) run() {
	defer close(m.done)
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	m.lastTick = clock.Boot()
	for {
		select {
		case <-m.stop:
			m.err = errStopped
			return
		case <-ticker.C:
			m.deliverTicks()
		case msg := <-m.inbox:
			m.handle(msg)
		case p := <-m.proposals:
			m.deliverTicks()
			m.propose(p, m.protocol.Status().Term)
		case f := <-m.calls:
			m.deliverTicks()
			f()
		}
		m.drainQueues()
		if err := m.processReady(); err != nil {
			m.err = err
			m.logger.Log("event", "member_failed", "id", m.id, "err", err)
			return
		}
		m.publishStatus()
	}
}

// deliverTicks delivers all deliverTicks that are due, since a sync may have taken longer than
// a tick and the leader lease is counted in deliverTicks.
func (m *member) deliverTicks() {
	const most = 64 // beyond several election timeouts more ticks change nothing
	due := int((clock.Boot() - m.lastTick) / tick)
	for range min(due, most) {
		m.protocol.Tick()
	}
	m.lastTick += time.Duration(due) * tick
}

// handle steps a message after all ticks that are due: the promise that an
// answer makes to a leader counts from the tick at which the message was taken.
func (m *member) handle(msg quorum.Message) {
	m.deliverTicks()
	if err := m.protocol.Step(msg); err != nil {
		m.logger.Log("event", "message_refused", "from", msg.From, "kind", msg.Kind, "err", err)
	}
}

// drainQueues takes what came in during the last sync, so that it shares the next one.
func (m *member) drainQueues() {
	for n := len(m.inbox); n > 0; n-- {
		m.handle(<-m.inbox)
	}
	n := len(m.proposals)
	if n == 0 {
		return
	}
	for current := m.protocol.Status().Term; n > 0; n-- {
		m.propose(<-m.proposals, current)
	}
}

// propose appends a proposal that was admitted in the current term.
func (m *member) propose(p *proposal, current uint64) {
	if !p.settled.CompareAndSwap(false, true) {
		return
	}
	if p.term != current {
		p.done <- outcome{err: notLeaderError()}
		return
	}
	var index, term uint64
	var err error
	if p.membership != nil {
		index, term, err = m.protocol.ProposeMembership(*p.membership)
	} else {
		index, term, err = m.protocol.Propose(p.data)
	}
	switch {
	case errors.Is(err, quorum.ErrNotLeader):
		p.done <- outcome{err: notLeaderError()}
	case err != nil:
		p.done <- outcome{err: model.NotRun(model.CodeUnavailable, "propose: %v", err)}
	default:
		m.applier.addWaiter(index, waiter{term: term, command: p.command, done: p.done})
	}
}

func notLeaderError() *model.Error {
	return model.NotRun(model.CodeNoLeader, "this instance does not lead")
}

// processReady does the work that the protocol has ready.
func (m *member) processReady() error {
	for {
		r, ok := m.protocol.Ready()
		if !ok {
			return nil
		}
		m.send(r.Messages, beforeSync)
		saved, rest := splitCommitted(r)
		m.apply(saved)
		if err := m.save(r); err != nil {
			return err
		}
		m.send(r.Messages, afterSync)
		m.apply(rest)
		m.protocol.Advance(r)
	}
}

// splitCommitted splits the committed entries into those that this disk holds
// already and those that are yet to be saved.
func splitCommitted(r quorum.Ready) (saved, rest []quorum.Entry) {
	if r.Snapshot != nil {
		return nil, r.Committed
	}
	if len(r.Entries) == 0 {
		return r.Committed, nil
	}
	n := 0
	for n < len(r.Committed) && r.Committed[n].Index < r.Entries[0].Index {
		n++
	}
	return r.Committed[:n], r.Committed[n:]
}

// apply hands committed entries to the applier.
func (m *member) apply(committed []quorum.Entry) {
	if len(committed) > 0 {
		m.applier.enqueue(applyItem{entries: committed})
	}
}

// Messages of the leader promise nothing about its own disk, so that followers
// can sync at the same time as it does.
const (
	beforeSync = true
	afterSync  = false
)

func (m *member) send(messages []quorum.Message, before bool) {
	for _, msg := range messages {
		switch msg.Kind {
		case quorum.MessageAppend, quorum.MessageHeartbeat, quorum.MessageSnapshot:
			if before {
				m.transport.Send(msg)
			}
		default:
			if !before {
				m.transport.Send(msg)
			}
		}
	}
}

func (m *member) save(r quorum.Ready) error {
	if r.Snapshot != nil {
		if err := m.storage.SaveSnapshot(*r.Snapshot); err != nil {
			return fmt.Errorf("install snapshot: %w", err)
		}
		m.applier.enqueue(applyItem{snapshot: r.Snapshot})
	}
	if r.HardState == nil && len(r.Entries) == 0 {
		return nil
	}
	start := time.Now()
	if err := m.storage.Save(r.HardState, r.Entries); err != nil {
		return fmt.Errorf("save log: %w", err)
	}
	m.syncSeconds.UpdateDuration(start)
	if n := len(r.Entries); n > 0 {
		m.syncEntries.Update(float64(n))
	}
	return nil
}

// publishStatus makes the state of the protocol known to the rest of the process.
func (m *member) publishStatus() {
	// A sync can take long; without these ticks a lease that ran out meanwhile would look held.
	m.deliverTicks()
	s := m.protocol.Status()
	old := m.status.Load()
	m.status.Store(&s)
	if !s.Membership.Equal(old.Membership) {
		m.transport.SetMembers(s.Membership)
	}
	if s.Role != old.Role || s.Term != old.Term || s.Leader != old.Leader || !s.Membership.Equal(old.Membership) {
		m.onChange(s)
	}
	index, held := m.protocol.ReadIndex()
	m.leadership.update(s.Term, index, held)
}

// runOnLoop runs f on the loop.
func (m *member) runOnLoop(ctx context.Context, f func(q *quorum.Node)) error {
	ran := make(chan struct{})
	select {
	case m.calls <- func() { f(m.protocol); close(ran) }:
	case <-ctx.Done():
		return fmt.Errorf("wait for protocol: %w", ctx.Err())
	case <-m.done:
		return errStopped
	}
	// The loop runs what it has taken at once.
	<-ran
	return nil
}

// readIndex returns the commit index while this instance holds the leader lease.
func (m *member) readIndex(ctx context.Context) (index, term uint64, ok bool) {
	if m.status.Load().Role != quorum.RoleLeader {
		return 0, 0, false
	}
	err := m.runOnLoop(ctx, func(q *quorum.Node) {
		index, ok = q.ReadIndex()
		term = q.Status().Term
	})
	return index, term, ok && err == nil
}

// submit puts a proposal into the log and waits until it is applied.
func (m *member) submit(ctx context.Context, p *proposal) outcome {
	p.done = make(chan outcome, 1)
	select {
	case m.proposals <- p:
	default:
		return outcome{err: model.NotRun(model.CodeOverloaded, "%d commands wait already", maxQueuedProposals)}
	}
	select {
	case out := <-p.done:
		return out
	case <-ctx.Done():
		if p.settled.CompareAndSwap(false, true) {
			return outcome{err: model.NotRun(model.CodeDeadline, "command was not proposed in time")}
		}
		return outcome{err: model.Unknown(model.CodeDeadline, "command was proposed and not answered in time")}
	case <-m.done:
		if p.settled.CompareAndSwap(false, true) {
			return outcome{err: notLeaderError()}
		}
		return unknownOutcome("instance is stopping")
	}
}

// saveSnapshot persists a snapshot and then drops the log before keepFrom.
func (m *member) saveSnapshot(s quorum.Snapshot, keepFrom uint64) error {
	if err := m.storage.SaveSnapshot(s); err != nil {
		return fmt.Errorf("save snapshot: %w", err)
	}
	var err error
	callErr := m.runOnLoop(context.Background(), func(q *quorum.Node) {
		if q.Status().Applied < s.Index || q.Status().First > s.Index+1 {
			return // a later snapshot was installed meanwhile
		}
		err = q.Compact(s, int(s.Index-keepFrom))
	})
	if err := errors.Join(callErr, err); err != nil {
		return fmt.Errorf("compact log: %w", err)
	}
	if err := m.storage.Compact(keepFrom); err != nil {
		return fmt.Errorf("remove old segments: %w", err)
	}
	return nil
}

func (m *member) close() {
	close(m.stop)
	<-m.done
}
