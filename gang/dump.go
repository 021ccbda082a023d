package gang

import (
	"fmt"
	"slices"
	"strings"
)

// dump is the JSON form of the leader's own state.
type dump struct {
	Term     uint64          `json:"term"`
	Attempts []dumpedAttempt `json:"attempts"`
	Waiting  []string        `json:"waiting"`
	Workers  []dumpedWorker  `json:"workers"`
	Policy   any             `json:"policy"`
}

type dumpedAttempt struct {
	Job     string   `json:"job"`
	Attempt int      `json:"attempt"`
	State   string   `json:"state"`
	Tasks   []string `json:"tasks"`
	Reclaim string   `json:"reclaim,omitempty"`
}

type dumpedWorker struct {
	Name      string `json:"name"`
	PollAgeMS int64  `json:"poll_age_ms"`
	Silent    bool   `json:"silent"`
	Pending   int    `json:"pending_commands"`
	Tasks     int    `json:"tasks"`
}

// Dump returns the leader's own state with lists in a fixed order, or nil if another instance leads.
func (d *Driver) Dump() any {
	l := d.leader.Load()
	if l == nil {
		return nil
	}
	now := l.cfg.Now()
	out := dump{Term: l.term}
	l.sessions.each(func(w *session) {
		w.mu.Lock()
		defer w.mu.Unlock()
		out.Workers = append(out.Workers, dumpedWorker{
			Name: w.worker.Name, PollAgeMS: now.Sub(w.lastPoll).Milliseconds(), Silent: w.silent, Pending: len(w.pending), Tasks: len(w.tasks),
		})
	})
	slices.SortFunc(out.Workers, func(a, b dumpedWorker) int { return strings.Compare(a.Name, b.Name) })
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, a := range l.attempts {
		da := dumpedAttempt{Job: id, Attempt: a.job.Attempt, State: string(a.job.State), Reclaim: a.reclaimReason}
		for _, t := range a.tasks {
			da.Tasks = append(da.Tasks, fmt.Sprintf("%s:%s", t.worker, t.state))
		}
		out.Attempts = append(out.Attempts, da)
	}
	for id := range l.waiting {
		out.Waiting = append(out.Waiting, id)
	}
	slices.SortFunc(out.Attempts, func(a, b dumpedAttempt) int { return strings.Compare(a.Job, b.Job) })
	slices.Sort(out.Waiting)
	out.Policy = l.policy.Dump()
	return out
}
