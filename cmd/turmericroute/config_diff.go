package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"

	"turmericroute/client"
	"turmericroute/config"
)

const configDiffUsage = `
Shows the lines that differ between two configurations sorted by name, with - for
the first and + for the second. A and B are each a version number in the history,
a path of declarations, or "running" for the version in force, which is the
default for B. "-f PATH" alone means "running PATH".

EXAMPLES
  turmericroute config diff -f declarations/
  turmericroute config diff 41 42
  turmericroute config diff 41 declarations/`

// maxDiffLines bounds the texts compared line by line: time and memory grow with the product of their lengths.
const maxDiffLines = 5000

// runningConfig is the argument that stands for the configuration in force.
const runningConfig = "running"

func configDiffCommand() commandSpec {
	var path string
	return commandSpec{
		name: "diff", args: "[A [B]]", short: "compare versions and declarations", long: configDiffUsage, maxArgs: 2,
		flags: func(fs *flag.FlagSet) { declarationsFlag(fs, &path) },
		run: withClient(func(ctx context.Context, s *session, c *client.Client, args []string) error {
			sources, err := diffSources(path, args)
			if err != nil {
				return err
			}
			var cfgs [2]config.Config
			for i, source := range sources {
				if cfgs[i], err = readConfig(ctx, c, source); err != nil {
					return err
				}
			}
			lines, err := diffConfigs(cfgs[0], cfgs[1])
			if err != nil {
				return err
			}
			return s.print(lines, func(w io.Writer) error { return printLines(w, lines) })
		}),
	}
}

// diffSources returns the names of the two configurations to compare.
func diffSources(path string, args []string) ([2]string, error) {
	switch {
	case path != "" && len(args) == 2:
		return [2]string{}, usagef("omit -f or one of the arguments", "-f cannot be combined with two configurations")
	case path != "" && len(args) == 1:
		return [2]string{args[0], path}, nil
	case path != "":
		return [2]string{runningConfig, path}, nil
	case len(args) == 2:
		return [2]string{args[0], args[1]}, nil
	case len(args) == 1:
		return [2]string{args[0], runningConfig}, nil
	default:
		return [2]string{}, usagef("add -f PATH, or one or two versions", "no declarations are named")
	}
}

// readConfig returns the configuration for a version number, "running" or a path of declarations.
func readConfig(ctx context.Context, c *client.Client, name string) (config.Config, error) {
	if name == runningConfig {
		return c.Config(ctx)
	}
	if version, err := strconv.ParseUint(name, 10, 64); err == nil {
		return c.ConfigAt(ctx, version)
	}
	return readDeclarations(name)
}

func printLines(w io.Writer, lines []string) error {
	for _, l := range lines {
		if _, err := fmt.Fprintln(w, l); err != nil {
			return fmt.Errorf("write differences: %w", err)
		}
	}
	return nil
}

// diffConfigs returns the lines that differ between two configurations sorted by name.
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
	cfg.DataCentres = sortedBy(cfg.DataCentres, func(d config.DataCentre) string { return d.Name })
	cfg.Teams = sortedBy(cfg.Teams, func(t config.Team) string { return t.Name })
	cfg.Services = sortedBy(cfg.Services, func(s config.Service) string { return s.Name })
	cfg.DrainedWorkers = sortedBy(cfg.DrainedWorkers, func(d config.Drain) string { return d.Worker })
	var b strings.Builder
	if err := config.WriteYAML(&b, cfg); err != nil {
		return "", err
	}
	return b.String(), nil
}

func sortedBy[T any](list []T, key func(T) string) []T {
	out := slices.Clone(list)
	slices.SortFunc(out, func(a, b T) int { return strings.Compare(key(a), key(b)) })
	return out
}

// diffLines compares two texts line by line and returns all lines, each with the
// prefix " ", "-" or "+". If a text exceeds maxDiffLines, all its lines count as different.
func diffLines(before, after string) []string {
	a, b := splitLines(before), splitLines(after)
	if len(a) > maxDiffLines || len(b) > maxDiffLines {
		return append(withPrefix("-", a), withPrefix("+", b)...)
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
	return append(append(out, withPrefix("-", a[i:])...), withPrefix("+", b[j:])...)
}

// commonLengths returns a table with the length of the longest common subsequence of a[i:] and b[j:] at [i][j].
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

func withPrefix(sign string, lines []string) []string {
	out := make([]string, len(lines))
	for i, l := range lines {
		out[i] = sign + l
	}
	return out
}
