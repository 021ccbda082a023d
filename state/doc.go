// Package state implements the replicated state machine. Commands are applied in
// log order to the configuration, jobs, idempotency keys, workers, upstreams and
// the ledger of stepped jobs. Each part has its own locks; jobs and keys are sharded.
// The package reads no clock: commands carry the leader's time.
package state
