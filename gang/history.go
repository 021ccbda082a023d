package gang

import (
	"time"

	"turmericroute/model"
	"turmericroute/state"
)

const (
	// maxEndedPerJob bounds the ended attempts kept of one job.
	maxEndedPerJob = 5
	// maxHistoryJobs bounds the jobs whose attempts are kept; the oldest are forgotten first.
	maxHistoryJobs = 4096
)

// attemptHistory keeps the ended attempts of jobs that did not succeed at once, for people.
type attemptHistory struct {
	byJob map[string][]state.EndedAttempt
	order []string
}

func newAttemptHistory() attemptHistory {
	return attemptHistory{byJob: map[string][]state.EndedAttempt{}}
}

func (t *attemptHistory) of(id string) []state.EndedAttempt {
	if list, ok := t.byJob[id]; ok {
		return list
	}
	return []state.EndedAttempt{}
}

// add notes the end of an attempt, unless the job is done with it.
func (t *attemptHistory) add(a *attempt, j model.Job, now time.Time) {
	if j.State == model.JobDone {
		return
	}
	id := j.Spec.ID
	if _, ok := t.byJob[id]; !ok {
		t.order = append(t.order, id)
		if len(t.order) > maxHistoryJobs {
			delete(t.byJob, t.order[0])
			t.order = t.order[1:]
		}
	}
	try := state.EndedAttempt{
		Attempt: a.job.Attempt, Workers: a.workers(), EndedMS: now.UnixMilli(), Reason: j.Reason, FailedOn: a.failedOn,
	}
	for _, task := range a.tasks {
		if task.worker == a.failedOn && task.state == model.TaskFailed {
			try.Message = task.message
		}
	}
	list := append(t.byJob[id], try)
	t.byJob[id] = list[max(0, len(list)-maxEndedPerJob):]
}

func (a *attempt) workers() []string {
	out := make([]string, len(a.tasks))
	for i, t := range a.tasks {
		out[i] = t.worker
	}
	return out
}
