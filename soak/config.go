package soak

import (
	"fmt"
	"time"
)

// Config configures one soak.
type Config struct {
	// Binary is the path of the built program.
	Binary string
	// Dir is the folder for settings, data folders and logs.
	Dir string
	// Seed seeds the schedule of faults and the choices of the simulated clients.
	Seed uint64
	// Controls and Entries are the numbers of processes, Workers is that of simulated workers.
	Controls, Entries, Workers int
	// FaultDuration is how long faults are injected.
	FaultDuration time.Duration
	// SettleTimeout bounds how long accepted jobs may take to end after the last fault.
	SettleTimeout time.Duration
}

// WithDefaults returns c with its zero numbers and durations replaced by defaults.
func (c Config) WithDefaults() Config {
	setDefault := func(n *int, v int) {
		if *n == 0 {
			*n = v
		}
	}
	setDefault(&c.Controls, 4)
	setDefault(&c.Entries, 4)
	setDefault(&c.Workers, 9)
	if c.FaultDuration == 0 {
		c.FaultDuration = 20 * time.Second
	}
	if c.SettleTimeout == 0 {
		c.SettleTimeout = 40 * time.Second
	}
	return c
}

// Report is the result of one soak.
type Report struct {
	Seed uint64
	// Faults, Jobs, Runs and Versions count injected faults, submitted jobs, started runs and sent configurations.
	Faults, Jobs, Runs, Versions int
	// Violations describes the broken invariants in the order in which they were found.
	Violations []string
}

// String returns one line of key=value pairs.
func (r Report) String() string {
	return fmt.Sprintf("seed=%d faults=%d jobs=%d runs=%d versions=%d violations=%d", r.Seed, r.Faults, r.Jobs, r.Runs, r.Versions, len(r.Violations))
}

// Time bounds and limits of the simulated deployment.
const (
	// maxHold bounds the lease that the response to a heartbeat grants.
	maxHold = 2 * time.Second
	// stopGrace bounds how long a run continues after a stop order.
	stopGrace = 200 * time.Millisecond
	// gangTimeout is how long the members of a gang wait for the last one to start.
	gangTimeout = 3 * time.Second
	// drainTimeout is the drain time that a draining worker reports. It leaves heartbeatTimeout later.
	drainTimeout = time.Second
	// terminationGrace is the time between SIGTERM and SIGKILL.
	terminationGrace = 4 * time.Second
	// reclaimBound is the reclaim time in the settings of the processes.
	reclaimBound = 6 * time.Second
	// jobRetention is how long ended jobs stay known.
	jobRetention = 5 * time.Minute
	// machineLease is the minimum time between orders of two lease holders for one machine.
	machineLease = 500 * time.Millisecond
	// recoveryTime is how long after the last fault the invariants with a time bound hold again.
	recoveryTime = 4 * time.Second
	// maxFailures is how often a task of the queue may fail before its job fails.
	maxFailures = 3
)
