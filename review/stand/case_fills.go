package main

import (
	"fmt"
	"time"
)

const (
	// calmTime is how long after the last disruption, and lostTime how long without a run, a task that lasts counts as lost.
	calmTime = 7 * time.Second
	lostTime = 3 * time.Second
	// quietTail is what a serving task and a task that fills show in heartbeats: a tail in milliseconds below the target.
	quietTail = 20
	target    = 200
	// lookInterval is the pause between two looks at what runs.
	lookInterval = 50 * time.Millisecond
)

// playFills plays the loss of the executor of a serving task, while tasks that fill run on the others.
func playFills(p *play) (string, error) {
	const serving, filling = "5c0e7a21d94b36f8", "7d1f8b32ea5c4709"
	need := func(task string) room {
		if jobOf(task) == filling {
			return room{MemMB: 2000} // the cores of a task that fills don't count
		}
		return smallTask
	}
	list := p.startExecutors(smallTask)
	for _, e := range list {
		e.mu.Lock()
		e.startup, e.need, e.gauge = taskStartup, need, func(string) int { return quietTail }
		e.mu.Unlock()
	}
	if err := p.awaitAnswers(list); err != nil {
		return "", err
	}
	step := stepOf(2, smallTask, time.Second)
	step["persistent"], step["target-ms"], step["image"], step["anti-affinity"] = true, target, "web", 1
	if err := p.submit(serving, []any{step}, "serve"); err != nil {
		return "", err
	}
	sleep(p.ctx, 2*time.Second)
	fill := stepOf(executorCount-2, room{CPU: 2000, MemMB: 2000}, 60*time.Second)
	fill["persistent"], fill["fills"], fill["image"], fill["anti-affinity"] = true, true, "batch", 1
	if err := p.submit(filling, []any{fill}, "fill"); err != nil {
		return "", err
	}
	sleep(p.ctx, 3*time.Second)
	if a, b := p.runs.going(serving), p.runs.going(filling); a != 2 || b != executorCount-2 {
		return "", notRun("%d serving tasks and %d that fill are running", a, b)
	}
	if p.trouble {
		for _, e := range list {
			if e.runningRun(serving+".0.0.0") != 0 {
				p.rec.add("fault", "%s crashes and does not come back", e.id)
				e.crash()
			}
		}
	}
	sleep(p.ctx, calmTime)
	var without time.Duration
	for begun := time.Now(); time.Since(begun) < 6*lostTime && p.ctx.Err() == nil; {
		sleep(p.ctx, lookInterval)
		if p.runs.going(serving) == 2 {
			without = 0
			continue
		}
		if without += lookInterval; without >= 3*lostTime {
			return fmt.Sprintf("a task of the serving job has had no run for %.0f s in calm, though %d executors have room for %d such tasks each",
				without.Seconds(), executorCount-2, min(executorRoom.GPU/smallTask.GPU, executorRoom.CPU/smallTask.CPU)), nil
		}
	}
	return "", nil
}
