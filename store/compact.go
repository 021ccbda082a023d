package store

import (
	"fmt"
	"os"
)

// Compact removes all snapshots but the latest, and the segments whose entries
// are all covered by the latest snapshot and not after index. The last segment
// is kept.
func (s *Store) Compact(index uint64) error {
	s.snapMu.Lock()
	defer s.snapMu.Unlock()
	removed, err := s.removeCovered(index)
	if err != nil || !removed {
		return err
	}
	// Writes go on meanwhile: until the sync has ended, any of the removed files may be back after a loss of power.
	err = s.dir.syncFolder(s.dir.path)
	if err == nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fail(err)
}

// removeCovered removes the files for Compact and reports whether there were any.
func (s *Store) removeCovered(index uint64) (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failed != nil {
		return false, s.failed
	}
	removed, err := s.removeSnapshots()
	if err != nil {
		return removed, err
	}
	index = min(index, s.snapshot.index)
	for len(s.segments) > 1 && s.segments[0].last <= index {
		if err := os.Remove(s.dir.filePath(s.segments[0].name)); err != nil {
			return removed, fmt.Errorf("remove segment: %w", err)
		}
		s.segments, removed = s.segments[1:], true
	}
	return removed, nil
}

// removeSnapshots removes all snapshots but the latest and reports whether there were any.
func (s *Store) removeSnapshots() (bool, error) {
	names, err := s.dir.names(snapshotPrefix, snapshotSuffix)
	if err != nil {
		return false, err
	}
	removed := false
	for _, n := range names {
		if n >= snapshotName(s.snapshot.index) {
			continue
		}
		if err := os.Remove(s.dir.filePath(n)); err != nil {
			return removed, fmt.Errorf("remove snapshot: %w", err)
		}
		removed = true
	}
	return removed, nil
}
