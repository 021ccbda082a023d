// Package batch holds the replicated state of stepped jobs: queues and teams,
// accepted jobs with their steps, rounds and tasks, numbered runs on workers,
// data centres out of service and maintenance waves.
//
// A job has steps; a step has tasks that run one by one or together as a gang.
// Every start of a task is a numbered run, which is committed before a worker
// hears of it, so that a new leader knows all runs that may be alive. The end of
// a run is committed before the worker is told to forget it.
//
// The ledger reads no clock; changes carry the leader's time.
package batch
