package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"slices"

	"github.com/peterbourgon/ff/v3/ffcli"
)

// dayResult is the result of one day in a journal entry.
type dayResult struct {
	Name        string         `json:"name"`
	Seed        *uint64        `json:"seed"`
	BrokenRules map[string]any `json:"rules"`
	// MissedFigures are the figures that missed the gate of the day. A hunt itself prints broken rules only.
	MissedFigures []string `json:"short"`
	Fault         any      `json:"fault"`
	Served        *float64 `json:"served"`
}

func (d dayResult) failed() bool {
	return len(d.BrokenRules) > 0 || len(d.MissedFigures) > 0 || d.Fault != nil
}

// journalEntry holds the fields of a journal entry that describe its days.
type journalEntry struct {
	Command string      `json:"cmd"`
	Site    string      `json:"site"`
	Days    []dayResult `json:"days"`
}

// daysCommand lists the days in journal entries that broke a rule or missed their gate.
func daysCommand() *ffcli.Command {
	return &ffcli.Command{
		Name: "days", ShortUsage: "bench days FILE...", ShortHelp: "lists the days in journal entries that broke a rule or missed their gate",
		FlagSet: flag.NewFlagSet("bench days", flag.ContinueOnError),
		Exec: func(_ context.Context, files []string) error {
			var failed error
			for _, file := range files {
				if err := reportFailedDays(os.Stdout, file); err != nil {
					failed = errors.Join(failed, err)
				}
			}
			return failed
		},
	}
}

// reportFailedDays prints the failed days of one entry and a summary line. It
// returns an error if a day failed or the entry cannot be read.
func reportFailedDays(w io.Writer, file string) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return fmt.Errorf("read entry: %w", err)
	}
	var e journalEntry
	if err := json.Unmarshal(data, &e); err != nil {
		return fmt.Errorf("decode %s: %w", file, err)
	}
	var served []float64
	failed := 0
	for _, d := range e.Days {
		if d.Served != nil {
			served = append(served, *d.Served)
		}
		if !d.failed() {
			continue
		}
		failed++
		seed := uint64(0)
		if d.Seed != nil {
			seed = *d.Seed
		}
		fmt.Fprintf(w, "site=%s day=%q seed=%d rules=%v short=%q fault=%v\n", e.Site, d.Name, seed, d.BrokenRules, d.MissedFigures, d.Fault)
	}
	if len(served) > 0 {
		fmt.Fprintf(w, "site=%s cmd=%s days=%d failed=%d served_min=%.3f\n", e.Site, e.Command, len(e.Days), failed, slices.Min(served))
	}
	if failed > 0 {
		return fmt.Errorf("%d of %d days in %s failed", failed, len(e.Days), file)
	}
	return nil
}
