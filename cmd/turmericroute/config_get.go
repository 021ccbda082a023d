package main

import (
	"context"
	"io"

	"turmericroute/client"
	"turmericroute/config"
)

const configGetUsage = `
Prints the configuration in force as YAML that "config apply" reads back without
a change, or as JSON with its version.

EXAMPLE
  turmericroute config get > running.yaml`

func configGetCommand() leaf {
	return leaf{
		name: "get", short: "print the configuration in force", long: configGetUsage,
		run: call(func(ctx context.Context, s *session, c *client.Client, _ []string) error {
			cfg, err := c.Config(ctx)
			if err != nil {
				return err
			}
			return s.print(cfg, func(w io.Writer) error { return config.WriteYAML(w, cfg) })
		}),
	}
}
