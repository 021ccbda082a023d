package main

import (
	"context"
	"fmt"
	"io"

	"turmericroute/client"
)

const jobCancelUsage = `
Cancels a job. A running job is first stopped on all its workers and is in state
"stopping" until they confirm. Cancelling twice is safe.

EXAMPLE
  turmericroute job cancel bend-417`

func jobCancelCommand() commandSpec {
	return commandSpec{
		name: "cancel", args: "ID", short: "cancel a job", long: jobCancelUsage, minArgs: 1, maxArgs: 1,
		run: withClient(func(ctx context.Context, s *session, c *client.Client, args []string) error {
			j, err := c.CancelJob(ctx, args[0])
			if err != nil {
				return err
			}
			return s.print(j, func(w io.Writer) error {
				_, err := fmt.Fprintf(w, "job %s is %s\n", j.Spec.ID, j.State)
				return err
			})
		}),
	}
}
