package replay

import (
	"math"
	"slices"
	"time"

	"turmericroute/place"
)

// departureTailSeconds is the time after the return of a data centre that still
// belongs to its departure.
const departureTailSeconds = 30 * minute

// Result is the outcome of one replay of one scheduler.
type Result struct {
	// Scheduler is the name of the scheduler.
	Scheduler string
	// Completion times, from submission, in seconds over the finished jobs that are not cancelled and do not always fail.
	MeanCompletion, P50Completion, P99Completion float64
	// MeanSlowdown is the mean ratio of completion time to run time, with run
	// times raised to at least ten minutes and ratios to at least 1.
	MeanSlowdown float64
	// Fragmentation is the mean of 1 - L/min(F, R) over the minutes of the
	// submission period in which F is at least the accelerators of one worker. F
	// is the number of free accelerators in service, R that of the largest rack,
	// and L that of the largest gang of whole-worker tasks that fits in one rack,
	// cores and memory included.
	Fragmentation float64
	// DepartureWork is the accelerator work kept while a data centre is out of
	// service and for 30 min after its return, as a share of the smaller of
	// capacity and demand.
	DepartureWork float64
	// Utilisation is the share of the accelerators in service that are in use, over the submission period.
	Utilisation float64
	// LargeWaitP99 is the 99th percentile of the total wait of large gangs in seconds.
	LargeWaitP99 float64
	// BrokenGuarantees counts the jobs of a guaranteed shape that waited longer
	// than graceSeconds while their team used less than its guarantee.
	BrokenGuarantees int
	// ShortageSeconds is the time, summed over the guaranteed shapes, in which the
	// scheduler reported that a shape does not fit while no data centre was out of service.
	ShortageSeconds float64
	// PartialGangs counts starts with a wrong number of workers or of a run that was not waiting.
	PartialGangs int
	// ReclaimP99 is the 99th percentile of the time, in seconds, from the first
	// preemption in favour of a job to the start of that job.
	ReclaimP99 float64
	// PreemptionLoss is the accelerator work lost to stops as a share of the work done.
	PreemptionLoss float64
	// Preemptions counts the preemptions in favour of another job.
	Preemptions int
	// Unfinished counts the jobs that could have succeeded but had not when the replay ended.
	Unfinished int
	// DecisionP99MS is the 99th percentile of the duration of a call of Decide in milliseconds.
	DecisionP99MS float64
}

// meter observes a replay and computes its Result. Work is in accelerator
// seconds. A departure is the time in which a data centre is out of service,
// followed by departureTailSeconds.
type meter struct {
	sim                   *sim
	usedGPUs              int // accelerators of running gangs
	capacityGPUs          int // accelerators in service
	waitingGPUs           int // accelerators of waiting gangs that can succeed
	usedGPUSeconds        float64
	capacityGPUSeconds    float64
	fragmentation         []float64 // one sample per minute
	inDeparture           bool
	departureWork         float64 // work kept during past departures
	possibleDepartureWork float64 // work possible, by capacity and demand, during departures
	departureStartWork    float64 // work kept before the current departure
	result                Result
	decisionMS            []float64          // durations of the calls of Decide
	reclaimStarts         map[string]float64 // by job: virtual second of the first preemption in its favour
	reclaimSeconds        []float64
	guarantees            *guaranteeTracker
	largestRackGPUs       int          // accelerators of the largest rack
	departures            [][2]float64 // intervals [start, end) in virtual seconds
}

// newMeter returns a meter for a replay that has not started.
func newMeter(s *sim) *meter {
	m := &meter{sim: s, reclaimStarts: map[string]float64{}}
	for _, f := range s.trace.faults {
		if f.dataCentre != "" {
			m.departures = append(m.departures, [2]float64{f.start, f.end + departureTailSeconds})
		}
	}
	for _, dc := range s.cfg.DataCentres {
		for _, r := range dc.Racks {
			m.largestRackGPUs = max(m.largestRackGPUs, r.Workers*r.PerWorker.GPUs)
		}
	}
	m.guarantees = newGuaranteeTracker(s.trace.size.Config, m.departures)
	m.updateCapacity()
	return m
}

// duringDeparture reports whether the virtual second t is within a departure.
func (m *meter) duringDeparture(t float64) bool {
	return slices.ContainsFunc(m.departures, func(d [2]float64) bool { return t >= d[0] && t < d[1] })
}

// inService reports whether a worker is up and its data centre in service.
func (m *meter) inService(w *simWorker) bool { return w.up && m.sim.cfg.InService(w.DataCentre) }

// integrate integrates use, capacity and possible work up to the virtual second
// t. It must be called before the state changes at t.
func (m *meter) integrate(t float64) {
	dt := t - m.sim.now
	if dt <= 0 || m.sim.now >= m.sim.trace.submitEnd {
		return
	}
	m.usedGPUSeconds += dt * float64(m.usedGPUs)
	m.capacityGPUSeconds += dt * float64(m.capacityGPUs)
	if !m.duringDeparture(m.sim.now) {
		if m.inDeparture {
			m.departureWork += m.keptWork() - m.departureStartWork
			m.inDeparture = false
		}
		return
	}
	if !m.inDeparture {
		m.inDeparture, m.departureStartWork = true, m.keptWork()
	}
	m.possibleDepartureWork += dt * float64(min(m.usedGPUs+m.waitingGPUs, m.capacityGPUs))
}

// keptWork returns the accelerator work done so far, without the work lost to stops.
func (m *meter) keptWork() float64 {
	sum := 0.0
	for _, r := range m.sim.runs {
		if r.state == runRunning {
			m.sim.updateProgress(r)
		}
		p := r.checkpoint
		if r.state == runRunning {
			p = r.progress
		}
		if r.finishedAt > 0 {
			p = r.workSeconds
		}
		sum += p * float64(r.spec.Shape.TotalGPUs())
	}
	return sum
}

// sampleFragmentation adds a sample of the fragmentation during the submission period.
func (m *meter) sampleFragmentation() {
	if m.sim.now >= m.sim.trace.submitEnd {
		return
	}
	mix := m.sim.trace.size.jobMix
	task := gpuShape(1, mix.largeTaskGPUs, mix.coresPerGPU, mix.mbPerGPU, false)
	free, largest := 0, 0
	wholeWorkerGPUs := map[string]int{}
	for _, w := range m.sim.workers {
		if !m.inService(w) {
			continue
		}
		workerFree := w.free
		free += workerFree.GPUs
		if workerFree.GPUs >= task.GPUs && workerFree.Cores >= task.Cores && workerFree.MemoryMB >= task.MemoryMB {
			wholeWorkerGPUs[w.DataCentre+w.Rack] += task.GPUs
			largest = max(largest, wholeWorkerGPUs[w.DataCentre+w.Rack])
		}
	}
	if free >= task.GPUs {
		m.fragmentation = append(m.fragmentation, 1-float64(largest)/float64(min(free, m.largestRackGPUs)))
	}
}

// timeDecide calls decide, records how long it took and returns the decisions.
func (m *meter) timeDecide(decide func() []place.Decision) []place.Decision {
	start := time.Now()
	decisions := decide()
	m.decisionMS = append(m.decisionMS, time.Since(start).Seconds()*1000)
	return decisions
}

// recordStart records the start of a run on the named workers; it must be called before the run's state changes.
func (m *meter) recordStart(r *run, names []string) {
	m.guarantees.recordStart(r, m.sim.now)
	m.addGPUs(r, -1, 1)
	if len(names) != r.spec.Shape.Tasks || r.state != runWaiting {
		m.result.PartialGangs++
	}
	if at, ok := m.reclaimStarts[r.spec.ID]; ok {
		m.reclaimSeconds = append(m.reclaimSeconds, m.sim.now-at)
		delete(m.reclaimStarts, r.spec.ID)
	}
}

// recordPreemption counts a preemption in favour of another job.
func (m *meter) recordPreemption(_ *run, d place.Preempt) {
	if d.For != "" {
		if _, ok := m.reclaimStarts[d.For]; !ok {
			m.reclaimStarts[d.For] = m.sim.now
		}
		m.result.Preemptions++
	}
}

// addGPUs adds the accelerators of a run, times running, to usedGPUs and, times
// waiting, to waitingGPUs. A run that always fails does not count as waiting.
func (m *meter) addGPUs(r *run, waiting, running int) {
	gpus := r.spec.Shape.TotalGPUs()
	m.usedGPUs += running * gpus
	if !r.alwaysFails {
		m.waitingGPUs += waiting * gpus
	}
}

// recordWait records that a run begins to wait.
func (m *meter) recordWait(r *run) {
	m.addGPUs(r, 1, 0)
	m.guarantees.recordWait(r)
}

// recordRelease records that a run has released its workers.
func (m *meter) recordRelease(r *run) {
	m.addGPUs(r, 0, -1)
	m.guarantees.recordRelease(r, m.sim.now)
}

// removeWaiting records that a waiting run ends without a start.
func (m *meter) removeWaiting(r *run) {
	m.addGPUs(r, -1, 0)
	m.guarantees.removeWaiting(r, m.sim.now)
}

// updateCapacity recounts the accelerators in service.
func (m *meter) updateCapacity() {
	m.capacityGPUs = 0
	for _, w := range m.sim.workers {
		if m.inService(w) {
			m.capacityGPUs += w.Capacity.GPUs
		}
	}
}

// finish computes the result at the end of the replay.
func (m *meter) finish() {
	var completion, largeWait []float64
	lost, done := 0.0, 0.0
	for _, r := range m.sim.runs {
		gpus := float64(r.spec.Shape.TotalGPUs())
		lost += r.lostWork * gpus
		if r.cancelAt > 0 || r.alwaysFails {
			continue
		}
		if r.finishedAt == 0 {
			m.result.Unfinished++
			continue
		}
		done += r.workSeconds * gpus
		c := r.finishedAt - r.submitAt
		completion = append(completion, c)
		m.result.MeanCompletion += c
		m.result.MeanSlowdown += math.Max(1, c/math.Max(r.workSeconds, 10*minute))
		if r.class == classLarge {
			largeWait = append(largeWait, r.totalWait)
		}
	}
	n := float64(max(1, len(completion)))
	m.result.MeanCompletion /= n
	m.result.MeanSlowdown /= n
	m.result.P50Completion = percentile(completion, 0.5)
	m.result.P99Completion = percentile(completion, 0.99)
	m.result.LargeWaitP99 = percentile(largeWait, 0.99)
	m.result.ReclaimP99 = percentile(m.reclaimSeconds, 0.99)
	m.result.DecisionP99MS = percentile(m.decisionMS, 0.99)
	m.result.Fragmentation = mean(m.fragmentation)
	m.result.Utilisation = m.usedGPUSeconds / math.Max(1, m.capacityGPUSeconds)
	if m.possibleDepartureWork > 0 {
		m.result.DepartureWork = m.departureWork / m.possibleDepartureWork
	}
	if done > 0 {
		m.result.PreemptionLoss = lost / done
	}
	m.result.BrokenGuarantees, m.result.ShortageSeconds = m.guarantees.brokenCount(), m.guarantees.shortageSeconds
}

// percentile returns the q-quantile of v by the nearest-rank method, or 0 if v is empty.
func percentile(v []float64, q float64) float64 {
	if len(v) == 0 {
		return 0
	}
	v = slices.Clone(v)
	slices.Sort(v)
	return v[min(len(v)-1, int(math.Ceil(q*float64(len(v))))-1)]
}

// mean returns the arithmetic mean of v, or 0 if v is empty.
func mean(v []float64) float64 {
	sum := 0.0
	for _, x := range v {
		sum += x
	}
	return sum / float64(max(1, len(v)))
}
