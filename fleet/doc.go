// Package fleet holds what a leader knows of its workers: how fast each one is, whether it fails what it starts, and
// which workers get no runs but probes for that reason.
//
// Estimates of callers are rough, so speeds are compared within one step of one job only. Who is at fault for a failure
// is inferred from both sides: a step that fails on sound workers is at fault itself, a worker that fails what others
// can run is. See docs/design/workers.md.
//
// The package reads no clock and starts no goroutine. Callers pass the time in, and serialise the calls.
package fleet
