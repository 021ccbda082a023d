package route

import (
	"math"
	"slices"
	"time"
)

// Defaults of Config.
const (
	// DefaultProbeMaxAge is the age of the last success beyond which an executor gets no new
	// requests.
	DefaultProbeMaxAge = 3 * time.Second
	// DefaultEjectAfter is the number of consecutive failures that eject an executor.
	DefaultEjectAfter = 5
	// DefaultEjectMin and DefaultEjectMax bound the length of an ejection, which doubles each time.
	DefaultEjectMin = time.Second
	DefaultEjectMax = 60 * time.Second
	// DefaultEjectShare bounds the share of executors ejected for errors or slowness at once.
	DefaultEjectShare = 1.0 / 3
	// DefaultSlowFactor is the multiple of the median latency beyond which an executor is an
	// outlier.
	DefaultSlowFactor = 4.0
	// DefaultRampTime is the time over which a recovering executor returns to its full share.
	DefaultRampTime = 10 * time.Second
)

const (
	// latencyWeight is the weight of a new sample in the moving averages of latency.
	latencyWeight = 0.1
	// minLatencySeconds bounds decay times from below, so that they are never zero.
	minLatencySeconds = 0.0005
	// minSamples is the number of latency samples before an executor can be considered slow.
	minSamples = 10
	// minPeers is the number of other executors with enough samples before their median is
	// meaningful.
	minPeers = 3
	// latencyMemorySeconds is the decay time of a high latency, so that a slow executor without
	// requests is tried again.
	latencyMemorySeconds = 10.0
	// minRampShare is the share of traffic that a recovering executor starts with.
	minRampShare = 0.1
	// latencyTolerance is the ratio to the average below which latency does not affect the choice;
	// the average of a few samples is too noisy to prefer one executor by less.
	latencyTolerance = 2.0
	// baseMargin is how close to its slots, in requests, an executor's estimated use counts as
	// full. The refusal margin is added to it: it grows by refusalMarginStep with each refusal and
	// shrinks so that about targetRefusalShare of the requests are refused, less than the retry
	// budget. Without it, at 150% load nine entries take each other's slots between the end of a
	// request and its report.
	baseMargin         = 1.0
	refusalMarginStep  = 0.1
	minRefusalMargin   = -0.5
	maxRefusalMargin   = 4.0
	targetRefusalShare = 0.08
	// slotReuseShare is the share of the average latency within which a slot freed by one of this
	// instance's requests is reused without the refusal margin.
	slotReuseShare = 0.1
	// exploreInterval is the minimum time between requests to executors that seem full.
	exploreInterval = 10 * time.Millisecond
	// spilloverThreshold is the share of slots in use on the best executor of the preferred data
	// centre beyond which other data centres compete.
	spilloverThreshold = 0.9
)

// Config holds the parameters of a Set; zero fields take the defaults.
type Config struct {
	ProbeMaxAge time.Duration
	EjectAfter  int
	EjectMin    time.Duration
	EjectMax    time.Duration
	EjectShare  float64
	SlowFactor  float64
	RampTime    time.Duration
}

func orDefault[T comparable](v, def T) T {
	var zero T
	if v == zero {
		return def
	}
	return v
}

func (c Config) withDefaults() Config {
	c.ProbeMaxAge = orDefault(c.ProbeMaxAge, DefaultProbeMaxAge)
	c.EjectAfter = orDefault(c.EjectAfter, DefaultEjectAfter)
	c.EjectMin = orDefault(c.EjectMin, DefaultEjectMin)
	c.EjectMax = orDefault(c.EjectMax, DefaultEjectMax)
	c.EjectShare = orDefault(c.EjectShare, DefaultEjectShare)
	c.SlowFactor = orDefault(c.SlowFactor, DefaultSlowFactor)
	c.RampTime = orDefault(c.RampTime, DefaultRampTime)
	return c
}

// ID identifies one incarnation of an executor.
type ID struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"incarnation"`
}

// Executor is an executor as announced to a Set.
type Executor struct {
	ID
	DataCentre string `json:"data_centre"`
	Address    string `json:"address"`
	HealthPath string `json:"health_path,omitempty"`
	Slots      int    `json:"slots"`
	// Limit bounds this instance's requests in flight to the executor; 0 means Slots.
	Limit int `json:"limit,omitempty"`
}

// Load is an executor's report of its use.
type Load struct {
	InUse int `json:"in_use"`
	Slots int `json:"slots"`
}

// member is the state of one executor in a Set.
type member struct {
	Executor
	inFlight       int
	othersInUse    float64 // requests of other instances at loadReportedAt
	totalInUse     float64 // all requests at loadReportedAt
	loadReportedAt time.Time
	slotFreed      bool    // a request of this instance has freed a slot since the last pick
	meanLatency    float64 // moving average in seconds
	samples        int
	sampledAt      time.Time
	firstSeen      time.Time
	lastSuccess    time.Time
	failures       int
	ejectedUntil   time.Time
	nextEjection   time.Duration // length of the next ejection
	connectFailed  bool          // the current ejection is for a failed connection
	ejections      int
}

// Set holds the executors of one service as one instance sees them.
type Set struct {
	cfg               Config
	members           []*member
	byName            map[string]*member
	meanLatency       float64 // moving average over all executors, in seconds
	othersInUseSum    float64
	totalInUseSum     float64
	meanDeviation     float64 // moving average of the difference from meanLatency, in seconds
	refusalMargin     float64 // extra margin for outdated reports, in requests
	inFlight          int
	exploredAt        time.Time
	preferred, remote []candidate // scratch space of Pick
}

// candidate is an executor that may be picked, with its estimated slots in use.
type candidate struct {
	member *member
	inUse  float64
}

// NewSet returns an empty set.
func NewSet(cfg Config) *Set {
	return &Set{cfg: cfg.withDefaults(), byName: map[string]*member{}}
}

// Update replaces the executors; those with the same name and incarnation keep their state.
func (s *Set) Update(now time.Time, list []Executor) {
	next := make([]*member, 0, len(list))
	byName := make(map[string]*member, len(list))
	s.othersInUseSum, s.totalInUseSum, s.inFlight = 0, 0, 0
	for _, x := range list {
		m := s.byName[x.Name]
		if m == nil || m.Incarnation != x.Incarnation {
			m = &member{firstSeen: now, nextEjection: s.cfg.EjectMin}
		}
		m.Executor = x
		next = append(next, m)
		byName[x.Name] = m
		s.othersInUseSum += m.othersInUse
		s.totalInUseSum += m.totalInUse
		s.inFlight += m.inFlight
	}
	s.members, s.byName = next, byName
}

// Len returns the number of executors, including unusable ones.
func (s *Set) Len() int { return len(s.members) }

// Executors returns the executors.
func (s *Set) Executors() []Executor {
	out := make([]Executor, 0, len(s.members))
	for _, m := range s.members {
		out = append(out, m.Executor)
	}
	return out
}

// InFlight returns the number of this instance's requests in flight.
func (s *Set) InFlight() int { return s.inFlight }

// Latency returns the moving average of the time of a request; 0 if none has ended.
func (s *Set) Latency() time.Duration { return time.Duration(s.meanLatency * float64(time.Second)) }

// ExpectedLatency returns the time within which most requests end: the average latency plus the
// average deviation from it.
func (s *Set) ExpectedLatency() time.Duration {
	return time.Duration((s.meanLatency + s.meanDeviation) * float64(time.Second))
}

// Query describes which executors a request may use.
type Query struct {
	// PreferredDataCentre is the data centre whose executors are used first.
	PreferredDataCentre string
	// AllowedDataCentres holds the data centres that may be used.
	AllowedDataCentres map[string]bool
	// Tried names executors that are used only if no other is left.
	Tried []string
	// Rand returns a number in [0, 1).
	Rand func() float64
}

// PickStatus is the result of a pick.
type PickStatus int

// The results of a pick.
const (
	// Picked means that an executor was chosen and the request counts as in flight.
	Picked PickStatus = iota
	// Full means that executors may be used, but none has a free slot by estimate.
	Full
	// Unavailable means that no executor may be used.
	Unavailable
)

// Assignment is a request that counts as in flight to an executor until Done.
type Assignment struct {
	Executor
	member *member
}

// Pick chooses an executor by the power of two choices on the expected wait, and counts the request
// as in flight until Done.
func (s *Set) Pick(now time.Time, q Query) (Assignment, PickStatus) {
	v := s.collectCandidates(now, q, true)
	if v == Unavailable || v == Full && len(q.Tried) > 0 {
		if v2 := s.collectCandidates(now, q, false); v2 == Picked || v == Unavailable {
			v = v2
		}
	}
	if v == Full {
		if m := s.explore(now, q); m != nil {
			return s.assign(m), Picked
		}
	}
	if v != Picked {
		return Assignment{}, v
	}
	best := s.pickOfTwo(now, s.preferred, q.Rand)
	if best.member == nil || best.inUse >= spilloverThreshold*float64(best.member.Slots) {
		if other := s.pickOfTwo(now, s.remote, q.Rand); other.member != nil && (best.member == nil || s.cost(now, other) < s.cost(now, best)) {
			best = other
		}
	}
	return s.assign(best.member), Picked
}

// assign counts a request to m as in flight.
func (s *Set) assign(m *member) Assignment {
	m.inFlight++
	m.slotFreed = false
	s.inFlight++
	return Assignment{Executor: m.Executor, member: m}
}

// explore returns the executor with the oldest load report, at most once in the time of a request.
// If all executors seem full and few of this instance's requests end, slots freed by other
// instances would otherwise remain unknown.
func (s *Set) explore(now time.Time, q Query) *member {
	age := max(s.Latency(), exploreInterval)
	if now.Sub(s.exploredAt) < age {
		return nil
	}
	var oldest *member
	for _, m := range s.members {
		if !q.AllowedDataCentres[m.DataCentre] || !s.eligible(m, now) || m.inFlight >= m.limit() || now.Sub(m.loadReportedAt) < age {
			continue
		}
		if oldest == nil || m.loadReportedAt.Before(oldest.loadReportedAt) {
			oldest = m
		}
	}
	if oldest != nil {
		s.exploredAt = now
	}
	return oldest
}

// collectCandidates fills the candidate lists; strict leaves out executors that were tried and
// recovering ones that rampAdmits rejects.
func (s *Set) collectCandidates(now time.Time, q Query, strict bool) PickStatus {
	s.preferred, s.remote = s.preferred[:0], s.remote[:0]
	usable := false
	for _, m := range s.members {
		if !q.AllowedDataCentres[m.DataCentre] || !s.eligible(m, now) {
			continue
		}
		if strict && (slices.Contains(q.Tried, m.Name) || !s.rampAdmits(m, now, q.Rand)) {
			continue
		}
		usable = true
		used := s.estimateInUse(m, now)
		if m.inFlight >= m.limit() || used > float64(m.Slots)-s.requiredMargin(m, now) {
			continue
		}
		if m.DataCentre == q.PreferredDataCentre {
			s.preferred = append(s.preferred, candidate{m, used})
		} else {
			s.remote = append(s.remote, candidate{m, used})
		}
	}
	switch {
	case len(s.preferred)+len(s.remote) > 0:
		return Picked
	case usable:
		return Full
	default:
		return Unavailable
	}
}

// limit returns the bound on this instance's requests in flight to the executor.
func (m *member) limit() int {
	if m.Limit > 0 {
		return min(m.Limit, m.Slots)
	}
	return m.Slots
}

// eligible reports whether an executor has had a recent success and is not ejected.
func (s *Set) eligible(m *member, now time.Time) bool {
	return !m.lastSuccess.IsZero() && now.Sub(m.lastSuccess) <= s.cfg.ProbeMaxAge && !now.Before(m.ejectedUntil)
}

// rampAdmits lets a recovering executor take part in a growing share of picks.
func (s *Set) rampAdmits(m *member, now time.Time, rnd func() float64) bool {
	if m.ejectedUntil.IsZero() {
		return true
	}
	since := now.Sub(m.ejectedUntil)
	if since >= s.cfg.RampTime {
		return true
	}
	return rnd() < minRampShare+(1-minRampShare)*float64(since)/float64(s.cfg.RampTime)
}

// requiredMargin returns how many slots must be free by estimate.
func (s *Set) requiredMargin(m *member, now time.Time) float64 {
	if m.slotFreed && now.Sub(m.loadReportedAt).Seconds() <= slotReuseShare*s.meanLatency {
		return baseMargin
	}
	return baseMargin + min(s.refusalMargin, float64(m.Slots)/2)
}

// estimateInUse estimates the slots in use. A load report loses its weight against the average
// within the time of a request. Near saturation the use of other instances is what this instance's
// requests leave, so the total in use is estimated as well, and the higher estimate counts.
func (s *Set) estimateInUse(m *member, now time.Time) float64 {
	own := float64(m.inFlight)
	if m.loadReportedAt.IsZero() {
		return own
	}
	n := float64(len(s.members))
	reportWeight := math.Exp(-now.Sub(m.loadReportedAt).Seconds() / max(s.meanLatency, minLatencySeconds))
	others := s.othersInUseSum/n*(1-reportWeight) + m.othersInUse*reportWeight
	total := s.totalInUseSum/n*(1-reportWeight) + m.totalInUse*reportWeight
	return max(own+others, total)
}

// pickOfTwo returns the cheaper of two random candidates.
func (s *Set) pickOfTwo(now time.Time, list []candidate, rnd func() float64) candidate {
	switch len(list) {
	case 0:
		return candidate{}
	case 1:
		return list[0]
	}
	i := randomIndex(rnd, len(list))
	j := randomIndex(rnd, len(list)-1)
	if j >= i {
		j++
	}
	a, b := list[i], list[j]
	if s.cost(now, b) < s.cost(now, a) {
		return b
	}
	return a
}

func randomIndex(rnd func() float64, n int) int { return min(int(rnd()*float64(n)), n-1) }

// cost returns the expected wait relative to an idle executor of average speed.
func (s *Set) cost(now time.Time, c candidate) float64 {
	cost := (c.inUse + 1) / float64(c.member.Slots)
	if c.member.samples < minSamples || s.meanLatency == 0 {
		return cost
	}
	if ratio := c.member.meanLatency / s.meanLatency; ratio > latencyTolerance {
		cost *= 1 + (ratio-1)*math.Exp(-now.Sub(c.member.sampledAt).Seconds()/latencyMemorySeconds)
	}
	return cost
}
