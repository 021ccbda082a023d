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

// LogLine is a log line that concerns a job.
type LogLine struct {
	At   time.Time
	Node string
	// Text is the line without its time and node.
	Text string
}

// jobKeys are the keys of log lines whose values name a job, alone, within a path or before the rest of a task's name.
var jobKeys = []string{"job", "task", "path", "step", "for"}

// JobHistory returns the lines of logs that concern a job, in the order of their times. Clocks of machines differ
// by milliseconds, so lines of several processes may change places.
func JobHistory(id string, logs ...io.Reader) ([]LogLine, error) {
	var out []LogLine
	for _, r := range logs {
		lines := bufio.NewReader(r)
		for {
			line, err := lines.ReadString('\n')
			if o, ok := parseLogLine(line, id); ok {
				out = append(out, o)
			}
			if err == io.EOF {
				break
			}
			if err != nil {
				return nil, fmt.Errorf("read log: %w", err)
			}
		}
	}
	slices.SortStableFunc(out, func(a, b LogLine) int { return a.At.Compare(b.At) })
	return out, nil
}

func parseLogLine(line, id string) (LogLine, bool) {
	if !strings.Contains(line, id) {
		return LogLine{}, false
	}
	var o LogLine
	var rest []string
	found := false
	d := logfmt.NewDecoder(strings.NewReader(line))
	for d.ScanRecord() {
		for d.ScanKeyval() {
			key, value := string(d.Key()), string(d.Value())
			switch key {
			case "ts":
				o.At, _ = time.Parse(time.RFC3339Nano, value) //nolint:errcheck // a line without a time comes first.
			case "node":
				o.Node = value
			default:
				rest = append(rest, key+"="+value)
			}
			found = found || slices.Contains(jobKeys, key) && refersToJob(value, id)
		}
	}
	o.Text = strings.Join(rest, " ")
	return o, found
}

// refersToJob reports whether a value is the job, one of its tasks or a path that ends with it.
func refersToJob(value, id string) bool {
	return value == id || strings.HasPrefix(value, id+".") || strings.HasSuffix(value, "/"+id)
}

// LongestGap returns the place in a history after which nothing happened for the longest time.
func LongestGap(list []LogLine) (after int, wait time.Duration) {
	for i := 1; i < len(list); i++ {
		if d := list[i].At.Sub(list[i-1].At); cmp.Compare(d, wait) > 0 {
			after, wait = i-1, d
		}
	}
	return after, wait
}
