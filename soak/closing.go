package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

// Closing is a fault at the end of a soak.
type Closing string

// The faults at the end of a soak. Both kill all processes at the same moment.
const (
	ClosingNone Closing = "none"
	ClosingKill Closing = "kill"
	// ClosingDisks also removes as many data folders as the deployment bears and
	// appends a torn write to the newest log files of the others.
	ClosingDisks Closing = "disks"
)

// Closings holds all faults at the end of a soak.
var Closings = []Closing{ClosingNone, ClosingKill, ClosingDisks}

const (
	// closingStream is the stream of random numbers for the closing fault.
	closingStream = 2
	// recoverBound is how long after the machines are back the deployment serves again.
	recoverBound = 15 * time.Second
	// shareWindow is the time over which accepted submissions are counted, minShare the
	// inverse of the least share of them.
	shareWindow, minShare = 3 * time.Second, 4
	// pollInterval is the delay between two polls of the machines after the closing fault.
	pollInterval = 50 * time.Millisecond
)

// lostDisks returns how many data folders a deployment bears to lose at once.
func lostDisks(controls int) int {
	if controls <= 4 {
		return 1
	}
	return 2
}

// closingFault kills all processes right after a configuration, a job and an outage
// were acknowledged, and checks what is left of them and of the service.
func (s *soak) closingFault(ctx context.Context, rnd *rand.Rand) {
	if s.cfg.Closing == ClosingNone {
		return
	}
	// The first number of the stream draws the kind of the fault.
	rnd.IntN(len(Closings))
	dc := s.bounds.dcName(1)
	j := &job{id: fmt.Sprintf("%016x", rnd.Uint64()), spec: s.randomSpec(rnd)}
	s.ledger.addJob(j)
	var wg sync.WaitGroup
	var configured, out bool
	wg.Go(func() { configured = s.applyConfig(ctx, s.newClient(), rnd.IntN(len(s.cluster.machines))) })
	wg.Go(func() { out = s.setOutage(ctx, dc, true) })
	wg.Go(func() { s.submitJob(ctx, s.newClient(), j, 0) })
	wg.Wait()
	if !configured || !out {
		s.ledger.recordViolation("RECOVER: a configuration (%v) or an outage (%v) is not acknowledged although no fault is active", configured, out)
	}
	outAt := time.Now()
	starts := s.starts()
	s.killAll(rnd)
	back := s.awaitStarts(ctx, starts)
	s.ledger.noteDisruption(recoverBound)
	s.checkReadBack(ctx, back.Add(recoverBound))
	sleep(ctx, time.Until(outAt.Add(s.bounds.outage)))
	before := s.runsStartedIn(dc)
	s.checkShare(ctx, back.Add(recoverBound))
	sleep(ctx, time.Until(back.Add(outageObservation)))
	if after := s.runsStartedIn(dc); out && after > before {
		s.ledger.recordViolation("RECOVER: %d runs started in data centre %s, whose outage was acknowledged before the closing fault", after-before, dc)
	}
	if !s.setOutage(ctx, dc, false) {
		s.ledger.recordViolation("RECOVER: the end of an outage is not acknowledged after the closing fault")
	}
}

// killAll kills all processes and damages the disks that the closing fault names.
func (s *soak) killAll(rnd *rand.Rand) {
	s.logFault(0, "closing fault %s of all machines", s.cfg.Closing)
	lost := map[int]bool{}
	for _, i := range rnd.Perm(s.cfg.Controls)[:lostDisks(s.cfg.Controls)] {
		lost[i] = true
	}
	for i, m := range s.cluster.machines {
		switch {
		case s.cfg.Closing == ClosingDisks && m.dataDir != "":
			if lost[i] {
				s.logFault(0, "lose the disk of %s", m.name)
			}
			m.killAndDamage(lost[i])
		default:
			m.signal(syscall.SIGKILL, true)
		}
	}
}

// starts returns how many processes each machine has started.
func (s *soak) starts() []int {
	counts := make([]int, len(s.cluster.machines))
	for i, m := range s.cluster.machines {
		counts[i] = m.startCount()
	}
	return counts
}

// awaitStarts waits until each machine has started more processes than before, and returns when that was.
func (s *soak) awaitStarts(ctx context.Context, before []int) time.Time {
	for i, m := range s.cluster.machines {
		for m.startCount() == before[i] && ctx.Err() == nil {
			sleep(ctx, pollInterval)
		}
	}
	return time.Now()
}

// checkReadBack checks that all machines return the configuration by the deadline.
func (s *soak) checkReadBack(ctx context.Context, deadline time.Time) {
	var wg sync.WaitGroup
	for i, m := range s.cluster.machines {
		wg.Go(func() {
			c := s.newClient()
			for !s.readConfig(ctx, c, i) && ctx.Err() == nil {
				if time.Now().After(deadline) {
					s.ledger.recordViolation("RECOVER: %s does not return the configuration %v after the machines were back", m.name, recoverBound)
					return
				}
				sleep(ctx, pollInterval)
			}
		})
	}
	wg.Wait()
}

// checkShare checks that a share of the submissions is accepted from a time before the deadline on.
func (s *soak) checkShare(ctx context.Context, deadline time.Time) {
	for ctx.Err() == nil {
		began := time.Now()
		sleep(ctx, shareWindow)
		sent, accepted := s.ledger.submissionsSince(began)
		if sent > 0 && accepted*minShare >= sent {
			return
		}
		if began.After(deadline) {
			s.ledger.recordViolation("RECOVER: %d of %d submissions are accepted %v after the machines were back", accepted, sent, recoverBound)
			return
		}
	}
}
