package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"turmericroute/batch"
	"turmericroute/fault"
)

const (
	// maxFaultInterval is the longest pause between the beginnings of two faults; most overlap.
	maxFaultInterval = 900 * time.Millisecond
	// maxFaultDuration is the longest time that one lasts.
	maxFaultDuration = 4 * time.Second
	// minDiskLossInterval is the least time between the losses of two disks, of which one may be lost at once. It begins
	// when the core is whole again: a replacement needs the others to catch up.
	minDiskLossInterval = 8 * time.Second
	// linkDelay is added one way on slow links.
	linkDelay = 60 * time.Millisecond
)

// injectFaults makes faults until their time is over, and waits for the last one to end.
func (s *soak) injectFaults(ctx context.Context, rnd *rand.Rand) {
	end := time.Now().Add(s.cfg.FaultDuration)
	var diskLost time.Time
	var coreFault time.Time // when the last fault of a control machine is over
	latest := time.Now()
	for time.Now().Before(end) && ctx.Err() == nil {
		d := 300*time.Millisecond + time.Duration(rnd.Int64N(int64(maxFaultDuration)))
		now := time.Now()
		switch kind := rnd.IntN(16); {
		case kind == 0 && now.Sub(diskLost) > minDiskLossInterval:
			// A disk is lost only while the rest of the core is whole.
			sleep(ctx, time.Until(coreFault.Add(recoveryTime)))
			end = end.Add(time.Since(now) + recoveryTime) // the pauses do not shorten the rest
			now = time.Now()
			i := rnd.IntN(s.cfg.Controls)
			s.logFault("wipe %s", s.cluster.machines[i].name)
			s.cluster.machines[i].killAndDamage(true)
			diskLost, coreFault = now, now.Add(recoveryTime)
			// The replacement catches up before other control machines fail.
			sleep(ctx, recoveryTime)
		case kind <= 5:
			s.injectProcessFault(rnd, d)
			coreFault = later(coreFault, now.Add(max(d, workerGrace)))
		case kind <= 9:
			s.injectLinkFault(rnd, d)
			coreFault = later(coreFault, now.Add(d))
		default:
			s.injectWorkerFault(rnd, d)
		}
		latest = later(latest, now.Add(d))
		sleep(ctx, time.Duration(rnd.Int64N(int64(maxFaultInterval))))
	}
	sleep(ctx, time.Until(latest))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// logFault logs a fault.
func (s *soak) logFault(format string, args ...any) {
	s.faults++
	line := fmt.Sprintf("ts=%s at_s=%.3f fault=%q\n", time.Now().UTC().Format(time.RFC3339Nano), time.Since(s.ledger.startedAt).Seconds(), fmt.Sprintf(format, args...))
	f, err := os.OpenFile(filepath.Join(s.cfg.Dir, "faults.log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err == nil {
		_, err = f.WriteString(line)
		f.Close()
	}
	if err != nil {
		s.ledger.violate("faults cannot be logged: %v", err)
	}
}

// injectProcessFault ends or pauses a process, or all control processes.
func (s *soak) injectProcessFault(rnd *rand.Rand, d time.Duration) {
	m := s.cluster.machines[rnd.IntN(len(s.cluster.machines))]
	switch rnd.IntN(6) {
	case 0:
		s.logFault("kill %s", m.name)
		m.signal(syscall.SIGKILL, true)
	case 1:
		s.logFault("terminate %s", m.name)
		m.terminate()
	case 2, 3:
		s.logFault("pause %s for %v", m.name, d)
		m.signal(syscall.SIGSTOP, false)
		time.AfterFunc(d, func() { m.signal(syscall.SIGCONT, false) })
	case 4:
		if m.dataDir == "" {
			m = s.cluster.machines[0]
		}
		s.logFault("kill %s and tear its log", m.name)
		m.killAndDamage(false)
	case 5:
		s.logFault("kill all control machines")
		for _, m := range s.cluster.machines[:s.cfg.Controls] {
			m.signal(syscall.SIGKILL, true)
		}
	}
}

// injectLinkFault cuts, delays, resets or silences links between machines for a time.
func (s *soak) injectLinkFault(rnd *rand.Rand, d time.Duration) {
	f := s.cluster
	a := rnd.IntN(len(f.machines))
	each := func(do func(b int)) {
		for b := range f.machines {
			if b != a {
				do(b)
			}
		}
	}
	both := func(do func(*fault.Proxy)) {
		each(func(b int) { f.withProxy(a, b, do); f.withProxy(b, a, do) })
	}
	name := f.machines[a].name
	switch rnd.IntN(6) {
	case 0:
		s.logFault("cut %s off for %v", name, d)
		each(func(b int) { f.dropTraffic(a, b); f.dropTraffic(b, a) })
	case 1:
		s.logFault("cut all that %s sends for %v", name, d)
		each(func(b int) { f.dropTraffic(a, b) })
	case 2:
		s.logFault("cut all that is sent to %s for %v", name, d)
		each(func(b int) { f.dropTraffic(b, a) })
	case 3:
		s.logFault("delay the links of %s for %v", name, d)
		both(func(p *fault.Proxy) { p.SetRule(fault.Rule{Delay: linkDelay}) })
	case 4:
		s.logFault("reset the connections of %s", name)
		both((*fault.Proxy).Reset)
		return
	case 5:
		s.logFault("silence the connections of %s", name)
		both((*fault.Proxy).Silence)
		return
	}
	time.AfterFunc(d, func() { each(func(b int) { f.restoreTraffic(a, b) }) })
}

// injectWorkerFault crashes a worker, lets it leave, or cuts it off.
func (s *soak) injectWorkerFault(rnd *rand.Rand, d time.Duration) {
	h := s.hosts[rnd.IntN(len(s.hosts))]
	offer := func(c chan struct{}) {
		select {
		case c <- struct{}{}:
		default:
		}
	}
	switch rnd.IntN(5) {
	case 0:
		s.logFault("crash worker %d", h.index)
		offer(h.crash)
	case 1:
		s.logFault("drain worker %d", h.index)
		offer(h.drain)
	case 2:
		s.logFault("cut worker %d off for %v", h.index, d)
		h.dropRequests.Store(true)
	case 3:
		s.logFault("cut the answers to worker %d for %v", h.index, d)
		h.dropResponses.Store(true)
	case 4:
		s.logFault("cut worker %d off for %v and crash it behind the cut", h.index, d)
		h.dropRequests.Store(true)
		offer(h.crash)
	}
	time.AfterFunc(d, func() { h.dropRequests.Store(false); h.dropResponses.Store(false) })
}

const (
	// outageBound is how soon after its acknowledgement an outage stops all starts in a data centre.
	outageBound = 2 * time.Second
	// outageObservation is how long starts are looked for.
	outageObservation = 2 * time.Second
)

// checkOutage checks, with no fault near, that an outage of a data centre holds.
func (s *soak) checkOutage(ctx context.Context) {
	sleep(ctx, recoveryTime)
	c := s.newCaller()
	order := func(out bool) bool {
		for n := 0; ctx.Err() == nil && n < 3*len(s.cluster.machines); n++ {
			try, cancel := context.WithTimeout(ctx, orderTimeout)
			r, err := c.Outage(try, s.controlAddress(n), batch.Outage{DataCentre: dcName(0), Out: out})
			cancel()
			if err == nil && r.Status == 200 {
				return true
			}
		}
		return false
	}
	if !order(true) {
		s.ledger.violate("an outage is not acknowledged in calm")
		return
	}
	sleep(ctx, outageBound)
	before := s.runsStartedIn(dcName(0))
	sleep(ctx, outageObservation)
	if after := s.runsStartedIn(dcName(0)); after > before {
		s.ledger.violate("EVAC: %d runs begin in a data centre out of service", after-before)
	}
	if !order(false) {
		s.ledger.violate("the end of an outage is not acknowledged in calm")
	}
}

// runsStartedIn counts the runs that workers of a data centre have begun.
func (s *soak) runsStartedIn(dc string) int64 {
	n := int64(0)
	for _, h := range s.hosts {
		if h.dc == dc {
			n += h.starts.Load()
		}
	}
	return n
}
