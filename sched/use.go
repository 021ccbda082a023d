package sched

import (
	"turmericroute/batch"
	"turmericroute/quota"
)

// quotaUse is what each team may have running: the runs that are active in the ledger, the pending starts, and what
// workers report beyond those. Like the room it is updated where something changes.
type quotaUse struct {
	// inForce is whether any team has a quota or a weight; without them nothing is counted.
	inForce bool
	total   map[string]quota.Amounts // by team
	// counted holds the runs that are counted, by worker.
	counted map[string][]countedRun
	// unrecorded holds the workers that report runs that are not active in the ledger. These count until the lease of
	// the worker has expired.
	unrecorded map[string]bool
	// spare is the room of a former record in counted, for the next one.
	spare []countedRun
	// stale holds the workers whose runs must be counted anew.
	stale map[string]bool
	// eased holds the teams whose use has fallen since the last pass.
	eased map[string]bool
}

// countedRun is a run that counts for the quota of its team.
type countedRun struct {
	ref  RunRef
	team string
	need quota.Amounts
	// ordered is set once this leader has ordered the worker to start the run.
	ordered bool
}

func newQuotaUse() *quotaUse {
	return &quotaUse{total: map[string]quota.Amounts{}, counted: map[string][]countedRun{}, unrecorded: map[string]bool{}, stale: map[string]bool{}, eased: map[string]bool{}}
}

// markRuns makes the next pass look again at the runs of a worker, and at what is free on it.
func (l *leaderState) markRuns(id string) {
	l.room.markStale(id)
	if l.use.inForce {
		l.use.stale[id] = true
	}
}

// markAllRuns makes the pass count the runs of all workers anew, also if nothing has been counted before.
func (p *pass) markAllRuns() {
	for id := range p.l.workers {
		p.l.use.stale[id] = true
	}
	for id := range p.state.Runs {
		p.l.use.stale[id] = true
	}
	for id := range p.l.use.counted {
		p.l.use.stale[id] = true
	}
}

// refreshUse counts the runs of all workers anew on which they may have changed, or have ended with the lease.
func (p *pass) refreshUse() {
	inForce := hasWeights(&p.state.Catalog) || hasQuotas(&p.state.Catalog)
	if !inForce && (p.l.use.inForce || len(p.l.use.stale) > 0) {
		p.l.use = newQuotaUse()
	}
	u := p.l.use
	if u.inForce = inForce; !inForce {
		return
	}
	for id := range u.unrecorded {
		if w := p.l.workers[id]; w == nil || w.gone || p.now > w.leaseEnd {
			u.stale[id] = true
		}
	}
	for id := range u.stale {
		p.recount(id)
	}
	if len(u.stale) > 0 {
		u.stale = map[string]bool{} // clearing one that was large once costs as much each time
	}
}

// recount counts the runs of a worker anew.
func (p *pass) recount(id string) {
	u := p.l.use
	before := u.counted[id]
	after := p.countRuns(id, before, u.spare[:0])
	var change teamAmounts
	for i := range before {
		change.add(before[i].team, quota.Amounts{}.Minus(before[i].need))
	}
	for i := range after {
		change.add(after[i].team, after[i].need)
	}
	for _, c := range change {
		if c.more.CPUMilli < 0 || c.more.MemoryMB < 0 || c.more.GPUs < 0 {
			u.eased[c.team] = true
		}
		u.add(c.team, c.more)
	}
	if len(after) == 0 {
		delete(u.counted, id)
		return
	}
	u.counted[id], u.spare = after, before
}

// teamAmounts holds amounts by team; few teams have runs on one worker.
type teamAmounts []teamAmount

type teamAmount struct {
	team string
	more quota.Amounts
}

func (a *teamAmounts) add(team string, more quota.Amounts) {
	for i := range *a {
		if c := &(*a)[i]; c.team == team {
			c.more = c.more.Plus(more)
			return
		}
	}
	*a = append(*a, teamAmount{team, more})
}

func (u *quotaUse) add(team string, more quota.Amounts) {
	next := u.total[team].Plus(more)
	if next == (quota.Amounts{}) {
		delete(u.total, team)
		return
	}
	u.total[team] = next
}

// countRuns appends the runs on a worker that may be running to out. The records of runs that have been counted before are
// kept.
func (p *pass) countRuns(id string, before, out []countedRun) []countedRun {
	count := func(t batch.TaskID, run int) {
		ref := RunRef{Task: t, Run: run}
		if i := indexOfRun(before, ref); i >= 0 {
			out = append(out, before[i])
		} else if j := p.state.Jobs[t.Job]; j != nil && t.Step < len(j.Spec.Steps) {
			out = append(out, countedRun{ref: ref, team: j.Team, need: quota.Amounts(j.Spec.Steps[t.Step].Need)})
		}
	}
	runs := p.state.Runs[id]
	for t, run := range runs {
		count(t, run)
	}
	delete(p.l.use.unrecorded, id)
	if w := p.l.workers[id]; w != nil && !w.gone && p.now <= w.leaseEnd {
		for t, r := range w.running {
			if runs[t] != r.Run {
				count(t, r.Run)
				p.l.use.unrecorded[id] = true
			}
		}
	}
	for _, t := range p.l.pendingOn[id] {
		if run := p.l.pending[t].Run; runs[t] != run {
			count(t, run)
		}
	}
	return out
}

func indexOfRun(list []countedRun, ref RunRef) int {
	for i := range list {
		if list[i].ref == ref {
			return i
		}
	}
	return -1
}

// countStart counts a run that the pass starts.
func (p *pass) countStart(st batch.Start) {
	if !p.l.use.inForce {
		return
	}
	j := p.state.Jobs[st.Task.Job]
	c := countedRun{ref: RunRef{Task: st.Task, Run: st.Run}, team: j.Team, need: quota.Amounts(j.Spec.Steps[st.Task.Step].Need)}
	p.l.use.counted[st.Worker] = append(p.l.use.counted[st.Worker], c)
	p.l.use.add(c.team, c.need)
}

// find returns the record of a run on a worker, nil if the run is not counted.
func (u *quotaUse) find(worker string, ref RunRef) *countedRun {
	list := u.counted[worker]
	if i := indexOfRun(list, ref); i >= 0 {
		return &list[i]
	}
	return nil
}
