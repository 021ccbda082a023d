package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"turmericroute/soak"
)

// soakCommand runs seeded soaks in sequence and keeps the logs of those with violations.
func soakCommand() *ffcli.Command {
	fs := flag.NewFlagSet("bench soak", flag.ContinueOnError)
	binary := fs.String("binary", "target/turmericroute", "path of the turmericroute binary")
	dir := fs.String("dir", "", "folder for logs; empty means a temporary folder")
	first := fs.Uint64("seed", uint64(time.Now().Unix()), "first seed")
	count := fs.Int("count", 1, "number of seeds")
	var cfg soak.Config
	fs.IntVar(&cfg.Controls, "controls", 0, "number of control processes, 0 for the default")
	fs.IntVar(&cfg.Entries, "entries", 0, "number of entry processes, 0 for the default")
	fs.IntVar(&cfg.Workers, "workers", 0, "number of workers, 0 for the default")
	fs.DurationVar(&cfg.FaultDuration, "faulty", 0, "duration of fault injection, 0 for the default")
	fs.BoolVar(&cfg.NoExpiryFaults, "no-expiry-faults", false, "leave out the faults around the expiry of leases, to play seeds from before them")
	fs.BoolVar(&cfg.NoIdleFaults, "no-idle-faults", false, "leave out the faults of workers that begin nothing, to play seeds from before them")
	fs.DurationVar(&cfg.Calm, "calm", 0, "duration of traffic without faults after the recovery, in which no answer may be missing")
	closing := fs.String("closing", "", "fault of all machines at the end: none, kill or disks; empty draws it from the seed")
	bounds := fs.String("bounds", string(soak.SmallBounds), "time bounds of the deployment: small or large")
	fs.IntVar(&cfg.Procs, "procs", 0, "GOMAXPROCS of the processes, 0 for the default")
	return &ffcli.Command{
		Name: "soak", ShortUsage: "bench soak [flags]", ShortHelp: "runs real processes under random faults and checks the invariants", FlagSet: fs,
		Exec: func(ctx context.Context, _ []string) error {
			cfg.Closing, cfg.Bounds = soak.Closing(*closing), soak.BoundsName(*bounds)
			root := *dir
			if root == "" {
				var err error
				if root, err = os.MkdirTemp("", "soak"); err != nil {
					return fmt.Errorf("create folder: %w", err)
				}
			}
			var failed error
			for seed := *first; seed < *first+uint64(*count); seed++ {
				soakCfg := cfg
				soakCfg.Binary, soakCfg.Seed, soakCfg.Dir = *binary, seed, filepath.Join(root, fmt.Sprint("seed-", seed))
				r, err := soak.Run(ctx, soakCfg)
				if err != nil {
					return fmt.Errorf("soak with seed %d: %w", seed, err)
				}
				fmt.Println(r)
				for _, v := range r.Violations {
					fmt.Printf("seed=%d violation=%q\n", seed, v)
				}
				if len(r.Violations) > 0 {
					failed = errors.Join(failed, fmt.Errorf("seed %d violates an invariant, logs in %s", seed, soakCfg.Dir))
				} else if err := os.RemoveAll(soakCfg.Dir); err != nil {
					return fmt.Errorf("remove logs: %w", err)
				}
			}
			return failed
		},
	}
}
