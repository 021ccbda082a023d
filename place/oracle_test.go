package place_test

import (
	"fmt"
	"slices"
	"time"

	"pgregory.net/rapid"

	"turmericroute/config"
	"turmericroute/model"
	"turmericroute/place"
)

// searchBound bounds the steps of the oracle's packing search, beyond which the result is
// undecided.
const searchBound = 300_000

// packer searches exhaustively for placements of shapes, independently of the policy.
type packer struct {
	names   []string
	room    map[string]model.Resources
	workers map[string]model.Worker
	steps   int
}

// demand is a shape to place, with the lists of data centres that restrict it.
type demand struct {
	shape model.Shape
	dcs   [][]string
}

func (d demand) allows(dc string) bool {
	for _, l := range d.dcs {
		if len(l) > 0 && !slices.Contains(l, dc) {
			return false
		}
	}
	return true
}

// pack reports whether all demands fit at once; an undecided search counts as fitting.
func (k *packer) pack(ds []demand) bool {
	if len(ds) == 0 {
		return true
	}
	return k.placeTasks(ds, ds[0].shape.Tasks, 0, "")
}

// placeTasks places the remaining tasks of the first demand on workers from an index on.
func (k *packer) placeTasks(ds []demand, left, from int, rack string) bool {
	if k.steps++; k.steps > searchBound {
		return true
	}
	if left == 0 {
		return k.pack(ds[1:])
	}
	s := ds[0].shape
	for i := from; i < len(k.names); i++ {
		w := k.workers[k.names[i]]
		r, id := k.room[w.Name], w.DataCentre+"/"+w.Rack
		if !ds[0].allows(w.DataCentre) || s.SameRack && rack != "" && rack != id ||
			r.GPUs < s.GPUs || r.Cores < s.Cores || r.MemoryMB < s.MemoryMB {
			continue
		}
		k.room[w.Name] = model.Resources{GPUs: r.GPUs - s.GPUs, Cores: r.Cores - s.Cores, MemoryMB: r.MemoryMB - s.MemoryMB}
		if k.placeTasks(ds, left-1, i, id) {
			return true
		}
		k.room[w.Name] = r
	}
	return false
}

// gang is the oracle's record of a job.
type gang struct {
	spec     model.JobSpec
	attempt  int
	workers  []string // empty while it waits
	stopping bool
	accepted time.Time
	started  time.Time
	progress float64
}

// simulation drives a policy with random events and checks every decision against its own records.
type simulation struct {
	t            *rapid.T
	p            *place.Policy
	now          time.Time
	cfg          config.Config
	workers      map[string]model.Worker // joined
	lost         map[string]model.Worker
	gangs        map[string]*gang
	recentStarts map[string][]time.Time // recent starts into returned data centres
	returnedAt   map[string]time.Time   // when data centres returned to service
	submitted    int
	view         place.View // the policy's state before, then after a decision
	moved        []string   // gangs preempted for no other job in this decision
}

const returnStarts = 2

func newSimulation(t *rapid.T, cfg config.Config) *simulation {
	s := &simulation{
		t: t, now: epoch, cfg: cfg, workers: map[string]model.Worker{}, lost: map[string]model.Worker{},
		gangs: map[string]*gang{}, recentStarts: map[string][]time.Time{}, returnedAt: map[string]time.Time{},
	}
	for _, dc := range cfg.DataCentres {
		for _, r := range dc.Racks {
			for i := range r.Workers {
				n := fmt.Sprintf("%s-%s-%d", dc.Name, r.Name, i)
				s.workers[n] = model.Worker{Name: n, DataCentre: dc.Name, Rack: r.Name, Incarnation: "1", Capacity: r.PerWorker}
			}
		}
	}
	s.restartPolicy()
	return s
}

// restartPolicy creates a new policy from the durable state, as after a change of leader.
func (s *simulation) restartPolicy() {
	s.p = place.New(place.Config{Seed: 7, ReturnStartsPerSecond: returnStarts})
	s.step(place.ConfigChanged{Config: s.cfg})
	for _, n := range sortedKeys(s.workers) {
		s.step(place.WorkerJoined{Worker: s.workers[n]})
	}
	for _, id := range sortedKeys(s.gangs) {
		g := s.gangs[id]
		j := model.Job{Spec: g.spec, Attempt: g.attempt, Checkpoint: g.progress, Placement: model.Placement{Workers: g.workers}}
		switch {
		case g.workers == nil:
			j.State = model.JobWaiting
			s.step(place.JobSubmitted{Job: j, At: g.accepted})
			continue
		case g.stopping:
			j.State = model.JobStopping
		default:
			j.State, j.Started = model.JobRunning, g.started.UnixMilli()
		}
		s.step(place.JobRecovered{Job: j, At: g.accepted})
	}
	s.returnedAt, s.recentStarts = map[string]time.Time{}, map[string][]time.Time{}
	s.decide()
}

func sortedKeys[V any](m map[string]V) []string {
	ks := make([]string, 0, len(m))
	for k := range m {
		ks = append(ks, k)
	}
	slices.Sort(ks)
	return ks
}

func (s *simulation) step(e place.Event) { s.p.Step(s.now, e) }

func (s *simulation) startable(n string) bool {
	wk, ok := s.workers[n]
	return ok && s.cfg.InService(wk.DataCentre) && !s.cfg.Drained(n)
}

// decide runs the policy, checks and applies each decision, and checks the state afterwards.
func (s *simulation) decide() []place.Decision {
	s.view = s.p.Dump().(place.View)
	ds := s.p.Decide(s.now)
	for _, d := range ds {
		switch d := d.(type) {
		case place.Start:
			s.checkStart(d)
		case place.Preempt:
			s.checkPreempt(d)
		case place.Refuse:
			g := s.gangs[d.ID]
			if g == nil || g.workers != nil || place.CheckJob(s.cfg, g.spec) == nil {
				s.t.Fatalf("invalid refusal %+v", d)
			}
			delete(s.gangs, d.ID)
		}
	}
	s.view = s.p.Dump().(place.View)
	s.checkMoves()
	s.checkPlacements()
	s.checkGuarantees()
	s.checkNoneWaitsWithinGuarantee()
	return ds
}

func (s *simulation) checkStart(d place.Start) {
	g := s.gangs[d.ID]
	if g == nil || g.workers != nil || len(d.Placement.Workers) != g.spec.Shape.Tasks {
		s.t.Fatalf("invalid start %+v of %+v", d, g)
	}
	team, _ := s.cfg.Team(g.spec.Team)
	dm := demand{g.spec.Shape, [][]string{team.DataCentres, g.spec.DataCentres}}
	dcs, racks := map[string]bool{}, map[string]bool{}
	for _, n := range d.Placement.Workers {
		wk := s.workers[n]
		if !s.startable(n) || !dm.allows(wk.DataCentre) {
			s.t.Fatalf("%s started on %s, where it may not run", d.ID, n)
		}
		for _, v := range s.view.Workers {
			if v.Name == n && v.ProbationUntil.After(s.now) {
				s.t.Fatalf("%s started on %s on probation", d.ID, n)
			}
		}
		dcs[wk.DataCentre], racks[wk.DataCentre+wk.Rack] = true, true
	}
	if g.spec.Shape.SameRack && len(racks) > 1 {
		s.t.Fatalf("%s is spread over racks %v", d.ID, racks)
	}
	for dc := range dcs {
		s.checkReturn(dc)
	}
	g.workers, g.started = d.Placement.Workers, s.now
	g.attempt++
	s.step(place.JobStarted{ID: d.ID, Attempt: g.attempt})
	used, sh := s.used(g.spec.Team), g.spec.Shape
	for _, r := range [...][3]int{{sh.GPUs, used.GPUs, team.MaxGPUs}, {sh.Cores, used.Cores, team.MaxCores}, {sh.MemoryMB, used.MemoryMB, team.MaxMemoryMB}} {
		if need, inUse, quota := r[0], r[1], r[2]; quota > 0 && inUse > quota && need > 0 {
			s.t.Fatalf("team %s uses %v, above its quota of %d", team.Name, used, quota)
		}
	}
}

func (s *simulation) checkReturn(dc string) {
	if at, ok := s.returnedAt[dc]; !ok || s.now.Sub(at) >= place.DefaultReturnPeriod {
		return
	}
	s.recentStarts[dc] = slices.DeleteFunc(append(s.recentStarts[dc], s.now), func(t time.Time) bool { return s.now.Sub(t) >= time.Second })
	if n := len(s.recentStarts[dc]); n > returnStarts {
		s.t.Fatalf("%d starts within a second in returned data centre %s", n, dc)
	}
}

func (s *simulation) used(team string) model.Resources {
	var n model.Resources
	for _, g := range s.gangs {
		if g.workers != nil && g.spec.Team == team {
			sh := g.spec.Shape
			n.GPUs += sh.Tasks * sh.GPUs
			n.Cores += sh.Tasks * sh.Cores
			n.MemoryMB += sh.Tasks * sh.MemoryMB
		}
	}
	return n
}

func (s *simulation) checkPreempt(d place.Preempt) {
	g := s.gangs[d.ID]
	if g == nil || g.workers == nil || g.stopping {
		s.t.Fatalf("invalid preemption %+v of %+v", d, g)
	}
	g.stopping = true
	if d.For == "" {
		left := func(n string) bool { _, ok := s.workers[n]; return !ok || !s.cfg.InService(s.workers[n].DataCentre) }
		if slices.ContainsFunc(g.workers, left) {
			return
		}
		s.moved = append(s.moved, d.ID)
	}
	for _, j := range s.view.Jobs {
		// Within a team, an urgent or larger gang may take the cell over.
		if f := s.gangs[d.For]; j.ID == d.ID && j.Guarantee >= 0 && (f == nil || f.spec.Team != j.Team) {
			s.t.Fatalf("%s preempted for %s within its guarantee", d.ID, d.For)
		}
	}
}

// checkMoves checks that a gang preempted for no other job has a placement held for it.
func (s *simulation) checkMoves() {
	for _, id := range s.moved {
		i := slices.IndexFunc(s.view.Jobs, func(j place.JobView) bool { return j.ID == id })
		if !s.view.Jobs[i].Reclaiming {
			s.t.Fatalf("%s preempted without a lost worker, an outage or a claim on another placement", id)
		}
	}
	s.moved = nil
}

// checkPlacements checks capacity, and that no gang keeps running on a lost worker or in a data
// centre out of service.
func (s *simulation) checkPlacements() {
	used := map[string]model.Resources{}
	for id, g := range s.gangs {
		for _, n := range g.workers {
			wk, ok := s.workers[n]
			if !g.stopping && (!ok || !s.cfg.InService(wk.DataCentre)) {
				s.t.Fatalf("%s still runs on %s", id, n)
			}
			u := used[n]
			used[n] = model.Resources{GPUs: u.GPUs + g.spec.Shape.GPUs, Cores: u.Cores + g.spec.Shape.Cores, MemoryMB: u.MemoryMB + g.spec.Shape.MemoryMB}
		}
	}
	for n, u := range used {
		if wk, ok := s.workers[n]; ok && (u.GPUs > wk.Capacity.GPUs || u.Cores > wk.Capacity.Cores || u.MemoryMB > wk.Capacity.MemoryMB) {
			s.t.Fatalf("worker %s is overcommitted: %+v", n, u)
		}
	}
}

// checkGuarantees searches placements for all unused guarantees beside the charged gangs.
func (s *simulation) checkGuarantees() {
	k := &packer{room: map[string]model.Resources{}, workers: s.workers}
	for _, n := range sortedKeys(s.workers) {
		if s.startable(n) && !slices.ContainsFunc(s.view.Workers, func(v place.WorkerView) bool { return v.Name == n && v.ProbationUntil.After(s.now) }) {
			k.names = append(k.names, n)
			k.room[n] = s.workers[n].Capacity
		}
	}
	unused := map[string]int{}
	for _, j := range s.view.Jobs {
		if j.Guarantee < 0 {
			continue
		}
		g := s.gangs[j.ID]
		unused[fmt.Sprint(j.Team, j.Guarantee)]--
		team, _ := s.cfg.Team(j.Team)
		if j.Guarantee >= len(team.Guarantees) || !matches(g.spec.Shape, team.Guarantees[j.Guarantee].Shape) {
			s.t.Fatalf("%s is charged to guarantee %d that it does not match", j.ID, j.Guarantee)
		}
		if g.workers == nil {
			unused[fmt.Sprint(j.Team, j.Guarantee)]++ // its placement is being freed: it still needs one
		}
		for _, n := range g.workers {
			r := k.room[n]
			gangShape := g.spec.Shape
			k.room[n] = model.Resources{GPUs: r.GPUs - gangShape.GPUs, Cores: r.Cores - gangShape.Cores, MemoryMB: r.MemoryMB - gangShape.MemoryMB}
		}
	}
	for _, short := range s.view.Shortages {
		unused[fmt.Sprint(short.Team, short.Guarantee)] -= short.Missing
	}
	var ds []demand
	for _, t := range s.cfg.Teams {
		for i, gr := range t.Guarantees {
			n := max(1, gr.Count) + unused[fmt.Sprint(t.Name, i)]
			for range n {
				ds = append(ds, demand{gr.Shape, [][]string{t.DataCentres, gr.DataCentres}})
			}
		}
	}
	slices.SortStableFunc(ds, func(a, b demand) int { return b.shape.TotalGPUs() - a.shape.TotalGPUs() })
	if !k.pack(ds) {
		s.t.Fatalf("unused guarantees %+v do not fit: room %+v, policy %+v", ds, k.room, s.view)
	}
}

// matches reports whether a gang of shape s may be charged to a guarantee of shape g.
func matches(s, g model.Shape) bool {
	per := 1 << 20
	for _, q := range [][2]int{{s.GPUs, g.GPUs}, {s.Cores, g.Cores}, {s.MemoryMB, g.MemoryMB}} {
		if q[0] > 0 {
			per = min(per, q[1]/q[0])
		}
	}
	return per > 0 && (s.Tasks+per-1)/per <= g.Tasks && (!s.SameRack || g.SameRack || g.Tasks == 1)
}

// checkNoneWaitsWithinGuarantee fails if a waiting job has an unused guaranteed shape and nothing
// is reclaimed for it.
func (s *simulation) checkNoneWaitsWithinGuarantee() {
	if len(s.view.Shortages) > 0 {
		return
	}
	for _, at := range s.returnedAt {
		if s.now.Sub(at) < place.DefaultReturnPeriod {
			return // starts are bounded
		}
	}
	used := map[string]int{}
	for _, j := range s.view.Jobs {
		if j.Guarantee >= 0 {
			used[fmt.Sprint(j.Team, j.Guarantee)]++
		}
	}
	for _, j := range s.view.Jobs {
		g := s.gangs[j.ID]
		team, ok := s.cfg.Team(j.Team)
		if g.workers != nil || j.Reclaiming || !ok || len(g.spec.DataCentres) > 0 {
			continue
		}
		for i, gr := range team.Guarantees {
			if gr.Shape == g.spec.Shape && used[fmt.Sprint(j.Team, i)] < max(1, gr.Count) {
				s.t.Fatalf("%s waits within unused guarantee %d: %s", j.ID, i, s.p.Explain(j.ID))
			}
		}
	}
}
