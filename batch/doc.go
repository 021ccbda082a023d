// Package batch holds the replicated state of stepped jobs: queues and teams,
// accepted jobs with their steps, rounds and tasks, numbered runs on workers,
// data centres out of service and maintenance waves.
//
// A job has steps; a step has tasks that run independently or together as a
// gang. Every start of a task is a numbered run. It is committed before it is
// sent to a worker, so that a new leader knows all runs that may be active. The
// end of a run is committed before it is acknowledged to the worker.
//
// The ledger reads no clock; changes carry the leader's time.
package batch
