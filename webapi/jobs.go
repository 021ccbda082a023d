package webapi

import (
	"context"
	"crypto/rand"
	"fmt"
	"math"
	"net/http"

	"turmericroute/config"
	"turmericroute/model"
	"turmericroute/state"
)

const (
	// maxPayloadBytes bounds the opaque payload of a job in bytes.
	maxPayloadBytes = 64 << 10
	// maxDeclaredSeconds bounds the declared run time in seconds to one year.
	maxDeclaredSeconds = 366 * 24 * 3600
	maxAttempts        = 100
	// JobsPageSize bounds the jobs of one answer; without payloads that is about 3 MB.
	JobsPageSize = 5000
)

// submitJob accepts a job; the caller's ID makes it safe to send again.
func (a *api) submitJob(r *http.Request) (any, error) {
	var spec model.JobSpec
	if err := decodeBody(r, maxJobBytes, &spec); err != nil {
		return nil, err
	}
	chosen := spec.ID != ""
	if !chosen {
		spec.ID = "j-" + rand.Text()
	}
	addLogField(r.Context(), "job", spec.ID)
	if team, limited := callerTeam(r.Context()); limited && spec.Team != team {
		return nil, model.NotRun(model.CodeForbidden, "the token speaks for team %s, not for %q", team, spec.Team)
	}
	if faults := jobFaults(spec); len(faults) > 0 {
		return nil, config.InvalidError("job is not valid", faults)
	}
	if err := a.checkJob(r.Context(), spec, chosen); err != nil {
		return nil, err
	}
	res, err := a.execute(r.Context(), state.SubmitJob{Spec: spec, AtMS: a.Now().UnixMilli()})
	switch {
	case err != nil && chosen && res.Failure == nil:
		return nil, withUnknownOutcome(err)
	case err != nil:
		return nil, err
	}
	return res.Job, nil
}

// checkJob refuses a job that can never run, unless it was accepted before.
func (a *api) checkJob(ctx context.Context, spec model.JobSpec, chosen bool) error {
	err := a.checkSpec(a.Replica.Machine().Config(), spec)
	if err == nil {
		return nil
	}
	// The local copy may lack the configuration or the job of the first sending.
	if barrier := a.Replica.Barrier(ctx); barrier != nil {
		if chosen {
			return withUnknownOutcome(barrier)
		}
		return fmt.Errorf("check job: %w", barrier)
	}
	if _, ok := a.Replica.Machine().Job(spec.ID); ok {
		return nil
	}
	return a.checkSpec(a.Replica.Machine().Config(), spec)
}

func (a *api) checkSpec(cfg config.Config, spec model.JobSpec) error {
	team, ok := cfg.Team(spec.Team)
	if !ok {
		return model.NotRun(model.CodeImpossible, "no team %s", spec.Team)
	}
	for _, dc := range spec.DataCentres {
		if _, ok := cfg.DataCentre(dc); !ok {
			return model.NotRun(model.CodeImpossible, "no data centre %s", dc)
		}
	}
	if gpus := spec.Shape.TotalGPUs(); team.MaxGPUs > 0 && gpus > team.MaxGPUs {
		return model.NotRun(model.CodeImpossible, "job asks for %d accelerators, team %s may use %d", gpus, team.Name, team.MaxGPUs)
	}
	if a.CheckJob == nil {
		return nil
	}
	if err := a.CheckJob(cfg, spec); err != nil {
		return fmt.Errorf("check job: %w", err)
	}
	return nil
}

func jobFaults(s model.JobSpec) []config.Fault {
	var f config.Faults
	f.CheckName("id", s.ID)
	f.CheckName("team", s.Team)
	f = append(f, config.CheckShape("shape", s.Shape)...)
	for i, dc := range s.DataCentres {
		f.CheckName(fmt.Sprintf("data_centres[%d]", i), dc)
	}
	f.CheckRange("data_centres", len(s.DataCentres), 0, 64)
	if math.IsNaN(s.DeclaredSeconds) || s.DeclaredSeconds < 0 || s.DeclaredSeconds > maxDeclaredSeconds {
		f.Add("declared_seconds", "is %v, must be 0 to %d", s.DeclaredSeconds, maxDeclaredSeconds)
	}
	f.CheckRange("max_attempts", s.MaxAttempts, 0, maxAttempts)
	f.CheckRange("payload", len(s.Payload), 0, maxPayloadBytes)
	return f
}

// listJobs lists jobs without their payloads in the order of their IDs, at most
// JobsPageSize after the ID that the query names. A full page may have a next one.
func (a *api) listJobs(r *http.Request) (any, error) {
	if err := a.readBarrier(r.Context()); err != nil {
		return nil, err
	}
	team, jobState := r.URL.Query().Get("team"), model.JobState(r.URL.Query().Get("state"))
	after := r.URL.Query().Get("after")
	own, limited := callerTeam(r.Context())
	out := []model.Job{}
	for _, j := range a.Replica.Machine().Jobs() {
		if limited && j.Spec.Team != own || j.Spec.ID <= after {
			continue
		}
		if (team == "" || j.Spec.Team == team) && (jobState == "" || j.State == jobState) {
			j.Spec.Payload = ""
			out = append(out, j)
		}
		if len(out) == JobsPageSize {
			break
		}
	}
	return out, nil
}

func (a *api) getJob(r *http.Request) (any, error) {
	id, err := pathName(r, "id")
	if err != nil {
		return nil, err
	}
	return a.visibleJob(r.Context(), id)
}

// visibleJob returns a job that the caller may see; those of other teams do not exist for it.
func (a *api) visibleJob(ctx context.Context, id string) (model.Job, error) {
	if err := a.readBarrier(ctx); err != nil {
		return model.Job{}, err
	}
	j, ok := a.Replica.Machine().Job(id)
	if own, limited := callerTeam(ctx); !ok || limited && j.Spec.Team != own {
		return model.Job{}, model.NotRun(model.CodeNotFound, "no job %s", id)
	}
	return j, nil
}

func (a *api) cancelJob(r *http.Request) (any, error) {
	id, err := pathName(r, "id")
	if err != nil {
		return nil, err
	}
	if _, limited := callerTeam(r.Context()); limited {
		if _, err := a.visibleJob(r.Context(), id); err != nil {
			return nil, err
		}
	}
	res, err := a.execute(r.Context(), state.CancelJob{ID: id, AtMS: a.Now().UnixMilli()})
	if err != nil {
		return nil, err
	}
	return res.Job, nil
}

// execute commits a command and returns its failure as an error.
func (a *api) execute(ctx context.Context, c state.Command) (state.Result, error) {
	res, err := a.Replica.Execute(ctx, c)
	switch {
	case err != nil:
		return state.Result{}, fmt.Errorf("execute command: %w", err)
	case res.Failure != nil:
		return res, res.Failure
	}
	return res, nil
}

// readBarrier makes the local copy hold all that was committed before the request.
func (a *api) readBarrier(ctx context.Context) error {
	if err := a.Replica.Barrier(ctx); err != nil {
		return fmt.Errorf("read state: %w", err)
	}
	return nil
}

func pathName(r *http.Request, key string) (string, error) {
	name := r.PathValue(key)
	if err := config.CheckName(name); err != nil {
		return "", model.NotRun(model.CodeInvalid, "%s in the path: %v", key, err)
	}
	return name, nil
}
