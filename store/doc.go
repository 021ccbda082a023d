// Package store persists a voter's identity, hard state, log and snapshots in
// the files of a data folder.
//
// # Files
//
//	LOCK                        locked while a process has the folder open
//	identity                    the random ID of this disk (checksummed file)
//	membership                  the membership at bootstrap or join as JSON (checksummed file)
//	log-<first index>.seg       a segment of the log
//	snap-<index>.snap           a snapshot (checksummed file)
//	damaged/                    files quarantined by Discard, or by Open when the identity is missing
//	*.tmp                       unfinished files, removed by Open
//
// Indexes in file names have 20 decimal digits. Numbers in files are little-endian.
//
// A checksummed file consists of an 8-byte magic number for the file type, the
// CRC-32C of the content (4 bytes) and the content. It is written under a
// temporary name, synced and renamed, and then the folder is synced. The content
// of a snapshot is: index (8 bytes), term (8), length of the membership (4),
// membership as JSON, data.
//
// # Segments
//
// A segment begins with the 8-byte magic number "TRLOG001", its first index (8
// bytes) and the CRC-32C of these 16 bytes. Records follow:
//
//	length    4 bytes   of everything after the checksum
//	checksum  4 bytes   CRC-32C of the length and of everything after the checksum
//	type      1 byte    1 entry, 2 hard state, 3 log reset, 4 start
//	kind      1 byte    of an entry, else 0
//	index     8 bytes   of an entry, log reset or start; the commit index of a hard state
//	term      8 bytes
//	data      the rest  of an entry; the vote of a hard state
//
// An entry replaces all earlier entries from its index on. A log reset record
// follows the installation of a snapshot that does not continue the log and
// invalidates all earlier entries. Each segment begins with the hard state and a
// start record, so that earlier segments can be removed. The start record gives the
// entry before those of the segment's first write; segments of earlier versions have
// none, and earlier versions report it as damage.
//
// # Recovery
//
// Names that were removed or renamed without a sync of the folder may be back or
// gone after a loss of power, each independently of the others. Compact removes
// several files before it syncs the folder, so any of them may be back. All entries
// of removed segments are covered by the latest snapshot. Where the log so far does
// not contain the entry that a start record gives, or the next index leaves a gap,
// everything before is dropped; entries between the snapshot and the rest of the log
// are then missing. Whatever else is removed, renamed or truncated is synced before
// the next write, but for temporary files, which Open removes again. Open syncs the folder and the last segment, since a process that
// was killed may not have, before anything relies on them.
//
// An invalid record in the last segment with no valid record after it is a torn
// write that was never synced, and is truncated. Any other invalid record, entries
// that are missing after the snapshot or up to the commit index, or an invalid
// checksummed file is damage, reported in Recovered.Damage; the store then
// rejects all writes, and Discard quarantines its files. A flipped bit in the
// very last record cannot be distinguished from a torn write and is truncated too.
package store
