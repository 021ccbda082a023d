package batch

import "maps"

// Health is what a new leader needs to know of a worker at once.
type Health struct {
	// Failures counts the runs that have failed in a row and that their jobs do not explain.
	Failures int `json:"failures,omitempty"`
	// SpeedPercent is the worker's speed in percent of the median worker's, 0 if it is not known.
	SpeedPercent int `json:"speed,omitempty"`
}

// WorkerHealth is the health of one incarnation of a worker.
type WorkerHealth struct {
	Incarnation int64 `json:"life"`
	Health
	// AtMS is when the record was last changed, in Unix milliseconds.
	AtMS int64 `json:"at_ms"`
}

// healthRetentionMS is how long a record is kept that does not change, in milliseconds. The worker may be gone for good; if
// it is not, the leader records its health again with its next end.
const healthRetentionMS = 10 * 60 * 1000

// MaxHealthRecords bounds the workers whose health is kept.
const MaxHealthRecords = 5000

// HealthOf returns the health of an incarnation of a worker, zero if nothing is known.
func (b *State) HealthOf(worker string, incarnation int64) Health {
	h := b.Health[worker]
	if h.Incarnation != incarnation {
		return Health{}
	}
	return h.Health
}

// recordHealth replaces the health of a worker, unless it is that of an earlier incarnation. Beyond MaxHealthRecords the
// record that has not changed for longest is dropped.
func (b *State) recordHealth(worker string, incarnation int64, h Health, atMS int64) {
	old, ok := b.Health[worker]
	if ok && old.Incarnation > incarnation {
		return
	}
	if h == (Health{}) {
		delete(b.Health, worker)
		return
	}
	if !ok && len(b.Health) >= MaxHealthRecords {
		delete(b.Health, b.oldestHealth())
	}
	b.Health[worker] = WorkerHealth{Incarnation: incarnation, Health: h, AtMS: atMS}
}

// oldestHealth returns the worker whose record has not changed for longest.
func (b *State) oldestHealth() string {
	oldest := ""
	for id, h := range b.Health {
		o := b.Health[oldest]
		if oldest == "" || h.AtMS < o.AtMS || h.AtMS == o.AtMS && id < oldest {
			oldest = id
		}
	}
	return oldest
}

// dropFormerHealth drops the health of a worker's earlier incarnation when a later one gets a run.
func (b *State) dropFormerHealth(worker string, incarnation int64) {
	if h, ok := b.Health[worker]; ok && h.Incarnation < incarnation {
		delete(b.Health, worker)
	}
}

// dropOldHealth drops the records that have not changed for long.
func (b *State) dropOldHealth(atMS int64) {
	maps.DeleteFunc(b.Health, func(_ string, h WorkerHealth) bool { return h.AtMS < atMS-healthRetentionMS })
}
