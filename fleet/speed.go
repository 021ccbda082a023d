package fleet

import (
	"maps"
	"math"
	"slices"
	"time"

	"turmericroute/batch"
)

const (
	// minStepWorkers is the number of workers with runs of a step from which these can be compared. With fewer, the fast
	// ones may be the majority by chance, unless minKnownWorkers and at least half of them are known.
	minStepWorkers  = 8
	minKnownWorkers = 3
	// minMeasuredShare is the share of the workers with runs of a step that must have been measured: the fast ones are
	// first.
	minMeasuredShare = 0.75
	// maxStepWorkers bounds the workers that set the scale of a step, and maxStepRuns the runs of each.
	maxStepWorkers = 64
	maxStepRuns    = 8
	// maxRates bounds the steps of which a worker's rates are kept. Older ones are dropped, so that a worker that becomes
	// slower is found out.
	maxRates = 8
	// minSpeedRuns is the number of compared runs from which a worker's speed is known. With one, a long task would look
	// like a slow worker. Members of a gang do the same work, so that one counts as gangWeight runs.
	minSpeedRuns = 2
	gangWeight   = 2
	// minMeasured is the progress in percent from which a rate is measured.
	minMeasured = 15
	// minScaleChange is the change of a step's scale, as a logarithm, after which the speeds that follow from it are
	// computed anew.
	minScaleChange = 0.02
	// minCentreChange is the median of all speeds, as a logarithm, from which they are made relative to it again.
	minCentreChange = 0.05
	// maxPaces bounds the steps from which the pace is inferred, and minPaces is their least number.
	maxPaces = 64
	minPaces = 8
)

// Speed is a worker's speed relative to the others, 1 being that of the median worker.
type Speed struct {
	Factor float64
	// Runs is the number of runs that it was inferred from, Spread half the range of their middle half, as a logarithm.
	Runs   int
	Spread float64
}

// Known reports whether enough runs could be compared.
func (s Speed) Known() bool { return s.Runs >= minSpeedRuns }

// Class returns the number of doublings of the median speed, rounded; it is 0 while the speed is not known.
func (s Speed) Class() int {
	if !s.Known() {
		return 0
	}
	return int(math.Round(math.Log2(s.Factor)))
}

func (s Speed) log() float64 {
	if s.Factor <= 0 {
		return 0
	}
	return math.Log(s.Factor)
}

func (s Speed) percent() int { return int(math.Round(100 * s.Factor)) }

// Speed returns the speed of a worker.
func (w *Worker) Speed() Speed { return w.speed }

// scale is the rate at which tasks of a step advance on a worker of speed 1, as a logarithm. Errors of the estimate of
// a step are in its scale, and so cancel out.
type scale struct {
	samples map[*Worker]*sample
	// begun holds the workers that have reported runs of the step.
	begun map[*Worker]bool
	log   float64
	// valid is set once there are enough workers to compare.
	valid bool
}

// sample holds the rates of a step's runs on one worker, as logarithms.
type sample struct {
	runs []runRate
	// log is the median of the runs.
	log  float64
	gang bool
}

// runRate is the rate of a run.
type runRate struct {
	id  RunID
	log float64
}

// set records the rate of a run, in place of an earlier one of the same run.
func (s *sample) set(r runRate) {
	i := slices.IndexFunc(s.runs, func(o runRate) bool { return o.id == r.id })
	switch {
	case i >= 0:
		s.runs[i] = r
	case len(s.runs) < maxStepRuns:
		s.runs = append(s.runs, r)
	default:
		return
	}
	logs := make([]float64, len(s.runs))
	for i, o := range s.runs {
		logs[i] = o.log
	}
	s.log = median(logs)
}

// stepSpeed is the speed of a worker that follows from its runs of a step, as a logarithm.
type stepSpeed struct {
	step     batch.TaskID
	residual float64
	weight   int
	// compared is set once the residual is known.
	compared bool
}

// measure records the rate of a run when its progress since the latest measurement has doubled, or it is done.
func (m *Model) measure(w *Worker, r *run, p Progress, now time.Duration) {
	if p.Gang && p.Percent >= 100 {
		return
	}
	advanced := p.Percent - r.base.percent
	if advanced < minMeasured || advanced < 2*r.measured && p.Percent < 100 || now <= r.base.at {
		return
	}
	r.measured = advanced
	st := m.stepFor(p.RunID, now)
	sm := st.scale.sampleOf(w)
	if sm == nil {
		return
	}
	sm.gang = p.Gang
	sm.set(runRate{id: p.RunID, log: math.Log(float64(advanced) / (now - r.base.at).Seconds())})
	w.noteStep(p.stepOf())
	follows := st.scale.update()
	if st.scale.valid && p.Estimate > 0 {
		m.paces.set(p.stepOf(), st.scale.log+math.Log(p.Estimate.Seconds()/100))
	}
	if !follows {
		m.updateSpeed(w)
		return
	}
	for other := range st.scale.samples {
		m.updateSpeed(other)
	}
}

// sampleOf returns the sample of a worker, nil if there are too many.
func (s *scale) sampleOf(w *Worker) *sample {
	if s.samples == nil {
		s.samples = map[*Worker]*sample{}
	}
	sm := s.samples[w]
	if sm == nil && len(s.samples) < maxStepWorkers {
		sm = &sample{}
		s.samples[w] = sm
	}
	return sm
}

// update computes the scale anew, and reports whether it has changed so that speeds follow.
func (s *scale) update() bool {
	logs := make([]float64, 0, len(s.samples))
	known := 0
	for w, sm := range s.samples {
		logs = append(logs, sm.log-w.speed.log())
		if w.speed.Known() {
			known++
		}
	}
	before, wasValid := s.log, s.valid
	s.log = median(logs)
	s.valid = float64(len(logs)) >= minMeasuredShare*float64(len(s.begun)) && enough(len(logs), known)
	return s.valid && (!wasValid || math.Abs(s.log-before) > minScaleChange)
}

// enough reports whether a step can be compared on a number of workers of which some are known.
func enough(workers, known int) bool {
	return workers >= minStepWorkers || workers >= minKnownWorkers && 2*known >= workers
}

// noteBegun records that a worker has a run of the step.
func (s *scale) noteBegun(w *Worker) {
	if s.begun == nil {
		s.begun = map[*Worker]bool{}
	}
	if len(s.begun) < maxStepWorkers {
		s.begun[w] = true
	}
}

// noteStep makes the worker's speed follow from a step.
func (w *Worker) noteStep(first batch.TaskID) {
	if slices.ContainsFunc(w.rates, func(r stepSpeed) bool { return r.step == first }) {
		return
	}
	w.rates = append(w.rates, stepSpeed{step: first})
	if len(w.rates) > maxRates {
		w.rates = slices.Delete(w.rates, 0, 1)
	}
}

// updateSpeed computes the speed of a worker from its latest steps: the median, with one more run of speed 1 as what is
// known beforehand, so that single long tasks do not decide.
func (m *Model) updateSpeed(w *Worker) {
	logs := []float64{0}
	for i := range w.rates {
		r := &w.rates[i]
		if st := m.steps[r.step]; st != nil && st.scale.valid && st.scale.samples[w] != nil {
			sm := st.scale.samples[w]
			r.residual, r.compared, r.weight = sm.log-st.scale.log, true, 1
			if sm.gang {
				r.weight = gangWeight
			}
		}
		if r.compared {
			for range r.weight {
				logs = append(logs, r.residual)
			}
		}
	}
	if len(logs) == 1 {
		return
	}
	mid := median(logs)
	next := Speed{Factor: math.Exp(mid), Runs: len(logs) - 1, Spread: (logs[3*len(logs)/4] - logs[len(logs)/4]) / 2}
	if next.Class() != w.speed.Class() {
		m.changed[w.id] = true
	}
	w.speed = next
}

// recentre makes the speeds relative to that of the median worker, once most are known.
func (m *Model) recentre() {
	var logs []float64
	for _, w := range m.workers {
		if w.speed.Known() {
			logs = append(logs, w.speed.log())
		}
	}
	if 2*len(logs) < len(m.workers) || len(logs) == 0 {
		return
	}
	centre := median(logs)
	if math.Abs(centre) < minCentreChange {
		return
	}
	for _, st := range m.steps {
		st.scale.log += centre
	}
	for id, w := range m.workers {
		for i := range w.rates {
			w.rates[i].residual -= centre
		}
		if w.speed.Known() {
			w.speed.Factor *= math.Exp(-centre)
		}
		m.changed[id] = true
	}
}

// median returns the median of a list, which it sorts.
func median(list []float64) float64 {
	slices.Sort(list)
	n := len(list)
	if n%2 == 1 {
		return list[n/2]
	}
	return (list[n/2-1] + list[n/2]) / 2
}

// paces holds how fast the tasks of the latest steps are on a worker of speed 1, in units of their estimates, as
// logarithms.
type paces struct {
	order []batch.TaskID
	logs  map[batch.TaskID]float64
	// pace is the median of the steps, 1 while it is not known.
	pace float64
}

func newPaces() paces { return paces{logs: map[batch.TaskID]float64{}, pace: 1} }

func (p *paces) set(first batch.TaskID, log float64) {
	if _, ok := p.logs[first]; !ok {
		p.order = append(p.order, first)
		if len(p.order) > maxPaces {
			delete(p.logs, p.order[0])
			p.order = p.order[1:]
		}
	}
	p.logs[first] = log
	if len(p.order) >= minPaces {
		p.pace = math.Exp(median(slices.Collect(maps.Values(p.logs))))
	}
}

// Pace returns how many times faster than estimated tasks are on a worker of speed 1, in the median of the latest steps;
// it returns 1 while that is not known.
func (m *Model) Pace() float64 { return m.paces.pace }

// Expected returns how long a task takes on a worker by its caller's estimate.
func (m *Model) Expected(w *Worker, estimate time.Duration) time.Duration {
	factor := m.paces.pace
	if w.speed.Known() {
		factor *= w.speed.Factor
	}
	return time.Duration(float64(estimate) / factor)
}
