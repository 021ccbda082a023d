package main

import (
	"context"
	"flag"
	"fmt"
	"io"

	"turmericroute/config"
	"turmericroute/serve"
)

const configValidateUsage = `
Validates declarations without calling an instance and prints all faults with
file, line and key.

EXAMPLE
  turmericroute config validate -f examples/cobreria/config.yaml`

func configValidateCommand() commandSpec {
	var path string
	return commandSpec{
		name: "validate", short: "validate declarations", long: configValidateUsage, local: true,
		flags: func(fs *flag.FlagSet) { declarationsFlag(fs, &path) },
		run: func(_ context.Context, s *session, _ []string) error {
			cfg, err := readDeclarations(path)
			if err != nil {
				return err
			}
			return s.print(nil, func(w io.Writer) error {
				_, err := fmt.Fprintf(w, "valid: %d data centres, %d teams, %d services\n", len(cfg.DataCentres), len(cfg.Teams), len(cfg.Services))
				return err
			})
		},
	}
}

func declarationsFlag(fs *flag.FlagSet, path *string) {
	fs.StringVar(path, "f", "", "YAML `file`, or folder of YAML files, with the declarations")
}

// readDeclarations reads and validates the declarations at path and checks that
// the guarantees fit with everything in service.
func readDeclarations(path string) (config.Config, error) {
	if path == "" {
		return config.Config{}, usagef("add -f FILE or -f FOLDER", "no declarations are named")
	}
	cfg, faults, err := config.ReadFile(path)
	if err != nil {
		return config.Config{}, usagef("check the path after -f", "%v", err)
	}
	if len(faults) > 0 {
		return config.Config{}, &usageError{
			message: fmt.Sprintf("%d faults in the declarations", len(faults)),
			hint:    "correct the lines above; nothing was changed", faults: config.FaultStrings(faults),
		}
	}
	if short := serve.Shortages(cfg.AllInService()); len(short) > 0 {
		return config.Config{}, &usageError{
			message: "the declared racks cannot hold all guarantees",
			hint:    "lower the guarantees or declare more racks; nothing was changed", faults: short,
		}
	}
	return cfg, nil
}
