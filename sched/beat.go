package sched

import (
	"context"
	"time"

	"turmericroute/batch"
)

// beat takes in a worker's heartbeat and answers it with orders.
func (s *Scheduler) beat(ctx context.Context, o *office, b Beat) (Answer, error) {
	s.metrics.beats.Inc()
	ends, taken := s.takeBeat(o, b)
	if !taken {
		return Answer{Orders: &Orders{}}, nil
	}
	committed := true
	if len(ends) > 0 {
		wait, cancel := context.WithTimeout(o.ctx, commitWait)
		_, err := o.change(wait, batch.Change{Ends: ends})
		cancel()
		s.logEnds(o, b.Worker, ends, err)
		committed = err == nil
		if committed {
			s.awaitPass(ctx, o)
		}
	}
	return Answer{Orders: s.orders(o, b, committed)}, nil
}

// awaitPass runs a placement pass and waits a little for it, so that the room of
// the runs that have just ended is used in the answer to the same heartbeat.
func (s *Scheduler) awaitPass(ctx context.Context, o *office) {
	s.mu.Lock()
	planned := o.planned
	s.mu.Unlock()
	o.kick()
	t := time.NewTimer(planWait)
	defer t.Stop()
	select {
	case <-planned:
	case <-t.C:
	case <-ctx.Done():
	}
}

// takeBeat notes a heartbeat and returns the ends to commit; it returns false
// for one that is out of date.
func (s *Scheduler) takeBeat(o *office, b Beat) ([]batch.End, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.cfg.Boot()
	w := o.workers[b.Worker]
	switch {
	case w != nil && b.Life < w.beat.Life:
		return nil, false
	case w != nil && b.Life == w.beat.Life && (b.Seq <= w.beat.Seq || w.gone && w.left == 0):
		return nil, false
	case w != nil && b.Life > w.beat.Life:
		s.cfg.Logger.Log("event", "worker_reborn", "worker", b.Worker, "life", b.Life, "before", w.beat.Life)
		w = nil
	}
	for id, other := range o.workers {
		if id == b.Worker || other.gone {
			continue
		}
		if other.beat.supersedes(&b) {
			return nil, false
		}
		if b.supersedes(&other.beat) {
			other.gone = true
			s.cfg.Logger.Log("event", "worker_superseded", "worker", id, "by", b.Worker, "address", b.Address, "machine", b.Machine)
		}
	}
	if w == nil {
		w = newWorker()
		w.leased = o.since + s.expiry()
		o.workers[b.Worker] = w
		s.cfg.Logger.Log("event", "worker_seen", "worker", b.Worker, "dc", b.DataCentre, "rack", b.Rack, "machine", b.Machine, "life", b.Life, "gpus", b.Capacity.GPUs)
	}
	if b.Draining != w.beat.Draining {
		s.cfg.Logger.Log("event", "worker_draining", "worker", b.Worker, "draining", b.Draining, "left_ms", b.DrainLeftMS)
	}
	w.beat, w.heard = b, now
	w.leased = max(w.leased, now+s.expiry())
	w.running = make(map[batch.TaskID]RunState, len(b.Running))
	w.strange = 0
	seen := make(map[RunRef]progress, len(b.Running))
	for _, r := range b.Running {
		w.running[r.Task] = r
		s.begin(o, r.Task.Job)
		ref := RunRef{Task: r.Task, Run: r.Run}
		first, ok := w.progress[ref]
		if !ok {
			first = progress{at: now, percent: r.Percent}
		}
		seen[ref] = first
	}
	w.progress = seen
	var ends []batch.End
	o.ledger.View(func(book *batch.Book) { ends = o.reconcile(book, w, now) })
	w.beat.Ended = nil
	return ends, true
}

// begin notes that a run of a job was seen.
func (s *Scheduler) begin(o *office, id string) {
	if o.begun[id] {
		return
	}
	o.begun[id] = true
	o.ledger.View(func(b *batch.Book) {
		if j := b.Open[id]; j != nil && o.since < s.cfg.Boot()-s.expiry() {
			s.metrics.startSeconds.Update(max(0, s.cfg.Wall().Sub(time.UnixMilli(j.AcceptedMS)).Seconds()))
		}
	})
}

// reconcile compares what a worker reports with the ledger and returns the ends to commit.
func (o *office) reconcile(b *batch.Book, w *worker, now time.Duration) []batch.End {
	var ends []batch.End
	listed := map[RunRef]bool{}
	for _, e := range w.beat.Ended {
		ref := RunRef{Task: e.Task, Run: e.Run}
		listed[ref] = true
		if e.How != batch.EndRefused {
			o.begun[e.Task.Job] = true
		}
		if wanted(b, e) {
			ends = append(ends, batch.End{Task: e.Task, Run: e.Run, How: e.How, Checkpoint: e.Checkpoint})
			o.noteBreak(b, ref, e.How)
			if e.How == batch.EndFailed {
				w.failedAt = append(w.failedAt, now)
			}
		}
		delete(w.seen, ref)
		delete(w.stopped, ref)
	}
	for id, run := range b.Runs[w.beat.Worker] {
		ref := RunRef{Task: id, Run: run}
		t := b.Jobs[id.Job].Task(id)
		if r, ok := w.running[id]; ok && r.Run == run {
			w.seen[ref] = 0
			continue
		}
		if listed[ref] {
			continue
		}
		switch misses, seen := w.seen[ref]; {
		case t.Life != w.beat.Life:
			ends = append(ends, batch.End{Task: id, Run: run, How: batch.EndLost})
		case seen && misses+1 >= vanishedAfter:
			ends = append(ends, batch.End{Task: id, Run: run, How: batch.EndLost})
			delete(w.seen, ref)
		case seen:
			w.seen[ref] = misses + 1
		case w.stopped[ref] != 0 && w.stopped[ref] < w.beat.Seq:
			// The worker has taken the stop and lists the run neither as running nor as ended: it never started.
			ends = append(ends, batch.End{Task: id, Run: run, How: batch.EndUnsent})
			delete(w.stopped, ref)
		}
	}
	return ends
}

// noteBreak notes what the end of a member says of its gang: that it has broken, or by which member.
func (o *office) noteBreak(b *batch.Book, ref RunRef, how batch.How) {
	if !b.Jobs[ref.Task.Job].Spec.Steps[ref.Task.Step].Gang {
		return
	}
	ref.Task.Index = 0
	switch how {
	case batch.EndBroken:
		o.broken[ref] = true
	case batch.EndFailed, batch.EndStopped, batch.EndLapsed:
		o.breakers[ref] = true
	}
}

// vanishedAfter is how many heartbeats in a row must omit a run that was
// running; a long list of ends is sent in parts.
const vanishedAfter = 4

// wanted reports whether an end changes the ledger.
func wanted(b *batch.Book, e RunEnd) bool {
	j := b.Jobs[e.Task.Job]
	if j == nil {
		return false
	}
	t := j.Task(e.Task)
	if t == nil {
		return false
	}
	if (batch.End{Run: e.Run, How: e.How}).LateFailure(*t) {
		return true
	}
	if t.Run != e.Run {
		return false
	}
	return t.Active || e.How == batch.EndDone && !t.Done && !j.State.Final()
}

func (s *Scheduler) logEnds(o *office, worker string, ends []batch.End, err error) {
	for _, e := range ends {
		s.metrics.ended(e.How).Inc()
		s.cfg.Logger.Log("event", "run_ended", "task", e.Task, "run", e.Run, "how", e.How, "worker", worker, "term", o.term, "err", err)
	}
	o.kick()
}

// leave notes the orderly end of a worker's life, with which all its runs end.
// They are not recorded as lost at once: the last heartbeat, which may list a
// run as done, can arrive after the farewell.
func (s *Scheduler) leave(o *office, id string) Answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w := o.workers[id]; w != nil && !w.gone {
		w.gone, w.left = true, s.cfg.Boot()
		s.cfg.Logger.Log("event", "worker_left", "worker", id, "running", len(w.running))
	}
	return Answer{}
}
