package sched

import (
	"time"

	"turmericroute/batch"
)

const (
	// paceAfter is how long a serving task is over its target before the tasks that fill beside it are slowed.
	paceAfter = 300 * time.Millisecond
	// paceBack is how long fillers stay slowed after the last time a serving task was over its target.
	paceBack = 3 * time.Second
)

// pace slows the filling tasks of a worker while a serving task there is over its target.
func (s *Scheduler) pace(o *office, b *batch.Book, w *worker, out *Orders, now time.Duration) {
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
			delete(w.over, id)
			continue
		}
		if _, ok := w.over[id]; !ok {
			w.over[id] = now
		}
		over = over || now-w.over[id] >= paceAfter
	}
	for id := range w.over {
		if !serving[id] {
			delete(w.over, id)
		}
	}
	for id, r := range w.running {
		j := b.Jobs[id.Job]
		if j == nil || j.Task(id) == nil || !j.Spec.Steps[id.Step].Filler {
			continue
		}
		have, known := w.rates[id]
		want := have
		switch {
		case over:
			want = rate{percent: 0, changed: now}
		case !known:
			continue
		case now-have.changed >= paceBack:
			want = rate{percent: 100, changed: now}
		}
		w.rates[id] = want
		out.Rates = append(out.Rates, RateOrder{RunRef: RunRef{Task: id, Run: r.Run}, Percent: want.percent})
	}
	for id := range w.rates {
		if _, ok := w.running[id]; !ok {
			delete(w.rates, id)
		}
	}
}
