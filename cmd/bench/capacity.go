package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"turmericroute/config"
	"turmericroute/serve"
	"turmericroute/sizing"
)

const capacityUsage = `Starts seven instances as processes for each size, with fake workers in this
process, fills the workers with small tasks, and measures the CPU time, memory and
traffic of each role. Then prints the slopes that docs/CAPACITY.md uses.`

// capacityCommand measures the resource use of each role at several sizes.
func capacityCommand() *ffcli.Command {
	fs := flag.NewFlagSet("capacity", flag.ContinueOnError)
	sizes := fs.String("workers", "220,440,880", "comma-separated sizes to measure, in workers")
	window := fs.Duration("window", 6*time.Second, "measurement time for each size")
	patches := fs.Int("patches", 10, "number of configuration changes to time at each size")
	events := fs.Bool("events", true, "at the last size, also measure the loss of the leader, a rack and a data centre")
	return &ffcli.Command{
		Name: "capacity", ShortUsage: "bench capacity [flags]", ShortHelp: "measures the resource use of each role at several sizes",
		LongHelp: capacityUsage, FlagSet: fs,
		Exec: func(ctx context.Context, _ []string) error {
			exe, err := os.Executable()
			if err != nil {
				return fmt.Errorf("find own executable: %w", err)
			}
			cfg := sizing.Config{
				Binary: exe, Command: []string{"instance"}, TasksPerWorker: float64(sizing.DesignTasks) / sizing.DesignWorkers,
				Window: *window, Patches: *patches, Events: *events,
			}
			for _, s := range strings.Split(*sizes, ",") {
				n, err := strconv.Atoi(s)
				if err != nil || n < 1 || n > 2000 {
					return fmt.Errorf("size %q is not a number from 1 to 2000", s)
				}
				cfg.Workers = append(cfg.Workers, n)
			}
			return sizing.Run(ctx, cfg, os.Stdout)
		},
	}
}

// instanceCommand runs one instance, so that measurements need only this binary.
func instanceCommand() *ffcli.Command {
	return &ffcli.Command{
		Name: "instance", ShortUsage: "bench instance SETTINGS", ShortHelp: "runs one instance like turmericroute serve",
		FlagSet: flag.NewFlagSet("instance", flag.ContinueOnError),
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return fmt.Errorf("instance takes one settings file")
			}
			s, faults, err := serve.ReadSettings(args[0])
			if err != nil {
				return fmt.Errorf("read settings: %w", err)
			}
			if len(faults) > 0 {
				return fmt.Errorf("settings have faults: %v", config.FaultStrings(faults))
			}
			return serve.Run(ctx, s, serve.NewLogger(os.Stderr, s.LogLevel))
		},
	}
}
