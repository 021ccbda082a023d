// Package sizing measures the resource use of each role of the system at growing
// numbers of workers, with real instance processes and lightweight fake workers,
// and computes the slopes that docs/CAPACITY.md uses.
package sizing
