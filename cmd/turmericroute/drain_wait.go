package main

import (
	"context"
	"fmt"
	"io"
	"time"

	"turmericroute/client"
	"turmericroute/model"
	"turmericroute/webapi"
)

const (
	// progressInterval is the interval between progress checks.
	progressInterval = 500 * time.Millisecond
	// progressRepeatInterval is the interval at which an unchanged progress line is repeated.
	progressRepeatInterval = 10 * time.Second
	// requiredEmptyPolls is how many consecutive checks must find no task, since a
	// placement decided before the change can still be committed just after it.
	requiredEmptyPolls = 2
)

// drainResult is the JSON output of drain and undrain.
type drainResult struct {
	webapi.PatchResult
	// Complete reports that the version is in force on every ready instance and, after a drain, that no task runs on the target.
	Complete bool              `json:"complete"`
	Placed   webapi.TaskCounts `json:"placed"`
}

// unfinishedError reports that a wait timed out.
type unfinishedError struct{ message, hint string }

// Error returns the message.
func (e *unfinishedError) Error() string { return e.message }

func drainUnfinished(version uint64, remaining string) error {
	return &unfinishedError{
		message: fmt.Sprintf("version %d is accepted, but the change did not complete in time: %s", version, remaining),
		hint:    "the change is in force; run the same command again to resume the wait, or check 'status' and 'job explain'",
	}
}

// finishDrain waits for the target with -wait and prints the result.
func (s *session) finishDrain(ctx context.Context, c *client.Client, f *drainFlags, t drainTarget, res webapi.PatchResult) error {
	result := drainResult{PatchResult: res}
	var waitErr error
	if f.wait {
		result.Placed, waitErr = s.waitForDrain(ctx, c, t, res.Version)
		result.Complete = waitErr == nil
	}
	if !s.json {
		if result.Complete && t.drain {
			fmt.Fprintf(s.out, "no task runs on %s %s\n", t.kind, t.name)
		}
		return waitErr
	}
	if err := s.print(result, func(io.Writer) error { return nil }); err != nil {
		return err
	}
	return waitErr
}

// waitForDrain prints progress until the version is in force on all ready instances
// and, after a drain, no task is placed on the target. It returns an unfinishedError
// at the deadline.
func (s *session) waitForDrain(ctx context.Context, c *client.Client, t drainTarget, version uint64) (webapi.TaskCounts, error) {
	started := time.Now()
	lastText, printedAt := "", time.Time{}
	var placed webapi.TaskCounts
	for emptyPolls := 0; ; {
		remaining, err := s.drainRemaining(ctx, c, t, version, &placed)
		switch {
		case ctx.Err() != nil && lastText == "":
			return placed, drainUnfinished(version, "its progress is unknown")
		case ctx.Err() != nil:
			return placed, drainUnfinished(version, lastText)
		case err != nil && permanentError(err):
			return placed, err
		case err != nil:
			remaining = model.AsError(err).Message
		case remaining == "":
			if emptyPolls++; emptyPolls == requiredEmptyPolls || !t.drain {
				return placed, nil
			}
			sleep(ctx, progressInterval)
			continue
		}
		emptyPolls = 0
		if remaining != lastText || time.Since(printedAt) > progressRepeatInterval {
			fmt.Fprintf(s.err, "%s: %s\n", time.Since(started).Round(time.Second), remaining)
			lastText, printedAt = remaining, time.Now()
		}
		sleep(ctx, progressInterval)
	}
}

// permanentError reports whether a retry cannot succeed.
func permanentError(err error) bool {
	switch model.AsError(err).Code {
	case model.CodeUnauthorised, model.CodeForbidden, model.CodeInvalid:
		return true
	default:
		return false
	}
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// drainRemaining describes what is still missing, or returns "" once the change is
// complete, and stores the tasks found in placed. It ignores instances that do not
// answer or are not ready, since they serve no requests.
func (s *session) drainRemaining(ctx context.Context, c *client.Client, t drainTarget, version uint64, placed *webapi.TaskCounts) (string, error) {
	list, err := s.fetchInstances(ctx)
	if err != nil {
		return "", err
	}
	behind, serving := 0, 0
	for _, i := range list {
		if i.Status != nil && i.Status.Ready {
			serving++
			if i.Status.ConfigVersion < version {
				behind++
			}
		}
	}
	if behind > 0 || serving == 0 {
		return fmt.Sprintf("version %d is in force on %d of %d ready instances", version, serving-behind, serving), nil
	}
	if !t.drain {
		return "", nil
	}
	tasks, err := t.placedTasks(ctx, c)
	if err != nil {
		return "", err
	}
	*placed = tasks
	if tasks.Tasks == 0 && tasks.Version >= version {
		return "", nil
	}
	return fmt.Sprintf("%d tasks of %d jobs on %s %s, such as %s", tasks.Tasks, tasks.Jobs, t.kind, t.name, formatNames(tasks.Examples)), nil
}

// placedTasks counts the tasks on the target.
func (t drainTarget) placedTasks(ctx context.Context, c *client.Client) (webapi.TaskCounts, error) {
	if t.kind == kindWorker {
		return c.TasksOn(ctx, t.name)
	}
	return c.TasksIn(ctx, t.name)
}
