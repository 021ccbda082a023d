package fleet

import (
	"maps"
	"math"
	"slices"
	"time"

	"turmericroute/batch"
)

const (
	// minStepRuns is the number of measured runs of a step from which they can be compared.
	minStepRuns = 4
	// maxStepRuns bounds the runs that set the scale of a step.
	maxStepRuns = 64
	// maxRates bounds the measured runs that are kept of a worker. Older ones are dropped, so that a worker that becomes
	// slower is found out.
	maxRates = 8
	// minSpeedRuns is the number of compared runs from which a worker's speed is known. With one, a long task would look
	// like a slow worker.
	minSpeedRuns = 2
	// minMeasured is the progress in percent from which a rate is measured.
	minMeasured = 15
	// minScaleChange is the change of a step's scale, as a logarithm, after which the speeds that follow from it are
	// computed anew.
	minScaleChange = 0.02
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
	samples []sample
	log     float64
}

// sample is a measured run of a step.
type sample struct {
	id     RunID
	worker *Worker
	log    float64
}

// rate is the measured rate of a run on a worker.
type rate struct {
	id   RunID
	step batch.TaskID
	log  float64
	// residual is the logarithm of the worker's speed that follows from the rate; valid if compared or inherited is set.
	residual  float64
	compared  bool
	inherited bool
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
	log := math.Log(float64(advanced) / (now - r.base.at).Seconds())
	w.addRate(rate{id: p.RunID, step: p.stepOf(), log: log})
	st := m.stepFor(p.RunID, now)
	follows := st.scale.add(sample{id: p.RunID, worker: w, log: log})
	if len(st.scale.samples) >= minStepRuns && p.Estimate > 0 {
		m.paces.set(p.stepOf(), st.scale.log+math.Log(p.Estimate.Seconds()/100))
	}
	if follows {
		for _, s := range st.scale.samples {
			m.updateSpeed(s.worker)
		}
		return
	}
	m.updateSpeed(w)
}

// addRate adds a rate or replaces that of the same run.
func (w *Worker) addRate(r rate) {
	if i := slices.IndexFunc(w.rates, func(o rate) bool { return o.id == r.id && !o.inherited }); i >= 0 {
		w.rates[i].log = r.log
		return
	}
	w.rates = append(w.rates, r)
	if len(w.rates) > maxRates {
		w.rates = slices.Delete(w.rates, 0, 1)
	}
}

// add adds a sample or replaces that of the same run, and reports whether the scale has changed so that speeds follow.
func (s *scale) add(n sample) bool {
	i := slices.IndexFunc(s.samples, func(o sample) bool { return o.id == n.id })
	switch {
	case i >= 0:
		s.samples[i].log = n.log
	case len(s.samples) < maxStepRuns:
		s.samples = append(s.samples, n)
	default:
		return false
	}
	logs := make([]float64, len(s.samples))
	for i, o := range s.samples {
		logs[i] = o.log - o.worker.speed.log()
	}
	before := s.log
	s.log = median(logs)
	return len(s.samples) >= minStepRuns && (len(s.samples) == minStepRuns || math.Abs(s.log-before) > minScaleChange)
}

// updateSpeed computes the speed of a worker from its rates: the median, with one more run of speed 1 as what is known
// beforehand, so that single long tasks do not decide.
func (m *Model) updateSpeed(w *Worker) {
	logs := []float64{0}
	for i := range w.rates {
		r := &w.rates[i]
		if st := m.steps[r.step]; !r.inherited && st != nil && len(st.scale.samples) >= minStepRuns {
			r.residual, r.compared = r.log-st.scale.log, true
		}
		if r.compared || r.inherited {
			logs = append(logs, r.residual)
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
