package main

import (
	"context"
	"flag"
	"fmt"

	"turmericroute/platform"
)

const platformUsage = `
Runs one instance on the users' platform until it receives a termination signal.
The platform writes the settings file and passes its path in the environment. The
addresses in the settings determine the roles; logs go to standard output.

EXAMPLE
  turmericroute platform`

func platformCommand() commandSpec {
	var cfg platform.Config
	return commandSpec{
		name: "platform", short: "run an instance on the users' platform", long: platformUsage, local: true,
		flags: func(fs *flag.FlagSet) {
			fs.StringVar(&cfg.PeerListen, "peer-listen", "", "`HOST:PORT` to listen on for other instances, if they connect through a proxy")
			fs.StringVar(&cfg.PeerSource, "peer-source", "", "local `IP` address of connections to other instances, empty to let the system choose")
		},
		run: func(ctx context.Context, s *session, _ []string) error {
			cfg.LogOutput = s.out
			if err := platform.Run(ctx, cfg); err != nil {
				return fmt.Errorf("run on the platform: %w", err)
			}
			return nil
		},
	}
}
