package fakes

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"turmericroute/clock"
	"turmericroute/model"
)

// WorkerConfig configures a fake worker.
type WorkerConfig struct {
	Worker model.Worker
	// Addresses are the HTTP addresses (host:port) of the instances to poll, tried in turn.
	Addresses []string
	// Token is the bearer token of the worker; empty means none.
	Token string
	// HTTP is the HTTP client; nil means a new one with defaults.
	HTTP *http.Client
	// Scheme is http or https; empty means http.
	Scheme string
	// Ledger records the runs of tasks; nil records nothing.
	Ledger *Ledger
	// StepInterval is the interval at which tasks advance; 0 means 50 ms.
	StepInterval time.Duration
	// CheckpointDuration is the time that a checkpoint takes; 0 means until the next step.
	CheckpointDuration time.Duration
	// FailAll makes every task fail when it starts.
	FailAll bool
	// IgnoreStop makes the worker ignore stop, checkpoint, throttle and release commands.
	IgnoreStop bool
}

// Payload is the payload of a job that fake workers run, as JSON.
type Payload struct {
	// WorkSeconds is the run time of each task; a task with 0 runs until it is stopped.
	WorkSeconds float64 `json:"work_seconds"`
	// Fail makes the task fail when its work is done.
	Fail bool `json:"fail,omitempty"`
}

// usageInterval is the interval at which progress and usage are reported. Real
// workers report them with a delay too.
const usageInterval = 5 * time.Second

// maxPollWait is how long an instance may hold a poll before it responds.
const maxPollWait = time.Second

// Worker is a fake worker that polls instances and simulates tasks by timers.
type Worker struct {
	cfg  WorkerConfig
	http *http.Client

	mu      sync.Mutex
	epoch   uint64 // highest epoch of a response
	seq     uint64 // number of the latest poll
	doneSeq uint64 // number of the latest command that was carried out
	// ackedSeq is the highest poll that the leader of epoch responded to. While it is
	// 0, polls report all tasks.
	ackedSeq uint64
	// forgotten maps each released task to the first poll that reports it as gone.
	forgotten     map[model.TaskID]uint64
	addressIndex  int       // of the instance to poll
	lease         time.Time // end of the lease
	tasks         map[model.TaskID]*workerTask
	taskOrder     []model.TaskID
	usageReported time.Time     // latest report of progress and usage
	changes       chan struct{} // requests an immediate poll
}

// workerTask is a task that was prepared on the worker.
type workerTask struct {
	report        model.TaskReport
	payload       Payload
	resources     model.Resources
	progress      float64   // work done, in seconds
	checkpointDue time.Time // when the requested checkpoint is complete
	checkpointSeq uint64    // number of the command that requested the checkpoint
	// changedSeq is the first poll that carries the current report.
	changedSeq uint64
}

// NewWorker returns a worker that polls and runs tasks once Run is called.
func NewWorker(cfg WorkerConfig) *Worker {
	if cfg.StepInterval == 0 {
		cfg.StepInterval = 50 * time.Millisecond
	}
	if cfg.Scheme == "" {
		cfg.Scheme = "http"
	}
	w := &Worker{cfg: cfg, http: cfg.HTTP, tasks: map[model.TaskID]*workerTask{}, forgotten: map[model.TaskID]uint64{}, changes: make(chan struct{}, 1)}
	if w.http == nil {
		w.http = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}}
	}
	return w
}

// Run polls and runs tasks until ctx ends, and then stops the tasks.
func (w *Worker) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, loop := range []func(context.Context){w.pollLoop, w.changeLoop, w.advanceLoop} {
		wg.Add(1)
		go func() {
			defer wg.Done()
			loop(ctx)
		}()
	}
	wg.Wait()
	w.stopAllTasks("worker ended")
	w.http.CloseIdleConnections()
}

// SetFailAll sets WorkerConfig.FailAll for tasks that start later.
func (w *Worker) SetFailAll(fail bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cfg.FailAll = fail
}

// pollLoop keeps one held poll open and tries the next instance after an error.
func (w *Worker) pollLoop(ctx context.Context) {
	for ctx.Err() == nil {
		if err := w.poll(ctx, maxPollWait); err != nil {
			w.nextAddress()
			clock.Sleep(ctx, 50*time.Millisecond)
		}
	}
}

// changeLoop reports each change by a second poll that the instance does not hold, so
// that the change need not wait for the end of the held poll.
func (w *Worker) changeLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.changes:
		}
		if err := w.poll(ctx, 0); err != nil {
			clock.Sleep(ctx, 20*time.Millisecond)
			w.notify()
		}
	}
}

// advanceLoop advances the tasks every StepInterval.
func (w *Worker) advanceLoop(ctx context.Context) {
	t := time.NewTicker(w.cfg.StepInterval)
	defer t.Stop()
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			w.advance(now, now.Sub(last).Seconds())
			last = now
		}
	}
}

// notify requests an immediate poll.
func (w *Worker) notify() {
	select {
	case w.changes <- struct{}{}:
	default:
	}
}

// nextAddress selects the next instance to poll.
func (w *Worker) nextAddress() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.addressIndex++
}

// poll sends one poll, which the instance may hold for the time wait, and applies the response.
func (w *Worker) poll(ctx context.Context, wait time.Duration) error {
	req, address := w.nextRequest(wait)
	sent := time.Now()
	ctx, cancel := context.WithTimeout(ctx, wait+time.Second)
	defer cancel()
	resp, err := w.post(ctx, address, req)
	if err != nil {
		return err
	}
	w.applyResponse(resp, req, sent)
	return nil
}

// nextRequest returns the next poll and the address to send it to.
func (w *Worker) nextRequest(wait time.Duration) (model.PollRequest, string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.seq++
	req := model.PollRequest{Worker: w.cfg.Worker, Epoch: w.epoch, Seq: w.seq, Done: w.doneSeq, WaitMS: int(wait.Milliseconds())}
	reportUsage := time.Since(w.usageReported) >= usageInterval
	if reportUsage {
		w.usageReported = time.Now()
	}
	req.Partial = w.ackedSeq > 0
	for _, id := range w.taskOrder {
		t := w.tasks[id]
		if reportUsage && t.report.State == model.TaskRunning {
			t.report.Progress, t.report.Usage = t.progress, t.resources
			t.changedSeq = w.seq
		}
		if !req.Partial || t.changedSeq > w.ackedSeq {
			req.Tasks = append(req.Tasks, t.report)
		}
	}
	for id, seq := range w.forgotten {
		if seq <= w.ackedSeq {
			delete(w.forgotten, id)
		} else if req.Partial {
			req.Gone = append(req.Gone, id)
		}
	}
	return req, w.cfg.Addresses[w.addressIndex%len(w.cfg.Addresses)]
}

// post sends a poll to an instance.
func (w *Worker) post(ctx context.Context, address string, req model.PollRequest) (model.PollResponse, error) {
	body, err := json.Marshal(req)
	if err != nil {
		return model.PollResponse{}, fmt.Errorf("encode poll: %w", err)
	}
	url := fmt.Sprintf("%s://%s/v1/workers/%s/poll", w.cfg.Scheme, address, w.cfg.Worker.Name)
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return model.PollResponse{}, fmt.Errorf("create poll: %w", err)
	}
	r.Header.Set("Content-Type", "application/json")
	if w.cfg.Token != "" {
		r.Header.Set("Authorization", "Bearer "+w.cfg.Token)
	}
	resp, err := w.http.Do(r)
	if err != nil {
		return model.PollResponse{}, fmt.Errorf("send poll: %w", err)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return model.PollResponse{}, fmt.Errorf("read poll response: %w", err)
	}
	if resp.StatusCode != http.StatusOK {
		return model.PollResponse{}, fmt.Errorf("poll response has status %d: %s", resp.StatusCode, b)
	}
	var decoded model.PollResponse
	if err := json.Unmarshal(b, &decoded); err != nil {
		return model.PollResponse{}, fmt.Errorf("decode poll response: %w", err)
	}
	return decoded, nil
}

// applyResponse renews the lease and carries out the commands of the response to a
// poll that was sent at the time sent. It ignores responses of an older epoch.
func (w *Worker) applyResponse(resp model.PollResponse, req model.PollRequest, sent time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if resp.Epoch < w.epoch {
		return
	}
	if resp.Epoch > w.epoch {
		w.epoch, w.doneSeq, w.ackedSeq = resp.Epoch, 0, 0
	}
	switch {
	case resp.Full:
		w.ackedSeq = 0
	case req.Epoch == resp.Epoch:
		w.ackedSeq = max(w.ackedSeq, req.Seq)
	}
	if until := sent.Add(time.Duration(resp.LeaseMS) * time.Millisecond); until.After(w.lease) {
		w.lease = until
	}
	for _, c := range resp.Commands {
		if c.Seq <= w.doneSeq {
			continue
		}
		w.doneSeq = c.Seq
		w.applyCommand(c, sent)
		w.notify()
	}
}

// applyCommand carries out one command. The caller holds w.mu, also in the functions
// for single tasks that it calls.
func (w *Worker) applyCommand(c model.Command, sent time.Time) {
	if w.cfg.IgnoreStop && c.Kind != model.CommandPrepare && c.Kind != model.CommandStart {
		return
	}
	t := w.tasks[c.Task]
	switch {
	case c.Kind == model.CommandPrepare && t == nil:
		w.prepareTask(c)
	case t == nil:
	case c.Kind == model.CommandStart:
		w.startTask(t, c, sent)
	case c.Kind == model.CommandCheckpoint && t.report.State == model.TaskRunning:
		t.checkpointDue, t.checkpointSeq = time.Now().Add(w.cfg.CheckpointDuration), c.Seq
	case c.Kind == model.CommandThrottle:
		t.report.Throttled, t.changedSeq = true, w.seq+1
	case c.Kind == model.CommandStop:
		w.endTask(t, model.TaskStopped, "stopped")
	case c.Kind == model.CommandRelease:
		w.endTask(t, model.TaskStopped, "released")
		w.releaseTask(c.Task)
	}
}

// prepareTask adds a task. It fails at once when its payload is invalid or its resources are not free.
func (w *Worker) prepareTask(c model.Command) {
	t := &workerTask{resources: c.Use, progress: c.Checkpoint}
	t.report = model.TaskReport{ID: c.Task, State: model.TaskPrepared, Progress: c.Checkpoint, Checkpoint: c.Checkpoint}
	if err := json.Unmarshal([]byte(c.Payload), &t.payload); err != nil && c.Payload != "" {
		t.report.State, t.report.Message = model.TaskFailed, "payload: "+err.Error()
	}
	free := w.cfg.Worker.Capacity
	for _, other := range w.tasks {
		if other.report.State == model.TaskPrepared || other.report.State == model.TaskRunning {
			free.GPUs -= other.resources.GPUs
			free.Cores -= other.resources.Cores
			free.MemoryMB -= other.resources.MemoryMB
		}
	}
	if free.GPUs < c.Use.GPUs || free.Cores < c.Use.Cores || free.MemoryMB < c.Use.MemoryMB {
		t.report.State, t.report.Message = model.TaskFailed, "not enough free resources"
	}
	t.changedSeq = w.seq + 1
	w.tasks[c.Task] = t
	w.taskOrder = append(w.taskOrder, c.Task)
}

// startTask starts a prepared task unless the command has expired.
func (w *Worker) startTask(t *workerTask, c model.Command, sent time.Time) {
	if t.report.State != model.TaskPrepared || time.Since(sent) > time.Duration(c.ValidMS)*time.Millisecond {
		return
	}
	t.report.State, t.changedSeq = model.TaskRunning, w.seq+1
	w.cfg.Ledger.taskStarted(w.cfg.Worker, c.Task)
	if w.cfg.FailAll {
		w.endTask(t, model.TaskFailed, "worker fails every task")
	}
}

// endTask ends a prepared or running task in the state s.
func (w *Worker) endTask(t *workerTask, s model.TaskState, message string) {
	previous := t.report.State
	if previous != model.TaskPrepared && previous != model.TaskRunning {
		return
	}
	t.report.State, t.report.Message, t.report.Progress, t.changedSeq = s, message, t.progress, w.seq+1
	if previous == model.TaskRunning {
		w.cfg.Ledger.taskEnded(w.cfg.Worker, t.report.ID, s)
	}
}

// releaseTask removes a task and marks it as gone.
func (w *Worker) releaseTask(id model.TaskID) {
	w.forgotten[id] = w.seq + 1
	delete(w.tasks, id)
	for i, other := range w.taskOrder {
		if other == id {
			w.taskOrder = append(w.taskOrder[:i], w.taskOrder[i+1:]...)
			return
		}
	}
}

// advance advances the running tasks by dt seconds. When the lease has expired, it
// stops all prepared and running tasks instead.
func (w *Worker) advance(now time.Time, dt float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	expired := now.After(w.lease)
	for _, t := range w.tasks {
		if t.report.State != model.TaskRunning && (t.report.State != model.TaskPrepared || !expired) {
			continue
		}
		if expired {
			w.endTask(t, model.TaskStopped, "lease expired")
			w.notify()
			continue
		}
		w.advanceTask(t, now, dt)
	}
}

// advanceTask adds dt seconds to the progress of a task, completes its checkpoint and
// ends it when they are due.
func (w *Worker) advanceTask(t *workerTask, now time.Time, dt float64) {
	if !t.report.Throttled {
		t.progress += dt
	}
	if t.checkpointSeq > t.report.CheckpointSeq && now.After(t.checkpointDue) {
		t.report.Checkpoint, t.report.CheckpointSeq, t.report.Progress = t.progress, t.checkpointSeq, t.progress
		t.changedSeq = w.seq + 1
		w.notify()
	}
	if t.payload.WorkSeconds > 0 && t.progress >= t.payload.WorkSeconds {
		s := model.TaskDone
		if t.payload.Fail {
			s = model.TaskFailed
		}
		w.endTask(t, s, "")
		w.notify()
	}
}

// stopAllTasks stops all prepared and running tasks.
func (w *Worker) stopAllTasks(message string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, t := range w.tasks {
		w.endTask(t, model.TaskStopped, message)
	}
}
