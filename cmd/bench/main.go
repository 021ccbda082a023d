// Command bench measures the system; each subcommand prints key=value lines and a summary.
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
		ShortUsage: "bench <subcommand> [flags]",
		Subcommands: []*ffcli.Command{
			stateCommand(),
		},
		Exec: func(context.Context, []string) error { return flag.ErrHelp },
	}
	err := root.ParseAndRun(context.Background(), os.Args[1:])
	if err != nil && !errors.Is(err, flag.ErrHelp) {
		fmt.Fprintln(os.Stderr, "bench:", err)
		os.Exit(1)
	}
}
