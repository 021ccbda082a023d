package sizing

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"turmericroute/clock"
	"turmericroute/config"
	"turmericroute/itest"
	"turmericroute/model"
)

// fillJobPrefix is the prefix of the IDs of the jobs that fill the site.
const fillJobPrefix = "job-"

// runEvents runs the rare events of a year of operation on a filled site, one
// after another, and writes a line with the duration and the figures of each.
// jobs is the number of jobs that fill the site.
func (m *measurement) runEvents(ctx context.Context, out io.Writer, backends *itest.Backends, declared config.Config, jobs int) error {
	for _, e := range []struct {
		name string
		run  func(context.Context, *itest.Backends, config.Config, int) (string, error)
	}{
		{"urgent_start", m.measureUrgentStart}, {"leader_killed", m.measureLeaderLoss}, {"rack_lost", m.measureRackLoss}, {"data_centre_out", m.measureDataCentreOutage},
	} {
		start := time.Now()
		figures, err := e.run(ctx, backends, declared, jobs)
		if err != nil {
			return fmt.Errorf("event %s: %w", e.name, err)
		}
		fmt.Fprintf(out, "event=%s took_ms=%d %s\n", e.name, time.Since(start).Milliseconds(), figures)
	}
	return nil
}

// measureUrgentStart submits urgent gangs of guaranteed shapes one after another
// and reports the median and the maximum time until all tasks of a gang run.
func (m *measurement) measureUrgentStart(ctx context.Context, backends *itest.Backends, declared config.Config, _ int) (string, error) {
	const tries = 20
	var took []time.Duration
	for i := range tries {
		guarantee := declared.Teams[i%teamCount].Guarantees[0]
		spec := model.JobSpec{ID: fmt.Sprint("urgent-", i), Team: declared.Teams[i%teamCount].Name, Shape: guarantee.Shape, Urgent: true, Payload: `{"work_seconds": 1000}`}
		start := time.Now()
		if _, err := m.api.SubmitJob(ctx, spec); err != nil {
			return "", fmt.Errorf("submit: %w", err)
		}
		err := waitUntil(ctx, func() error {
			if n := backends.TaskRuns.Running(spec.ID); n != spec.Shape.Tasks {
				return fmt.Errorf("%d of %d tasks are running", n, spec.Shape.Tasks)
			}
			return nil
		})
		if err != nil {
			return "", err
		}
		took = append(took, time.Since(start))
		if _, err := m.api.CancelJob(ctx, spec.ID); err != nil {
			return "", fmt.Errorf("cancel: %w", err)
		}
	}
	slices.Sort(took)
	return fmt.Sprintf("tries=%d median_ms=%d max_ms=%d", tries, took[tries/2].Milliseconds(), took[tries-1].Milliseconds()), nil
}

// measureLeaderLoss kills the leader and reports the time until a configuration
// change is accepted again and the number of tasks that were run again. It
// returns an error unless all filling jobs run in the end.
func (m *measurement) measureLeaderLoss(ctx context.Context, backends *itest.Backends, _ config.Config, jobs int) (string, error) {
	oldLeader := m.cluster.Leader(ctx)
	if oldLeader == nil {
		return "", errors.New("no leader")
	}
	cfg, err := m.api.Config(ctx)
	if err != nil {
		return "", fmt.Errorf("read configuration: %w", err)
	}
	runsBefore := len(backends.TaskRuns.Runs())
	oldLeader.Kill()
	start := time.Now()
	t := cfg.Teams[0]
	t.Weight = 100
	if _, err := m.api.Patch(ctx, config.Patch{ID: "after-kill", BaseVersion: cfg.Version, Changes: []config.Change{{PutTeam: &t}}}); err != nil {
		return "", fmt.Errorf("patch: %w", err)
	}
	acceptedAfter := time.Since(start)
	if err := oldLeader.Start(); err != nil {
		return "", fmt.Errorf("restart: %w", err)
	}
	if err := waitUntil(ctx, func() error { return m.cluster.CheckReady(ctx) }); err != nil {
		return "", err
	}
	// Longer than the silence timeout: workers that did not find the new leader count as lost by then.
	if !clock.Sleep(ctx, 6*time.Second) {
		return "", fmt.Errorf("wait for workers: %w", ctx.Err())
	}
	return fmt.Sprintf("accepted_again_ms=%d reruns=%d", acceptedAfter.Milliseconds(), len(backends.TaskRuns.Runs())-runsBefore), m.checkRunning(ctx, jobs)
}

// measureRackLoss kills all workers of one rack and reports the time until all
// filling jobs run on other workers.
func (m *measurement) measureRackLoss(ctx context.Context, backends *itest.Backends, declared config.Config, jobs int) (string, error) {
	rack := declared.DataCentres[0].Racks[1]
	for i := range rack.Workers {
		backends.KillWorker(fmt.Sprintf("%s-%d", rack.Name, i+1))
	}
	tasksHit := 0
	for _, r := range backends.TaskRuns.Runs() {
		if strings.HasPrefix(r.Worker, rack.Name+"-") && strings.HasPrefix(r.Task.Job, fillJobPrefix) {
			tasksHit++
		}
	}
	start := time.Now()
	if err := waitUntil(ctx, func() error {
		return m.checkMovedOff(ctx, jobs, func(w string) bool { return strings.HasPrefix(w, rack.Name+"-") })
	}); err != nil {
		return "", err
	}
	return fmt.Sprintf("workers=%d tasks_hit=%d all_running_ms=%d", rack.Workers, tasksHit, time.Since(start).Milliseconds()), nil
}

// busiestDataCentre returns the name of the data centre with the most running tasks and their number.
func (m *measurement) busiestDataCentre(ctx context.Context, declared config.Config) (string, int, error) {
	runningJobs, err := m.api.Jobs(ctx, "", model.JobRunning)
	if err != nil {
		return "", 0, fmt.Errorf("list jobs: %w", err)
	}
	name, mostTasks := "", 0
	for _, dc := range declared.DataCentres {
		n := 0
		for _, j := range runningJobs {
			for _, w := range j.Placement.Workers {
				if strings.HasPrefix(w, dc.Name+"-") {
					n++
				}
			}
		}
		if n > mostTasks {
			name, mostTasks = dc.Name, n
		}
	}
	return name, mostTasks, nil
}

// measureDataCentreOutage takes the busiest data centre out of service and
// reports the time until all filling jobs run in other data centres.
func (m *measurement) measureDataCentreOutage(ctx context.Context, _ *itest.Backends, declared config.Config, jobs int) (string, error) {
	dc, tasks, err := m.busiestDataCentre(ctx, declared)
	if err != nil {
		return "", err
	}
	cfg, err := m.api.Config(ctx)
	if err != nil {
		return "", fmt.Errorf("read configuration: %w", err)
	}
	start := time.Now()
	_, err = m.api.Patch(ctx, config.Patch{ID: "out", BaseVersion: cfg.Version, Changes: []config.Change{
		{SetDataCentre: &config.DataCentreState{Name: dc, OutOfService: true, Reason: "measurement"}},
	}})
	if err != nil {
		return "", fmt.Errorf("patch: %w", err)
	}
	leaving := func(w string) bool { return strings.HasPrefix(w, dc+"-") }
	if err := waitUntil(ctx, func() error { return m.checkMovedOff(ctx, jobs, leaving) }); err != nil {
		return "", err
	}
	return fmt.Sprintf("tasks=%d all_running_elsewhere_ms=%d", tasks, time.Since(start).Milliseconds()), nil
}

// checkMovedOff returns an error unless all filling jobs run and none of them
// has a task on a worker for whose name leaving returns true.
func (m *measurement) checkMovedOff(ctx context.Context, jobs int, leaving func(string) bool) error {
	runningJobs, err := m.api.Jobs(ctx, "", model.JobRunning)
	if err != nil {
		return fmt.Errorf("list jobs: %w", err)
	}
	n := 0
	for _, j := range runningJobs {
		if !strings.HasPrefix(j.Spec.ID, fillJobPrefix) {
			continue
		}
		if slices.ContainsFunc(j.Placement.Workers, leaving) {
			return fmt.Errorf("job %s still has tasks on the affected workers", j.Spec.ID)
		}
		n++
	}
	if n != jobs {
		return fmt.Errorf("%d of %d jobs are running", n, jobs)
	}
	return nil
}
