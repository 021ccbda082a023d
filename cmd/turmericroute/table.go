package main

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"
)

// table writes rows under a heading in aligned columns.
func table(w io.Writer, heading string, rows [][]string) error {
	tw := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(tw, strings.Join(strings.Fields(heading), "\t"))
	for _, r := range rows {
		fmt.Fprintln(tw, strings.Join(r, "\t"))
	}
	if err := tw.Flush(); err != nil {
		return fmt.Errorf("write table: %w", err)
	}
	return nil
}

// formatTime returns a time in milliseconds for people.
func formatTime(ms int64) string {
	if ms == 0 {
		return "-"
	}
	return time.UnixMilli(ms).UTC().Format(time.RFC3339)
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

// firstNonEmpty returns the first text that is not empty.
func firstNonEmpty(first, second string) string {
	if first == "" {
		return second
	}
	return first
}

func splitList(s string) []string {
	return strings.FieldsFunc(s, func(r rune) bool { return r == ',' || r == ' ' })
}
