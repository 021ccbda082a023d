package sched

import (
	"time"

	"turmericroute/batch"
)

// supply names what a search for a place takes as free.
type supply int

// The supplies: what is free now, that without the kept racks, and what is expected to be free at each of the horizons.
const (
	supplyNow supply = iota
	supplyOutsideHeadroom
	supplyHorizons
	supplies = int(supplyHorizons) + len(horizons)
)

// horizons are the times for which free resources are forecast, shortest first.
var horizons = [...]time.Duration{500 * time.Millisecond, time.Second, 2 * time.Second, 4 * time.Second, 8 * time.Second}

// forecast holds the resources that come free on a worker within each of the horizons.
type forecast [len(horizons)]batch.Resources

// hasFailed reports whether so many tasks have found no place in this pass.
func (sh *shape) hasFailed(s supply, remote bool, count int) bool {
	least := sh.leastFailed[s][boolToInt(remote)]
	return least != 0 && count >= least
}

func (sh *shape) noteFailure(s supply, remote bool, count int) {
	least := &sh.leastFailed[s][boolToInt(remote)]
	if *least == 0 || count < *least {
		*least = count
	}
}

// earliestPlacement returns the placement that becomes possible first as running tasks finish, and the horizon
// within which it does; nil if there is none within the longest horizon. remote reports whether the placement may be
// outside the preferred rack at that horizon.
func (p *pass) earliestPlacement(r *request, remote func(time.Duration) bool) ([]allocation, time.Duration) {
	for i, horizon := range horizons {
		expected := func(wv *workerView) batch.Resources {
			return wv.free.Plus(p.forecast(wv)[i]).Minus(wv.reserved)
		}
		if chosen := p.fitOnce(r, supplyHorizons+supply(i), remote(horizon), expected); chosen != nil {
			return chosen, horizon
		}
	}
	return nil, 0
}

// forecast returns the resources that come free on a worker as the runs end that are expected to.
func (p *pass) forecast(wv *workerView) *forecast {
	if wv.forecastPass == p.number {
		return &wv.forecast
	}
	wv.forecastPass, wv.forecast = p.number, forecast{}
	runs := p.state.Runs[wv.id]
	for id, r := range wv.running {
		p.addToForecast(wv, id, r)
	}
	for id, run := range runs {
		if _, reported := wv.running[id]; !reported {
			p.addToForecast(wv, id, RunState{Task: id, Run: run})
		}
	}
	return &wv.forecast
}

func (p *pass) addToForecast(wv *workerView, id batch.TaskID, r RunState) {
	j := p.state.Jobs[id.Job]
	if j == nil || id.Step >= len(j.Spec.Steps) || j.Spec.Steps[id.Step].LongRunning {
		return
	}
	left := p.s.remaining(p.l, wv.worker, j, r, p.now)
	need := j.Spec.Steps[id.Step].Reservation()
	for i, horizon := range horizons {
		if left <= horizon {
			wv.forecast[i] = wv.forecast[i].Plus(need)
		}
	}
}

// minProgress is the progress in percent from which the speed of a run can be extrapolated.
const minProgress = 10

// remaining estimates the remaining duration of a run from its progress, or else from the caller's estimate and the speed
// of the worker.
func (s *Scheduler) remaining(l *leaderState, w *worker, j *batch.Job, r RunState, now time.Duration) time.Duration {
	ref := RunRef{Task: r.Task, Run: r.Run}
	if w.stopSeq[ref] != 0 {
		return s.cfg.Limits.StopGrace
	}
	estimate := time.Duration(j.Spec.Steps[r.Task.Step].EstimateMS) * time.Millisecond
	estimate = l.fleet.Expected(w.health, estimate)
	first, ok := w.firstReports[ref]
	if !ok || r.Percent <= first.percent || r.Percent < minProgress {
		return estimate
	}
	elapsed := now - first.at
	return time.Duration(float64(elapsed) * float64(100-r.Percent) / float64(r.Percent-first.percent))
}
