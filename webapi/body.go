package webapi

import (
	"encoding/json"
	"errors"
	"io"
	"mime"
	"net/http"
	"strconv"
	"time"

	"turmericroute/config"
	"turmericroute/model"
)

// codeMethodNotAllowed is the error code of a request with a method that its path does not support.
const codeMethodNotAllowed model.Code = "method_not_allowed"

// statusByCode maps error codes to HTTP statuses; other codes give 500.
var statusByCode = map[model.Code]int{
	model.CodeInvalid:          http.StatusBadRequest,
	model.CodeTooLarge:         http.StatusRequestEntityTooLarge,
	model.CodeUnsupportedMedia: http.StatusUnsupportedMediaType,
	model.CodeNotFound:         http.StatusNotFound,
	model.CodeConflict:         http.StatusConflict,
	model.CodeStaleVersion:     http.StatusConflict,
	model.CodeImpossible:       http.StatusUnprocessableEntity,
	model.CodeStaleView:        http.StatusServiceUnavailable,
	model.CodeNoLeader:         http.StatusServiceUnavailable,
	model.CodeOverloaded:       http.StatusServiceUnavailable,
	model.CodeLimit:            http.StatusTooManyRequests,
	model.CodeDeadline:         http.StatusGatewayTimeout,
	model.CodeKeyConflict:      http.StatusConflict,
	model.CodeKeyExpired:       http.StatusGone,
	model.CodeAnswerNotKept:    http.StatusGone,
	model.CodeInProgress:       http.StatusConflict,
	model.CodeOutcomeUnknown:   http.StatusConflict,
	model.CodeNoUpstream:       http.StatusServiceUnavailable,
	model.CodeUpstreamFailed:   http.StatusBadGateway,
	model.CodeShuttingDown:     http.StatusServiceUnavailable,
	model.CodeUnavailable:      http.StatusServiceUnavailable,
	model.CodeUnauthorised:     http.StatusUnauthorized,
	model.CodeForbidden:        http.StatusForbidden,
	codeMethodNotAllowed:       http.StatusMethodNotAllowed,
}

// StatusOf returns the HTTP status of an error code.
func StatusOf(code model.Code) int {
	if s, ok := statusByCode[code]; ok {
		return s
	}
	return http.StatusInternalServerError
}

// writeError writes err as the response; no other function turns an error into one.
func writeError(w http.ResponseWriter, err error) {
	e := model.AsError(err)
	body, encErr := json.Marshal(e)
	if encErr != nil {
		body = []byte(`{"code":"internal","message":"error could not be encoded","outcome":"unknown"}`)
	}
	if rec, ok := w.(interface{ recordError(*model.Error) }); ok {
		rec.recordError(e)
	}
	status := StatusOf(e.Code)
	h := w.Header()
	h.Set(HeaderOutcome, string(e.Outcome))
	h.Set("Content-Type", "application/json")
	if status == http.StatusUnauthorized {
		h.Set("WWW-Authenticate", "Bearer")
	}
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		h.Set("Retry-After", strconv.Itoa(e.RetryAfterSeconds()))
	}
	w.WriteHeader(status)
	w.Write(append(body, '\n'))
}

// writeJSON writes v as the JSON response, indented for GET /dump.
func writeJSON(w http.ResponseWriter, r *http.Request, v any) {
	var body []byte
	var err error
	if r.URL.Path == "/dump" {
		body, err = json.MarshalIndent(v, "", "  ")
	} else {
		body, err = json.Marshal(v)
	}
	if err != nil {
		writeError(w, model.Unknown(model.CodeInternal, "encode response: %v", err))
		return
	}
	h := w.Header()
	h.Set(HeaderOutcome, string(model.OutcomeDone))
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)+1))
	w.Write(append(body, '\n'))
}

// readBody returns the JSON body of a request, at most limit bytes; the error is a *model.Error.
func readBody(r *http.Request, limit int64) ([]byte, error) {
	media, _, err := mime.ParseMediaType(r.Header.Get("Content-Type"))
	if err != nil || media != "application/json" {
		return nil, model.NotRun(model.CodeUnsupportedMedia, "content type must be application/json")
	}
	if r.ContentLength > limit {
		return nil, model.NotRun(model.CodeTooLarge, "body has %d bytes, at most %d are allowed", r.ContentLength, limit)
	}
	b, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err != nil {
		// An earlier sending of the request may have run.
		return nil, model.Unknown(model.CodeInvalid, "read body: %v", err)
	}
	if int64(len(b)) > limit {
		return nil, model.NotRun(model.CodeTooLarge, "body has more than %d bytes", limit)
	}
	return b, nil
}

// decodeBody decodes the JSON body of a request, at most limit bytes, into out.
func decodeBody(r *http.Request, limit int64, out any) error {
	b, err := readBody(r, limit)
	if err != nil {
		return err
	}
	return config.DecodeJSON(b, out)
}

// requestTimeout returns the timeout that the request sets, or defaultTimeout.
func requestTimeout(r *http.Request) (time.Duration, error) {
	s := r.Header.Get(HeaderTimeout)
	if s == "" {
		return defaultTimeout, nil
	}
	ms, err := strconv.ParseInt(s, 10, 64)
	if err != nil || ms < 1 || ms > maxTimeout.Milliseconds() {
		return 0, model.NotRun(model.CodeInvalid, "%s must be 1 to %d", HeaderTimeout, maxTimeout.Milliseconds())
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// withUnknownOutcome returns err with the outcome unknown. It is for requests whose
// ID was not looked up, so that an earlier request with this ID may have run.
func withUnknownOutcome(err error) error {
	e := *model.AsError(err)
	if errors.As(err, new(*model.Error)) && e.Outcome == model.OutcomeNotRun {
		e.Message += "; an earlier request with this ID may have run"
	}
	e.Outcome = model.OutcomeUnknown
	return &e
}
