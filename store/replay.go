package store

import (
	"fmt"
	"os"
	"strconv"
	"strings"

	"turmericroute/quorum"
)

const (
	segmentPrefix = "log-"
	segmentSuffix = ".seg"
)

// DamageError is returned when files do not hold what was synced to them.
type DamageError struct{ Message string }

// Error returns the message with a prefix.
func (e *DamageError) Error() string { return "damaged: " + e.Message }

type segment struct {
	name  string
	first uint64 // next index when the segment was created
	last  uint64 // highest index of an entry in it
	size  int64
}

func segmentName(first uint64) string {
	return fmt.Sprintf("%s%020d%s", segmentPrefix, first, segmentSuffix)
}

// replay rebuilds the log from its segments, which are read in order.
type replay struct {
	hs         quorum.HardState
	entries    []quorum.Entry
	resetIndex uint64 // index of the last log reset record, zero for none
	segments   []segment
}

// nextIndex returns the index after the last entry, or false when it is not known.
func (r *replay) nextIndex() (uint64, bool) {
	if len(r.entries) == 0 {
		return r.resetIndex + 1, r.resetIndex > 0
	}
	return r.entries[len(r.entries)-1].Index + 1, true
}

func (r *replay) apply(rec record) error {
	switch rec.typ {
	case recordHardState:
		r.hs = rec.hardState()
	case recordReset:
		r.entries, r.resetIndex = nil, rec.entry.Index
	case recordEntry:
		return r.append(rec.entry)
	}
	return nil
}

func (r *replay) append(e quorum.Entry) error {
	next, known := r.nextIndex()
	if known && e.Index > next {
		return &DamageError{Message: fmt.Sprintf("entry %d follows entry %d", e.Index, next-1)}
	}
	if len(r.entries) > 0 {
		if first := r.entries[0].Index; e.Index < first {
			r.entries = r.entries[:0]
		} else {
			r.entries = r.entries[:e.Index-first]
		}
	}
	r.entries = append(r.entries, e)
	return nil
}

// readSegment applies the records of one segment. It returns the length of the
// valid part in bytes, which is less than len(b) only when the last segment ends
// with a torn write.
func (r *replay) readSegment(b []byte, seg *segment, lastSegment bool) (int, error) {
	if err := checkSegmentHeader(b, seg.first); err != nil {
		if lastSegment && !hasRecord(b) {
			return 0, nil
		}
		return 0, &DamageError{Message: seg.name + ": " + err.Error()}
	}
	offset := segmentHeaderBytes
	for offset < len(b) {
		rec, size, err := readRecord(b[offset:])
		if err != nil {
			if lastSegment && !hasRecord(b[offset+1:]) {
				break
			}
			return offset, &DamageError{Message: fmt.Sprintf("%s: invalid record at byte %d", seg.name, offset)}
		}
		if err := r.apply(rec); err != nil {
			return offset, fmt.Errorf("%s at byte %d: %w", seg.name, offset, err)
		}
		if rec.typ == recordEntry {
			seg.last = max(seg.last, rec.entry.Index)
		}
		offset += size
	}
	if offset == segmentHeaderBytes && !lastSegment {
		return 0, &DamageError{Message: seg.name + " has no records"}
	}
	if offset == segmentHeaderBytes {
		// A segment without its initial hard state is unfinished; no entry was written to it.
		return 0, nil
	}
	return offset, nil
}

// readSegments replays all segments, truncates a torn write at the end of the last one and syncs it.
func (d folder) readSegments() (*replay, error) {
	names, err := d.names(segmentPrefix, segmentSuffix)
	if err != nil {
		return nil, err
	}
	r := &replay{}
	for i, name := range names {
		digits := strings.TrimSuffix(strings.TrimPrefix(name, segmentPrefix), segmentSuffix)
		first, err := strconv.ParseUint(digits, 10, 64)
		if err != nil {
			return nil, &DamageError{Message: "invalid segment name " + name}
		}
		b, err := os.ReadFile(d.filePath(name))
		if err != nil {
			return nil, fmt.Errorf("read segment: %w", err)
		}
		seg := segment{name: name, first: first}
		valid, err := r.readSegment(b, &seg, i == len(names)-1)
		if err != nil {
			return nil, err
		}
		if i == len(names)-1 {
			if err := d.syncLastSegment(name, valid, len(b)); err != nil {
				return nil, err
			}
		}
		if valid > 0 {
			seg.size = int64(valid)
			r.segments = append(r.segments, seg)
		}
	}
	return r, nil
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

// trimToSnapshot drops the entries that do not follow the snapshot and returns a
// DamageError if entries are missing. It reports whether the log in the files
// continues the snapshot; if not, a log reset record must precede the next entry.
func (r *replay) trimToSnapshot(snap *quorum.Snapshot) (bool, error) {
	var base, term uint64
	if snap != nil {
		base, term = snap.Index, snap.Term
	}
	if r.resetIndex > base {
		return false, &DamageError{Message: fmt.Sprintf("snapshot %d is missing", r.resetIndex)}
	}
	continues := r.resetIndex == 0 || r.resetIndex == base
	if len(r.entries) > 0 {
		first := r.entries[0].Index
		if first > base+1 {
			return false, &DamageError{Message: fmt.Sprintf("entries %d to %d are missing", base+1, first-1)}
		}
		r.entries, continues = r.entriesAfter(base, term, first)
	}
	last := base + uint64(len(r.entries))
	if r.hs.Commit > last {
		return false, &DamageError{Message: fmt.Sprintf("entries %d to %d are missing", last+1, r.hs.Commit)}
	}
	return continues, nil
}

// entriesAfter returns the entries after base, the index of the snapshot. A log
// that lacks the entry at base with the snapshot's term was written before the
// snapshot was installed and is invalid. A log that begins right after base was
// compacted to there, since a log from before the installation would begin earlier.
func (r *replay) entriesAfter(base, term, first uint64) ([]quorum.Entry, bool) {
	switch {
	case first == base+1:
		return r.entries, true
	case base-first >= uint64(len(r.entries)), r.entries[base-first].Term != term:
		return nil, false
	default:
		return r.entries[base-first+1:], true
	}
}
