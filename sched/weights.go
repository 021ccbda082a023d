package sched

import (
	"cmp"
	"maps"
	"slices"

	"turmericroute/admit"
	"turmericroute/batch"
	"turmericroute/quota"
	"turmericroute/share"
)

// weights orders the teams by their weights; it does nothing while no team has one.
type weights struct {
	// inForce is whether any team has a weight.
	inForce bool
	meter   share.Meter
	// buckets tells which jobs of each team are within its weight. excess holds the jobs that have been taken from them, and
	// whether they are beyond.
	buckets map[string]*share.Bucket
	excess  map[string]bool
	// fair is the use for each unit of weight at which all teams have their shares.
	fair float64
}

func newWeights() *weights {
	return &weights{buckets: map[string]*share.Bucket{}, excess: map[string]bool{}}
}

// overuseFactor is the multiple of its share above which a team comes after others even if its jobs are due earlier.
const overuseFactor = 1.1

const (
	// beyondRate and overuse are added to the use of a team so that its job comes after those to which they do not apply.
	// No use reaches them: it is at most 1.5 for each unit of weight.
	beyondRate = 1e12
	overuse    = 1e9
)

// standing returns how a job ranks by the weight of its team, the least first: jobs beyond the rate that the weight allows
// come after the others, then those of teams that use more than their share, and then the team comes first that uses least
// for its weight. Jobs that can still meet their objectives go by these as long as their teams are near their shares: they
// need the room now, and the shares hold over time.
func (p *pass) standing(j *batch.Job, v admit.Value) float64 {
	if !p.l.weights.inForce {
		return 0
	}
	use := p.l.weights.meter.Use(j.Team, weightOf(p.state, j.Team))
	rank := 0.0
	if v != admit.Full {
		rank = use
	}
	if use > overuseFactor*p.l.weights.fair {
		rank += overuse
	}
	if p.beyondRate(j) {
		rank += beyondRate
	}
	return rank
}

// weightOf returns the weight of a team; teams without one and jobs without a team have weight 1.
func weightOf(b *batch.State, team string) float64 {
	if t, ok := b.Catalog.Team(team); ok && t.Weight > 0 {
		return t.Weight
	}
	return 1
}

func hasWeights(c *batch.Catalog) bool {
	return slices.ContainsFunc(c.Teams, func(t batch.Team) bool { return t.Weight > 0 })
}

// refreshWeights brings the use of the teams and the rates of their jobs up to date. With all, it takes all jobs that the
// ledger holds, those that have ended included, as a new leader does.
func (p *pass) refreshWeights(all bool) {
	switch before := p.l.weights.inForce; {
	case !hasWeights(&p.state.Catalog):
		if before {
			p.l.weights = newWeights()
		}
		return
	case !before:
		p.l.weights.inForce, all = true, true
	}
	p.observeUse()
	p.takeJobs(all)
}

// beyondRate reports whether a job is beyond the rate of jobs that the weight of its team allows.
func (p *pass) beyondRate(j *batch.Job) bool { return p.l.weights.excess[j.ID] }

func (p *pass) observeUse() {
	capacity := quota.Amounts(p.room.capacity)
	use := make(map[string]float64, len(p.l.use.total))
	for team, used := range p.l.use.total {
		use[team] = share.Beyond(used, capacity, p.state.Catalog.Guarantee(team))
	}
	ws := p.l.weights
	ws.meter.Observe(p.now, use)
	sum, weight := 0.0, 0.0
	for team := range use {
		sum += ws.meter.Use(team, 1)
		weight += weightOf(p.state, team)
	}
	ws.fair = sum / max(weight, 1)
}

// takeJobs takes the jobs that have been accepted since from the rate of their teams, in the order of their acceptance.
func (p *pass) takeJobs(all bool) {
	ws := p.l.weights
	var list []*batch.Job
	if all {
		ws.buckets, ws.excess = map[string]*share.Bucket{}, map[string]bool{}
		for _, j := range p.state.Jobs {
			list = append(list, j)
		}
	}
	for id := range p.waiting.touched {
		j := p.state.Jobs[id]
		if _, known := ws.excess[id]; j != nil && !known && !all {
			list = append(list, j)
		}
	}
	slices.SortFunc(list, func(a, b *batch.Job) int {
		return cmp.Or(cmp.Compare(a.AcceptedMS, b.AcceptedMS), cmp.Compare(a.ID, b.ID))
	})
	for _, j := range list {
		ws.excess[j.ID] = !ws.bucket(p.state, j.Team).Take(j.AcceptedMS)
	}
	if len(ws.excess) > 2*len(p.state.Jobs)+minForgottenJobs {
		maps.DeleteFunc(ws.excess, func(id string, _ bool) bool { return p.state.Jobs[id] == nil })
	}
}

// minForgottenJobs is how many jobs that the ledger has deleted are kept at least before they are forgotten together.
const minForgottenJobs = 1000

func (ws *weights) bucket(b *batch.State, team string) *share.Bucket {
	k := ws.buckets[team]
	if k == nil {
		k = &share.Bucket{PerSecond: weightOf(b, team)}
		ws.buckets[team] = k
	}
	return k
}
