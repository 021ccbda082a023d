package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// answerTime is how long an executor waits for the answer to a heartbeat; later ones are dropped.
	answerTime = time.Second
	// beatInterval is the time between heartbeats unless an answer names another one.
	beatInterval = 1500 * time.Millisecond
	// taskTime is how long each task works unless a case says otherwise.
	taskTime = time.Second
	// workInterval is the time between two looks at what has ended.
	workInterval = 50 * time.Millisecond
)

// taskRun is a run of a task on an executor.
type taskRun struct {
	run   int
	since time.Time
}

// executor is one life of an executor, which takes its orders from the answers to its heartbeats.
type executor struct {
	d       *deployment
	id      string
	machine string
	rack    string
	born    int64
	work    time.Duration // how long each task works

	mu       sync.Mutex
	seq      int64
	running  map[string]taskRun
	ended    [][]any
	endCount int64
	fence    uint64
	leaseEnd time.Time
	next     string // address for the next heartbeat
}

// answer is the answer to a heartbeat.
type answer struct {
	Next         string  `json:"heartbeat-url"`
	HoldMS       int     `json:"hold-ms"`
	AckedThrough int64   `json:"acked-through"`
	Fence        uint64  `json:"fence"`
	Start        [][]any `json:"start"`
	Stop         [][]any `json:"stop"`
	RetryAfterMS int     `json:"retry-after-ms"`
}

func (d *deployment) newExecutor(id, machine, rack string) *executor {
	return &executor{d: d, id: id, machine: machine, rack: rack, born: time.Now().UnixMilli(), work: taskTime, running: map[string]taskRun{}}
}

// run works and sends heartbeats until ctx ends.
func (e *executor) run(ctx context.Context) {
	go func() {
		for ctx.Err() == nil {
			e.endRuns()
			time.Sleep(workInterval)
		}
	}()
	for i := 0; ctx.Err() == nil; i++ {
		e.endRuns()
		wait, ok := e.beat(ctx, i)
		if !ok {
			e.next = ""
			wait = 100 * time.Millisecond
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
		}
	}
}

// endRuns ends the tasks that are done, and all of them when the lease has expired.
func (e *executor) endRuns() {
	e.mu.Lock()
	defer e.mu.Unlock()
	lapsed := time.Now().After(e.leaseEnd)
	for task, r := range e.running {
		switch {
		case time.Since(r.since) >= e.work:
			e.end(task, r.run, "done")
		case lapsed:
			e.end(task, r.run, "lapsed")
		}
	}
}

func (e *executor) end(task string, run int, how string) {
	e.endCount++
	e.ended = append(e.ended, []any{e.endCount, task, run, how, ""})
	delete(e.running, task)
	e.d.rec.note("%s: run %d of %s ended %s", e.id, run, task, how)
}

// entry returns what the executor reports of itself.
func (e *executor) entry() map[string]any {
	e.seq++
	running := [][]any{}
	for task, r := range e.running {
		percent := int(100 * time.Since(r.since) / e.work)
		running = append(running, []any{task, r.run, "", min(percent, 99), 1000})
	}
	return map[string]any{
		"service": service, "address": "127.0.72.1:9", "zone": zone, "machine": e.machine, "version": "v1", "slots": 8, "state": "ready",
		"cold-remaining-ms": 0, "born": e.born, "seq": e.seq, "clock-ms": time.Now().UnixMilli() - e.born,
		"capacity": map[string]int{"cpu": 32000, "mem-mb": 65536, "gpu": 8}, "labels": []string{"a", e.rack},
		"running": running, "ended": append([][]any{}, e.ended...),
	}
}

// beat sends one heartbeat and carries out the orders of the answer. It returns the time until the next one, and false
// if there was no answer in time.
func (e *executor) beat(ctx context.Context, i int) (time.Duration, bool) {
	e.mu.Lock()
	body := e.entry()
	address := e.next
	e.mu.Unlock()
	if address == "" {
		address = e.d.all[i%len(e.d.all)].address(controlPort)
	}
	sent := time.Now()
	status, data, err := call(ctx, answerTime, http.MethodPut, address, "/instances/"+e.id, body)
	var a answer
	if err != nil || status != http.StatusOK || json.Unmarshal(data, &a) != nil || time.Since(sent) > answerTime {
		return 0, false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.next = a.Next
	if a.Fence < e.fence {
		return beatInterval, true
	}
	e.fence = a.Fence
	for len(e.ended) > 0 && e.ended[0][0].(int64) <= a.AckedThrough {
		e.ended = e.ended[1:]
	}
	for _, s := range a.Stop {
		e.stop(text(s[0]), number(s[1]))
	}
	if a.HoldMS > 0 {
		if end := sent.Add(time.Duration(a.HoldMS) * time.Millisecond); end.After(e.leaseEnd) {
			e.leaseEnd = end
		}
		for _, s := range a.Start {
			e.begin(text(s[0]), number(s[1]))
		}
	}
	if a.RetryAfterMS > 0 {
		return time.Duration(a.RetryAfterMS) * time.Millisecond, true
	}
	return beatInterval, true
}

func (e *executor) begin(task string, run int) {
	if r, ok := e.running[task]; ok && r.run >= run {
		return
	}
	e.running[task] = taskRun{run: run, since: time.Now()}
	e.d.rec.note("%s: run %d of %s begins", e.id, run, task)
}

func (e *executor) stop(task string, run int) {
	if r, ok := e.running[task]; ok && r.run == run {
		e.end(task, run, "stopped")
	}
}

// runs reports whether the executor runs a task of a job.
func (e *executor) runs(job string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for task := range e.running {
		if len(task) > len(job) && task[:len(job)] == job {
			return true
		}
	}
	return false
}

func text(v any) string { return fmt.Sprint(v) }

func number(v any) int {
	f, _ := v.(float64)
	return int(f)
}
