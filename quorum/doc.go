// Package quorum implements the replicated log with a protocol based on Raft
// (Ongaro and Ousterhout, 2014), as a deterministic state machine. Its inputs are
// ticks and messages; its outputs are entries to persist, messages to send and
// committed entries to apply. It starts no goroutines, reads no clock and
// performs no I/O.
//
// In a loop, the caller delivers the ticks that are due, steps the messages
// that have arrived, and processes Ready until there is none:
//
//	for r, ok := n.Ready(); ok; r, ok = n.Ready() {
//		// sync r.HardState, r.Snapshot and r.Entries; send r.Messages; apply r.Committed
//		n.Advance(r)
//	}
//
// While a sync is in progress, the caller goes on with ticks and messages, and sends
// what Immediate returns.
//
// The leader lease is measured in ticks. The caller must receive a message or a
// read request first, then deliver all ticks that are due by the monotonic
// clock, and only then call Step or ReadIndex. With any other order, a process
// that was suspended or delayed by a slow sync would measure a lease, or the
// time during which a follower must not vote, from an outdated tick. A member
// that does not lead counts only one of the ticks that are due after a pause; see
// Node.Tick.
package quorum
