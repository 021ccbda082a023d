package loss

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"
)

// Sum is the number of runs that lost work and their core-seconds.
type Sum struct {
	Runs        int     `json:"runs"`
	CoreSeconds float64 `json:"core_seconds"`
}

// Table holds the work lost by cause.
type Table map[Cause]Sum

// Add adds runs and their core-seconds to a cause, or takes them off if both are negative.
func (t Table) Add(c Cause, runs int, coreSeconds float64) {
	s := t[c]
	s.Runs, s.CoreSeconds = s.Runs+runs, s.CoreSeconds+coreSeconds
	if s.Runs == 0 {
		delete(t, c)
		return
	}
	t[c] = s
}

// AddRun adds an ended run.
func (t Table) AddRun(r Run) {
	work, wait := r.Lost()
	if r.Cause != None {
		t.Add(r.Cause, 1, work)
	}
	if wait > 0 {
		t.Add(GangWait, 1, wait)
	}
}

// Total returns the core-seconds of all causes.
func (t Table) Total() float64 {
	sum := 0.0
	for _, s := range t {
		sum += s.CoreSeconds
	}
	return sum
}

// Write writes the causes, those that lost most first, and their sum.
func (t Table) Write(w io.Writer) error {
	causes := slices.SortedFunc(maps.Keys(t), func(a, b Cause) int {
		return cmp.Or(cmp.Compare(t[b].CoreSeconds, t[a].CoreSeconds), cmp.Compare(a, b))
	})
	total := t.Total()
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(tw, "runs\tcore-seconds\tshare\tcause\t")
	for _, c := range causes {
		fmt.Fprintf(tw, "%d\t%.0f\t%.1f%%\t%s\t\n", t[c].Runs, t[c].CoreSeconds, 100*t[c].CoreSeconds/max(total, 1), c)
	}
	fmt.Fprintf(tw, "\t%.0f\t\ttotal\t\n", total)
	if err := tw.Flush(); err != nil {
		return fmt.Errorf("write table of lost work: %w", err)
	}
	return nil
}

// recentSeconds is the time that Recent covers.
const recentSeconds = 60

// Recent holds the work lost in the last minute, second by second.
type Recent struct {
	seconds [recentSeconds]struct {
		at    int64
		table Table
	}
}

// Add adds runs at a time.
func (r *Recent) Add(now time.Duration, c Cause, runs int, coreSeconds float64) {
	at := int64(now / time.Second)
	s := &r.seconds[at%recentSeconds]
	if s.table == nil || s.at != at {
		s.at, s.table = at, Table{}
	}
	s.table.Add(c, runs, coreSeconds)
}

// Table returns the work lost in the minute before now.
func (r *Recent) Table(now time.Duration) Table {
	sum := Table{}
	for _, s := range r.seconds {
		if s.table == nil || s.at <= int64(now/time.Second)-recentSeconds {
			continue
		}
		for c, n := range s.table {
			sum.Add(c, n.Runs, n.CoreSeconds)
		}
	}
	return sum
}
