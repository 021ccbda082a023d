package store

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"

	"turmericroute/quorum"
)

// recordType is the type of a record in a segment.
type recordType byte

const (
	recordEntry recordType = iota + 1
	recordHardState
	recordReset
	recordStart
)

const (
	segmentMagic = "TRLOG001"
	// segmentHeaderBytes is the size of the magic number, the first index and their checksum.
	segmentHeaderBytes = 8 + 8 + 4
	// recordPrefixBytes is the size of the length and the checksum.
	recordPrefixBytes = 4 + 4
	// recordFixedBytes is the size of the type, kind, index and term.
	recordFixedBytes = 1 + 1 + 8 + 8
	// maxRecordBytes bounds the length field, so that a damaged length is rejected.
	maxRecordBytes = 64 << 20
)

var (
	castagnoli = crc32.MakeTable(crc32.Castagnoli)
	errInvalid = errors.New("invalid record")
)

// record is a decoded record. A log reset and the start of a segment use the
// Index and Term of entry; a hard state stores its commit index, term and vote in
// Index, Term and Data.
type record struct {
	typ   recordType
	entry quorum.Entry
}

func appendRecord(b []byte, t recordType, e quorum.Entry) ([]byte, error) {
	length := recordFixedBytes + len(e.Data)
	if length > maxRecordBytes {
		return b, fmt.Errorf("record of %d bytes exceeds the maximum of %d", length, maxRecordBytes)
	}
	start := len(b)
	b = binary.LittleEndian.AppendUint32(b, uint32(length))
	b = append(b, 0, 0, 0, 0, byte(t), byte(e.Kind))
	b = binary.LittleEndian.AppendUint64(b, e.Index)
	b = binary.LittleEndian.AppendUint64(b, e.Term)
	b = append(b, e.Data...)
	binary.LittleEndian.PutUint32(b[start+4:], recordSum(b[start:]))
	return b, nil
}

func appendHardState(b []byte, hs quorum.HardState) ([]byte, error) {
	return appendRecord(b, recordHardState, quorum.Entry{Index: hs.Commit, Term: hs.Term, Data: []byte(hs.Vote)})
}

// recordSum returns the checksum of the whole record b.
func recordSum(b []byte) uint32 {
	sum := crc32.Update(0, castagnoli, b[:4])
	return crc32.Update(sum, castagnoli, b[recordPrefixBytes:])
}

// readRecord returns the record at the start of b and its size.
func readRecord(b []byte) (record, int, error) {
	if len(b) < recordPrefixBytes+recordFixedBytes {
		return record{}, 0, errInvalid
	}
	length := int(binary.LittleEndian.Uint32(b))
	size := recordPrefixBytes + length
	t := recordType(b[8])
	switch {
	case length < recordFixedBytes, length > maxRecordBytes, size > len(b):
		return record{}, 0, errInvalid
	case t < recordEntry, t > recordStart, b[9] > byte(quorum.EntryMembership):
		return record{}, 0, errInvalid
	case recordSum(b[:size]) != binary.LittleEndian.Uint32(b[4:]):
		return record{}, 0, errInvalid
	}
	return record{typ: t, entry: quorum.Entry{
		Index: binary.LittleEndian.Uint64(b[10:]),
		Term:  binary.LittleEndian.Uint64(b[18:]),
		Kind:  quorum.EntryKind(b[9]),
		Data:  b[26:size:size],
	}}, size, nil
}

func (r record) hardState() quorum.HardState {
	return quorum.HardState{Term: r.entry.Term, Vote: string(r.entry.Data), Commit: r.entry.Index}
}

func (r record) position() position {
	return position{index: r.entry.Index, term: r.entry.Term}
}

func segmentHeader(first uint64) []byte {
	b := binary.LittleEndian.AppendUint64([]byte(segmentMagic), first)
	return binary.LittleEndian.AppendUint32(b, crc32.Checksum(b, castagnoli))
}

func checkSegmentHeader(b []byte, first uint64) error {
	if len(b) < segmentHeaderBytes || string(b[:segmentHeaderBytes]) != string(segmentHeader(first)) {
		return fmt.Errorf("segment header: %w", errInvalid)
	}
	return nil
}

// hasRecord reports whether a valid record begins anywhere in b.
func hasRecord(b []byte) bool {
	for i := range b {
		if _, _, err := readRecord(b[i:]); err == nil {
			return true
		}
	}
	return false
}

// RecordBytes returns the size of an entry's record in a segment, in bytes.
func RecordBytes(e quorum.Entry) int {
	return recordPrefixBytes + recordFixedBytes + len(e.Data)
}
