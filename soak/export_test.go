package soak

import (
	"time"

	"turmericroute/batch"
	"turmericroute/sched"
)

// Ledger is the ledger with calls for its tests.
type Ledger struct{ l *ledger }

// NewLedger returns a ledger that knows one accepted job of two steps, of which the second is a gang.
func NewLedger(id string) Ledger {
	l := newLedger()
	l.addJob(&job{id: id, accepted: true, spec: batch.Spec{Text: "text", Steps: []batch.Step{{Count: 2}, {Count: 2, Gang: true, After: []int{0}}}}})
	return Ledger{l}
}

// Worker names a worker's life.
type Worker = *worker

// NewWorker returns a worker's life.
func NewWorker(id string) Worker { return &worker{id: id} }

// RunStarted notes a start.
func (x Ledger) RunStarted(w Worker, id batch.TaskID, run int, text, checkpoint string) {
	x.l.runStarted(w, id, run, text, checkpoint)
}

// RunEnded notes an end and, with noted, that the system took note of it; lapsed says that the lease expired before.
func (x Ledger) RunEnded(w Worker, id batch.TaskID, run int, how batch.How, noted, lapsed bool) {
	x.l.runEnded(w, id, run, how)
	if noted {
		x.l.endAcknowledged(runEnd{RunEnd: sched.RunEnd{Task: id, Run: run, How: how}, leaseExpired: lapsed})
	}
}

// Ended notes the end of a worker's life.
func (x Ledger) Ended(w Worker) { x.l.workerEnded(w) }

// Refuse makes the job one of which all attempts were refused.
func (x Ledger) Refuse(id string) { x.l.jobs[id].accepted = false }

// Cancelled notes that the job's cancellation was acknowledged some time ago.
func (x Ledger) Cancelled(id string, ago time.Duration) {
	x.l.jobs[id].cancelSent, x.l.jobs[id].cancelledAt = true, time.Now().Add(-ago)
}

// StateReported notes a state that a caller was shown; empty means that the job was not known.
func (x Ledger) StateReported(id, state string) {
	if state == "" {
		x.l.jobUnknown(x.l.jobs[id])
		return
	}
	x.l.stateReported(x.l.jobs[id], state)
}

// ConfigSent notes a document and, with acknowledged, its acknowledgement.
func (x Ledger) ConfigSent(version uint64, document string, acknowledged bool) {
	x.l.documents[version] = document
	if acknowledged {
		x.l.configAcknowledged(version)
	}
}

// ConfigRead notes a configuration that was read after the newest acknowledgement.
func (x Ledger) ConfigRead(version uint64, document string) {
	x.l.configRead("node", version, x.l.newestAcknowledged(), document)
}

// Violations returns the broken promises.
func (x Ledger) Violations() []string {
	var r Report
	x.l.finalChecks(&r)
	return r.Violations
}
