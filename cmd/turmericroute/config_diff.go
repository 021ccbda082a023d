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
Shows the lines that differ between two configurations, - for the first and +
for the second, in the order of names. A and B are each a version number of the
history, a path of declarations, or "running" for the version in force, which B
is when it is missing. "-f PATH" alone means "running PATH".

EXAMPLES
  turmericroute config diff -f declarations/
  turmericroute config diff 41 42
  turmericroute config diff 41 declarations/`

// maxDiffLines bounds the texts compared line by line; the comparison takes time and memory of their product.
const maxDiffLines = 5000

// runningConfig names the configuration in force.
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
		return [2]string{}, usagef("leave -f out, or one of the arguments", "two configurations are named besides -f")
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

// readConfig reads the configuration that a version number, "running" or a path names.
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

// diffLines compares two texts line by line; each result begins with " ", "-" or "+".
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

func withPrefix(sign string, lines []string) []string {
	out := make([]string, len(lines))
	for i, l := range lines {
		out[i] = sign + l
	}
	return out
}
