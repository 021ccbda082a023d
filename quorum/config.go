package quorum

import "fmt"

// Default values for Config.
const (
	DefaultElectionTicks  = 8
	DefaultHeartbeatTicks = 2
	DefaultMaxDrift       = 0.10
	// DefaultMaxBatchBytes stays well below the 4 MiB that grpc-go accepts in one message.
	DefaultMaxBatchBytes = 1 << 20
)

// Config holds a member's settings and the state that it recovered from disk.
type Config struct {
	// ID is this member's ID, as stored on its disk.
	ID string
	// Membership is the membership before the first of Entries when there is no
	// Snapshot: the bootstrap membership, or empty in a member that is yet to be added.
	Membership Membership
	// HardState is the last synced hard state.
	HardState HardState
	// Snapshot is the last snapshot, nil at the first start; its membership overrides Membership.
	Snapshot *Snapshot
	// Entries is the contiguous log after the snapshot; entries that the snapshot covers are skipped.
	Entries []Entry
	// ElectionTicks is the minimum election timeout in ticks; the maximum is twice that.
	ElectionTicks int
	// HeartbeatTicks is the interval between heartbeats in ticks.
	HeartbeatTicks int
	// MaxDrift bounds clock drift: the fraction by which one member's ticks may be shorter than another's.
	MaxDrift float64
	// Rand returns a random number from 0 to n-1.
	Rand func(n int) int
	// MaxBatchBytes bounds the entries of one append in bytes; a single larger entry is sent alone.
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
		return fmt.Errorf("%w: ID is empty", ErrConfig)
	case c.Rand == nil:
		return fmt.Errorf("%w: Rand is nil", ErrConfig)
	case c.ElectionTicks < 0 || c.HeartbeatTicks < 0 || c.MaxBatchBytes < 0:
		return fmt.Errorf("%w: ElectionTicks, HeartbeatTicks and MaxBatchBytes must not be negative", ErrConfig)
	case c.MaxDrift < 0 || c.MaxDrift >= 1:
		return fmt.Errorf("%w: MaxDrift %v is not in [0, 1)", ErrConfig, c.MaxDrift)
	case c.leaseTicks() <= c.HeartbeatTicks:
		return fmt.Errorf("%w: a lease of %d ticks expires before the next heartbeat", ErrConfig, c.leaseTicks())
	}
	return nil
}

// leaseTicks returns the length of the leader lease in the leader's own ticks,
// counted from the start of a round that a majority answered. A voter that
// received the round in the middle of a tick refuses votes for more than
// ElectionTicks-1 whole ticks, and its ticks may be shorter than the leader's
// by MaxDrift.
func (c Config) leaseTicks() int {
	return int(float64(c.ElectionTicks-1) * (1 - c.MaxDrift))
}
