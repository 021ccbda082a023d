package trial

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/go-kit/log"

	"turmericroute/config"
	"turmericroute/model"
)

// stepTimeout bounds the startup and each step. The whole trial takes less than 30 s.
const stepTimeout = 8 * time.Second

// removalBound is how long after its data centre is taken out of service a task may still start there.
const removalBound = 3 * time.Second

// Config configures a trial.
type Config struct {
	// Out receives one line per step.
	Out io.Writer
	// Logger receives the logs of all instances; nil disables logging.
	Logger log.Logger
}

// step is one step of the trial. Its function returns key=value pairs for the output line.
type step struct {
	name string
	run  func(context.Context, *deployment) (string, error)
}

var steps = []step{
	{"deployment_ready", applyExampleConfig},
	{"gang_started_whole", startGang},
	{"guarantee_reclaimed", reclaimGuarantee},
	{"request_answered", sendRequest},
	{"resend_ran_once", resendRequest},
	{"stale_patch_refused", sendStalePatch},
	{"data_centre_left", takeOutOfService},
	{"data_centre_returned", returnToService},
}

// Run starts a deployment, runs all steps and removes the deployment again. It
// stops at the first failed step and returns its error.
func Run(ctx context.Context, cfg Config) error {
	if cfg.Logger == nil {
		cfg.Logger = log.NewNopLogger()
	}
	start := time.Now()
	readyCtx, cancel := context.WithTimeout(ctx, stepTimeout)
	d, err := deploy(readyCtx, cfg.Logger)
	cancel()
	if err == nil {
		err = runSteps(ctx, cfg.Out, d)
	}
	if closeErr := d.close(); closeErr != nil {
		err = errors.Join(err, fmt.Errorf("close deployment: %w", closeErr))
	}
	fmt.Fprintf(cfg.Out, "step=all ok=%t took_ms=%d\n", err == nil, time.Since(start).Milliseconds())
	return err
}

func runSteps(ctx context.Context, out io.Writer, d *deployment) error {
	for _, s := range steps {
		start := time.Now()
		stepCtx, cancel := context.WithTimeout(ctx, stepTimeout)
		details, err := s.run(stepCtx, d)
		cancel()
		took := time.Since(start).Milliseconds()
		if err != nil {
			fmt.Fprintf(out, "step=%s ok=false took_ms=%d err=%q\n", s.name, took, err)
			return fmt.Errorf("step %s: %w", s.name, err)
		}
		fmt.Fprintf(out, "step=%s ok=true took_ms=%d %s\n", s.name, took, details)
	}
	return nil
}

func applyExampleConfig(ctx context.Context, d *deployment) (string, error) {
	path := filepath.Join(d.dir, "config.yaml")
	if err := os.WriteFile(path, exampleConfig, 0o600); err != nil {
		return "", fmt.Errorf("write example configuration: %w", err)
	}
	cfg, faults, err := config.ReadFile(path)
	if err != nil {
		return "", fmt.Errorf("read example configuration: %w", err)
	}
	if len(faults) > 0 {
		return "", fmt.Errorf("example configuration: %v", faults)
	}
	result, err := d.api.Patch(ctx, config.Patch{ID: "example", BaseVersion: 0, Author: "try", Changes: config.Diff(config.Config{}, cfg)})
	if err != nil {
		return "", fmt.Errorf("apply example configuration: %w", err)
	}
	if err := d.startWorkersAndUpstreams(ctx); err != nil {
		return "", err
	}
	return fmt.Sprintf("config_version=%d instances=%d workers=6 upstreams=6", result.Version, len(d.instances)), nil
}

// borrowerJob is a gang of the team gutters that occupies all workers, far more than the team's guarantee.
var borrowerJob = model.JobSpec{
	ID: "borrower", Team: "gutters", Shape: model.Shape{Tasks: 6, GPUs: 8, Cores: 8, MemoryMB: 8192},
	DeclaredSeconds: 600, Payload: `{"work_seconds": 600}`,
}

func startGang(ctx context.Context, d *deployment) (string, error) {
	if _, err := d.api.SubmitJob(ctx, borrowerJob); err != nil {
		return "", fmt.Errorf("submit: %w", err)
	}
	running := 0
	err := waitFor(ctx, func() error {
		running = d.taskLedger.Running(borrowerJob.ID)
		if running != borrowerJob.Shape.Tasks {
			return fmt.Errorf("%d of %d tasks run", running, borrowerJob.Shape.Tasks)
		}
		return nil
	})
	return fmt.Sprintf("tasks=%d", running), err
}

func reclaimGuarantee(ctx context.Context, d *deployment) (string, error) {
	spec := model.JobSpec{
		ID: "owner", Team: "frames", Urgent: true,
		Shape:           model.Shape{Tasks: 2, GPUs: 8, Cores: 16, MemoryMB: 16384, SameRack: true},
		DeclaredSeconds: 600, Payload: `{"work_seconds": 600}`,
	}
	start := time.Now()
	if _, err := d.api.SubmitJob(ctx, spec); err != nil {
		return "", fmt.Errorf("submit: %w", err)
	}
	if err := d.waitRunning(ctx, spec); err != nil {
		return "", err
	}
	took := time.Since(start)
	j, err := d.api.Job(ctx, borrowerJob.ID)
	if err != nil {
		return "", fmt.Errorf("get borrower: %w", err)
	}
	if d.taskLedger.Running(borrowerJob.ID) != 0 || j.Checkpoint <= 0 {
		return "", fmt.Errorf("borrower still runs or has no checkpoint: %+v", j)
	}
	return fmt.Sprintf("urgent_start_ms=%d borrower_state=%s borrower_checkpoint_s=%.2f", took.Milliseconds(), j.State, j.Checkpoint), nil
}

// waitRunning waits until all tasks of a job run.
func (d *deployment) waitRunning(ctx context.Context, spec model.JobSpec) error {
	return waitFor(ctx, func() error {
		if n := d.taskLedger.Running(spec.ID); n != spec.Shape.Tasks {
			return fmt.Errorf("%d of %d tasks of %s run", n, spec.Shape.Tasks, spec.ID)
		}
		return nil
	})
}

// request sends a request of the team gutters to one instance and returns the
// status, header and body of the response. A non-empty key makes it an
// idempotency-keyed request.
func (d *deployment) request(ctx context.Context, address, key, body string) (int, http.Header, string, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/services/plans/bend", bytes.NewBufferString(body))
	if err != nil {
		return 0, nil, "", fmt.Errorf("create request: %w", err)
	}
	r.Header.Set("Turmericroute-Team", "gutters")
	if key != "" {
		r.Header.Set("Turmericroute-Idempotent", "false")
		r.Header.Set("Idempotency-Key", key)
		r.Header.Set("Turmericroute-Key-Time", fmt.Sprint(time.Now().UnixMilli()))
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, nil, "", fmt.Errorf("send request: %w", err)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil, "", fmt.Errorf("read response: %w", err)
	}
	return resp.StatusCode, resp.Header, string(b), nil
}

// requestDone sends a request and returns the response body, or an error unless the outcome is done.
func (d *deployment) requestDone(ctx context.Context, address, key, body string) (string, error) {
	status, header, response, err := d.request(ctx, address, key, body)
	if err != nil {
		return "", err
	}
	if outcome := header.Get("Turmericroute-Outcome"); status != http.StatusOK || outcome != string(model.OutcomeDone) {
		return "", fmt.Errorf("status %d, outcome %q: %s", status, outcome, response)
	}
	return response, nil
}

func sendRequest(ctx context.Context, d *deployment) (string, error) {
	response, err := d.requestDone(ctx, d.addresses[3], "", "seam plan")
	return fmt.Sprintf("bytes=%d", len(response)), err
}

func resendRequest(ctx context.Context, d *deployment) (string, error) {
	first, err := d.requestDone(ctx, d.addresses[3], "order-1", "cut one sheet")
	if err != nil {
		return "", fmt.Errorf("first request: %w", err)
	}
	second, err := d.requestDone(ctx, d.addresses[4], "order-1", "cut one sheet")
	if err != nil {
		return "", fmt.Errorf("resend to the other entry: %w", err)
	}
	runs := 0
	for _, u := range d.upstreams {
		runs += u.Ledger()["order-1"].Started
	}
	if runs != 1 || first != second {
		return "", fmt.Errorf("request ran %d times, same response: %t", runs, first == second)
	}
	return fmt.Sprintf("runs=%d same_answer=true", runs), nil
}

func sendStalePatch(ctx context.Context, d *deployment) (string, error) {
	_, err := d.api.Patch(ctx, config.Patch{ID: "stale", BaseVersion: 0, Changes: []config.Change{{PutTeam: &config.Team{Name: "late"}}}})
	var e *model.Error
	if !errors.As(err, &e) || e.Code != model.CodeStaleVersion || e.Outcome != model.OutcomeNotRun {
		return "", fmt.Errorf("expected a refusal with %s, got %w", model.CodeStaleVersion, err)
	}
	return fmt.Sprintf("code=%s current_version=%d", e.Code, e.Version), nil
}

// setInService takes a data centre out of service or returns it to service.
func (d *deployment) setInService(ctx context.Context, dc string, inService bool) error {
	cfg, err := d.api.Config(ctx)
	if err != nil {
		return fmt.Errorf("read configuration: %w", err)
	}
	_, err = d.api.Patch(ctx, config.Patch{
		ID: fmt.Sprintf("%s-%t-%d", dc, inService, cfg.Version), BaseVersion: cfg.Version, Author: "try",
		Changes: []config.Change{{SetDataCentre: &config.DataCentreState{Name: dc, OutOfService: !inService, Reason: "power work"}}},
	})
	if err != nil {
		return fmt.Errorf("patch data centre: %w", err)
	}
	return nil
}

// ownerDataCentre returns the data centre in which a task of the urgent gang started last.
func (d *deployment) ownerDataCentre() string {
	dc := ""
	for _, r := range d.taskLedger.Runs() {
		if r.Task.Job == "owner" {
			dc = r.DataCentre
		}
	}
	return dc
}

func takeOutOfService(ctx context.Context, d *deployment) (string, error) {
	left := d.ownerDataCentre()
	if err := d.setInService(ctx, left, false); err != nil {
		return "", err
	}
	start := time.Now()
	err := waitFor(ctx, func() error {
		if current := d.ownerDataCentre(); current == left || d.taskLedger.Running("owner") != 2 {
			return fmt.Errorf("the gang has not moved out of %s", left)
		}
		return nil
	})
	if err != nil {
		return "", err
	}
	moved := time.Since(start)
	if late := d.taskLedger.StartsIn(left, start.Add(removalBound)); len(late) > 0 {
		return "", fmt.Errorf("%d tasks started in %s after it was taken out of service", len(late), left)
	}
	if overlaps := d.taskLedger.Overlaps(); len(overlaps) > 0 {
		return "", fmt.Errorf("two attempts of a job or one task twice ran at the same time: %v", overlaps)
	}
	return fmt.Sprintf("data_centre=%s gang_moved_ms=%d now_in=%s", left, moved.Milliseconds(), d.ownerDataCentre()), nil
}

func returnToService(ctx context.Context, d *deployment) (string, error) {
	cfg, err := d.api.Config(ctx)
	if err != nil {
		return "", fmt.Errorf("read configuration: %w", err)
	}
	returned := ""
	for _, dc := range cfg.DataCentres {
		if dc.OutOfService {
			returned = dc.Name
		}
	}
	if err := d.setInService(ctx, returned, true); err != nil {
		return "", err
	}
	if _, err := d.api.CancelJob(ctx, borrowerJob.ID); err != nil {
		return "", fmt.Errorf("cancel borrower: %w", err)
	}
	job := model.JobSpec{
		ID: "returned", Team: "gutters", DataCentres: []string{returned},
		Shape: model.Shape{Tasks: 1, GPUs: 8, Cores: 8, MemoryMB: 8192}, Payload: `{"work_seconds": 0.2}`,
	}
	if _, err := d.api.SubmitJob(ctx, job); err != nil {
		return "", fmt.Errorf("submit: %w", err)
	}
	err = waitFor(ctx, func() error {
		j, err := d.api.Job(ctx, job.ID)
		if err != nil {
			return fmt.Errorf("get job: %w", err)
		}
		if j.State != model.JobDone {
			return fmt.Errorf("job is %s: %s", j.State, j.Reason)
		}
		return nil
	})
	return fmt.Sprintf("data_centre=%s", returned), err
}
