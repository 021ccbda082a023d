package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"
)

const (
	// finishTime is finish_s of the bounds: so long after the end of the traffic the jobs are asked for.
	finishTime = 14 * time.Second
	// idleTime is how long a job may have nothing running while there is room.
	idleTime = 3 * time.Second
)

// writerCase hands in small jobs while another writer repeats an entry that lacks a field of executors. It names no
// executor to use, so the jobs must run on the executors.
func writerCase(ctx context.Context, d *deployment) (string, error) {
	if err := d.start(); err != nil {
		return "", err
	}
	if err := d.operate(ctx, http.MethodPut, "/config", configuration(1)); err != nil {
		return "", err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var executors []*executor
	for i := range 4 {
		e := d.newExecutor(fmt.Sprintf("i-%d", i+1), fmt.Sprintf("m-%d", i+1), "r1-1")
		executors = append(executors, e)
		go e.run(ctx)
	}
	if trouble() {
		go d.foreignWriter(ctx)
	}
	time.Sleep(4 * time.Second)
	ids := []string{"00000000000000a1", "00000000000000a2", "00000000000000a3", "00000000000000a4"}
	for _, id := range ids {
		step := map[string]any{"count": 2, "cpu": 1000, "mem-mb": 256, "gpu": 1, "estimate-ms": 1000}
		if err := d.submit(ctx, id, step); err != nil {
			return "", err
		}
		time.Sleep(500 * time.Millisecond)
	}
	time.Sleep(finishTime)
	if ctx.Err() != nil {
		return "", errors.New("out of time")
	}
	for _, id := range ids {
		if d.idleFor(ctx, id, executors) {
			return fmt.Sprintf("LOST: job %s has had nothing running for %v, with all executors idle, %v after the last submission", id, idleTime, finishTime), nil
		}
	}
	return "", nil
}

// foreignWriter repeats an entry without the field clock-ms, like an executor of the service in all else. It comes back
// when the answer says and does nothing that the answer orders.
func (d *deployment) foreignWriter(ctx context.Context) {
	e := d.newExecutor("x-1", "x-m1", "r1-2")
	said := ""
	for i := 0; ctx.Err() == nil; i++ {
		body := e.entry()
		delete(body, "clock-ms")
		m := d.all[i%len(d.all)]
		status, data, err := call(ctx, answerTime, http.MethodPut, m.address(controlPort), "/instances/x-1", body)
		var a answer
		wait := beatInterval
		if err == nil && status == http.StatusOK && json.Unmarshal(data, &a) == nil && a.RetryAfterMS > 0 {
			wait = time.Duration(a.RetryAfterMS) * time.Millisecond
		}
		if now := fmt.Sprint(status, a.Start, a.Stop, err); now != said {
			said = now
			d.rec.note("another writer: PUT /instances/x-1 without clock-ms at %s: %d %s %v", m.name, status, data, err)
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
		}
	}
}

// idleFor reports whether a job that has not succeeded has nothing running for idleTime while all executors are idle.
func (d *deployment) idleFor(ctx context.Context, id string, executors []*executor) bool {
	state := ""
	for end := time.Now().Add(idleTime); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if state = d.state(ctx, id); state == "succeeded" {
			d.rec.note("client: job %s is %s", id, state)
			return false
		}
		for _, e := range executors {
			if e.runs(id) {
				return false
			}
		}
	}
	d.rec.note("client: job %s is %q", id, state)
	return true
}
