package model

import (
	"errors"
	"fmt"
	"time"
)

// Outcome tells whether a request was carried out, as far as that is known.
type Outcome string

// The outcomes that every answer carries.
const (
	// OutcomeDone means that the request was carried out.
	OutcomeDone Outcome = "done"
	// OutcomeNotRun means that no part of the request was or will be carried out.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeUnknown means that the request may or may not have been carried out.
	OutcomeUnknown Outcome = "unknown"
)

// Code is a machine-readable error code in snake case.
type Code string

// Codes of errors that cross process boundaries.
const (
	CodeInvalid          Code = "invalid"
	CodeTooLarge         Code = "too_large"
	CodeUnsupportedMedia Code = "unsupported_media_type"
	CodeNotFound         Code = "not_found"
	CodeConflict         Code = "conflict"
	CodeStaleVersion     Code = "stale_version"
	CodeImpossible       Code = "impossible"
	CodeStaleView        Code = "stale_view"
	CodeNoLeader         Code = "no_leader"
	CodeOverloaded       Code = "overloaded"
	CodeLimit            Code = "team_limit"
	CodeDeadline         Code = "deadline_exceeded"
	CodeKeyConflict      Code = "key_conflict"
	CodeKeyExpired       Code = "key_expired"
	CodeInProgress       Code = "in_progress"
	CodeOutcomeUnknown   Code = "outcome_unknown"
	CodeNoUpstream       Code = "no_upstream"
	CodeUpstreamFailed   Code = "upstream_failed"
	CodeAnswerNotKept    Code = "answer_not_kept"
	CodeShuttingDown     Code = "shutting_down"
	CodeUnavailable      Code = "unavailable"
	CodeInternal         Code = "internal"
	CodeUnauthorised     Code = "unauthorised"
	CodeForbidden        Code = "forbidden"
)

// Error is an error with a code, an outcome and, if validation failed, all faults found.
type Error struct {
	Code    Code     `json:"code"`
	Message string   `json:"message"`
	Outcome Outcome  `json:"outcome"`
	Faults  []string `json:"faults,omitempty"`
	// Version is the current configuration version if Code is CodeStaleVersion.
	Version uint64 `json:"version,omitempty"`
	// RetryAfter is the time after which the caller should repeat a request that was not run, 0 if that is not known.
	RetryAfter time.Duration `json:"-"`
}

// Error returns the code, the message and the faults.
func (e *Error) Error() string {
	if len(e.Faults) > 0 {
		return fmt.Sprintf("%s: %s: %v", e.Code, e.Message, e.Faults)
	}
	return fmt.Sprintf("%s: %s", e.Code, e.Message)
}

// NotRun returns an error whose outcome is OutcomeNotRun.
func NotRun(code Code, format string, args ...any) *Error {
	return &Error{Code: code, Outcome: OutcomeNotRun, Message: fmt.Sprintf(format, args...)}
}

// Unknown returns an error whose outcome is OutcomeUnknown.
func Unknown(code Code, format string, args ...any) *Error {
	return &Error{Code: code, Outcome: OutcomeUnknown, Message: fmt.Sprintf(format, args...)}
}

// WithRetryAfter returns the error with the time after which the caller should repeat the request.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	out := *e
	out.RetryAfter = d
	return &out
}

// defaultRetryAfter is what callers are told if no time is known; a change of leader takes about as long.
const defaultRetryAfter = time.Second

// RetryAfterSeconds returns the value of the header Retry-After for the error, in whole seconds.
func (e *Error) RetryAfterSeconds() int {
	d := e.RetryAfter
	if d <= 0 {
		d = defaultRetryAfter
	}
	return int((d + time.Second - 1) / time.Second)
}

// InDoubtIf returns the error with OutcomeUnknown if an earlier attempt at the same request may have been carried out:
// the refusal of a later one says nothing about it.
func (e *Error) InDoubtIf(maybeExecuted bool) *Error {
	if !maybeExecuted || e.Outcome != OutcomeNotRun {
		return e
	}
	out := *e
	out.Outcome = OutcomeUnknown
	return &out
}

// AsError returns the first *Error in the chain of err, or a new one with CodeInternal and OutcomeUnknown.
func AsError(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Unknown(CodeInternal, "%v", err)
}
