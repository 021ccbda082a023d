package ctrl

import (
	"os"

	"turmericroute/model"
	"turmericroute/quorum"
	"turmericroute/state"
)

// Names for the tests of what is not exported.
var (
	NextMembership     = nextMembership
	NextOpenMembership = nextOpenMembership
	Stamp              = stamp
)

// Voters returns the voters that an instance knows.
func Voters(n *Node) []quorum.Member { return n.member.Load().status.Load().Membership.Voters }

// WithSync replaces the sync of files.
func (cfg Config) WithSync(sync func(*os.File) error) Config {
	cfg.sync = sync
	return cfg
}

// Applier applies entries without a log.
type Applier struct{ a *applier }

// NewApplier returns an applier of an empty state.
func NewApplier() Applier { return Applier{newApplier(Config{}.withDefaults(), state.New())} }

// AddWaiter registers a proposer.
func (t Applier) AddWaiter(index, term uint64) chan outcome {
	done := make(chan outcome, 1)
	t.a.addWaiter(index, waiter{term: term, done: done})
	return done
}

// Commit applies entries.
func (t Applier) Commit(entries ...quorum.Entry) { t.a.process(applyItem{entries: entries}) }

// InstallSnapshot replaces the state by the snapshot of an empty one.
func (t Applier) InstallSnapshot(index uint64) error {
	m := state.New()
	m.Apply(index, nil)
	data, err := m.Snapshot()
	if err != nil {
		return err
	}
	if data, err = packSnapshot(data); err != nil {
		return err
	}
	t.a.process(applyItem{snapshot: &quorum.Snapshot{Index: index, Data: data}})
	return nil
}

// Answer returns the result or error that a proposer got, and false when it got none.
func Answer(done chan outcome) (state.Result, *model.Error, bool) {
	select {
	case out := <-done:
		return out.result, out.err, true
	default:
		return state.Result{}, nil, false
	}
}
