package store

import (
	"encoding/binary"
	"encoding/json"
	"fmt"

	"turmericroute/quorum"
)

const (
	snapshotPrefix = "snap-"
	snapshotSuffix = ".snap"
	// snapshotFixedBytes is the size of the index, the term and the length of the membership.
	snapshotFixedBytes = 8 + 8 + 4
)

func snapshotName(index uint64) string {
	return fmt.Sprintf("%s%020d%s", snapshotPrefix, index, snapshotSuffix)
}

// encodeSnapshotHeader encodes the part of a snapshot's content that precedes its data.
func encodeSnapshotHeader(s quorum.Snapshot) ([]byte, error) {
	members, err := json.Marshal(s.Membership)
	if err != nil {
		return nil, fmt.Errorf("encode membership: %w", err)
	}
	b := binary.LittleEndian.AppendUint64(nil, s.Index)
	b = binary.LittleEndian.AppendUint64(b, s.Term)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(members)))
	return append(b, members...), nil
}

func decodeSnapshot(b []byte) (quorum.Snapshot, error) {
	if len(b) < snapshotFixedBytes {
		return quorum.Snapshot{}, &DamageError{Message: "snapshot is too short"}
	}
	s := quorum.Snapshot{Index: binary.LittleEndian.Uint64(b), Term: binary.LittleEndian.Uint64(b[8:])}
	n := uint64(binary.LittleEndian.Uint32(b[16:]))
	b = b[snapshotFixedBytes:]
	if n > uint64(len(b)) {
		return quorum.Snapshot{}, &DamageError{Message: "membership of snapshot is too short"}
	}
	if err := json.Unmarshal(b[:n], &s.Membership); err != nil {
		return quorum.Snapshot{}, &DamageError{Message: "membership of snapshot: " + err.Error()}
	}
	s.Data = b[n:]
	return s, nil
}

// loadSnapshot returns the latest snapshot, nil when there is none.
func (d folder) loadSnapshot() (*quorum.Snapshot, error) {
	names, err := d.names(snapshotPrefix, snapshotSuffix)
	if err != nil || len(names) == 0 {
		return nil, err
	}
	name := names[len(names)-1]
	b, err := d.readChecksummed(name, snapshotMagic)
	if err != nil {
		return nil, err
	}
	s, err := decodeSnapshot(b)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	if snapshotName(s.Index) != name {
		return nil, &DamageError{Message: fmt.Sprintf("%s holds index %d", name, s.Index)}
	}
	return &s, nil
}

func (d folder) saveSnapshot(s quorum.Snapshot) error {
	head, err := encodeSnapshotHeader(s)
	if err != nil {
		return err
	}
	return d.writeChecksummed(snapshotName(s.Index), snapshotMagic, head, s.Data)
}

func (d folder) loadMembership() (*quorum.Membership, error) {
	b, err := d.readChecksummed(membershipName, membershipMagic)
	if err != nil || b == nil {
		return nil, err
	}
	var m quorum.Membership
	if err := json.Unmarshal(b, &m); err != nil {
		return nil, &DamageError{Message: "membership: " + err.Error()}
	}
	return &m, nil
}
