package route

import (
	"hash/fnv"
	"slices"
	"time"
)

// Defaults of Budget and Backoff.
const (
	// DefaultRetryRatio is the share of requests that may be retried.
	DefaultRetryRatio = 0.1
	// DefaultRetryBurst bounds the retries that accumulate while nothing fails.
	DefaultRetryBurst = 10.0
	// BackoffBase bounds the delay before the first retry; the bound doubles with each retry.
	BackoffBase = 5 * time.Millisecond
	// BackoffMax bounds the delay before any retry.
	BackoffMax = 250 * time.Millisecond
)

// Budget is a token bucket that bounds retries to a share of requests.
type Budget struct {
	ratio, burst, tokens float64
}

// NewBudget returns a full budget; zero values take the defaults.
func NewBudget(ratio, burst float64) *Budget {
	b := &Budget{ratio: orDefault(ratio, DefaultRetryRatio), burst: orDefault(burst, DefaultRetryBurst)}
	b.tokens = b.burst
	return b
}

// Deposit adds the credit of one request.
func (b *Budget) Deposit() { b.tokens = min(b.tokens+b.ratio, b.burst) }

// Withdraw reports whether one retry is allowed and takes its token.
func (b *Budget) Withdraw() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Tokens returns the number of retries that are allowed at once.
func (b *Budget) Tokens() float64 { return b.tokens }

// Backoff returns the delay before the given retry, counted from 1: rnd, in [0, 1), times a bound
// that doubles with each retry.
func Backoff(retry int, rnd float64) time.Duration {
	bound := BackoffMax
	if retry < 16 {
		bound = min(BackoffBase<<(retry-1), BackoffMax)
	}
	return time.Duration(rnd * float64(bound))
}

// LimitShare returns the part of a team's limit that the entry self may use. The parts of all
// entries add up to the limit; which entries get the remainder differs by team.
func LimitShare(limit int, team, self string, entries []string) int {
	names := slices.Clone(entries)
	if !slices.Contains(names, self) {
		names = append(names, self)
	}
	slices.Sort(names)
	names = slices.Compact(names)
	n := len(names)
	h := fnv.New32a()
	h.Write([]byte(team))
	rank := (slices.Index(names, self) + int(h.Sum32()%uint32(n))) % n
	share := limit / n
	if rank < limit%n {
		share++
	}
	return share
}
