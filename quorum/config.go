package quorum

import "fmt"

// Defaults of Config.
const (
	DefaultElectionTicks  = 8
	DefaultHeartbeatTicks = 2
	DefaultMaxDrift       = 0.10
	// DefaultMaxBatchBytes stays well below the 4 MiB that grpc-go accepts in one message.
	DefaultMaxBatchBytes = 1 << 20
)

// Config holds what a member starts from.
type Config struct {
	// ID is the identity of this member's disk.
	ID string
	// Membership is the membership before the first of Entries when there is no
	// Snapshot: the bootstrap set, or empty in a member that waits to be added.
	Membership Membership
	// HardState is what was last synced.
	HardState HardState
	// Snapshot is the last snapshot, nil at first start; its membership replaces Membership.
	Snapshot *Snapshot
	// Entries is the log after the snapshot, contiguous; earlier entries are skipped.
	Entries []Entry
	// ElectionTicks is the minimum election timeout; the maximum is twice that.
	ElectionTicks int
	// HeartbeatTicks is the time between heartbeats.
	HeartbeatTicks int
	// MaxDrift bounds how much slower one member's ticks are than another's, as a fraction.
	MaxDrift float64
	// Rand returns a number from 0 to n-1.
	Rand func(n int) int
	// MaxBatchBytes bounds the entries of one append; one larger entry is sent alone.
	MaxBatchBytes int
}

func (c Config) withDefaults() Config {
	if c.ElectionTicks == 0 {
		c.ElectionTicks = DefaultElectionTicks
	}
	if c.HeartbeatTicks == 0 {
		c.HeartbeatTicks = DefaultHeartbeatTicks
	}
	if c.MaxDrift == 0 {
		c.MaxDrift = DefaultMaxDrift
	}
	if c.MaxBatchBytes == 0 {
		c.MaxBatchBytes = DefaultMaxBatchBytes
	}
	return c
}

func (c Config) validate() error {
	switch {
	case c.ID == "":
		return fmt.Errorf("%w: no ID", ErrConfig)
	case c.Rand == nil:
		return fmt.Errorf("%w: no Rand", ErrConfig)
	case c.ElectionTicks < 0 || c.HeartbeatTicks < 0 || c.MaxBatchBytes < 0:
		return fmt.Errorf("%w: negative bound", ErrConfig)
	case c.MaxDrift < 0 || c.MaxDrift >= 1:
		return fmt.Errorf("%w: drift %v is not in [0, 1)", ErrConfig, c.MaxDrift)
	case c.leaseTicks() <= c.HeartbeatTicks:
		return fmt.Errorf("%w: a lease of %d ticks ends before the next heartbeat", ErrConfig, c.leaseTicks())
	}
	return nil
}

// leaseTicks returns how many of its own ticks a leader may count on a round
// that a majority answered. A voter that heard the round in the middle of a
// tick refuses votes for more than ElectionTicks-1 whole ticks, and its ticks
// may be shorter than the leader's by MaxDrift.
func (c Config) leaseTicks() int {
	return int(float64(c.ElectionTicks-1) * (1 - c.MaxDrift))
}
