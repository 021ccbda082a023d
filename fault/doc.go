// Package fault is a TCP proxy that injects faults between real processes in
// tests: delay, silent loss in one or both directions, a cut in the middle of a
// message, and reset.
package fault
