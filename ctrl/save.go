package ctrl

import (
	"errors"
	"fmt"
	"time"

	"turmericroute/clock"
	"turmericroute/quorum"
	"turmericroute/store"
)

// saving is a write that runs beside the protocol loop, which answers heartbeats meanwhile.
type saving struct {
	ready     quorum.Ready
	unsaved   []quorum.Entry // the committed entries that are saved with ready
	write     func() error
	startedAt time.Duration // boot clock time
	// done is closed when the first attempt has ended; err and took are then set.
	done chan struct{}
	err  error
	took time.Duration
}

// inProgress reports whether the first attempt has not ended.
func (s *saving) inProgress() bool {
	if s == nil {
		return false
	}
	select {
	case <-s.done:
		return false
	default:
		return true
	}
}

// processReady sends, persists and applies what the protocol has ready. While a
// write is in progress it sends only what depends on no write.
func (m *member) processReady() error {
	for {
		if m.saving.inProgress() {
			for _, msg := range m.protocol.Immediate() {
				m.transport.Send(msg)
			}
			return nil
		}
		if m.saving != nil {
			if err := m.finishSave(); err != nil {
				return err
			}
		}
		r, ok := m.protocol.Ready()
		if !ok {
			return nil
		}
		m.send(r.Messages, beforeSync)
		persisted, unsaved := splitCommitted(r)
		m.apply(persisted)
		if r.HardState == nil && r.Snapshot == nil && len(r.Entries) == 0 {
			m.finishReady(r, unsaved)
			continue
		}
		m.startSave(r, unsaved)
	}
}

// finishReady sends and applies what depended on r being saved.
func (m *member) finishReady(r quorum.Ready, unsaved []quorum.Entry) {
	if r.Snapshot != nil {
		m.applier.enqueue(applyItem{snapshot: r.Snapshot})
	}
	m.send(r.Messages, afterSync)
	m.apply(unsaved)
	m.protocol.Advance(r)
}

// splitCommitted splits the committed entries into those that are already on
// this disk and those that are saved with r.
func splitCommitted(r quorum.Ready) (persisted, unsaved []quorum.Entry) {
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

// apply queues committed entries for the applier.
func (m *member) apply(committed []quorum.Entry) {
	if len(committed) > 0 {
		m.applier.enqueue(applyItem{entries: committed})
	}
}

// Messages that don't depend on this disk are sent before its sync, so that others
// sync concurrently. All others are sent after it.
const (
	beforeSync = true
	afterSync  = false
)

func (m *member) send(messages []quorum.Message, before bool) {
	for _, msg := range messages {
		if quorum.SentBeforeSync(msg) == before {
			m.transport.Send(msg)
		}
	}
}

// startSave starts to write r beside the loop.
func (m *member) startSave(r quorum.Ready, unsaved []quorum.Entry) {
	s := &saving{ready: r, unsaved: unsaved, write: m.writer(r), startedAt: clock.SinceBoot(), done: make(chan struct{})}
	m.saving = s
	go func() {
		defer close(s.done)
		s.err = s.write()
		s.took = clock.SinceBoot() - s.startedAt
	}()
}

// writer returns a function that writes r and can be repeated after an error.
func (m *member) writer(r quorum.Ready) func() error {
	snapshot := r.Snapshot
	return func() error {
		if snapshot != nil {
			if err := m.storage.SaveSnapshot(*snapshot); err != nil {
				return fmt.Errorf("install snapshot: %w", err)
			}
			snapshot = nil
		}
		if err := m.storage.Save(r.HardState, r.Entries); err != nil {
			return fmt.Errorf("save log: %w", err)
		}
		return nil
	}
}

// finishSave completes the write whose first attempt has ended, repeating it while the disk is full.
func (m *member) finishSave() error {
	s := m.saving
	if err := m.untilSaved(s.err, s.write); err != nil {
		return err
	}
	m.saving = nil
	m.syncSeconds.Update(s.took.Seconds())
	if n := len(s.ready.Entries); n > 0 {
		m.syncEntries.Update(float64(n))
	}
	m.logSlowSync(s)
	m.finishReady(s.ready, s.unsaved)
	return nil
}

// logSlowSync logs at most one slow write in slowTurnLogInterval.
func (m *member) logSlowSync(s *saving) {
	now := clock.SinceBoot()
	if s.took > slowTurn && now-m.slowSyncLoggedAt > slowTurnLogInterval {
		m.slowSyncLoggedAt = now
		m.logger.Log("event", "sync_slow", "role", m.status.Load().Role, "ms", s.took.Milliseconds(), "entries", len(s.ready.Entries), "proposals", len(m.proposals))
	}
}

// awaitSave waits for the write in progress, if there is one.
func (m *member) awaitSave() {
	if m.saving != nil {
		<-m.saving.done
	}
}

// awaitLongSave waits for the write in progress once it has taken too long. For
// the other members this one is then silent, so that they elect another leader or
// replace it.
func (m *member) awaitLongSave() {
	if m.saving == nil || clock.SinceBoot()-m.saving.startedAt < m.maxSaveTime() {
		return
	}
	waitedFrom := clock.SinceBoot()
	m.awaitSave()
	m.syncTime += clock.SinceBoot() - waitedFrom
}

// maxSaveTime returns how long the loop goes on during the write in progress. That
// its entries are committed tells a leader that a majority has saved them sooner.
func (m *member) maxSaveTime() time.Duration {
	entries := m.saving.ready.Entries
	s := m.protocol.Status()
	if s.Role == quorum.RoleLeader && len(entries) > 0 && s.Commit >= entries[len(entries)-1].Index {
		return maxSyncTime
	}
	return maxSharedSyncTime
}

// untilSaved repeats a write, whose first attempt gave err, while the disk is full. Nothing that depends on the
// write is sent meanwhile, so for the other members this one is silent; a leader
// steps down.
func (m *member) untilSaved(err error, write func() error) error {
	if !errors.Is(err, store.ErrNoSpace) {
		return err
	}
	m.logger.Log("event", "disk_full", "id", m.id, "term", m.protocol.Status().Term, "err", err)
	m.full.Store(true)
	defer m.full.Store(false)
	m.leadership.update(0, 0, false, false)
	s := *m.status.Load()
	s.Role, s.Leader = quorum.RoleFollower, ""
	m.status.Store(&s)
	m.onChange(s)
	for errors.Is(err, store.ErrNoSpace) {
		select {
		case <-m.stop:
			return errStopped
		case <-time.After(diskFullRetryInterval):
		}
		err = write()
	}
	m.logger.Log("event", "disk_has_space", "id", m.id, "err", err)
	return err
}
