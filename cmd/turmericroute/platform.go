package main

import (
	"context"
	"flag"
	"fmt"

	"turmericroute/platform"
)

const platformUsage = `
Runs one instance on the users' platform, with the settings file that the
platform writes and names in the environment, until a termination signal. The
roles follow from the addresses in the settings; logs go to standard output.

EXAMPLE
  turmericroute platform`

func platformCommand() commandSpec {
	var cfg platform.Config
	return commandSpec{
		name: "platform", short: "run an instance on the users' platform", long: platformUsage, local: true,
		flags: func(fs *flag.FlagSet) {
			fs.StringVar(&cfg.PeerListen, "peer-listen", "", "listen for other instances here, `HOST:PORT`, where a proxy stands at the address that they call")
		},
		run: func(ctx context.Context, s *session, _ []string) error {
			cfg.Out = s.out
			if err := platform.Run(ctx, cfg); err != nil {
				return fmt.Errorf("run on the platform: %w", err)
			}
			return nil
		},
	}
}
