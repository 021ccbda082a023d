package main

import (
	"context"
	"flag"
	"fmt"

	"github.com/go-kit/log"

	"turmericroute/serve"
	"turmericroute/trial"
)

const tryUsage = `
Runs three control and two entry instances inside this process over loopback
sockets, with small fake workers and upstreams, loads an example configuration
and goes through the main promises: a gang that starts whole, a guaranteed shape
reclaimed from a borrower, a request answered, a non-idempotent request resent
to another entry and run once, a stale patch refused, a data centre taken out of
service and returned.

Prints one line a step with its time, ends with an error if a step fails, takes
less than 30 s and leaves nothing behind. With -logs the instances' logs go to
standard error.`

func tryCommand() commandSpec {
	var logs bool
	return commandSpec{
		name: "try", short: "show the whole system inside one process", long: tryUsage, local: true,
		flags: func(fs *flag.FlagSet) {
			fs.BoolVar(&logs, "logs", false, "write the logs of all instances to standard error")
		},
		run: func(ctx context.Context, s *session, _ []string) error {
			logger := log.NewNopLogger()
			if logs {
				logger = serve.NewLogger(s.err, "info")
			}
			if err := trial.Run(ctx, trial.Config{Out: s.out, Logger: logger}); err != nil {
				return &hintedError{err: fmt.Errorf("try: %w", err), hint: "run it again with -logs and look for the step that failed"}
			}
			return nil
		},
	}
}
