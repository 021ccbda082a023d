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
Runs three control and two entry instances in this process over loopback
sockets, with fake workers and upstreams, loads an example configuration and
demonstrates the main guarantees: a gang starts whole, a guaranteed shape is
reclaimed from a borrower, a request is answered, a non-idempotent request that
is resent to another entry runs once, a stale patch is refused, a data centre is
taken out of service and returned.

Prints one line with the time for each step and fails if a step fails. It takes
less than 30 s and deletes its files. With -logs the logs of the instances go to
standard error.`

func tryCommand() commandSpec {
	var logs bool
	return commandSpec{
		name: "try", short: "demonstrate the whole system in one process", long: tryUsage, local: true,
		flags: func(fs *flag.FlagSet) {
			fs.BoolVar(&logs, "logs", false, "write the logs of all instances to standard error")
		},
		run: func(ctx context.Context, s *session, _ []string) error {
			logger := log.NewNopLogger()
			if logs {
				logger = serve.NewLogger(s.err, "info")
			}
			if err := trial.Run(ctx, trial.Config{Out: s.out, Logger: logger}); err != nil {
				return &hintedError{err: fmt.Errorf("try: %w", err), hint: "run it again with -logs and look for the failed step"}
			}
			return nil
		},
	}
}
