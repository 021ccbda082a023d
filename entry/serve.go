package entry

import (
	"context"
	"net/http"
	"time"

	"turmericroute/model"
)

// result is what a request came to.
type result struct {
	response *response
	err      *model.Error
	// onWritten runs once the answer was written to the caller, or failed to be.
	onWritten func(err error)
}

// ServeService serves /v1/services/{service}/{path...}: a request to an upstream executor. It
// panics with http.ErrAbortHandler when an answer is cut after its beginning was sent.
func (e *Entry) ServeService(w http.ResponseWriter, r *http.Request) {
	start := e.cfg.Clock.Now()
	q, err := e.parse(r, start)
	if err == nil {
		err = e.admitRequest(q)
	}
	if err != nil {
		err = q.adjustOutcome(err)
		e.logRequest(q, start, err, writeError(w, q, err), nil)
		return
	}
	defer e.releaseInFlight()
	defer e.releaseTeam(q.team)
	res := e.serveRequest(w, r, q)
	if res.err != nil {
		res.err = q.adjustOutcome(res.err)
		e.logRequest(q, start, res.err, writeError(w, q, res.err), nil)
		return
	}
	werr := res.response.write(w, q)
	if res.onWritten != nil {
		res.onWritten(werr)
	}
	e.logRequest(q, start, &model.Error{Outcome: res.response.outcome}, res.response.status, werr)
	if werr != nil {
		panic(http.ErrAbortHandler)
	}
}

// serveRequest reads the body and serves the request.
func (e *Entry) serveRequest(w http.ResponseWriter, r *http.Request, q *request) result {
	if err := q.readBody(w, r, e.cfg.MaxBodyBytes); err != nil {
		return result{err: err}
	}
	s := e.service(q.service)
	if s == nil {
		return result{err: model.NotRun(model.CodeNotFound, "no service %q", q.service)}
	}
	ctx := r.Context()
	if q.key != "" {
		// The answer to a key is recorded for a resend even if the caller goes away.
		ctx = context.WithoutCancel(ctx)
	}
	// The context ends when the handler returns, because a large answer is still read after this function.
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(q.deadline.Sub(e.cfg.Clock.Now())))
	if q.key != "" {
		return e.serveKeyed(ctx, cancel, s, q)
	}
	a, err := s.forward(ctx, q)
	if err != nil || a.rest == nil {
		cancel()
		return result{response: a, err: err}
	}
	return result{response: a, onWritten: func(error) { cancel() }}
}

// logRequest writes the line of one request and counts it.
func (e *Entry) logRequest(q *request, start time.Time, err *model.Error, status int, werr error) {
	d := e.cfg.Clock.Now().Sub(start)
	e.metrics.countRequest(q, err, d)
	kv := []any{
		"event", "request", "request_id", q.id, "team", q.team, "service", q.service, "method", q.method,
		"status", status, "outcome", err.Outcome, "code", err.Code, "executor", q.executor,
		"attempts", q.attempts, "keyed", q.key != "", "duration_ms", float64(d.Microseconds()) / 1000,
	}
	if err.Message != "" {
		kv = append(kv, "err", err.Message)
	}
	if werr != nil {
		kv = append(kv, "cut", werr)
	}
	e.cfg.Logger.Log(kv...)
}
