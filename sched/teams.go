package sched

import (
	"fmt"
	"time"

	"turmericroute/batch"
	"turmericroute/quota"
)

// teamGaugeInterval is the time between two updates of the gauges by team.
const teamGaugeInterval = 2 * time.Second

// waitReason is why a step of a job waits.
type waitReason string

const (
	waitsForQuota waitReason = "quota"
	// waitsBehindQuota means that the quota has room, which is kept for a step of the team that ranks higher.
	waitsBehindQuota waitReason = "quota_order"
	waitsForAdvice   waitReason = "advice"
	waitsForRoom     waitReason = "room"
	// waitsForPass means that no placement pass has tried the step yet.
	waitsForPass waitReason = "pass"
)

// waitingKey is what waiting steps are counted by.
type waitingKey struct {
	team, queue string
	reason      waitReason
}

// teamCounts holds what runs and what waits.
type teamCounts struct {
	running map[string]quota.Amounts // by team
	waiting map[waitingKey]int
}

// countTeams counts what runs and what waits.
func (l *leaderState) countTeams(b *batch.State, now time.Duration) teamCounts {
	c := teamCounts{running: map[string]quota.Amounts{}, waiting: map[waitingKey]int{}}
	for _, runs := range b.Runs {
		for id := range runs {
			j := b.Jobs[id.Job]
			c.running[j.Team] = c.running[j.Team].Plus(quota.Amounts(j.Spec.Steps[id.Step].Need))
		}
	}
	for _, w := range l.waiting.steps {
		c.waiting[waitingKey{w.job.Team, w.job.Queue, l.waitReason(b, w, now)}]++
	}
	return c
}

func (l *leaderState) waitReason(b *batch.State, w *waitingStep, now time.Duration) waitReason {
	t := l.tickets[stepName(w.first)]
	switch {
	case w.quota.active && w.quota.behind:
		return waitsBehindQuota
	case w.quota.active:
		return waitsForQuota
	case needsTicket(b, w.job) && (t == nil || now >= t.validUntil):
		return waitsForAdvice
	case w.blocked:
		return waitsForRoom
	default:
		return waitsForPass
	}
}

// setTeamGauges sets the gauges by team. A gauge that has been set once is kept, at 0 when nothing counts for it.
func (s *Scheduler) setTeamGauges(c teamCounts) {
	for team := range c.running {
		s.metrics.gaugedTeams[team] = true
	}
	for key := range c.waiting {
		s.metrics.gaugedWaits[key] = true
	}
	for team := range s.metrics.gaugedTeams {
		for _, r := range quota.Resources() {
			s.metrics.runningResources(team, r).Set(float64(c.running[team].Of(r)) / r.PerUnit())
		}
	}
	for key := range s.metrics.gaugedWaits {
		s.metrics.waitingSteps(key).Set(float64(c.waiting[key]))
	}
}

// updateTeamGauges sets the gauges by team if they are due.
func (s *Scheduler) updateTeamGauges(l *leaderState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.cfg.BootClock()
	if now < l.gaugesDueAt {
		return
	}
	l.gaugesDueAt = now + teamGaugeInterval
	l.ledger.View(func(b *batch.State) { s.setTeamGauges(l.countTeams(b, now)) })
}

// dumpedTeam is a team in the process dump.
type dumpedTeam struct {
	Running batch.Resources `json:"running"`
	// Counted is what counts for the quota: beyond what runs by the ledger, pending starts and what workers report.
	Counted   batch.Resources `json:"counted"`
	Maximum   batch.Resources `json:"maximum,omitzero"`
	Guarantee int             `json:"guaranteed_gpus,omitempty"`
	Weight    float64         `json:"weight,omitempty"`
	// Use is the present and past use beyond the guarantee for each unit of weight, by which late jobs are ordered.
	Use float64 `json:"use,omitempty"`
	// Waiting counts the waiting steps by queue and reason.
	Waiting map[string]int `json:"waiting,omitempty"`
}

// dumpTeams returns the teams that are declared or have jobs.
func (l *leaderState) dumpTeams(b *batch.State, now time.Duration) map[string]*dumpedTeam {
	out := map[string]*dumpedTeam{}
	for _, t := range b.Catalog.Teams {
		out[t.Name] = &dumpedTeam{Maximum: t.Maximum, Guarantee: t.GuaranteedGPUs, Weight: t.Weight}
	}
	team := func(name string) *dumpedTeam {
		if out[name] == nil {
			out[name] = &dumpedTeam{}
		}
		return out[name]
	}
	c := l.countTeams(b, now)
	for name, running := range c.running {
		team(name).Running = batch.Resources(running)
	}
	for name, counted := range l.use.total {
		team(name).Counted = batch.Resources(counted)
	}
	for key, n := range c.waiting {
		t := team(key.team)
		if t.Waiting == nil {
			t.Waiting = map[string]int{}
		}
		t.Waiting[fmt.Sprintf("%s: %s", key.queue, key.reason)] += n
	}
	if l.weights.inForce {
		for name, t := range out {
			t.Use = l.weights.meter.Use(name, weightOf(b, name))
		}
	}
	return out
}
