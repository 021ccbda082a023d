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
	// maintainInterval is how often waves are looked at.
	maintainInterval = 250 * time.Millisecond
	// orderTimeout bounds one order to the provider.
	orderTimeout = 2 * time.Second
	// awayMargin is added to the time that a machine is away for maintenance, since it must also join again.
	awayMargin = 1500 * time.Millisecond
)

// away holds when machines of waves went down, by this leader's boot clock.
type away map[string]time.Duration

// maintain carries out waves: it orders the maintenance of each machine, at most Maximum at once.
// A new leader waits first, so that orders of two leaders for one machine keep their distance.
func (s *Scheduler) maintain(o *office) {
	if s.cfg.Provider == nil || !clock.Sleep(o.ctx, s.cfg.Limits.HandOver+leaseMargin) {
		return
	}
	down := map[int64]away{}
	for clock.Sleep(o.ctx, maintainInterval) {
		for _, w := range o.openWaves() {
			if down[w.Number] == nil {
				down[w.Number] = away{}
				for _, m := range w.Begun {
					// How long ago an earlier leader ordered it is not known.
					down[w.Number][m] = s.cfg.Boot()
				}
			}
			s.advance(o, w, down[w.Number])
		}
	}
}

func (o *office) openWaves() []batch.Wave {
	var out []batch.Wave
	o.ledger.View(func(b *batch.Book) {
		for _, n := range slices.Sorted(maps.Keys(b.Waves)) {
			if w := b.Waves[n]; !w.Done {
				c := *w
				c.Begun = slices.Clone(w.Begun)
				out = append(out, c)
			}
		}
	})
	return out
}

// advance orders the next machines of a wave and ends it when all have been maintained.
func (s *Scheduler) advance(o *office, w batch.Wave, down away) {
	now := s.cfg.Boot()
	out := 0
	for _, at := range down {
		if now-at < s.cfg.Limits.MaintenanceTime+awayMargin {
			out++
		}
	}
	var waiting []string
	for _, m := range w.Machines {
		if !slices.Contains(w.Begun, m) {
			waiting = append(waiting, m)
		}
	}
	if len(waiting) == 0 {
		if out == 0 {
			_, err := o.change(o.ctx, batch.Change{Upkeep: &batch.Upkeep{Wave: w.Number, Done: true}})
			s.cfg.Logger.Log("event", "wave_done", "wave", w.Number, "err", err)
		}
		return
	}
	for _, m := range s.gentlest(o, waiting) {
		if out >= max(1, w.Maximum) {
			return
		}
		if s.maintainOne(o, w, m) {
			down[m] = s.cfg.Boot()
			out++
		}
	}
}

// maintainOne orders the maintenance of a machine and reports whether it is down now.
func (s *Scheduler) maintainOne(o *office, w batch.Wave, machine string) bool {
	ctx, cancel := context.WithTimeout(o.ctx, orderTimeout)
	defer cancel()
	refusal, err := s.cfg.Provider.Maintain(ctx, machine, w.Number, s.cfg.Name, o.term)
	s.cfg.Logger.Log("event", "maintenance_ordered", "machine", machine, "wave", w.Number, "fence", o.term, "refusal", refusal, "err", err)
	if err != nil || refusal == RefusedBusy || refusal == RefusedFence {
		// After an error the order may have been carried out; a repeated one is answered as if it had just been.
		return err != nil
	}
	if _, err := o.change(o.ctx, batch.Change{Upkeep: &batch.Upkeep{Wave: w.Number, Machine: machine}}); err != nil {
		s.cfg.Logger.Log("event", "maintenance_unrecorded", "machine", machine, "wave", w.Number, "err", err)
	}
	return refusal == ""
}

// gentlest orders machines by what their maintenance would stop, and leaves out
// those with lasting tasks of steps that may not miss another one now.
func (s *Scheduler) gentlest(o *office, machines []string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	cost := map[string]int{}
	blocked := map[string]bool{}
	o.ledger.View(func(b *batch.Book) {
		for id, w := range o.workers {
			if w.gone || !slices.Contains(machines, w.beat.Machine) {
				continue
			}
			cost[w.beat.Machine] += len(b.Runs[id])
			for t := range b.Runs[id] {
				j := b.Jobs[t.Job]
				step := j.Spec.Steps[t.Step]
				if step.Lasting && step.MayMiss >= 0 && !j.State.Final() && o.missing(b, j, t) >= step.MayMiss {
					blocked[w.beat.Machine] = true
				}
			}
		}
	})
	out := slices.DeleteFunc(slices.Clone(machines), func(m string) bool { return blocked[m] })
	slices.SortStableFunc(out, func(a, b string) int { return cmp.Compare(cost[a], cost[b]) })
	return out
}

// missing counts the other tasks of a lasting step that are not at work.
func (o *office) missing(b *batch.Book, j *batch.Job, id batch.TaskID) int {
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
