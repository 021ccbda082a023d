// Package soak runs the real program as many processes on loopback, lets
// stand-ins for callers, operators and workers use it, and injects faults from
// outside by a schedule that a seed draws: signals, lost and torn files, links
// that are cut, delayed, reset or silent, workers that crash, leave or are cut
// off. Faults overlap. A ledger of what callers and workers saw checks the
// promises while it goes on; after the last fault everything accepted must end.
package soak
