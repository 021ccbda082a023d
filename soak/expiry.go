package soak

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"turmericroute/fault"
)

const (
	// expiryStream is the stream of random numbers for the faults around the expiry of leases.
	expiryStream = 3
	// commitDelay is added in each direction between control machines. The lease of a
	// leader lasts for 300 ms from the start of a round, and rounds start every 100 ms,
	// so a round trip above 150 ms would take the lease away.
	commitDelay = 70 * time.Millisecond
	// expirySpread bounds the difference between the silence of a worker and the expiry of its lease.
	expirySpread = 600 * time.Millisecond
	// maxReturn bounds the time between two cuts of the same workers.
	maxReturn = 400 * time.Millisecond
)

// errRefused is the error of a heartbeat that no instance accepts.
var errRefused = errors.New("connection refused")

// leaseExpiry returns how long after a heartbeat its lease has expired by the leader's
// count, which allows for clocks that are 3 % slow and adds a margin.
func (b bounds) leaseExpiry() time.Duration {
	return time.Duration(1.03*float64(min(4500*time.Millisecond, b.maxHold))) + 300*time.Millisecond
}

// injectExpiryFaults cuts data centres off for about as long as the leases of their
// workers last, and slows commits, until ctx ends. Its random numbers are its own, so
// that the schedule of the other faults stays as it is.
func (s *soak) injectExpiryFaults(ctx context.Context, rnd *rand.Rand) {
	var wg sync.WaitGroup
	defer wg.Wait()
	expiry := s.bounds.leaseExpiry()
	below := func(limit time.Duration) time.Duration { return time.Duration(rnd.Int64N(int64(limit))) }
	for ctx.Err() == nil {
		c := cut{
			hosts:   s.hostsIn(s.bounds.dcName(rnd.IntN(s.bounds.dataCentres))),
			refuse:  rnd.IntN(2) == 0,
			silence: expiry - expirySpread + below(2*expirySpread),
			back:    below(maxReturn),
			again:   below(expiry),
		}
		if len(c.hosts) > 0 {
			wg.Go(func() { s.cutWorkers(ctx, c) })
		}
		sleep(ctx, below(expiry))
		d := time.Second + below(maxFaultDuration)
		wg.Go(func() { s.slowCommits(ctx, d) })
		sleep(ctx, below(expiry))
	}
}

// hostsIn returns the hosts in a data centre.
func (s *soak) hostsIn(dc string) []*host {
	var hosts []*host
	for _, h := range s.hosts {
		if h.dc == dc {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

// slowCommits delays the traffic between control machines for d.
func (s *soak) slowCommits(ctx context.Context, d time.Duration) {
	s.logFault(d, "delay all traffic between control machines for %v", d)
	s.delayCommits(commitDelay)
	sleep(ctx, d)
	s.delayCommits(0)
}

func (s *soak) delayCommits(delay time.Duration) {
	for a := range s.cfg.Controls {
		for b := range s.cfg.Controls {
			s.cluster.withProxy(a, b, func(p *fault.Proxy) { p.SetDelay(delay) })
		}
	}
}

// cut is a fault that cuts the workers of hosts off twice.
type cut struct {
	hosts []*host
	// refuse makes heartbeats fail at once, so that they get through as soon as the cut
	// ends. Otherwise each waits for its timeout at one instance after the other.
	refuse bool
	// silence is the length of the first cut, back the time until the second, and again its length.
	silence, back, again time.Duration
}

// cutWorkers cuts workers off. The answers to their last heartbeats are lost, so that
// there are runs that they have never heard of. The second cut keeps them from stop
// orders.
func (s *soak) cutWorkers(ctx context.Context, c cut) {
	s.logFault(c.silence+c.back+c.again, "cut the workers of %s off for %v, and after %v for %v, refused %v", c.hosts[0].dc, c.silence, c.back, c.again, c.refuse)
	set := func(requests, responses bool) {
		for _, h := range c.hosts {
			h.refuseRequests.Store(requests && c.refuse)
			h.dropRequests.Store(requests && !c.refuse)
			h.dropResponses.Store(responses)
		}
	}
	set(false, true)
	sleep(ctx, heartbeatTimeout/2)
	set(true, false)
	sleep(ctx, c.silence-heartbeatTimeout/2)
	set(false, false)
	sleep(ctx, c.back)
	set(true, false)
	sleep(ctx, c.again)
	set(false, false)
}
