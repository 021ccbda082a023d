package quota

import (
	"fmt"
	"math"
	"strconv"
)

// Amounts holds an amount of each limited resource.
type Amounts struct {
	CPUMilli, MemoryMB, GPUs int
}

// Plus returns the sum of a and b.
func (a Amounts) Plus(b Amounts) Amounts {
	return Amounts{CPUMilli: a.CPUMilli + b.CPUMilli, MemoryMB: a.MemoryMB + b.MemoryMB, GPUs: a.GPUs + b.GPUs}
}

// Minus returns the difference of a and b, which may be negative.
func (a Amounts) Minus(b Amounts) Amounts {
	return Amounts{CPUMilli: a.CPUMilli - b.CPUMilli, MemoryMB: a.MemoryMB - b.MemoryMB, GPUs: a.GPUs - b.GPUs}
}

// Times returns the sum of n times a.
func (a Amounts) Times(n int) Amounts {
	return Amounts{CPUMilli: a.CPUMilli * n, MemoryMB: a.MemoryMB * n, GPUs: a.GPUs * n}
}

// Resource is one of the limited resources.
type Resource int

// The limited resources.
const (
	Accelerators Resource = iota
	Cores
	Memory
)

// ResourceCount is the number of limited resources.
const ResourceCount = 3

// Resources returns all limited resources.
func Resources() [ResourceCount]Resource { return [...]Resource{Accelerators, Cores, Memory} }

// Of returns the amount of a resource.
func (a Amounts) Of(r Resource) int {
	switch r {
	case Cores:
		return a.CPUMilli
	case Memory:
		return a.MemoryMB
	default:
		return a.GPUs
	}
}

// Limit is the most that a team may use at once; 0 means that a resource is not limited.
type Limit Amounts

// Limited reports whether any resource is limited.
func (l Limit) Limited() bool { return l != Limit{} }

// Half returns half of the limit, rounded up: a limit of one must not become 0, which means none.
func (l Limit) Half() Limit {
	return Limit{CPUMilli: (l.CPUMilli + 1) / 2, MemoryMB: (l.MemoryMB + 1) / 2, GPUs: (l.GPUs + 1) / 2}
}

// Exceeded reports whether the use of any resource is above the limit.
func (l Limit) Exceeded(used Amounts) bool { return !l.Allows(used, Amounts{}) }

// Allows reports whether a team that uses some amounts may use more of them. Nothing more is allowed while the use of any
// resource is above the limit, as it is after the limit has been lowered.
func (l Limit) Allows(used, more Amounts) bool {
	_, short := l.Shortage(used, more)
	return !short
}

// Count returns how many tasks a team may start at most, given what it uses and what each of them needs.
func (l Limit) Count(used, need Amounts) int {
	if l.Exceeded(used) {
		return 0
	}
	n := math.MaxInt
	for _, r := range Resources() {
		limit, each := Amounts(l).Of(r), need.Of(r)
		if limit > 0 && each > 0 {
			n = min(n, (limit-used.Of(r))/each)
		}
	}
	return n
}

// Shortage returns the first resource of which a team that uses some amounts may not use so much more, and false if there
// is none.
func (l Limit) Shortage(used, more Amounts) (Shortage, bool) {
	for _, r := range Resources() {
		limit := Amounts(l).Of(r)
		if limit > 0 && used.Of(r)+more.Of(r) > limit {
			return Shortage{Resource: r, Used: used.Of(r), Needed: more.Of(r), Limit: limit}, true
		}
	}
	return Shortage{}, false
}

// Shortage is what keeps a team from using more of a resource.
type Shortage struct {
	Resource            Resource
	Used, Needed, Limit int
}

// String returns for example "499 of 499 accelerators".
func (s Shortage) String() string {
	return fmt.Sprintf("%s of %s", s.Resource.number(s.Used), s.Resource.Format(s.Limit))
}

// Format returns an amount of the resource with its unit, for example "9.5 cores".
func (r Resource) Format(n int) string {
	unit := r.String()
	if r == Memory {
		unit = "MB of memory"
	}
	return r.number(n) + " " + unit
}

func (r Resource) number(n int) string {
	if r == Cores {
		return strconv.FormatFloat(float64(n)/r.PerUnit(), 'f', -1, 64)
	}
	return strconv.Itoa(n)
}

// Reason returns why work of a team waits, for example "waits for the quota of team x: 499 of 499 accelerators".
func (s Shortage) Reason(team string) string {
	return fmt.Sprintf("waits for the quota of team %s: %s", team, s)
}

// PerUnit returns how many of an amount make up the unit in which the resource is shown: cores, MB or accelerators.
func (r Resource) PerUnit() float64 {
	if r == Cores {
		return 1000
	}
	return 1
}

// String returns the name of the resource.
func (r Resource) String() string {
	switch r {
	case Cores:
		return "cores"
	case Memory:
		return "memory"
	default:
		return "accelerators"
	}
}
