package main

import (
	"fmt"
	"sync"
	"time"
)

// runLog holds all runs that executors have begun.
type runLog struct {
	rec  *record
	mu   sync.Mutex
	runs []*loggedRun
}

type loggedRun struct {
	executor, task string
	run            int
	start          time.Duration
	end            time.Duration // 0 while the run goes on
	how            string
	noted          bool // the system has taken note of the end
}

func newRunLog(rec *record) *runLog { return &runLog{rec: rec} }

// maxRecorded bounds the runs whose starts and ends are written to the record one by one.
const maxRecorded = 100

func (l *runLog) start(executor, task string, run int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, &loggedRun{executor: executor, task: task, run: run, start: l.rec.at()})
	if len(l.runs) <= maxRecorded {
		l.rec.add("run", "%s begins run %d of %s", executor, run, task)
	}
}

func (l *runLog) find(executor, task string, run int) *loggedRun {
	for _, r := range l.runs {
		if r.executor == executor && r.task == task && r.run == run {
			return r
		}
	}
	return nil
}

func (l *runLog) end(executor, task string, run int, how string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.find(executor, task, run); r != nil && r.end == 0 {
		r.end, r.how = l.rec.at(), how
	}
	if len(l.runs) <= maxRecorded {
		l.rec.add("run", "%s ends run %d of %s: %s", executor, run, task, how)
	}
}

func (l *runLog) noted(executor, task string, run int, how string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.find(executor, task, run); r != nil {
		r.noted = true
	}
	if len(l.runs) <= maxRecorded {
		l.rec.add("run", "%s's end of run %d of %s (%s) is taken note of", executor, run, task, how)
	}
}

// count returns how many runs of a job's tasks have begun.
func (l *runLog) count(job string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, r := range l.runs {
		if jobOf(r.task) == job {
			n++
		}
	}
	return n
}

// going returns the runs of a job's tasks that go on.
func (l *runLog) going(job string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, r := range l.runs {
		if jobOf(r.task) == job && r.end == 0 {
			n++
		}
	}
	return n
}

// overlap returns two runs of one task that went on at the same time, empty if there are none.
func (l *runLog) overlap() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.rec.at()
	until := func(r *loggedRun) time.Duration {
		if r.end == 0 {
			return now
		}
		return r.end
	}
	worst, text := time.Duration(0), ""
	for i, a := range l.runs {
		for _, b := range l.runs[i+1:] {
			if a.task != b.task {
				continue
			}
			if both := min(until(a), until(b)) - max(a.start, b.start); both > worst {
				worst = both
				text = fmt.Sprintf("run %d of %s on %s and run %d on %s go on at the same time for %.2f s", a.run, a.task, a.executor, b.run, b.executor, both.Seconds())
			}
		}
	}
	return text
}

// jobOf returns the job of a task ID.
func jobOf(task string) string {
	for i := range task {
		if task[i] == '.' {
			return task[:i]
		}
	}
	return task
}

// startsIn counts the runs that some executors have begun since a time.
func (l *runLog) startsIn(executors map[string]bool, since time.Duration) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, r := range l.runs {
		if executors[r.executor] && r.start >= since {
			n++
		}
	}
	return n
}

// total returns how many runs go on.
func (l *runLog) total() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, r := range l.runs {
		if r.end == 0 {
			n++
		}
	}
	return n
}
