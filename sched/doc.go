// Package sched schedules stepped jobs on the leader: it handles the calls of
// clients, operators and workers, assigns tasks to workers, and sends orders to
// workers in the answers to their heartbeats.
//
// State that must survive a change of leader is committed to the ledger of
// package batch before it takes effect; the rest is rebuilt from the workers'
// heartbeats within one heartbeat interval. Leases and fencing delays are
// measured on the boot clock.
package sched
