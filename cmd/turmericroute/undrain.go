package main

import (
	"context"

	"turmericroute/client"
)

const undrainUsage = `
Returns a data centre or worker to service and waits until the change is in force
on every ready instance. Progress, -timeout, -wait, -plan and exit code 6 work as
for drain.

EXAMPLES
  turmericroute undrain -reason "cooling repaired" data-centre norte
  turmericroute undrain worker norte-r1-w3`

func undrainCommand() commandSpec {
	f := &drainFlags{}
	return commandSpec{
		name: "undrain", args: "data-centre|worker NAME", short: "return a data centre or worker to service",
		long: undrainUsage, minArgs: 2, maxArgs: 2, flags: f.register, timeout: drainTimeout,
		run: withClient(func(ctx context.Context, s *session, c *client.Client, args []string) error {
			return s.setDrained(ctx, c, f, drainTarget{kind: args[0], name: args[1]})
		}),
	}
}
