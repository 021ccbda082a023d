package quorum

import (
	"fmt"
	"slices"
	"sort"
)

// raftLog holds the entries after a base index whose term is known, and the
// memberships that they contain.
type raftLog struct {
	base        uint64
	baseTerm    uint64
	entries     []Entry
	stable      uint64 // last index known to be synced
	commit      uint64
	delivered   uint64              // last committed index returned by Ready
	applied     uint64              // last index known to be applied
	memberships []indexedMembership // in order of index; the first is in force at the base
}

// indexedMembership is a membership and the index of its log entry.
type indexedMembership struct {
	index      uint64
	membership Membership
}

func (l *raftLog) last() uint64 {
	return l.base + uint64(len(l.entries))
}

// term returns the term of the entry at index, false when it is not known.
func (l *raftLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.base:
		return l.baseTerm, true
	case index < l.base || index > l.last():
		return 0, false
	}
	return l.entries[index-l.base-1].Term, true
}

func (l *raftLog) lastTerm() uint64 {
	t, _ := l.term(l.last())
	return t
}

func (l *raftLog) matches(index, term uint64) bool {
	t, ok := l.term(index)
	return ok && t == term
}

// slice returns the entries from lo to hi, inclusive.
func (l *raftLog) slice(lo, hi uint64) []Entry {
	if lo > hi {
		return nil
	}
	return l.entries[lo-l.base-1 : hi-l.base : hi-l.base]
}

// batch returns entries from lo on with a total size of at most the given number
// of bytes; the first entry may exceed it.
func (l *raftLog) batch(lo uint64, bytes int) []Entry {
	all := l.slice(lo, l.last())
	size := 0
	for i, e := range all {
		size += len(e.Data) + entryOverheadBytes
		if i > 0 && size > bytes {
			return all[:i:i]
		}
	}
	return all
}

// entryOverheadBytes approximates the encoded size of an entry without its data.
const entryOverheadBytes = 24

// upToDate reports whether a log that ends at index and term is at least as
// up to date as this one, so that its owner may become leader.
func (l *raftLog) upToDate(index, term uint64) bool {
	own := l.lastTerm()
	return term > own || term == own && index >= l.last()
}

// findConflictByTerm returns the last index up to the given one whose term is at
// most term, and that entry's term. The follower that rejects an append and the
// leader both use it to skip whole terms. For an index before the base the term
// is unknown and returned as zero.
func (l *raftLog) findConflictByTerm(index, term uint64) (uint64, uint64) {
	index = min(index, l.last())
	for index >= l.base {
		t, _ := l.term(index)
		if t <= term {
			return index, t
		}
		index--
	}
	return index, 0
}

// append adds entries at the end; their indexes must follow the last entry.
func (l *raftLog) append(entries ...Entry) error {
	for _, e := range entries {
		if e.Kind == EntryMembership {
			m, err := DecodeMembership(e)
			if err != nil {
				return fmt.Errorf("append: %w", err)
			}
			l.memberships = append(l.memberships, indexedMembership{e.Index, m})
		}
		l.entries = append(l.entries, e)
	}
	return nil
}

// truncate drops the entries from index on. It also limits the capacity, so that
// a later append does not overwrite entries that Ready has returned.
func (l *raftLog) truncate(index uint64) {
	keep := int(index - l.base - 1)
	l.entries = l.entries[:keep:keep]
	l.stable = min(l.stable, index-1)
	for len(l.memberships) > 1 && l.memberships[len(l.memberships)-1].index >= index {
		l.memberships = l.memberships[:len(l.memberships)-1]
	}
}

// stableTo records that entries were synced, up to the last one that has not been replaced since.
func (l *raftLog) stableTo(entries []Entry) {
	for _, e := range slices.Backward(entries) {
		if l.matches(e.Index, e.Term) {
			l.stable = max(l.stable, e.Index)
			return
		}
	}
}

// membership returns the membership in force, committed or not.
func (l *raftLog) membership() indexedMembership {
	return l.memberships[len(l.memberships)-1]
}

// isPossibleVoter reports whether id is a voter in the membership in force or,
// while that is uncommitted, in an earlier one that reverting it would restore.
func (l *raftLog) isPossibleVoter(id string) bool {
	for i := len(l.memberships) - 1; i >= 0; i-- {
		if l.memberships[i].membership.IsVoter(id) {
			return true
		}
		if l.memberships[i].index <= l.commit {
			break
		}
	}
	return false
}

// membershipAt returns the membership in force at index, false when it is not known.
func (l *raftLog) membershipAt(index uint64) (Membership, bool) {
	i := sort.Search(len(l.memberships), func(i int) bool { return l.memberships[i].index > index })
	if i == 0 || index > l.last() {
		return Membership{}, false
	}
	return l.memberships[i-1].membership, true
}

// compact drops the entries up to index, whose term must be known, and the
// memberships that were superseded at or before snapshotIndex.
func (l *raftLog) compact(index, snapshotIndex uint64) {
	if index > l.base {
		t, _ := l.term(index)
		l.entries = append([]Entry(nil), l.entries[index-l.base:]...)
		l.base, l.baseTerm = index, t
	}
	for len(l.memberships) > 1 && l.memberships[1].index <= snapshotIndex {
		l.memberships = l.memberships[1:]
	}
}

// reset replaces the whole log by a snapshot.
func (l *raftLog) reset(s Snapshot) {
	l.base, l.baseTerm = s.Index, s.Term
	l.entries = nil
	l.stable = s.Index
	l.commit = max(l.commit, s.Index)
	l.delivered = max(l.delivered, s.Index)
	l.applied = max(l.applied, s.Index)
	l.memberships = []indexedMembership{{s.Index, s.Membership}}
}
