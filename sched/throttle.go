package sched

import (
	"time"

	"turmericroute/batch"
)

const (
	// throttleAfter is how long a serving task must exceed its target latency before best-effort tasks are throttled.
	throttleAfter = 300 * time.Millisecond
	// throttleRelease is how long best-effort tasks stay throttled after a serving task last exceeded its target latency.
	throttleRelease = 3 * time.Second
)

// throttle adds rate orders that throttle the best-effort tasks of a worker while a serving task there exceeds its
// target latency.
func (s *Scheduler) throttle(l *leaderState, b *batch.State, w *worker, out *Orders, now time.Duration) {
	over := false
	serving := map[batch.TaskID]bool{}
	for id, r := range w.running {
		j := b.Jobs[id.Job]
		if j == nil || j.Task(id) == nil {
			continue
		}
		target := j.Spec.Steps[id.Step].TargetMS
		if target == 0 {
			continue
		}
		serving[id] = true
		if r.Gauge <= target {
			delete(w.overTargetSince, id)
			continue
		}
		if _, ok := w.overTargetSince[id]; !ok {
			w.overTargetSince[id] = now
		}
		over = over || now-w.overTargetSince[id] >= throttleAfter
	}
	for id := range w.overTargetSince {
		if !serving[id] {
			delete(w.overTargetSince, id)
		}
	}
	for id, r := range w.running {
		j := b.Jobs[id.Job]
		if j == nil || j.Task(id) == nil || !j.Spec.Steps[id.Step].BestEffort {
			continue
		}
		current, known := w.rates[id]
		next := current
		switch {
		case over:
			next = rate{percent: 0, changedAt: now}
		case !known, current.inherited && now-current.changedAt < throttleRelease:
			continue
		case current.percent == 100 && now-current.changedAt >= throttleRelease:
			delete(w.rates, id) // repeated for long enough
			continue
		case now-current.changedAt >= throttleRelease:
			next = rate{percent: 100, changedAt: now}
		}
		w.rates[id] = next
		out.Rates = append(out.Rates, RateOrder{RunRef: RunRef{Task: id, Run: r.Run}, Percent: next.percent})
	}
	for id := range w.rates {
		if _, ok := w.running[id]; !ok {
			delete(w.rates, id)
		}
	}
}
