package store

import (
	"errors"
	"fmt"
	"os"

	"turmericroute/quorum"
)

const (
	segmentPrefix = "log-"
	segmentSuffix = ".seg"
)

type segment struct {
	name  string
	first uint64 // next index when the segment was created
	last  uint64 // highest index of an entry in it
	size  int64
}

func segmentName(first uint64) string {
	return fmt.Sprintf("%s%020d%s", segmentPrefix, first, segmentSuffix)
}

// append writes b, whose entries follow that at before, to the last segment and
// syncs it. After a failure the store rejects all further writes, since the content
// of the file is unknown, unless the disk had no space for b: then nothing before it
// is affected.
func (s *Store) append(b []byte, before position) error {
	if err := s.removeTorn(); err != nil {
		return err
	}
	b = append(s.reset, b...)
	if s.segmentFull() {
		if err := s.startSegment(b, before); err != nil {
			return s.failUnlessFull(err)
		}
		s.reset = nil
		return nil
	}
	if _, err := s.dir.write(s.active, b); err != nil {
		s.torn = true
		return s.failUnlessFull(fmt.Errorf("append to log: %w", err))
	}
	if err := s.dir.sync(s.active); err != nil {
		return s.fail(fmt.Errorf("sync log: %w", err))
	}
	s.reset = nil
	s.segments[len(s.segments)-1].size += int64(len(b))
	return nil
}

// removeTorn removes what a refused write has left at the end of the last segment.
// The truncation is synced, since after a loss of power only the last segment may be torn.
func (s *Store) removeTorn() error {
	if !s.torn {
		return nil
	}
	if err := s.active.Truncate(s.segments[len(s.segments)-1].size); err != nil {
		return s.failUnlessFull(fmt.Errorf("truncate refused write: %w", err))
	}
	if err := s.dir.sync(s.active); err != nil {
		return s.fail(fmt.Errorf("sync truncated segment: %w", err))
	}
	s.torn = false
	return nil
}

// segmentFull reports whether there is no segment or the last one is full. Names of segments must increase, so a new
// segment is started only if the next index is greater than the first index of the last segment.
func (s *Store) segmentFull() bool {
	if len(s.segments) == 0 {
		return true
	}
	last := s.segments[len(s.segments)-1]
	return last.size >= s.segmentBytes && s.nextIndex() > last.first
}

// startSegment starts a new segment with the records b, whose entries follow that at before.
func (s *Store) startSegment(b []byte, before position) error {
	head, err := appendHardState(segmentHeader(s.nextIndex()), s.hs)
	if err != nil {
		return err
	}
	if head, err = appendRecord(head, recordStart, quorum.Entry{Index: before.index, Term: before.term}); err != nil {
		return err
	}
	seg := segment{name: segmentName(s.nextIndex()), first: s.nextIndex(), size: int64(len(head) + len(b))}
	f, err := os.OpenFile(s.dir.filePath(seg.name), os.O_CREATE|os.O_EXCL|os.O_WRONLY|os.O_APPEND, fileMode)
	if err != nil {
		return fmt.Errorf("create segment: %w", err)
	}
	if err := s.writeSegment(f, head, b); err != nil {
		f.Close()
		if isNoSpace(err) {
			// The next segment may have another name, and only the last one may be torn.
			err = errors.Join(err, os.Remove(f.Name()), s.dir.syncFolder(s.dir.path))
		}
		return err
	}
	if s.active != nil {
		s.active.Close()
	}
	s.active = f
	s.segments = append(s.segments, seg)
	return nil
}

// writeSegment writes a new segment and syncs it and the folder at the same time, so that it takes no longer than any
// other write where syncs are slow. Nothing that is written is valid before both have ended.
func (s *Store) writeSegment(f *os.File, head, b []byte) error {
	if _, err := s.dir.write(f, append(head, b...)); err != nil {
		return fmt.Errorf("write segment: %w", err)
	}
	folderSynced := make(chan error, 1)
	go func() { folderSynced <- s.dir.syncFolder(s.dir.path) }()
	err := s.dir.sync(f)
	if err != nil {
		err = fmt.Errorf("sync segment: %w", err)
	}
	return errors.Join(err, <-folderSynced)
}

// syncLastSegment truncates the last segment to its first valid bytes and syncs
// them, since a process that was killed may not have; a segment with none is removed.
func (d folder) syncLastSegment(name string, valid, size int) error {
	if valid == 0 {
		if err := os.Remove(d.filePath(name)); err != nil {
			return fmt.Errorf("remove unfinished segment: %w", err)
		}
		return d.syncFolder(d.path)
	}
	f, err := os.OpenFile(d.filePath(name), os.O_WRONLY, fileMode)
	if err != nil {
		return fmt.Errorf("open segment: %w", err)
	}
	defer f.Close()
	if valid < size {
		if err := f.Truncate(int64(valid)); err != nil {
			return fmt.Errorf("truncate torn write: %w", err)
		}
	}
	if err := d.sync(f); err != nil {
		return fmt.Errorf("sync last segment: %w", err)
	}
	return nil
}
