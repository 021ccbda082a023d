package sched

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"turmericroute/batch"
	"turmericroute/clock"
)

const (
	// maintenanceInterval is how often waves are looked at.
	maintenanceInterval = 250 * time.Millisecond
	// orderTimeout bounds one order to the provider.
	orderTimeout = 2 * time.Second
	// rejoinMargin is added to the time that a machine is away for maintenance, since it must also join again.
	rejoinMargin = 1500 * time.Millisecond
)

// downSince holds when machines of waves went down, by this leader's boot clock.
type downSince map[string]time.Duration

// runMaintenance carries out waves: it orders the maintenance of each machine, at most Maximum at once.
// A new leader waits first, so that orders of two leaders for one machine keep their distance.
func (s *Scheduler) runMaintenance(o *leadership) {
	if s.cfg.Provider == nil || !clock.Sleep(o.ctx, s.cfg.Limits.HandoverDelay+leaseMargin) {
		return
	}
	down := map[int64]downSince{}
	for clock.Sleep(o.ctx, maintenanceInterval) {
		for _, w := range o.openWaves() {
			if down[w.Number] == nil {
				down[w.Number] = downSince{}
				for _, m := range w.StartedMachines {
					// How long ago an earlier leader ordered it is not known.
					down[w.Number][m] = s.cfg.BootClock()
				}
			}
			s.advanceWave(o, w, down[w.Number])
		}
	}
}

func (o *leadership) openWaves() []batch.Wave {
	var out []batch.Wave
	o.ledger.View(func(b *batch.State) {
		for _, n := range slices.Sorted(maps.Keys(b.Waves)) {
			if w := b.Waves[n]; !w.Done {
				c := *w
				c.StartedMachines = slices.Clone(w.StartedMachines)
				out = append(out, c)
			}
		}
	})
	return out
}

// advanceWave orders the next machines of a wave and ends it when all have been maintained.
func (s *Scheduler) advanceWave(o *leadership, w batch.Wave, down downSince) {
	now := s.cfg.BootClock()
	out := 0
	for _, at := range down {
		if now-at < s.cfg.Limits.MaintenanceTime+rejoinMargin {
			out++
		}
	}
	var waiting []string
	for _, m := range w.Machines {
		if !slices.Contains(w.StartedMachines, m) {
			waiting = append(waiting, m)
		}
	}
	if len(waiting) == 0 {
		if out == 0 {
			_, err := o.commit(o.ctx, batch.Change{WaveProgress: &batch.WaveProgress{Wave: w.Number, Done: true}})
			s.cfg.Logger.Log("event", "wave_done", "wave", w.Number, "err", err)
		}
		return
	}
	for _, m := range s.maintenanceOrder(o, waiting) {
		if out >= max(1, w.MaxConcurrent) {
			return
		}
		if s.maintainMachine(o, w, m) {
			down[m] = s.cfg.BootClock()
			out++
		}
	}
}

// maintainMachine orders the maintenance of a machine and reports whether it is down now.
func (s *Scheduler) maintainMachine(o *leadership, w batch.Wave, machine string) bool {
	ctx, cancel := context.WithTimeout(o.ctx, orderTimeout)
	defer cancel()
	refusal, err := s.cfg.Provider.Maintain(ctx, machine, w.Number, s.cfg.Name, o.term)
	s.cfg.Logger.Log("event", "maintenance_ordered", "machine", machine, "wave", w.Number, "fence", o.term, "refusal", refusal, "err", err)
	if err != nil || refusal == RefusedBusy || refusal == RefusedFence {
		// After an error the order may have been carried out; a repeated one is answered as if it had just been.
		return err != nil
	}
	if _, err := o.commit(o.ctx, batch.Change{WaveProgress: &batch.WaveProgress{Wave: w.Number, Machine: machine}}); err != nil {
		s.cfg.Logger.Log("event", "maintenance_unrecorded", "machine", machine, "wave", w.Number, "err", err)
	}
	return refusal == ""
}

// maintenanceOrder orders machines by what their maintenance would stop, and leaves out
// those with lasting tasks of steps that may not miss another one now.
func (s *Scheduler) maintenanceOrder(o *leadership, machines []string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	cost := map[string]int{}
	blocked := map[string]bool{}
	o.ledger.View(func(b *batch.State) {
		for id, w := range o.workers {
			if w.gone || !slices.Contains(machines, w.hb.Machine) {
				continue
			}
			cost[w.hb.Machine] += len(b.Runs[id])
			for t := range b.Runs[id] {
				j := b.Jobs[t.Job]
				step := j.Spec.Steps[t.Step]
				if step.LongRunning && step.MaxUnavailable >= 0 && !j.State.Final() && o.unavailableTasks(b, j, t) >= step.MaxUnavailable {
					blocked[w.hb.Machine] = true
				}
			}
		}
	})
	out := slices.DeleteFunc(slices.Clone(machines), func(m string) bool { return blocked[m] })
	slices.SortStableFunc(out, func(a, b string) int { return cmp.Compare(cost[a], cost[b]) })
	return out
}

// unavailableTasks counts the other tasks of a lasting step that are not at work.
func (o *leadership) unavailableTasks(b *batch.State, j *batch.Job, id batch.TaskID) int {
	n := 0
	for i, t := range j.Rounds[id.Round][id.Step].Tasks {
		if i == id.Index {
			continue
		}
		other := id
		other.Index = i
		w := o.workers[t.Worker]
		if !t.Active || w == nil || w.running[other].Percent < 100 {
			n++
		}
	}
	return n
}
