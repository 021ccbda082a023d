package soak

import (
	"fmt"
	"time"
)

// Config describes one run.
type Config struct {
	// Binary is the built program.
	Binary string
	// Dir holds settings, data folders and logs.
	Dir  string
	Seed uint64
	// Controls, Entries and Workers count the processes and the stand-ins.
	Controls, Entries, Workers int
	// FaultDuration is how long faults are injected; SettleTimeout bounds how long accepted jobs may take to end afterwards.
	FaultDuration, SettleTimeout time.Duration
}

// WithDefaults fills what is zero.
func (c Config) WithDefaults() Config {
	set := func(n *int, v int) {
		if *n == 0 {
			*n = v
		}
	}
	set(&c.Controls, 4)
	set(&c.Entries, 4)
	set(&c.Workers, 9)
	if c.FaultDuration == 0 {
		c.FaultDuration = 20 * time.Second
	}
	if c.SettleTimeout == 0 {
		c.SettleTimeout = 40 * time.Second
	}
	return c
}

// Report is what a run gave.
type Report struct {
	Seed                         uint64
	Faults, Jobs, Runs, Versions int
	// Violations are the broken promises, in the order of time.
	Violations []string
}

// String returns one line of key=value pairs.
func (r Report) String() string {
	return fmt.Sprintf("seed=%d faults=%d jobs=%d runs=%d versions=%d violations=%d", r.Seed, r.Faults, r.Jobs, r.Runs, r.Versions, len(r.Violations))
}

// The promises of the deployment that the stand-ins play.
const (
	maxHold      = 2 * time.Second
	stopGrace    = 200 * time.Millisecond
	gangTimeout  = 3 * time.Second
	drainTimeout = time.Second
	workerGrace  = 4 * time.Second
	reclaim      = 6 * time.Second
	jobRetention = 5 * time.Minute
	machineLease = 500 * time.Millisecond
	// recoveryTime is how long after the last fault the promises with a time bound hold.
	recoveryTime = 4 * time.Second
	// maxFailures is how often a task may fail; every job in a queue of the soak has it.
	maxFailures = 3
)
