package soak

import (
	"context"
	"net/http"
	"strings"
	"time"

	"turmericroute/batch"
	"turmericroute/platform/stand"
)

const (
	// calmReads is how often in a row a machine may be asked for the configuration in calm.
	calmReads = 3
	// machinesPerReader is the number of machines for each reader of configurations beyond the first.
	machinesPerReader = 40
	// outageObservation is how long starts are counted after the bound of an outage.
	outageObservation = 2 * time.Second
)

// keepCalm lets traffic go on without faults for the configured time.
func (s *soak) keepCalm(ctx context.Context) {
	if s.cfg.Calm <= 0 {
		return
	}
	began := time.Now()
	s.calmSince.Store(began.UnixNano())
	sleep(ctx, s.cfg.Calm)
	s.calmSince.Store(0)
	s.calm = span{began, time.Now()}
}

// inCalm reports whether a calm began before the time began and still lasts.
func (s *soak) inCalm(began time.Time) bool {
	since := s.calmSince.Load()
	return since != 0 && began.UnixNano() >= since
}

// checkCalmSubmission checks the result of a submission that began in calm.
func (s *soak) checkCalmSubmission(began time.Time, entry int, j *job, r stand.Reply, err error) {
	if !s.inCalm(began) {
		return
	}
	name := s.cluster.machines[s.cfg.Controls+entry%s.cfg.Entries].name
	switch {
	case err != nil:
		s.ledger.recordViolation("LOST: %s gives no answer to the submission of job %s in calm after %v: %v", name, j.id, time.Since(began), err)
	case r.Status == http.StatusBadGateway || r.Status == http.StatusGatewayTimeout:
		s.ledger.recordViolation("LOST: %s gives no clear answer to the submission of job %s in calm after %v: status %d", name, j.id, time.Since(began), r.Status)
	case r.Status == http.StatusServiceUnavailable && strings.Contains(string(r.Body), `"no_leader"`):
		s.ledger.recordViolation("LOST: %s refuses job %s in calm after %v for want of a leader", name, j.id, time.Since(began))
	}
}

// checkCalmConfig checks that a change of the configuration that began in calm at a
// machine, and has not ended, is not past its bound.
func (s *soak) checkCalmConfig(began time.Time, version uint64, machine string) {
	if d := time.Since(began); d >= s.bounds.acknowledge && s.inCalm(began) {
		s.ledger.recordViolation("CONFIG: version %d is not acknowledged in calm within %v of its first call, to %s", version, s.bounds.acknowledge, machine)
	}
}

// setOutage takes a data centre out of service or returns it, and reports whether that was acknowledged.
func (s *soak) setOutage(ctx context.Context, dc string, out bool) bool {
	s.ledger.noteDisruption(s.bounds.outage)
	c := s.newClient()
	for n := 0; ctx.Err() == nil && n < 3*len(s.cluster.machines); n++ {
		callCtx, cancel := context.WithTimeout(ctx, operatorTimeout)
		r, err := c.SetOutage(callCtx, s.controlAddress(n), batch.Outage{DataCentre: dc, Out: out})
		cancel()
		if err == nil && r.Status == http.StatusOK {
			return true
		}
	}
	return false
}

// checkOutage takes a data centre out of service after the recovery from all faults
// and checks that no more runs start there.
func (s *soak) checkOutage(ctx context.Context) {
	dc := s.bounds.dcName(0)
	if !s.setOutage(ctx, dc, true) {
		s.ledger.recordViolation("an outage is not acknowledged although no fault is active")
		return
	}
	sleep(ctx, s.bounds.outage)
	before := s.runsStartedIn(dc)
	sleep(ctx, outageObservation)
	if after := s.runsStartedIn(dc); after > before {
		s.ledger.recordViolation("EVAC: %d runs started in a data centre that is out of service", after-before)
	}
	if !s.setOutage(ctx, dc, false) {
		s.ledger.recordViolation("the end of an outage is not acknowledged although no fault is active")
	}
}

// runsStartedIn returns how many runs the workers of a data centre have started.
func (s *soak) runsStartedIn(dc string) int64 {
	n := int64(0)
	for _, h := range s.hosts {
		if h.dc == dc {
			n += h.starts.Load()
		}
	}
	return n
}
