package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"turmericroute/platform/stand"
	"turmericroute/sched"
)

const (
	// idleStream is the stream of random numbers for the faults of workers that begin nothing.
	idleStream = 4
	// maxIdleFaultInterval bounds the time between the starts of two such faults.
	maxIdleFaultInterval = 3 * time.Second
)

// injectIdleFaults lets workers report that they are there and begin nothing that they are told to start, until ctx ends.
// Its random numbers are its own, so that the schedule of the other faults stays as it is.
func (s *soak) injectIdleFaults(ctx context.Context, rnd *rand.Rand) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for n := 1; ctx.Err() == nil; n++ {
		h := s.hosts[rnd.IntN(len(s.hosts))]
		d := time.Second + time.Duration(rnd.Int64N(int64(maxFaultDuration)))
		if rnd.IntN(2) == 0 {
			wg.Go(func() { s.idleHost(ctx, h, d) })
		} else {
			wg.Go(func() { s.idleWriter(ctx, h, n, d) })
		}
		sleep(ctx, time.Duration(rnd.Int64N(int64(maxIdleFaultInterval))))
	}
}

// idleHost keeps the workers of a host from beginning runs for d.
func (s *soak) idleHost(ctx context.Context, h *host, d time.Duration) {
	s.logFault(d, "worker %d begins nothing for %v", h.index, d)
	h.idle.Add(1)
	sleep(ctx, d)
	h.idle.Add(-1)
}

// idleWriter sends heartbeats of a worker that does not exist, beside a host, for d.
func (s *soak) idleWriter(ctx context.Context, beside *host, n int, d time.Duration) {
	s.logFault(d, "another writer sends the heartbeats of worker x-%d beside worker %d for %v", n, beside.index, d)
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	client := stand.Client{HTTP: &http.Client{Transport: s.transport}}
	beat := sched.Heartbeat{
		Worker: fmt.Sprintf("x-%d", n), Service: service, Address: fmt.Sprintf("10.1.0.%d:80", n%250), DataCentre: beside.dc, Machine: fmt.Sprintf("m-x-%d", n),
		Incarnation: time.Now().UnixMilli(), Capacity: capacity, Labels: []string{"a", beside.rack}, Rack: beside.rack,
	}
	for machine := beside.index; ctx.Err() == nil; beat.Seq++ {
		callCtx, stop := context.WithTimeout(ctx, heartbeatTimeout)
		orders, _, _, err := client.Heartbeat(callCtx, s.controlAddress(machine), beat)
		stop()
		pause := minHeartbeatInterval
		if err != nil || orders == nil {
			machine++
		} else {
			pause = max(pause, time.Duration(orders.RetryAfterMS)*time.Millisecond)
		}
		sleep(ctx, pause)
	}
}
