package sched

import (
	"maps"
	"slices"
	"time"

	"turmericroute/batch"
	"turmericroute/fleet"
	"turmericroute/loss"
)

// worker is the leader's record of one incarnation of a worker.
type worker struct {
	// hb is the latest heartbeat, without its ends once they have been processed.
	hb Heartbeat
	// heardAt is when the latest heartbeat arrived, and leaseEnd when its lease has expired on any clock; both are boot
	// times.
	heardAt, leaseEnd time.Duration
	// gone is set once the incarnation has ended.
	gone bool
	// leaving is set by a notice of leaving until the next heartbeat, addressTaken while a later worker at the same
	// address is heard from. No run is placed on the worker meanwhile.
	leaving, addressTaken bool
	// supersededBy is the ID of a later worker on the same machine while that is heard from, or this one is silent. No run
	// is placed or started on the worker meanwhile.
	supersededBy string
	// startOrders holds the active runs that this leader has told the worker to start.
	startOrders map[RunRef]startOrders
	// rests counts the rests since the worker last began a run, and restsUntil is the boot time at which the present one
	// ends, 0 if there is none. No run is placed on the worker during a rest.
	rests      int
	restsUntil time.Duration
	// interval is the heartbeat interval that was last requested of the worker.
	interval time.Duration
	// checkAt is the boot time of the worker's next entry in room.checks, 0 if there is none.
	checkAt time.Duration
	// running holds the runs of the latest heartbeat.
	running map[batch.TaskID]RunState
	// missedReports holds the active runs that were reported, as running or ended, with the number of consecutive
	// heartbeats that have omitted them since.
	missedReports map[RunRef]int
	// endNoted holds the active runs whose ends the worker has reported.
	endNoted map[RunRef]bool
	// firstReports holds when and at which progress each run was first reported.
	firstReports map[RunRef]firstReport
	// stopSeq holds the sequence number of the heartbeat in whose answer a stop was first ordered.
	stopSeq map[RunRef]int64
	// health is what is known of the worker's speed and soundness, nil until its first heartbeat has been recorded.
	health *fleet.Worker
	// rates holds the rates of the best-effort tasks that have been throttled.
	rates map[batch.TaskID]rate
	// overTargetSince holds the boot time since when each serving task has exceeded its target latency.
	overTargetSince map[batch.TaskID]time.Duration
}

// firstReport is the boot time and the progress in percent at which a run was first reported.
type firstReport struct {
	at      time.Duration
	percent int
}

// rate is the speed in percent that a task is throttled to, and the boot time of its last change.
type rate struct {
	percent   int
	changedAt time.Duration
	// inherited means that the percentage is not known: an earlier leader may have throttled the task.
	inherited bool
}

func newWorker() *worker {
	return &worker{
		running: map[batch.TaskID]RunState{}, missedReports: map[RunRef]int{}, endNoted: map[RunRef]bool{}, firstReports: map[RunRef]firstReport{}, stopSeq: map[RunRef]int64{},
		startOrders: map[RunRef]startOrders{}, rates: map[batch.TaskID]rate{}, overTargetSince: map[batch.TaskID]time.Duration{},
	}
}

// forgetEnded drops what is known of runs that are neither active in the ledger nor reported as running.
func (w *worker) forgetEnded(active map[batch.TaskID]int) {
	over := func(ref RunRef) bool { return active[ref.Task] != ref.Run && w.running[ref.Task].Run != ref.Run }
	maps.DeleteFunc(w.missedReports, func(ref RunRef, _ int) bool { return over(ref) })
	maps.DeleteFunc(w.endNoted, func(ref RunRef, _ bool) bool { return over(ref) })
	maps.DeleteFunc(w.stopSeq, func(ref RunRef, _ int64) bool { return over(ref) })
	maps.DeleteFunc(w.startOrders, func(ref RunRef, _ startOrders) bool { return over(ref) })
}

// progress returns how far a run that is reported has come since its first report.
func (w *worker) progress(r RunState, now time.Duration) loss.Progress {
	first, ok := w.firstReports[RunRef{Task: r.Task, Run: r.Run}]
	if !ok {
		return loss.Progress{}
	}
	return loss.Progress{Elapsed: now - first.at, From: first.percent, Percent: r.Percent}
}

// hasLabel reports whether the worker has a label; it returns true for the empty label.
func (w *worker) hasLabel(label string) bool {
	return label == "" || slices.Contains(w.hb.Labels, label)
}

// declaresChange reports whether a heartbeat says something else about the worker itself than the latest one.
func (w *worker) declaresChange(hb *Heartbeat) bool {
	old := &w.hb
	return hb.Draining != old.Draining || hb.Capacity != old.Capacity || hb.Rack != old.Rack || hb.Service != old.Service ||
		hb.DataCentre != old.DataCentre || !slices.Equal(hb.Labels, old.Labels)
}
