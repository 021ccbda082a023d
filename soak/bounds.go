package soak

import "time"

// BoundsName names the time bounds of a deployment.
type BoundsName string

// The deployments whose time bounds a soak can have.
const (
	SmallBounds BoundsName = "small"
	LargeBounds BoundsName = "large"
)

// bounds are the time bounds and limits of the simulated deployment.
type bounds struct {
	// maxHold bounds the lease that the response to a heartbeat grants.
	maxHold time.Duration
	// stopGrace bounds how long a run continues after a stop order.
	stopGrace time.Duration
	// gangTimeout is how long the members of a gang wait for the last one to start.
	gangTimeout time.Duration
	// drainTimeout is the drain time that a draining worker reports. It leaves heartbeatTimeout later.
	drainTimeout time.Duration
	// terminationGrace is the time between SIGTERM and SIGKILL.
	terminationGrace time.Duration
	// reclaim is the reclaim time in the settings of the processes.
	reclaim time.Duration
	// machineLease is the minimum time between orders of two lease holders for one machine.
	machineLease time.Duration
	// recovery is how long after the last fault the invariants with a time bound hold again.
	recovery time.Duration
	// acknowledge bounds the time until a configuration is acknowledged in calm.
	acknowledge time.Duration
	// outage is the time after the acknowledgement of an outage from which no run may start in the data centre.
	outage time.Duration
	// checkpointInterval is the work time between two checkpoints.
	checkpointInterval time.Duration
	// minWork and workRange give the work time of a task.
	minWork, workRange time.Duration
	// dataCentres is the number of data centres over which machines and hosts are spread.
	dataCentres int
}

// boundsByName holds the bounds of each deployment.
var boundsByName = map[BoundsName]bounds{
	SmallBounds: {
		maxHold: 2 * time.Second, stopGrace: 200 * time.Millisecond, gangTimeout: 3 * time.Second, drainTimeout: time.Second, terminationGrace: 4 * time.Second,
		reclaim: 6 * time.Second, machineLease: 500 * time.Millisecond, recovery: 4 * time.Second, acknowledge: 4 * time.Second, outage: 2 * time.Second,
		checkpointInterval: 100 * time.Millisecond, minWork: 150 * time.Millisecond, workRange: 900 * time.Millisecond, dataCentres: 3,
	},
	LargeBounds: {
		maxHold: 6 * time.Second, stopGrace: 400 * time.Millisecond, gangTimeout: 5 * time.Second, drainTimeout: 3 * time.Second, terminationGrace: 6 * time.Second,
		reclaim: 5900 * time.Millisecond, machineLease: 3 * time.Second, recovery: 8 * time.Second, acknowledge: 6 * time.Second, outage: 5 * time.Second,
		checkpointInterval: time.Second, minWork: time.Second, workRange: 4 * time.Second, dataCentres: 6,
	},
}

const (
	// jobRetention is how long ended jobs stay known.
	jobRetention = 5 * time.Minute
	// maxFailures is how often a task of the queue may fail before its job fails.
	maxFailures = 3
	// maxMachines is the number of addresses in the subnet of a soak.
	maxMachines = 254
)
