package sched

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"
)

// Limits are the time limits of a deployment; package platform reads them from the settings.
type Limits struct {
	// MaxLease is the longest lease that workers accept.
	MaxLease time.Duration
	// StopGrace bounds the time that a worker takes to stop a run.
	StopGrace time.Duration
	// GangTimeout is how long a member of a gang waits on its worker for the others; 0 means that it waits for ever.
	GangTimeout time.Duration
	// Reclaim bounds the time from acceptance to start of a job within its team's guarantee.
	Reclaim time.Duration
	// FinishedRetention is how long a finished job can be queried.
	FinishedRetention time.Duration
	// HandoverDelay is the minimum time between maintenance orders of two leaders for one machine.
	HandoverDelay time.Duration
	// MaintenanceTime is how long the maintenance of a machine takes.
	MaintenanceTime time.Duration
	// OffRackFactor is the factor by which a step takes longer off its preferred rack; 0 means defaultOffRackFactor.
	OffRackFactor float64
}

// Adviser queries the policy service for the workers that may run a step.
type Adviser interface {
	// Advise returns a ticket for each worker that may run the step, and how long the tickets are valid.
	Advise(ctx context.Context, step string, workers []string) (tickets map[string]string, validity time.Duration, _ error)
}

// Refusal is the reason for which the provider refused an order; empty if it carried the order out.
type Refusal string

// The provider's refusals.
const (
	RefusedFence Refusal = "fence"
	RefusedBusy  Refusal = "busy"
	RefusedWave  Refusal = "wave"
	RefusedOther Refusal = "other"
)

// Provider maintains hosts.
type Provider interface {
	// Maintain takes a host down for maintenance at once. After an error the outcome is unknown.
	Maintain(ctx context.Context, machine string, wave int64, holder string, fence uint64) (Refusal, error)
}

// Config describes a scheduler.
type Config struct {
	// Name identifies this process to the provider as the holder of the fencing token.
	Name    string
	Limits  Limits
	Logger  log.Logger
	Metrics *metrics.Set
	// Adviser and Provider are nil if the deployment has none.
	Adviser  Adviser
	Provider Provider
	// BootClock and WallClock default to clock.SinceBoot and time.Now; tests replace them.
	BootClock func() time.Duration
	WallClock func() time.Time
}
