package replay

import (
	"math"
	"slices"
	"time"

	"turmericroute/place"
)

// departureTailSeconds is the time after a return in which its work still counts as of the departure.
const departureTailSeconds = 30 * minute

// Result is what one replay of one scheduler gave.
type Result struct {
	Scheduler string
	// Completion times in seconds over the jobs that were not cancelled and can succeed.
	MeanCompletion, P50Completion, P99Completion float64
	// MeanSlowdown is the mean of completion time by run time, of at least ten minutes.
	MeanSlowdown float64
	// Fragmentation is 1 - L/min(F, R), mean over the minutes of submission in
	// which F >= one worker's accelerators: F are the free accelerators in
	// service, R those of the largest rack, and L those that the largest gang of
	// whole-worker tasks, cores and memory included, could take in one rack.
	Fragmentation float64
	// DepartureWork is the accelerator work kept while a data centre is away and for
	// 30 min after its return, as a share of the least of capacity and demand.
	DepartureWork float64
	// Utilisation is the share of accelerators in service in use while jobs are submitted.
	Utilisation float64
	// LargeWaitP99 is the 99th percentile of the total wait of large gangs in seconds.
	LargeWaitP99 float64
	// BrokenGuarantees counts jobs of a guaranteed shape not in use that waited beyond the grace.
	BrokenGuarantees int
	// ShortageSeconds sums, over the guaranteed shapes, the time in which the
	// scheduler reported that one does not fit while no data centre was away.
	ShortageSeconds float64
	PartialGangs    int
	// ReclaimP99 is the 99th percentile in seconds from the first stop of a gang for a job to the job's start.
	ReclaimP99 float64
	// PreemptionLoss is the accelerator work lost to stops as a share of the work done.
	PreemptionLoss float64
	Preemptions    int
	Unfinished     int
	// DecisionP99MS is the 99th percentile of the time of one call of Decide in milliseconds.
	DecisionP99MS float64
}

// meter observes a replay.
type meter struct {
	sim                   *sim
	usedGPUs              int // accelerators of running gangs
	capacityGPUs          int // accelerators in service
	waitingGPUs           int // accelerators of waiting gangs that can succeed
	usedGPUSeconds        float64
	capacityGPUSeconds    float64
	fragmentation         []float64
	inDeparture           bool
	departureWork         float64
	possibleDepartureWork float64
	departureStartWork    float64
	result                Result
	decisionMS            []float64
	reclaimStarts         map[string]float64 // time of the first stop for a job
	reclaimSeconds        []float64
	guarantees            *guaranteeTracker
	largestRackGPUs       int
	departures            [][2]float64
}

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

// duringDeparture reports whether t is while a data centre is duringDeparture or has just returned.
func (m *meter) duringDeparture(t float64) bool {
	return slices.ContainsFunc(m.departures, func(d [2]float64) bool { return t >= d[0] && t < d[1] })
}

func (m *meter) inService(w *simWorker) bool { return w.up && m.sim.cfg.InService(w.DataCentre) }

// integrate integrates use, capacity and possible work up to t; called before the state changes.
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

// keptWork returns the accelerator work done so far that no stop has lost.
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

// sampleFragmentation measures fragmentation.
func (m *meter) sampleFragmentation() {
	if m.sim.now >= m.sim.trace.submitEnd {
		return
	}
	mix := m.sim.trace.size.mix
	task := gpuShape(1, mix.largeTaskGPUs, mix.coresPerGPU, mix.mbPerGPU, false)
	free, largest := 0, 0
	wholeWorkerGPUs := map[string]int{}
	for _, w := range m.sim.workers {
		if !m.inService(w) {
			continue
		}
		a := w.free
		free += a.GPUs
		if a.GPUs >= task.GPUs && a.Cores >= task.Cores && a.MemoryMB >= task.MemoryMB {
			wholeWorkerGPUs[w.DataCentre+w.Rack] += task.GPUs
			largest = max(largest, wholeWorkerGPUs[w.DataCentre+w.Rack])
		}
	}
	if free >= task.GPUs {
		m.fragmentation = append(m.fragmentation, 1-float64(largest)/float64(min(free, m.largestRackGPUs)))
	}
}

func (m *meter) timeDecide(f func() []place.Decision) []place.Decision {
	start := time.Now()
	ds := f()
	m.decisionMS = append(m.decisionMS, time.Since(start).Seconds()*1000)
	return ds
}

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

func (m *meter) recordPreemption(_ *run, d place.Preempt) {
	if d.For != "" {
		if _, ok := m.reclaimStarts[d.For]; !ok {
			m.reclaimStarts[d.For] = m.sim.now
		}
		m.result.Preemptions++
	}
}

// addGPUs moves a run's accelerators between waiting and running.
func (m *meter) addGPUs(r *run, waiting, running int) {
	gpus := r.spec.Shape.TotalGPUs()
	m.usedGPUs += running * gpus
	if !r.alwaysFails {
		m.waitingGPUs += waiting * gpus
	}
}

// recordWait counts a run that begins to wait.
func (m *meter) recordWait(r *run) {
	m.addGPUs(r, 1, 0)
	m.guarantees.recordWait(r)
}

// recordRelease counts a run that has recordRelease its workers.
func (m *meter) recordRelease(r *run) {
	m.addGPUs(r, 0, -1)
	m.guarantees.recordRelease(r, m.sim.now)
}

// removeWaiting counts a waiting run that ends without a start.
func (m *meter) removeWaiting(r *run) {
	m.addGPUs(r, -1, 0)
	m.guarantees.removeWaiting(r, m.sim.now)
}

// updateCapacity counts the accelerators in service again.
func (m *meter) updateCapacity() {
	m.capacityGPUs = 0
	for _, w := range m.sim.workers {
		if m.inService(w) {
			m.capacityGPUs += w.Capacity.GPUs
		}
	}
}

func (m *meter) finish() {
	var completion, large []float64
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
			large = append(large, r.totalWait)
		}
	}
	n := float64(max(1, len(completion)))
	m.result.MeanCompletion /= n
	m.result.MeanSlowdown /= n
	m.result.P50Completion = percentile(completion, 0.5)
	m.result.P99Completion = percentile(completion, 0.99)
	m.result.LargeWaitP99 = percentile(large, 0.99)
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

func percentile(v []float64, q float64) float64 {
	if len(v) == 0 {
		return 0
	}
	v = slices.Clone(v)
	slices.Sort(v)
	return v[min(len(v)-1, int(math.Ceil(q*float64(len(v))))-1)]
}

func mean(v []float64) float64 {
	sum := 0.0
	for _, x := range v {
		sum += x
	}
	return sum / float64(max(1, len(v)))
}
