package sched

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"turmericroute/batch"
	"turmericroute/clock"
)

const (
	// maxAdviceWorkers bounds the workers that one call for advice names.
	maxAdviceWorkers = 30
	// adviceInterval is how often waiting steps are looked for.
	adviceInterval = 50 * time.Millisecond
	// adviceTimeout bounds one call for advice.
	adviceTimeout = 3 * time.Second
	// ticketMargin is the part of a ticket's validity that is left for the order to reach the worker.
	ticketMargin = 400 * time.Millisecond
)

// tickets are the policy service's permissions for one step.
type tickets struct {
	byWorker   map[string]string
	validUntil time.Duration
}

// needsTicket reports whether the starts of a job need permission.
func needsTicket(b *batch.State, j *batch.Job) bool {
	q, ok := b.Catalog.Queue(j.Queue)
	return ok && q.Advice != nil
}

func stepName(id batch.TaskID) string { return fmt.Sprintf("%s.%d.%d", id.Job, id.Round, id.Step) }

// ticket returns the permission for a task on a worker, empty when there is none that is valid.
func (o *leadership) ticket(id batch.TaskID, worker string, now time.Duration) string {
	t := o.tickets[stepName(id)]
	if t == nil || now >= t.validUntil {
		return ""
	}
	return t.byWorker[worker]
}

// requestTickets asks for permissions, one call at a time, since the service takes one at a time from each caller.
func (s *Scheduler) requestTickets(o *leadership) {
	if s.cfg.Adviser == nil {
		return
	}
	for clock.Sleep(o.ctx, adviceInterval) {
		step, workers := s.nextStepWithoutTickets(o)
		if step == "" {
			continue
		}
		ctx, cancel := context.WithTimeout(o.ctx, adviceTimeout)
		asked := s.cfg.BootClock()
		by, validity, err := s.cfg.Adviser.Advise(ctx, step, workers)
		cancel()
		s.cfg.Logger.Log("event", "advice", "step", step, "asked", len(workers), "good", len(by), "validity_ms", validity.Milliseconds(), "took_ms", (s.cfg.BootClock() - asked).Milliseconds(), "err", err)
		if err != nil {
			continue
		}
		s.mu.Lock()
		o.tickets[step] = &tickets{byWorker: by, validUntil: s.cfg.BootClock() + validity - min(ticketMargin, validity/4)}
		s.mu.Unlock()
		o.triggerPass()
	}
}

// nextStepWithoutTickets returns the most urgent step that waits for permission, and the workers to ask about.
func (s *Scheduler) nextStepWithoutTickets(o *leadership) (string, []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := &pass{s: s, o: o, now: s.cfg.BootClock(), nowMS: s.cfg.WallClock().UnixMilli(), viewByID: map[string]*workerView{}, demand: map[string]int{}}
	var name string
	var workers []string
	o.ledger.View(func(b *batch.State) {
		if !slices.ContainsFunc(b.Catalog.Queues, func(q batch.Queue) bool { return q.Advice != nil }) {
			return
		}
		p.state = b
		p.survey()
		for _, j := range p.jobsByRank() {
			if !needsTicket(b, j) {
				continue
			}
			if first, ok := p.firstStepWithoutTickets(j); ok {
				name = stepName(first)
				workers = p.candidates(j, first)
				return
			}
		}
		for step, t := range maps.All(o.tickets) {
			if p.now > t.validUntil+time.Minute {
				delete(o.tickets, step)
			}
		}
	})
	return name, workers
}

// firstStepWithoutTickets returns the first step of a job that has idle tasks and no valid tickets.
func (p *pass) firstStepWithoutTickets(j *batch.Job) (batch.TaskID, bool) {
	for round := range j.Rounds {
		if j.Spec.DueMS(round) > p.nowMS {
			continue
		}
		for step := range j.Rounds[round] {
			first := batch.TaskID{Job: j.ID, Round: round, Step: step}
			if t := p.o.tickets[stepName(first)]; t != nil && p.now < t.validUntil || !j.Ready(round, step) {
				continue
			}
			for i := range j.Rounds[round][step].Tasks {
				id := first
				id.Index = i
				if p.needsRun(j, id) {
					return first, true
				}
			}
		}
	}
	return batch.TaskID{}, false
}

// candidates returns the workers with the most room for a step.
func (p *pass) candidates(j *batch.Job, first batch.TaskID) []string {
	r := request{job: j, first: first, step: j.Spec.Steps[first.Step], service: p.service(j)}
	r.need = r.step.Reservation()
	list := slices.DeleteFunc(slices.Clone(p.views), func(st *workerView) bool { return !r.allowed(st) || st.flaky })
	slices.SortStableFunc(list, func(a, b *workerView) int { return p.fitCount(&r, b, b.free) - p.fitCount(&r, a, a.free) })
	var out []string
	for _, st := range list[:min(len(list), maxAdviceWorkers)] {
		out = append(out, st.id)
	}
	return out
}
