package gang

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"turmericroute/config"
	"turmericroute/model"
	"turmericroute/place"
	"turmericroute/state"
)

const (
	// overviewMaxAge is how long an overview is cached, which bounds the load on
	// the leader whatever the number of requests.
	overviewMaxAge = 200 * time.Millisecond
	// maxWaitingListed bounds the waiting jobs listed in an overview.
	maxWaitingListed = 10
)

// Report answers an inquiry; the error is a *model.Error. It holds the leader's
// lock only while it copies what it needs, and sorts, counts and forecasts without it.
func (d *Driver) Report(ctx context.Context, q state.Inquiry) (state.Report, error) {
	l := d.leader.Load()
	if l == nil {
		return state.Report{}, model.NotRun(model.CodeNoLeader, "this instance is not the leader")
	}
	switch {
	case q.Overview:
		return state.Report{Overview: l.overview()}, nil
	case q.Job != "":
		r, err := l.jobReport(q.Job)
		return state.Report{Job: r}, err
	case q.Plan != nil:
		f, err := l.forecast(ctx, *q.Plan)
		return state.Report{Plan: f}, err
	default:
		return state.Report{}, model.NotRun(model.CodeInvalid, "the inquiry sets none of overview, job and plan")
	}
}

// overviewCache holds the last overview and when it was made.
type overviewCache struct {
	mu   sync.Mutex
	at   time.Time
	last *state.Overview
}

// overviewInput is the part of the leader's state that an overview is made from.
type overviewInput struct {
	summary    place.Summary
	waiting    []string
	placements [][]string // the workers of each placed job
}

// copyOverviewInput copies the input of an overview under the leader's lock.
func (l *leaderState) copyOverviewInput() overviewInput {
	l.mu.Lock()
	defer l.mu.Unlock()
	in := overviewInput{summary: l.policy.Summary(), waiting: make([]string, 0, len(l.waiting))}
	for id := range l.waiting {
		in.waiting = append(in.waiting, id)
	}
	for _, a := range l.attempts {
		in.placements = append(in.placements, a.job.Placement.Workers)
	}
	return in
}

// overview returns the cached overview, or makes one if it is older than overviewMaxAge.
func (l *leaderState) overview() *state.Overview {
	l.overviewCache.mu.Lock()
	defer l.overviewCache.mu.Unlock()
	now := l.cfg.Now()
	if l.overviewCache.last != nil && now.Sub(l.overviewCache.at) < overviewMaxAge {
		return l.overviewCache.last
	}
	in := l.copyOverviewInput()
	cfg := l.replica.Machine().Config()
	o := &state.Overview{
		Leader: l.replica.Status(), LeadingMS: now.Sub(l.start).Milliseconds(), ConfigVersion: cfg.Version,
		DataCentres: l.dataCentreStatuses(cfg, in), Teams: teamStatuses(in.summary), Shortages: shortages(in.summary.Shortages),
		Probation: probations(in.summary.Probation, now), Silent: []string{},
		Waiting: l.longestWaiting(in.waiting, now), WaitingCount: len(in.waiting),
	}
	for _, w := range l.replica.Machine().Workers() {
		if !l.sessions.get(w.Name).alive() {
			o.Silent = append(o.Silent, w.Name)
		}
	}
	l.overviewCache.at, l.overviewCache.last = now, o
	return o
}

// dataCentreStatuses counts the workers, jobs and tasks of each declared data centre.
func (l *leaderState) dataCentreStatuses(cfg config.Config, in overviewInput) []state.DataCentreStatus {
	out := make([]state.DataCentreStatus, len(cfg.DataCentres))
	index := map[string]int{}
	for i, dc := range cfg.DataCentres {
		index[dc.Name] = i
		out[i] = state.DataCentreStatus{Name: dc.Name, OutOfService: dc.OutOfService, Reason: dc.Reason, Usable: in.summary.Usable[dc.Name]}
		for _, r := range dc.Racks {
			out[i].Declared += r.Workers
		}
	}
	workerDC := map[string]int{}
	for _, w := range l.replica.Machine().Workers() {
		if i, ok := index[w.DataCentre]; ok {
			workerDC[w.Name] = i
			out[i].Registered++
		}
	}
	for _, workers := range in.placements {
		seen := map[int]bool{}
		for _, w := range workers {
			if i, ok := workerDC[w]; ok {
				out[i].Tasks++
				if !seen[i] {
					seen[i] = true
					out[i].Jobs++
				}
			}
		}
	}
	return out
}

func teamStatuses(s place.Summary) []state.TeamStatus {
	out := make([]state.TeamStatus, len(s.Teams))
	for i, t := range s.Teams {
		out[i] = state.TeamStatus(t)
	}
	return out
}

func shortages(list []place.Shortage) []state.Shortage {
	out := make([]state.Shortage, len(list))
	for i, s := range list {
		out[i] = state.Shortage{Team: s.Team, Guarantee: s.Guarantee + 1, Shape: s.Shape, Missing: s.Missing}
	}
	return out
}

func probations(list []place.Probation, now time.Time) []state.WorkerProbation {
	out := make([]state.WorkerProbation, len(list))
	for i, p := range list {
		out[i] = state.WorkerProbation{Worker: p.Worker, DataCentre: p.DataCentre, LeftMS: p.Until.Sub(now).Milliseconds(), FailedJobs: p.FailedJobs}
	}
	return out
}

// longestWaiting describes up to maxWaitingListed of the waiting jobs, those accepted first.
func (l *leaderState) longestWaiting(ids []string, now time.Time) []state.WaitingJob {
	jobs := make([]model.Job, 0, len(ids))
	for _, id := range ids {
		if j, ok := l.replica.Machine().Job(id); ok {
			jobs = append(jobs, j)
		}
	}
	slices.SortFunc(jobs, func(a, b model.Job) int {
		return cmp.Or(cmp.Compare(a.Accepted, b.Accepted), cmp.Compare(a.Spec.ID, b.Spec.ID))
	})
	jobs = jobs[:min(len(jobs), maxWaitingListed)]
	out := make([]state.WaitingJob, len(jobs))
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, j := range jobs {
		out[i] = state.WaitingJob{
			ID: j.Spec.ID, Team: j.Spec.Team, Shape: j.Spec.Shape, Urgent: j.Spec.Urgent,
			WaitedMS: max(0, now.UnixMilli()-j.Accepted), Why: l.policy.Explain(j.Spec.ID),
		}
	}
	return out
}

// jobReport explains why a job is in its state; the error is a *model.Error.
func (l *leaderState) jobReport(id string) (*state.JobReport, error) {
	j, ok := l.replica.Machine().Job(id)
	if !ok {
		return nil, model.NotRun(model.CodeNotFound, "no job %s", id)
	}
	j.Spec.Payload = ""
	l.mu.Lock()
	defer l.mu.Unlock()
	r := &state.JobReport{Job: j, WaitsFor: []state.BlockingJob{}, EndedAttempts: slices.Clone(l.history.of(id))}
	if j.State.Final() {
		r.Why = string(j.State)
		if j.Reason != "" {
			r.Why += ": " + j.Reason
		}
		return r, nil
	}
	now := l.cfg.Now()
	d, _ := l.policy.Detail(id)
	r.Why, r.Avoided = d.Reason, d.Avoided
	for _, holder := range d.Holders {
		r.WaitsFor = append(r.WaitsFor, l.blockingJob(holder))
	}
	switch {
	case len(d.Reserved) > 0:
		r.Reservation = &state.Reservation{
			Workers: d.Reserved, Guaranteed: d.Guaranteed, FreeInMS: max(0, d.FreeAt.Sub(now).Milliseconds()),
		}
	case d.ReserveAt.After(now):
		r.ReservationNote = fmt.Sprintf("none yet: the job can get one in %s", d.ReserveAt.Sub(now).Round(time.Second))
	case !d.ReserveAt.IsZero():
		r.ReservationNote = "none: other jobs have waited longer, or no workers can be reserved for it"
	}
	if a := l.attempts[id]; a != nil && a.reclaimReason != "" {
		r.Why += "; being stopped (" + a.reclaim.String() + "): " + a.reclaimReason
	}
	return r, nil
}

// blockingJob describes a job that holds resources that another job waits for.
func (l *leaderState) blockingJob(id string) state.BlockingJob {
	b := state.BlockingJob{ID: id}
	if a := l.attempts[id]; a != nil {
		b.Team, b.State, b.Reclaim = a.job.Spec.Team, string(a.job.State), a.reclaim.String()
	}
	return b
}

// String returns the name of the step, which is empty for reclaimNone.
func (s reclaimStep) String() string {
	return [...]string{"", "checkpoint", "throttle", "stop"}[s]
}
