package main

import (
	"context"
	"flag"
	"io"
	"strconv"

	"turmericroute/client"
	"turmericroute/config"
)

const configGetUsage = `
Prints the configuration in force as YAML, which "config apply" accepts without
resulting changes, or as JSON with its version. -version selects an earlier one;
the history keeps the last 4,096 changes.

EXAMPLES
  turmericroute config get > running.yaml
  turmericroute config get -version 41 > before.yaml`

func configGetCommand() commandSpec {
	version := runningConfig
	return commandSpec{
		name: "get", short: "print the configuration in force", long: configGetUsage,
		flags: func(fs *flag.FlagSet) {
			fs.StringVar(&version, "version", runningConfig, "`number` of an earlier version")
		},
		run: withClient(func(ctx context.Context, s *session, c *client.Client, _ []string) error {
			if _, err := strconv.ParseUint(version, 10, 64); err != nil && version != runningConfig {
				return usagef("see: turmericroute config history", "%q is not a version number", version)
			}
			cfg, err := readConfig(ctx, c, version)
			if err != nil {
				return err
			}
			return s.print(cfg, func(w io.Writer) error { return config.WriteYAML(w, cfg) })
		}),
	}
}
