package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"sort"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
)

const stateUsage = `Measures the replicated state over loopback with real files: commit latency
and group commit on three instances, time without a leader after a leader failure,
time until a patch is in force on nine instances, recovery time and disk use after
1,300 and 13,000 changes, and the cost of an idle instance. All instances run in
this process; latencies are compared with an append and sync in the same run.`

// figures maps the names of measured figures to their values.
type figures map[string]float64

func (f figures) print() {
	names := make([]string, 0, len(f))
	for name := range f {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		fmt.Printf("%s=%.4g\n", name, f[name])
	}
}

var summaryFigures = []string{
	"commit_p50_ratio", "commit_p99_ratio", "group_commit_ratio", "leaderless_p99_ms", "in_force_p99_ms",
	"recovery_growth_ratio", "recovery_steady_ratio", "disk_growth_ratio", "idle_kb_s", "idle_cpu_pct", "lost_commits",
}

func stateCommand() *ffcli.Command {
	fs := flag.NewFlagSet("bench state", flag.ExitOnError)
	only := fs.String("only", "", "run only these comma-separated parts: commit, leader, patch, recovery, idle")
	verbose := fs.Bool("v", false, "log the events of the instances")
	return &ffcli.Command{
		Name: "state", ShortUsage: "bench state [flags]", ShortHelp: "measures the replicated state", LongHelp: stateUsage,
		FlagSet: fs,
		Exec: func(ctx context.Context, _ []string) error {
			return runState(ctx, *only, *verbose)
		},
	}
}

func runState(ctx context.Context, only string, verbose bool) error {
	dir, err := os.MkdirTemp("", "bench-state-")
	if err != nil {
		return fmt.Errorf("create folder: %w", err)
	}
	defer os.RemoveAll(dir) //nolint:errcheck // temporary files.
	f := figures{}
	parts := []struct {
		name string
		run  func(context.Context, cluster, figures) error
	}{
		{"recovery", measureRecovery}, {"commit", measureCommit}, {"patch", measurePatch},
		{"idle", measureIdle}, {"leader", measureLeaderless},
	}
	for _, p := range parts {
		if only != "" && !strings.Contains(","+only+",", ","+p.name+",") {
			continue
		}
		start := time.Now()
		c := cluster{dir: dir + "/" + p.name, verbose: verbose}
		if err := p.run(ctx, c, f); err != nil {
			return fmt.Errorf("measure %s: %w", p.name, err)
		}
		f["seconds_"+p.name] = time.Since(start).Seconds()
	}
	f.print()
	var summary []string
	for _, name := range summaryFigures {
		if v, ok := f[name]; ok {
			summary = append(summary, fmt.Sprintf("%s=%.3g", name, v))
		}
	}
	fmt.Println("summary", strings.Join(summary, " "))
	return nil
}

// durationQuantile returns the q-quantile of list, or 0 if it is empty. It sorts list in place.
func durationQuantile(list []time.Duration, q float64) time.Duration {
	if len(list) == 0 {
		return 0
	}
	sort.Slice(list, func(i, j int) bool { return list[i] < list[j] })
	return list[min(len(list)-1, int(q*float64(len(list))))]
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
