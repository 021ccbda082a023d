package main

import (
	"context"
	"fmt"

	"turmericroute/platform"
)

const platformUsage = `
Runs one instance on the users' platform, with the settings file that the
platform writes and names in the environment, until a termination signal. The
roles follow from the addresses in the settings; logs go to standard output.

EXAMPLE
  turmericroute platform`

func platformCommand() leaf {
	return leaf{
		name: "platform", short: "run an instance on the users' platform", long: platformUsage, local: true,
		run: func(ctx context.Context, s *session, _ []string) error {
			if err := platform.Run(ctx, s.out); err != nil {
				return fmt.Errorf("run on the platform: %w", err)
			}
			return nil
		},
	}
}
