package fleet

import "time"

// probation is a worker's exclusion from placement, apart from probes.
type probation struct {
	out bool
	// released is set when the probation has ended without a probe, until the next failure.
	released bool
	// probeAt is the time from which the worker may be probed, backoff the latest delay until then.
	probeAt, backoff time.Duration
	// probing is the run that probes the worker, zero if there is none, and probingAt when it was placed.
	probing   RunID
	probingAt time.Duration
}

// ProbeDue reports whether a worker on probation should get a run that probes it.
func (w *Worker) ProbeDue(now time.Duration) bool {
	if !w.out || now < w.probeAt {
		return false
	}
	if w.probing == (RunID{}) {
		return true
	}
	_, reported := w.runs[w.probing]
	return !reported && now-w.probingAt > probeTimeout
}

// Excludes reports whether a worker on probation must not start a run: it is not the probe.
func (w *Worker) Excludes(id RunID) bool { return w.out && w.probing != id }

// BeginProbe records that a run which probes the worker has been placed there.
func (w *Worker) BeginProbe(id RunID, now time.Duration) { w.probing, w.probingAt = id, now }

// endProbe ends the probe if it is the given run, and reports whether it is.
func (w *Worker) endProbe(id RunID) bool {
	if !w.out || w.probing != id {
		return false
	}
	w.probing = RunID{}
	return true
}

// delayProbe doubles the time until the worker is probed.
func (w *Worker) delayProbe(now time.Duration) {
	w.backoff = min(maxBackoff, max(minBackoff, 2*w.backoff))
	w.probeAt = now + w.backoff
}
