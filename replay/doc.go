// Package replay drives placement policies with seeded job traces in virtual
// time and compares them. It is no cluster simulator: workers are counters, and
// a job advances at a rate until its work is done.
package replay
