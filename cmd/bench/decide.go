package main

import (
	"context"
	"flag"
	"os"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"turmericroute/replay"
)

const decideHelp = `Replays seeded job traces through the placement policy and two baselines in
virtual time, and measures the cost of a decision at the large size. The last
lines give the ratios of the policy to the better baseline for each size.`

func decideCommand() *ffcli.Command {
	fs := flag.NewFlagSet("decide", flag.ContinueOnError)
	cfg := replay.Config{}
	fs.Int64Var(&cfg.Seed, "seed", 1, "seed of the first trace")
	fs.IntVar(&cfg.Seeds, "seeds", 1, "number of traces for each size")
	fs.StringVar(&cfg.Faults, "faults", "both", "traces with faults: both, on or off")
	fs.StringVar(&cfg.Plot, "plot", "", "SVG file to write the comparison to")
	fs.BoolVar(&cfg.SkipCost, "skip-cost", false, "skip the cost of a decision")
	sizes := fs.String("sizes", strings.Join(replay.SizeNames, ","), "sizes to replay")
	return &ffcli.Command{
		Name:       "decide",
		ShortUsage: "bench decide [flags]",
		ShortHelp:  "measures placement decisions",
		LongHelp:   decideHelp,
		FlagSet:    fs,
		Exec: func(ctx context.Context, _ []string) error {
			cfg.Sizes = strings.Split(*sizes, ",")
			return replay.Run(ctx, cfg, os.Stdout)
		},
	}
}
