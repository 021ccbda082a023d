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
	stepInterval = 10 * time.Millisecond
	// checkpointInterval is the work between two checkpoints.
	checkpointInterval = 100 * time.Millisecond
	// heartbeatTimeout is how late an answer to a heartbeat still counts.
	heartbeatTimeout = time.Second
	// minHeartbeatInterval is the pause before the heartbeat that reports an end.
	minHeartbeatInterval = 50 * time.Millisecond
)

// host is a machine that workers run on, one life at a time.
type host struct {
	s     *soak
	index int
	dc    string
	// dropRequests and dropResponses drop heartbeats on the way out and their answers on the way back.
	dropRequests, dropResponses atomic.Bool
	// starts counts the runs that began here.
	starts atomic.Int64
	// crash ends the present life at once, drain in an orderly way.
	crash, drain chan struct{}
}

// worker is one worker of a worker.
type worker struct {
	host        *host
	id          string
	incarnation int64
	client      stand.Caller

	mu      sync.Mutex
	running map[batch.TaskID]*run
	ends    []runEnd
	endSeq  int64 // ends so far
	fence   uint64
	// lastRuns holds the highest run of each task that ended or was stopped here.
	lastRuns map[batch.TaskID]int
	lease    time.Time
	draining time.Time // when it began to drain; zero when it does not
	ended    bool
}

// run is a task at work.
type run struct {
	number      int
	step        batch.Step
	gang        *gang // nil for single tasks
	startedAt   time.Time
	workTime    time.Duration // all of the task's work
	resumedWork time.Duration // work that was done before this run
	fails       bool
	// stopAt is when the run ends because of a stop; zero when none was ordered.
	stopAt     time.Time
	checkpoint string
}

// runEnd is an runEnd that the system has not taken note of. Once the worker's lease has
// expired it counts for nothing: the run may have been given to another worker.
type runEnd struct {
	sched.RunEnd
	leaseExpired bool
}

// gang joins the runs of one attempt at a gang, on whatever workers they are.
type gang struct {
	members    map[int]bool
	size       int
	createdAt  time.Time
	completeAt time.Time
	// broken and done exclude each other: the first end of a member decides.
	broken, done bool
}

func newHost(s *soak, i int) *host {
	return &host{s: s, index: i, dc: dcName(i), crash: make(chan struct{}, 1), drain: make(chan struct{}, 1)}
}

// RoundTrip carries heartbeats through the host's link.
func (h *host) RoundTrip(r *http.Request) (*http.Response, error) {
	silent := func() (*http.Response, error) {
		<-r.Context().Done()
		return nil, r.Context().Err() //nolint:wrapcheck // as a silent network would.
	}
	if h.dropRequests.Load() {
		return silent()
	}
	resp, err := h.s.transport.RoundTrip(r)
	if err == nil && h.dropResponses.Load() {
		resp.Body.Close()
		return silent()
	}
	return resp, err //nolint:wrapcheck // a transport.
}

// run runs one life after the other until the soak ends.
func (h *host) run(ctx context.Context, rnd *rand.Rand) {
	id := fmt.Sprintf("w-%d-0", h.index)
	for n := 1; ctx.Err() == nil; n++ {
		w := &worker{host: h, id: id, incarnation: time.Now().UnixMilli(), running: map[batch.TaskID]*run{}, lastRuns: map[batch.TaskID]int{}}
		w.client.HTTP = &http.Client{Transport: h}
		w.run(ctx)
		// A worker may come back under the identity that it had.
		if rnd.IntN(2) == 0 {
			id = fmt.Sprintf("w-%d-%d", h.index, n)
		}
		sleep(ctx, time.Duration(100+rnd.IntN(900))*time.Millisecond)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// run runs until the life ends by a crash, by draining or with the soak.
func (w *worker) run(parent context.Context) {
	ctx, cancel := context.WithCancel(parent)
	var wg sync.WaitGroup
	wg.Go(func() { w.sendHeartbeats(ctx) })
	t := time.NewTicker(stepInterval)
	defer t.Stop()
	leave := false
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
			leave = w.advanceRuns(time.Now())
			alive = !leave
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
	if leave {
		try, stop := context.WithTimeout(parent, heartbeatTimeout)
		defer stop()
		// A farewell may be lost; the system must do without.
		_, _ = w.client.Leave(try, w.host.s.controlAddress(w.host.index), w.id)
	}
}

// advanceRuns moves the runs on and reports whether the life ends by draining.
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
		if how := w.runOutcome(id, r, now, expired); how != "" {
			w.endRun(id, r, how)
		}
	}
	return !w.draining.IsZero() && now.Sub(w.draining) > drainTimeout+heartbeatTimeout
}

// runOutcome returns how a run ends now, empty when it goes on.
func (w *worker) runOutcome(id batch.TaskID, r *run, now time.Time, expired bool) batch.How {
	s := w.host.s
	worked := now.Sub(r.startedAt)
	if r.gang != nil {
		s.gangMu.Lock()
		defer s.gangMu.Unlock()
		switch {
		case r.gang.done:
			return batch.EndDone
		case r.gang.broken:
			return batch.EndBroken
		case r.gang.completeAt.IsZero():
			worked = 0
			if now.Sub(r.gang.createdAt) > gangTimeout {
				return batch.EndAlone
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
		return batch.EndLapsed
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

func (w *worker) endRun(id batch.TaskID, r *run, how batch.How) {
	if how != batch.EndDone {
		w.host.s.breakGang(r, id)
	}
	delete(w.running, id)
	w.reportEnd(id, r.number, how, r.checkpoint)
	w.host.s.ledger.runEnded(w, id, r.number, how)
}

// reportEnd adds an end to those that are reported.
func (w *worker) reportEnd(id batch.TaskID, number int, how batch.How, checkpoint string) {
	w.endSeq++
	w.lastRuns[id] = max(w.lastRuns[id], number)
	w.ends = append(w.ends, runEnd{RunEnd: sched.RunEnd{N: w.endSeq, Task: id, Run: number, How: how, Checkpoint: checkpoint}})
}

// sendHeartbeats sends heartbeats until the life ends.
func (w *worker) sendHeartbeats(ctx context.Context) {
	node, url := w.host.index, ""
	for seq := int64(1); ctx.Err() == nil; seq++ {
		address := url
		if address == "" {
			address = w.host.s.controlAddress(node)
		}
		report, ends := w.heartbeat(seq)
		sent := time.Now()
		try, cancel := context.WithTimeout(ctx, heartbeatTimeout)
		o, next, _, err := w.client.Beat(try, address, report)
		cancel()
		pause := minHeartbeatInterval
		if err != nil || o == nil {
			node, url = node+1, ""
		} else {
			url = next
			w.applyOrders(o, sent)
			pause = max(minHeartbeatInterval, time.Duration(o.RetryAfterMS)*time.Millisecond)
		}
		for until := time.Now().Add(pause); time.Now().Before(until) && ctx.Err() == nil; {
			sleep(ctx, stepInterval)
			if w.lastEndSeq() > ends && time.Since(sent) > minHeartbeatInterval {
				break
			}
		}
	}
}

func (w *worker) lastEndSeq() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.endSeq
}

func (w *worker) heartbeat(seq int64) (sched.Beat, int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	b := sched.Beat{
		Worker: w.id, Service: service, Address: fmt.Sprintf("10.0.0.%d:80", w.host.index), DataCentre: w.host.dc, Machine: fmt.Sprintf("m-%d", w.host.index),
		Life: w.incarnation, Seq: seq, Capacity: capacity, Labels: []string{"a", w.host.dc + "-r"}, Rack: w.host.dc + "-r",
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

// percent returns a run's rough progress.
func (r *run) percent() int {
	began := r.startedAt
	if r.gang != nil {
		began = r.gang.completeAt
	}
	if began.IsZero() {
		return 0
	}
	return int(min(99, 100*(r.resumedWork+time.Since(began))/r.workTime))
}

// applyOrders carries out the orders in an answer.
func (w *worker) applyOrders(o *sched.Orders, sent time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended || o.Fence < w.fence || time.Since(sent) > heartbeatTimeout {
		return
	}
	w.fence = o.Fence
	for len(w.ends) > 0 && w.ends[0].N <= o.AckedThrough {
		e := w.ends[0]
		w.host.s.ledger.endAcknowledged(e)
		w.ends = w.ends[1:]
	}
	if o.HoldMS > 0 {
		hold := min(time.Duration(o.HoldMS)*time.Millisecond, maxHold)
		// Clocks of workers may be 2 % slow; every other one is.
		if w.host.index%2 == 0 {
			hold += hold / 50
		}
		if until := sent.Add(hold); until.After(w.lease) {
			w.lease = until
		}
	}
	for _, ref := range o.Stops {
		w.lastRuns[ref.Task] = max(w.lastRuns[ref.Task], ref.Run)
		if r := w.running[ref.Task]; r != nil && r.number == ref.Run && r.stopAt.IsZero() {
			r.stopAt = time.Now().Add(rand.N(stopGrace))
		}
	}
	if o.HoldMS == 0 || time.Now().After(w.lease) {
		return
	}
	for _, st := range o.Starts {
		w.startRun(st)
	}
}

func (w *worker) startRun(st sched.StartOrder) {
	if r := w.running[st.Task]; r != nil && r.number == st.Run {
		return
	}
	if slices.ContainsFunc(w.ends, func(e runEnd) bool { return e.Task == st.Task && e.Run == st.Run }) {
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

func hash(parts ...any) uint64 {
	h := fnv.New64a()
	fmt.Fprint(h, parts...)
	return h.Sum64()
}

// taskDuration returns how long a task works; members of a gang work equally long.
func taskDuration(id batch.TaskID, step batch.Step) time.Duration {
	if step.Gang {
		id.Index = 0
	}
	return time.Duration(150+hash("work", id)%900) * time.Millisecond
}

const (
	failingJobInterval = 40 // one job in so many can never be done
	failingRunInterval = 25 // one run in so many fails by its own fault
)

func runFails(id batch.TaskID, run int) bool {
	return hash("hopeless", id.Job)%failingJobInterval == 0 || hash("fails", id, run)%failingRunInterval == 0
}

func formatCheckpoint(worked time.Duration) string { return fmt.Sprintf("%08x", worked.Milliseconds()) }

func parseCheckpoint(checkpoint string) time.Duration {
	var ms int64
	if _, err := fmt.Sscanf(checkpoint, "%x", &ms); err != nil {
		return 0 // none
	}
	return time.Duration(ms) * time.Millisecond
}
