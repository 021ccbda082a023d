package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"
)

const (
	longTask  = 8 * time.Second
	watchTime = 9 * time.Second
	// tolerance is how long two runs of a task may overlap before it counts, since the watch looks at one executor after the other.
	tolerance = 100 * time.Millisecond
)

// machineCase lets an executor run two tasks, and then another writer send one entry that lacks a field of executors and
// gives the executor's machine. The entry names no executor to use, so the runs must go on and not begin again elsewhere.
func machineCase(ctx context.Context, d *deployment) (string, error) {
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
		e.work = longTask
		executors = append(executors, e)
		go e.run(ctx)
	}
	time.Sleep(4 * time.Second)
	id := "00000000000000b1"
	step := map[string]any{"count": 2, "cpu": 1000, "mem-mb": 256, "gpu": 1, "estimate-ms": longTask.Milliseconds()}
	if err := d.submit(ctx, id, step); err != nil {
		return "", err
	}
	victim, err := awaitRun(ctx, executors, id)
	if err != nil {
		return "", err
	}
	time.Sleep(2 * time.Second) // it has reported the runs by then
	if trouble() {
		d.foreignEntry(ctx, victim)
	}
	return watchOverlaps(ctx, d, executors), nil
}

// foreignEntry sends one entry without the field clock-ms under an ID of its own, with the machine of an executor.
func (d *deployment) foreignEntry(ctx context.Context, victim *executor) {
	x := d.newExecutor("x-1", victim.machine, "r1-2")
	body := x.entry()
	delete(body, "clock-ms")
	body["address"] = "127.0.72.2:9"
	m := d.all[0]
	status, data, err := call(ctx, answerTime, http.MethodPut, m.address(controlPort), "/instances/x-1", body)
	d.rec.note("another writer: PUT /instances/x-1 with machine %s of %s, without clock-ms, at %s: %d %s %v", victim.machine, victim.id, m.name, status, data, err)
}

// awaitRun waits for an executor that runs a task of a job.
func awaitRun(ctx context.Context, executors []*executor, job string) (*executor, error) {
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(workInterval) {
		for _, e := range executors {
			if e.runs(job) {
				return e, nil
			}
		}
	}
	return nil, errors.New("no task of " + job + " has begun in time")
}

// watchOverlaps looks for tasks that run on two executors at once, and returns the longest such time.
func watchOverlaps(ctx context.Context, d *deployment, executors []*executor) string {
	since := map[string]time.Time{}
	longest, which := time.Duration(0), ""
	for end := time.Now().Add(watchTime); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(20 * time.Millisecond) {
		holders := map[string]int{}
		for _, e := range executors {
			e.mu.Lock()
			for task := range e.running {
				holders[task]++
			}
			e.mu.Unlock()
		}
		for task, n := range holders {
			first, ok := since[task]
			switch {
			case n < 2:
				delete(since, task)
			case !ok:
				since[task] = time.Now()
			case time.Since(first) > longest:
				longest, which = time.Since(first), task
			}
		}
	}
	d.rec.note("longest overlap of two runs of a task: %v", longest.Round(10*time.Millisecond))
	if longest <= tolerance {
		return ""
	}
	return fmt.Sprintf("TWICE: task %s ran on two executors at once for %v", which, longest.Round(10*time.Millisecond))
}
