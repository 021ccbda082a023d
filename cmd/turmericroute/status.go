package main

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"turmericroute/client"
	"turmericroute/model"
	"turmericroute/webapi"
)

const statusUsage = `
Describes the instance that answers first: its part in the replicated log, the
age of its view, and sums over workers, upstreams and jobs.

EXAMPLE
  turmericroute status -addresses 127.0.0.1:7101`

func statusCommand() leaf {
	return leaf{
		name: "status", short: "describe an instance", long: statusUsage,
		run: call(func(ctx context.Context, s *session, c *client.Client, _ []string) error {
			st, err := c.Status(ctx)
			if err != nil {
				return err
			}
			return s.print(st, func(w io.Writer) error { return printStatus(w, st) })
		}),
	}
}

func printStatus(w io.Writer, st webapi.Status) error {
	ready := "yes"
	if !st.Ready {
		ready = "no: " + st.NotReady
	}
	rows := [][]string{
		{"instance", st.Replica.Name}, {"data_centre", st.Replica.DataCentre}, {"role", st.Replica.Role},
		{"leader", orDash(st.Replica.Leader)}, {"term", fmt.Sprint(st.Replica.Term)}, {"applied", fmt.Sprint(st.Replica.Applied)},
		{"view_age_ms", fmt.Sprint(st.Replica.ViewAgeMS)}, {"ready", ready}, {"config_version", fmt.Sprint(st.ConfigVersion)},
		{"out_of_service", orDash(strings.Join(st.OutOfService, " "))}, {"drained_workers", fmt.Sprint(st.Drained)},
		{"workers", fmt.Sprint(st.Workers)}, {"upstreams", fmt.Sprint(st.Upstreams)},
	}
	for _, state := range slices.Sorted(maps.Keys(st.Jobs)) {
		rows = append(rows, []string{"jobs_" + string(state), fmt.Sprint(st.Jobs[state])})
	}
	if len(st.Jobs) == 0 {
		rows = append(rows, []string{"jobs_" + string(model.JobWaiting), "0"})
	}
	for _, m := range st.Replica.Members {
		kind := "learner"
		if m.Voter {
			kind = "voter"
		}
		rows = append(rows, []string{"member", fmt.Sprintf("%s %s %s", m.Name, m.Address, kind)})
	}
	return table(w, "FIELD VALUE", rows)
}
