// Package store keeps a voter's identity, hard state, log and snapshots in
// files under one data folder.
//
// # Files
//
//	LOCK                        locked while a process has the folder open
//	identity                    the random ID of this disk, sealed
//	membership                  the membership of the bootstrap or join as JSON, sealed
//	log-<first index>.seg       a segment of the log
//	snap-<index>.snap           a snapshot, sealed
//	damaged/                    files put aside by Discard
//	*.tmp                       unfinished files, removed by Open
//
// Indexes in names have 20 decimal digits. Numbers in files are little-endian.
//
// A sealed file holds 8 bytes that name its kind, a CRC-32C of the rest and the
// rest. It is written under a temporary name, synced and renamed, and then the
// folder is synced. The rest of a snapshot is: index (8 bytes), term (8), length
// of the membership (4), membership as JSON, data.
//
// # Segments
//
// A segment begins with 8 bytes "TRLOG001", its first index (8 bytes) and the
// CRC-32C of these 16 bytes. Records follow:
//
//	length    4 bytes   of everything after the checksum
//	checksum  4 bytes   CRC-32C of the length and of everything after the checksum
//	type      1 byte    1 entry, 2 hard state, 3 restart
//	kind      1 byte    of an entry, else 0
//	index     8 bytes   of an entry or restart; the commit index of a hard state
//	term      8 bytes
//	data      the rest  of an entry; the vote of a hard state
//
// An entry replaces all earlier entries from its index on. A restart record
// follows the installation of a snapshot that does not continue the log: earlier
// entries no longer count. Each segment after the first begins with the hard
// state, so that earlier segments can be removed.
//
// # Recovery
//
// An invalid record at the end of the last segment with no valid record after
// it is a write that was never synced: it is cut off. Any other invalid record,
// missing segment, gap in the indexes, commit index beyond the log or invalid
// sealed file is damage, reported in Recovered.Repair; the store then accepts no
// writes until Discard. A flipped bit in the very last record cannot be told
// from a torn write and is cut off as well.
package store
