package main

import (
	"fmt"
	"syscall"
	"time"
)

const (
	executorCount = 8
	// longWork is longer than any case, so that runs go on until they are stopped.
	longWork = 10 * time.Minute
)

// smallTask is a task that fills half of an executor.
var smallTask = room{CPU: 4000, MemMB: 8000, GPU: 4}

var executorRoom = room{CPU: 32000, MemMB: 64000, GPU: 8}

func stepOf(count int, need room, estimate time.Duration) map[string]any {
	return map[string]any{"count": count, "cpu": need.CPU, "mem-mb": need.MemMB, "gpu": need.GPU, "estimate-ms": estimate.Milliseconds()}
}

// startExecutors starts the executors e-0 to e-7.
func (p *play) startExecutors(need room) []*executor {
	var list []*executor
	for i := range executorCount {
		e := p.newExecutor(i, fmt.Sprintf("e-%d", i), executorRoom)
		e.need, e.work = func(string) room { return need }, longWork
		e.run()
		list = append(list, e)
	}
	return list
}

// awaitAnswers waits until all executors are answered.
func (p *play) awaitAnswers(list []*executor) error {
	for until := time.Now().Add(10 * time.Second); time.Now().Before(until); sleep(p.ctx, 50*time.Millisecond) {
		all := true
		for _, e := range list {
			e.mu.Lock()
			all = all && e.answers > 2
			e.mu.Unlock()
		}
		if all {
			return nil
		}
	}
	return notRun("not all executors are answered")
}

// playLateHeartbeat plays a restart of the leader while a heartbeat of an executor's former life is under way, and the
// next ones of its present life are late.
func playLateHeartbeat(p *play) (string, error) {
	list := p.startExecutors(smallTask)
	if err := p.awaitAnswers(list); err != nil {
		return "", err
	}
	first := list[0]
	oldBody := first.body()
	if p.trouble {
		p.rec.add("fault", "a heartbeat of %s (born %d) is held up by a partition", first.id, first.born)
		first.crash()
		p.rec.add("fault", "%s crashes", first.id)
		sleep(p.ctx, time.Second)
	}
	// The executor starts again under its ID, at its address and on its machine.
	reborn := first
	if p.trouble {
		reborn = p.newExecutor(0, first.id, executorRoom)
		reborn.need, reborn.work = first.need, first.work
		p.rec.add("executor", "%s starts again (born %d)", reborn.id, reborn.born)
		reborn.run()
		list[0] = reborn
		if err := p.awaitAnswers(list[:1]); err != nil {
			return "", err
		}
	}
	const job = "5c0e7a21d94b36f8"
	if err := p.submit(job, []any{stepOf(2, smallTask, 30*time.Second)}, "cut"); err != nil {
		return "", err
	}
	sleep(p.ctx, 2*time.Second)
	task := ""
	for i := range 2 {
		id := fmt.Sprintf("%s.0.0.%d", job, i)
		if reborn.runningRun(id) != 0 {
			task = id
		}
	}
	if task == "" {
		return "", notRun("no task of the job runs on %s", reborn.id)
	}
	if p.trouble {
		leader := list[1].leader()
		if leader == nil {
			return "", notRun("the leader is not known")
		}
		reborn.mu.Lock()
		reborn.lateUntil = time.Now().Add(lateFor)
		reborn.mu.Unlock()
		sleep(p.ctx, 150*time.Millisecond)
		p.rec.add("fault", "SIGTERM to %s, which leads", leader.name)
		leader.signal(syscall.SIGTERM)
		sleep(p.ctx, 1500*time.Millisecond)
		node := p.entries()[1]
		status, data, err := first.putLate(node.controlAddress(), oldBody)
		p.rec.add("late", "the heartbeat of %s's former life arrives at %s: %d %s %v", first.id, node.name, status, data, errText(err))
	}
	sleep(p.ctx, 8*time.Second)
	return p.runs.overlap(), nil
}

// lateFor is how long heartbeats of the restarted executor arrive late, in all; its lease is longer.
const lateFor = 2500 * time.Millisecond
