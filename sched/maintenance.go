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
	// maintenanceInterval is the pause between checks of the open waves.
	maintenanceInterval = 250 * time.Millisecond
	// orderTimeout bounds one maintenance order to the provider.
	orderTimeout = 2 * time.Second
	// formerLeaderMargin is how long an earlier leader may go on after the next one has begun: its session outlasts its
	// lease while it may still win that back.
	formerLeaderMargin = 1500 * time.Millisecond
	// rejoinMargin is the time that a machine needs to rejoin after its maintenance.
	rejoinMargin = 1500 * time.Millisecond
)

// downSince holds the boot time at which each machine of a wave went down for maintenance.
type downSince map[string]time.Duration

// runMaintenance carries out maintenance waves until the term ends: it orders the maintenance of each machine,
// at most Wave.MaxConcurrent at once. A new leader first waits for HandoverDelay, the minimum time between orders of
// two leaders for one machine, from the time at which no earlier leader gives orders any more. In the waves that it finds
// it orders nothing before the machines are back that an earlier leader may have taken down without recording that.
func (s *Scheduler) runMaintenance(l *leaderState) {
	orderFrom := map[int64]time.Duration{}
	for _, w := range l.openWaves() {
		orderFrom[w.Number] = s.cfg.BootClock() + formerLeaderMargin + s.cfg.Limits.MaintenanceTime + rejoinMargin
	}
	if s.cfg.Provider == nil || !clock.Sleep(l.ctx, s.cfg.Limits.HandoverDelay+formerLeaderMargin) {
		return
	}
	down := map[int64]downSince{}
	for clock.Sleep(l.ctx, maintenanceInterval) {
		for _, w := range l.openWaves() {
			if down[w.Number] == nil {
				down[w.Number] = downSince{}
				for _, m := range w.StartedMachines {
					// An earlier leader ordered it at an unknown time, so assume that it has just gone down.
					down[w.Number][m] = s.cfg.BootClock()
				}
			}
			s.advanceWave(l, w, down[w.Number], orderFrom[w.Number])
		}
	}
}

func (l *leaderState) openWaves() []batch.Wave {
	var out []batch.Wave
	l.ledger.View(func(b *batch.State) {
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

// advanceWave orders the maintenance of the next machines of a wave from a boot time on, and ends the wave once all are
// back.
func (s *Scheduler) advanceWave(l *leaderState, w batch.Wave, down downSince, orderFrom time.Duration) {
	now := s.cfg.BootClock()
	inMaintenance := 0
	for _, at := range down {
		if now-at < s.cfg.Limits.MaintenanceTime+rejoinMargin {
			inMaintenance++
		}
	}
	var waiting []string
	for _, m := range w.Machines {
		if !slices.Contains(w.StartedMachines, m) {
			waiting = append(waiting, m)
		}
	}
	if len(waiting) == 0 {
		if inMaintenance == 0 {
			_, err := l.commit(l.ctx, batch.Change{WaveProgress: &batch.WaveProgress{Wave: w.Number, Done: true}})
			s.cfg.Logger.Log("event", "wave_done", "wave", w.Number, "err", err)
		}
		return
	}
	for now >= orderFrom && inMaintenance < max(1, w.MaxConcurrent) {
		// What may be taken down is looked at anew after each machine.
		order := s.maintenanceOrder(l, waiting)
		if len(order) == 0 {
			return
		}
		m := order[0]
		waiting = slices.DeleteFunc(waiting, func(other string) bool { return other == m })
		if s.maintainMachine(l, w, m) {
			down[m] = s.cfg.BootClock()
			inMaintenance++
		}
	}
}

// maintainMachine orders the maintenance of a machine and reports whether the machine may be down now.
func (s *Scheduler) maintainMachine(l *leaderState, w batch.Wave, machine string) bool {
	ctx, cancel := context.WithTimeout(l.ctx, orderTimeout)
	defer cancel()
	s.mu.Lock()
	before, again := l.maintainedAt[machine]
	l.maintainedAt[machine] = s.cfg.BootClock()
	s.mu.Unlock()
	refusal, err := s.cfg.Provider.Maintain(ctx, machine, w.Number, s.cfg.Name, l.term)
	s.cfg.Logger.Log("event", "maintenance_ordered", "machine", machine, "wave", w.Number, "fence", l.term, "refusal", refusal, "err", err)
	if refusal != "" && err == nil {
		s.mu.Lock()
		if delete(l.maintainedAt, machine); again {
			l.maintainedAt[machine] = before
		}
		s.mu.Unlock()
	}
	if err != nil || refusal == RefusedBusy || refusal == RefusedFence {
		// After an error the order may have been carried out; the provider answers a repeated order as if
		// it had just carried it out.
		return err != nil
	}
	if _, err := l.commit(l.ctx, batch.Change{WaveProgress: &batch.WaveProgress{Wave: w.Number, Machine: machine}}); err != nil {
		s.cfg.Logger.Log("event", "maintenance_unrecorded", "machine", machine, "wave", w.Number, "err", err)
	}
	return refusal == ""
}

// maintenanceOrder returns machines sorted by the number of runs that their maintenance would stop, fewest first. It
// omits machines whose maintenance would exceed the MaxUnavailable of a long-running step, all of whose tasks there end at once.
func (s *Scheduler) maintenanceOrder(l *leaderState, machines []string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	cost := map[string]int{}
	blocked := map[string]bool{}
	l.ledger.View(func(b *batch.State) {
		for id, w := range l.workers {
			if w.gone || !slices.Contains(machines, w.hb.Machine) {
				continue
			}
			cost[w.hb.Machine] += len(b.Runs[id])
			for t := range b.Runs[id] {
				j := b.Jobs[t.Job]
				if bounded(&j.Spec.Steps[t.Step]) && !j.State.Final() && !s.mayStop(l, j, t, tasksOfStep(b.Runs[id], t)-1) {
					blocked[w.hb.Machine] = true
				}
			}
		}
	})
	out := slices.DeleteFunc(slices.Clone(machines), func(m string) bool { return blocked[m] })
	slices.SortStableFunc(out, func(a, b string) int { return cmp.Compare(cost[a], cost[b]) })
	return out
}

// tasksOfStep returns how many runs are of the step of a task.
func tasksOfStep(runs map[batch.TaskID]int, id batch.TaskID) int {
	n := 0
	for other := range runs {
		if other.Index = id.Index; other == id {
			n++
		}
	}
	return n
}
