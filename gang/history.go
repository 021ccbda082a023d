package gang

import (
	"time"

	"turmericroute/model"
	"turmericroute/state"
)

const (
	// maxEndedPerJob bounds the ended attempts kept for one job.
	maxEndedPerJob = 5
	// maxHistoryJobs bounds the jobs whose ended attempts are kept; the oldest entries are dropped first.
	maxHistoryJobs = 4096
)

// attemptHistory keeps the ended attempts that did not complete their job, for job reports.
type attemptHistory struct {
	byJob map[string][]state.EndedAttempt
	order []string // job IDs in the order of their first entry
}

func newAttemptHistory() attemptHistory {
	return attemptHistory{byJob: map[string][]state.EndedAttempt{}}
}

// of returns the ended attempts of a job, the latest last.
func (h *attemptHistory) of(id string) []state.EndedAttempt {
	if list, ok := h.byJob[id]; ok {
		return list
	}
	return []state.EndedAttempt{}
}

// add records the end of an attempt, unless the job is done.
func (h *attemptHistory) add(a *attempt, j model.Job, now time.Time) {
	if j.State == model.JobDone {
		return
	}
	id := j.Spec.ID
	if _, ok := h.byJob[id]; !ok {
		h.order = append(h.order, id)
		if len(h.order) > maxHistoryJobs {
			delete(h.byJob, h.order[0])
			h.order = h.order[1:]
		}
	}
	ended := state.EndedAttempt{
		Attempt: a.job.Attempt, Workers: a.workers(), EndedMS: now.UnixMilli(), Reason: j.Reason, FailedOn: a.failedOn,
	}
	for _, task := range a.tasks {
		if task.worker == a.failedOn && task.state == model.TaskFailed {
			ended.Message = task.message
		}
	}
	list := append(h.byJob[id], ended)
	h.byJob[id] = list[max(0, len(list)-maxEndedPerJob):]
}

// workers returns the name of each task's worker.
func (a *attempt) workers() []string {
	out := make([]string, len(a.tasks))
	for i, t := range a.tasks {
		out[i] = t.worker
	}
	return out
}
