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

var (
	errStopped  = errors.New("instance is stopping")
	errDiskFull = errors.New("disk is full")
	// errOutdated refuses a change of a membership that is no longer in force.
	errOutdated = errors.New("the membership has changed meanwhile")
)

// proposal is a command or a membership to be appended to the log.
type proposal struct {
	data []byte
	// command is the decoded form of data.
	command    state.Command
	membership *membershipChange
	// term is the term in which the command was admitted; in any other term it is refused.
	term uint64
	// settled is set once, by the loop when it takes the proposal or by the proposer when it gives up.
	settled atomic.Bool
	done    chan outcome
}

// membershipChange replaces a membership while it is in force.
type membershipChange struct {
	from, to quorum.Membership
}

// member runs the consensus protocol on one goroutine.
type member struct {
	cfg        Config
	id         string
	logger     log.Logger
	protocol   *quorum.Node
	storage    Storage
	transport  Transport
	applier    *applier
	leadership *leadership
	onChange   func(quorum.Status) // called on the loop when role, term, leader or membership change

	inbox     chan quorum.Message
	proposals chan *proposal
	calls     chan func()
	stop      chan struct{}
	done      chan struct{}
	err       error // why the loop stopped; valid once done is closed

	status atomic.Pointer[quorum.Status]
	// full is set while the loop waits for space on the disk.
	full atomic.Bool
	// lastTick is a boot clock time, so that a suspension of the machine counts towards the ticks due.
	lastTick time.Duration

	syncSeconds *metrics.Summary
	syncEntries *metrics.Summary
	dropped     *metrics.Counter
	// tickDelay is how late ticks are delivered, turnSeconds how long a turn of the loop takes.
	tickDelay   *metrics.Summary
	turnSeconds *metrics.Summary
	// saving is the write in progress, nil for none.
	saving *saving
	// syncTime is how long the loop has waited for writes in total.
	syncTime time.Duration
	// slowTurnLoggedAt is the boot clock time at which a slow turn was last logged.
	slowTurnLoggedAt time.Duration
	// slowSyncLoggedAt is the same for slow writes.
	slowSyncLoggedAt time.Duration
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
		tickDelay:   cfg.Metrics.NewSummary(`turmericroute_ctrl_tick_delay_seconds`),
		turnSeconds: cfg.Metrics.NewSummary(`turmericroute_ctrl_turn_seconds`),
	}
	s := q.Status()
	m.status.Store(&s)
	tr.SetMembers(s.Membership)
	return m, nil
}

// receive queues a received message for the loop and drops it if the queue is full.
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
	defer m.awaitSave() // the files are closed afterwards
	m.lastTick = clock.SinceBoot()
	for {
		work := m.nextWork(ticker.C)
		if work == nil {
			m.err = errStopped
			return
		}
		began, syncs := clock.SinceBoot(), m.syncTime
		m.awaitLongSave()
		work()
		m.drainQueues()
		if err := m.processReady(); err != nil {
			m.err = err
			m.logger.Log("event", "member_failed", "id", m.id, "err", err)
			return
		}
		m.publishStatus()
		m.recordTurn(began, m.syncTime-syncs)
	}
}

// nextWork waits for a tick, a message, a proposal, a call or the end of a write
// and returns its handler, nil when the loop is to stop. Proposals wait for the
// write in progress, so that they share the next one.
func (m *member) nextWork(ticks <-chan time.Time) func() {
	proposals, saved := m.proposals, chan struct{}(nil)
	if m.saving != nil {
		proposals, saved = nil, m.saving.done
	}
	select {
	case <-m.stop:
		return nil
	case <-ticks:
		return m.deliverTicks
	case msg := <-m.inbox:
		return func() { m.handle(msg) }
	case <-saved:
		return m.deliverTicks
	case p := <-proposals:
		return func() {
			m.deliverTicks()
			m.propose(p, m.protocol.Status().Term)
		}
	case f := <-m.calls:
		return func() {
			m.deliverTicks()
			f()
		}
	}
}

// recordTurn records how long a turn of the loop took and for how much of it the loop waited for writes.
func (m *member) recordTurn(began, syncs time.Duration) {
	now := clock.SinceBoot()
	took := now - began
	m.turnSeconds.Update(took.Seconds())
	if took > slowTurn && now-m.slowTurnLoggedAt > slowTurnLogInterval {
		m.slowTurnLoggedAt = now
		m.logger.Log("event", "turn_slow", "role", m.status.Load().Role, "ms", took.Milliseconds(), "sync_ms", syncs.Milliseconds(), "messages", len(m.inbox), "proposals", len(m.proposals))
	}
}

// deliverTicks delivers all ticks that are due: the loop may be held up for longer
// than a tick, and the leader lease is counted in ticks.
func (m *member) deliverTicks() {
	const maxTicks = 64 // several election timeouts; further ticks have no effect
	late := clock.SinceBoot() - m.lastTick
	due := int(late / tick)
	if due > 0 {
		m.tickDelay.Update((late - tick).Seconds())
	}
	m.protocol.Tick(min(due, maxTicks))
	m.lastTick += time.Duration(due) * tick
}

// handle steps a message after delivering all ticks that are due: the lease that
// a reply grants to a leader counts from the tick at which the message was handled.
func (m *member) handle(msg quorum.Message) {
	m.deliverTicks()
	if err := m.protocol.Step(msg); err != nil {
		m.logger.Log("event", "message_refused", "from", msg.From, "kind", msg.Kind, "err", err)
	}
}

// drainQueues handles the waiting messages and calls, and the proposals unless a
// write is in progress, so that they share the next one.
func (m *member) drainQueues() {
	m.drainCalls()
	for n := len(m.inbox); n > 0; n-- {
		m.handle(<-m.inbox)
	}
	n := len(m.proposals)
	if n == 0 || m.saving.inProgress() {
		return
	}
	for currentTerm := m.protocol.Status().Term; n > 0; n-- {
		m.propose(<-m.proposals, currentTerm)
	}
}

// drainCalls runs calls whose callers are waiting. Further callers may come as fast as the loop serves them, while it
// reads no message, so that the leader would lose its lease: the rest waits for the next turn.
func (m *member) drainCalls() {
	for range maxCallsPerTurn {
		select {
		case f := <-m.calls:
			m.deliverTicks()
			f()
		default:
			return
		}
	}
}

// propose appends a proposal, or refuses it if it was admitted in another term
// than the current one.
func (m *member) propose(p *proposal, currentTerm uint64) {
	if !p.settled.CompareAndSwap(false, true) {
		return
	}
	if p.term != currentTerm {
		p.done <- outcome{err: notLeaderError()}
		return
	}
	var index, term uint64
	var err error
	switch c := p.membership; {
	case c == nil:
		index, term, err = m.protocol.Propose(p.data)
	case !m.protocol.Status().Membership.Equal(c.from):
		err = errOutdated
	default:
		index, term, err = m.protocol.ProposeMembership(c.to)
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
	return model.NotRun(model.CodeNoLeader, "this instance is not the leader")
}

// publishStatus publishes the protocol's status to the rest of the process.
func (m *member) publishStatus() {
	// A turn can take long; without these ticks a lease that expired meanwhile would appear to be held.
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
	m.leadership.update(s.Term, index, s.Role == quorum.RoleLeader, held)
}

// runOnLoop runs f on the protocol loop and waits for it.
func (m *member) runOnLoop(ctx context.Context, f func(q *quorum.Node)) error {
	if m.full.Load() {
		return errDiskFull
	}
	ran := make(chan struct{})
	select {
	case m.calls <- func() { f(m.protocol); close(ran) }:
	case <-ctx.Done():
		return fmt.Errorf("wait for protocol loop: %w", ctx.Err())
	case <-m.done:
		return errStopped
	}
	// The loop runs f as soon as it has received it.
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

// submit proposes p and waits until its entry is applied.
func (m *member) submit(ctx context.Context, p *proposal) outcome {
	if m.full.Load() {
		return outcome{err: notLeaderError()}
	}
	p.done = make(chan outcome, 1)
	select {
	case m.proposals <- p:
	default:
		return outcome{err: model.NotRun(model.CodeOverloaded, "proposal queue is full: %d commands are waiting", maxQueuedProposals)}
	}
	select {
	case out := <-p.done:
		return out
	case <-ctx.Done():
		if p.settled.CompareAndSwap(false, true) {
			return outcome{err: model.NotRun(model.CodeDeadline, "command was not proposed in time")}
		}
		return outcome{err: model.Unknown(model.CodeDeadline, "command was proposed but not applied in time")}
	case <-m.done:
		if p.settled.CompareAndSwap(false, true) {
			return outcome{err: notLeaderError()}
		}
		return unknownOutcome("instance is stopping")
	}
}

// saveSnapshot persists a snapshot and then compacts the log up to and including compactTo.
func (m *member) saveSnapshot(s quorum.Snapshot, compactTo uint64) error {
	if err := m.storage.SaveSnapshot(s); err != nil {
		return fmt.Errorf("save snapshot: %w", err)
	}
	var err error
	callErr := m.runOnLoop(context.Background(), func(q *quorum.Node) {
		if q.Status().First > s.Index+1 {
			return // a later snapshot has been installed
		}
		err = q.Compact(s, int(s.Index-compactTo))
	})
	if err := errors.Join(callErr, err); err != nil {
		return fmt.Errorf("compact log: %w", err)
	}
	if err := m.storage.Compact(compactTo); err != nil {
		return fmt.Errorf("remove old segments: %w", err)
	}
	return nil
}

func (m *member) close() {
	close(m.stop)
	<-m.done
}
