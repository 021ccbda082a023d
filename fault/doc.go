// Package fault is a TCP proxy that injects faults between real processes in
// tests: delay, silent loss in one or both directions, connections that stay open
// and silent, a cut in the middle of a message, and reset.
package fault
