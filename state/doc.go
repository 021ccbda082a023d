// Package state is the replicated state machine: commands applied in log order
// to configuration, jobs, request keys, workers and upstreams, each kept in
// shards under their own locks. It reads no clock; commands carry the leader's
// time.
package state
