package route

import (
	"math"
	"slices"
	"time"
)

// ResultKind is how a request to an executor ended.
type ResultKind int

// The kinds of results.
const (
	// Succeeded means a complete response.
	Succeeded ResultKind = iota
	// ExecutorError means a complete response that reports a fault of the executor.
	ExecutorError
	// Refused means that the executor had no free slot and ran nothing.
	Refused
	// ConnectionLost means that the connection was lost or the response was cut short.
	ConnectionLost
	// TimedOut means that the deadline passed before the response was complete.
	TimedOut
	// ConnectFailed means that no connection could be made.
	ConnectFailed
	// Abandoned means that the request was not sent or its caller went away; it is no evidence
	// against the executor.
	Abandoned
)

// Result is the end of one request to an executor.
type Result struct {
	Kind    ResultKind
	Latency time.Duration
	// Load is the executor's report in the response; nil if there was none.
	Load *Load
}

// Done records the end of a picked request.
func (s *Set) Done(now time.Time, l Assignment, r Result) {
	m := l.member
	if s.byName[l.Name] != m {
		// The executor was removed, and may have been added again as another member.
		m.inFlight--
		return
	}
	s.recordLoad(m, now, r)
	m.inFlight--
	s.inFlight--
	s.adjustMargin(r.Kind)
	m.slotFreed = r.Kind == Succeeded && r.Load != nil
	switch r.Kind {
	case Succeeded:
		m.failures, m.lastSuccess = 0, now
		s.recordLatency(m, now, r.Latency)
		s.resetEjection(m, now)
		s.checkSlow(m, now)
	case ExecutorError:
		m.lastSuccess = now
		s.recordLatency(m, now, r.Latency)
		s.recordFailure(m, now)
	case Refused:
		m.lastSuccess = now
	case ConnectionLost:
		s.recordFailure(m, now)
	case TimedOut:
		// A deadline shorter than the usual latency is no evidence against the executor.
		if r.Latency.Seconds() > s.cfg.SlowFactor*s.meanLatency {
			s.recordFailure(m, now)
		}
	case ConnectFailed:
		s.eject(m, now, true)
	case Abandoned:
	}
}

// adjustMargin moves refusalMargin towards the target share of refusals.
func (s *Set) adjustMargin(k ResultKind) {
	switch k {
	case Refused:
		s.refusalMargin = min(s.refusalMargin+refusalMarginStep, maxRefusalMargin)
	case Succeeded, ExecutorError:
		s.refusalMargin = max(s.refusalMargin-refusalMarginStep*targetRefusalShare/(1-targetRefusalShare), minRefusalMargin)
	}
}

// Probe records the result of a health probe.
func (s *Set) Probe(now time.Time, id ID, ok bool, load *Load) {
	m := s.byName[id.Name]
	if m == nil || m.Incarnation != id.Incarnation || !ok {
		return
	}
	m.lastSuccess = now
	if load != nil {
		s.setLoad(m, now, load.InUse, load.InUse-m.inFlight)
	}
}

// recordLoad takes the load from a response; the request itself still counts as in flight on both
// sides.
func (s *Set) recordLoad(m *member, now time.Time, r Result) {
	switch {
	case r.Kind == Refused:
		// The refused request holds no slot.
		s.setLoad(m, now, m.Slots, m.Slots-(m.inFlight-1))
	case r.Load != nil:
		s.setLoad(m, now, r.Load.InUse-1, r.Load.InUse-m.inFlight)
	}
}

func (s *Set) setLoad(m *member, now time.Time, total, others int) {
	t := float64(min(max(total, 0), m.Slots))
	o := float64(min(max(others, 0), m.Slots))
	s.totalInUseSum += t - m.totalInUse
	s.othersInUseSum += o - m.othersInUse
	m.totalInUse, m.othersInUse, m.loadReportedAt = t, o, now
}

func (s *Set) recordLatency(m *member, now time.Time, latency time.Duration) {
	v := latency.Seconds()
	if s.meanLatency == 0 {
		s.meanLatency = v
	}
	m.meanLatency = movingAverage(m.meanLatency, v, m.samples == 0)
	s.meanDeviation = movingAverage(s.meanDeviation, math.Abs(v-s.meanLatency), false)
	s.meanLatency = movingAverage(s.meanLatency, v, false)
	m.samples++
	m.sampledAt = now
}

func movingAverage(old, v float64, first bool) float64 {
	if first {
		return v
	}
	return old + latencyWeight*(v-old)
}

// resetEjection resets the length of the next ejection once the executor has worked for twice that
// time.
func (s *Set) resetEjection(m *member, now time.Time) {
	if m.nextEjection > s.cfg.EjectMin && now.Sub(m.ejectedUntil) > 2*m.nextEjection {
		m.nextEjection = s.cfg.EjectMin
	}
}

// recordFailure counts a failure and ejects the executor after EjectAfter consecutive ones.
func (s *Set) recordFailure(m *member, now time.Time) {
	m.failures++
	if m.failures >= s.cfg.EjectAfter {
		s.eject(m, now, false)
	}
}

// checkSlow ejects an executor that is much slower than the median of the others.
func (s *Set) checkSlow(m *member, now time.Time) {
	if m.samples < minSamples || m.meanLatency < latencyTolerance*s.meanLatency {
		return
	}
	var others []float64
	for _, o := range s.members {
		if o != m && o.samples >= minSamples {
			others = append(others, o.meanLatency)
		}
	}
	if len(others) < minPeers {
		return
	}
	slices.Sort(others)
	if m.meanLatency > s.cfg.SlowFactor*others[len(others)/2] {
		s.eject(m, now, false)
	}
}

// eject excludes m for a time. An executor with errors or high latency stays if EjectShare of the
// executors are ejected already.
func (s *Set) eject(m *member, now time.Time, connectFailed bool) {
	if now.Before(m.ejectedUntil) {
		return
	}
	if !connectFailed && float64(s.countEjected(now)+1) > s.cfg.EjectShare*float64(len(s.members)) {
		return
	}
	m.ejectedUntil, m.connectFailed = now.Add(m.nextEjection), connectFailed
	m.nextEjection = min(2*m.nextEjection, s.cfg.EjectMax)
	m.ejections++
	m.failures, m.samples, m.meanLatency = 0, 0, 0
}

// countEjected returns the number of executors ejected for errors or slowness.
func (s *Set) countEjected(now time.Time) int {
	n := 0
	for _, m := range s.members {
		if !m.connectFailed && now.Before(m.ejectedUntil) {
			n++
		}
	}
	return n
}

// Unreachable returns the executors without a success for longer than age. Before the first
// success, the time counts from when they were added.
func (s *Set) Unreachable(now time.Time, age time.Duration) []ID {
	var out []ID
	for _, m := range s.members {
		since := m.lastSuccess
		if since.IsZero() {
			since = m.firstSeen
		}
		if now.Sub(since) > age {
			out = append(out, m.ID)
		}
	}
	return out
}

// HasRecentSuccess reports whether any executor had a success within age.
func (s *Set) HasRecentSuccess(now time.Time, age time.Duration) bool {
	for _, m := range s.members {
		if !m.lastSuccess.IsZero() && now.Sub(m.lastSuccess) <= age {
			return true
		}
	}
	return false
}

// View is the state of one executor for operators.
type View struct {
	Executor
	InFlight      int     `json:"in_flight"`
	OthersInUse   float64 `json:"others_in_use"`
	LatencyMS     float64 `json:"latency_ms"`
	Failures      int     `json:"failures"`
	Ejections     int     `json:"ejections"`
	Ejected       bool    `json:"ejected"`
	ConnectFailed bool    `json:"dead"`
	Usable        bool    `json:"usable"`
	LastSuccessMS int64   `json:"last_success_ms"`
}

// Views returns the state of all executors, sorted by name.
func (s *Set) Views(now time.Time) []View {
	out := make([]View, 0, len(s.members))
	for _, m := range s.members {
		v := View{
			Executor: m.Executor, InFlight: m.inFlight, OthersInUse: m.othersInUse, LatencyMS: m.meanLatency * 1000,
			Failures: m.failures, Ejections: m.ejections, Ejected: now.Before(m.ejectedUntil),
			Usable: s.eligible(m, now), LastSuccessMS: -1,
		}
		v.ConnectFailed = v.Ejected && m.connectFailed
		if !m.lastSuccess.IsZero() {
			v.LastSuccessMS = now.Sub(m.lastSuccess).Milliseconds()
		}
		out = append(out, v)
	}
	slices.SortFunc(out, func(a, b View) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return out
}
