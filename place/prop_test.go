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
	var total model.Resources
	for range rapid.IntRange(0, 2).Draw(t, "guarantees") {
		g := config.Guarantee{Shape: drawShape(t), Count: rapid.IntRange(0, 2).Draw(t, "count")}
		if rapid.IntRange(0, 3).Draw(t, "restricted") == 0 {
			g.DataCentres = []string{rapid.SampledFrom(dcs).Draw(t, "dc")}
		}
		tasks := g.Shape.Tasks * max(1, g.Count)
		total.GPUs += tasks * g.Shape.GPUs
		total.Cores += tasks * g.Shape.Cores
		total.MemoryMB += tasks * g.Shape.MemoryMB
		team.Guarantees = append(team.Guarantees, g)
	}
	if rapid.IntRange(0, 2).Draw(t, "quota") == 0 {
		team.MaxGPUs = max(4, total.GPUs) + 2
	}
	if rapid.IntRange(0, 3).Draw(t, "quota of cores and memory") == 0 {
		team.MaxCores, team.MaxMemoryMB = max(8, total.Cores)+2, max(800, total.MemoryMB)+200
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

func (s *simulation) pick(placed bool) *gang {
	var ids []string
	for _, id := range sortedKeys(s.gangs) {
		if (s.gangs[id].workers != nil) == placed {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		s.t.Skip("no such job")
	}
	return s.gangs[rapid.SampledFrom(ids).Draw(s.t, "job")]
}

func (s *simulation) submit(spec model.JobSpec) {
	if place.CheckJob(s.cfg, spec) != nil {
		return
	}
	s.submitted++
	spec.ID = fmt.Sprintf("j%04d", s.submitted)
	s.gangs[spec.ID] = &gang{spec: spec, accepted: s.now}
	s.step(place.JobSubmitted{Job: model.Job{Spec: spec}, At: s.now})
}

func (s *simulation) release(g *gang, requeue bool, failedOn string) {
	e := place.JobReleased{ID: g.spec.ID, Attempt: g.attempt, Requeue: requeue, FailedOn: failedOn, Checkpoint: g.progress}
	g.workers, g.stopping = nil, false
	if !requeue {
		delete(s.gangs, g.spec.ID)
	}
	s.step(e)
}

// releaseStopping reports all gangs that are being stopped as released.
func (s *simulation) releaseStopping() {
	for _, id := range sortedKeys(s.gangs) {
		if g := s.gangs[id]; g.stopping {
			s.release(g, true, "")
		}
	}
}

func (s *simulation) patch(c config.Change) {
	next, err := config.Apply(s.cfg, config.Patch{Changes: []config.Change{c}})
	if err != nil {
		s.t.Fatalf("patch: %v", err)
	}
	for _, dc := range next.DataCentres {
		if !dc.OutOfService && !s.cfg.InService(dc.Name) {
			s.returnedAt[dc.Name] = s.now
		}
	}
	s.cfg = next
	s.step(place.ConfigChanged{Config: next})
}

// reclaimProbe submits a job of an unused guaranteed shape and expects its start once all preempted
// gangs have left.
func (s *simulation) reclaimProbe() {
	s.now = s.now.Add(place.DefaultReturnPeriod)
	s.releaseStopping()
	s.decide()
	team := rapid.SampledFrom(s.cfg.Teams).Draw(s.t, "team")
	if len(team.Guarantees) == 0 || len(s.view.Shortages) > 0 {
		return
	}
	i := rapid.IntRange(0, len(team.Guarantees)-1).Draw(s.t, "guarantee")
	used := 0
	for _, j := range s.view.Jobs {
		if j.Team == team.Name && (j.Guarantee == i || j.State == "waiting") {
			used++
		}
	}
	if used >= max(1, team.Guarantees[i].Count) {
		return
	}
	s.submit(model.JobSpec{Team: team.Name, Shape: team.Guarantees[i].Shape, Urgent: rapid.Bool().Draw(s.t, "urgent")})
	g := s.gangs[fmt.Sprintf("j%04d", s.submitted)]
	s.decide()
	s.releaseStopping()
	s.decide()
	if g.workers == nil {
		s.t.Fatalf("%s of team %s within its guarantee has not started: %s", g.spec.ID, team.Name, s.p.Explain(g.spec.ID))
	}
}

func (s *simulation) actions() map[string]func(*rapid.T) {
	acts := map[string]func(){
		"submit": func() {
			team := rapid.SampledFrom(s.cfg.Teams).Draw(s.t, "team")
			spec := model.JobSpec{Team: team.Name, Shape: drawShape(s.t), Urgent: rapid.IntRange(0, 4).Draw(s.t, "urgent") == 0,
				DeclaredSeconds: float64(rapid.IntRange(0, 2000).Draw(s.t, "declared"))}
			if rapid.IntRange(0, 4).Draw(s.t, "restricted") == 0 {
				spec.DataCentres = []string{s.cfg.DataCentres[0].Name}
			}
			s.submit(spec)
		},
		"submit guaranteed": func() {
			team := rapid.SampledFrom(s.cfg.Teams).Draw(s.t, "team")
			if len(team.Guarantees) > 0 {
				s.submit(model.JobSpec{Team: team.Name, Shape: rapid.SampledFrom(team.Guarantees).Draw(s.t, "guarantee").Shape})
			}
		},
		"finish":       func() { s.release(s.pick(true), false, "") },
		"released":     func() { s.releaseStopping() },
		"released one": func() { s.release(s.pick(true), true, "") },
		"fail": func() {
			g := s.pick(true)
			s.release(g, rapid.Bool().Draw(s.t, "requeue"), rapid.SampledFrom(g.workers).Draw(s.t, "worker"))
		},
		"progress": func() {
			g := s.pick(true)
			g.progress += 10
			s.step(place.JobProgress{ID: g.spec.ID, Progress: g.progress + 50, Checkpoint: g.progress,
				Usage: model.Resources{GPUs: g.spec.Shape.GPUs, Cores: rapid.IntRange(0, 20).Draw(s.t, "cores"), MemoryMB: 100}})
		},
		"cancel waiting": func() {
			g := s.pick(false)
			delete(s.gangs, g.spec.ID)
			s.step(place.JobRemoved{ID: g.spec.ID})
		},
		"cancel wave": func() {
			for _, id := range sortedKeys(s.gangs) {
				if s.gangs[id].workers == nil {
					delete(s.gangs, id)
					s.step(place.JobRemoved{ID: id})
				}
			}
		},
		"lose worker": func() {
			if len(s.workers) == 0 {
				s.t.Skip("none left")
			}
			n := rapid.SampledFrom(sortedKeys(s.workers)).Draw(s.t, "worker")
			s.lost[n] = s.workers[n]
			delete(s.workers, n)
			s.step(place.WorkerLost{Name: n})
		},
		"worker returns": func() {
			if len(s.lost) == 0 {
				s.t.Skip("none lost")
			}
			n := rapid.SampledFrom(sortedKeys(s.lost)).Draw(s.t, "worker")
			wk := s.lost[n]
			wk.Incarnation += "1"
			s.workers[n] = wk
			delete(s.lost, n)
			for _, id := range sortedKeys(s.gangs) { // a restarted worker has no tasks
				if g := s.gangs[id]; slices.Contains(g.workers, n) {
					s.release(g, true, "")
				}
			}
			s.step(place.WorkerJoined{Worker: wk})
		},
		"data centre": func() {
			dc := rapid.SampledFrom(s.cfg.DataCentres).Draw(s.t, "dc")
			s.patch(config.Change{SetDataCentre: &config.DataCentreState{Name: dc.Name, OutOfService: !dc.OutOfService}})
		},
		"drain": func() {
			n := rapid.SampledFrom(append(sortedKeys(s.workers), sortedKeys(s.lost)...)).Draw(s.t, "worker")
			if s.cfg.Drained(n) {
				s.patch(config.Change{UndrainWorker: n})
			} else {
				s.patch(config.Change{DrainWorker: &config.Drain{Worker: n}})
			}
		},
		"team": func() {
			i := rapid.IntRange(0, len(s.cfg.Teams)-1).Draw(s.t, "team")
			team := drawTeam(s.t, s.cfg.Teams[i].Name, []string{s.cfg.DataCentres[0].Name})
			if u := s.used(team.Name); u.GPUs > team.MaxGPUs || u.Cores > team.MaxCores || u.MemoryMB > team.MaxMemoryMB {
				team.MaxGPUs, team.MaxCores, team.MaxMemoryMB = 0, 0, 0
			}
			s.patch(config.Change{PutTeam: &team})
		},
		"time":         func() { s.now = s.now.Add(time.Duration(rapid.IntRange(1, 400).Draw(s.t, "seconds")) * time.Second) },
		"new leader":   func() { s.restartPolicy() },
		"reclaim":      func() { s.reclaimProbe() },
		"short moment": func() { s.now = s.now.Add(200 * time.Millisecond) },
	}
	m := map[string]func(*rapid.T){}
	for name, act := range acts {
		m[name] = func(t *rapid.T) {
			s.t = t
			act()
			s.decide()
		}
	}
	return m
}

var _ = Describe("Policy under random events", func() {
	It("keeps every guarantee, gang and bound after each event", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			s := newSimulation(t, drawConfig(t))
			t.Repeat(s.actions())
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
