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
	// faultGap is the longest pause between the beginnings of two faults; most overlap.
	faultGap = 900 * time.Millisecond
	// longestFault is the longest time that one lasts.
	longestFault = 4 * time.Second
	// diskGap is the least time between the losses of two disks, of which one may be lost at once. It begins
	// when the core is whole again: a replacement needs the others to catch up.
	diskGap = 8 * time.Second
	// linkDelay is added one way on slow links.
	linkDelay = 60 * time.Millisecond
)

// inject makes faults until their time is over, and waits for the last one to end.
func (s *soak) inject(ctx context.Context, rnd *rand.Rand) {
	end := time.Now().Add(s.cfg.Faulty)
	var diskLost time.Time
	var coreFault time.Time // when the last fault of a control machine is over
	latest := time.Now()
	for time.Now().Before(end) && ctx.Err() == nil {
		d := 300*time.Millisecond + time.Duration(rnd.Int64N(int64(longestFault)))
		now := time.Now()
		switch kind := rnd.IntN(16); {
		case kind == 0 && now.Sub(diskLost) > diskGap:
			// A disk is lost only while the rest of the core is whole.
			sleep(ctx, time.Until(coreFault.Add(calmAfter)))
			end = end.Add(time.Since(now) + calmAfter) // the pauses do not shorten the rest
			now = time.Now()
			i := rnd.IntN(s.cfg.Controls)
			s.note("wipe %s", s.fleet.machines[i].name)
			s.fleet.machines[i].harm(true)
			diskLost, coreFault = now, now.Add(calmAfter)
			// The replacement catches up before other control machines fail.
			sleep(ctx, calmAfter)
		case kind <= 5:
			s.harmProcess(rnd, d)
			coreFault = later(coreFault, now.Add(max(d, grace)))
		case kind <= 9:
			s.harmLink(rnd, d)
			coreFault = later(coreFault, now.Add(d))
		default:
			s.harmWorker(rnd, d)
		}
		latest = later(latest, now.Add(d))
		sleep(ctx, time.Duration(rnd.Int64N(int64(faultGap))))
	}
	sleep(ctx, time.Until(latest))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// note logs a fault.
func (s *soak) note(format string, args ...any) {
	s.faults++
	line := fmt.Sprintf("ts=%s at_s=%.3f fault=%q\n", time.Now().UTC().Format(time.RFC3339Nano), time.Since(s.ledger.began).Seconds(), fmt.Sprintf(format, args...))
	f, err := os.OpenFile(filepath.Join(s.cfg.Dir, "faults.log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err == nil {
		_, err = f.WriteString(line)
		f.Close()
	}
	if err != nil {
		s.ledger.violate("faults cannot be logged: %v", err)
	}
}

// harmProcess ends or pauses a process, or all control processes.
func (s *soak) harmProcess(rnd *rand.Rand, d time.Duration) {
	m := s.fleet.machines[rnd.IntN(len(s.fleet.machines))]
	switch rnd.IntN(6) {
	case 0:
		s.note("kill %s", m.name)
		m.signal(syscall.SIGKILL, true)
	case 1:
		s.note("terminate %s", m.name)
		m.terminate()
	case 2, 3:
		s.note("pause %s for %v", m.name, d)
		m.signal(syscall.SIGSTOP, false)
		time.AfterFunc(d, func() { m.signal(syscall.SIGCONT, false) })
	case 4:
		if m.data == "" {
			m = s.fleet.machines[0]
		}
		s.note("kill %s and tear its log", m.name)
		m.harm(false)
	case 5:
		s.note("kill all control machines")
		for _, m := range s.fleet.machines[:s.cfg.Controls] {
			m.signal(syscall.SIGKILL, true)
		}
	}
}

// harmLink cuts, delays, resets or silences links between machines for a time.
func (s *soak) harmLink(rnd *rand.Rand, d time.Duration) {
	f := s.fleet
	a := rnd.IntN(len(f.machines))
	each := func(do func(b int)) {
		for b := range f.machines {
			if b != a {
				do(b)
			}
		}
	}
	both := func(do func(*fault.Proxy)) {
		each(func(b int) { f.between(a, b, do); f.between(b, a, do) })
	}
	name := f.machines[a].name
	switch rnd.IntN(6) {
	case 0:
		s.note("cut %s off for %v", name, d)
		each(func(b int) { f.cut(a, b); f.cut(b, a) })
	case 1:
		s.note("cut all that %s sends for %v", name, d)
		each(func(b int) { f.cut(a, b) })
	case 2:
		s.note("cut all that is sent to %s for %v", name, d)
		each(func(b int) { f.cut(b, a) })
	case 3:
		s.note("delay the links of %s for %v", name, d)
		both(func(p *fault.Proxy) { p.Set(fault.Rule{Delay: linkDelay}) })
	case 4:
		s.note("reset the connections of %s", name)
		both((*fault.Proxy).Reset)
		return
	case 5:
		s.note("silence the connections of %s", name)
		both((*fault.Proxy).Silence)
		return
	}
	time.AfterFunc(d, func() { each(func(b int) { f.heal(a, b) }) })
}

// harmWorker crashes a worker, lets it leave, or cuts it off.
func (s *soak) harmWorker(rnd *rand.Rand, d time.Duration) {
	h := s.hosts[rnd.IntN(len(s.hosts))]
	offer := func(c chan struct{}) {
		select {
		case c <- struct{}{}:
		default:
		}
	}
	switch rnd.IntN(5) {
	case 0:
		s.note("crash worker %d", h.index)
		offer(h.crash)
	case 1:
		s.note("drain worker %d", h.index)
		offer(h.drain)
	case 2:
		s.note("cut worker %d off for %v", h.index, d)
		h.cutOut.Store(true)
	case 3:
		s.note("cut the answers to worker %d for %v", h.index, d)
		h.cutIn.Store(true)
	case 4:
		s.note("cut worker %d off for %v and crash it behind the cut", h.index, d)
		h.cutOut.Store(true)
		offer(h.crash)
	}
	time.AfterFunc(d, func() { h.cutOut.Store(false); h.cutIn.Store(false) })
}

const (
	// outageBound is how soon after its acknowledgement an outage stops all starts in a data centre.
	outageBound = 2 * time.Second
	// outageWatch is how long starts are looked for.
	outageWatch = 2 * time.Second
)

// calm checks, with no fault near, that an outage of a data centre holds.
func (s *soak) calm(ctx context.Context) {
	sleep(ctx, calmAfter)
	c := s.caller()
	order := func(out bool) bool {
		for n := 0; ctx.Err() == nil && n < 3*len(s.fleet.machines); n++ {
			try, cancel := context.WithTimeout(ctx, orderTimeout)
			r, err := c.SetOutage(try, s.control(n), batch.Outage{DataCentre: dcName(0), Out: out})
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
	before := s.startsIn(dcName(0))
	sleep(ctx, outageWatch)
	if after := s.startsIn(dcName(0)); after > before {
		s.ledger.violate("EVAC: %d runs begin in a data centre out of service", after-before)
	}
	if !order(false) {
		s.ledger.violate("the end of an outage is not acknowledged in calm")
	}
}

// startsIn counts the runs that workers of a data centre have begun.
func (s *soak) startsIn(dc string) int64 {
	n := int64(0)
	for _, h := range s.hosts {
		if h.dc == dc {
			n += h.starts.Load()
		}
	}
	return n
}
