package gang

import (
	"time"

	"turmericroute/model"
	"turmericroute/state"
)

const (
	// triesOfJob bounds the ended attempts kept of one job.
	triesOfJob = 5
	// triedJobs bounds the jobs whose attempts are kept; the oldest are forgotten first.
	triedJobs = 4096
)

// tries keeps the ended attempts of jobs that did not succeed at once, for people.
type tries struct {
	by    map[string][]state.Try
	order []string
}

func newTries() tries { return tries{by: map[string][]state.Try{}} }

func (t *tries) of(id string) []state.Try {
	if list, ok := t.by[id]; ok {
		return list
	}
	return []state.Try{}
}

// add notes the end of an attempt, unless the job is done with it.
func (t *tries) add(a *attempt, j model.Job, now time.Time) {
	if j.State == model.JobDone {
		return
	}
	id := j.Spec.ID
	if _, ok := t.by[id]; !ok {
		t.order = append(t.order, id)
		if len(t.order) > triedJobs {
			delete(t.by, t.order[0])
			t.order = t.order[1:]
		}
	}
	try := state.Try{
		Attempt: a.job.Attempt, Workers: a.workers(), EndedMS: now.UnixMilli(), Reason: j.Reason, FailedOn: a.failedOn,
	}
	for _, task := range a.tasks {
		if task.worker == a.failedOn && task.state == model.TaskFailed {
			try.Message = task.message
		}
	}
	list := append(t.by[id], try)
	t.by[id] = list[max(0, len(list)-triesOfJob):]
}

func (a *attempt) workers() []string {
	out := make([]string, len(a.tasks))
	for i, t := range a.tasks {
		out[i] = t.worker
	}
	return out
}
