package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"slices"
	"strings"

	"turmericroute/client"
	"turmericroute/config"
)

const configDiffUsage = `
Shows the lines that differ between the configuration in force (-) and the
declarations (+), in the order of names.

EXAMPLE
  turmericroute config diff -f declarations/`

// maxDiffLines bounds the texts compared line by line; the comparison takes time and memory of their product.
const maxDiffLines = 5000

func configDiffCommand() leaf {
	var path string
	return leaf{
		name: "diff", short: "compare declarations with the configuration in force", long: configDiffUsage,
		flags: func(fs *flag.FlagSet) { declarationsFlag(fs, &path) },
		run: call(func(ctx context.Context, s *session, c *client.Client, _ []string) error {
			declared, err := declarations(path)
			if err != nil {
				return err
			}
			running, err := c.Config(ctx)
			if err != nil {
				return err
			}
			lines, err := diffConfigs(running, declared)
			if err != nil {
				return err
			}
			return s.print(lines, func(w io.Writer) error { return printChanged(w, lines) })
		}),
	}
}

func printChanged(w io.Writer, lines []string) error {
	for _, l := range lines {
		if _, err := fmt.Fprintln(w, l); err != nil {
			return fmt.Errorf("write differences: %w", err)
		}
	}
	return nil
}

// diffConfigs returns the lines that differ between two configurations.
func diffConfigs(from, to config.Config) ([]string, error) {
	before, err := sortedYAML(from)
	if err != nil {
		return nil, err
	}
	after, err := sortedYAML(to)
	if err != nil {
		return nil, err
	}
	out := []string{}
	for _, l := range diffLines(before, after) {
		if l[0] != ' ' {
			out = append(out, l)
		}
	}
	return out, nil
}

func sortedYAML(cfg config.Config) (string, error) {
	cfg.DataCentres = sorted(cfg.DataCentres, func(d config.DataCentre) string { return d.Name })
	cfg.Teams = sorted(cfg.Teams, func(t config.Team) string { return t.Name })
	cfg.Services = sorted(cfg.Services, func(s config.Service) string { return s.Name })
	cfg.DrainedWorkers = sorted(cfg.DrainedWorkers, func(d config.Drain) string { return d.Worker })
	var b strings.Builder
	if err := config.WriteYAML(&b, cfg); err != nil {
		return "", err
	}
	return b.String(), nil
}

func sorted[T any](list []T, key func(T) string) []T {
	out := slices.Clone(list)
	slices.SortFunc(out, func(a, b T) int { return strings.Compare(key(a), key(b)) })
	return out
}

// diffLines compares two texts line by line; each result begins with " ", "-" or "+".
func diffLines(before, after string) []string {
	a, b := splitLines(before), splitLines(after)
	if len(a) > maxDiffLines || len(b) > maxDiffLines {
		return append(prefixed("-", a), prefixed("+", b)...)
	}
	common := commonLengths(a, b)
	var out []string
	i, j := 0, 0
	for i < len(a) && j < len(b) {
		switch {
		case a[i] == b[j]:
			out = append(out, " "+a[i])
			i, j = i+1, j+1
		case common[i+1][j] >= common[i][j+1]:
			out = append(out, "-"+a[i])
			i++
		default:
			out = append(out, "+"+b[j])
			j++
		}
	}
	return append(append(out, prefixed("-", a[i:])...), prefixed("+", b[j:])...)
}

// commonLengths returns the lengths of the longest common subsequences of all suffixes.
func commonLengths(a, b []string) [][]int32 {
	table := make([][]int32, len(a)+1)
	for i := range table {
		table[i] = make([]int32, len(b)+1)
	}
	for i := len(a) - 1; i >= 0; i-- {
		for j := len(b) - 1; j >= 0; j-- {
			if a[i] == b[j] {
				table[i][j] = table[i+1][j+1] + 1
			} else {
				table[i][j] = max(table[i+1][j], table[i][j+1])
			}
		}
	}
	return table
}

func splitLines(s string) []string {
	if s = strings.TrimRight(s, "\n"); s == "" {
		return nil
	}
	return strings.Split(s, "\n")
}

func prefixed(sign string, lines []string) []string {
	out := make([]string, len(lines))
	for i, l := range lines {
		out[i] = sign + l
	}
	return out
}
