package main

import (
	"context"
	"flag"
	"fmt"
	"io"

	"turmericroute/client"
	"turmericroute/model"
)

const jobListUsage = `
Lists jobs ordered by ID: all jobs, or those of one team or in one state.

EXAMPLE
  turmericroute job list -team tejados -state running`

func jobListCommand() commandSpec {
	var team, state string
	return commandSpec{
		name: "list", short: "list jobs", long: jobListUsage,
		flags: func(fs *flag.FlagSet) {
			fs.StringVar(&team, "team", "", "only jobs of this `team`")
			fs.StringVar(&state, "state", "", "only jobs in this `state`")
		},
		run: withClient(func(ctx context.Context, s *session, c *client.Client, _ []string) error {
			jobs, err := c.Jobs(ctx, team, model.JobState(state))
			if err != nil {
				return err
			}
			return s.print(jobs, func(w io.Writer) error { return table(w, "ID TEAM STATE SHAPE ATTEMPT REASON", jobRows(jobs)) })
		}),
	}
}

func jobRows(jobs []model.Job) [][]string {
	rows := make([][]string, 0, len(jobs))
	for _, j := range jobs {
		rows = append(rows, []string{j.Spec.ID, j.Spec.Team, string(j.State), formatShape(j.Spec.Shape), fmt.Sprint(j.Attempt), orDash(j.Reason)})
	}
	return rows
}
