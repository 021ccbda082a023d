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
	// Addresses are the HTTP addresses (host:port) of instances, tried in turn.
	Addresses []string
	// Token authenticates the worker when the instances ask for it.
	Token string
	// HTTP is the client; nil means a plain one of its own.
	HTTP *http.Client
	// Scheme is http or https; empty means http.
	Scheme string
	// Ledger records what tasks did; nil means none.
	Ledger *Ledger
	// Step is how often tasks advance; 0 means 50 ms.
	Step time.Duration
	// CheckpointTime is how long a checkpoint takes; 0 means one step.
	CheckpointTime time.Duration
	// FailAll makes every started task fail.
	FailAll bool
	// IgnoreStop makes the worker carry out no stop, checkpoint, throttle or release.
	IgnoreStop bool
}

// Payload is the JSON form of a job's payload that fake workers understand.
type Payload struct {
	// WorkSeconds is the run time of each task.
	WorkSeconds float64 `json:"work_seconds"`
	// Fail makes the task fail when its work is done.
	Fail bool `json:"fail,omitempty"`
}

// usageInterval is how often progress and usage are reported; real workers lag as well.
const usageInterval = 5 * time.Second

// pollWait is how long a poll may be held.
const pollWait = time.Second

// Worker is a small fake worker that polls an instance and runs timed tasks.
type Worker struct {
	cfg  WorkerConfig
	http *http.Client

	mu    sync.Mutex
	epoch uint64
	seq   uint64
	done  uint64
	// acked is the highest poll that the leader of epoch answered; 0 asks for a full report.
	acked uint64
	// gone holds forgotten tasks with the poll that first said so.
	gone     map[model.TaskID]uint64
	address  int
	lease    time.Time
	tasks    map[model.TaskID]*workerTask
	order    []model.TaskID
	reported time.Time
	report   chan struct{}
}

type workerTask struct {
	report     model.TaskReport
	payload    Payload
	use        model.Resources
	progress   float64
	checkpoint time.Time
	ckptSeq    uint64
	// changed is the first poll that carries the present report.
	changed uint64
}

// NewWorker returns a worker that does nothing until Run.
func NewWorker(cfg WorkerConfig) *Worker {
	if cfg.Step == 0 {
		cfg.Step = 50 * time.Millisecond
	}
	if cfg.Scheme == "" {
		cfg.Scheme = "http"
	}
	w := &Worker{cfg: cfg, http: cfg.HTTP, tasks: map[model.TaskID]*workerTask{}, gone: map[model.TaskID]uint64{}, report: make(chan struct{}, 1)}
	if w.http == nil {
		w.http = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}}
	}
	return w
}

// Run polls and runs tasks until ctx ends; the tasks then end with it.
func (w *Worker) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, loop := range []func(context.Context){w.pollLoop, w.reportLoop, w.stepLoop} {
		wg.Add(1)
		go func() {
			defer wg.Done()
			loop(ctx)
		}()
	}
	wg.Wait()
	w.endAll("worker ended")
	w.http.CloseIdleConnections()
}

// SetFailAll makes every later started task fail, or stops doing so.
func (w *Worker) SetFailAll(fail bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cfg.FailAll = fail
}

func (w *Worker) pollLoop(ctx context.Context) {
	for ctx.Err() == nil {
		if err := w.poll(ctx, pollWait); err != nil {
			w.nextAddress()
			clock.Sleep(ctx, 50*time.Millisecond)
		}
	}
}

// reportLoop sends a second poll that is answered at once, so that a change does not wait for the held one.
func (w *Worker) reportLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.report:
		}
		if err := w.poll(ctx, 0); err != nil {
			clock.Sleep(ctx, 20*time.Millisecond)
			w.notify()
		}
	}
}

func (w *Worker) stepLoop(ctx context.Context) {
	t := time.NewTicker(w.cfg.Step)
	defer t.Stop()
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			w.step(now, now.Sub(last).Seconds())
			last = now
		}
	}
}

func (w *Worker) notify() {
	select {
	case w.report <- struct{}{}:
	default:
	}
}

func (w *Worker) nextAddress() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.address++
}

func (w *Worker) poll(ctx context.Context, wait time.Duration) error {
	req, address := w.request(wait)
	sent := time.Now()
	ctx, cancel := context.WithTimeout(ctx, wait+time.Second)
	defer cancel()
	resp, err := w.post(ctx, address, req)
	if err != nil {
		return err
	}
	w.accept(resp, req, sent)
	return nil
}

func (w *Worker) request(wait time.Duration) (model.PollRequest, string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.seq++
	req := model.PollRequest{Worker: w.cfg.Worker, Epoch: w.epoch, Seq: w.seq, Done: w.done, WaitMS: int(wait.Milliseconds())}
	fresh := time.Since(w.reported) >= usageInterval
	if fresh {
		w.reported = time.Now()
	}
	req.Partial = w.acked > 0
	for _, id := range w.order {
		t := w.tasks[id]
		if fresh && t.report.State == model.TaskRunning {
			t.report.Progress, t.report.Usage = t.progress, t.use
			t.changed = w.seq
		}
		if !req.Partial || t.changed > w.acked {
			req.Tasks = append(req.Tasks, t.report)
		}
	}
	for id, seq := range w.gone {
		if seq <= w.acked {
			delete(w.gone, id)
		} else if req.Partial {
			req.Gone = append(req.Gone, id)
		}
	}
	return req, w.cfg.Addresses[w.address%len(w.cfg.Addresses)]
}

func (w *Worker) post(ctx context.Context, address string, req model.PollRequest) (model.PollResponse, error) {
	body, err := json.Marshal(req)
	if err != nil {
		return model.PollResponse{}, fmt.Errorf("encode poll: %w", err)
	}
	url := fmt.Sprintf("%s://%s/v1/workers/%s/poll", w.cfg.Scheme, address, w.cfg.Worker.Name)
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return model.PollResponse{}, fmt.Errorf("make poll: %w", err)
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
		return model.PollResponse{}, fmt.Errorf("read poll answer: %w", err)
	}
	if resp.StatusCode != http.StatusOK {
		return model.PollResponse{}, fmt.Errorf("poll answered %d: %s", resp.StatusCode, b)
	}
	var out model.PollResponse
	if err := json.Unmarshal(b, &out); err != nil {
		return model.PollResponse{}, fmt.Errorf("decode poll answer: %w", err)
	}
	return out, nil
}

// accept carries out the commands of an answer to a poll sent at a time.
func (w *Worker) accept(resp model.PollResponse, req model.PollRequest, sent time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if resp.Epoch < w.epoch {
		return
	}
	if resp.Epoch > w.epoch {
		w.epoch, w.done, w.acked = resp.Epoch, 0, 0
	}
	switch {
	case resp.Full:
		w.acked = 0
	case req.Epoch == resp.Epoch:
		w.acked = max(w.acked, req.Seq)
	}
	if until := sent.Add(time.Duration(resp.LeaseMS) * time.Millisecond); until.After(w.lease) {
		w.lease = until
	}
	for _, c := range resp.Commands {
		if c.Seq <= w.done {
			continue
		}
		w.done = c.Seq
		w.command(c, sent)
		w.notify()
	}
}

func (w *Worker) command(c model.Command, sent time.Time) {
	if w.cfg.IgnoreStop && c.Kind != model.CommandPrepare && c.Kind != model.CommandStart {
		return
	}
	t := w.tasks[c.Task]
	switch {
	case c.Kind == model.CommandPrepare && t == nil:
		w.prepare(c)
	case t == nil:
	case c.Kind == model.CommandStart:
		w.start(t, c, sent)
	case c.Kind == model.CommandCheckpoint && t.report.State == model.TaskRunning:
		t.checkpoint, t.ckptSeq = time.Now().Add(w.cfg.CheckpointTime), c.Seq
	case c.Kind == model.CommandThrottle:
		t.report.Throttled, t.changed = true, w.seq+1
	case c.Kind == model.CommandStop:
		w.end(t, model.TaskStopped, "stopped")
	case c.Kind == model.CommandRelease:
		w.end(t, model.TaskStopped, "released")
		w.forget(c.Task)
	}
}

func (w *Worker) prepare(c model.Command) {
	t := &workerTask{use: c.Use, progress: c.Checkpoint}
	t.report = model.TaskReport{ID: c.Task, State: model.TaskPrepared, Progress: c.Checkpoint, Checkpoint: c.Checkpoint}
	if err := json.Unmarshal([]byte(c.Payload), &t.payload); err != nil && c.Payload != "" {
		t.report.State, t.report.Message = model.TaskFailed, "payload: "+err.Error()
	}
	free := w.cfg.Worker.Capacity
	for _, other := range w.tasks {
		if other.report.State == model.TaskPrepared || other.report.State == model.TaskRunning {
			free.GPUs -= other.use.GPUs
			free.Cores -= other.use.Cores
			free.MemoryMB -= other.use.MemoryMB
		}
	}
	if free.GPUs < c.Use.GPUs || free.Cores < c.Use.Cores || free.MemoryMB < c.Use.MemoryMB {
		t.report.State, t.report.Message = model.TaskFailed, "not enough free resources"
	}
	t.changed = w.seq + 1
	w.tasks[c.Task] = t
	w.order = append(w.order, c.Task)
}

func (w *Worker) start(t *workerTask, c model.Command, sent time.Time) {
	if t.report.State != model.TaskPrepared || time.Since(sent) > time.Duration(c.ValidMS)*time.Millisecond {
		return
	}
	t.report.State, t.changed = model.TaskRunning, w.seq+1
	w.cfg.Ledger.started(w.cfg.Worker, c.Task)
	if w.cfg.FailAll {
		w.end(t, model.TaskFailed, "worker fails every task")
	}
}

func (w *Worker) end(t *workerTask, s model.TaskState, message string) {
	was := t.report.State
	if was != model.TaskPrepared && was != model.TaskRunning {
		return
	}
	t.report.State, t.report.Message, t.report.Progress, t.changed = s, message, t.progress, w.seq+1
	if was == model.TaskRunning {
		w.cfg.Ledger.ended(w.cfg.Worker, t.report.ID, s)
	}
}

func (w *Worker) forget(id model.TaskID) {
	w.gone[id] = w.seq + 1
	delete(w.tasks, id)
	for i, other := range w.order {
		if other == id {
			w.order = append(w.order[:i], w.order[i+1:]...)
			return
		}
	}
}

// step advances running tasks and ends all when the lease has run out.
func (w *Worker) step(now time.Time, dt float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	expired := now.After(w.lease)
	for _, t := range w.tasks {
		if t.report.State != model.TaskRunning && (t.report.State != model.TaskPrepared || !expired) {
			continue
		}
		if expired {
			w.end(t, model.TaskStopped, "lease expired")
			w.notify()
			continue
		}
		w.stepTask(t, now, dt)
	}
}

func (w *Worker) stepTask(t *workerTask, now time.Time, dt float64) {
	if !t.report.Throttled {
		t.progress += dt
	}
	if t.ckptSeq > t.report.CheckpointSeq && now.After(t.checkpoint) {
		t.report.Checkpoint, t.report.CheckpointSeq, t.report.Progress = t.progress, t.ckptSeq, t.progress
		t.changed = w.seq + 1
		w.notify()
	}
	if t.payload.WorkSeconds > 0 && t.progress >= t.payload.WorkSeconds {
		s := model.TaskDone
		if t.payload.Fail {
			s = model.TaskFailed
		}
		w.end(t, s, "")
		w.notify()
	}
}

func (w *Worker) endAll(message string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, t := range w.tasks {
		w.end(t, model.TaskStopped, message)
	}
}
