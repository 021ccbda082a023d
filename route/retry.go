package route

import (
	"hash/fnv"
	"slices"
	"time"
)

// Defaults of Budget and Backoff.
const (
	// DefaultRetryRatio is the share of requests that may be sent again.
	DefaultRetryRatio = 0.1
	// DefaultRetryBurst bounds the retries saved up while nothing fails.
	DefaultRetryBurst = 10.0
	// BackoffBase is the bound of the first delay before a retry; it doubles each time.
	BackoffBase = 5 * time.Millisecond
	// BackoffMax bounds the delay before a retry.
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

// Deposit credits one request.
func (b *Budget) Deposit() { b.tokens = min(b.tokens+b.ratio, b.burst) }

// Withdraw reports whether one retry is allowed and takes it from the budget.
func (b *Budget) Withdraw() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Tokens returns the retries that are allowed at once.
func (b *Budget) Tokens() float64 { return b.tokens }

// Backoff returns the delay before the given retry, counted from 1, drawn evenly up to a bound that doubles.
func Backoff(retry int, rnd float64) time.Duration {
	bound := BackoffMax
	if retry < 16 {
		bound = min(BackoffBase<<(retry-1), BackoffMax)
	}
	return time.Duration(rnd * float64(bound))
}

// LimitShare returns the part of a team's limit that one of the entries may use. The parts of all
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
