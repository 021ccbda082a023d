package store

import (
	"fmt"
	"os"
	"strconv"
	"strings"

	"turmericroute/quorum"
)

// DamageError is returned when files do not hold what was synced to them.
type DamageError struct{ Message string }

// Error returns the message with a prefix.
func (e *DamageError) Error() string { return "damaged: " + e.Message }

// position identifies an entry of the log; the zero value is before the first one.
type position struct {
	index, term uint64
}

// replay rebuilds the log from its segments, which are read in order. After a loss
// of power any of the segments that were removed without a sync of the folder may
// be back. The snapshot covers their entries, so what precedes a gap is dropped;
// trimToSnapshot decides whether entries are missing.
type replay struct {
	hs       quorum.HardState
	before   *position // of the entry before the first one, nil when it is not known
	entries  []quorum.Entry
	segments []segment
}

// firstIndex returns the index at which the log begins, or false when it is not known.
func (r *replay) firstIndex() (uint64, bool) {
	switch {
	case r.before != nil:
		return r.before.index + 1, true
	case len(r.entries) > 0:
		return r.entries[0].Index, true
	default:
		return 0, false
	}
}

// termAt returns the term of an entry, or false when it is not known.
func (r *replay) termAt(index uint64) (uint64, bool) {
	if r.before != nil && r.before.index == index {
		return r.before.term, true
	}
	if len(r.entries) == 0 || index < r.entries[0].Index || index-r.entries[0].Index >= uint64(len(r.entries)) {
		return 0, false
	}
	return r.entries[index-r.entries[0].Index].Term, true
}

// continuesAfter reports whether the entries follow that at p, as far as is known:
// segments of earlier versions don't tell what is before them.
func (r *replay) continuesAfter(p position) bool {
	if term, ok := r.termAt(p.index); ok {
		return term == p.term
	}
	return r.before == nil && len(r.entries) > 0 && r.entries[0].Index == p.index+1
}

// startAfter drops all entries; the next one follows that at p.
func (r *replay) startAfter(p position) {
	r.before, r.entries = &p, nil
}

func (r *replay) apply(rec record) {
	switch rec.typ {
	case recordHardState:
		r.hs = rec.hardState()
	case recordReset:
		r.startAfter(rec.position())
	case recordStart:
		if !r.continuesAfter(rec.position()) {
			r.startAfter(rec.position())
		}
	case recordEntry:
		r.append(rec.entry)
	}
}

func (r *replay) append(e quorum.Entry) {
	first, known := r.firstIndex()
	if known && (e.Index < first || e.Index > first+uint64(len(r.entries))) {
		r.before, r.entries, known = nil, nil, false
	}
	if known {
		r.entries = r.entries[:e.Index-first]
	}
	r.entries = append(r.entries, e)
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
	offset, records := segmentHeaderBytes, 0
	for offset < len(b) {
		rec, size, err := readRecord(b[offset:])
		if err != nil {
			if lastSegment && !hasRecord(b[offset+1:]) {
				break
			}
			return offset, &DamageError{Message: fmt.Sprintf("%s: invalid record at byte %d", seg.name, offset)}
		}
		r.apply(rec)
		records++
		if rec.typ == recordEntry {
			seg.last = max(seg.last, rec.entry.Index)
		}
		offset += size
	}
	if offset == segmentHeaderBytes && !lastSegment {
		return 0, &DamageError{Message: seg.name + " has no records"}
	}
	if lastSegment && records < 2 {
		// A segment that ends before or after its initial hard state is unfinished, and the hard state is a copy.
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

// trimToSnapshot drops the entries that do not follow the snapshot and returns a
// DamageError if entries are missing. It reports whether the log in the files
// continues the snapshot; if not, a log reset record must precede the next entry.
func (r *replay) trimToSnapshot(snap *quorum.Snapshot) (bool, error) {
	var base position
	if snap != nil {
		base = position{index: snap.Index, term: snap.Term}
	}
	first, known := r.firstIndex()
	if known && first > base.index+1 {
		return false, &DamageError{Message: fmt.Sprintf("entries %d to %d are missing", base.index+1, first-1)}
	}
	// Entries whose predecessor is not the last entry of the snapshot were written before it was installed.
	continues := !known || r.continuesAfter(base)
	if continues && known {
		r.entries = r.entries[base.index+1-first:]
	} else {
		r.entries = nil
	}
	last := base.index + uint64(len(r.entries))
	if r.hs.Commit > last {
		return false, &DamageError{Message: fmt.Sprintf("entries %d to %d are missing", last+1, r.hs.Commit)}
	}
	return continues, nil
}
