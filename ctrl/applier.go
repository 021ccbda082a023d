package ctrl

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"

	"turmericroute/model"
	"turmericroute/quorum"
	"turmericroute/state"
)

// outcome is the result of a proposal.
type outcome struct {
	result state.Result
	err    *model.Error
}

// waiter is a local proposal whose entry is not yet applied.
type waiter struct {
	term uint64
	// command is the decoded entry; nil means that the entry must be decoded.
	command state.Command
	done    chan outcome
}

// applyItem is a sequence of committed entries, or a snapshot that replaces the state.
type applyItem struct {
	entries  []quorum.Entry
	snapshot *quorum.Snapshot
}

// applier applies committed entries in order on its own goroutine, completes
// proposals, retains the latest entries for Watch and takes snapshots.
type applier struct {
	machine *state.Machine
	logger  log.Logger
	// snapshotEntries and snapshotBytes bound how much is applied between snapshots, see Config.
	snapshotEntries, snapshotBytes int
	// persistSnapshot saves a snapshot and compacts the log up to an index; nil without a disk.
	persistSnapshot func(quorum.Snapshot, uint64) error

	// onFailure is called when the state can no longer be kept; failed is set from then on.
	onFailure func()
	failed    bool

	applySeconds, snapshotSeconds *metrics.Summary
	snapshotSize                  *metrics.Gauge

	mu                   sync.Mutex
	cond                 *sync.Cond
	queue                []applyItem
	stopped              bool
	waiters              map[uint64][]waiter // by index; several if the index was assigned again in another term
	snapshot             *quorum.Snapshot    // the latest one, nil if none was taken
	recent               []quorum.Entry      // applied entries, contiguous up to the latest
	members              quorum.Membership
	entriesSinceSnapshot int
	bytesSinceSnapshot   int
	savingSnapshot       bool
	wg                   sync.WaitGroup
}

func newApplier(cfg Config, m *state.Machine) *applier {
	a := &applier{
		machine: m, logger: cfg.Logger, waiters: map[uint64][]waiter{}, onFailure: func() {},
		snapshotEntries: cfg.SnapshotEntries, snapshotBytes: cfg.SnapshotBytes,
		applySeconds:    cfg.Metrics.NewSummary(`turmericroute_ctrl_apply_seconds`),
		snapshotSeconds: cfg.Metrics.NewSummary(`turmericroute_ctrl_snapshot_seconds`),
		snapshotSize:    cfg.Metrics.NewGauge(`turmericroute_ctrl_snapshot_bytes`, nil),
	}
	a.cond = sync.NewCond(&a.mu)
	return a
}

// setBase sets the membership and the snapshot, nil if there is none, that
// the first entry follows.
func (a *applier) setBase(m quorum.Membership, s *quorum.Snapshot) error {
	a.mu.Lock()
	a.members = m
	a.mu.Unlock()
	if s == nil {
		return nil
	}
	return a.restore(*s)
}

func (a *applier) enqueue(item applyItem) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.queue = append(a.queue, item)
	a.cond.Signal()
}

// addWaiter registers a proposal; it must be called before its entry can be committed.
func (a *applier) addWaiter(index uint64, w waiter) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.waiters[index] = append(a.waiters[index], w)
}

// unknownOutcome returns the outcome of a command that may still be committed.
func unknownOutcome(reason string) outcome {
	return outcome{err: model.Unknown(model.CodeUnavailable, "command may or may not have been committed: %s", reason)}
}

func (a *applier) run() {
	for {
		a.mu.Lock()
		for len(a.queue) == 0 && !a.stopped {
			a.cond.Wait()
		}
		if a.stopped {
			a.mu.Unlock()
			return
		}
		item := a.queue[0]
		a.queue = a.queue[1:]
		a.mu.Unlock()
		a.process(item)
	}
}

// stop stops run and fails the remaining proposals with outcome unknown.
func (a *applier) stop() {
	a.mu.Lock()
	a.stopped = true
	a.cond.Signal()
	a.mu.Unlock()
	a.wg.Wait()
	a.failWaiters(^uint64(0), "instance is stopping")
}

// failWaiters fails the proposals up to an index with outcome unknown.
func (a *applier) failWaiters(upTo uint64, reason string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for index, list := range a.waiters {
		if index > upTo {
			continue
		}
		for _, w := range list {
			w.done <- unknownOutcome(reason)
		}
		delete(a.waiters, index)
	}
}

func (a *applier) process(item applyItem) {
	if a.failed {
		return
	}
	if item.snapshot != nil {
		if err := a.restore(*item.snapshot); err != nil {
			// The state lacks what the snapshot holds, so nothing may be applied to it any more.
			a.logger.Log("event", "restore_failed", "index", item.snapshot.Index, "err", err)
			a.failed = true
			a.failWaiters(^uint64(0), "snapshot could not be restored")
			a.onFailure()
			return
		}
		a.failWaiters(item.snapshot.Index, "log was replaced by a snapshot")
	}
	for _, e := range item.entries {
		a.apply(e)
	}
	a.maybeSnapshot()
}

func (a *applier) restore(s quorum.Snapshot) error {
	data, err := UnpackSnapshot(s.Data)
	if err != nil {
		return err
	}
	if err := a.machine.Restore(data); err != nil {
		return err //nolint:wrapcheck // names the cause.
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.snapshot, a.recent, a.members = &s, nil, s.Membership
	a.entriesSinceSnapshot, a.bytesSinceSnapshot = 0, 0
	a.snapshotSize.Set(float64(len(s.Data)))
	return nil
}

func (a *applier) apply(e quorum.Entry) {
	start := time.Now()
	var cmd state.Command
	var decodeErr error
	var members *quorum.Membership
	switch e.Kind {
	case quorum.EntryCommand:
		if cmd = a.localCommand(e); cmd == nil {
			cmd, decodeErr = state.Decode(e.Data)
		}
	case quorum.EntryMembership:
		members = &quorum.Membership{}
		decodeErr = json.Unmarshal(e.Data, members)
	}
	a.mu.Lock()
	a.recent = append(a.recent, e)
	a.entriesSinceSnapshot++
	a.bytesSinceSnapshot += len(e.Data)
	if members != nil && decodeErr == nil {
		a.members = *members
	}
	a.mu.Unlock()
	if decodeErr != nil {
		a.logger.Log("event", "entry_undecodable", "index", e.Index, "err", decodeErr)
		cmd = nil
	}
	res := a.machine.Apply(e.Index, cmd)
	if decodeErr != nil {
		res.Failure = model.NotRun(model.CodeInternal, "entry %d cannot be decoded: %v", e.Index, decodeErr)
	}
	a.applySeconds.UpdateDuration(start)
	a.notifyWaiters(e, res)
}

// localCommand returns the decoded command of an entry that was proposed by this
// instance, nil for other entries.
func (a *applier) localCommand(e quorum.Entry) state.Command {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, w := range a.waiters[e.Index] {
		if w.term == e.Term {
			return w.command
		}
	}
	return nil
}

// notifyWaiters completes the proposals at the entry's index: the one of the same
// term with res, those of other terms with outcome not_run.
func (a *applier) notifyWaiters(e quorum.Entry, res state.Result) {
	a.mu.Lock()
	list := a.waiters[e.Index]
	delete(a.waiters, e.Index)
	a.mu.Unlock()
	for _, w := range list {
		if w.term == e.Term {
			w.done <- outcome{result: res}
			continue
		}
		w.done <- outcome{err: model.NotRun(model.CodeNoLeader, "leadership was lost and another entry was committed at the command's index")}
	}
}

// maybeSnapshot takes a snapshot if one is due, and encodes and saves it in the background.
func (a *applier) maybeSnapshot() {
	a.mu.Lock()
	if !a.snapshotDue() {
		a.mu.Unlock()
		return
	}
	last := a.recent[len(a.recent)-1]
	compactTo := last.Index - uint64(a.entriesSinceSnapshot/retainedLogDivisor)
	s := quorum.Snapshot{Index: last.Index, Term: last.Term, Membership: a.members}
	entries, bytes := a.entriesSinceSnapshot, a.bytesSinceSnapshot
	a.savingSnapshot, a.entriesSinceSnapshot, a.bytesSinceSnapshot = true, 0, 0
	a.mu.Unlock()

	start := time.Now()
	// A large state takes long to encode, so it is copied here and encoded while entries are applied.
	stateSnapshot := a.machine.Snapshot()
	a.wg.Go(func() {
		data, err := stateSnapshot.Encode()
		if err == nil {
			s.Data, err = packSnapshot(data)
		}
		if err == nil {
			err = a.persistSnapshot(s, compactTo)
		}
		if err != nil {
			a.logger.Log("event", "snapshot_failed", "index", s.Index, "err", err)
			a.abandonSnapshot(entries, bytes)
			return
		}
		a.finishSnapshot(&s, compactTo)
		a.snapshotSeconds.UpdateDuration(start)
		a.snapshotSize.Set(float64(len(s.Data)))
		a.logger.Log("event", "snapshot_saved", "index", s.Index, "bytes", len(s.Data), "seconds", time.Since(start).Seconds())
	})
}

// snapshotDue reports whether enough was applied since the last snapshot to take
// another one; the caller holds a.mu.
func (a *applier) snapshotDue() bool {
	if a.persistSnapshot == nil || a.savingSnapshot || len(a.recent) == 0 {
		return false
	}
	bytes := a.snapshotBytes
	if a.snapshot != nil {
		bytes = max(bytes, snapshotSizeFactor*len(a.snapshot.Data))
	}
	return a.entriesSinceSnapshot >= a.snapshotEntries || a.bytesSinceSnapshot >= bytes
}

// abandonSnapshot ends the saving of a snapshot that failed. The next one is due
// after snapshotRetryEntries, or the log would grow on a disk that is short of space.
func (a *applier) abandonSnapshot(entries, bytes int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.savingSnapshot = false
	a.entriesSinceSnapshot += max(0, entries-snapshotRetryEntries)
	a.bytesSinceSnapshot += max(0, bytes*(entries-snapshotRetryEntries)/max(1, entries))
}

// finishSnapshot ends the saving of a snapshot. It makes s the latest snapshot and
// drops the recent entries up to and including compactTo.
func (a *applier) finishSnapshot(s *quorum.Snapshot, compactTo uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.savingSnapshot = false
	if a.snapshot != nil && a.snapshot.Index >= s.Index {
		return
	}
	a.snapshot = s
	if len(a.recent) > 0 && a.recent[0].Index <= compactTo {
		a.recent = append([]quorum.Entry(nil), a.recent[compactTo-a.recent[0].Index+1:]...)
	}
}

// entriesFrom returns the applied entries from an index on, up to maxBytes but at
// least one if there is any. If the entry at the index is no longer retained, it
// returns the latest snapshot instead.
func (a *applier) entriesFrom(from uint64, maxBytes int) ([]quorum.Entry, *quorum.Snapshot) {
	a.mu.Lock()
	defer a.mu.Unlock()
	first := uint64(1)
	if a.snapshot != nil {
		first = a.snapshot.Index + 1
	}
	if len(a.recent) > 0 {
		first = a.recent[0].Index
	}
	if from < first {
		return nil, a.snapshot
	}
	if from-first >= uint64(len(a.recent)) {
		return nil, nil
	}
	list := a.recent[from-first:]
	n, bytes := 0, 0
	for n < len(list) && (n == 0 || bytes+len(list[n].Data) <= maxBytes) {
		bytes += len(list[n].Data)
		n++
	}
	return append([]quorum.Entry(nil), list[:n]...), nil
}

func (a *applier) membership() quorum.Membership {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.members
}
