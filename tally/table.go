package tally

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"

	"turmericroute/admit"
	"turmericroute/loss"
)

// Share returns the share of a group's jobs that succeeded within a number of their objectives.
func (g Group) Share(objectives int) float64 {
	n := 0
	for _, j := range g.Jobs {
		if j.InTime(objectives) {
			n++
		}
	}
	return float64(n) / float64(max(1, len(g.Jobs)))
}

// Losses returns the work that a group has lost by cause.
func (g Group) Losses() loss.Table {
	t := loss.Table{}
	for _, j := range g.Jobs {
		for c, s := range j.Losses {
			t.Add(c, s.Runs, s.CoreSeconds)
		}
	}
	return t
}

// Ends returns the number of ended runs by reason.
func (g Group) Ends() map[string]int {
	out := map[string]int{}
	for _, j := range g.Jobs {
		for how, n := range j.Ends {
			out[how] += n
		}
	}
	return out
}

func (g Group) attempts() float64 {
	n := 0
	for _, j := range g.Jobs {
		n += j.Attempts
	}
	return float64(n) / float64(max(1, len(g.Jobs)))
}

// Write writes a line for each group: the share of its jobs that ended within their objective and within three times
// that, runs per job, ended runs by reason, and lost core-seconds by cause.
func Write(w io.Writer, groups []Group) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "queue\tgroup\tsize\tjobs\tin time\tserved\truns a job\tended runs\tlost core-seconds")
	for _, g := range groups {
		losses := g.Losses()
		fmt.Fprintf(tw, "%s\t%s\t%.0f to %.0f\t%d\t%.2f\t%.2f\t%.2f\t%s\t%.0f: %s\n", g.Queue, g.Name, g.Smallest, g.Largest, len(g.Jobs),
			g.Share(1), g.Share(admit.LateFactor), g.attempts(), formatEnds(g.Ends()), losses.Total(), formatLosses(losses))
	}
	if err := tw.Flush(); err != nil {
		return fmt.Errorf("write table of jobs: %w", err)
	}
	return nil
}

func formatEnds(ends map[string]int) string {
	var out []string
	for _, how := range slices.Sorted(maps.Keys(ends)) {
		out = append(out, fmt.Sprintf("%s=%d", how, ends[how]))
	}
	return strings.Join(out, " ")
}

func formatLosses(t loss.Table) string {
	var out []string
	for _, c := range slices.Sorted(maps.Keys(t)) {
		out = append(out, fmt.Sprintf("%s=%.0f/%d", c, t[c].CoreSeconds, t[c].Runs))
	}
	return strings.Join(out, " ")
}
