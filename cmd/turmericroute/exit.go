package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"strings"

	"turmericroute/client"
	"turmericroute/model"
)

// Exit codes; docs/commands.md documents them.
const (
	exitOK          = 0
	exitFailed      = 1
	exitUsage       = 2
	exitRefused     = 3
	exitUnknown     = 4
	exitUnreachable = 5
	exitUnfinished  = 6
)

// usageError is an invalid command line or input file, with a hint on how to correct it.
type usageError struct {
	message, hint string
	faults        []string
}

// Error returns the message.
func (e *usageError) Error() string { return e.message }

func usagef(hint, format string, args ...any) error {
	return &usageError{message: fmt.Sprintf(format, args...), hint: hint}
}

// hintedError adds a hint and detail lines to an error.
type hintedError struct {
	err     error
	hint    string
	details []string
}

// Error returns the message of the wrapped error.
func (e *hintedError) Error() string { return e.err.Error() }

// Unwrap returns the wrapped error.
func (e *hintedError) Unwrap() error { return e.err }

// report prints an error with its details and a hint, and returns the exit code.
func (a *app) report(err error) int {
	code, message, hint := a.describe(err)
	fmt.Fprintf(a.err, "error: %s\n", message)
	for _, f := range errorDetails(err) {
		fmt.Fprintf(a.err, "  %s\n", f)
	}
	fmt.Fprintf(a.err, "next: %s\n", hint)
	return code
}

// errorDetails returns the lines to print below the message of err.
func errorDetails(err error) []string {
	var u *usageError
	var h *hintedError
	var m *model.Error
	switch {
	case errors.As(err, &h) && len(h.details) > 0:
		return h.details
	case errors.As(err, &u):
		return u.faults
	case errors.As(err, &m):
		return m.Faults
	default:
		return nil
	}
}

func (a *app) describe(err error) (code int, message, hint string) {
	var u *usageError
	var w *unfinishedError
	var h *hintedError
	var m *model.Error
	if errors.As(err, &h) {
		hint = h.hint
	}
	switch {
	case errors.As(err, &u):
		return exitUsage, u.message, u.hint
	case errors.As(err, &w):
		return exitUnfinished, w.message, w.hint
	case errors.As(err, &m):
		code, next := classify(err, m)
		if hint == "" {
			hint = next
		}
		return code, fmt.Sprintf("%s (%s)", m.Message, m.Code), hint
	case errors.Is(err, context.Canceled):
		return exitUnknown, "interrupted", "run the command again; it is safe to repeat"
	case hint == "":
		hint = "see: " + program + " -h"
	}
	return exitFailed, err.Error(), hint
}

// classify returns the exit code and the hint for an API error.
func classify(err error, m *model.Error) (int, string) {
	switch {
	case client.Unreachable.Has(err):
		return exitUnreachable, "check -addresses and that an instance runs there; nothing was changed"
	case m.Outcome != model.OutcomeNotRun:
		return exitUnknown, "the request may have taken effect: check the state, or repeat the same command with the same ID"
	}
	return exitRefused, nextStep(m.Code)
}

func nextStep(code model.Code) string {
	switch code {
	case model.CodeStaleVersion:
		return "another change was accepted first: see 'config history', then run the command again"
	case model.CodeImpossible:
		return "change the request, or the configuration that rules it out"
	case model.CodeNotFound:
		return "check the name; list what exists with 'job list', 'worker list' or 'config get'"
	case model.CodeConflict, model.CodeKeyConflict:
		return "use another ID, or repeat the request exactly as it was sent first"
	case model.CodeInvalid, model.CodeTooLarge, model.CodeUnsupportedMedia:
		return "correct the errors above and run the command again"
	case model.CodeLimit:
		return "wait until requests of the team have finished"
	case model.CodeUnauthorised, model.CodeForbidden:
		return "set a token with the required role with -token or " + envPrefix + "_TOKEN"
	default:
		return "run the command again in a few seconds; if the error persists, check 'status' on each instance"
	}
}

// flagHint returns a hint for a flag error: the closest flag name if there is one, and where to find the usage.
func (a *app) flagHint(err error) string {
	c := a.usageCommand()
	path := c.FlagSet.Name()
	_, name, ok := strings.Cut(err.Error(), "flag provided but not defined: -")
	if !ok {
		return "see: " + path + " -h"
	}
	var names []string
	c.FlagSet.VisitAll(func(f *flag.Flag) { names = append(names, f.Name) })
	if match := nearest(strings.TrimLeft(name, "-"), names); match != "" {
		return fmt.Sprintf("did you mean -%s? See: %s -h", match, path)
	}
	return "see: " + path + " -h"
}
