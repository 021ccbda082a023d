package main

import (
	"context"
	"fmt"
	"io"
	"strings"

	"turmericroute/client"
	"turmericroute/model"
)

const jobGetUsage = `
Shows the state, attempt, placement and checkpoint of a job.

EXAMPLE
  turmericroute job get bend-417`

func jobGetCommand() commandSpec {
	return commandSpec{
		name: "get", args: "ID", short: "show a job", long: jobGetUsage, minArgs: 1, maxArgs: 1,
		run: withClient(func(ctx context.Context, s *session, c *client.Client, args []string) error {
			j, err := c.Job(ctx, args[0])
			if err != nil {
				return err
			}
			return s.print(j, func(w io.Writer) error { return printJob(w, j) })
		}),
	}
}

func printJob(w io.Writer, j model.Job) error {
	return table(w, "FIELD VALUE", [][]string{
		{"id", j.Spec.ID}, {"team", j.Spec.Team}, {"state", string(j.State)}, {"reason", orDash(j.Reason)},
		{"shape", formatShape(j.Spec.Shape)},
		{"attempt", fmt.Sprint(j.Attempt)}, {"failures", fmt.Sprint(j.Failures)},
		{"workers", orDash(strings.Join(j.Placement.Workers, " "))},
		{"checkpoint_s", fmt.Sprintf("%.1f", j.Checkpoint)},
		{"accepted", formatTime(j.Accepted)}, {"started", formatTime(j.Started)}, {"finished", formatTime(j.Finished)},
	})
}

func formatShape(s model.Shape) string {
	text := fmt.Sprintf("%dx(%d gpus, %d cores, %d MiB)", s.Tasks, s.GPUs, s.Cores, s.MemoryMB)
	if s.SameRack {
		text += " in one rack"
	}
	return text
}
