package entry

import (
	"encoding/json"
	"net/http"

	"turmericroute/model"
)

// statusOf returns the HTTP status for the code of an error.
func statusOf(e *model.Error) int {
	switch e.Code {
	case model.CodeInvalid:
		return http.StatusBadRequest
	case model.CodeTooLarge:
		return http.StatusRequestEntityTooLarge
	case model.CodeNotFound:
		return http.StatusNotFound
	case model.CodeConflict, model.CodeKeyConflict, model.CodeInProgress, model.CodeOutcomeUnknown:
		return http.StatusConflict
	case model.CodeKeyExpired, model.CodeAnswerNotKept:
		return http.StatusGone
	case model.CodeLimit:
		return http.StatusTooManyRequests
	case model.CodeDeadline:
		return http.StatusGatewayTimeout
	case model.CodeUpstreamFailed:
		return http.StatusBadGateway
	case model.CodeInternal:
		return http.StatusInternalServerError
	default:
		return http.StatusServiceUnavailable
	}
}

// writeError sends an error to the caller and returns its HTTP status.
func writeError(w http.ResponseWriter, q *request, e *model.Error) int {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(HeaderOutcome, string(e.Outcome))
	h.Set(HeaderRequestID, q.id)
	status := statusOf(e)
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(e) //nolint:errcheck // fails only when the caller has disconnected
	return status
}
