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

// recorder notes status and error code of an answer for the log and the metrics.
type recorder struct {
	http.ResponseWriter
	status int
	err    *model.Error
}

// WriteHeader notes the status.
func (w *recorder) WriteHeader(status int) {
	if w.status == 0 && status >= http.StatusOK {
		w.status = status
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write notes the implied status 200.
func (w *recorder) Write(b []byte) (int, error) {
	if w.status == 0 {
		w.status = http.StatusOK
	}
	return w.ResponseWriter.Write(b)
}

// Unwrap gives http.ResponseController access to the connection.
func (w *recorder) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *recorder) recordError(e *model.Error) { w.err = e }

// ServeHTTP gives the request an ID, serves it, counts it and logs it.
func (a *api) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	start := a.Now()
	id := requestID(r)
	r.Header.Set(HeaderRequestID, id)
	w.Header().Set(HeaderRequestID, id)
	rec := &recorder{ResponseWriter: w}
	setWriteDeadline(rec, r, start)
	who := &requestInfo{}
	r = r.WithContext(context.WithValue(r.Context(), requestInfoKey{}, who))
	defer func() { a.observe(rec, r, id, who, a.Now().Sub(start)) }()
	a.mux.ServeHTTP(rec, r)
}

// setWriteDeadline ends answers that a caller reads too slowly. The deadline stays on
// the connection, so each request sets its own; the request path to services has
// none, since it bounds its requests itself.
func setWriteDeadline(w http.ResponseWriter, r *http.Request, start time.Time) {
	var at time.Time
	if !strings.HasPrefix(r.URL.Path, "/v1/services/") {
		at = start.Add(maxTimeout + responseReadGrace)
	}
	// Connections that support no deadlines, as in unit tests, are left as they are.
	http.NewResponseController(w).SetWriteDeadline(at) //nolint:errcheck // see above
}

type requestInfoKey struct{}

// requestInfo is filled in while a request is served, for its log line.
type requestInfo struct {
	identity  auth.Identity
	logFields []any
}

// addLogField adds a key and a value to the log line of a request.
func addLogField(ctx context.Context, key string, value any) {
	if c, ok := ctx.Value(requestInfoKey{}).(*requestInfo); ok {
		c.logFields = append(c.logFields, key, value)
	}
}

// requestID returns the caller's request ID when it is safe to log, or a new one.
func requestID(r *http.Request) string {
	if id := r.Header.Get(HeaderRequestID); config.CheckName(id) == nil {
		return id
	}
	return rand.Text()
}

func (a *api) observe(rec *recorder, r *http.Request, id string, who *requestInfo, took time.Duration) {
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
	a.logRequest(rec, r, id, who, took)
}

// methodLabel bounds the label values of the request counter.
func methodLabel(m string) string {
	switch m {
	case http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete:
		return m
	default:
		return "other"
	}
}

// logRequest logs one line a request. Changes and refused access are audit
// lines that name the caller; other failures are logged at info, and reads,
// polls and heartbeats at debug, since workers alone send thousands of polls a second.
func (a *api) logRequest(rec *recorder, r *http.Request, id string, who *requestInfo, took time.Duration) {
	changes := r.Method != http.MethodGet && r.URL.Path != planPath
	frequent := strings.HasSuffix(r.URL.Path, "/poll") || strings.HasSuffix(r.URL.Path, "/announce") || strings.HasPrefix(r.URL.Path, "/v1/services/")
	denied := rec.status == http.StatusUnauthorized || rec.status == http.StatusForbidden
	logger, event := level.Debug(a.Logger), "http_request"
	switch {
	case denied, changes && !frequent:
		logger, event = level.Info(a.Logger), "audit"
	case rec.status >= http.StatusBadRequest && !frequent:
		logger = level.Info(a.Logger)
	}
	kv := []any{
		"event", event, "request_id", id, "method", r.Method, "path", r.URL.Path,
		"status", rec.status, "took_ms", took.Milliseconds(), "remote", r.RemoteAddr,
	}
	if who.identity.Name != "" {
		kv = append(kv, "who", who.identity.Name, "role", who.identity.Role)
	}
	kv = append(kv, who.logFields...)
	if rec.err != nil {
		kv = append(kv, "code", rec.err.Code, "outcome", rec.err.Outcome, "error", rec.err.Message)
	}
	logger.Log(kv...)
}
