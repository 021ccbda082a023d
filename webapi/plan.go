package webapi

import (
	"errors"
	"fmt"
	"net/http"

	"turmericroute/config"
	"turmericroute/model"
	"turmericroute/state"
)

// planPath is the only path whose POST changes no state.
const planPath = "/v1/config/plan"

// PlanResult describes the effects of a patch that is not applied.
type PlanResult struct {
	// Refused lists the reasons to refuse the patch; empty if it would be accepted.
	Refused []string `json:"refused,omitempty"`
	// Shortages are the guarantees that cannot all hold on the declared racks in service.
	Shortages []string `json:"shortages"`
	// WithoutDataCentre lists the shortages after the loss of each data centre in service.
	WithoutDataCentre []DataCentreLoss `json:"without_data_centre"`
	// Forecast is the leader's prediction for the current workers and jobs.
	Forecast state.Forecast `json:"forecast"`
}

// DataCentreLoss lists the shortages while a data centre is out of service.
type DataCentreLoss struct {
	DataCentre string   `json:"data_centre"`
	Shortages  []string `json:"shortages"`
}

// planConfig returns the effects of a patch without applying it.
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
		return nil, fmt.Errorf("request forecast from leader: %w", err)
	}
	if report.Plan == nil {
		return nil, errors.New("response of leader contains no forecast")
	}
	plan.Forecast = *report.Plan
	return plan, nil
}

// checkGuarantees fills in the shortages of next, overall and without each data
// centre in service. shortages returns those of a configuration.
func (plan *PlanResult) checkGuarantees(next config.Config, shortages func(config.Config) []string) {
	plan.Refused = shortages(next.AllInService())
	plan.Shortages = append(plan.Shortages, shortages(next)...)
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
		loss.Shortages = append(loss.Shortages, shortages(without)...)
		plan.WithoutDataCentre = append(plan.WithoutDataCentre, loss)
	}
}

// getOverview returns the leader's overview of the deployment.
func (a *api) getOverview(r *http.Request) (any, error) {
	report, err := a.Replica.Inquire(r.Context(), state.Inquiry{Overview: true})
	if err != nil {
		return nil, fmt.Errorf("request overview from leader: %w", err)
	}
	if report.Overview == nil {
		return nil, errors.New("response of leader contains no overview")
	}
	return report.Overview, nil
}

// explainJob returns the leader's explanation of the state of a job.
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
		return nil, fmt.Errorf("request job report from leader: %w", err)
	}
	if report.Job == nil {
		return nil, errors.New("response of leader contains no job report")
	}
	a.redactOtherTeams(r, report.Job)
	return report.Job, nil
}

// redactOtherTeams replaces the IDs of other teams' jobs in a report for a caller that
// is limited to a team.
func (a *api) redactOtherTeams(r *http.Request, report *state.JobReport) {
	own, limited := callerTeam(r.Context())
	if !limited {
		return
	}
	for i, job := range report.WaitsFor {
		if job.Team != own {
			report.WaitsFor[i].ID = "job of another team"
		}
	}
}

// TaskCounts counts the jobs and tasks that are placed in a data centre or on a worker.
type TaskCounts struct {
	// Version is the configuration version at the time of the count.
	Version uint64 `json:"version"`
	Jobs    int    `json:"jobs"`
	Tasks   int    `json:"tasks"`
	// Examples holds the IDs of at most maxExamples of the jobs.
	Examples []string `json:"examples"`
}

// maxExamples bounds TaskCounts.Examples.
const maxExamples = 5

// countTasks counts the tasks that hold resources in a data centre or on a
// worker. A task counts until its end is confirmed or its lease expires.
func (a *api) countTasks(r *http.Request) (any, error) {
	dc, worker := r.URL.Query().Get("data_centre"), r.URL.Query().Get("worker")
	if (dc == "") == (worker == "") {
		return nil, model.NotRun(model.CodeInvalid, "specify either data_centre or worker")
	}
	if err := a.readBarrier(r.Context()); err != nil {
		return nil, err
	}
	m := a.Replica.Machine()
	matches := func(name string) bool { return name == worker }
	if dc != "" {
		inDataCentre := map[string]bool{}
		for _, w := range m.Workers() {
			inDataCentre[w.Name] = w.DataCentre == dc
		}
		matches = func(name string) bool { return inDataCentre[name] }
	}
	out := TaskCounts{Version: m.Config().Version, Examples: []string{}}
	for _, j := range m.Jobs() {
		before := out.Tasks
		for _, w := range j.Placement.Workers {
			if matches(w) {
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
