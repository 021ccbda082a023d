package main

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"
)

// table writes rows in aligned columns below the space-separated column names of heading.
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

// formatTime formats a Unix time in milliseconds as RFC 3339 in UTC, and 0 as "-".
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

// firstNonEmpty returns first, or second if first is empty.
func firstNonEmpty(first, second string) string {
	if first == "" {
		return second
	}
	return first
}

// splitList splits s at commas and spaces.
func splitList(s string) []string {
	return strings.FieldsFunc(s, func(r rune) bool { return r == ',' || r == ' ' })
}
