package sched

import "time"

const (
	// unbegunAnswers and unbegunTime bound how long a worker is told to start a run that it does not report. One that has
	// received the order reports the run in its next heartbeat; answers can be lost.
	unbegunAnswers = 4
	unbegunTime    = answerTimeout + 500*time.Millisecond
	// firstRest is how long a worker gets no new runs after it has not begun one. It doubles, up to maxRest, until the
	// worker begins a run.
	firstRest = 2 * time.Second
	maxRest   = time.Minute
)

// startOrders counts the answers in which a worker was told to start a run, and holds the boot time of the first one.
type startOrders struct {
	at      time.Duration
	answers int
}

// overdue reports whether the worker should have begun the run by now.
func (o startOrders) overdue(now time.Duration) bool {
	return o.answers >= unbegunAnswers && now-o.at >= unbegunTime
}

// noteStartOrder counts an answer in which a worker is told to start a run.
func (w *worker) noteStartOrder(ref RunRef, now time.Duration) {
	o, ok := w.startOrders[ref]
	if !ok {
		o.at = now
	}
	o.answers++
	w.startOrders[ref] = o
}

// noteUnbegun keeps new runs off a worker for a while that did not begin one: other workers may, and this one would be
// chosen again and again.
func (s *Scheduler) noteUnbegun(l *leaderState, w *worker, ref RunRef, now time.Duration) {
	o := w.startOrders[ref]
	if !o.overdue(now) || w.restsUntil > now {
		return
	}
	rest := min(firstRest<<min(w.rests, 8), maxRest)
	w.rests++
	w.restsUntil = now + rest
	l.room.markStale(w.hb.Worker)
	s.metrics.unbegunStarts.Inc()
	s.cfg.Logger.Log("event", "start_not_begun", "task", ref.Task, "run", ref.Run, "worker", w.hb.Worker, "answers", o.answers, "ordered_ms", (now - o.at).Milliseconds(), "rest_ms", rest.Milliseconds(), "term", l.term)
}

// noteBegun records that a worker has begun a run, so that it does what it is told.
func (l *leaderState) noteBegun(w *worker) {
	if w.restsUntil != 0 {
		l.room.markStale(w.hb.Worker)
	}
	w.rests, w.restsUntil = 0, 0
}

// endRest lets a worker get new runs again whose rest is over.
func (l *leaderState) endRest(w *worker, now time.Duration) {
	if w.restsUntil != 0 && now >= w.restsUntil {
		w.restsUntil = 0
		l.room.markStale(w.hb.Worker)
	}
}
