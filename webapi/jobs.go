package webapi

import (
	"context"
	"crypto/rand"
	"fmt"
	"math"
	"net/http"

	"turmericroute/config"
	"turmericroute/model"
	"turmericroute/quota"
	"turmericroute/state"
)

const (
	// maxPayloadBytes bounds the opaque payload of a job.
	maxPayloadBytes = 64 << 10
	// maxDeclaredSeconds bounds the declared run time of a job to one year.
	maxDeclaredSeconds = 366 * 24 * 3600
	// maxAttempts bounds the attempts that a job may ask for.
	maxAttempts = 100
	// JobsPageSize bounds the jobs in one response, which without payloads is about 3 MB.
	JobsPageSize = 5000
)

// submitJob accepts a job. If the caller chose its ID, the request is safe to retry.
func (a *api) submitJob(r *http.Request) (any, error) {
	var spec model.JobSpec
	if err := decodeBody(r, maxJobBytes, &spec); err != nil {
		return nil, err
	}
	hasID := spec.ID != ""
	if !hasID {
		spec.ID = "j-" + rand.Text()
	}
	addLogField(r.Context(), "job", spec.ID)
	if team, limited := callerTeam(r.Context()); limited && spec.Team != team {
		return nil, model.NotRun(model.CodeForbidden, "the token belongs to team %s, not to %q", team, spec.Team)
	}
	if faults := jobFaults(spec); len(faults) > 0 {
		return nil, config.InvalidError("job is not valid", faults)
	}
	if err := a.checkJob(r.Context(), spec, hasID); err != nil {
		return nil, err
	}
	res, err := a.execute(r.Context(), state.SubmitJob{Spec: spec, AtMS: a.Now().UnixMilli()})
	switch {
	case err != nil && hasID && res.Failure == nil:
		return nil, withUnknownOutcome(err)
	case err != nil:
		return nil, err
	}
	return res.Job, nil
}

// checkJob returns an error if the job can never run, unless it was accepted
// before. hasID reports whether the caller chose the ID.
func (a *api) checkJob(ctx context.Context, spec model.JobSpec, hasID bool) error {
	err := a.checkSpec(a.Replica.Machine().Config(), spec)
	if err == nil {
		return nil
	}
	// The local copy may lack the current configuration, or a job that an earlier request submitted.
	if barrierErr := a.Replica.Barrier(ctx); barrierErr != nil {
		if hasID {
			return withUnknownOutcome(barrierErr)
		}
		return fmt.Errorf("check job: %w", barrierErr)
	}
	if _, ok := a.Replica.Machine().Job(spec.ID); ok {
		return nil
	}
	return a.checkSpec(a.Replica.Machine().Config(), spec)
}

// checkSpec returns an error if the job can never run under cfg.
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
	need := quota.Amounts{CPUMilli: 1000 * spec.Shape.Cores, MemoryMB: spec.Shape.MemoryMB, GPUs: spec.Shape.GPUs}.Times(spec.Shape.Tasks)
	if s, short := team.Quota().Shortage(quota.Amounts{}, need); short {
		return model.NotRun(model.CodeImpossible, "job requests %s, team %s may use %s", s.Resource.Format(s.Needed), team.Name, s.Resource.Format(s.Limit))
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

// listJobs lists jobs without payloads, ordered by ID, at most JobsPageSize with an
// ID after ?after=. After a full page there may be more.
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

// visibleJob returns the job with the ID. For a caller that is limited to a team,
// a job of another team gives the same error as a job that does not exist.
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

// execute commits a command; a failure in its result is also returned as the error.
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

// readBarrier waits until the local copy of the state includes everything that
// was committed before the call.
func (a *api) readBarrier(ctx context.Context) error {
	if err := a.Replica.Barrier(ctx); err != nil {
		return fmt.Errorf("read state: %w", err)
	}
	return nil
}

// pathName returns the name in the path parameter key; the error is a *model.Error.
func pathName(r *http.Request, key string) (string, error) {
	name := r.PathValue(key)
	if err := config.CheckName(name); err != nil {
		return "", model.NotRun(model.CodeInvalid, "%s in the path: %v", key, err)
	}
	return name, nil
}
