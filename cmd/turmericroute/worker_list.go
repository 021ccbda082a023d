package main

import (
	"context"
	"fmt"
	"io"

	"turmericroute/client"
	"turmericroute/config"
	"turmericroute/model"
)

const workerListUsage = `
Lists registered workers with their rack, capacity and whether they are in
service.

EXAMPLE
  turmericroute worker list`

func workerListCommand() commandSpec {
	return commandSpec{
		name: "list", short: "list workers", long: workerListUsage,
		run: withClient(func(ctx context.Context, s *session, c *client.Client, _ []string) error {
			workers, err := c.Workers(ctx)
			if err != nil {
				return err
			}
			cfg, err := c.Config(ctx)
			if err != nil {
				return err
			}
			return s.print(workers, func(w io.Writer) error {
				return table(w, "NAME DATA_CENTRE RACK GPUS CORES MEMORY_MB SERVICE", workerRows(workers, cfg))
			})
		}),
	}
}

func workerRows(workers []model.Worker, cfg config.Config) [][]string {
	rows := make([][]string, 0, len(workers))
	for _, w := range workers {
		service := "in"
		if cfg.Drained(w.Name) || !cfg.InService(w.DataCentre) {
			service = "out"
		}
		rows = append(rows, []string{
			w.Name, w.DataCentre, w.Rack, fmt.Sprint(w.Capacity.GPUs), fmt.Sprint(w.Capacity.Cores), fmt.Sprint(w.Capacity.MemoryMB), service,
		})
	}
	return rows
}
