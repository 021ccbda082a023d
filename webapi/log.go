package webapi

import (
	"context"
	"crypto/rand"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-kit/log/level"

	"turmericroute/auth"
	"turmericroute/config"
	"turmericroute/model"
)

// recorder records the status and the error of a response for the log and the metrics.
type recorder struct {
	http.ResponseWriter
	status int
	err    *model.Error
}

// WriteHeader records the first final status.
func (w *recorder) WriteHeader(status int) {
	if w.status == 0 && status >= http.StatusOK {
		w.status = status
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write records the implied status 200.
func (w *recorder) Write(b []byte) (int, error) {
	if w.status == 0 {
		w.status = http.StatusOK
	}
	return w.ResponseWriter.Write(b)
}

// Unwrap gives http.ResponseController access to the connection.
func (w *recorder) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *recorder) recordError(e *model.Error) { w.err = e }

// ServeHTTP assigns the request an ID, serves it, and records it in the metrics and the log.
func (a *api) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	start := a.Now()
	id := requestID(r)
	r.Header.Set(HeaderRequestID, id)
	w.Header().Set(HeaderRequestID, id)
	rec := &recorder{ResponseWriter: w}
	setWriteDeadline(rec, r, start)
	info := &requestInfo{}
	r = r.WithContext(context.WithValue(r.Context(), requestInfoKey{}, info))
	defer func() { a.observe(rec, r, id, info, a.Now().Sub(start)) }()
	a.mux.ServeHTTP(rec, r)
}

// setWriteDeadline aborts responses that the caller reads too slowly. The deadline
// persists on the connection, so each request sets its own. Requests to services
// have none here, since package entry bounds them itself.
func setWriteDeadline(w http.ResponseWriter, r *http.Request, start time.Time) {
	var deadline time.Time
	if !strings.HasPrefix(r.URL.Path, "/v1/services/") {
		deadline = start.Add(maxTimeout + responseReadGrace)
	}
	// Connections that do not support deadlines, as in unit tests, stay unbounded.
	http.NewResponseController(w).SetWriteDeadline(deadline) //nolint:errcheck // see above
}

type requestInfoKey struct{}

// requestInfo collects data for the log line of a request while it is served.
type requestInfo struct {
	identity  auth.Identity
	logFields []any
}

// addLogField adds a key and a value to the log line of the request.
func addLogField(ctx context.Context, key string, value any) {
	if info, ok := ctx.Value(requestInfoKey{}).(*requestInfo); ok {
		info.logFields = append(info.logFields, key, value)
	}
}

// requestID returns the request ID that the caller sent if it is safe to log, or a new one.
func requestID(r *http.Request) string {
	if id := r.Header.Get(HeaderRequestID); config.CheckName(id) == nil {
		return id
	}
	return rand.Text()
}

// observe updates the request metrics and logs the request.
func (a *api) observe(rec *recorder, r *http.Request, id string, info *requestInfo, took time.Duration) {
	route := r.Pattern
	if _, path, ok := strings.Cut(route, " "); ok {
		route = path
	}
	if rec.status == 0 {
		rec.status = http.StatusOK
	}
	a.Metrics.GetOrCreateCounter(fmt.Sprintf("turmericroute_http_requests_total{method=%q,route=%q,status=%q}",
		methodLabel(r.Method), route, strconv.Itoa(rec.status))).Inc()
	if rec.err != nil {
		a.Metrics.GetOrCreateCounter(fmt.Sprintf("turmericroute_http_refusals_total{route=%q,outcome=%q,code=%q}",
			route, rec.err.Outcome, rec.err.Code)).Inc()
	}
	a.Metrics.GetOrCreateHistogram(fmt.Sprintf("turmericroute_http_request_seconds{route=%q}", route)).Update(took.Seconds())
	a.logRequest(rec, r, id, info, took)
}

// methodLabel returns the label of a method for the request counter; uncommon methods
// share one, which bounds the number of series.
func methodLabel(m string) string {
	switch m {
	case http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete:
		return m
	default:
		return "other"
	}
}

// logRequest logs one line per request. Changes and denied requests are audit lines
// that name the caller; other failures are logged at level info. Reads, polls and
// heartbeats are logged at level debug, since workers alone send thousands of polls
// per second.
func (a *api) logRequest(rec *recorder, r *http.Request, id string, info *requestInfo, took time.Duration) {
	mutates := r.Method != http.MethodGet && r.URL.Path != planPath
	frequent := strings.HasSuffix(r.URL.Path, "/poll") || strings.HasSuffix(r.URL.Path, "/announce") || strings.HasPrefix(r.URL.Path, "/v1/services/")
	denied := rec.status == http.StatusUnauthorized || rec.status == http.StatusForbidden
	logger, event := level.Debug(a.Logger), "http_request"
	switch {
	case denied, mutates && !frequent:
		logger, event = level.Info(a.Logger), "audit"
	case rec.status >= http.StatusBadRequest && !frequent:
		logger = level.Info(a.Logger)
	}
	kv := []any{
		"event", event, "request_id", id, "method", r.Method, "path", r.URL.Path,
		"status", rec.status, "took_ms", took.Milliseconds(), "remote", r.RemoteAddr,
	}
	if info.identity.Name != "" {
		kv = append(kv, "who", info.identity.Name, "role", info.identity.Role)
	}
	kv = append(kv, info.logFields...)
	if rec.err != nil {
		kv = append(kv, "code", rec.err.Code, "outcome", rec.err.Outcome, "error", rec.err.Message)
	}
	logger.Log(kv...)
}
