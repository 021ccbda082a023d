// Command bench measures the system. Each subcommand prints its figures as key=value lines.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/peterbourgon/ff/v3/ffcli"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := root().ParseAndRun(ctx, os.Args[1:])
	stop()
	if err != nil && !errors.Is(err, flag.ErrHelp) {
		fmt.Fprintln(os.Stderr, "bench:", err)
		os.Exit(1)
	}
}

func root() *ffcli.Command {
	return &ffcli.Command{
		Name: "bench", ShortUsage: "bench SUBCOMMAND [flags]",
		ShortHelp:   "measures the system and prints key=value lines",
		FlagSet:     flag.NewFlagSet("bench", flag.ContinueOnError),
		Subcommands: []*ffcli.Command{capacityCommand(), daysCommand(), decideCommand(), instanceCommand(), lossCommand(), routeCommand(), sizesCommand(), soakCommand(), stateCommand()},
		Exec:        func(context.Context, []string) error { return flag.ErrHelp },
	}
}
