package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"strings"

	"turmericroute/client"
	"turmericroute/state"
)

const configHistoryUsage = `
Lists accepted patches, oldest first. The history keeps the last 4,096.

EXAMPLE
  turmericroute config history -since 1200`

func configHistoryCommand() commandSpec {
	var since uint64
	return commandSpec{
		name: "history", short: "list accepted patches", long: configHistoryUsage,
		flags: func(fs *flag.FlagSet) { fs.Uint64Var(&since, "since", 0, "only patches after this version") },
		run: withClient(func(ctx context.Context, s *session, c *client.Client, _ []string) error {
			records, err := c.History(ctx, since)
			if err != nil {
				return err
			}
			return s.print(records, func(w io.Writer) error {
				return table(w, "VERSION ACCEPTED AUTHOR PATCH REASON CHANGES", historyRows(records))
			})
		}),
	}
}

func historyRows(records []state.Record) [][]string {
	rows := make([][]string, 0, len(records))
	for _, r := range records {
		var changes []string
		for _, c := range r.Patch.Changes {
			changes = append(changes, c.String())
		}
		rows = append(rows, []string{
			fmt.Sprint(r.Version), formatTime(r.AtMS), orDash(r.Patch.Author), r.Patch.ID, orDash(r.Patch.Reason), strings.Join(changes, "; "),
		})
	}
	return rows
}
