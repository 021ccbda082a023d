package sched

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
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
	// maxCandidateSearches bounds the searches for workers to ask for in one look at the waiting steps, as each of them
	// looks at all workers; candidateRetryInterval is the pause after one that has found none, so that others get a turn.
	maxCandidateSearches   = 8
	candidateRetryInterval = 500 * time.Millisecond
	// ticketMargin is the part of a ticket's validity that is reserved for the start order to reach the worker.
	ticketMargin = 400 * time.Millisecond
)

// tickets are the tickets that the policy service has issued for one step.
type tickets struct {
	// byWorker holds the tickets by worker; they expire together.
	byWorker   map[string]issuedTicket
	validUntil time.Duration
	// denied holds the workers that may not run the step, with the life that was asked for. That does not change.
	denied map[string]int64
	// searchAt is the boot time before which no further workers to ask for are searched.
	searchAt time.Duration
}

// issuedTicket is a ticket that is valid during one life of a worker.
type issuedTicket struct {
	text string
	life int64
}

// of reports whether the ticket was issued for the present life of a worker.
func (t issuedTicket) of(wv *workerView) bool { return t.text != "" && t.life == wv.hb.Incarnation }

// note adds an answer of the policy service for the workers asked for.
func (t *tickets) note(asked []candidate, by map[string]string, validUntil, now time.Duration) {
	if now >= t.validUntil {
		t.byWorker, t.validUntil = map[string]issuedTicket{}, validUntil
	}
	t.validUntil = min(t.validUntil, validUntil)
	for _, c := range asked {
		if by[c.id] == "" {
			t.denied[c.id] = c.life
			continue
		}
		t.byWorker[c.id] = issuedTicket{text: by[c.id], life: c.life}
	}
}

// candidate is a life of a worker that may be able to run a step.
type candidate struct {
	id   string
	life int64
}

// needsTicket reports whether the runs of a job need a ticket of the policy service.
func needsTicket(b *batch.State, j *batch.Job) bool {
	q, ok := b.Catalog.Queue(j.Queue)
	return ok && q.Advice != nil
}

func stepName(id batch.TaskID) string { return fmt.Sprintf("%s.%d.%d", id.Job, id.Round, id.Step) }

// ticket returns the ticket for a task on a worker, or "" if there is no valid one.
func (l *leaderState) ticket(id batch.TaskID, worker string, now time.Duration) string {
	t, w := l.tickets[stepName(id)], l.workers[worker]
	if t == nil || now >= t.validUntil || w == nil || t.byWorker[worker].life != w.hb.Incarnation {
		return ""
	}
	return t.byWorker[worker].text
}

// ticketsOf returns the record of a step's tickets.
func (l *leaderState) ticketsOf(step string) *tickets {
	t := l.tickets[step]
	if t == nil {
		t = &tickets{denied: map[string]int64{}}
		l.tickets[step] = t
	}
	return t
}

// requestTickets requests tickets for waiting steps, one request at a time: the policy service serves only one
// concurrent request per caller.
func (s *Scheduler) requestTickets(l *leaderState) {
	if s.cfg.Adviser == nil {
		return
	}
	for clock.Sleep(l.ctx, adviceInterval) {
		step, job, asked := s.nextStepWithoutTickets(l)
		if step == "" {
			continue
		}
		workers := make([]string, len(asked))
		for i, c := range asked {
			workers[i] = c.id
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
		now := s.cfg.BootClock()
		l.ticketsOf(step).note(asked, by, now+validity-min(ticketMargin, validity/4), now)
		l.waiting.touched[job] = true
		s.mu.Unlock()
		l.triggerPass()
	}
}

// nextStepWithoutTickets returns the name of the highest-ranked step that waits for tickets, its job and the workers to
// request them for; the name is empty if there is none. It also deletes the tickets of jobs that have ended.
func (s *Scheduler) nextStepWithoutTickets(l *leaderState) (step, job string, workers []candidate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l.ledger.View(func(b *batch.State) {
		if !slices.ContainsFunc(b.Catalog.Queues, func(q batch.Queue) bool { return q.Advice != nil }) {
			return
		}
		maps.DeleteFunc(l.tickets, func(step string, _ *tickets) bool {
			job, _, _ := strings.Cut(step, ".")
			return b.Open[job] == nil
		})
		p := s.newPass(l, b)
		if w, list := p.firstStepWithoutTickets(); w != nil {
			step, job, workers = stepName(w.first), w.job.ID, list
		}
	})
	return step, job, workers
}

// firstStepWithoutTickets returns the highest-ranked waiting step that needs tickets, and the workers to ask for; nil if
// there is none.
func (p *pass) firstStepWithoutTickets() (*waitingStep, []candidate) {
	waiting := p.rankedWaiting(func(w *waitingStep) bool {
		t := p.l.tickets[stepName(w.first)]
		return needsTicket(p.state, w.job) && (t == nil || p.now >= t.searchAt) && !p.hasTicketedRoom(w)
	})
	for _, w := range waiting[:min(len(waiting), maxCandidateSearches)] {
		if list := p.candidates(w); len(list) > 0 {
			return w, list
		}
		t := p.l.ticketsOf(stepName(w.first))
		if t.searchAt = p.now + candidateRetryInterval; p.now < t.validUntil {
			t.searchAt = min(t.searchAt, t.validUntil)
		}
	}
	return nil, nil
}

// hasTicketedRoom reports whether a step has valid tickets for workers with room for it: for the whole gang, or for at
// least one task.
func (p *pass) hasTicketedRoom(w *waitingStep) bool {
	r, ok := p.newRequest(w)
	if !ok {
		return false
	}
	need := 1
	if r.step.Gang {
		need = r.count
	}
	for id := range r.ticket {
		if wv := p.room.views[id]; wv != nil && !wv.standing.Failing && !wv.standing.Probation {
			need -= p.fitCount(&r, wv, wv.free)
		}
	}
	return need <= 0
}

// candidates returns up to maxAdviceWorkers workers that have the most room for a step, without those that the policy
// service has denied and those that have valid tickets. While there are valid tickets, workers without room wait.
func (p *pass) candidates(w *waitingStep) []candidate {
	r := request{waitingStep: w, step: &w.job.Spec.Steps[w.first.Step], service: p.service(w.job)}
	r.need, r.count = r.step.Reservation(), r.step.Count
	t := p.l.tickets[stepName(w.first)]
	list := slices.DeleteFunc(slices.Clone(p.room.list), func(wv *workerView) bool {
		return !r.allowed(wv) || wv.standing.Failing || t != nil && t.covers(wv, p.now)
	})
	fits := make(map[*workerView]int, len(list))
	for _, wv := range list {
		fits[wv] = p.fitCount(&r, wv, wv.free)
	}
	if t != nil && p.now < t.validUntil {
		list = slices.DeleteFunc(list, func(wv *workerView) bool { return fits[wv] == 0 })
	}
	slices.SortStableFunc(list, func(a, b *workerView) int { return fits[b] - fits[a] })
	var out []candidate
	for _, wv := range list[:min(len(list), maxAdviceWorkers)] {
		out = append(out, candidate{id: wv.id, life: wv.hb.Incarnation})
	}
	return out
}

// covers reports whether the policy service need not be asked about a worker: it has been denied in its present life, or
// has a valid ticket.
func (t *tickets) covers(wv *workerView, now time.Duration) bool {
	if life, ok := t.denied[wv.id]; ok && life == wv.hb.Incarnation {
		return true
	}
	return now < t.validUntil && t.byWorker[wv.id].of(wv)
}
