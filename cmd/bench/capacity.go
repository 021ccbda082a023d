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
process, fills them with small tasks, and measures processor time, memory and
traffic of each role; then prints the slopes that docs/CAPACITY.md uses.`

// capacityCommand measures what each role costs at growing sizes.
func capacityCommand() *ffcli.Command {
	fs := flag.NewFlagSet("capacity", flag.ContinueOnError)
	sizes := fs.String("workers", "220,440,880", "sizes to measure, in workers")
	window := fs.Duration("window", 6*time.Second, "how long each size is observed")
	patches := fs.Int("patches", 10, "configuration changes timed at each size")
	events := fs.Bool("events", true, "put the last size through the loss of the leader, a rack and a data centre")
	return &ffcli.Command{
		Name: "capacity", ShortUsage: "bench capacity [flags]", ShortHelp: "costs of each role at growing sizes",
		LongHelp: capacityUsage, FlagSet: fs,
		Exec: func(ctx context.Context, _ []string) error {
			exe, err := os.Executable()
			if err != nil {
				return fmt.Errorf("find this program: %w", err)
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

// instanceCommand runs one instance, so that measurements need no second program.
func instanceCommand() *ffcli.Command {
	return &ffcli.Command{
		Name: "instance", ShortUsage: "bench instance SETTINGS", ShortHelp: "runs one instance, as turmericroute serve does",
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
				return fmt.Errorf("settings have faults: %v", config.Strings(faults))
			}
			return serve.Run(ctx, s, serve.NewLogger(os.Stderr, s.LogLevel))
		},
	}
}
