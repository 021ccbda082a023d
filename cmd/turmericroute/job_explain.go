package main

import (
	"context"
	"fmt"
	"io"
	"strings"

	"turmericroute/client"
	"turmericroute/state"
)

const jobExplainUsage = `
Explains the state of a job: what it waits for, which workers are reserved for
it, and which attempts have ended and why. The leader remembers the last five
attempts of a job; a new leader starts without them.

EXAMPLE
  turmericroute job explain bend-417`

func jobExplainCommand() commandSpec {
	return commandSpec{
		name: "explain", args: "ID", short: "explain why a job waits", long: jobExplainUsage, minArgs: 1, maxArgs: 1,
		run: withClient(func(ctx context.Context, s *session, c *client.Client, args []string) error {
			r, err := c.Explain(ctx, args[0])
			if err != nil {
				return err
			}
			return s.print(r, func(w io.Writer) error { return printJobReport(w, r) })
		}),
	}
}

func printJobReport(w io.Writer, r state.JobReport) error {
	spec := r.Job.Spec
	fmt.Fprintf(w, "job %s of team %s, %s, is %s: %s\n", spec.ID, spec.Team, formatShape(spec.Shape), r.Job.State, r.Why)
	for _, h := range r.WaitsFor {
		fmt.Fprintf(w, "waits for: %s%s\n", h.ID, formatBlockingJob(h))
	}
	switch {
	case r.Reservation != nil:
		kind := "kept free after its long wait"
		if r.Reservation.Guaranteed {
			kind = "being freed within its team's guarantee"
		}
		fmt.Fprintf(w, "reservation: %s, %s, expected free in %s\n", formatNames(r.Reservation.Workers), kind, formatDuration(r.Reservation.FreeInMS))
	case r.ReservationNote != "":
		fmt.Fprintf(w, "reservation: %s\n", r.ReservationNote)
	}
	if len(r.Avoided) > 0 {
		fmt.Fprintf(w, "avoids: %s, where it failed\n", formatNames(r.Avoided))
	}
	if len(r.EndedAttempts) == 0 {
		_, err := fmt.Fprintln(w, "tried: no attempt has ended")
		return err
	}
	var rows [][]string
	for _, t := range r.EndedAttempts {
		reason := t.Reason
		if t.Message != "" {
			reason += " (" + t.Message + ")"
		}
		rows = append(rows, []string{fmt.Sprint(t.Attempt), formatTime(t.EndedMS), formatNames(t.Workers), orDash(strings.TrimSpace(reason))})
	}
	return table(w, "TRIED ENDED WORKERS REASON", rows)
}

func formatBlockingJob(h state.BlockingJob) string {
	switch {
	case h.Team == "":
		return ""
	case h.Reclaim != "":
		return fmt.Sprintf(" of team %s, %s, being stopped: %s", h.Team, h.State, h.Reclaim)
	default:
		return fmt.Sprintf(" of team %s, %s", h.Team, h.State)
	}
}
