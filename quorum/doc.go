// Package quorum implements the replicated log as a pure state machine in the
// manner of Raft (Ongaro and Ousterhout, 2014): messages and ticks in; entries
// to persist, messages to send and committed entries out. It starts no
// goroutine, reads no clock and does no input or output.
package quorum
