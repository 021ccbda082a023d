package sched

import (
	"slices"
	"time"

	"turmericroute/batch"
)

// worker is what the leader knows of one life of a worker.
type worker struct {
	beat Beat
	// heard is when the last heartbeat arrived, leased when the last lease given out has expired on any clock.
	heard, leased time.Duration
	// gone means that this life has ended; left is when it said so itself, 0 when it did not.
	gone bool
	left time.Duration
	// running holds the runs of the last heartbeat; strange counts those of unknown tasks.
	running map[batch.TaskID]RunState
	strange int
	// seen holds the runs that were listed as running once, with the count of heartbeats in a row without them.
	seen     map[RunRef]int
	progress map[RunRef]progress
	// stopped holds the heartbeat in whose answer a stop was first ordered.
	stopped map[RunRef]int64
	// failedAt holds when runs failed here of late.
	failedAt []time.Duration
	rates    map[batch.TaskID]rate
	// over is since when a serving task here is over its target; zero when none is.
	over map[batch.TaskID]time.Duration
}

// progress is when and at which percentage a run was listed first.
type progress struct {
	at      time.Duration
	percent int
}

type rate struct {
	percent int
	changed time.Duration
}

func newWorker() *worker {
	return &worker{
		running: map[batch.TaskID]RunState{}, seen: map[RunRef]int{}, progress: map[RunRef]progress{}, stopped: map[RunRef]int64{},
		rates: map[batch.TaskID]rate{}, over: map[batch.TaskID]time.Duration{},
	}
}

// supersedes reports whether a heartbeat shows that a known life has ended: the same worker,
// host or address with a later birth.
func (b *Beat) supersedes(old *Beat) bool {
	if b.Life <= old.Life {
		return false
	}
	return b.Worker == old.Worker || b.Address == old.Address || b.Machine != "" && b.Machine == old.Machine
}

// usable reports whether new runs may be placed now on a worker that was silent for less than the given time.
func (w *worker) usable(b *batch.Book, now, silent time.Duration) bool {
	return !w.gone && !w.beat.Draining && now-w.heard < silent && !b.Out[w.beat.DataCentre]
}

// has reports whether the worker carries a label; the empty label is on every worker.
func (w *worker) has(label string) bool { return label == "" || slices.Contains(w.beat.Labels, label) }

// flaky reports whether runs failed here lately more often than tasks fail by themselves.
func (w *worker) flaky(now time.Duration) bool {
	w.failedAt = slices.DeleteFunc(w.failedAt, func(at time.Duration) bool { return now-at > failureMemory })
	return len(w.failedAt) >= flakyFailures
}
