package sched

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"
)

// Limits are the times that a deployment promises or demands; package platform reads them from the settings.
type Limits struct {
	// MaxLease bounds a lease that a worker accepts.
	MaxLease time.Duration
	// StopGrace is how long a worker may take to stop a run.
	StopGrace time.Duration
	// Reclaim is how soon a guaranteed job must have begun after its acceptance.
	Reclaim time.Duration
	// FinishedRetention is how long a finished job can be asked for.
	FinishedRetention time.Duration
	// HandoverDelay is the least time between orders of two leaders for one machine.
	HandoverDelay time.Duration
	// MaintenanceTime is how long a machine is away for maintenance.
	MaintenanceTime time.Duration
}

// Adviser asks the policy service which workers may run a step.
type Adviser interface {
	// Advise returns a ticket for each worker that may run the step, and how long the tickets are valid.
	Advise(ctx context.Context, step string, workers []string) (tickets map[string]string, validity time.Duration, _ error)
}

// Refusal says why the provider refuses an order; empty means that it carried it out.
type Refusal string

// The provider's refusals.
const (
	RefusedFence Refusal = "fence"
	RefusedBusy  Refusal = "busy"
	RefusedWave  Refusal = "wave"
	RefusedOther Refusal = "other"
)

// Provider orders maintenance of hosts.
type Provider interface {
	// Maintain takes a host down for maintenance at once. An error means that the outcome is not known.
	Maintain(ctx context.Context, machine string, wave int64, holder string, fence uint64) (Refusal, error)
}

// Config describes a scheduler.
type Config struct {
	// Name identifies this process to the provider.
	Name    string
	Limits  Limits
	Logger  log.Logger
	Metrics *metrics.Set
	// Adviser and Provider are nil where the deployment has none.
	Adviser  Adviser
	Provider Provider
	// BootClock and Wall replace the boot clock and the time of day in tests.
	BootClock func() time.Duration
	WallClock func() time.Time
}
