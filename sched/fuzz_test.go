package sched_test

import (
	"context"
	"testing"
	"time"

	"turmericroute/batch"
	"turmericroute/sched"
	"turmericroute/state"
)

// FuzzRespond sends arbitrary calls, as other instances may, to a scheduler that runs a job, and then a placement pass.
// It guards against calls that panic and against state that a later pass cannot handle.
func FuzzRespond(f *testing.F) {
	for _, c := range []sched.Call{
		{Heartbeat: &sched.Heartbeat{
			Worker: "w2", Service: "svc", Address: "a:1", DataCentre: "dc1", Incarnation: 1, Seq: 2, Rack: "r", Labels: []string{"a", "r"}, Capacity: gpus(8),
			Running: []sched.RunState{{Task: taskID("j", 0, 0), Run: 1, Percent: 40}}, Ended: []sched.RunEnd{{Number: 1, Task: taskID("j", 0, 1), Run: 1, Reason: batch.EndDone}},
		}},
		{Submit: &sched.Submit{JobRef: jobRef("normal", "k"), Spec: batch.Spec{Text: "t", Steps: []batch.Step{{Count: 2, Need: gpus(1), Gang: true}, {Count: 1, After: []int{0}}}}}},
		{Cancel: &sched.JobRef{Host: testHost, Path: "/normal/j", Key: testKey}},
		{Wave: &batch.Wave{Number: 1, Machines: []string{"m"}, MaxConcurrent: 1}},
		{Outage: &batch.Outage{DataCentre: "dc1", Out: true}},
		{Declare: &batch.Catalog{Version: 2, Source: []byte("{}")}},
	} {
		data, err := sched.EncodeCall(c)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		ctx, cancel := context.WithCancel(context.Background())
		cancel() // no heartbeat waits for a pass
		now := 1000 * time.Second
		wall := func() time.Time { return time.UnixMilli(0).Add(now) }
		s := sched.New(sched.Config{BootClock: func() time.Duration { return now }, WallClock: wall, Limits: sched.Limits{MaxLease: 6 * time.Second, StopGrace: time.Second}})
		s.Begin(context.Background(), 1, &replica{machine: state.New(), wall: wall})
		answer := func(c sched.Call) {
			if _, err := s.Answer(ctx, c); err != nil {
				t.Fatal(err)
			}
		}
		answer(sched.Call{Declare: &batch.Catalog{
			Version: 1, Services: []batch.Service{{Name: "svc"}}, Queues: []batch.Queue{{Name: "normal", Host: testHost, Prefix: "/normal/", Service: "svc", MaxFailures: 2, Stretch: 3}},
			Teams: []batch.Team{{Name: "team", Keys: []string{testKey}, GuaranteedGPUs: 4}},
		}})
		hb := sched.Heartbeat{Worker: "w1", Service: "svc", Address: "w1:1", DataCentre: "dc1", Incarnation: 1, Seq: 1, Rack: "r", Capacity: gpus(8)}
		hb.Capacity.CPUMilli, hb.Capacity.MemoryMB = 32000, 64000
		answer(sched.Call{Heartbeat: &hb})
		answer(sched.Call{Submit: &sched.Submit{JobRef: jobRef("normal", "j"), Spec: batch.Spec{Steps: []batch.Step{{Count: 3, Need: gpus(1)}}}}})
		pass := func() {
			if _, err := s.Pass(sched.InTime); err != nil {
				t.Fatal(err)
			}
		}
		pass()
		_, _ = s.Respond(ctx, data)
		if s.Panics() > 0 {
			t.Fatal("the call has panicked")
		}
		pass()
		hb.Seq++
		answer(sched.Call{Heartbeat: &hb})
		now += time.Minute
		if err := s.Sweep(); err != nil {
			t.Fatal(err)
		}
		pass()
	})
}
