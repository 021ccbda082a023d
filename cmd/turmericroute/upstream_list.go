package main

import (
	"context"
	"fmt"
	"io"

	"turmericroute/client"
	"turmericroute/model"
)

const upstreamListUsage = `
Lists announced upstreams. Upstreams that have left stay listed until they
return with a new incarnation.

EXAMPLE
  turmericroute upstream list`

func upstreamListCommand() commandSpec {
	return commandSpec{
		name: "list", short: "list upstreams", long: upstreamListUsage,
		run: withClient(func(ctx context.Context, s *session, c *client.Client, _ []string) error {
			list, err := c.Upstreams(ctx)
			if err != nil {
				return err
			}
			return s.print(list, func(w io.Writer) error {
				return table(w, "NAME SERVICE DATA_CENTRE ADDRESS SLOTS CONNECTIONS STATE", upstreamRows(list))
			})
		}),
	}
}

func upstreamRows(list []model.Upstream) [][]string {
	rows := make([][]string, 0, len(list))
	for _, u := range list {
		state := "announced"
		if u.Left {
			state = "left"
		}
		rows = append(rows, []string{
			u.Name, orDash(u.Service), orDash(u.DataCentre), orDash(u.Address), fmt.Sprint(u.Slots), fmt.Sprint(u.Connections), state,
		})
	}
	return rows
}
