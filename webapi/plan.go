package webapi

import (
	"errors"
	"fmt"
	"net/http"

	"turmericroute/config"
	"turmericroute/model"
	"turmericroute/state"
)

// planPath is the only POST that changes nothing.
const planPath = "/v1/config/plan"

// PlanResult says what a patch would do.
type PlanResult struct {
	// Refused says why the patch would be refused; empty when it would be accepted.
	Refused []string `json:"refused,omitempty"`
	// Shortages are the guarantees that cannot all hold on the declared racks in service.
	Shortages []string `json:"shortages"`
	// WithoutDataCentre says for each data centre in service what would be short without it.
	WithoutDataCentre []DataCentreLoss `json:"without_data_centre"`
	// Forecast is what the leader expects for the workers and jobs of now.
	Forecast state.Forecast `json:"forecast"`
}

// DataCentreLoss is what falls short while a data centre is out of service.
type DataCentreLoss struct {
	DataCentre string   `json:"data_centre"`
	Shortages  []string `json:"shortages"`
}

// planConfig says what a patch would do, and changes nothing.
func (a *api) planConfig(r *http.Request) (any, error) {
	b, err := readBody(r, config.MaxPatchBytes)
	if err != nil {
		return nil, err
	}
	p, err := config.DecodePatch(b)
	if err != nil {
		return nil, fmt.Errorf("decode patch: %w", err)
	}
	if err := a.readBarrier(r.Context()); err != nil {
		return nil, err
	}
	next, err := a.applyPatch(p)
	if err != nil {
		return nil, err
	}
	plan := PlanResult{Shortages: []string{}, WithoutDataCentre: []DataCentreLoss{}}
	if a.CheckConfig != nil {
		plan.checkGuarantees(next, a.CheckConfig)
	}
	report, err := a.Replica.Inquire(r.Context(), state.Inquiry{Plan: &next})
	if err != nil {
		return nil, fmt.Errorf("ask leader for a forecast: %w", err)
	}
	if report.Plan == nil {
		return nil, errors.New("leader answered without a forecast")
	}
	plan.Forecast = *report.Plan
	return plan, nil
}

// checkGuarantees compares the guarantees with the declared racks, also without each one data centre.
func (plan *PlanResult) checkGuarantees(next config.Config, short func(config.Config) []string) {
	plan.Refused = short(next.AllInService())
	plan.Shortages = append(plan.Shortages, short(next)...)
	for i, dc := range next.DataCentres {
		if dc.OutOfService {
			continue
		}
		without := next.AllInService()
		for j := range without.DataCentres {
			without.DataCentres[j].OutOfService = next.DataCentres[j].OutOfService || i == j
		}
		without.DrainedWorkers = next.DrainedWorkers
		loss := DataCentreLoss{DataCentre: dc.Name, Shortages: []string{}}
		loss.Shortages = append(loss.Shortages, short(without)...)
		plan.WithoutDataCentre = append(plan.WithoutDataCentre, loss)
	}
}

// getOverview returns the leader's view of the whole deployment.
func (a *api) getOverview(r *http.Request) (any, error) {
	report, err := a.Replica.Inquire(r.Context(), state.Inquiry{Overview: true})
	if err != nil {
		return nil, fmt.Errorf("ask leader for an overview: %w", err)
	}
	if report.Overview == nil {
		return nil, errors.New("leader answered without an overview")
	}
	return report.Overview, nil
}

// explainJob asks the leader why a job is in its state.
func (a *api) explainJob(r *http.Request) (any, error) {
	id, err := pathName(r, "id")
	if err != nil {
		return nil, err
	}
	if _, err := a.visibleJob(r.Context(), id); err != nil {
		return nil, err
	}
	report, err := a.Replica.Inquire(r.Context(), state.Inquiry{Job: id})
	if err != nil {
		return nil, fmt.Errorf("ask leader about a job: %w", err)
	}
	if report.Job == nil {
		return nil, errors.New("leader answered without a report")
	}
	a.redactOtherTeams(r, report.Job)
	return report.Job, nil
}

// redactOtherTeams takes the jobs of other teams out of a report for one team.
func (a *api) redactOtherTeams(r *http.Request, report *state.JobReport) {
	own, limited := callerTeam(r.Context())
	if !limited {
		return
	}
	for i, h := range report.WaitsFor {
		if h.Team != own {
			report.WaitsFor[i].ID = "job of another team"
		}
	}
}

// TaskCounts counts what is placed in a data centre or on a worker.
type TaskCounts struct {
	// Version is the configuration version in force when the tasks were counted.
	Version uint64 `json:"version"`
	Jobs    int    `json:"jobs"`
	Tasks   int    `json:"tasks"`
	// Examples names some of the jobs.
	Examples []string `json:"examples"`
}

// maxExamples bounds the jobs named by Placed.
const maxExamples = 5

// countTasks counts the tasks that hold resources in a data centre or on a
// worker. A task counts until it is confirmed to have ended, or its lease has.
func (a *api) countTasks(r *http.Request) (any, error) {
	dc, name := r.URL.Query().Get("data_centre"), r.URL.Query().Get("worker")
	if (dc == "") == (name == "") {
		return nil, model.NotRun(model.CodeInvalid, "name either a data_centre or a worker")
	}
	if err := a.readBarrier(r.Context()); err != nil {
		return nil, err
	}
	m := a.Replica.Machine()
	inside := func(worker string) bool { return worker == name }
	if dc != "" {
		members := map[string]bool{}
		for _, w := range m.Workers() {
			members[w.Name] = w.DataCentre == dc
		}
		inside = func(worker string) bool { return members[worker] }
	}
	out := TaskCounts{Version: m.Config().Version, Examples: []string{}}
	for _, j := range m.Jobs() {
		before := out.Tasks
		for _, w := range j.Placement.Workers {
			if inside(w) {
				out.Tasks++
			}
		}
		if out.Tasks == before {
			continue
		}
		if out.Jobs++; len(out.Examples) < maxExamples {
			out.Examples = append(out.Examples, j.Spec.ID)
		}
	}
	return out, nil
}
