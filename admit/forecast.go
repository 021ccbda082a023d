package admit

import (
	"math"
	"time"
)

const (
	// arrivalDecay is the time constant with which arrivals lose their weight in the forecast.
	arrivalDecay = 5 * time.Second
	// demandSpread is the number of standard deviations that the forecast adds to the mean demand.
	demandSpread = 1.0
)

// Queue names the arrivals that are forecast together.
type Queue struct {
	Service  string
	Priority int
}

// Demand is what one step of an arriving job needs at once, and for how long.
type Demand struct {
	GPUs     int
	Duration time.Duration
}

// Need is the demand that is forecast.
type Need struct {
	// GPUs is the number of accelerators that the arrivals keep in use at once.
	GPUs int `json:"gpus"`
	// Gang is the mean number of accelerators that a step needs at once.
	Gang int `json:"gang_gpus"`
}

// Forecast predicts the demand of each queue from its recent arrivals; the zero value has seen none.
type Forecast struct{ queues map[Queue]*arrivals }

// arrivals are sums over a queue's steps, in which each step's weight decays from its arrival at.
type arrivals struct {
	at    time.Duration
	steps float64
	gpus  float64
	// work is the sum of accelerators times seconds; square that of accelerators squared times seconds.
	work, square float64
}

// Note records the arrival of a job at a boot time.
func (f *Forecast) Note(now time.Duration, q Queue, steps []Demand) {
	if f.queues == nil {
		f.queues = map[Queue]*arrivals{}
	}
	a := f.queues[q]
	if a == nil {
		a = &arrivals{at: now}
		f.queues[q] = a
	}
	*a = a.decayed(now)
	for _, d := range steps {
		g, s := float64(d.GPUs), d.Duration.Seconds()
		a.steps++
		a.gpus += g
		a.work += g * s
		a.square += g * g * s
	}
}

// MoreUrgent returns what the queues of a service with a more urgent priority need, at a boot time.
func (f *Forecast) MoreUrgent(now time.Duration, service string, priority int) Need {
	var sum arrivals
	for q, a := range f.queues {
		if q.Service != service || q.Priority >= priority {
			continue
		}
		d := a.decayed(now)
		sum.steps += d.steps
		sum.gpus += d.gpus
		sum.work += d.work
		sum.square += d.square
	}
	if sum.steps < 1 {
		return Need{} // the queues are quiet
	}
	// By Little's law the mean demand is the rate of arriving work; the variance is that of a compound Poisson process.
	mean, variance := sum.work/arrivalDecay.Seconds(), sum.square/arrivalDecay.Seconds()
	return Need{GPUs: int(mean + demandSpread*math.Sqrt(variance)), Gang: int(math.Ceil(sum.gpus / sum.steps))}
}

// decayed returns the sums with the weights of a later time.
func (a *arrivals) decayed(now time.Duration) arrivals {
	w := math.Exp(-max(0, now-a.at).Seconds() / arrivalDecay.Seconds())
	return arrivals{at: now, steps: a.steps * w, gpus: a.gpus * w, work: a.work * w, square: a.square * w}
}
