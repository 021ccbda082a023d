package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
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
	// NoExpiryFaults leaves out the faults around the expiry of leases, for seeds from before them.
	NoExpiryFaults bool
	// NoIdleFaults leaves out the faults of workers that begin nothing, for seeds from before them.
	NoIdleFaults bool
	// Calm is how long traffic goes on without faults after the recovery; no answer may be missing then.
	Calm time.Duration
	// Closing is the fault at the end; an empty one is drawn from the seed.
	Closing Closing
	// Bounds names the time bounds of the deployment.
	Bounds BoundsName
	// Procs is GOMAXPROCS of the processes, 0 for the default of the runtime.
	Procs int
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
	if c.Bounds == "" {
		c.Bounds = SmallBounds
	}
	if c.Closing == "" {
		c.Closing = Closings[rand.New(rand.NewPCG(c.Seed, closingStream)).IntN(len(Closings))]
	}
	if c.FaultDuration == 0 {
		c.FaultDuration = 20 * time.Second
	}
	if c.SettleTimeout == 0 {
		c.SettleTimeout = 40 * time.Second
	}
	return c
}

// validate returns an error for a configuration that no soak can have.
func (c Config) validate() error {
	if n := c.Controls + c.Entries; n > maxMachines {
		return fmt.Errorf("%d machines are more than the %d that have an address", n, maxMachines)
	}
	if !slices.Contains(Closings, c.Closing) {
		return fmt.Errorf("unknown closing fault %q", c.Closing)
	}
	if _, ok := boundsByName[c.Bounds]; !ok {
		return fmt.Errorf("unknown bounds %q", c.Bounds)
	}
	return nil
}

// Report is the result of one soak.
type Report struct {
	Seed uint64
	// Faults, Jobs, Runs and Versions count injected faults, submitted jobs, started runs and sent configurations.
	Faults, Jobs, Runs, Versions int
	// Closing is the fault at the end.
	Closing Closing
	// LeaderChanges and LeadingEnded count the sessions of leaders that began and ended, by the logs.
	LeaderChanges, LeadingEnded int
	// CalmNoLeader is the longest time in calm in which no control machine led, by the logs.
	CalmNoLeader time.Duration
	// Violations describes the broken invariants in the order in which they were found.
	Violations []string
}

// String returns one line of key=value pairs.
func (r Report) String() string {
	return fmt.Sprintf("seed=%d faults=%d jobs=%d runs=%d versions=%d closing=%s leader_changes=%d leading_ended=%d calm_no_leader_s=%.1f violations=%d",
		r.Seed, r.Faults, r.Jobs, r.Runs, r.Versions, r.Closing, r.LeaderChanges, r.LeadingEnded, r.CalmNoLeader.Seconds(), len(r.Violations))
}
