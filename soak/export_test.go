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
	l.handIn(&job{id: id, accepted: true, spec: batch.Spec{Text: "text", Steps: []batch.Step{{Count: 2}, {Count: 2, Gang: true, After: []int{0}}}}})
	return Ledger{l}
}

// Life names a worker's life.
type Life = *life

// NewLife returns a worker's life.
func NewLife(id string) Life { return &life{id: id} }

// Start notes a start.
func (x Ledger) Start(w Life, id batch.TaskID, run int, text, checkpoint string) {
	x.l.started(w, id, run, text, checkpoint)
}

// End notes an end and, with noted, that the system took note of it; lapsed says that the lease expired before.
func (x Ledger) End(w Life, id batch.TaskID, run int, how batch.EndReason, noted, lapsed bool) {
	x.l.ended(w, id, run, how)
	if noted {
		x.l.noted(end{RunEnd: sched.RunEnd{Task: id, Run: run, Reason: how}, lapsed: lapsed})
	}
}

// Gone notes the end of a worker's life.
func (x Ledger) Gone(w Life) { x.l.gone(w) }

// Refuse makes the job one of which all attempts were refused.
func (x Ledger) Refuse(id string) { x.l.jobs[id].accepted = false }

// Cancelled notes that the job's cancellation was acknowledged some time ago.
func (x Ledger) Cancelled(id string, ago time.Duration) {
	x.l.jobs[id].cancelSent, x.l.jobs[id].cancelled = true, time.Now().Add(-ago)
}

// Shown notes a state that a caller was shown; empty means that the job was not known.
func (x Ledger) Shown(id, state string) {
	if state == "" {
		x.l.missing(x.l.jobs[id])
		return
	}
	x.l.shown(x.l.jobs[id], state)
}

// Declared notes a document and, with acknowledged, its acknowledgement.
func (x Ledger) Declared(version uint64, document string, acknowledged bool) {
	x.l.documents[version] = document
	if acknowledged {
		x.l.acknowledged(version)
	}
}

// Read notes a configuration that was read after the newest acknowledgement.
func (x Ledger) Read(version uint64, document string) {
	x.l.readBack("node", version, x.l.newest(), document)
}

// Violations returns the broken promises.
func (x Ledger) Violations() []string {
	var r Report
	x.l.conclude(&r)
	return r.Violations
}
