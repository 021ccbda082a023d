package sched_test

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"turmericroute/batch"
	"turmericroute/sched"
	"turmericroute/state"
)

// fleet is a scheduler with workers in racks of 20, and with jobs that need about 1.5 times what the workers have.
type fleet struct {
	s       *sched.Scheduler
	workers []*fakeWorker
	byName  map[string]*fakeWorker
	now     time.Duration
	jobs    int
}

const workersPerRack = 20

func newFleet(b *testing.B, workers int, lead bool) *fleet {
	f := &fleet{byName: map[string]*fakeWorker{}, now: 1000 * time.Second}
	wall := func() time.Time { return time.UnixMilli(0).Add(f.now) }
	f.s = sched.New(sched.Config{
		Name: "control", BootClock: func() time.Duration { return f.now }, WallClock: wall,
		Limits: sched.Limits{MaxLease: 6 * time.Second, StopGrace: 400 * time.Millisecond, Reclaim: 6 * time.Second, FinishedRetention: time.Minute},
	})
	r := &replica{machine: state.New(), wall: wall}
	if lead {
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan struct{})
		go func() { defer close(ended); f.s.Lead(ctx, 1, r) }()
		b.Cleanup(func() { cancel(); <-ended })
		for f.call(sched.Call{Ping: true}) != nil {
			time.Sleep(time.Millisecond)
		}
	} else {
		f.s.Begin(context.Background(), 1, r)
	}
	queue := batch.Queue{Name: "normal", Host: testHost, Prefix: "/normal/", Service: "svc", Priority: 1, MaxFailures: 2, Stretch: 3, TargetMS: 1000}
	urgent := queue
	urgent.Name, urgent.Prefix, urgent.Priority = "urgent", "/urgent/", 0
	f.must(b, sched.Call{Declare: &batch.Catalog{
		Version: 1, Services: []batch.Service{{Name: "svc", AdmissionControl: true}}, Queues: []batch.Queue{queue, urgent},
		Teams: []batch.Team{{Name: "team", Keys: []string{testKey}, GuaranteedGPUs: 100}},
	}})
	for i := range workers {
		name := fmt.Sprintf("w%05d", i)
		rack := fmt.Sprintf("r%d", i/workersPerRack)
		w := &fakeWorker{hb: sched.Heartbeat{
			Worker: name, Service: "svc", Address: name + ":1", DataCentre: "dc1", Machine: "m-" + name, Incarnation: 1, Labels: []string{"a", rack}, Rack: rack,
			Capacity: batch.Resources{CPUMilli: 32000, MemoryMB: 64000, GPUs: 8},
		}}
		f.workers, f.byName[name] = append(f.workers, w), w
		f.heartbeat(b, w)
	}
	const gang, single = 26 * 4, 78
	for wanted := workers * 8 * 3 / 2; wanted > 0; {
		if f.jobs%4 == 0 {
			f.submitSingles(b)
			wanted -= single
		} else {
			f.submit(b, "gang", batch.Step{Count: 26, Need: gpus(4), EstimateMS: 8500, Gang: true, SameRack: true})
			wanted -= gang
		}
	}
	for range 3 {
		if !lead {
			f.pass(b)
		} else {
			time.Sleep(200 * time.Millisecond)
		}
		for _, w := range f.workers {
			f.heartbeat(b, w)
		}
	}
	return f
}

func (f *fleet) call(c sched.Call) error {
	_, err := f.s.Answer(context.Background(), c)
	return err
}

func (f *fleet) must(b *testing.B, c sched.Call) {
	if err := f.call(c); err != nil {
		b.Fatal(err)
	}
}

func (f *fleet) submit(b *testing.B, kind string, st batch.Step) {
	f.jobs++
	f.must(b, sched.Call{Submit: &sched.Submit{JobRef: jobRef("normal", fmt.Sprintf("%s%d", kind, f.jobs)), Spec: batch.Spec{Text: "text", Steps: []batch.Step{st}}}})
}

func (f *fleet) submitSingles(b *testing.B) {
	f.submit(b, "single", batch.Step{Count: 78, Need: gpus(1), EstimateMS: 7600})
}

func (f *fleet) pass(b *testing.B) int {
	starts, err := f.s.Pass(sched.InTime)
	if err != nil {
		b.Fatal(err)
	}
	return len(starts)
}

// heartbeat sends a worker's heartbeat without waiting for a pass, and starts what is ordered.
func (f *fleet) heartbeat(b *testing.B, w *fakeWorker) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	w.hb.Seq++
	hb := w.hb
	hb.Running, hb.Ended = slices.Clone(hb.Running), slices.Clone(hb.Ended)
	a, err := f.s.Answer(ctx, sched.Call{Heartbeat: &hb})
	if err != nil {
		b.Fatal(err)
	}
	f.carryOut(w, a.Orders)
}

func (f *fleet) carryOut(w *fakeWorker, o *sched.Orders) {
	w.hb.Ended = nil
	for _, st := range o.Starts {
		w.hb.Running = append(w.hb.Running, sched.RunState{Task: st.Task, Run: st.Run})
	}
}

// endSingle ends a task that is not in a gang, and reports its worker.
func (f *fleet) endSingle(b *testing.B, i int) *fakeWorker {
	for n := range f.workers {
		w := f.workers[(i*7+n)%len(f.workers)]
		for _, r := range w.hb.Running {
			if strings.HasPrefix(r.Task.Job, "single") {
				w.end(r.Task, batch.EndDone)
				return w
			}
		}
	}
	b.Fatal("no single task runs")
	return nil
}

func forSizes(b *testing.B, run func(b *testing.B, workers int)) {
	for _, n := range []int{48, 350, 1100, 3300} {
		b.Run(fmt.Sprintf("workers=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			run(b, n)
		})
	}
}

// BenchmarkPassUnchanged measures a placement pass in which nothing has changed.
func BenchmarkPassUnchanged(b *testing.B) {
	forSizes(b, func(b *testing.B, workers int) {
		f := newFleet(b, workers, false)
		for b.Loop() {
			f.pass(b)
		}
	})
}

// BenchmarkPassOneChange measures a placement pass after one task has ended.
func BenchmarkPassOneChange(b *testing.B) {
	forSizes(b, func(b *testing.B, workers int) {
		f := newFleet(b, workers, false)
		for i := 0; b.Loop(); i++ {
			b.StopTimer()
			if i%78 == 77 {
				f.submitSingles(b)
			}
			w := f.endSingle(b, i)
			f.heartbeat(b, w)
			b.StartTimer()
			starts, err := f.s.Pass(sched.InTime)
			b.StopTimer()
			if err != nil {
				b.Fatal(err)
			}
			for _, st := range starts {
				f.heartbeat(b, f.byName[st.Worker])
			}
			b.StartTimer()
		}
	})
}

// BenchmarkPassFull measures a placement pass that tries all waiting steps.
func BenchmarkPassFull(b *testing.B) {
	forSizes(b, func(b *testing.B, workers int) {
		f := newFleet(b, workers, false)
		for i := 0; b.Loop(); i++ {
			b.StopTimer()
			f.now += time.Minute / 10
			for _, w := range f.workers {
				f.heartbeat(b, w)
			}
			b.StartTimer()
			f.pass(b)
		}
	})
}

// BenchmarkHeartbeatUnchanged measures a heartbeat that says nothing new, its encoding included.
func BenchmarkHeartbeatUnchanged(b *testing.B) {
	forSizes(b, func(b *testing.B, workers int) {
		f := newFleet(b, workers, false)
		for i := 0; b.Loop(); i++ {
			w := f.workers[i%len(f.workers)]
			w.hb.Seq++
			request, err := sched.EncodeCall(sched.Call{Heartbeat: &w.hb})
			if err != nil {
				b.Fatal(err)
			}
			if _, err := f.s.Respond(context.Background(), request); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// BenchmarkHeartbeatEnds measures a heartbeat that reports an end, its commit and the placement pass that it waits for.
func BenchmarkHeartbeatEnds(b *testing.B) {
	forSizes(b, func(b *testing.B, workers int) {
		f := newFleet(b, workers, true)
		for i := 0; b.Loop(); i++ {
			b.StopTimer()
			if i%78 == 77 {
				f.submitSingles(b)
			}
			w := f.endSingle(b, i)
			w.hb.Seq++
			hb := w.hb
			hb.Running = slices.Clone(hb.Running)
			b.StartTimer()
			a, err := f.s.Answer(context.Background(), sched.Call{Heartbeat: &hb})
			b.StopTimer()
			if err != nil {
				b.Fatal(err)
			}
			f.carryOut(w, a.Orders)
			for _, other := range f.workers[:min(len(f.workers), 40)] {
				if other != w {
					f.heartbeat(b, other)
				}
			}
			b.StartTimer()
		}
	})
}

// BenchmarkPassPreempts measures a full pass that searches for runs to preempt for a gang within its team's guarantee.
func BenchmarkPassPreempts(b *testing.B) {
	forSizes(b, func(b *testing.B, workers int) {
		for b.Loop() {
			b.StopTimer()
			f := newFleet(b, workers, false)
			for range 1 + workers*8/78 {
				f.submitSingles(b) // leaves no room
			}
			for range 2 {
				f.pass(b)
				for _, w := range f.workers {
					f.heartbeat(b, w)
				}
			}
			f.jobs++
			f.must(b, sched.Call{Submit: &sched.Submit{JobRef: jobRef("urgent", fmt.Sprintf("urgent%d", f.jobs)), Spec: batch.Spec{
				Text: "text", Steps: []batch.Step{{Count: 12, Need: gpus(8), EstimateMS: 2500, Gang: true, SameRack: true}},
			}}})
			f.now += time.Second
			for _, w := range f.workers {
				f.heartbeat(b, w)
			}
			f.pass(b)
			f.now += 3 * time.Second
			for _, w := range f.workers {
				f.heartbeat(b, w)
			}
			b.StartTimer()
			f.pass(b)
		}
	})
}
