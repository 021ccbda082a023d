// Package replay runs placement policies on seeded job traces in virtual time
// and compares them. It does not simulate a whole cluster: a worker is a set of
// resource counters, and a job progresses at a rate until its work is done.
package replay
