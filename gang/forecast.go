package gang

import (
	"context"
	"slices"
	"time"

	"turmericroute/config"
	"turmericroute/model"
	"turmericroute/place"
	"turmericroute/state"
)

const (
	// maxForecastRounds bounds the rounds of decisions in a forecast.
	maxForecastRounds = 64
	// forecastStep is the simulated time between rounds; a data centre that
	// returns to service is filled over several of them.
	forecastStep = time.Second
)

// forecast simulates the decisions that a configuration would lead to. It uses a
// separate policy, so that it does not block the leader. Errors are *model.Error.
func (l *leaderState) forecast(ctx context.Context, next config.Config) (*state.Forecast, error) {
	select {
	case l.forecastSlot <- struct{}{}:
		defer func() { <-l.forecastSlot }()
	case <-ctx.Done():
		return nil, model.NotRun(model.CodeDeadline, "another forecast is still running")
	}
	current := l.replica.Machine().Config()
	s := l.newSimulation(current)
	if _, err := s.runDecisions(ctx); err != nil {
		return nil, err
	}
	before := s.fitCounts(current)
	s.setConfig(next)
	stopped, err := s.runDecisions(ctx)
	if err != nil {
		return nil, err
	}
	f := &state.Forecast{Guarantees: []state.GuaranteeFit{}, Preempted: stopped.preempted, Refused: stopped.refused}
	after := s.fitCounts(next)
	for _, g := range guaranteesOf(current, next) {
		g.Before, g.After = before[keyOf(g)], after[keyOf(g)]
		f.Guarantees = append(f.Guarantees, g)
	}
	for i := range f.Preempted {
		f.Preempted[i].Restarts = s.running[f.Preempted[i].ID]
	}
	return f, nil
}

// simulation is a copy of the leader's scheduling state that a forecast modifies.
type simulation struct {
	policy    *place.Policy
	now       time.Time
	probation []string             // names of the workers on probation
	jobs      map[string]model.Job // by job ID, as are attempts and running
	attempts  map[string]int
	running   map[string]bool
}

// newSimulation copies the leader's state under a configuration. The workers that are
// not silent are usable, and attempts that are stopping have released their workers.
func (l *leaderState) newSimulation(cfg config.Config) *simulation {
	s := &simulation{
		policy: place.New(l.cfg.Place), now: l.cfg.Now(),
		jobs: map[string]model.Job{}, attempts: map[string]int{}, running: map[string]bool{},
	}
	l.mu.Lock()
	for _, p := range l.policy.Summary().Probation {
		s.probation = append(s.probation, p.Worker)
	}
	progress := make([]place.JobProgress, 0, len(l.attempts))
	for id, a := range l.attempts {
		s.jobs[id] = a.job
		progress = append(progress, place.JobProgress{ID: id, Progress: a.progress(), Checkpoint: a.checkpoint()})
	}
	waiting := make([]string, 0, len(l.waiting))
	for id := range l.waiting {
		waiting = append(waiting, id)
	}
	l.mu.Unlock()

	s.setConfig(cfg)
	for _, w := range l.replica.Machine().Workers() {
		if l.sessions.get(w.Name).alive() {
			s.policy.Step(s.now, place.WorkerJoined{Worker: w})
		}
	}
	for _, id := range sortedKeys(s.jobs) {
		j := s.jobs[id]
		s.attempts[id], s.running[id] = j.Attempt, j.State != model.JobStopping
		s.policy.Step(s.now, place.JobRecovered{Job: j, At: s.now})
		if j.State == model.JobStopping {
			requeue := j.Next == "" || j.Next == model.JobWaiting
			s.policy.Step(s.now, place.JobReleased{ID: id, Attempt: j.Attempt, Requeue: requeue})
		}
	}
	for _, p := range progress {
		s.policy.Step(s.now, p)
	}
	slices.Sort(waiting)
	for _, id := range waiting {
		if j, ok := l.replica.Machine().Job(id); ok {
			s.jobs[id], s.attempts[id] = j, j.Attempt
			s.policy.Step(s.now, place.JobSubmitted{Job: j, At: time.UnixMilli(j.Accepted)})
		}
	}
	return s
}

func sortedKeys(jobs map[string]model.Job) []string {
	ids := make([]string, 0, len(jobs))
	for id := range jobs {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// setConfig replaces the configuration. It drains the workers on probation, since
// both states have the same effect: no task starts there.
func (s *simulation) setConfig(cfg config.Config) {
	cfg.DrainedWorkers = slices.Clone(cfg.DrainedWorkers)
	for _, w := range s.probation {
		if !cfg.Drained(w) {
			cfg.DrainedWorkers = append(cfg.DrainedWorkers, config.Drain{Worker: w})
		}
	}
	s.policy.Step(s.now, place.ConfigChanged{Config: cfg})
}

// stoppedJobs lists the jobs that a change of the configuration stops.
type stoppedJobs struct {
	preempted, refused []state.AffectedJob
}

// runDecisions applies the policy's decisions as if workers carried them out
// immediately, until there are no more or maxForecastRounds is reached. It returns
// the jobs that the decisions preempt or refuse; the error is a *model.Error.
func (s *simulation) runDecisions(ctx context.Context) (stoppedJobs, error) {
	out := stoppedJobs{preempted: []state.AffectedJob{}, refused: []state.AffectedJob{}}
	preempted := map[string]bool{}
	for range maxForecastRounds {
		if ctx.Err() != nil {
			return out, model.NotRun(model.CodeDeadline, "the forecast did not finish before the deadline")
		}
		decisions := s.policy.Decide(s.now)
		for _, d := range decisions {
			switch d := d.(type) {
			case place.Start:
				s.attempts[d.ID]++
				s.running[d.ID] = true
				s.policy.Step(s.now, place.JobStarted{ID: d.ID, Attempt: s.attempts[d.ID]})
			case place.Preempt:
				s.running[d.ID] = false
				s.policy.Step(s.now, place.JobReleased{ID: d.ID, Attempt: s.attempts[d.ID], Requeue: true})
				if !preempted[d.ID] {
					preempted[d.ID] = true
					out.preempted = append(out.preempted, s.stoppedJob(d.ID, preemptReason(d)))
				}
			case place.Refuse:
				out.refused = append(out.refused, s.stoppedJob(d.ID, d.Reason))
			}
		}
		if len(decisions) == 0 {
			break
		}
		s.now = s.now.Add(forecastStep)
	}
	return out, nil
}

func preemptReason(d place.Preempt) string {
	if d.For == "" {
		return d.Reason
	}
	return "for job " + d.For + ": " + d.Reason
}

// stoppedJob describes a job that is preempted or refused.
func (s *simulation) stoppedJob(id, reason string) state.AffectedJob {
	j := s.jobs[id]
	return state.AffectedJob{ID: id, Team: j.Spec.Team, Tasks: j.Spec.Shape.Tasks, Reason: reason}
}

// guaranteeKey identifies a guarantee by its position in the team's list, from 1, and its shape.
type guaranteeKey struct {
	team      string
	guarantee int
	shape     model.Shape
}

func keyOf(g state.GuaranteeFit) guaranteeKey { return guaranteeKey{g.Team, g.Guarantee, g.Shape} }

// fitCounts returns how many of the shapes of each guarantee fit on the usable workers.
func (s *simulation) fitCounts(cfg config.Config) map[guaranteeKey]int {
	missing := map[guaranteeKey]int{}
	for _, m := range s.policy.Shortages() {
		missing[guaranteeKey{m.Team, m.Guarantee + 1, m.Shape}] = m.Missing
	}
	out := map[guaranteeKey]int{}
	for _, g := range guaranteesOf(cfg) {
		out[keyOf(g)] = g.Count - missing[keyOf(g)]
	}
	return out
}

// guaranteesOf lists the guarantees of all the configurations, with the counts of the last
// one: 0 for a guarantee that it lacks.
func guaranteesOf(cfgs ...config.Config) []state.GuaranteeFit {
	var out []state.GuaranteeFit
	index := map[guaranteeKey]int{}
	for _, cfg := range cfgs {
		for i := range out {
			out[i].Count = 0
		}
		for _, t := range cfg.Teams {
			for i, g := range t.Guarantees {
				fit := state.GuaranteeFit{Team: t.Name, Guarantee: i + 1, Shape: g.Shape, Count: max(1, g.Count)}
				if n, ok := index[keyOf(fit)]; ok {
					out[n].Count = fit.Count
					continue
				}
				index[keyOf(fit)] = len(out)
				out = append(out, fit)
			}
		}
	}
	return out
}
