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

// jobPrefix begins the IDs of the jobs that fill the site.
const jobPrefix = "job-"

// events puts a filled site through what happens in a year and writes how long each took.
func (m *measurement) events(ctx context.Context, out io.Writer, site *itest.Backends, declared config.Config, jobs int) error {
	for _, e := range []struct {
		name string
		run  func(context.Context, *itest.Backends, config.Config, int) (string, error)
	}{
		{"urgent_start", m.urgentStart}, {"leader_killed", m.leaderKilled}, {"rack_lost", m.rackLost}, {"data_centre_out", m.dataCentreOut},
	} {
		start := time.Now()
		note, err := e.run(ctx, site, declared, jobs)
		if err != nil {
			return fmt.Errorf("event %s: %w", e.name, err)
		}
		fmt.Fprintf(out, "event=%s took_ms=%d %s\n", e.name, time.Since(start).Milliseconds(), note)
	}
	return nil
}

// urgentStart submits guaranteed gangs one after another and reports the slowest start of a task.
func (m *measurement) urgentStart(ctx context.Context, site *itest.Backends, declared config.Config, _ int) (string, error) {
	const tries = 20
	var took []time.Duration
	for i := range tries {
		g := declared.Teams[i%teams].Guarantees[0]
		spec := model.JobSpec{ID: fmt.Sprint("urgent-", i), Team: declared.Teams[i%teams].Name, Shape: g.Shape, Urgent: true, Payload: `{"work_seconds": 1000}`}
		start := time.Now()
		if _, err := m.api.SubmitJob(ctx, spec); err != nil {
			return "", fmt.Errorf("submit: %w", err)
		}
		err := until(ctx, func() error {
			if n := site.TaskRuns.Running(spec.ID); n != spec.Shape.Tasks {
				return fmt.Errorf("%d of %d tasks run", n, spec.Shape.Tasks)
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

// leaderKilled reports the time until a change is accepted again and that no task was lost.
func (m *measurement) leaderKilled(ctx context.Context, site *itest.Backends, _ config.Config, jobs int) (string, error) {
	old := m.c.Leader(ctx)
	if old == nil {
		return "", errors.New("no leader")
	}
	cfg, err := m.api.Config(ctx)
	if err != nil {
		return "", fmt.Errorf("read configuration: %w", err)
	}
	before := len(site.TaskRuns.Runs())
	old.Kill()
	start := time.Now()
	t := cfg.Teams[0]
	t.Weight = 100
	if _, err := m.api.Patch(ctx, config.Patch{ID: "after-kill", BaseVersion: cfg.Version, Changes: []config.Change{{PutTeam: &t}}}); err != nil {
		return "", fmt.Errorf("patch: %w", err)
	}
	accepted := time.Since(start)
	if err := old.Start(); err != nil {
		return "", fmt.Errorf("restart: %w", err)
	}
	if err := until(ctx, func() error { return m.c.CheckReady(ctx) }); err != nil {
		return "", err
	}
	// The silence timeout has passed by then if workers had not found the new leader.
	if !clock.Sleep(ctx, 6*time.Second) {
		return "", fmt.Errorf("wait for workers: %w", ctx.Err())
	}
	return fmt.Sprintf("accepted_again_ms=%d reruns=%d", accepted.Milliseconds(), len(site.TaskRuns.Runs())-before), m.running(ctx, jobs)
}

// rackLost ends all workers of one rack and reports the time until all gangs run again elsewhere.
func (m *measurement) rackLost(ctx context.Context, site *itest.Backends, declared config.Config, jobs int) (string, error) {
	rack := declared.DataCentres[0].Racks[1]
	for i := range rack.Workers {
		site.KillWorker(fmt.Sprintf("%s-%d", rack.Name, i+1))
	}
	hit := 0
	for _, r := range site.TaskRuns.Runs() {
		if strings.HasPrefix(r.Worker, rack.Name+"-") && strings.HasPrefix(r.Task.Job, jobPrefix) {
			hit++
		}
	}
	start := time.Now()
	if err := until(ctx, func() error {
		return m.movedFrom(ctx, jobs, func(w string) bool { return strings.HasPrefix(w, rack.Name+"-") })
	}); err != nil {
		return "", err
	}
	return fmt.Sprintf("workers=%d tasks_hit=%d all_running_ms=%d", rack.Workers, hit, time.Since(start).Milliseconds()), nil
}

// busiest returns the data centre with the most tasks and their number.
func (m *measurement) busiest(ctx context.Context, declared config.Config) (string, int, error) {
	list, err := m.api.Jobs(ctx, "", model.JobRunning)
	if err != nil {
		return "", 0, fmt.Errorf("list jobs: %w", err)
	}
	name, most := "", 0
	for _, dc := range declared.DataCentres {
		n := 0
		for _, j := range list {
			for _, w := range j.Placement.Workers {
				if strings.HasPrefix(w, dc.Name+"-") {
					n++
				}
			}
		}
		if n > most {
			name, most = dc.Name, n
		}
	}
	return name, most, nil
}

// dataCentreOut takes the busiest data centre out of service and reports the time until all its gangs run elsewhere.
func (m *measurement) dataCentreOut(ctx context.Context, _ *itest.Backends, declared config.Config, jobs int) (string, error) {
	dc, tasks, err := m.busiest(ctx, declared)
	if err != nil {
		return "", err
	}
	cfg, err := m.api.Config(ctx)
	if err != nil {
		return "", fmt.Errorf("read configuration: %w", err)
	}
	start := time.Now()
	_, err = m.api.Patch(ctx, config.Patch{ID: "out", BaseVersion: cfg.Version, Changes: []config.Change{
		{SetDataCentre: &config.DataCentreInService{Name: dc, OutOfService: true, Reason: "measurement"}},
	}})
	if err != nil {
		return "", fmt.Errorf("patch: %w", err)
	}
	away := func(w string) bool { return strings.HasPrefix(w, dc+"-") }
	if err := until(ctx, func() error { return m.movedFrom(ctx, jobs, away) }); err != nil {
		return "", err
	}
	return fmt.Sprintf("tasks=%d all_running_elsewhere_ms=%d", tasks, time.Since(start).Milliseconds()), nil
}

// movedFrom returns nil once all filling jobs run and none has a task on the workers named by away.
func (m *measurement) movedFrom(ctx context.Context, jobs int, away func(string) bool) error {
	list, err := m.api.Jobs(ctx, "", model.JobRunning)
	if err != nil {
		return fmt.Errorf("list jobs: %w", err)
	}
	n := 0
	for _, j := range list {
		if !strings.HasPrefix(j.Spec.ID, jobPrefix) {
			continue
		}
		if slices.ContainsFunc(j.Placement.Workers, away) {
			return fmt.Errorf("%s is still placed there", j.Spec.ID)
		}
		n++
	}
	if n != jobs {
		return fmt.Errorf("%d of %d jobs run", n, jobs)
	}
	return nil
}
