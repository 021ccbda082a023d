package main

import (
	"context"
	"flag"

	"github.com/go-kit/log"

	"turmericroute/serve"
	"turmericroute/trial"
)

const tryUsage = `
Runs a whole deployment inside this process for less than a minute: three
control and two entry instances with fake workers and upstreams, on loopback
ports. It goes through the main promises step by step, prints one line for each,
and leaves nothing behind.

EXAMPLE
  turmericroute try`

func tryCommand() leaf {
	var logs bool
	return leaf{
		name: "try", short: "run a trial deployment and show what it does", long: tryUsage, local: true,
		flags: func(fs *flag.FlagSet) { fs.BoolVar(&logs, "logs", false, "print the logs of the instances") },
		run: func(ctx context.Context, s *session, _ []string) error {
			cfg := trial.Config{Out: s.out, Logger: log.NewNopLogger()}
			if logs {
				cfg.Logger = serve.NewLogger(s.err, "info")
			}
			if err := trial.Run(ctx, cfg); err != nil {
				return &hinted{err: err, hint: "run it again with -logs and look at the step that failed"}
			}
			return nil
		},
	}
}
