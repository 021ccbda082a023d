package replay

import (
	"math"
	"slices"
	"time"

	"turmericroute/place"
)

// returnSeconds is the time after a return in which its work still counts as of the departure.
const returnSeconds = 30 * minute

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
	// ShortSeconds sums, over the guaranteed shapes, the time in which the
	// scheduler reported that one does not fit while no data centre was away.
	ShortSeconds float64
	PartialGangs int
	// ReclaimP99 is the 99th percentile in seconds from the decision to stop gangs for a job to its start.
	ReclaimP99 float64
	// PreemptionLoss is the accelerator work lost to stops as a share of the work done.
	PreemptionLoss float64
	Preemptions    int
	Unfinished     int
	// DecisionP99 is the 99th percentile of the time of one call of Decide in milliseconds.
	DecisionP99 float64
}

// meter observes a replay.
type meter struct {
	s          *sim
	used       int // accelerators of running gangs
	capacity   int // accelerators in service
	asked      int // accelerators of waiting gangs that can succeed
	usedTime   float64
	capTime    float64
	frag       []float64
	departing  bool
	depWork    float64
	depPoss    float64
	lastWork   float64
	res        Result
	decisions  []float64
	reclaims   map[string]float64
	reclaimed  []float64
	guarantees *guarantees
	rackCap    int
	departures [][2]float64
}

func newMeter(s *sim) *meter {
	m := &meter{s: s, reclaims: map[string]float64{}}
	for _, f := range s.tr.faults {
		if f.dc != "" {
			m.departures = append(m.departures, [2]float64{f.at, f.until + returnSeconds})
		}
	}
	for _, dc := range s.cfg.DataCentres {
		for _, r := range dc.Racks {
			m.rackCap = max(m.rackCap, r.Workers*r.PerWorker.GPUs)
		}
	}
	m.guarantees = newGuarantees(s.tr.size.Config, m.departures)
	m.siteChanged()
	return m
}

// away reports whether t is while a data centre is away or has just returned.
func (m *meter) away(t float64) bool {
	return slices.ContainsFunc(m.departures, func(d [2]float64) bool { return t >= d[0] && t < d[1] })
}

func (m *meter) inService(w *machine) bool { return w.up && m.s.cfg.InService(w.DataCentre) }

// advance integrates use, capacity and possible work up to t; called before the state changes.
func (m *meter) advance(t float64) {
	dt := t - m.s.now
	if dt <= 0 || m.s.now >= m.s.tr.end {
		return
	}
	m.usedTime += dt * float64(m.used)
	m.capTime += dt * float64(m.capacity)
	if !m.away(m.s.now) {
		if m.departing {
			m.depWork += m.kept() - m.lastWork
			m.departing = false
		}
		return
	}
	if !m.departing {
		m.departing, m.lastWork = true, m.kept()
	}
	m.depPoss += dt * float64(min(m.used+m.asked, m.capacity))
}

// kept returns the accelerator work done so far that no stop has lost.
func (m *meter) kept() float64 {
	sum := 0.0
	for _, r := range m.s.runs {
		if r.state == runRunning {
			m.s.update(r)
		}
		p := r.checkpoint
		if r.state == runRunning {
			p = r.progress
		}
		if r.finished > 0 {
			p = r.work
		}
		sum += p * float64(r.spec.Shape.TotalGPUs())
	}
	return sum
}

// sample measures fragmentation.
func (m *meter) sample() {
	if m.s.now >= m.s.tr.end {
		return
	}
	mx := m.s.tr.size.mix
	task := gpuShape(1, mx.wholeGPUs, mx.coresPerGPU, mx.mbPerGPU, false)
	free, largest := 0, 0
	racks := map[string]int{}
	for _, w := range m.s.ws {
		if !m.inService(w) {
			continue
		}
		a := w.free
		free += a.GPUs
		if a.GPUs >= task.GPUs && a.Cores >= task.Cores && a.MemoryMB >= task.MemoryMB {
			racks[w.DataCentre+w.Rack] += task.GPUs
			largest = max(largest, racks[w.DataCentre+w.Rack])
		}
	}
	if free >= task.GPUs {
		m.frag = append(m.frag, 1-float64(largest)/float64(min(free, m.rackCap)))
	}
}

func (m *meter) timed(f func() []place.Decision) []place.Decision {
	from := time.Now()
	ds := f()
	m.decisions = append(m.decisions, time.Since(from).Seconds()*1000)
	return ds
}

func (m *meter) started(r *run, names []string) {
	m.guarantees.started(r, m.s.now)
	m.count(r, -1, 1)
	if len(names) != r.spec.Shape.Tasks || r.state != runWaiting {
		m.res.PartialGangs++
	}
	if from, ok := m.reclaims[r.spec.ID]; ok {
		m.reclaimed = append(m.reclaimed, m.s.now-from)
		delete(m.reclaims, r.spec.ID)
	}
}

func (m *meter) preempted(_ *run, d place.Preempt) {
	if d.For != "" {
		m.reclaims[d.For] = m.s.now
		m.res.Preemptions++
	}
}

// count moves a run's accelerators between waiting and running.
func (m *meter) count(r *run, waiting, running int) {
	gpus := r.spec.Shape.TotalGPUs()
	m.used += running * gpus
	if !r.broken {
		m.asked += waiting * gpus
	}
}

// waits counts a run that begins to wait.
func (m *meter) waits(r *run) {
	m.count(r, 1, 0)
	m.guarantees.waits(r)
}

// left counts a run that has left its workers.
func (m *meter) left(r *run) {
	m.count(r, 0, -1)
	m.guarantees.left(r, m.s.now)
}

// dropped counts a waiting run that ends without a start.
func (m *meter) dropped(r *run) {
	m.count(r, -1, 0)
	m.guarantees.dropped(r, m.s.now)
}

// siteChanged counts the accelerators in service again.
func (m *meter) siteChanged() {
	m.capacity = 0
	for _, w := range m.s.ws {
		if m.inService(w) {
			m.capacity += w.Capacity.GPUs
		}
	}
}

func (m *meter) finish() {
	var completion, large []float64
	lost, done := 0.0, 0.0
	for _, r := range m.s.runs {
		gpus := float64(r.spec.Shape.TotalGPUs())
		lost += r.lostWork * gpus
		if r.cancel > 0 || r.broken {
			continue
		}
		if r.finished == 0 {
			m.res.Unfinished++
			continue
		}
		done += r.work * gpus
		c := r.finished - r.at
		completion = append(completion, c)
		m.res.MeanCompletion += c
		m.res.MeanSlowdown += math.Max(1, c/math.Max(r.work, 10*minute))
		if r.class == classLarge {
			large = append(large, r.waited)
		}
	}
	n := float64(max(1, len(completion)))
	m.res.MeanCompletion /= n
	m.res.MeanSlowdown /= n
	m.res.P50Completion = percentile(completion, 0.5)
	m.res.P99Completion = percentile(completion, 0.99)
	m.res.LargeWaitP99 = percentile(large, 0.99)
	m.res.ReclaimP99 = percentile(m.reclaimed, 0.99)
	m.res.DecisionP99 = percentile(m.decisions, 0.99)
	m.res.Fragmentation = mean(m.frag)
	m.res.Utilisation = m.usedTime / math.Max(1, m.capTime)
	if m.depPoss > 0 {
		m.res.DepartureWork = m.depWork / m.depPoss
	}
	if done > 0 {
		m.res.PreemptionLoss = lost / done
	}
	m.res.BrokenGuarantees, m.res.ShortSeconds = m.guarantees.count(), m.guarantees.shortSeconds
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
