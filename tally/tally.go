package tally

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"turmericroute/batch"
	"turmericroute/loss"
)

// maxLineBytes bounds a line of a log; stack traces are the longest.
const maxLineBytes = 1 << 20

// Job is what logs say of a job.
type Job struct {
	Queue string
	Tasks int
	// Work is the estimated work in core-seconds.
	Work      float64
	Objective time.Duration
	// Cancelled jobs are left out of the table.
	Cancelled, Refused, Succeeded bool
	Took                          time.Duration
	// Attempts is the number of gang runs, Ends the number of ended runs by reason.
	Attempts int
	Ends     map[string]int
	Losses   loss.Table
	seen     map[attempt]bool
}

// attempt identifies a run of a step; the members of a gang share its number.
type attempt struct{ round, step, run int }

// InTime reports whether the job succeeded within a number of its objectives.
func (j *Job) InTime(objectives int) bool {
	return j.Succeeded && j.Took <= time.Duration(objectives)*j.Objective
}

// Jobs holds jobs by ID.
type Jobs map[string]*Job

func (m Jobs) job(id string) *Job {
	if m[id] == nil {
		m[id] = &Job{Ends: map[string]int{}, Losses: loss.Table{}, seen: map[attempt]bool{}}
	}
	return m[id]
}

// ReadLog adds what the log of one or several instances says of jobs.
func (m Jobs) ReadLog(r io.Reader) error {
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, maxLineBytes)
	for sc.Scan() {
		if strings.Contains(sc.Text(), "event=") {
			m.add(loss.Fields(sc.Text()))
		}
	}
	if err := sc.Err(); err != nil {
		return fmt.Errorf("read log: %w", err)
	}
	return nil
}

func (m Jobs) add(f map[string]string) {
	switch f["event"] {
	case "job_accepted", "job_refused":
		m.addSubmission(f)
	case "job_cancelled":
		m.job(f["job"]).Cancelled = true
	case "job_ended":
		j := m.job(f["job"])
		j.Succeeded = f["state"] == string(batch.JobSucceeded)
		j.Took = milliseconds(f["took_ms"])
	case "start_ordered":
		m.addAttempt(f)
	case "run_ended":
		if f["err"] == "null" {
			m.addAttempt(f)
			m.addEnd(f)
		}
	case "late_end":
		m.addEnd(f)
	case "gang_loss_resolved":
		if j, _, ok := m.jobOfTask(f); ok {
			runs, lost := int(loss.Number(f["runs"])), loss.Number(f["lost"])
			j.Losses.Add(loss.Unresolved, -runs, -lost)
			j.Losses.Add(loss.Cause(f["cause"]), runs, lost)
		}
	}
}

// addSubmission adds an accepted or refused job. One that has been refused may be accepted later.
func (m Jobs) addSubmission(f map[string]string) {
	if f["job"] == "" || f["queue"] == "" || f["event"] == "job_accepted" && f["err"] != "null" {
		return
	}
	j := m.job(f["job"])
	if f["event"] == "job_refused" && j.Queue != "" && !j.Refused {
		return
	}
	j.Refused = f["event"] == "job_refused"
	j.Queue, j.Tasks, j.Work = f["queue"], int(loss.Number(f["tasks"])), loss.Number(f["work"])
	j.Objective = milliseconds(f["objective_ms"])
}

func (m Jobs) jobOfTask(f map[string]string) (*Job, batch.TaskID, bool) {
	id, err := batch.ParseTaskID(f["task"])
	if err != nil {
		return nil, id, false
	}
	return m.job(id.Job), id, true
}

func (m Jobs) addAttempt(f map[string]string) {
	if j, id, ok := m.jobOfTask(f); ok {
		j.seen[attempt{id.Round, id.Step, int(loss.Number(f["run"]))}] = true
		j.Attempts = len(j.seen)
	}
}

func (m Jobs) addEnd(f map[string]string) {
	j, _, ok := m.jobOfTask(f)
	if !ok {
		return
	}
	j.Ends[f["how"]]++
	if c := loss.Cause(f["cause"]); c != loss.None {
		j.Losses.Add(c, 1, loss.Number(f["lost"]))
	}
	if wait := loss.Number(f["waited"]); wait > 0 {
		j.Losses.Add(loss.GangWait, 1, wait)
	}
}

func milliseconds(s string) time.Duration {
	return time.Duration(loss.Number(s) * float64(time.Millisecond))
}

// Measure is what the size of a job is taken from.
type Measure string

// The measures of size.
const (
	ByTasks Measure = "tasks"
	ByWork  Measure = "work"
)

func (b Measure) size(j *Job) float64 {
	if b == ByTasks {
		return float64(j.Tasks)
	}
	return j.Work
}

// Group is a part of the jobs of a queue that are of similar size.
type Group struct {
	Queue, Name string
	Jobs        []*Job
	// Smallest and Largest are the sizes of its jobs.
	Smallest, Largest float64
}

// bounds are the upper bounds of the groups of a queue, as shares of its jobs by size.
var bounds = []struct {
	name string
	upto float64
}{{"smaller half", 0.5}, {"next fifth", 0.7}, {"fifth below", 0.9}, {"largest tenth", 1}}

// Groups returns the jobs with an objective that were not cancelled, by queue and size, after a group of all jobs of the
// queue.
func (m Jobs) Groups(by Measure) []Group {
	queues := map[string][]*Job{}
	for _, j := range m {
		if j.Objective > 0 && !j.Cancelled {
			queues[j.Queue] = append(queues[j.Queue], j)
		}
	}
	var out []Group
	for q, jobs := range queues {
		slices.SortFunc(jobs, func(a, b *Job) int {
			return cmp.Or(cmp.Compare(by.size(a), by.size(b)), cmp.Compare(a.Work, b.Work), cmp.Compare(a.Took, b.Took))
		})
		out = append(out, newGroup(q, "all", jobs, by))
		from := 0
		for _, b := range bounds {
			to := int(b.upto * float64(len(jobs)))
			if to > from {
				out = append(out, newGroup(q, b.name, jobs[from:to], by))
			}
			from = max(from, to)
		}
	}
	slices.SortStableFunc(out, func(a, b Group) int { return cmp.Compare(a.Queue, b.Queue) })
	return out
}

func newGroup(queue, name string, jobs []*Job, by Measure) Group {
	return Group{Queue: queue, Name: name, Jobs: jobs, Smallest: by.size(jobs[0]), Largest: by.size(jobs[len(jobs)-1])}
}
