package client

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"

	"turmericroute/config"
	"turmericroute/model"
	"turmericroute/state"
	"turmericroute/webapi"
)

// SubmitJob submits a job. A job without an ID is not sent again once it may have been accepted.
func (c *Client) SubmitJob(ctx context.Context, spec model.JobSpec) (model.Job, error) {
	return executeAs[model.Job](ctx, c, call{method: http.MethodPost, path: "/v1/jobs", body: spec, idempotent: spec.ID != ""})
}

// Job returns a job by its ID.
func (c *Client) Job(ctx context.Context, id string) (model.Job, error) {
	return executeAs[model.Job](ctx, c, getCall("/v1/jobs/"+url.PathEscape(id), nil))
}

// Explain returns a report of why a job is in its state.
func (c *Client) Explain(ctx context.Context, id string) (state.JobReport, error) {
	return executeAs[state.JobReport](ctx, c, getCall("/v1/jobs/"+url.PathEscape(id)+"/explain", nil))
}

// Jobs lists jobs without their payloads. An empty team or state matches all.
func (c *Client) Jobs(ctx context.Context, team string, state model.JobState) ([]model.Job, error) {
	query := url.Values{}
	if team != "" {
		query.Set("team", team)
	}
	if state != "" {
		query.Set("state", string(state))
	}
	all := []model.Job{}
	for {
		page, err := executeAs[[]model.Job](ctx, c, getCall("/v1/jobs", query))
		if err != nil {
			return nil, err
		}
		all = append(all, page...)
		if len(page) < webapi.JobsPageSize {
			return all, nil
		}
		query.Set("after", page[len(page)-1].Spec.ID)
	}
}

// CancelJob requests the cancellation of a job.
func (c *Client) CancelJob(ctx context.Context, id string) (model.Job, error) {
	return executeAs[model.Job](ctx, c, call{method: http.MethodDelete, path: "/v1/jobs/" + url.PathEscape(id), idempotent: true})
}

// Config returns the configuration in force.
func (c *Client) Config(ctx context.Context) (config.Config, error) {
	return executeAs[config.Config](ctx, c, getCall("/v1/config", nil))
}

// ConfigAt returns a version of the configuration from its history.
func (c *Client) ConfigAt(ctx context.Context, version uint64) (config.Config, error) {
	return executeAs[config.Config](ctx, c, getCall("/v1/config", url.Values{"version": {strconv.FormatUint(version, 10)}}))
}

// Plan returns the effects of a patch without applying it.
func (c *Client) Plan(ctx context.Context, p config.Patch) (webapi.PlanResult, error) {
	return executeAs[webapi.PlanResult](ctx, c, call{method: http.MethodPost, path: "/v1/config/plan", body: p, idempotent: true})
}

// Patch applies a patch; its ID makes the call idempotent.
func (c *Client) Patch(ctx context.Context, p config.Patch) (webapi.PatchResult, error) {
	return executeAs[webapi.PatchResult](ctx, c, call{method: http.MethodPost, path: "/v1/config/patches", body: p, idempotent: true})
}

// History lists the patches accepted after a version, oldest first.
func (c *Client) History(ctx context.Context, since uint64) ([]state.Record, error) {
	all := []state.Record{}
	for {
		query := url.Values{"since": {strconv.FormatUint(since, 10)}}
		page, err := executeAs[[]state.Record](ctx, c, getCall("/v1/config/history", query))
		if err != nil {
			return nil, err
		}
		all = append(all, page...)
		if len(page) < webapi.HistoryPageSize {
			return all, nil
		}
		since = page[len(page)-1].Version
	}
}

// Workers lists the registered workers.
func (c *Client) Workers(ctx context.Context) ([]model.Worker, error) {
	return executeAs[[]model.Worker](ctx, c, getCall("/v1/workers", nil))
}

// Upstreams lists the known upstreams.
func (c *Client) Upstreams(ctx context.Context) ([]model.Upstream, error) {
	return executeAs[[]model.Upstream](ctx, c, getCall("/v1/upstreams", nil))
}

// Status returns the status of the instance that answers.
func (c *Client) Status(ctx context.Context) (webapi.Status, error) {
	return executeAs[webapi.Status](ctx, c, getCall("/v1/status", nil))
}

// Overview returns the leader's view of the whole deployment.
func (c *Client) Overview(ctx context.Context) (state.Overview, error) {
	return executeAs[state.Overview](ctx, c, getCall("/v1/overview", nil))
}

// TasksIn counts the tasks placed in a data centre.
func (c *Client) TasksIn(ctx context.Context, dataCentre string) (webapi.TaskCounts, error) {
	return executeAs[webapi.TaskCounts](ctx, c, getCall("/v1/tasks", url.Values{"data_centre": {dataCentre}}))
}

// TasksOn counts the tasks placed on a worker.
func (c *Client) TasksOn(ctx context.Context, worker string) (webapi.TaskCounts, error) {
	return executeAs[webapi.TaskCounts](ctx, c, getCall("/v1/tasks", url.Values{"worker": {worker}}))
}

// Dump returns the internal state of the process that answers.
func (c *Client) Dump(ctx context.Context) (json.RawMessage, error) {
	return executeAs[json.RawMessage](ctx, c, getCall("/dump", nil))
}

// Poll sends a worker's poll. Lease and validity periods in the response are
// measured from just before the call, whichever instance answers.
func (c *Client) Poll(ctx context.Context, req model.PollRequest) (model.PollResponse, error) {
	path := "/v1/workers/" + url.PathEscape(req.Worker.Name) + "/poll"
	return executeAs[model.PollResponse](ctx, c, call{method: http.MethodPost, path: path, body: req, idempotent: true})
}

// Announce registers an upstream or updates its registration.
func (c *Client) Announce(ctx context.Context, u model.Upstream) error {
	path := "/v1/upstreams/" + url.PathEscape(u.Name) + "/announce"
	return c.execute(ctx, call{method: http.MethodPost, path: path, body: u, idempotent: true}, nil)
}

// Leave deregisters an incarnation of an upstream.
func (c *Client) Leave(ctx context.Context, name string, incarnation uint64) error {
	path := "/v1/upstreams/" + url.PathEscape(name) + "/leave"
	body := map[string]uint64{"incarnation": incarnation}
	return c.execute(ctx, call{method: http.MethodPost, path: path, body: body, idempotent: true}, nil)
}

func getCall(path string, query url.Values) call {
	return call{method: http.MethodGet, path: path, query: query, idempotent: true}
}

// executeAs executes a call and returns its decoded response.
func executeAs[T any](ctx context.Context, c *Client, cl call) (T, error) {
	var out T
	err := c.execute(ctx, cl, &out)
	return out, err
}
