package soak

import (
	"context"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"turmericroute/batch"
	"turmericroute/platform/stand"
	"turmericroute/sched"
)

const (
	// stepInterval is how often a worker advances its runs and checks whether to send a heartbeat early.
	stepInterval = 10 * time.Millisecond
	// checkpointInterval is the work time between two checkpoints.
	checkpointInterval = 100 * time.Millisecond
	// heartbeatTimeout is the time after which the response to a heartbeat is ignored.
	heartbeatTimeout = time.Second
	// minHeartbeatInterval is the least time between two heartbeats, even when the end
	// of a run is to be reported.
	minHeartbeatInterval = 50 * time.Millisecond
)

// host is a simulated machine that runs one worker at a time.
type host struct {
	s     *soak
	index int
	dc    string
	// dropRequests drops heartbeats, dropResponses their responses.
	dropRequests, dropResponses atomic.Bool
	// starts counts the runs that started on the host.
	starts atomic.Int64
	// crash ends the current worker without notice, drain makes it drain and leave.
	crash, drain chan struct{}
}

// worker is one incarnation of a simulated worker.
type worker struct {
	host        *host
	id          string
	incarnation int64 // start time in Unix milliseconds
	client      stand.Client

	mu      sync.Mutex
	running map[batch.TaskID]*run
	ends    []pendingEnd
	endSeq  int64  // sequence number of the latest end
	fence   uint64 // highest fence of an accepted response
	// lastRuns holds, by task, the highest number of a run that ended or was stopped on
	// this worker. Orders to start it or an earlier one are refused.
	lastRuns map[batch.TaskID]int
	lease    time.Time // end of the lease
	draining time.Time // when draining began; zero when the worker does not drain
	ended    bool
}

// run is one run of a task on a worker.
type run struct {
	number      int
	step        batch.Step
	gang        *gang // nil for single tasks
	startedAt   time.Time
	workTime    time.Duration // total work time of the task
	resumedWork time.Duration // work time that the checkpoint of an earlier run covers
	fails       bool          // fails instead of ending as done
	// stopAt is when the run ends because of a stop order; zero when there was none.
	stopAt     time.Time
	checkpoint string // latest checkpoint
}

// pendingEnd is an end that the system has not acknowledged. Once the worker's lease
// has expired it does not count: the run may have been given to another worker.
type pendingEnd struct {
	sched.RunEnd
	leaseExpired bool
}

// gang connects the runs of the members of a gang under one run number, on any workers.
type gang struct {
	members    map[int]bool // by index
	size       int
	createdAt  time.Time
	completeAt time.Time // when all members had started; zero before
	// broken and done exclude each other: the first member that ends decides.
	broken, done bool
}

func newHost(s *soak, i int) *host {
	return &host{s: s, index: i, dc: dcName(i), crash: make(chan struct{}, 1), drain: make(chan struct{}, 1)}
}

// RoundTrip sends a request of the host's worker. A dropped request or response
// blocks until the request's context ends.
func (h *host) RoundTrip(r *http.Request) (*http.Response, error) {
	block := func() (*http.Response, error) {
		<-r.Context().Done()
		return nil, r.Context().Err() //nolint:wrapcheck // RoundTrip returns what a network without responses would.
	}
	if h.dropRequests.Load() {
		return block()
	}
	resp, err := h.s.transport.RoundTrip(r)
	if err == nil && h.dropResponses.Load() {
		resp.Body.Close()
		return block()
	}
	return resp, err //nolint:wrapcheck // RoundTrip forwards the error of the transport.
}

// run runs one worker after the other until ctx ends.
func (h *host) run(ctx context.Context, rnd *rand.Rand) {
	id := fmt.Sprintf("w-%d-0", h.index)
	for n := 1; ctx.Err() == nil; n++ {
		w := &worker{host: h, id: id, incarnation: time.Now().UnixMilli(), running: map[batch.TaskID]*run{}, lastRuns: map[batch.TaskID]int{}}
		w.client.HTTP = &http.Client{Transport: h}
		w.run(ctx)
		// Half of the workers return under their previous ID.
		if rnd.IntN(2) == 0 {
			id = fmt.Sprintf("w-%d-%d", h.index, n)
		}
		sleep(ctx, time.Duration(100+rnd.IntN(900))*time.Millisecond)
	}
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// run runs the worker until it crashes, has drained, or parent ends.
func (w *worker) run(parent context.Context) {
	ctx, cancel := context.WithCancel(parent)
	var wg sync.WaitGroup
	wg.Go(func() { w.sendHeartbeats(ctx) })
	t := time.NewTicker(stepInterval)
	defer t.Stop()
	drained := false
	for alive := true; alive; {
		select {
		case <-ctx.Done():
			alive = false
		case <-w.host.crash:
			alive = false
		case <-w.host.drain:
			w.mu.Lock()
			w.draining = time.Now()
			w.mu.Unlock()
		case <-t.C:
			drained = w.advanceRuns(time.Now())
			alive = !drained
		}
	}
	w.mu.Lock()
	w.ended = true
	for id, r := range w.running {
		w.host.s.breakGang(r, id)
	}
	w.host.s.ledger.workerEnded(w)
	w.mu.Unlock()
	cancel()
	wg.Wait()
	if drained {
		leaveCtx, stop := context.WithTimeout(parent, heartbeatTimeout)
		defer stop()
		// The request may be lost; the system must detect the end of the worker without it.
		_, _ = w.client.Leave(leaveCtx, w.host.s.controlAddress(w.host.index), w.id)
	}
}

// advanceRuns ends the runs that are due and reports whether the worker has drained.
func (w *worker) advanceRuns(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	expired := now.After(w.lease)
	if expired {
		for i := range w.ends {
			w.ends[i].leaseExpired = true
		}
	}
	for id, r := range w.running {
		if reason := w.endReason(id, r, now, expired); reason != "" {
			w.endRun(id, r, reason)
		}
	}
	return !w.draining.IsZero() && now.Sub(w.draining) > drainTimeout+heartbeatTimeout
}

// endReason returns how a run ends at the time now, empty when it continues. It also
// produces the run's checkpoints.
func (w *worker) endReason(id batch.TaskID, r *run, now time.Time, expired bool) batch.EndReason {
	s := w.host.s
	worked := now.Sub(r.startedAt)
	if r.gang != nil {
		s.gangMu.Lock()
		defer s.gangMu.Unlock()
		switch {
		case r.gang.done:
			return batch.EndDone
		case r.gang.broken:
			return batch.EndGangBroken
		case r.gang.completeAt.IsZero():
			worked = 0
			if now.Sub(r.gang.createdAt) > gangTimeout {
				return batch.EndGangIncomplete
			}
		default:
			worked = now.Sub(r.gang.completeAt)
		}
	}
	if r.step.Checkpoints && worked > 0 {
		if c := formatCheckpoint(r.resumedWork + worked.Truncate(checkpointInterval)); c != r.checkpoint && worked >= checkpointInterval {
			r.checkpoint = c
			s.ledger.checkpointSaved(id, c)
		}
	}
	switch {
	case expired:
		return batch.EndLeaseExpired
	case r.resumedWork+worked >= r.workTime:
		if r.fails {
			return batch.EndFailed
		}
		if r.gang != nil {
			r.gang.done = true
		}
		return batch.EndDone
	case !r.stopAt.IsZero() && now.After(r.stopAt):
		return batch.EndStopped
	}
	return ""
}

// endRun ends a run and queues its end for the next heartbeat. The caller holds w.mu.
func (w *worker) endRun(id batch.TaskID, r *run, reason batch.EndReason) {
	if reason != batch.EndDone {
		w.host.s.breakGang(r, id)
	}
	delete(w.running, id)
	w.reportEnd(id, r.number, reason, r.checkpoint)
	w.host.s.ledger.runEnded(w, id, r.number, reason)
}

// reportEnd adds an end to those that heartbeats report until it is acknowledged.
func (w *worker) reportEnd(id batch.TaskID, number int, reason batch.EndReason, checkpoint string) {
	w.endSeq++
	w.lastRuns[id] = max(w.lastRuns[id], number)
	w.ends = append(w.ends, pendingEnd{RunEnd: sched.RunEnd{Number: w.endSeq, Task: id, Run: number, Reason: reason, Checkpoint: checkpoint}})
}

// sendHeartbeats sends heartbeats until ctx ends. It follows the URL that a response
// names, and tries the next machine after a failure.
func (w *worker) sendHeartbeats(ctx context.Context) {
	machine, url := w.host.index, ""
	for seq := int64(1); ctx.Err() == nil; seq++ {
		address := url
		if address == "" {
			address = w.host.s.controlAddress(machine)
		}
		heartbeat, reportedSeq := w.heartbeat(seq)
		sent := time.Now()
		callCtx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
		orders, nextURL, _, err := w.client.Heartbeat(callCtx, address, heartbeat)
		cancel()
		pause := minHeartbeatInterval
		if err != nil || orders == nil {
			machine, url = machine+1, ""
		} else {
			url = nextURL
			w.applyOrders(orders, sent)
			pause = max(minHeartbeatInterval, time.Duration(orders.RetryAfterMS)*time.Millisecond)
		}
		for until := time.Now().Add(pause); time.Now().Before(until) && ctx.Err() == nil; {
			sleep(ctx, stepInterval)
			if w.lastEndSeq() > reportedSeq && time.Since(sent) > minHeartbeatInterval {
				break
			}
		}
	}
}

// lastEndSeq returns the sequence number of the latest end.
func (w *worker) lastEndSeq() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.endSeq
}

// heartbeat returns the next heartbeat and the sequence number of the last end that it reports.
func (w *worker) heartbeat(seq int64) (sched.Heartbeat, int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	b := sched.Heartbeat{
		Worker: w.id, Service: service, Address: fmt.Sprintf("10.0.0.%d:80", w.host.index), DataCentre: w.host.dc, Machine: fmt.Sprintf("m-%d", w.host.index),
		Incarnation: w.incarnation, Seq: seq, Capacity: capacity, Labels: []string{"a", w.host.dc + "-r"}, Rack: w.host.dc + "-r",
	}
	if !w.draining.IsZero() {
		b.Draining, b.DrainLeftMS = true, max(0, (drainTimeout-time.Since(w.draining)).Milliseconds())
	}
	for id, r := range w.running {
		b.Running = append(b.Running, sched.RunState{Task: id, Run: r.number, Checkpoint: r.checkpoint, Percent: r.percent()})
	}
	for _, e := range w.ends {
		b.Ended = append(b.Ended, e.RunEnd)
	}
	return b, w.endSeq
}

// percent returns the estimated progress of a run, from 0 to 99.
func (r *run) percent() int {
	start := r.startedAt
	if r.gang != nil {
		start = r.gang.completeAt
	}
	if start.IsZero() {
		return 0
	}
	return int(min(99, 100*(r.resumedWork+time.Since(start))/r.workTime))
}

// applyOrders applies the response to a heartbeat that was sent at the time sent. It
// ignores responses that are late or carry an older fence.
func (w *worker) applyOrders(o *sched.Orders, sent time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended || o.Fence < w.fence || time.Since(sent) > heartbeatTimeout {
		return
	}
	w.fence = o.Fence
	for len(w.ends) > 0 && w.ends[0].Number <= o.AckedThrough {
		e := w.ends[0]
		w.host.s.ledger.endAcknowledged(e)
		w.ends = w.ends[1:]
	}
	if o.LeaseMS > 0 {
		lease := min(time.Duration(o.LeaseMS)*time.Millisecond, maxHold)
		// Clocks of workers may be 2 % slow; here those of every other host are.
		if w.host.index%2 == 0 {
			lease += lease / 50
		}
		if until := sent.Add(lease); until.After(w.lease) {
			w.lease = until
		}
	}
	for _, ref := range o.Stops {
		w.lastRuns[ref.Task] = max(w.lastRuns[ref.Task], ref.Run)
		if r := w.running[ref.Task]; r != nil && r.number == ref.Run && r.stopAt.IsZero() {
			r.stopAt = time.Now().Add(rand.N(stopGrace))
		}
	}
	if o.LeaseMS == 0 || time.Now().After(w.lease) {
		return
	}
	for _, st := range o.Starts {
		w.startRun(st)
	}
}

// startRun carries out an order to start a run, or reports the run as refused. A
// run that is active or whose end is still reported is not started again. The
// caller holds w.mu.
func (w *worker) startRun(st sched.StartOrder) {
	if r := w.running[st.Task]; r != nil && r.number == st.Run {
		return
	}
	if slices.ContainsFunc(w.ends, func(e pendingEnd) bool { return e.Task == st.Task && e.Run == st.Run }) {
		return
	}
	s := w.host.s
	step, need, ok := s.stepOf(st.Task)
	free := capacity
	for _, r := range w.running {
		free = free.Minus(r.step.Need)
	}
	if ok && (st.Run <= w.lastRuns[st.Task] || w.running[st.Task] != nil || !free.Fits(need)) {
		w.reportEnd(st.Task, st.Run, batch.EndRefused, "")
		return
	}
	w.host.starts.Add(1)
	s.ledger.runStarted(w, st.Task, st.Run, st.Text, st.Checkpoint)
	if !ok {
		return
	}
	r := &run{number: st.Run, step: step, startedAt: time.Now(), workTime: taskDuration(st.Task, step), resumedWork: parseCheckpoint(st.Checkpoint), checkpoint: st.Checkpoint}
	r.fails = runFails(st.Task, st.Run)
	if step.Gang {
		r.gang = s.joinGang(st.Task, st.Run, step.Count)
	}
	w.running[st.Task] = r
}

// hash returns a hash of its printed arguments, which makes the properties of tasks
// and runs the same on all workers.
func hash(parts ...any) uint64 {
	h := fnv.New64a()
	fmt.Fprint(h, parts...)
	return h.Sum64()
}

// taskDuration returns the work time of a task. All members of a gang have the same.
func taskDuration(id batch.TaskID, step batch.Step) time.Duration {
	if step.Gang {
		id.Index = 0
	}
	return time.Duration(150+hash("work", id)%900) * time.Millisecond
}

const (
	failingJobInterval = 40 // one job in this many fails in every run
	failingRunInterval = 25 // one run in this many fails in the other jobs
)

// runFails reports whether a run fails at the end of its work.
func runFails(id batch.TaskID, run int) bool {
	return hash("hopeless", id.Job)%failingJobInterval == 0 || hash("fails", id, run)%failingRunInterval == 0
}

// formatCheckpoint returns the checkpoint of a task after a work time.
func formatCheckpoint(worked time.Duration) string { return fmt.Sprintf("%08x", worked.Milliseconds()) }

// parseCheckpoint returns the work time that a checkpoint covers, 0 for an empty one.
func parseCheckpoint(checkpoint string) time.Duration {
	var ms int64
	if _, err := fmt.Sscanf(checkpoint, "%x", &ms); err != nil {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}
