// Package soak runs the real program as many processes on loopback, drives it
// with simulated callers, operators and workers, and injects faults from outside
// by a schedule that is drawn from a seed: signals, lost files and torn writes,
// links that drop, delay, reset or silence connections, and workers that crash,
// drain or lose their connection. Faults overlap. A ledger of what callers,
// operators and workers observed checks the invariants of the system during the
// soak; after the last fault every accepted job must end.
package soak
