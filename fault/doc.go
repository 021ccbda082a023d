// Package fault provides a TCP proxy that injects faults between real processes in
// tests: delays, silent loss of data in one or both directions, connections that
// stay open without traffic, connections closed in the middle of a message, and
// resets.
package fault
