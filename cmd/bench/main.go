// Command bench measures parts of turmericroute against baselines in one run.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"
)

func main() {
	root := &ffcli.Command{
		Name:        "bench",
		ShortUsage:  "bench <subcommand> [flags]",
		Subcommands: []*ffcli.Command{routeCommand()},
		Exec:        func(context.Context, []string) error { return flag.ErrHelp },
	}
	err := root.ParseAndRun(context.Background(), os.Args[1:])
	if err != nil && !errors.Is(err, flag.ErrHelp) {
		fmt.Fprintln(os.Stderr, "bench:", err)
		os.Exit(1)
	}
}
