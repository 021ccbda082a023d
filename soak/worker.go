package soak

import (
	"context"
	"fmt"
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
	// dueMargin is the delay of a timer after the time at which something is due, so
	// that it is past when the timer fires.
	dueMargin = time.Millisecond
	// idleInterval is the time until a worker without anything due looks again.
	idleInterval = time.Second
	// workersPerRack is the number of hosts in a rack.
	workersPerRack = 20
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
	rack  string
	// dropRequests drops heartbeats, dropResponses their responses; refuseRequests makes heartbeats fail at once.
	dropRequests, dropResponses, refuseRequests atomic.Bool
	// idle counts the faults that keep the host's workers from beginning runs.
	idle atomic.Int64
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
	// wake is signalled when a gang of the worker's runs changes or a run is added or
	// stopped, endQueued when an end is to be reported.
	wake, endQueued chan struct{}

	mu      sync.Mutex
	running map[batch.TaskID]*run
	ends    []pendingEnd
	endSeq  int64  // sequence number of the latest end
	fence   uint64 // highest fence of an accepted response
	// lastRuns holds, by task, the highest number of a run that ended or was stopped on
	// this worker. Orders to start it or an earlier one are refused.
	lastRuns map[batch.TaskID]int
	lease    time.Time // end of the lease
	// leaseEnd is lease in Unix nanoseconds, for readers without mu.
	leaseEnd atomic.Int64
	draining time.Time // when draining began; zero when the worker does not drain
	ended    bool
}

// leaseLeft returns how long the worker's lease still lasts; it is negative once that has ended.
func (w *worker) leaseLeft() time.Duration { return time.Until(time.Unix(0, w.leaseEnd.Load())) }

// pendingEnd is an end that the system has not acknowledged. Once the worker's lease
// has expired it does not count: the run may have been given to another worker.
type pendingEnd struct {
	sched.RunEnd
	leaseExpired bool
}

func newHost(s *soak, i int) *host {
	dc := s.bounds.dcName(i)
	rack := fmt.Sprintf("%s-r%d", dc, i/s.bounds.dataCentres/workersPerRack)
	return &host{s: s, index: i, dc: dc, rack: rack, crash: make(chan struct{}, 1), drain: make(chan struct{}, 1)}
}

// RoundTrip sends a request of the host's worker. A dropped request or response
// blocks until the request's context ends.
func (h *host) RoundTrip(r *http.Request) (*http.Response, error) {
	block := func() (*http.Response, error) {
		<-r.Context().Done()
		return nil, r.Context().Err() //nolint:wrapcheck // RoundTrip returns what a network without responses would.
	}
	if h.refuseRequests.Load() {
		return nil, errRefused
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

// cutOff reports whether the host's worker hears nothing of the system and of other workers.
func (h *host) cutOff() bool {
	return h.dropRequests.Load() || h.dropResponses.Load() || h.refuseRequests.Load()
}

// run runs one worker after the other until ctx ends.
func (h *host) run(ctx context.Context, rnd *rand.Rand) {
	id := fmt.Sprintf("w-%d-0", h.index)
	for n := 1; ctx.Err() == nil; n++ {
		w := &worker{host: h, id: id, incarnation: time.Now().UnixMilli(), running: map[batch.TaskID]*run{}, lastRuns: map[batch.TaskID]int{}, wake: make(chan struct{}, 1), endQueued: make(chan struct{}, 1)}
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
	t := time.NewTimer(idleInterval)
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
		case <-w.wake:
		case <-t.C:
		}
		if alive {
			var due time.Time
			due, drained = w.advanceRuns(time.Now())
			alive = !drained
			t.Reset(max(0, time.Until(due)) + dueMargin)
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

// advanceRuns ends the runs that are due. It returns when something is due next and
// whether the worker has drained.
func (w *worker) advanceRuns(now time.Time) (time.Time, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endDueRuns(now)
	next := now.Add(idleInterval)
	if !now.After(w.lease) {
		next = earlier(next, w.lease)
	}
	for _, r := range w.running {
		next = earlier(next, w.host.s.due(r))
	}
	if w.draining.IsZero() {
		return next, false
	}
	drainEnd := w.draining.Add(w.host.s.bounds.drainTimeout + heartbeatTimeout)
	return earlier(next, drainEnd), now.After(drainEnd)
}

// endDueRuns ends the runs that are due at the time now. The caller holds w.mu.
func (w *worker) endDueRuns(now time.Time) {
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
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// notify signals a channel that holds one signal.
func notify(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// endReason returns how a run ends at the time now, empty when it continues.
func (w *worker) endReason(id batch.TaskID, r *run, now time.Time, expired bool) batch.EndReason {
	s := w.host.s
	s.saveCheckpoint(id, r, now)
	s.gangMu.Lock()
	defer s.gangMu.Unlock()
	if r.gang != nil {
		switch {
		case r.gang.done:
			return batch.EndDone
		case r.gang.broken && !w.host.cutOff():
			return batch.EndGangBroken
		case r.gang.completeAt.IsZero() && now.Sub(r.gang.createdAt) > s.bounds.gangTimeout:
			return batch.EndGangIncomplete
		}
	}
	switch {
	case expired:
		return batch.EndLeaseExpired
	case r.gang != nil && r.gang.broken:
		// The worker is cut off and has not heard of the break; the run stays, without work.
	case r.resumedWork+r.worked(now) >= r.workTime:
		if r.fails {
			return batch.EndFailed
		}
		if r.gang != nil {
			r.gang.done = true
			r.gang.notifyWorkers()
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
	notify(w.endQueued)
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
		w.awaitHeartbeat(ctx, sent, pause, reportedSeq)
	}
}

// awaitHeartbeat waits for pause, or until an end after reportedSeq is to be reported
// and the last heartbeat was sent at least minHeartbeatInterval ago.
func (w *worker) awaitHeartbeat(ctx context.Context, sent time.Time, pause time.Duration, reportedSeq int64) {
	t := time.NewTimer(pause)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			return
		case <-w.endQueued:
			if w.lastEndSeq() > reportedSeq {
				sleep(ctx, minHeartbeatInterval-time.Since(sent))
				return
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
		Worker: w.id, Service: service, Address: fmt.Sprintf("10.0.%d.%d:80", w.host.index/250, w.host.index%250), DataCentre: w.host.dc, Machine: fmt.Sprintf("m-%d", w.host.index),
		Incarnation: w.incarnation, Seq: seq, Capacity: capacity, Labels: []string{"a", w.host.rack}, Rack: w.host.rack,
	}
	if !w.draining.IsZero() {
		b.Draining, b.DrainLeftMS = true, max(0, (w.host.s.bounds.drainTimeout-time.Since(w.draining)).Milliseconds())
	}
	now := time.Now()
	for id, r := range w.running {
		w.host.s.saveCheckpoint(id, r, now)
		b.Running = append(b.Running, sched.RunState{Task: id, Run: r.number, Checkpoint: r.checkpoint, Percent: w.host.s.percent(r, now)})
	}
	for _, e := range w.ends {
		b.Ended = append(b.Ended, e.RunEnd)
	}
	return b, w.endSeq
}

// applyOrders applies the response to a heartbeat that was sent at the time sent. It
// ignores responses that are late or carry an older fence.
func (w *worker) applyOrders(o *sched.Orders, sent time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended || o.Fence < w.fence || time.Since(sent) > heartbeatTimeout {
		return
	}
	// A lease that has expired is not extended for the runs that it covered.
	w.endDueRuns(time.Now())
	w.fence = o.Fence
	for len(w.ends) > 0 && w.ends[0].Number <= o.AckedThrough {
		e := w.ends[0]
		w.host.s.ledger.endAcknowledged(e)
		w.ends = w.ends[1:]
	}
	if o.LeaseMS > 0 {
		lease := min(time.Duration(o.LeaseMS)*time.Millisecond, w.host.s.bounds.maxHold)
		// Clocks of workers may be 2 % slow; here those of every other host are.
		if w.host.index%2 == 0 {
			lease += lease / 50
		}
		if until := sent.Add(lease); until.After(w.lease) {
			w.lease = until
			w.leaseEnd.Store(until.UnixNano())
		}
	}
	for _, ref := range o.Stops {
		w.lastRuns[ref.Task] = max(w.lastRuns[ref.Task], ref.Run)
		if r := w.running[ref.Task]; r != nil && r.number == ref.Run && r.stopAt.IsZero() {
			r.stopAt = time.Now().Add(rand.N(w.host.s.bounds.stopGrace))
			notify(w.wake)
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
	if w.host.idle.Load() > 0 {
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
	r := &run{number: st.Run, step: step, startedAt: time.Now(), workTime: s.bounds.taskDuration(st.Task, step), resumedWork: parseCheckpoint(st.Checkpoint), checkpoint: st.Checkpoint}
	r.fails = runFails(st.Task, st.Run, step)
	if step.Gang {
		r.gang = s.joinGang(w, st.Task, st.Run, step.Count)
	}
	w.running[st.Task] = r
	notify(w.wake)
}
