package sched

import (
	"cmp"
	"slices"
	"time"

	"turmericroute/batch"
)

const (
	// spreadPatience is how long, in shares of its estimated time, a gang that wants one rack waits for
	// one before it is spread; spread it takes a multiple of that time.
	spreadPatience = 0.8
	// reclaimShare is the share of the reclaim time after which others are stopped for a guaranteed job;
	// until then their natural ends may make room at no cost.
	reclaimShare = 0.35
	// maxHolding bounds the gangs for which room is held at once; more would idle the workers.
	maxHolding = 3
	// idleShare is the share of accelerators in use below which no room is held: waiting work must not
	// stand beside workers that are mostly free.
	idleShare = 0.6
)

// gang places all tasks of a gang together or none.
func (p *pass) gang(j *batch.Job, first batch.TaskID) {
	tasks := j.Rounds[first.Round][first.Step].Tasks
	run := 0
	for i := range tasks {
		id := first
		id.Index = i
		if !p.idle(j, id) {
			return
		}
		run = max(run, tasks[i].Run)
	}
	r, ok := p.request(j, first)
	if !ok {
		return
	}
	since, blocked := p.o.blocked[first]
	if !blocked {
		since = p.now
	}
	waited := p.now - since
	free := func(st *site) batch.Need { return st.free.Minus(st.held) }
	chosen := p.fit(&r, free, p.mayspread(&r, waited))
	if chosen == nil {
		p.o.blocked[first] = since
		p.hold(&r, waited)
		return
	}
	i := 0
	for _, c := range chosen {
		for range c.count {
			id := first
			id.Index = i
			p.start(c.site, id, run+1, r.need)
			i++
		}
	}
}

// share is a number of tasks on a worker.
type share struct {
	*site
	count int
}

// left returns what stays free on the worker when it takes all that it can of a gang.
func (c share) left(r *request, free func(*site) batch.Need) int {
	rest := &site{worker: c.worker, free: free(c.site)}
	for range c.count - 1 {
		rest.free = rest.free.Minus(r.need)
	}
	return leftover(rest, r.need)
}

// mayspread reports whether a gang that wants one rack may run on several now.
func (p *pass) mayspread(r *request, waited time.Duration) bool {
	if !r.step.SameRack {
		return true
	}
	patience := time.Duration(spreadPatience*float64(r.step.EstimateMS)) * time.Millisecond
	if p.priority(r.job) == 0 {
		patience = min(patience, time.Duration(reclaimShare*float64(p.s.cfg.Limits.Reclaim)))
	}
	if waited >= patience {
		return true
	}
	// A gang that fits in no empty rack gains nothing by waiting.
	whole := func(st *site) batch.Need { return st.beat.Capacity }
	return p.fitRack(r, whole) == nil
}

// fit chooses workers for all tasks of a gang, nil when there is no room.
func (p *pass) fit(r *request, free func(*site) batch.Need, spread bool) []share {
	if r.step.DataRack != "" {
		in := func(st *site) bool { return st.beat.Rack == r.step.DataRack }
		if c := p.pack(r, free, in); c != nil {
			return c
		}
	}
	if r.step.SameRack {
		if c := p.fitRack(r, free); c != nil || !spread {
			return c
		}
	}
	return p.pack(r, free, func(*site) bool { return true })
}

// fitRack chooses the rack that the gang fills best.
func (p *pass) fitRack(r *request, free func(*site) batch.Need) []share {
	room := map[string]int{}
	for _, st := range p.sites {
		if !st.flaky {
			room[st.beat.Rack] += p.room(r, st, free(st))
		}
	}
	best := ""
	for rack, n := range room {
		if n >= r.step.Count && (best == "" || n < room[best] || n == room[best] && rack < best) {
			best = rack
		}
	}
	if best == "" {
		return nil
	}
	return p.pack(r, free, func(st *site) bool { return st.beat.Rack == best && !st.flaky })
}

// pack puts all tasks on as few workers as it can among those in, the fullest first.
func (p *pass) pack(r *request, free func(*site) batch.Need, in func(*site) bool) []share {
	var list []share
	total := 0
	for _, st := range p.sites {
		if !in(st) {
			continue
		}
		if n := p.room(r, st, free(st)); n > 0 {
			list = append(list, share{st, n})
			total += n
		}
	}
	if total < r.step.Count {
		return nil
	}
	slices.SortStableFunc(list, func(a, b share) int {
		return cmp.Or(cmp.Compare(flag(a.flaky), flag(b.flaky)), cmp.Compare(a.left(r, free), b.left(r, free)))
	})
	left := r.step.Count
	var out []share
	for _, c := range list {
		n := min(c.count, left)
		out = append(out, share{c.site, n})
		if left -= n; left == 0 {
			break
		}
	}
	return out
}

// hold keeps room for a gang that finds no place, so that smaller jobs do not
// take it up again, and stops others where the team's guarantee is due.
func (p *pass) hold(r *request, waited time.Duration) {
	guaranteed := p.guaranteed(r.job)
	if guaranteed && waited >= time.Duration(reclaimShare*float64(p.s.cfg.Limits.Reclaim)) {
		p.reclaim(r)
		return
	}
	if !guaranteed && (p.holding >= maxHolding || p.busy() < idleShare) {
		return
	}
	for _, horizon := range horizons {
		soon := func(st *site) batch.Need { return p.freeWithin(st, horizon).Minus(st.held) }
		if chosen := p.fit(r, soon, p.mayspread(r, waited+horizon)); chosen != nil {
			p.holding++
			p.keep(r, chosen)
			return
		}
	}
}

// horizons are the times within which a blocked gang may expect its place, for
// which the room is held that makes up the earliest such place.
var horizons = []time.Duration{500 * time.Millisecond, time.Second, 2 * time.Second, 4 * time.Second, 8 * time.Second}

// freeWithin returns the room on a worker once the runs that should end within d have ended.
func (p *pass) freeWithin(st *site, d time.Duration) batch.Need {
	free := st.free
	for id, r := range st.running {
		j := p.book.Jobs[id.Job]
		if j == nil || id.Step >= len(j.Spec.Steps) || j.Spec.Steps[id.Step].Lasting {
			continue
		}
		if p.s.remaining(st.worker, j, r, p.now) <= d {
			free = free.Plus(j.Spec.Steps[id.Step].Charge())
		}
	}
	return free
}

// remaining estimates how long a run goes on, by its progress so far or else by the caller's estimate.
func (s *Scheduler) remaining(w *worker, j *batch.Job, r RunState, now time.Duration) time.Duration {
	ref := RunRef{Task: r.Task, Run: r.Run}
	if w.stopped[ref] != 0 {
		return s.cfg.Limits.StopGrace
	}
	estimate := time.Duration(j.Spec.Steps[r.Task.Step].EstimateMS) * time.Millisecond
	first, ok := w.progress[ref]
	if !ok || r.Percent <= first.percent || r.Percent < minProgress {
		return estimate
	}
	elapsed := now - first.at
	return time.Duration(float64(elapsed) * float64(100-r.Percent) / float64(r.Percent-first.percent))
}

// minProgress is the progress in percent from which a run's speed can be told.
const minProgress = 10

// busy returns the share of the usable workers' accelerators that is in use.
func (p *pass) busy() float64 {
	free, all := 0, 0
	for _, st := range p.sites {
		free += max(0, st.free.GPUs)
		all += st.beat.Capacity.GPUs
	}
	if all == 0 {
		return 0
	}
	return 1 - float64(free)/float64(all)
}

// keep holds the room of a choice of workers.
func (p *pass) keep(r *request, chosen []share) {
	for _, c := range chosen {
		for range c.count {
			c.held = c.held.Plus(r.need)
		}
	}
}

// guaranteed reports whether a job is within its team's guarantee.
func (p *pass) guaranteed(j *batch.Job) bool {
	return p.priority(j) == 0 && j.Team != "" && p.demand[j.Team] <= p.book.Catalog.Guarantee(j.Team)
}

// victim is a gang or task that could be stopped.
type victim struct {
	key  batch.TaskID
	refs []RunRef
	// urgent victims are of priority 0, beyond their team's guarantee.
	urgent bool
	// cost is the work that would be lost, in accelerator-seconds weighted by what else a task needs.
	cost float64
}

// reclaim stops the least costly runs of others until a guaranteed job has a place, and holds that place.
func (p *pass) reclaim(r *request) {
	freed := map[*site]batch.Need{}
	for ref := range p.o.stopping {
		p.release(freed, ref)
	}
	free := func(st *site) batch.Need { return st.free.Minus(st.held).Plus(freed[st]) }
	if c := p.fit(r, free, true); c != nil {
		p.keep(r, c)
		return
	}
	victims := p.victims(r)
	var taken []victim
	for _, v := range victims {
		for _, ref := range v.refs {
			p.release(freed, ref)
		}
		taken = append(taken, v)
		if p.fit(r, free, true) != nil {
			break
		}
	}
	if p.fit(r, free, true) == nil {
		return // others cannot make enough room
	}
	// Spare the victims that turn out not to be needed, the costliest first.
	for i := len(taken) - 1; i >= 0; i-- {
		v := taken[i]
		for _, ref := range v.refs {
			p.unrelease(freed, ref)
		}
		if p.fit(r, free, true) != nil {
			continue
		}
		for _, ref := range v.refs {
			p.release(freed, ref)
			p.o.stopping[ref] = r.job.ID
			p.s.cfg.Logger.Log("event", "run_preempted", "task", ref.Task, "run", ref.Run, "for", r.job.ID, "team", r.job.Team, "cost", v.cost)
		}
	}
	if c := p.fit(r, free, true); c != nil {
		p.keep(r, c)
	}
}

func (p *pass) siteOf(ref RunRef) *site {
	j := p.jobOf(ref)
	if j == nil {
		return nil
	}
	return p.by[j.Task(ref.Task).Worker]
}

func (p *pass) release(freed map[*site]batch.Need, ref RunRef) {
	if st := p.siteOf(ref); st != nil {
		freed[st] = freed[st].Plus(p.jobOf(ref).Spec.Steps[ref.Task.Step].Charge())
	}
}

func (p *pass) unrelease(freed map[*site]batch.Need, ref RunRef) {
	if st := p.siteOf(ref); st != nil {
		freed[st] = freed[st].Minus(p.jobOf(ref).Spec.Steps[ref.Task.Step].Charge())
	}
}

// victims returns what may be stopped for a guaranteed job, the least urgent and least costly first.
func (p *pass) victims(r *request) []victim {
	by := map[batch.TaskID]*victim{}
	for _, st := range p.sites {
		if !r.allowed(st) {
			continue
		}
		for id, run := range p.book.Runs[st.id] {
			j := p.book.Jobs[id.Job]
			step := j.Spec.Steps[id.Step]
			ref := RunRef{Task: id, Run: run}
			if p.o.stopping[ref] != "" || j.State.Final() || j.Task(id).Done || p.priority(j) == 0 && p.guaranteed(j) || step.Lasting && step.MayMiss >= 0 {
				continue
			}
			key := id
			if step.Gang {
				key.Index = -1
			}
			if by[key] == nil {
				by[key] = &victim{key: key, urgent: p.priority(j) == 0}
			}
		}
	}
	var out []victim
	for _, v := range by {
		j := p.book.Jobs[v.key.Job]
		for i, t := range j.Rounds[v.key.Round][v.key.Step].Tasks {
			id := v.key
			id.Index = i
			if !t.Active || v.key.Index >= 0 && v.key.Index != i {
				continue
			}
			v.refs = append(v.refs, RunRef{Task: id, Run: t.Run})
			v.cost += p.lost(j, id)
		}
		out = append(out, *v)
	}
	slices.SortFunc(out, func(a, b victim) int {
		return cmp.Or(cmp.Compare(flag(a.urgent), flag(b.urgent)), cmp.Compare(a.cost, b.cost), compareTasks(a.key, b.key))
	})
	return out
}

// gpuWeight is what an accelerator counts in cores when lost work is compared.
const gpuWeight = 8

// lost estimates the core-seconds that stopping a run throws away.
func (p *pass) lost(j *batch.Job, id batch.TaskID) float64 {
	step := j.Spec.Steps[id.Step]
	w := p.o.workers[j.Task(id).Worker]
	if w == nil {
		return 0
	}
	done := float64(w.running[id].Percent) / 100 * float64(step.EstimateMS) / 1000
	if step.Checkpoints {
		done = min(done, 1) // progress since the last checkpoint
	}
	return done * (float64(step.Need.CPUMilli)/1000 + gpuWeight*float64(step.Need.GPUs))
}
