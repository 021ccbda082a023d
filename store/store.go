package store

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"sync"
	"syscall"

	"turmericroute/quorum"
)

// DefaultSegmentBytes is the default of Config.SegmentBytes.
const DefaultSegmentBytes = 256 << 10

var (
	// ErrClosed is returned by a store after Close.
	ErrClosed = errors.New("store is closed")
	// ErrNoSpace is returned by a write for which the disk has no space. The store stays usable: nothing of the write
	// counts as saved, and it can be repeated once there is space.
	ErrNoSpace = errors.New("no space on the disk")
)

// Config holds the settings of a store.
type Config struct {
	// Dir is the path of the data folder.
	Dir string
	// ID is the identity of a folder that has none; empty means a random one.
	ID string
	// SegmentBytes is the size at which a new segment is started; 0 means DefaultSegmentBytes.
	SegmentBytes int64
	// Sync syncs a file or folder to disk; nil means (*os.File).Sync.
	Sync func(*os.File) error
	// Write writes to a file; nil means (*os.File).Write.
	Write func(*os.File, []byte) (int, error)
}

// Recovered is the state that Open found in the data folder.
type Recovered struct {
	// ID is the identity of this disk, given or generated at the first start.
	ID        string
	HardState quorum.HardState
	Snapshot  *quorum.Snapshot
	// Entries is the contiguous log after the snapshot.
	Entries []quorum.Entry
	// Membership is the membership of the snapshot if there is one, else that of
	// the bootstrap or join, nil before either. Membership entries in Entries
	// supersede it.
	Membership *quorum.Membership
	// Damage reports any damage other than a torn write at the end of the log.
	// The instance must then not vote and has to be restored from its peers.
	Damage error
	// Files are the names in a damaged folder.
	Files []string
	// Quarantined is true if the folder holds quarantined files of an earlier
	// identity, so that the disk is not a new one.
	Quarantined bool
}

// Store is an open data folder.
type Store struct {
	dir          folder
	newID        string // Config.ID
	segmentBytes int64
	lock         *os.File

	// snapMu is held while snapshots are written or removed; it is locked before mu.
	snapMu sync.Mutex

	mu         sync.Mutex
	failed     error    // returned by all writes, nil while the store is usable
	active     *os.File // last segment, nil if there is none
	torn       bool     // the last segment may end with a part of a write that was refused
	reset      []byte   // log reset record that must precede the next record, nil if there is none
	segments   []segment
	hs         quorum.HardState
	snapshot   position // last entry of the latest snapshot
	terms      []uint64 // terms of the entries after the latest snapshot
	firstIndex uint64   // index of the first entry in terms
}

// Open locks the data folder and recovers its state. Damage is not returned as an
// error but in Recovered.Damage.
func Open(cfg Config) (*Store, Recovered, error) {
	if cfg.SegmentBytes == 0 {
		cfg.SegmentBytes = DefaultSegmentBytes
	}
	if cfg.Sync == nil {
		cfg.Sync = (*os.File).Sync
	}
	if cfg.Write == nil {
		cfg.Write = (*os.File).Write
	}
	s := &Store{dir: folder{path: cfg.Dir, syncFile: cfg.Sync, write: cfg.Write}, newID: cfg.ID, segmentBytes: cfg.SegmentBytes}
	if err := s.dir.create(); err != nil {
		return nil, Recovered{}, noSpaceOr(err)
	}
	lock, err := s.dir.lock()
	if err != nil {
		return nil, Recovered{}, noSpaceOr(err)
	}
	s.lock = lock
	rec, err := s.recover()
	var damage *DamageError
	if errors.As(err, &damage) {
		s.failed = fmt.Errorf("store needs repair: %w", err)
		names, listErr := s.dir.names("", "")
		if listErr != nil {
			lock.Close()
			return nil, Recovered{}, listErr
		}
		return s, Recovered{ID: rec.ID, Damage: err, Files: names}, nil
	}
	if err != nil {
		lock.Close()
		return nil, Recovered{}, fmt.Errorf("recover %s: %w", cfg.Dir, noSpaceOr(err))
	}
	return s, rec, nil
}

func (s *Store) recover() (Recovered, error) {
	var rec Recovered
	if err := s.dir.removeTempFiles(); err != nil {
		return rec, err
	}
	// A process that was killed may have left names that a loss of power would undo.
	err := s.dir.syncFolder(s.dir.path)
	if err != nil {
		return rec, err
	}
	if rec.ID, err = s.dir.identity(s.newID); err != nil {
		return rec, err
	}
	if rec.Quarantined, err = s.dir.hasQuarantine(); err != nil {
		return rec, err
	}
	if rec.Membership, err = s.dir.loadMembership(); err != nil {
		return rec, err
	}
	if rec.Snapshot, err = s.dir.loadSnapshot(); err != nil {
		return rec, err
	}
	r, err := s.dir.readSegments()
	if err != nil {
		return rec, err
	}
	continues, err := r.trimToSnapshot(rec.Snapshot)
	if err != nil {
		return rec, err
	}
	rec.HardState, rec.Entries = r.hs, r.entries
	if rec.Snapshot != nil {
		rec.Membership = &rec.Snapshot.Membership
		s.snapshot = position{index: rec.Snapshot.Index, term: rec.Snapshot.Term}
	}
	s.hs, s.segments, s.firstIndex = r.hs, r.segments, s.snapshot.index+1
	for _, e := range r.entries {
		s.terms = append(s.terms, e.Term)
	}
	if err := s.openActive(); err != nil {
		return rec, err
	}
	if !continues {
		// Without space for it the reset record is written with the next entries.
		if err := s.resetLog(*rec.Snapshot); err != nil && !errors.Is(err, ErrNoSpace) {
			return rec, err
		}
	}
	return rec, nil
}

func (s *Store) openActive() error {
	if len(s.segments) == 0 {
		return nil
	}
	name := s.segments[len(s.segments)-1].name
	f, err := os.OpenFile(s.dir.filePath(name), os.O_WRONLY|os.O_APPEND, fileMode)
	if err != nil {
		return fmt.Errorf("open last segment: %w", err)
	}
	s.active = f
	return nil
}

// Save appends entries and, if hs is not nil, a hard state with one write and one
// sync. The entries replace all earlier ones from their first index on.
func (s *Store) Save(hs *quorum.HardState, entries []quorum.Entry) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failed != nil {
		return s.failed
	}
	if hs == nil && len(entries) == 0 {
		return nil
	}
	if err := s.checkContiguous(entries); err != nil {
		return err
	}
	var b []byte
	var err error
	for _, e := range entries {
		if b, err = appendRecord(b, recordEntry, e); err != nil {
			return err
		}
	}
	// The hard state is written last, so that its commit index never precedes the entries that it covers.
	if hs != nil {
		if b, err = appendHardState(b, *hs); err != nil {
			return err
		}
	}
	next := s.nextIndex()
	if len(entries) > 0 {
		next = entries[0].Index
	}
	if err := s.append(b, s.positionBefore(next)); err != nil {
		return err
	}
	s.updateState(hs, entries)
	return nil
}

// checkContiguous returns an error for entries that are not contiguous, that
// would leave a gap in the log or that the latest snapshot covers.
func (s *Store) checkContiguous(entries []quorum.Entry) error {
	if len(entries) == 0 {
		return nil
	}
	if first := entries[0].Index; first < s.firstIndex || first > s.nextIndex() {
		return fmt.Errorf("entries from %d on do not fit a log of %d to %d", first, s.firstIndex, s.nextIndex()-1)
	}
	for i, e := range entries {
		if e.Index != entries[0].Index+uint64(i) {
			return fmt.Errorf("entry %d follows entry %d", e.Index, entries[i-1].Index)
		}
	}
	return nil
}

func (s *Store) nextIndex() uint64 { return s.firstIndex + uint64(len(s.terms)) }

// positionBefore returns the position of the entry before index, which the log or the latest snapshot contains.
func (s *Store) positionBefore(index uint64) position {
	if index == s.firstIndex {
		return s.snapshot
	}
	return position{index: index - 1, term: s.terms[index-1-s.firstIndex]}
}

func (s *Store) updateState(hs *quorum.HardState, entries []quorum.Entry) {
	if hs != nil {
		s.hs = *hs
	}
	if len(entries) == 0 {
		return
	}
	s.terms = s.terms[:entries[0].Index-s.firstIndex]
	for _, e := range entries {
		s.terms = append(s.terms, e.Term)
	}
	seg := &s.segments[len(s.segments)-1]
	seg.last = max(seg.last, entries[len(entries)-1].Index)
}

func (s *Store) fail(err error) error {
	if s.failed == nil {
		s.failed = fmt.Errorf("store has failed: %w", err)
	}
	return s.failed
}

// failUnlessFull is fail, unless the disk had no space for a write that was not synced.
func (s *Store) failUnlessFull(err error) error {
	if isNoSpace(err) {
		return noSpaceOr(err)
	}
	return s.fail(err)
}

// noSpaceOr returns an error that is ErrNoSpace if a write was refused for want of space, else err itself.
func noSpaceOr(err error) error {
	if isNoSpace(err) {
		return fmt.Errorf("%w: %w", ErrNoSpace, err)
	}
	return err
}

// isNoSpace reports whether a write was refused for want of space. A sync that
// reports this is another matter: what was written before it may be lost.
func isNoSpace(err error) bool {
	var failed *syncError
	return !errors.As(err, &failed) && (errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT))
}

// SaveMembership saves the membership at bootstrap or join.
func (s *Store) SaveMembership(m quorum.Membership) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failed != nil {
		return s.failed
	}
	b, err := json.Marshal(m)
	if err != nil {
		return fmt.Errorf("encode membership: %w", err)
	}
	if err := s.dir.writeChecksummed(membershipName, membershipMagic, b); err != nil {
		return s.failUnlessFull(err)
	}
	return nil
}

// SaveSnapshot saves a snapshot. If the log contains the snapshot's last entry,
// the entries after it are kept; otherwise the log is reset to start after it. A
// snapshot that is not newer than the latest one is ignored.
func (s *Store) SaveSnapshot(snap quorum.Snapshot) error {
	s.snapMu.Lock()
	defer s.snapMu.Unlock()
	if skip, err := s.skipSnapshot(snap.Index); skip || err != nil {
		return err
	}
	err := s.dir.saveSnapshot(snap)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		return s.failUnlessFull(err)
	}
	s.snapshot = position{index: snap.Index, term: snap.Term}
	if i := snap.Index - s.firstIndex; snap.Index >= s.firstIndex && i < uint64(len(s.terms)) && s.terms[i] == snap.Term {
		s.terms = s.terms[i+1:]
		s.firstIndex = snap.Index + 1
		return nil
	}
	return s.resetLog(snap)
}

func (s *Store) skipSnapshot(index uint64) (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return index <= s.snapshot.index, s.failed
}

// resetLog drops all entries and starts the log after a snapshot whose last entry it does not contain.
func (s *Store) resetLog(snap quorum.Snapshot) error {
	s.terms, s.firstIndex = nil, snap.Index+1
	b, err := appendRecord(nil, recordReset, quorum.Entry{Index: snap.Index, Term: snap.Term})
	if err != nil {
		return err
	}
	s.reset = b
	return s.append(nil, s.snapshot)
}

// Discard quarantines the files of a damaged data folder and closes the store.
// The next Open finds an empty folder and gives it a new identity.
func (s *Store) Discard() error {
	s.mu.Lock()
	if errors.Is(s.failed, ErrClosed) {
		s.mu.Unlock()
		return ErrClosed
	}
	err := s.dir.quarantine()
	s.mu.Unlock()
	return errors.Join(err, s.Close())
}

// Close closes the store and unlocks the data folder.
func (s *Store) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if errors.Is(s.failed, ErrClosed) {
		return nil
	}
	s.failed = ErrClosed
	if s.active != nil {
		s.active.Close()
	}
	if err := s.lock.Close(); err != nil {
		return fmt.Errorf("unlock data folder: %w", err)
	}
	return nil
}
