package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"

	"turmericroute/tally"
)

// sizesCommand prints how jobs fared in logs, by queue and by size.
func sizesCommand() *ffcli.Command {
	fs := flag.NewFlagSet("bench sizes", flag.ContinueOnError)
	by := fs.String("by", string(tally.ByTasks), "what the size of a job is taken from: tasks or work")
	return &ffcli.Command{
		Name: "sizes", ShortUsage: "bench sizes [-by tasks|work] FILE...", ShortHelp: "prints by queue and size of jobs how many ended in time in log files, and what they lost",
		FlagSet: fs,
		Exec: func(_ context.Context, files []string) error {
			measure := tally.Measure(*by)
			if measure != tally.ByTasks && measure != tally.ByWork {
				return fmt.Errorf("unknown measure %q of the size of jobs", *by)
			}
			for _, file := range files {
				jobs := tally.Jobs{}
				if err := readJobs(jobs, file); err != nil {
					return err
				}
				if len(files) > 1 {
					fmt.Println(file)
				}
				if err := tally.Write(os.Stdout, jobs.Groups(measure)); err != nil {
					return err //nolint:wrapcheck // says what was written.
				}
			}
			return nil
		},
	}
}

func readJobs(jobs tally.Jobs, file string) error {
	f, err := os.Open(file)
	if err != nil {
		return fmt.Errorf("open log: %w", err)
	}
	defer f.Close()
	if err := jobs.ReadLog(f); err != nil {
		return fmt.Errorf("%s: %w", file, err)
	}
	return nil
}
