package entry

import (
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"turmericroute/model"
	"turmericroute/route"
)

// requestMetrics holds the metrics of the request path.
type requestMetrics struct {
	set           *metrics.Set
	attempts      *metrics.Counter
	retries       *metrics.Counter
	retriesDenied *metrics.Counter
	refusals      *metrics.Counter
	failures      *metrics.Counter
	probeFailures *metrics.Counter
	requests      sync.Map // *metrics.Counter by requestLabels
	durations     sync.Map // *metrics.Histogram by service
}

type requestLabels struct {
	service string
	outcome model.Outcome
	code    model.Code
}

func newRequestMetrics(set *metrics.Set, e *Entry) *requestMetrics {
	set.GetOrCreateGauge("turmericroute_entry_requests_in_flight_count", func() float64 {
		e.mu.Lock()
		defer e.mu.Unlock()
		return float64(e.inFlight)
	})
	return &requestMetrics{
		set:           set,
		attempts:      set.GetOrCreateCounter("turmericroute_entry_attempts_total"),
		retries:       set.GetOrCreateCounter("turmericroute_entry_retries_total"),
		retriesDenied: set.GetOrCreateCounter("turmericroute_entry_retries_denied_total"),
		refusals:      set.GetOrCreateCounter("turmericroute_entry_upstream_refusals_total"),
		failures:      set.GetOrCreateCounter("turmericroute_entry_upstream_failures_total"),
		probeFailures: set.GetOrCreateCounter("turmericroute_entry_probe_failures_total"),
	}
}

// countFailure counts a failed attempt, except one that says nothing about the executor.
func (c *requestMetrics) countFailure(f *failure) {
	switch f.kind {
	case route.Refused:
		c.refusals.Inc()
	case route.Abandoned:
	default:
		c.failures.Inc()
	}
}

// registerQueueGauge registers the gauge of the requests queued for a service.
func (c *requestMetrics) registerQueueGauge(e *Entry, name string) {
	c.set.GetOrCreateGauge(fmt.Sprintf("turmericroute_entry_requests_waiting_count{service=%q}", name), func() float64 {
		e.mu.Lock()
		s := e.services[name]
		e.mu.Unlock()
		if s == nil {
			return 0
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		return float64(s.queue.Len())
	})
}

// countRequest counts a request and its duration. Requests for services that don't exist share one
// label, which bounds the number of metrics.
func (c *requestMetrics) countRequest(q *request, err *model.Error, d time.Duration) {
	l := requestLabels{service: q.service, outcome: err.Outcome, code: err.Code}
	if err.Code == model.CodeNotFound || err.Code == model.CodeInvalid {
		l.service = ""
	}
	v, ok := c.requests.Load(l)
	if !ok {
		v, _ = c.requests.LoadOrStore(l, c.set.GetOrCreateCounter(
			fmt.Sprintf("turmericroute_entry_requests_total{service=%q,outcome=%q,code=%q}", l.service, l.outcome, l.code)))
	}
	v.(*metrics.Counter).Inc()
	h, ok := c.durations.Load(l.service)
	if !ok {
		h, _ = c.durations.LoadOrStore(l.service, c.set.GetOrCreateHistogram(
			fmt.Sprintf("turmericroute_entry_request_duration_seconds{service=%q}", l.service)))
	}
	h.(*metrics.Histogram).Update(d.Seconds())
}
