package entry

import (
	"context"
	"net/http"
	"time"

	"turmericroute/model"
)

// result is either a response to send to the caller or an error.
type result struct {
	response *response
	err      *model.Error
	// onWritten, if set, runs once writing the response to the caller has ended, with its error.
	onWritten func(err error)
}

// ServeService serves /v1/services/{service}/{path...}, a request to an upstream executor. It
// panics with http.ErrAbortHandler when a response fails after its beginning was sent.
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
	writeErr := res.response.write(w, q)
	if res.onWritten != nil {
		res.onWritten(writeErr)
	}
	e.logRequest(q, start, &model.Error{Outcome: res.response.outcome}, res.response.status, writeErr)
	if writeErr != nil {
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
		// The response to a keyed request is recorded for resends even if the caller disconnects.
		ctx = context.WithoutCancel(ctx)
	}
	// The context of a large response ends only after it was written, since it is still read after
	// this function returns.
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(q.deadline.Sub(e.cfg.Clock.Now())))
	if q.key != "" {
		return e.serveKeyed(ctx, cancel, s, q)
	}
	resp, err := s.forward(ctx, q)
	if err != nil || resp.rest == nil {
		cancel()
		return result{response: resp, err: err}
	}
	return result{response: resp, onWritten: func(error) { cancel() }}
}

// logRequest logs one request and counts it in the metrics.
func (e *Entry) logRequest(q *request, start time.Time, err *model.Error, status int, writeErr error) {
	d := e.cfg.Clock.Now().Sub(start)
	e.metrics.countRequest(q, err, d)
	fields := []any{
		"event", "request", "request_id", q.id, "team", q.team, "service", q.service, "method", q.method,
		"status", status, "outcome", err.Outcome, "code", err.Code, "executor", q.executor,
		"attempts", q.attempts, "keyed", q.key != "", "duration_ms", float64(d.Microseconds()) / 1000,
	}
	if err.Message != "" {
		fields = append(fields, "err", err.Message)
	}
	if writeErr != nil {
		fields = append(fields, "cut", writeErr)
	}
	e.cfg.Logger.Log(fields...)
}
