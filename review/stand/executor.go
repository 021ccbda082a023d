package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	// answerTimeout is the age beyond which an executor drops a response, and maxAnswerBytes its largest size.
	answerTimeout  = time.Second
	maxAnswerBytes = 4 << 20
	maxHold        = 6 * time.Second
	stopGrace      = 400 * time.Millisecond
	endHeartbeat   = 50 * time.Millisecond
	// executorStep is how often an executor looks at its runs.
	executorStep = 10 * time.Millisecond
	// endsPerHeartbeat is how many ends one heartbeat lists.
	endsPerHeartbeat = 500
)

// room is what an executor has, or what a task needs.
type room struct {
	CPU   int `json:"cpu"`
	MemMB int `json:"mem-mb"`
	GPU   int `json:"gpu"`
}

// executor is one life of an executor. It speaks to the system as the pages say.
type executor struct {
	play          *play
	id, address   string
	zone, machine string
	labels        []string
	capacity      room
	need          func(task string) room // what the task needs
	work          time.Duration          // how long a run of a task works
	tickets       bool                   // whether a start needs a ticket
	startup       time.Duration          // how long a task that lasts starts up; 0 if the tasks do not last
	gauge         func(task string) int  // the last figure of a run in heartbeats; nil means the cores that the task needs
	born          int64
	begun         time.Time
	ctx           context.Context
	cancel        context.CancelFunc

	mu               sync.Mutex
	lateUntil        time.Time // heartbeats that are sent before arrive then
	seq              int64
	url              string
	node             int
	running          map[string]*taskRun
	ends             []taskEnd
	lastEnd          int64
	highest          map[string]int // highest run of each task that was stopped or has ended here
	fence            uint64
	lease            time.Time
	draining         time.Time
	drainLeft        time.Duration
	answers, dropped int
}

type taskRun struct {
	run            int
	started, stops time.Time
}

// taskEnd is an end that the system has not taken note of.
type taskEnd struct {
	number int64
	task   string
	run    int
	how    string
}

// newExecutor returns an executor whose life begins now.
func (p *play) newExecutor(n int, id string, capacity room) *executor {
	e := &executor{
		play: p, id: id, address: fmt.Sprintf("10.9.0.%d:8080", n), zone: fmt.Sprintf("zone-%c", 'a'+n%3), machine: fmt.Sprintf("m-%02d", n),
		labels: []string{"a", fmt.Sprintf("r-%d", n/4)}, capacity: capacity, work: time.Hour, born: time.Now().UnixMilli(), begun: time.Now(),
		node: n, running: map[string]*taskRun{}, highest: map[string]int{},
	}
	e.ctx, e.cancel = context.WithCancel(p.ctx)
	return e
}

// run sends heartbeats and carries out orders until the executor's life ends.
func (e *executor) run() {
	e.play.wg.Go(func() {
		for e.ctx.Err() == nil {
			e.advance()
			sleep(e.ctx, executorStep)
		}
	})
	e.play.wg.Go(e.sendHeartbeats)
}

// crash ends the executor's life without a word.
func (e *executor) crash() {
	e.cancel()
	e.mu.Lock()
	defer e.mu.Unlock()
	for task, r := range e.running {
		e.play.runs.end(e.id, task, r.run, "crashed")
	}
	e.running = map[string]*taskRun{}
}

// advance ends the runs that are done, stopped, or whose lease has lapsed.
func (e *executor) advance() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ctx.Err() != nil {
		return
	}
	now := time.Now()
	for task, r := range e.running {
		switch {
		case now.After(e.lease):
			e.end(task, r.run, "lapsed")
		case now.Sub(r.started) >= e.work:
			e.end(task, r.run, "done")
		case !r.stops.IsZero() && now.After(r.stops):
			e.end(task, r.run, "stopped")
		}
	}
}

// end ends a run and lists the end; the caller holds e.mu.
func (e *executor) end(task string, run int, how string) {
	delete(e.running, task)
	e.lastEnd++
	e.highest[task] = max(e.highest[task], run)
	e.ends = append(e.ends, taskEnd{number: e.lastEnd, task: task, run: run, how: how})
	e.play.runs.end(e.id, task, run, how)
}

// body returns the next heartbeat.
func (e *executor) body() []byte {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.seq++
	running, ended := [][]any{}, [][]any{}
	for task, r := range e.running {
		running = append(running, []any{task, r.run, "", e.percent(r), e.gaugeOf(task)})
	}
	for _, x := range e.ends[:min(len(e.ends), endsPerHeartbeat)] {
		ended = append(ended, []any{x.number, x.task, x.run, x.how, ""})
	}
	m := map[string]any{
		"service": service, "address": e.address, "zone": e.zone, "machine": e.machine, "version": "v1", "slots": 8, "state": "ready",
		"cold-remaining-ms": 0, "capacity": e.capacity, "labels": e.labels, "clock-ms": time.Since(e.begun).Milliseconds(), "born": e.born, "seq": e.seq,
		"running": running, "ended": ended,
	}
	if !e.draining.IsZero() {
		m["state"] = "draining"
		m["drain-remaining-ms"] = max(0, (e.drainLeft - time.Since(e.draining)).Milliseconds())
	}
	data, err := json.Marshal(m)
	if err != nil {
		panic(err) // all values can be encoded
	}
	return data
}

// percent returns how far a run is; a task that lasts is at work at 100.
func (e *executor) percent(r *taskRun) int {
	if e.startup == 0 {
		return int(min(99, 100*time.Since(r.started)/e.work))
	}
	return int(min(100, 100*time.Since(r.started)/e.startup))
}

func (e *executor) gaugeOf(task string) int {
	if e.gauge == nil {
		return e.need(task).CPU
	}
	return e.gauge(task)
}

// atWork returns the tasks that last and are at work here.
func (e *executor) atWork() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var list []string
	for task, r := range e.running {
		if e.startup > 0 && e.percent(r) == 100 {
			list = append(list, task)
		}
	}
	return list
}

// sendHeartbeats sends one heartbeat after the other, each when the last has been answered or has timed out.
func (e *executor) sendHeartbeats() {
	for e.ctx.Err() == nil {
		address, late := e.next()
		body, sent := e.body(), time.Now()
		pause := endHeartbeat
		if late > 0 {
			// The heartbeat is under way for so long; meanwhile the executor gets no response.
			e.play.rec.add("late", "%s's heartbeat to %s is under way for %v", e.id, e.nameAt(address), late)
			e.play.wg.Go(func() {
				sleep(e.ctx, late)
				status, _, err := e.put(address, body)
				e.play.rec.add("late", "%s's heartbeat arrives at %s: %d %v", e.id, e.nameAt(address), status, errText(err))
			})
			sleep(e.ctx, answerTimeout)
			e.tryNextNode()
			continue
		}
		status, data, err := e.put(address, body)
		switch {
		case err != nil || status/100 != 2 || time.Since(sent) > answerTimeout || len(data) > maxAnswerBytes:
			if len(data) > maxAnswerBytes {
				e.noteDropped(len(data), address)
			}
			e.tryNextNode()
		default:
			pause = max(pause, e.obey(data, sent))
		}
		e.wait(pause)
	}
}

// next returns the address for the next heartbeat and how late that arrives.
func (e *executor) next() (string, time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	address := e.url
	if address == "" {
		address = e.play.processes[e.node%len(e.play.processes)].controlAddress()
	}
	return address, max(0, time.Until(e.lateUntil))
}

// tryNextNode makes the next heartbeat go to the next node.
func (e *executor) tryNextNode() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.url, e.node = "", e.node+1
}

// maxDropsRecorded bounds the dropped responses that are written to the record one by one.
const maxDropsRecorded = 3

func (e *executor) noteDropped(size int, address string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.dropped++; e.dropped <= maxDropsRecorded {
		e.play.rec.add("executor", "%s drops a response of %d bytes from %s", e.id, size, e.nameAt(address))
	}
}

// wait waits for d, or less if a run ends.
func (e *executor) wait(d time.Duration) {
	e.mu.Lock()
	before := e.lastEnd
	e.mu.Unlock()
	for until := time.Now().Add(d); time.Now().Before(until) && e.ctx.Err() == nil; {
		sleep(e.ctx, executorStep)
		e.mu.Lock()
		ended := e.lastEnd != before
		e.mu.Unlock()
		if ended {
			sleep(e.ctx, endHeartbeat)
			return
		}
	}
}

func (e *executor) put(address string, body []byte) (int, []byte, error) {
	return call(e.ctx, answerTimeout, http.MethodPut, "http://"+address+"/instances/"+e.id, http.Header{"Content-Type": {"application/json"}}, body)
}

func (e *executor) nameAt(address string) string {
	if m := e.play.processAt(address); m != nil {
		return m.name
	}
	return address
}

// orders is a response to a heartbeat.
type orders struct {
	URL          string  `json:"heartbeat-url"`
	HoldMS       int     `json:"hold-ms"`
	AckedThrough int64   `json:"acked-through"`
	Fence        uint64  `json:"fence"`
	Start        [][]any `json:"start"`
	Stop         [][]any `json:"stop"`
	RetryAfterMS int     `json:"retry-after-ms"`
}

// obey carries out a response and returns how long to wait for the next heartbeat.
func (e *executor) obey(data []byte, sent time.Time) time.Duration {
	var o orders
	if err := json.Unmarshal(data, &o); err != nil {
		e.play.rec.add("executor", "%s cannot read a response: %v", e.id, err)
		return endHeartbeat
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.answers++
	e.url = o.URL
	if o.Fence < e.fence || e.ctx.Err() != nil {
		return endHeartbeat
	}
	e.fence = o.Fence
	e.ends = slices.DeleteFunc(e.ends, func(x taskEnd) bool {
		if x.number <= o.AckedThrough {
			e.play.runs.noted(e.id, x.task, x.run, x.how)
			return true
		}
		return false
	})
	if o.HoldMS > 0 {
		if until := sent.Add(min(time.Duration(o.HoldMS)*time.Millisecond, maxHold)); until.After(e.lease) {
			e.lease = until
		}
	}
	for _, s := range o.Stop {
		task, run := s[0].(string), int(s[1].(float64))
		e.highest[task] = max(e.highest[task], run)
		if r := e.running[task]; r != nil && r.run == run && r.stops.IsZero() {
			r.stops = time.Now().Add(stopGrace / 2)
		}
	}
	if o.HoldMS > 0 {
		for _, s := range o.Start {
			task, run := s[0].(string), int(s[1].(float64))
			if e.tickets && len(s) < 5 {
				e.end(task, run, "refused")
				continue
			}
			e.start(task, run)
		}
	}
	return time.Duration(o.RetryAfterMS) * time.Millisecond
}

// start starts a run, or lists it as refused; the caller holds e.mu.
func (e *executor) start(task string, run int) {
	if r := e.running[task]; r != nil && r.run == run {
		return
	}
	if slices.ContainsFunc(e.ends, func(x taskEnd) bool { return x.task == task && x.run == run }) {
		return
	}
	free := e.capacity
	for other := range e.running {
		n := e.need(other)
		free = room{free.CPU - n.CPU, free.MemMB - n.MemMB, free.GPU - n.GPU}
	}
	n := e.need(task)
	if run <= e.highest[task] || e.running[task] != nil || n.CPU > free.CPU || n.MemMB > free.MemMB || n.GPU > free.GPU {
		e.end(task, run, "refused")
		return
	}
	e.running[task] = &taskRun{run: run, started: time.Now()}
	e.play.runs.start(e.id, task, run)
}

// runningRun returns the number of the run of a task that is running here, 0 if there is none.
func (e *executor) runningRun(task string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r := e.running[task]; r != nil {
		return r.run
	}
	return 0
}

// awaitRun waits until a run of a task is running here, for at most d, and reports whether it is.
func (e *executor) awaitRun(task string, d time.Duration) bool {
	for until := time.Now().Add(d); time.Now().Before(until); sleep(e.ctx, executorStep) {
		if e.runningRun(task) != 0 {
			return true
		}
	}
	return false
}

// leader returns the process that the executor's last response named, nil if there is none.
func (e *executor) leader() *process {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.play.processAt(e.url)
}

// putLate delivers a heartbeat after the life that sent it has ended.
func (e *executor) putLate(address string, body []byte) (int, []byte, error) {
	return call(e.play.ctx, answerTimeout, http.MethodPut, "http://"+address+"/instances/"+e.id, http.Header{"Content-Type": {"application/json"}}, body)
}

// nextLife returns a new executor on the same machine, whose life begins now.
func (e *executor) nextLife(id string) *executor {
	next := e.play.newExecutor(e.node, id, e.capacity)
	next.address, next.zone, next.machine, next.labels = e.address, e.zone, e.machine, e.labels
	next.need, next.work, next.startup, next.gauge, next.tickets = e.need, e.work, e.startup, e.gauge, e.tickets
	return next
}
