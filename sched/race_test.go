package sched_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"turmericroute/batch"
	"turmericroute/sched"
)

// grantAll issues a ticket for each worker that it is asked about.
type grantAll struct{}

func (grantAll) Advise(_ context.Context, _ string, workers []string) (map[string]string, time.Duration, error) {
	out := map[string]string{}
	for _, w := range workers {
		out[w] = "ticket of " + w
	}
	return out, 2 * time.Second, nil
}

// loopUntil calls f again and again until ctx ends.
func loopUntil(ctx context.Context, wg *sync.WaitGroup, f func(n int)) {
	wg.Go(func() {
		for n := 0; ctx.Err() == nil; n++ {
			f(n)
		}
	})
}

var _ = Describe("calls, passes and sessions at the same time", func() {
	// Guards against state that two threads use at once; the race detector finds it.
	It("leave the scheduler at work", func() {
		f := newFixture(func(cfg *sched.Config) {
			cfg.Limits.GangTimeout, cfg.Adviser, cfg.Logger, cfg.Metrics = time.Second, grantAll{}, nil, metrics.NewSet()
		})
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		var wg sync.WaitGroup
		wg.Go(func() {
			for ctx.Err() == nil {
				time.Sleep(10 * time.Millisecond)
				f.advance(10 * time.Millisecond)
			}
		})
		call := func(c sched.Call) (sched.Answer, error) { return f.s.Answer(ctx, c) }
		const workers = 24
		for i := range workers {
			w := &fakeWorker{hb: sched.Heartbeat{
				Worker: fmt.Sprintf("w%d", i), Service: "svc", Address: fmt.Sprintf("w%d:1", i), DataCentre: "dc1", Machine: fmt.Sprintf("m%d", i), Incarnation: 1,
				Rack: fmt.Sprintf("r%d", i/4), Capacity: batch.Resources{CPUMilli: 32000, MemoryMB: 64000, GPUs: 8},
			}}
			loopUntil(ctx, &wg, func(n int) {
				w.hb.Seq++
				w.hb.Draining = n%50 > 45
				hb := w.hb
				hb.Running, hb.Ended = append([]sched.RunState{}, hb.Running...), append([]sched.RunEnd{}, hb.Ended...)
				if a, err := call(sched.Call{Heartbeat: &hb}); err == nil {
					w.carryOut(a.Orders, n)
				}
				time.Sleep(2 * time.Millisecond)
			})
		}
		loopUntil(ctx, &wg, func(n int) {
			queue, id := []string{"urgent", "normal", "advised"}[n%3], fmt.Sprintf("j%d", n)
			step := batch.Step{Count: 1 + n%6, Need: gpus(8), Gang: n%2 == 0, EstimateMS: 100}
			_, _ = call(sched.Call{Submit: &sched.Submit{JobRef: jobRef(queue, id), Spec: batch.Spec{Text: "t", Steps: []batch.Step{step}}}})
			ref := jobRef(queue, fmt.Sprintf("j%d", rand.IntN(n+1)))
			_, _ = call(sched.Call{Show: &ref})
			if n%7 == 0 {
				_, _ = call(sched.Call{Cancel: &ref})
			}
			time.Sleep(3 * time.Millisecond)
		})
		loopUntil(ctx, &wg, func(n int) {
			f.s.Dump()
			f.cfg.Metrics.WritePrometheus(io.Discard)
			ping, err := call(sched.Call{Ping: true})
			if err == nil {
				_, _ = call(sched.Call{Outage: &batch.Outage{DataCentre: "dc1", Out: n%10 == 0}, Stamp: ping.Stamp})
			}
			_, _ = call(sched.Call{Leave: &sched.Leave{Worker: fmt.Sprintf("w%d", n%workers)}})
			time.Sleep(5 * time.Millisecond)
		})
		for n := 0; ctx.Err() == nil; n++ {
			time.Sleep(100 * time.Millisecond)
			f.stop()
			<-f.ended
			if n%4 > 0 {
				f.term-- // regains its lease
			}
			f.lead()
		}
		wg.Wait()
		f.addWorkers("r9", "dc1", "last")
		Expect(f.workers["last"].last.LeaseMS).To(BeNumerically(">", 0))
		Expect(f.s.CheckKept()).To(Succeed())
		Expect(f.s.Panics()).To(BeZero())
	})
})

// carryOut carries out the orders in an answer and ends some runs.
func (w *fakeWorker) carryOut(o *sched.Orders, n int) {
	ended := w.hb.Ended[:0:0]
	for _, e := range w.hb.Ended {
		if e.Number > o.AckedThrough {
			ended = append(ended, e)
		}
	}
	w.hb.Ended = ended
	for _, ref := range o.Stops {
		w.end(ref.Task, batch.EndStopped)
	}
	if n%5 == 0 && len(w.hb.Running) > 0 {
		w.end(w.hb.Running[0].Task, []batch.EndReason{batch.EndDone, batch.EndFailed, batch.EndGangBroken}[n%3])
	}
	for _, st := range o.Starts {
		w.hb.Running = append(w.hb.Running, sched.RunState{Task: st.Task, Run: st.Run})
	}
}
