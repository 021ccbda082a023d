package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"

	"turmericroute/loss"
)

// lossCommand prints the work that the runs in logs have lost, by cause.
func lossCommand() *ffcli.Command {
	return &ffcli.Command{
		Name: "loss", ShortUsage: "bench loss FILE...", ShortHelp: "prints the runs and core-seconds lost in log files by cause",
		FlagSet: flag.NewFlagSet("bench loss", flag.ContinueOnError),
		Exec: func(_ context.Context, files []string) error {
			t := loss.Table{}
			for _, file := range files {
				if err := addLog(t, file); err != nil {
					return err
				}
			}
			return t.Write(os.Stdout) //nolint:wrapcheck // says what was written.
		},
	}
}

func addLog(t loss.Table, file string) error {
	f, err := os.Open(file)
	if err != nil {
		return fmt.Errorf("open log: %w", err)
	}
	defer f.Close()
	if err := loss.ReadLog(f, t); err != nil {
		return fmt.Errorf("%s: %w", file, err)
	}
	return nil
}
