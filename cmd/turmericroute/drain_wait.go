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
	// progressInterval is how often the progress of a drain is asked for.
	progressInterval = 500 * time.Millisecond
	// progressRepeat is how often an unchanged progress line is repeated.
	progressRepeat = 10 * time.Second
	// emptyLooks is how many looks in a row must find no task.
	emptyLooks = 2
)

// serviceDone is the result of drain and undrain as JSON.
type serviceDone struct {
	webapi.PatchResult
	// Complete says that the version is in force on every instance that serves and, after a drain, that no task runs there.
	Complete bool              `json:"complete"`
	Placed   webapi.TaskCounts `json:"placed"`
}

// unfinished is the error of a wait that ended too early.
type unfinished struct{ message, hint string }

// Error says what was still missing.
func (e *unfinished) Error() string { return e.message }

func serviceUnfinished(version uint64, left string) error {
	return &unfinished{
		message: fmt.Sprintf("version %d is accepted, but not all of it was done in time: %s", version, left),
		hint:    "the change is in force; run the same command again to go on waiting, or look at 'status' and 'job explain'",
	}
}

// finishService waits for the target, if that is asked for, and prints the result.
func (s *session) finishService(ctx context.Context, c *client.Client, f *serviceFlags, t target, res webapi.PatchResult) error {
	done := serviceDone{PatchResult: res}
	var waitErr error
	if f.wait {
		done.Placed, waitErr = s.awaitService(ctx, c, t, res.Version)
		done.Complete = waitErr == nil
	}
	if !s.json {
		if done.Complete && t.out {
			fmt.Fprintf(s.out, "no task runs on %s %s\n", t.kind, t.name)
		}
		return waitErr
	}
	if err := s.print(done, func(io.Writer) error { return nil }); err != nil {
		return err
	}
	return waitErr
}

// awaitService prints progress until the version is in force everywhere and,
// after a drain, no task is placed on the target any more.
func (s *session) awaitService(ctx context.Context, c *client.Client, t target, version uint64) (webapi.TaskCounts, error) {
	started := time.Now()
	last, printed := "", time.Time{}
	var placed webapi.TaskCounts
	for empty := 0; ; {
		left, err := s.serviceLeft(ctx, c, t, version, &placed)
		switch {
		case ctx.Err() != nil && last == "":
			return placed, serviceUnfinished(version, "nothing is known of its progress")
		case ctx.Err() != nil:
			return placed, serviceUnfinished(version, last)
		case err != nil && final(err):
			return placed, err
		case err != nil:
			left = model.AsError(err).Message
		case left == "":
			// A placement decided before the change can still be committed just after it.
			if empty++; empty == emptyLooks || !t.out {
				return placed, nil
			}
			pause(ctx, progressInterval)
			continue
		}
		empty = 0
		if left != last || time.Since(printed) > progressRepeat {
			fmt.Fprintf(s.err, "%s: %s\n", time.Since(started).Round(time.Second), left)
			last, printed = left, time.Now()
		}
		pause(ctx, progressInterval)
	}
}

// final reports whether asking again cannot help.
func final(err error) bool {
	switch model.AsError(err).Code {
	case model.CodeUnauthorised, model.CodeForbidden, model.CodeInvalid:
		return true
	default:
		return false
	}
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// serviceLeft says what is missing, and nothing once the change is complete. An
// instance that does not answer or is not ready serves nothing, so that it is not waited for.
func (s *session) serviceLeft(ctx context.Context, c *client.Client, t target, version uint64, placed *webapi.TaskCounts) (string, error) {
	list, err := s.instances(ctx)
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
		return fmt.Sprintf("version %d is in force on %d of %d instances that serve", version, serving-behind, serving), nil
	}
	if !t.out {
		return "", nil
	}
	now, err := t.placed(ctx, c)
	if err != nil {
		return "", err
	}
	*placed = now
	if now.Tasks == 0 && now.Version >= version {
		return "", nil
	}
	return fmt.Sprintf("%d tasks of %d jobs on %s %s, such as %s", now.Tasks, now.Jobs, t.kind, t.name, listed(now.Examples)), nil
}

// placed counts the tasks on the target.
func (t target) placed(ctx context.Context, c *client.Client) (webapi.TaskCounts, error) {
	if t.kind == kindWorker {
		return c.TasksOn(ctx, t.name)
	}
	return c.TasksIn(ctx, t.name)
}
