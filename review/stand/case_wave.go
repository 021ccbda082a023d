package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// waveMaximum is how many machines of the wave may have their upkeep at once.
	waveMaximum = 2
	// taskStartup is how long a task that lasts starts up.
	taskStartup = 500 * time.Millisecond
	waveTime    = 60 * time.Second
	// waveWatch is how long the wave is watched; a wave of eight machines takes half of it.
	waveWatch = 30 * time.Second
)

// servedTasks keeps which tasks of a job that lasts have been ended by an upkeep and are not at work again.
type servedTasks struct {
	play    *play
	job     string
	mayMiss int

	mu     sync.Mutex
	away   map[string]string // the machine whose upkeep ended the task, by task
	broken string
}

// ended notes the tasks that an upkeep ends, and whether too many others of their step are away.
func (s *servedTasks) ended(e *executor, tasks []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, task := range tasks {
		if jobOf(task) != s.job {
			continue
		}
		if len(s.away) >= s.mayMiss && s.broken == "" {
			s.broken = fmt.Sprintf("the upkeep of %s ends %s, which is at work, while %v are away, ended by the upkeep of other machines; may-miss is %d", e.machine, task, s.away, s.mayMiss)
		}
		s.play.rec.add("upkeep", "the upkeep of %s ends %s, which is at work; away by other upkeeps: %v", e.machine, task, s.away)
		s.away[task] = e.machine
	}
}

// returned notes the tasks that are at work again.
func (s *servedTasks) returned(list []*executor) {
	for _, e := range list {
		for _, task := range e.atWork() {
			s.mu.Lock()
			if _, ok := s.away[task]; ok {
				s.play.rec.add("run", "%s is at work again, on %s", task, e.machine)
				delete(s.away, task)
			}
			s.mu.Unlock()
		}
	}
}

// verdict returns what broke the rule, empty if nothing did.
func (s *servedTasks) verdict() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.broken
}

// playWave plays a wave of upkeep on machines that run a job of which one task may be missing.
func playWave(p *play) (string, error) {
	list := p.startExecutors(smallTask)
	for _, e := range list {
		e.mu.Lock()
		e.startup = taskStartup
		e.mu.Unlock()
	}
	tasks := &servedTasks{play: p, job: "5c0e7a21d94b36f8", mayMiss: 1, away: map[string]string{}}
	machines := newMachineService(p, list)
	machines.onUpkeep = tasks.ended
	if err := machines.serve(); err != nil {
		return "", err
	}
	if err := p.awaitAnswers(list); err != nil {
		return "", err
	}
	step := stepOf(3, smallTask, time.Second)
	step["persistent"], step["may-miss"], step["anti-affinity"] = true, tasks.mayMiss, 1
	if err := p.submit(tasks.job, []any{step}, "serve"); err != nil {
		return "", err
	}
	sleep(p.ctx, 5*time.Second)
	if n := len(machines.tasksAtWork()); n != 3 {
		return "", notRun("%d of 3 tasks are at work", n)
	}
	if p.trouble {
		names := []string{}
		for _, e := range list {
			names = append(names, e.machine)
		}
		if err := p.startWave(1, names); err != nil {
			return "", err
		}
	}
	for until := time.Now().Add(waveWatch); time.Now().Before(until) && p.ctx.Err() == nil; sleep(p.ctx, executorStep) {
		tasks.returned(machines.present())
		if broken := tasks.verdict(); broken != "" {
			return broken, nil
		}
	}
	return "", nil
}

// startWave sends the operator's request for a wave.
func (p *play) startWave(number int, machines []string) error {
	body, err := encode(map[string]any{"wave": number, "machines": machines, "duration-s": waveTime.Seconds(), "maximum": waveMaximum})
	if err != nil {
		return err
	}
	p.rec.add("operator", "wave %d of %v, at most %d at once", number, machines, waveMaximum)
	status, _, err := p.order(http.MethodPost, "/wave-start", body)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return notRun("the wave was answered with %d", status)
	}
	return nil
}
