// Package place is the placement policy: it takes events and the current time, and returns
// decisions. It starts no goroutine, reads no clock and does no input or output, so that a leader,
// a replay and a property test drive the same code.
package place
