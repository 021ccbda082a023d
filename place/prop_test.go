package place_test

import (
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	"pgregory.net/rapid"

	"turmericroute/config"
	"turmericroute/model"
	"turmericroute/place"
)

func drawShape(t *rapid.T) model.Shape {
	gpus := rapid.SampledFrom([]int{0, 1, 2, 4}).Draw(t, "gpus")
	return model.Shape{
		Tasks: rapid.IntRange(1, 4).Draw(t, "tasks"), GPUs: gpus,
		Cores: rapid.IntRange(1, 4).Draw(t, "cores"), MemoryMB: 100 * rapid.IntRange(1, 4).Draw(t, "mem"),
		SameRack: rapid.Bool().Draw(t, "same rack"),
	}
}

func drawTeam(t *rapid.T, name string, dcs []string) config.Team {
	team := config.Team{Name: name, Weight: float64(rapid.IntRange(0, 3).Draw(t, "weight"))}
	total := 0
	for range rapid.IntRange(0, 2).Draw(t, "guarantees") {
		g := config.Guarantee{Shape: drawShape(t), Count: rapid.IntRange(0, 2).Draw(t, "count")}
		if rapid.IntRange(0, 3).Draw(t, "restricted") == 0 {
			g.DataCentres = []string{rapid.SampledFrom(dcs).Draw(t, "dc")}
		}
		total += g.Shape.TotalGPUs() * max(1, g.Count)
		team.Guarantees = append(team.Guarantees, g)
	}
	if rapid.IntRange(0, 2).Draw(t, "quota") == 0 {
		team.MaxGPUs = max(4, total) + 2
	}
	return team
}

func drawConfig(t *rapid.T) config.Config {
	cfg := config.Config{}
	var dcs []string
	for d := range rapid.IntRange(1, 3).Draw(t, "data centres") {
		dc := config.DataCentre{Name: fmt.Sprint("d", d), Region: "r"}
		for r := range rapid.IntRange(1, 2).Draw(t, "racks") {
			dc.Racks = append(dc.Racks, config.Rack{
				Name: fmt.Sprint("r", r), Workers: rapid.IntRange(1, 3).Draw(t, "workers"),
				PerWorker: model.Resources{GPUs: 4, Cores: 8, MemoryMB: 1600},
			})
		}
		cfg.DataCentres = append(cfg.DataCentres, dc)
		dcs = append(dcs, dc.Name)
	}
	for i := range rapid.IntRange(1, 3).Draw(t, "teams") {
		cfg.Teams = append(cfg.Teams, drawTeam(t, fmt.Sprint("t", i), dcs))
	}
	return cfg
}

func (w *simulation) pick(placed bool) *gang {
	var ids []string
	for _, id := range sortedKeys(w.gangs) {
		if (w.gangs[id].workers != nil) == placed {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		w.t.Skip("no such job")
	}
	return w.gangs[rapid.SampledFrom(ids).Draw(w.t, "job")]
}

func (w *simulation) submit(spec model.JobSpec) {
	if place.CheckJob(w.cfg, spec) != nil {
		return
	}
	w.submitted++
	spec.ID = fmt.Sprintf("j%04d", w.submitted)
	w.gangs[spec.ID] = &gang{spec: spec, accepted: w.now}
	w.step(place.JobSubmitted{Job: model.Job{Spec: spec}, At: w.now})
}

func (w *simulation) release(g *gang, requeue bool, failedOn string) {
	e := place.JobReleased{ID: g.spec.ID, Attempt: g.attempt, Requeue: requeue, FailedOn: failedOn, Checkpoint: g.progress}
	g.workers, g.stopping = nil, false
	if !requeue {
		delete(w.gangs, g.spec.ID)
	}
	w.step(e)
}

// releaseStopping reports all gangs that are being stopped as released.
func (w *simulation) releaseStopping() {
	for _, id := range sortedKeys(w.gangs) {
		if g := w.gangs[id]; g.stopping {
			w.release(g, true, "")
		}
	}
}

func (w *simulation) patch(c config.Change) {
	next, err := config.Apply(w.cfg, config.Patch{Changes: []config.Change{c}})
	if err != nil {
		w.t.Fatalf("patch: %v", err)
	}
	for _, dc := range next.DataCentres {
		if !dc.OutOfService && !w.cfg.InService(dc.Name) {
			w.returnedAt[dc.Name] = w.now
		}
	}
	w.cfg = next
	w.step(place.ConfigChanged{Config: next})
}

// reclaimProbe submits a job of an unused guaranteed shape and expects its start once all preempted
// gangs have left.
func (w *simulation) reclaimProbe() {
	w.now = w.now.Add(place.DefaultReturnPeriod)
	w.releaseStopping()
	w.decide()
	team := rapid.SampledFrom(w.cfg.Teams).Draw(w.t, "team")
	if len(team.Guarantees) == 0 || len(w.view.Shortages) > 0 {
		return
	}
	i := rapid.IntRange(0, len(team.Guarantees)-1).Draw(w.t, "guarantee")
	used := 0
	for _, j := range w.view.Jobs {
		if j.Team == team.Name && (j.Guarantee == i || j.State == "waiting") {
			used++
		}
	}
	if used >= max(1, team.Guarantees[i].Count) {
		return
	}
	w.submit(model.JobSpec{Team: team.Name, Shape: team.Guarantees[i].Shape, Urgent: rapid.Bool().Draw(w.t, "urgent")})
	g := w.gangs[fmt.Sprintf("j%04d", w.submitted)]
	w.decide()
	w.releaseStopping()
	w.decide()
	if g.workers == nil {
		w.t.Fatalf("%s of team %s within its guarantee has not started: %s", g.spec.ID, team.Name, w.p.Explain(g.spec.ID))
	}
}

func (w *simulation) actions() map[string]func(*rapid.T) {
	acts := map[string]func(){
		"submit": func() {
			team := rapid.SampledFrom(w.cfg.Teams).Draw(w.t, "team")
			spec := model.JobSpec{Team: team.Name, Shape: drawShape(w.t), Urgent: rapid.IntRange(0, 4).Draw(w.t, "urgent") == 0,
				DeclaredSeconds: float64(rapid.IntRange(0, 2000).Draw(w.t, "declared"))}
			if rapid.IntRange(0, 4).Draw(w.t, "restricted") == 0 {
				spec.DataCentres = []string{w.cfg.DataCentres[0].Name}
			}
			w.submit(spec)
		},
		"submit guaranteed": func() {
			team := rapid.SampledFrom(w.cfg.Teams).Draw(w.t, "team")
			if len(team.Guarantees) > 0 {
				w.submit(model.JobSpec{Team: team.Name, Shape: rapid.SampledFrom(team.Guarantees).Draw(w.t, "guarantee").Shape})
			}
		},
		"finish":       func() { w.release(w.pick(true), false, "") },
		"released":     func() { w.releaseStopping() },
		"released one": func() { w.release(w.pick(true), true, "") },
		"fail": func() {
			g := w.pick(true)
			w.release(g, rapid.Bool().Draw(w.t, "requeue"), rapid.SampledFrom(g.workers).Draw(w.t, "worker"))
		},
		"progress": func() {
			g := w.pick(true)
			g.progress += 10
			w.step(place.JobProgress{ID: g.spec.ID, Progress: g.progress + 50, Checkpoint: g.progress,
				Usage: model.Resources{GPUs: g.spec.Shape.GPUs, Cores: rapid.IntRange(0, 20).Draw(w.t, "cores"), MemoryMB: 100}})
		},
		"cancel waiting": func() {
			g := w.pick(false)
			delete(w.gangs, g.spec.ID)
			w.step(place.JobRemoved{ID: g.spec.ID})
		},
		"cancel wave": func() {
			for _, id := range sortedKeys(w.gangs) {
				if w.gangs[id].workers == nil {
					delete(w.gangs, id)
					w.step(place.JobRemoved{ID: id})
				}
			}
		},
		"lose worker": func() {
			if len(w.workers) == 0 {
				w.t.Skip("none left")
			}
			n := rapid.SampledFrom(sortedKeys(w.workers)).Draw(w.t, "worker")
			w.lost[n] = w.workers[n]
			delete(w.workers, n)
			w.step(place.WorkerLost{Name: n})
		},
		"worker returns": func() {
			if len(w.lost) == 0 {
				w.t.Skip("none lost")
			}
			n := rapid.SampledFrom(sortedKeys(w.lost)).Draw(w.t, "worker")
			wk := w.lost[n]
			wk.Incarnation += "1"
			w.workers[n] = wk
			delete(w.lost, n)
			for _, id := range sortedKeys(w.gangs) { // a restarted worker has no tasks
				if g := w.gangs[id]; slices.Contains(g.workers, n) {
					w.release(g, true, "")
				}
			}
			w.step(place.WorkerJoined{Worker: wk})
		},
		"data centre": func() {
			dc := rapid.SampledFrom(w.cfg.DataCentres).Draw(w.t, "dc")
			w.patch(config.Change{SetDataCentre: &config.DataCentreState{Name: dc.Name, OutOfService: !dc.OutOfService}})
		},
		"drain": func() {
			n := rapid.SampledFrom(append(sortedKeys(w.workers), sortedKeys(w.lost)...)).Draw(w.t, "worker")
			if w.cfg.Drained(n) {
				w.patch(config.Change{UndrainWorker: n})
			} else {
				w.patch(config.Change{DrainWorker: &config.Drain{Worker: n}})
			}
		},
		"team": func() {
			i := rapid.IntRange(0, len(w.cfg.Teams)-1).Draw(w.t, "team")
			team := drawTeam(w.t, w.cfg.Teams[i].Name, []string{w.cfg.DataCentres[0].Name})
			if w.gpus(team.Name) > team.MaxGPUs {
				team.MaxGPUs = 0
			}
			w.patch(config.Change{PutTeam: &team})
		},
		"time":         func() { w.now = w.now.Add(time.Duration(rapid.IntRange(1, 400).Draw(w.t, "seconds")) * time.Second) },
		"new leader":   func() { w.restartPolicy() },
		"reclaim":      func() { w.reclaimProbe() },
		"short moment": func() { w.now = w.now.Add(200 * time.Millisecond) },
	}
	m := map[string]func(*rapid.T){}
	for name, act := range acts {
		m[name] = func(t *rapid.T) {
			w.t = t
			act()
			w.decide()
		}
	}
	return m
}

var _ = Describe("Policy under random events", func() {
	It("keeps every guarantee, gang and bound after each event", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			w := newSimulation(t, drawConfig(t))
			t.Repeat(w.actions())
		})
	})

	It("finds a shortage only where an exhaustive search finds one", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			cfg := drawConfig(t)
			k := &packer{room: map[string]model.Resources{}, workers: map[string]model.Worker{}}
			var ds []demand
			for _, dc := range cfg.DataCentres {
				for _, r := range dc.Racks {
					for i := range r.Workers {
						n := fmt.Sprintf("%s-%s-%d", dc.Name, r.Name, i)
						k.names = append(k.names, n)
						k.room[n] = r.PerWorker
						k.workers[n] = model.Worker{Name: n, DataCentre: dc.Name, Rack: r.Name}
					}
				}
			}
			for _, team := range cfg.Teams {
				for _, g := range team.Guarantees {
					for range max(1, g.Count) {
						ds = append(ds, demand{g.Shape, [][]string{team.DataCentres, g.DataCentres}})
					}
				}
			}
			slices.SortStableFunc(ds, func(a, b demand) int { return b.shape.TotalGPUs() - a.shape.TotalGPUs() })
			fits := k.pack(ds)
			if k.steps > searchBound {
				t.Skip("undecided")
			}
			if short := place.CheckGuarantees(cfg); (len(short) == 0) != fits {
				t.Fatalf("search finds placements: %v, shortages: %v", fits, short)
			}
		})
	})
})
