// Package quorum implements the replicated log as a pure state machine in the
// manner of Raft (Ongaro and Ousterhout, 2014): messages and ticks in; entries
// to persist, messages to send and committed entries out. It starts no
// goroutine, reads no clock and does no input or output.
//
// The caller loops: it delivers the ticks that are due, steps the messages
// that arrived, and works off Ready until there is none:
//
//	for r, ok := n.Ready(); ok; r, ok = n.Ready() {
//		// sync r.HardState, r.Snapshot and r.Entries; send r.Messages; apply r.Committed
//		n.Advance(r)
//	}
//
// The leader lease rests on counts of ticks. Take a message or a read request
// first, then deliver all ticks due by the monotonic clock, and only then call
// Step or ReadIndex. In a process that was stopped for a while, or whose sync
// took long, the other order would count a lease, or the promise behind one,
// from a tick that is long past.
package quorum
