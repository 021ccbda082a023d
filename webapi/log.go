package webapi

import (
	"crypto/rand"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-kit/log/level"

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

func (w *recorder) noteCode(e *model.Error) { w.err = e }

// ServeHTTP gives the request an ID, serves it, counts it and logs it.
func (a *api) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	start := a.Now()
	id := requestID(r)
	r.Header.Set(HeaderRequestID, id)
	w.Header().Set(HeaderRequestID, id)
	rec := &recorder{ResponseWriter: w}
	defer func() { a.observe(rec, r, id, a.Now().Sub(start)) }()
	a.mux.ServeHTTP(rec, r)
}

// requestID returns the caller's request ID when it is safe to log, or a new one.
func requestID(r *http.Request) string {
	if id := r.Header.Get(HeaderRequestID); config.CheckName(id) == nil {
		return id
	}
	return rand.Text()
}

func (a *api) observe(rec *recorder, r *http.Request, id string, took time.Duration) {
	route := r.Pattern
	if _, path, ok := strings.Cut(route, " "); ok {
		route = path
	}
	if rec.status == 0 {
		rec.status = http.StatusOK
	}
	a.Metrics.GetOrCreateCounter(fmt.Sprintf("turmericroute_http_requests_total{method=%q,route=%q,status=%q}",
		knownMethod(r.Method), route, strconv.Itoa(rec.status))).Inc()
	a.Metrics.GetOrCreateHistogram(fmt.Sprintf("turmericroute_http_request_seconds{route=%q}", route)).Update(took.Seconds())
	a.logRequest(rec, r, id, took)
}

// knownMethod bounds the label values of the request counter.
func knownMethod(m string) string {
	switch m {
	case http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete:
		return m
	default:
		return "other"
	}
}

// logRequest logs changes and failures at info; reads, polls and heartbeats at
// debug, since workers alone send thousands of polls a second.
func (a *api) logRequest(rec *recorder, r *http.Request, id string, took time.Duration) {
	logger := level.Debug(a.Logger)
	frequent := strings.HasSuffix(r.URL.Path, "/poll") || strings.HasSuffix(r.URL.Path, "/announce") || strings.HasPrefix(r.URL.Path, "/v1/services/")
	if rec.status >= http.StatusBadRequest && !frequent || r.Method != http.MethodGet && !frequent {
		logger = level.Info(a.Logger)
	}
	kv := []any{
		"event", "http_request", "request_id", id, "method", r.Method, "path", r.URL.Path,
		"status", rec.status, "took_ms", took.Milliseconds(), "remote", r.RemoteAddr,
	}
	if rec.err != nil {
		kv = append(kv, "code", rec.err.Code, "outcome", rec.err.Outcome, "error", rec.err.Message)
	}
	logger.Log(kv...)
}
