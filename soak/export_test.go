package soak

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"turmericroute/batch"
	"turmericroute/platform/stand"
	"turmericroute/sched"
)

// Ledger gives tests access to a ledger.
type Ledger struct{ l *ledger }

// NewLedger returns a ledger with one accepted job of two steps, of which the second
// is a gang and depends on the first.
func NewLedger(id string) Ledger {
	l := newLedger(boundsByName[SmallBounds].recovery)
	l.addJob(&job{id: id, accepted: true, spec: batch.Spec{Text: "text", Steps: []batch.Step{{Count: 2}, {Count: 2, Gang: true, After: []int{0}}}}})
	return Ledger{l}
}

// Worker is a worker known to a ledger.
type Worker = *worker

// NewWorker returns a worker with an ID.
func NewWorker(id string) Worker { return &worker{id: id} }

// RunStarted records the start of a run.
func (x Ledger) RunStarted(w Worker, id batch.TaskID, run int, text, checkpoint string) {
	x.l.runStarted(w, id, run, text, checkpoint)
}

// RunEnded records the end of a run and, with acked, its acknowledgement;
// leaseExpired says that the lease had expired before.
func (x Ledger) RunEnded(w Worker, id batch.TaskID, run int, reason batch.EndReason, acked, leaseExpired bool) {
	x.l.runEnded(w, id, run, reason)
	if acked {
		x.l.endAcknowledged(pendingEnd{RunEnd: sched.RunEnd{Task: id, Run: run, Reason: reason}, leaseExpired: leaseExpired})
	}
}

// WorkerEnded records the end of a worker.
func (x Ledger) WorkerEnded(w Worker) { x.l.workerEnded(w) }

// Disrupted records a disruption that began and ended the given times ago.
func (x Ledger) Disrupted(began, ended time.Duration) {
	x.l.disruptions = append(x.l.disruptions, span{time.Now().Add(-began), time.Now().Add(-ended)})
}

// SubmitRefused turns the job into one whose submissions were all refused.
func (x Ledger) SubmitRefused(id string) { x.l.jobs[id].accepted = false }

// JobCancelled records a cancellation of the job that was acknowledged the given time ago.
func (x Ledger) JobCancelled(id string, ago time.Duration) {
	x.l.jobs[id].cancelSent, x.l.jobs[id].cancelledAt = true, time.Now().Add(-ago)
}

// StateReported records a state that a caller received; empty means that the job was unknown.
func (x Ledger) StateReported(id, state string) {
	if state == "" {
		x.l.jobUnknown(x.l.jobs[id])
		return
	}
	x.l.stateReported(x.l.jobs[id], state)
}

// ConfigSent records a configuration and, with acknowledged, its acknowledgement.
func (x Ledger) ConfigSent(version uint64, document string, acknowledged bool) {
	x.l.documents[version] = document
	if acknowledged {
		x.l.configAcknowledged(version)
	}
}

// ConfigRead records a configuration that was read after the newest acknowledgement.
func (x Ledger) ConfigRead(version uint64, document string) {
	x.l.configRead("node", version, x.l.newestAcknowledged(), document)
}

// LeaderEvent is an event in the log of a control machine, at a time after the start of the calm.
type LeaderEvent struct {
	After   time.Duration
	Machine int
	Kind    string
}

// LongestGap returns the longest time without a leader in a calm.
func LongestGap(calm time.Duration, events ...LeaderEvent) time.Duration {
	from := time.Now()
	var es []leaderEvent
	for _, e := range events {
		es = append(es, leaderEvent{from.Add(e.After), e.Machine, e.Kind})
	}
	return longestGap(es, span{from, from.Add(calm)})
}

// Calm is a soak without processes that is calm since a second ago.
type Calm struct{ s *soak }

// NewCalm returns a calm soak; with ended, its calm has ended.
func NewCalm(ended bool) Calm {
	cfg := Config{Controls: 1, Entries: 1}
	l := newLedger(time.Second)
	s := &soak{cfg: cfg, bounds: boundsByName[SmallBounds], ledger: l, cluster: &cluster{cfg: cfg, machines: []*machine{{name: "control-0"}, {name: "entry-1"}}}}
	if !ended {
		s.calmSince.Store(time.Now().Add(-time.Minute).UnixNano())
	}
	return Calm{s}
}

// SubmissionEnded records the result of a submission that began a given time ago.
func (x Calm) SubmissionEnded(ago time.Duration, status int, body string, err error) {
	x.s.checkCalmSubmission(time.Now().Add(-ago), 0, &job{id: "0a"}, stand.Reply{Status: status, Body: []byte(body)}, err)
}

// ConfigUnanswered checks a change of the configuration that began a given time ago and has not ended.
func (x Calm) ConfigUnanswered(ago time.Duration) {
	x.s.checkCalmConfig(time.Now().Add(-ago), 7, "control-0")
}

// Cut is a cut of the links of one worker.
type Cut struct{ h *host }

// NewCut returns a cut that has begun.
func NewCut(dir string, refuse bool, silence, back, again time.Duration) Cut {
	s := &soak{cfg: Config{Dir: dir}, bounds: boundsByName[SmallBounds], ledger: newLedger(time.Second), transport: &http.Transport{}}
	h := newHost(s, 0)
	go s.cutWorkers(context.Background(), cut{hosts: []*host{h}, refuse: refuse, silence: silence, back: back, again: again})
	for !h.cutOff() {
		time.Sleep(time.Millisecond)
	}
	return Cut{h}
}

// Send sends a request of the worker that fails after a timeout.
func (x Cut) Send(url string, timeout time.Duration) error {
	resp, err := (&http.Client{Transport: x.h, Timeout: timeout}).Get(url)
	if err != nil {
		return fmt.Errorf("send request: %w", err)
	}
	resp.Body.Close()
	return nil
}

// Violations returns all violations.
func (x Calm) Violations() []string { return x.s.ledger.violations }

// Violations returns all violations.
func (x Ledger) Violations() []string {
	var r Report
	x.l.finalChecks(&r)
	return r.Violations
}
