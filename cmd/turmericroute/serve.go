package main

import (
	"context"
	"flag"
	"fmt"

	"turmericroute/config"
	"turmericroute/serve"
)

const serveUsage = `
Runs one instance with the roles of its settings until it receives an interrupt
or termination signal; it then finishes the requests in flight and transfers
leadership. All faults in the settings are reported before any port is opened.
With -check the settings are only validated.

EXAMPLE
  turmericroute serve -settings examples/cobreria/a1.yaml`

func serveCommand() commandSpec {
	var settings string
	var check bool
	return commandSpec{
		name: "serve", short: "run an instance", long: serveUsage, local: true,
		flags: func(fs *flag.FlagSet) {
			fs.StringVar(&settings, "settings", "", "YAML `file` with the settings of the process")
			fs.BoolVar(&check, "check", false, "validate the settings and exit")
		},
		run: func(ctx context.Context, s *session, _ []string) error {
			cfg, err := readSettings(settings)
			if err != nil {
				return err
			}
			if check {
				fmt.Fprintf(s.out, "valid: instance %s\n", cfg.Name)
				return nil
			}
			if err := serve.Run(ctx, cfg, serve.NewLogger(s.err, cfg.LogLevel)); err != nil {
				return &hintedError{err: fmt.Errorf("serve: %w", err), hint: "see the log lines above; docs/OPERATIONS.md lists common causes"}
			}
			return nil
		},
	}
}

func readSettings(path string) (serve.Settings, error) {
	if path == "" {
		return serve.Settings{}, usagef("add -settings FILE", "no settings file is named")
	}
	cfg, faults, err := serve.ReadSettings(path)
	if err != nil {
		return serve.Settings{}, usagef("check the path after -settings", "%v", err)
	}
	if len(faults) > 0 {
		return serve.Settings{}, &usageError{
			message: fmt.Sprintf("%d faults in the settings", len(faults)),
			hint:    "correct the lines above; nothing was started", faults: config.FaultStrings(faults),
		}
	}
	return cfg, nil
}
