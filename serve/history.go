package serve

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
)

// LogLine is a parsed log line that refers to a job.
type LogLine struct {
	At   time.Time
	Node string
	// Text holds the remaining keys and values of the line.
	Text string
}

// jobKeys are the log keys whose values contain a job ID: by itself, as the end of a path or as the start of a task name.
var jobKeys = []string{"job", "task", "path", "step", "for"}

// JobHistory returns the log lines that refer to a job, sorted by time. The clocks of machines differ by
// milliseconds, so lines of different processes may appear out of order.
func JobHistory(id string, logs ...io.Reader) ([]LogLine, error) {
	var history []LogLine
	for _, r := range logs {
		lines := bufio.NewReader(r)
		for {
			line, err := lines.ReadString('\n')
			if l, ok := parseLogLine(line, id); ok {
				history = append(history, l)
			}
			if err == io.EOF {
				break
			}
			if err != nil {
				return nil, fmt.Errorf("read log: %w", err)
			}
		}
	}
	slices.SortStableFunc(history, func(a, b LogLine) int { return a.At.Compare(b.At) })
	return history, nil
}

// parseLogLine parses a line and reports whether it refers to the job.
func parseLogLine(line, id string) (LogLine, bool) {
	if !strings.Contains(line, id) {
		return LogLine{}, false
	}
	var l LogLine
	var rest []string
	found := false
	d := logfmt.NewDecoder(strings.NewReader(line))
	for d.ScanRecord() {
		for d.ScanKeyval() {
			key, value := string(d.Key()), string(d.Value())
			switch key {
			case "ts":
				l.At, _ = time.Parse(time.RFC3339Nano, value) //nolint:errcheck // lines without a time sort first.
			case "node":
				l.Node = value
			default:
				rest = append(rest, key+"="+value)
			}
			found = found || slices.Contains(jobKeys, key) && refersToJob(value, id)
		}
	}
	l.Text = strings.Join(rest, " ")
	return l, found
}

// refersToJob reports whether a value is the job's ID, one of its tasks or a path that ends with the ID.
func refersToJob(value, id string) bool {
	return value == id || strings.HasPrefix(value, id+".") || strings.HasSuffix(value, "/"+id)
}

// LongestGap returns the longest time between consecutive lines and the index of the line before it.
func LongestGap(history []LogLine) (after int, gap time.Duration) {
	for i := 1; i < len(history); i++ {
		if d := history[i].At.Sub(history[i-1].At); cmp.Compare(d, gap) > 0 {
			after, gap = i-1, d
		}
	}
	return after, gap
}
