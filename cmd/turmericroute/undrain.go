package main

import (
	"context"

	"turmericroute/client"
)

const undrainUsage = `
Returns a data centre or a worker to service.

EXAMPLES
  turmericroute undrain -reason "cooling repaired" data-centre norte
  turmericroute undrain worker norte-r1-w3`

func undrainCommand() leaf {
	p := &patchFlags{}
	return leaf{
		name: "undrain", args: "data-centre|worker NAME", short: "return a data centre or worker to service",
		long: undrainUsage, minArgs: 2, maxArgs: 2, flags: p.registerReason,
		run: call(func(ctx context.Context, s *session, c *client.Client, args []string) error {
			return s.setService(ctx, c, p, target{kind: args[0], name: args[1]})
		}),
	}
}
