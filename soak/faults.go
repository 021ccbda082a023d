package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"turmericroute/fault"
)

const (
	// maxFaultInterval bounds the time between the starts of two faults. It is short
	// against the duration of a fault, so that most faults overlap.
	maxFaultInterval = 900 * time.Millisecond
	// maxFaultDuration bounds the random part of a fault's duration, which is added to a minimum of 300 ms.
	maxFaultDuration = 4 * time.Second
	// minDiskLossInterval is the least time between the losses of two disks, since
	// only one disk may be lost at a time. It starts when all control machines have
	// recovered: a replacement needs the others to catch up.
	minDiskLossInterval = 8 * time.Second
	// faultGroupShare is the inverse of the share of workers that one fault hits.
	faultGroupShare = 20
	// linkDelay is the delay added to a slow link in each direction.
	linkDelay = 60 * time.Millisecond
)

// injectFaults injects random faults for FaultDuration and waits until the last one has ended.
func (s *soak) injectFaults(ctx context.Context, rnd *rand.Rand) {
	deadline := time.Now().Add(s.cfg.FaultDuration)
	var lastDiskLoss time.Time
	var controlFaultEnd time.Time // end of the latest fault that can affect a control machine
	lastFaultEnd := time.Now()    // of all faults
	for time.Now().Before(deadline) && ctx.Err() == nil {
		d := 300*time.Millisecond + time.Duration(rnd.Int64N(int64(maxFaultDuration)))
		now := time.Now()
		switch kind := rnd.IntN(16); {
		case kind == 0 && now.Sub(lastDiskLoss) > minDiskLossInterval:
			// Lose a disk only while all other control machines work.
			sleep(ctx, time.Until(controlFaultEnd.Add(s.bounds.recovery)))
			deadline = deadline.Add(time.Since(now) + s.bounds.recovery) // the waits do not count as time with faults
			now = time.Now()
			i := rnd.IntN(s.cfg.Controls)
			s.logFault(0, "wipe %s", s.cluster.machines[i].name)
			s.cluster.machines[i].killAndDamage(true)
			lastDiskLoss, controlFaultEnd = now, now.Add(s.bounds.recovery)
			// Let the replacement catch up before other control machines fail.
			sleep(ctx, s.bounds.recovery)
		case kind <= 5:
			s.injectProcessFault(rnd, d)
			controlFaultEnd = later(controlFaultEnd, now.Add(max(d, s.bounds.terminationGrace)))
		case kind <= 9:
			s.injectLinkFault(rnd, d)
			controlFaultEnd = later(controlFaultEnd, now.Add(d))
		default:
			s.injectWorkerFault(rnd, d)
		}
		lastFaultEnd = later(lastFaultEnd, now.Add(d))
		sleep(ctx, time.Duration(rnd.Int64N(int64(maxFaultInterval))))
	}
	sleep(ctx, time.Until(lastFaultEnd))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// logFault counts a fault of duration d, notes it in the ledger and appends it to faults.log.
func (s *soak) logFault(d time.Duration, format string, args ...any) {
	s.faults.Add(1)
	s.ledger.noteDisruption(d)
	line := fmt.Sprintf("ts=%s at_s=%.3f fault=%q\n", time.Now().UTC().Format(time.RFC3339Nano), time.Since(s.ledger.startedAt).Seconds(), fmt.Sprintf(format, args...))
	f, err := os.OpenFile(filepath.Join(s.cfg.Dir, "faults.log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err == nil {
		_, err = f.WriteString(line)
		f.Close()
	}
	if err != nil {
		s.ledger.recordViolation("cannot write the fault log: %v", err)
	}
}

// injectProcessFault kills, terminates or suspends a random process, kills one and
// tears its log, or kills all control processes. Suspension lasts d.
func (s *soak) injectProcessFault(rnd *rand.Rand, d time.Duration) {
	m := s.cluster.machines[rnd.IntN(len(s.cluster.machines))]
	switch rnd.IntN(6) {
	case 0:
		s.logFault(0, "kill %s", m.name)
		m.signal(syscall.SIGKILL, true)
	case 1:
		s.logFault(s.bounds.terminationGrace, "terminate %s", m.name)
		m.terminate()
	case 2, 3:
		s.logFault(d, "pause %s for %v", m.name, d)
		m.signal(syscall.SIGSTOP, false)
		time.AfterFunc(d, func() { m.signal(syscall.SIGCONT, false) })
	case 4:
		if m.dataDir == "" {
			m = s.cluster.machines[0]
		}
		s.logFault(0, "kill %s and append a torn write to its log", m.name)
		m.killAndDamage(false)
	case 5:
		s.logFault(0, "kill all control machines")
		for _, m := range s.cluster.machines[:s.cfg.Controls] {
			m.signal(syscall.SIGKILL, true)
		}
	}
}

// injectLinkFault drops, delays, resets or silences traffic between a random machine
// and all others. Drops and delays last d.
func (s *soak) injectLinkFault(rnd *rand.Rand, d time.Duration) {
	c := s.cluster
	a := rnd.IntN(len(c.machines))
	forOthers := func(f func(b int)) {
		for b := range c.machines {
			if b != a {
				f(b)
			}
		}
	}
	bothWays := func(f func(*fault.Proxy)) {
		forOthers(func(b int) { c.withProxy(a, b, f); c.withProxy(b, a, f) })
	}
	name := c.machines[a].name
	switch rnd.IntN(6) {
	case 0:
		s.logFault(d, "isolate %s for %v", name, d)
		forOthers(func(b int) { c.dropTraffic(a, b); c.dropTraffic(b, a) })
	case 1:
		s.logFault(d, "drop all traffic from %s for %v", name, d)
		forOthers(func(b int) { c.dropTraffic(a, b) })
	case 2:
		s.logFault(d, "drop all traffic to %s for %v", name, d)
		forOthers(func(b int) { c.dropTraffic(b, a) })
	case 3:
		s.logFault(d, "delay all traffic of %s for %v", name, d)
		bothWays(func(p *fault.Proxy) { p.SetRule(fault.Rule{Delay: linkDelay}) })
	case 4:
		s.logFault(0, "reset the connections of %s", name)
		bothWays((*fault.Proxy).Reset)
		return
	case 5:
		s.logFault(0, "silence the connections of %s", name)
		bothWays((*fault.Proxy).Silence)
		return
	}
	time.AfterFunc(d, func() { forOthers(func(b int) { c.restoreTraffic(a, b) }) })
}

// injectWorkerFault crashes, drains or disconnects random workers; disconnection lasts d.
func (s *soak) injectWorkerFault(rnd *rand.Rand, d time.Duration) {
	hosts := s.faultGroup(rnd.IntN(len(s.hosts)))
	name := fmt.Sprintf("worker %d", hosts[0].index)
	if n := len(hosts); n > 1 {
		name = fmt.Sprintf("workers %d to %d", hosts[0].index, hosts[n-1].index)
	}
	var do func(*host)
	switch rnd.IntN(5) {
	case 0:
		s.logFault(0, "crash %s", name)
		do = func(h *host) { notify(h.crash) }
	case 1:
		s.logFault(s.bounds.drainTimeout+heartbeatTimeout, "drain %s", name)
		do = func(h *host) { notify(h.drain) }
	case 2:
		s.logFault(d, "drop the heartbeats of %s for %v", name, d)
		do = func(h *host) { h.dropRequests.Store(true) }
	case 3:
		s.logFault(d, "drop the heartbeat responses to %s for %v", name, d)
		do = func(h *host) { h.dropResponses.Store(true) }
	case 4:
		s.logFault(d, "drop the heartbeats of %s for %v and crash it", name, d)
		do = func(h *host) {
			h.dropRequests.Store(true)
			notify(h.crash)
		}
	}
	for _, h := range hosts {
		do(h)
	}
	time.AfterFunc(d, func() {
		for _, h := range hosts {
			h.dropRequests.Store(false)
			h.dropResponses.Store(false)
		}
	})
}

// faultGroup returns the hosts that a fault of workers hits: the given one, and where there are many its neighbours.
func (s *soak) faultGroup(first int) []*host {
	n := max(1, len(s.hosts)/faultGroupShare)
	group := make([]*host, n)
	for i := range group {
		group[i] = s.hosts[(first+i)%len(s.hosts)]
	}
	return group
}
