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

// clock returns a time in milliseconds for people.
func clock(ms int64) string {
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

// orElse returns the first text that is not empty.
func orElse(first, second string) string {
	if first == "" {
		return second
	}
	return first
}

func words(s string) []string {
	return strings.FieldsFunc(s, func(r rune) bool { return r == ',' || r == ' ' })
}
