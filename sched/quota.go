package sched

import (
	"cmp"
	"math"
	"slices"
	"time"

	"turmericroute/batch"
	"turmericroute/quota"
)

const (
	// quotaRetryInterval is the longest time until a step that waits for its team's quota is tried again, whatever made
	// the quota free.
	quotaRetryInterval = time.Second
	// quotaReclaimShare is the fraction of the reclaim time after which a guaranteed job that waits for its team's quota
	// preempts other runs of the team. It leaves time to preempt runs of other teams after that.
	quotaReclaimShare = 0.15
	// quotaWaitShare is the fraction of the reclaim time within which runs of the team must be expected to end for a
	// guaranteed job to wait for them.
	quotaWaitShare = 0.5
)

func hasQuotas(c *batch.Catalog) bool {
	return slices.ContainsFunc(c.Teams, func(t batch.Team) bool { return quota.Limit(t.Maximum).Limited() })
}

// limitOf returns the limit of a team by the catalog in force; jobs without a team and those of a team that is no longer
// declared have none.
func limitOf(b *batch.State, team string) quota.Limit {
	if team == "" {
		return quota.Limit{}
	}
	return quota.Limit(b.Catalog.Maximum(team))
}

// exceedsQuota reports whether a run that was placed must be withdrawn, as its team has come above its limit since. A run
// that this leader has ordered to start may be running already, and is left alone.
func (l *leaderState) exceedsQuota(b *batch.State, worker string, j *batch.Job, ref RunRef) bool {
	limit := limitOf(b, j.Team)
	if !limit.Limited() || !limit.Exceeded(l.use.total[j.Team]) {
		return false
	}
	c := l.use.find(worker, ref)
	return c == nil || !c.ordered
}

// defersStart reports whether a start must not be ordered now although the run stands: a pass has not counted it yet, as
// its commit came late, or the order is a repeated one while the team is above its limit.
func (l *leaderState) defersStart(b *batch.State, worker string, j *batch.Job, ref RunRef) bool {
	limit := limitOf(b, j.Team)
	return limit.Limited() && (l.use.find(worker, ref) == nil || limit.Exceeded(l.use.total[j.Team]))
}

// noteOrdered records that a worker has been ordered to start a run.
func (l *leaderState) noteOrdered(worker string, ref RunRef) {
	if c := l.use.find(worker, ref); c != nil {
		c.ordered = true
	}
}

// logContradictions logs the teams whose quota is below their guarantee. The quota goes first.
func (s *Scheduler) logContradictions(c *batch.Catalog) {
	for _, t := range c.Teams {
		if limit := quota.Limit(t.Maximum); !limit.Allows(quota.Amounts{}, quota.Amounts{GPUs: t.GuaranteedGPUs}) {
			s.cfg.Logger.Log("event", "quota_below_guarantee", "version", c.Version, "team", t.Name, "guaranteed_gpus", t.GuaranteedGPUs, "maximum_gpus", t.Maximum.GPUs, "why", "the quota goes first")
		}
	}
}

// quotaWait is what a step waits for while its team may not use more.
type quotaWait struct {
	active   bool
	since    time.Duration
	shortage quota.Shortage
	// behind is set if the quota has room, which is kept for a step of the team that ranks higher.
	behind bool
	// logged holds for which resources the wait has been logged, by whether it was behind another step.
	logged [2][quota.ResourceCount]bool
}

// reason returns why a step of a team waits.
func (q *quotaWait) reason(team string) string {
	if q.behind {
		return "waits behind other work for the quota of team " + team
	}
	return q.shortage.Reason(team)
}

// quotaBudget is what one pass may still give to a team under its limit.
type quotaBudget struct {
	limit quota.Limit
	// held is what is reserved for steps of the team that rank higher.
	held quota.Amounts
	// closed is set once a step of the team waits for the quota. Later ones may use half of the limit at most, or they
	// would keep the resources from it that come free.
	closed bool
}

// budget returns the budget of a job's team in this pass.
func (p *pass) budget(j *batch.Job) *quotaBudget {
	g := p.budgets[j.Team]
	if g == nil {
		if p.budgets == nil {
			p.budgets = map[string]*quotaBudget{}
		}
		g = &quotaBudget{limit: limitOf(p.state, j.Team)}
		p.budgets[j.Team] = g
	}
	return g
}

// limitFor returns the limit that applies to a job in this pass.
func (p *pass) limitFor(j *batch.Job) quota.Limit {
	g := p.budget(j)
	if !g.closed || p.guaranteed(j) {
		return g.limit
	}
	return g.limit.Half()
}

// quotaNeed returns what must be free in the quota before any task of a step starts: the need of all tasks of a gang, or
// that of one task.
func quotaNeed(w *waitingStep) quota.Amounts {
	step := &w.job.Spec.Steps[w.first.Step]
	need := quota.Amounts(step.Need)
	if step.Gang {
		need = need.Times(step.Count)
	}
	return need
}

// quotaUsed returns what a team uses and what is reserved for it.
func (p *pass) quotaUsed(j *batch.Job) quota.Amounts {
	return p.l.use.total[j.Team].Plus(p.budget(j).held)
}

// withinQuota reports whether the quota of its team lets a step start, and otherwise records what it waits for.
func (p *pass) withinQuota(w *waitingStep) bool {
	if !p.l.use.inForce {
		w.quota.active = false
		return true
	}
	g := p.budget(w.job)
	if !g.limit.Limited() {
		w.quota.active = false
		return true
	}
	need, used := quotaNeed(w), p.quotaUsed(w.job)
	limit := p.limitFor(w.job)
	shortage, short := limit.Shortage(used, need)
	if !short {
		w.quota.active = false
		return true
	}
	full, exhausted := g.limit.Shortage(used, need)
	if exhausted {
		shortage = full
	}
	if !w.quota.active {
		w.quota.active, w.quota.since = true, p.now
	}
	w.quota.shortage, w.quota.behind = shortage, !exhausted
	return false
}

// tasksWithinQuota returns how many tasks of a step the quota of its team lets start.
func (p *pass) tasksWithinQuota(w *waitingStep) int {
	if !p.l.use.inForce {
		return math.MaxInt
	}
	return p.limitFor(w.job).Count(p.quotaUsed(w.job), quota.Amounts(w.job.Spec.Steps[w.first.Step].Need))
}

// awaitQuota lets a step wait for the quota of its team. It reserves no room and preempts no runs of other teams, which
// would be in vain.
func (p *pass) awaitQuota(w *waitingStep) {
	p.retryAt(p.now + quotaRetryInterval)
	g := p.budget(w.job)
	_, impossible := g.limit.Shortage(quota.Amounts{}, quotaNeed(w))
	if logged := &w.quota.logged[boolToInt(w.quota.behind)][w.quota.shortage.Resource]; !*logged {
		*logged = true
		p.s.metrics.quotaWaits(w.job.Team, w.quota.shortage.Resource).Inc()
		p.s.cfg.Logger.Log("event", "quota_waits", "task", w.first, "team", w.job.Team, "queue", w.job.Queue, "why", w.quota.reason(w.job.Team), "resource", w.quota.shortage.Resource, "impossible", impossible)
	}
	if impossible {
		return
	}
	if !g.closed {
		g.closed = true
		p.preemptWithinTeam(w)
	}
}

// heldByQuota reports whether a job waits for nothing but the quota of its team.
func (ws *waitingSteps) heldByQuota(job string) bool {
	list := ws.byJob[job]
	return len(list) > 0 && !slices.ContainsFunc(list, func(w *waitingStep) bool { return !w.quota.active })
}

// wakeQuotaWaiters lets the pass try the steps of teams whose use has fallen.
func (p *pass) wakeQuotaWaiters() {
	eased := p.l.use.eased
	if len(eased) == 0 {
		return
	}
	for _, w := range p.waiting.steps {
		if w.quota.active && eased[w.job.Team] {
			w.fresh, p.waiting.anyFresh = true, true
		}
	}
	clear(eased)
}

// holdQuota takes what is reserved for a step from the budget of its team.
func (p *pass) holdQuota(r reservation) {
	if !p.l.use.inForce {
		return
	}
	g := p.budget(r.step.job)
	need := quota.Amounts(r.step.job.Spec.Steps[r.step.first.Step].Need)
	for _, c := range r.chosen {
		g.held = g.held.Plus(need.Times(c.count))
	}
}

// preemptWithinTeam preempts runs of a step's own team that keep the step from its quota, if they may be preempted for it:
// the guarantee of a team must not depend on how much else the team runs. Only full passes preempt.
func (p *pass) preemptWithinTeam(w *waitingStep) {
	if !p.full || p.priority(w.job) > 0 || p.now < w.nextPreemptAt || p.preemptSearches >= maxPreemptSearches {
		return
	}
	p.retryAt(max(p.now+preemptRetryInterval, w.nextPreemptAt))
	r, ok := p.newRequest(w)
	if !ok {
		return
	}
	waited, reclaim := p.now-w.quota.since, float64(p.s.cfg.Limits.Reclaim)
	due := p.guaranteed(w.job) && waited >= time.Duration(quotaReclaimShare*reclaim)
	if !due && (p.beyondRate(w.job) || !p.canBeOnTime(w)) {
		return
	}
	p.preemptSearches++
	wait := p.slack(w)
	if p.guaranteed(w.job) {
		wait = max(wait, time.Duration(quotaWaitShare*reclaim)-waited)
	}
	if p.quotaFreeWithin(w, wait) {
		return
	}
	w.nextPreemptAt = p.now + preemptRetryInterval
	chosen, enough := p.teamVictims(&r)
	if !enough || !due && totalCost(chosen) > maxPreemptCostShare*workOf(w.job) {
		return
	}
	for _, v := range chosen {
		for _, ref := range v.runs {
			p.l.preempting[ref] = w.job.ID
			p.s.cfg.Logger.Log("event", "run_preempted", "task", ref.Task, "run", ref.Run, "for", w.job.ID, "team", w.job.Team, "cost", v.cost, "why", "quota")
		}
	}
}

// slack returns how long a job can wait and still meet its objective, 0 if it has none or cannot.
func (p *pass) slack(w *waitingStep) time.Duration {
	due, ok := p.objective(w.job)
	if !ok {
		return 0
	}
	return max(0, time.Duration(due-p.nowMS-criticalPathMS(w.job, w.first.Round, true))*time.Millisecond)
}

// canBeOnTime reports whether a job that starts once other runs have been stopped for it meets its objective.
func (p *pass) canBeOnTime(w *waitingStep) bool {
	return p.slack(w) >= p.s.cfg.Limits.StopGrace+2*p.l.longestInterval()
}

// quotaFreeWithin reports whether runs of a step's team are expected to end in time by themselves for the step to start.
func (p *pass) quotaFreeWithin(w *waitingStep, d time.Duration) bool {
	used := p.quotaUsed(w.job)
	for id, list := range p.l.use.counted {
		wk := p.l.workers[id]
		for _, c := range list {
			j := p.jobOf(c.ref)
			if c.team != w.job.Team || wk == nil || j == nil || j.Spec.Steps[c.ref.Task.Step].LongRunning {
				continue
			}
			r, reported := wk.running[c.ref.Task]
			if !reported || r.Run != c.ref.Run {
				r = RunState{Task: c.ref.Task, Run: c.ref.Run}
			}
			if p.s.remaining(p.l, wk, j, r, p.now) <= d {
				used = used.Minus(c.need)
			}
		}
	}
	return p.budget(w.job).limit.Allows(used, quotaNeed(w))
}

// teamVictims returns runs of the request's own team whose end lets the step start under the quota, those first that lose
// the least work for what they free of the resource that is short. It returns false if there are not enough.
func (p *pass) teamVictims(r *request) ([]*victim, bool) {
	team, short := r.job.Team, r.quota.shortage.Resource
	limit, need := p.budget(r.job).limit, quotaNeed(r.waitingStep)
	used := p.quotaUsed(r.job)
	for ref := range p.l.preempting {
		if j := p.jobOf(ref); j != nil && j.Team == team {
			used = used.Minus(quota.Amounts(j.Spec.Steps[ref.Task.Step].Need))
		}
	}
	var chosen []*victim
	for _, v := range p.preemptibleOf(r, short) {
		if limit.Allows(used, need) {
			break
		}
		chosen = append(chosen, v)
		used = used.Minus(p.freedBy(v))
	}
	if !limit.Allows(used, need) {
		return nil, false
	}
	// Victims that came first may not be needed beside larger ones; the costliest are dropped first.
	slices.SortStableFunc(chosen, func(a, b *victim) int { return cmp.Compare(b.cost, a.cost) })
	chosen = slices.DeleteFunc(chosen, func(v *victim) bool {
		without := used.Plus(p.freedBy(v))
		if !limit.Allows(without, need) {
			return false
		}
		used = without
		return true
	})
	return chosen, true
}

// preemptibleOf returns the runs of the request's own team that may be preempted for it, in the order of the work that they
// lose for each unit of a resource.
func (p *pass) preemptibleOf(r *request, short quota.Resource) []*victim {
	by := map[batch.TaskID]*victim{}
	budget := stopBudget{p: p, left: map[batch.TaskID]int{}}
	for _, list := range p.l.use.counted {
		for _, c := range list {
			j := p.jobOf(c.ref)
			if c.team != r.job.Team || c.need.Of(short) == 0 || j == nil || !p.isActive(c.ref) || !p.preemptible(r, j, c.ref) || !budget.take(j, c.ref.Task) {
				continue
			}
			key := c.ref.Task
			if j.Spec.Steps[key.Step].Gang {
				key.Index = -1
			}
			if by[key] == nil {
				by[key] = p.newVictim(j, key)
			}
		}
	}
	list := make([]*victim, 0, len(by))
	for _, v := range by {
		list = append(list, v)
	}
	perUnit := func(v *victim) float64 { return v.cost / float64(max(1, p.freedBy(v).Of(short))) }
	slices.SortFunc(list, func(a, b *victim) int { return cmp.Or(cmp.Compare(perUnit(a), perUnit(b)), compareTasks(a.key, b.key)) })
	return list
}

// isActive reports whether a run is the active run of its task in the ledger.
func (p *pass) isActive(ref RunRef) bool {
	t := p.jobOf(ref).Task(ref.Task)
	return t != nil && t.Active && t.Run == ref.Run
}

// freedBy returns what the end of a victim's runs frees of its team's quota.
func (p *pass) freedBy(v *victim) quota.Amounts {
	return quota.Amounts(p.state.Jobs[v.key.Job].Spec.Steps[v.key.Step].Need).Times(len(v.runs))
}
