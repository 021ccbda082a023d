package sched

import (
	"slices"
	"time"

	"turmericroute/batch"
)

// worker is what the leader knows of one life of a worker.
type worker struct {
	hb Heartbeat
	// heardAt is when the last heartbeat arrived, leaseEnd when the last lease given out has expired on any clock.
	heardAt, leaseEnd time.Duration
	// gone means that this life has ended; left is when it said so itself, 0 when it did not.
	gone   bool
	leftAt time.Duration
	// running holds the runs of the last heartbeat; strange counts those of unknown tasks.
	running     map[batch.TaskID]RunState
	unknownRuns int
	// missedReports holds the runs that were listed as running once, with the count of heartbeats in a row without them.
	missedReports map[RunRef]int
	firstReports  map[RunRef]firstReport
	// stopSeq holds the heartbeat in whose answer a stop was first ordered.
	stopSeq map[RunRef]int64
	// failedAt holds when runs failed here of late.
	failedAt []time.Duration
	rates    map[batch.TaskID]rate
	// overTargetSince is since when a serving task here is overTargetSince its target; zero when none is.
	overTargetSince map[batch.TaskID]time.Duration
}

// firstReport is when and at which percentage a run was listed first.
type firstReport struct {
	at      time.Duration
	percent int
}

type rate struct {
	percent   int
	changedAt time.Duration
}

func newWorker() *worker {
	return &worker{
		running: map[batch.TaskID]RunState{}, missedReports: map[RunRef]int{}, firstReports: map[RunRef]firstReport{}, stopSeq: map[RunRef]int64{},
		rates: map[batch.TaskID]rate{}, overTargetSince: map[batch.TaskID]time.Duration{},
	}
}

// supersedes reports whether a heartbeat shows that a known life has ended: the same worker,
// host or address with a later birth.
func (b *Heartbeat) supersedes(old *Heartbeat) bool {
	if b.Incarnation <= old.Incarnation {
		return false
	}
	return b.Worker == old.Worker || b.Address == old.Address || b.Machine != "" && b.Machine == old.Machine
}

// usable reports whether new runs may be placed now on a worker that was silent for less than the given time.
func (w *worker) usable(b *batch.State, now, silent time.Duration) bool {
	return !w.gone && !w.hb.Draining && now-w.heardAt < silent && !b.OutOfService[w.hb.DataCentre]
}

// hasLabel reports whether the worker carries a label; the empty label is on every worker.
func (w *worker) hasLabel(label string) bool {
	return label == "" || slices.Contains(w.hb.Labels, label)
}

// flaky reports whether runs failed here lately more often than tasks fail by themselves.
func (w *worker) flaky(now time.Duration) bool {
	w.failedAt = slices.DeleteFunc(w.failedAt, func(at time.Duration) bool { return now-at > failureWindow })
	return len(w.failedAt) >= flakyFailures
}
