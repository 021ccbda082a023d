package ctrl

import (
	"context"
	"net"
	"os"
	"time"

	"turmericroute/model"
	"turmericroute/quorum"
	"turmericroute/state"
)

// Exported names of internal functions for the tests.
var (
	NextMembership     = nextMembership
	NextOpenMembership = nextOpenMembership
	Stamp              = stamp
)

// Voters returns the voters in the membership that an instance knows.
func Voters(n *Node) []quorum.Member { return n.member.Load().status.Load().Membership.Voters }

// StallLoop holds up the protocol loop of an instance.
func StallLoop(n *Node, d time.Duration) error {
	return n.member.Load().runOnLoop(context.Background(), func(*quorum.Node) { time.Sleep(d) })
}

// WithSync replaces (*os.File).Sync.
func (cfg Config) WithSync(sync func(*os.File) error) Config {
	cfg.sync = sync
	return cfg
}

// WithWrite replaces (*os.File).Write.
func (cfg Config) WithWrite(write func(*os.File, []byte) (int, error)) Config {
	cfg.write = write
	return cfg
}

// WithDial replaces the DialContext of net.Dialer.
func (cfg Config) WithDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) Config {
	cfg.DialContext = dial
	return cfg
}

// Applier exposes an applier without a protocol loop or a disk.
type Applier struct{ a *applier }

// NewApplier returns an Applier with an empty state.
func NewApplier() Applier { return Applier{newApplier(Config{}.withDefaults(), state.New())} }

// AddWaiter registers a proposal and returns the channel of its outcome.
func (t Applier) AddWaiter(index, term uint64) chan outcome {
	done := make(chan outcome, 1)
	t.a.addWaiter(index, waiter{term: term, done: done})
	return done
}

// Commit applies committed entries.
func (t Applier) Commit(entries ...quorum.Entry) { t.a.process(applyItem{entries: entries}) }

// InstallSnapshot replaces the state with an empty snapshot at an index.
func (t Applier) InstallSnapshot(index uint64) error {
	m := state.New()
	m.Apply(index, nil)
	data, err := m.EncodeSnapshot()
	if err != nil {
		return err
	}
	if data, err = packSnapshot(data); err != nil {
		return err
	}
	t.a.process(applyItem{snapshot: &quorum.Snapshot{Index: index, Data: data}})
	return nil
}

// Applied returns the index of the last applied entry.
func (t Applier) Applied() uint64 { return t.a.machine.Applied() }

// InstallBrokenSnapshot installs a snapshot that cannot be restored, and reports whether the applier has failed.
func (t Applier) InstallBrokenSnapshot(index uint64) (failed bool) {
	t.a.onFailure = func() { failed = true }
	t.a.process(applyItem{snapshot: &quorum.Snapshot{Index: index, Data: []byte("broken")}})
	return failed
}

// Answer returns the result or error of a proposal, and false if it has none yet.
func Answer(done chan outcome) (state.Result, *model.Error, bool) {
	select {
	case out := <-done:
		return out.result, out.err, true
	default:
		return state.Result{}, nil, false
	}
}

// SetLeaderName sets the leader that the instance believes in.
func (n *Node) SetLeaderName(name string) { n.setLeaderName(name) }

// RoleChanged reports a change of the leader, whose ID is its name, to the instance; empty means none.
func (n *Node) RoleChanged(leader string) { n.roleChanged(quorum.Status{Leader: leader}) }

// AgeLeader moves the time at which a leader was last known into the past.
func (n *Node) AgeLeader(d time.Duration) { n.leaderSeenAt.Add(-int64(d)) }

// AddLearner adds a learner on the leader.
func (n *Node) AddLearner(ctx context.Context, m quorum.Member) error {
	_, err := n.addLearner(ctx, m)
	return errorOrNil(err)
}

// Leadership exposes the sessions of a leader without a protocol loop, in term 1.
type Leadership struct{ l *leadership }

// NewLeadership returns a Leadership without a session.
func NewLeadership() Leadership {
	return Leadership{&leadership{run: func(context.Context, uint64) {}}}
}

// Update tells it whether the lease is held.
func (l Leadership) Update(held bool) { l.l.update(1, 1, true, held) }

// End ends the session.
func (l Leadership) End() { l.l.update(1, 1, false, false) }

// Suspended returns a channel that is closed at the end of the suspension, nil if there is none.
func (l Leadership) Suspended() <-chan struct{} { return l.l.suspended(1) }
