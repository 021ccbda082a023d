// Package sched is the leader's part in running stepped jobs: it answers the
// calls of clients, operators and workers, decides which task runs where, and
// gives orders to workers in the answers to their heartbeats.
//
// What must survive a change of leader is committed to the ledger of package
// batch first; the rest is rebuilt from the workers' heartbeats within one
// heartbeat interval. All times that fence something are read on the boot clock.
package sched
