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

// outcome answers a proposer.
type outcome struct {
	result state.Result
	err    *model.Error
}

type waiter struct {
	term uint64
	// command is what the entry decodes to, nil when the entry must be decoded.
	command state.Command
	done    chan outcome
}

// applyItem is a run of committed entries, or a snapshot that replaces the state.
type applyItem struct {
	entries  []quorum.Entry
	snapshot *quorum.Snapshot
}

// applier applies committed entries in order on a goroutine of its own, answers
// the proposers, keeps the latest entries for Watch and takes snapshots.
type applier struct {
	machine *state.Machine
	logger  log.Logger
	// snapshotEntries and snapshotBytes say how much is applied between snapshots, see Config.
	snapshotEntries, snapshotBytes int
	// persistSnapshot saves a snapshot; nil where there is no disk.
	persistSnapshot func(quorum.Snapshot, uint64) error

	applySeconds, snapshotSeconds *metrics.Summary
	snapshotSize                  *metrics.Gauge

	mu                   sync.Mutex
	cond                 *sync.Cond
	queue                []applyItem
	stopped              bool
	waiters              map[uint64][]waiter // by index; several when the index was given out again in another term
	snapshot             *quorum.Snapshot    // the last one, nil before
	recent               []quorum.Entry      // applied entries, contiguous up to the last one
	members              quorum.Membership
	entriesSinceSnapshot int // entries and bytes applied since the last snapshot
	bytesSinceSnapshot   int
	savingSnapshot       bool
	wg                   sync.WaitGroup
}

func newApplier(cfg Config, m *state.Machine) *applier {
	a := &applier{
		machine: m, logger: cfg.Logger, waiters: map[uint64][]waiter{},
		snapshotEntries: cfg.SnapshotEntries, snapshotBytes: cfg.SnapshotBytes,
		applySeconds:    cfg.Metrics.NewSummary(`turmericroute_ctrl_apply_seconds`),
		snapshotSeconds: cfg.Metrics.NewSummary(`turmericroute_ctrl_snapshot_seconds`),
		snapshotSize:    cfg.Metrics.NewGauge(`turmericroute_ctrl_snapshot_bytes`, nil),
	}
	a.cond = sync.NewCond(&a.mu)
	return a
}

// setBase sets the membership and snapshot that the entries to come follow.
func (a *applier) setBase(m quorum.Membership, s *quorum.Snapshot) error {
	a.mu.Lock()
	a.members = m
	a.mu.Unlock()
	if s == nil {
		return nil
	}
	return a.restore(*s)
}

func (a *applier) enqueue(w applyItem) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.queue = append(a.queue, w)
	a.cond.Signal()
}

// addWaiter registers a proposer before its entry can be committed.
func (a *applier) addWaiter(index uint64, w waiter) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.waiters[index] = append(a.waiters[index], w)
}

func unknownOutcome(why string) outcome {
	return outcome{err: model.Unknown(model.CodeUnavailable, "command may or may not be committed: %s", why)}
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
		w := a.queue[0]
		a.queue = a.queue[1:]
		a.mu.Unlock()
		a.process(w)
	}
}

// stop ends run and leaves the remaining proposers without an answer they could rely on.
func (a *applier) stop() {
	a.mu.Lock()
	a.stopped = true
	a.cond.Signal()
	a.mu.Unlock()
	a.wg.Wait()
	a.failWaiters(^uint64(0), "instance is stopping")
}

func (a *applier) failWaiters(upTo uint64, why string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for index, list := range a.waiters {
		if index > upTo {
			continue
		}
		for _, w := range list {
			w.done <- unknownOutcome(why)
		}
		delete(a.waiters, index)
	}
}

func (a *applier) process(w applyItem) {
	if w.snapshot != nil {
		if err := a.restore(*w.snapshot); err != nil {
			a.logger.Log("event", "restore_failed", "index", w.snapshot.Index, "err", err)
		}
		a.failWaiters(w.snapshot.Index, "log was replaced by a snapshot")
	}
	for _, e := range w.entries {
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
		return err //nolint:wrapcheck // says what it is.
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

// localCommand returns the command that was localCommand here for an entry, already decoded.
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

// notifyWaiters tells the proposers at the entry's index how their commands ended.
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
		w.done <- outcome{err: model.NotRun(model.CodeNoLeader, "leadership was lost and another command took the place in the log")}
	}
}

// maybeSnapshot takes a snapshot when enough was applied since the last one, and saves it in the background.
func (a *applier) maybeSnapshot() {
	a.mu.Lock()
	if !a.snapshotDue() {
		a.mu.Unlock()
		return
	}
	last := a.recent[len(a.recent)-1]
	keepFrom := last.Index - uint64(a.entriesSinceSnapshot/retainedLogDivisor)
	s := quorum.Snapshot{Index: last.Index, Term: last.Term, Membership: a.members}
	a.savingSnapshot, a.entriesSinceSnapshot, a.bytesSinceSnapshot = true, 0, 0
	a.mu.Unlock()

	start := time.Now()
	// Encoding a large state takes too long to apply nothing meanwhile.
	image := a.machine.Image()
	a.wg.Go(func() {
		data, err := image.Encode()
		if err == nil {
			s.Data, err = packSnapshot(data)
		}
		if err == nil {
			err = a.persistSnapshot(s, keepFrom)
		}
		if err != nil {
			a.logger.Log("event", "snapshot_failed", "index", s.Index, "err", err)
			a.finishSnapshot(nil, 0)
			return
		}
		a.finishSnapshot(&s, keepFrom)
		a.snapshotSeconds.UpdateDuration(start)
		a.snapshotSize.Set(float64(len(s.Data)))
		a.logger.Log("event", "snapshot_saved", "index", s.Index, "bytes", len(s.Data), "seconds", time.Since(start).Seconds())
	})
}

// snapshotDue reports whether it is time for a snapshot.
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

// finishSnapshot replaces the last snapshot and forgets the entries up to keepFrom.
func (a *applier) finishSnapshot(s *quorum.Snapshot, keepFrom uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.savingSnapshot = false
	if s == nil || a.snapshot != nil && a.snapshot.Index >= s.Index {
		return
	}
	a.snapshot = s
	if len(a.recent) > 0 && a.recent[0].Index <= keepFrom {
		a.recent = append([]quorum.Entry(nil), a.recent[keepFrom-a.recent[0].Index+1:]...)
	}
}

// entriesFrom returns applied entries from an index on, bounded in bytes, or the last
// snapshot when these are no longer kept.
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
