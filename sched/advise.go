package sched

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"turmericroute/batch"
	"turmericroute/clock"
)

const (
	// maxAdviceWorkers bounds the workers named in one request to the policy service.
	maxAdviceWorkers = 30
	// adviceInterval is the pause between searches for steps that need tickets.
	adviceInterval = 50 * time.Millisecond
	// adviceTimeout bounds one request to the policy service.
	adviceTimeout = 3 * time.Second
	// ticketMargin is the part of a ticket's validity that is reserved for the start order to reach the worker.
	ticketMargin = 400 * time.Millisecond
)

// tickets are the tickets that the policy service has issued for one step, by worker; they expire together.
type tickets struct {
	byWorker   map[string]string
	validUntil time.Duration
}

// needsTicket reports whether the runs of a job need a ticket of the policy service.
func needsTicket(b *batch.State, j *batch.Job) bool {
	q, ok := b.Catalog.Queue(j.Queue)
	return ok && q.Advice != nil
}

func stepName(id batch.TaskID) string { return fmt.Sprintf("%s.%d.%d", id.Job, id.Round, id.Step) }

// ticket returns the ticket for a task on a worker, or "" if there is no valid one.
func (l *leaderState) ticket(id batch.TaskID, worker string, now time.Duration) string {
	t := l.tickets[stepName(id)]
	if t == nil || now >= t.validUntil {
		return ""
	}
	return t.byWorker[worker]
}

// requestTickets requests tickets for waiting steps, one request at a time: the policy service serves only one
// concurrent request per caller.
func (s *Scheduler) requestTickets(l *leaderState) {
	if s.cfg.Adviser == nil {
		return
	}
	for clock.Sleep(l.ctx, adviceInterval) {
		step, job, workers := s.nextStepWithoutTickets(l)
		if step == "" {
			continue
		}
		ctx, cancel := context.WithTimeout(l.ctx, adviceTimeout)
		started := s.cfg.BootClock()
		by, validity, err := s.cfg.Adviser.Advise(ctx, step, workers)
		cancel()
		s.cfg.Logger.Log("event", "advice", "step", step, "asked", len(workers), "good", len(by), "validity_ms", validity.Milliseconds(), "took_ms", (s.cfg.BootClock() - started).Milliseconds(), "err", err)
		if err != nil {
			continue
		}
		s.mu.Lock()
		l.tickets[step] = &tickets{byWorker: by, validUntil: s.cfg.BootClock() + validity - min(ticketMargin, validity/4)}
		l.waiting.touched[job] = true
		s.mu.Unlock()
		l.triggerPass()
	}
}

// nextStepWithoutTickets returns the name of the highest-ranked step that waits for tickets, its job and the workers to
// request them for; the name is empty if there is none. It also deletes tickets that expired over a minute ago
// if no step waits.
func (s *Scheduler) nextStepWithoutTickets(l *leaderState) (step, job string, workers []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l.ledger.View(func(b *batch.State) {
		if !slices.ContainsFunc(b.Catalog.Queues, func(q batch.Queue) bool { return q.Advice != nil }) {
			return
		}
		p := s.newPass(l, b)
		if w := p.firstStepWithoutTickets(); w != nil {
			step, job, workers = stepName(w.first), w.job.ID, p.candidates(w)
			return
		}
		for name, t := range maps.All(l.tickets) {
			if p.now > t.validUntil+time.Minute {
				delete(l.tickets, name)
			}
		}
	})
	return step, job, workers
}

// firstStepWithoutTickets returns the highest-ranked waiting step that needs tickets and has no valid ones, nil if there
// is none.
func (p *pass) firstStepWithoutTickets() *waitingStep {
	var first *waitingStep
	for _, w := range p.waiting.steps {
		if !needsTicket(p.state, w.job) {
			continue
		}
		if t := p.l.tickets[stepName(w.first)]; t != nil && p.now < t.validUntil {
			continue
		}
		if first == nil || cmp.Or(compareRanks(p.rank(w.job), p.rank(first.job)), compareTasks(w.first, first.first)) < 0 {
			first = w
		}
	}
	return first
}

// candidates returns up to maxAdviceWorkers workers that have the most room for a step.
func (p *pass) candidates(w *waitingStep) []string {
	r := request{waitingStep: w, step: &w.job.Spec.Steps[w.first.Step], service: p.service(w.job)}
	r.need, r.count = r.step.Reservation(), r.step.Count
	list := slices.DeleteFunc(slices.Clone(p.room.list), func(wv *workerView) bool { return !r.allowed(wv) || wv.flaky })
	slices.SortStableFunc(list, func(a, b *workerView) int { return p.fitCount(&r, b, b.free) - p.fitCount(&r, a, a.free) })
	var out []string
	for _, wv := range list[:min(len(list), maxAdviceWorkers)] {
		out = append(out, wv.id)
	}
	return out
}
