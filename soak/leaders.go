package soak

import (
	"bufio"
	"cmp"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"
)

// Events in the logs of control machines.
const (
	leadingBegan   = "leading_began"
	leadingEnded   = "leading_ended"
	processStarted = "started"
)

// leaderEvent is an event of a control machine that begins or ends its leadership.
type leaderEvent struct {
	at      time.Time
	machine int
	kind    string
}

// leaderEvents reads the events of leadership from the logs of the control machines, in the order of their times.
func (s *soak) leaderEvents() ([]leaderEvent, error) {
	var events []leaderEvent
	for i, m := range s.cluster.machines[:s.cfg.Controls] {
		f, err := os.Open(filepath.Join(s.cfg.Dir, m.name+".log"))
		if err != nil {
			return nil, fmt.Errorf("open log: %w", err)
		}
		lines := bufio.NewScanner(f)
		lines.Buffer(nil, 1<<20)
		for lines.Scan() {
			kind := logField(lines.Text(), "event")
			if kind != leadingBegan && kind != leadingEnded && kind != processStarted {
				continue
			}
			if at, err := time.Parse(time.RFC3339Nano, logField(lines.Text(), "ts")); err == nil {
				events = append(events, leaderEvent{at, i, kind})
			}
		}
		err = lines.Err()
		f.Close()
		if err != nil {
			return nil, fmt.Errorf("read log of %s: %w", m.name, err)
		}
	}
	slices.SortStableFunc(events, func(a, b leaderEvent) int { return cmp.Compare(a.at.UnixNano(), b.at.UnixNano()) })
	return events, nil
}

// logField returns the value of a field without quotes of a log line, empty if it has none.
func logField(line, name string) string {
	_, value, _ := strings.Cut(" "+line, " "+name+"=")
	value, _, _ = strings.Cut(value, " ")
	return value
}

// longestGap returns the longest time within a span in which no machine led. A killed
// process leads until the next one on its machine starts.
func longestGap(events []leaderEvent, within span) time.Duration {
	leading := map[int]bool{}
	longest, since := time.Duration(0), within.from
	for _, e := range events {
		before := len(leading)
		if e.kind == leadingBegan {
			leading[e.machine] = true
		} else {
			delete(leading, e.machine)
		}
		switch after := len(leading); {
		case before == 0 && after > 0:
			longest = max(longest, min(e.at.Sub(since), within.to.Sub(since)))
		case before > 0 && after == 0 && e.at.After(within.from):
			since = e.at
		}
	}
	if len(leading) == 0 {
		longest = max(longest, within.to.Sub(since))
	}
	return longest
}

// reportLeaders fills in what the report says about leaders.
func (s *soak) reportLeaders(r *Report) {
	events, err := s.leaderEvents()
	if err != nil {
		s.ledger.recordViolation("cannot read the logs: %v", err)
		return
	}
	for _, e := range events {
		switch e.kind {
		case leadingBegan:
			r.LeaderChanges++
		case leadingEnded:
			r.LeadingEnded++
		}
	}
	if !s.calm.to.IsZero() {
		r.CalmNoLeader = longestGap(events, s.calm)
	}
}
