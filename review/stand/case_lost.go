package main

import (
	"fmt"
	"strings"
	"time"
)

const (
	// finish is finish_s, and idleFor how long after it a job may have nothing running.
	finish  = 14 * time.Second
	idleFor = 3 * time.Second
	// largeJobTasks tasks of tinyTask fit on one executor.
	largeJobTasks = 1300
	specBytes     = 4000
	shortSpec     = 1000
)

var tinyTask = room{CPU: 20, MemMB: 40}

// unfinished waits finish_s after the end of the traffic, and then returns what breaks the rule LOST: for idleFor the
// job is not shown as ended, and nothing of it runs.
func (p *play) unfinished(job string) string {
	p.rec.add("client", "the traffic has ended")
	sleep(p.ctx, finish)
	state := p.state(job)
	for until := time.Now().Add(idleFor); time.Now().Before(until); sleep(p.ctx, 20*time.Millisecond) {
		if p.runs.going(job) > 0 {
			return ""
		}
	}
	if after := p.state(job); after == "succeeded" || state == "succeeded" {
		return ""
	}
	return fmt.Sprintf("job %s, which was accepted, is shown as %s and has had nothing running for %v, %v after the end of the traffic; %d runs of its tasks have begun",
		job, state, idleFor, finish, p.runs.count(job))
}

// playBigAnswer plays a job of many small tasks, whose start orders for one executor exceed what an executor accepts as
// a response.
func playBigAnswer(p *play) (string, error) {
	var list []*executor
	for i := range executorCount {
		e := p.newExecutor(i, fmt.Sprintf("e-%d", i), executorRoom)
		e.need, e.work = func(string) room { return tinyTask }, 2*time.Second
		e.run()
		list = append(list, e)
	}
	if err := p.awaitAnswers(list); err != nil {
		return "", err
	}
	size := shortSpec
	if p.trouble {
		size = specBytes
	}
	const job = "5c0e7a21d94b36f8"
	p.rec.add("client", "a job of %d tasks of a fiftieth of a core, with a spec of %d bytes", largeJobTasks, size)
	if err := p.submit(job, []any{stepOf(largeJobTasks, tinyTask, 2*time.Second)}, strings.Repeat("x", size)); err != nil {
		return "", err
	}
	sleep(p.ctx, 3*time.Second)
	broken := p.unfinished(job)
	for _, e := range list {
		e.mu.Lock()
		p.rec.add("executor", "%s took %d responses and dropped %d", e.id, e.answers, e.dropped)
		e.mu.Unlock()
	}
	return broken, nil
}
