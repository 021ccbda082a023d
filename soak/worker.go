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
	tick = 10 * time.Millisecond
	// saveInterval is the work between two checkpoints.
	saveInterval = 100 * time.Millisecond
	// beatLimit is how late an answer to a heartbeat still counts.
	beatLimit = time.Second
	// endPause is the pause before the heartbeat that reports an end.
	endPause = 50 * time.Millisecond
)

// host is a machine that workers run on, one life at a time.
type host struct {
	s     *soak
	index int
	dc    string
	// cutOut and cutIn drop heartbeats on the way out and their answers on the way back.
	cutOut, cutIn atomic.Bool
	// starts counts the runs that began here.
	starts atomic.Int64
	// crash ends the present life at once, drain in an orderly way.
	crash, drain chan struct{}
}

// life is one life of a worker.
type life struct {
	host *host
	id   string
	born int64
	call stand.Client

	mu      sync.Mutex
	running map[batch.TaskID]*run
	ends    []end
	count   int64 // ends so far
	fence   uint64
	// barred holds the highest run of each task that ended or was stopped here.
	barred   map[batch.TaskID]int
	lease    time.Time
	draining time.Time // when it began to drain; zero when it does not
	gone     bool
}

// run is a task at work.
type run struct {
	number int
	step   batch.Step
	gang   *gang // nil for single tasks
	began  time.Time
	work   time.Duration // all of the task's work
	saved  time.Duration // work that was done before this run
	fails  bool
	// stopped is when the run ends because of a stop; zero when none was ordered.
	stopped time.Time
	last    string
}

// end is an end that the system has not taken note of. Once the worker's lease has
// expired it counts for nothing: the run may have been given to another worker.
type end struct {
	sched.RunEnd
	lapsed bool
}

// gang joins the runs of one attempt at a gang, on whatever workers they are.
type gang struct {
	members map[int]bool
	size    int
	created time.Time
	full    time.Time
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
	if h.cutOut.Load() {
		return silent()
	}
	resp, err := h.s.transport.RoundTrip(r)
	if err == nil && h.cutIn.Load() {
		resp.Body.Close()
		return silent()
	}
	return resp, err //nolint:wrapcheck // a transport.
}

// live runs one life after the other until the soak ends.
func (h *host) live(ctx context.Context, rnd *rand.Rand) {
	id := fmt.Sprintf("w-%d-0", h.index)
	for n := 1; ctx.Err() == nil; n++ {
		w := &life{host: h, id: id, born: time.Now().UnixMilli(), running: map[batch.TaskID]*run{}, barred: map[batch.TaskID]int{}}
		w.call.HTTP = &http.Client{Transport: h}
		w.live(ctx)
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

// live runs until the life ends by a crash, by draining or with the soak.
func (w *life) live(parent context.Context) {
	ctx, cancel := context.WithCancel(parent)
	var wg sync.WaitGroup
	wg.Go(func() { w.beats(ctx) })
	t := time.NewTicker(tick)
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
			leave = w.advance(time.Now())
			alive = !leave
		}
	}
	w.mu.Lock()
	w.gone = true
	for id, r := range w.running {
		w.host.s.breakGang(r, id)
	}
	w.host.s.ledger.gone(w)
	w.mu.Unlock()
	cancel()
	wg.Wait()
	if leave {
		try, stop := context.WithTimeout(parent, beatLimit)
		defer stop()
		// A farewell may be lost; the system must do without.
		_, _ = w.call.Leave(try, w.host.s.control(w.host.index), w.id)
	}
}

// advance moves the runs on and reports whether the life ends by draining.
func (w *life) advance(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	expired := now.After(w.lease)
	if expired {
		for i := range w.ends {
			w.ends[i].lapsed = true
		}
	}
	for id, r := range w.running {
		if how := w.fate(id, r, now, expired); how != "" {
			w.finish(id, r, how)
		}
	}
	return !w.draining.IsZero() && now.Sub(w.draining) > drainTime+beatLimit
}

// fate returns how a run ends now, empty when it goes on.
func (w *life) fate(id batch.TaskID, r *run, now time.Time, expired bool) batch.How {
	s := w.host.s
	worked := now.Sub(r.began)
	if r.gang != nil {
		s.gangMu.Lock()
		defer s.gangMu.Unlock()
		switch {
		case r.gang.done:
			return batch.EndDone
		case r.gang.broken:
			return batch.EndBroken
		case r.gang.full.IsZero():
			worked = 0
			if now.Sub(r.gang.created) > gangTimeout {
				return batch.EndAlone
			}
		default:
			worked = now.Sub(r.gang.full)
		}
	}
	if r.step.Checkpoints && worked > 0 {
		if c := checkpointOf(r.saved + worked.Truncate(saveInterval)); c != r.last && worked >= saveInterval {
			r.last = c
			s.ledger.saved(id, c)
		}
	}
	switch {
	case expired:
		return batch.EndLapsed
	case r.saved+worked >= r.work:
		if r.fails {
			return batch.EndFailed
		}
		if r.gang != nil {
			r.gang.done = true
		}
		return batch.EndDone
	case !r.stopped.IsZero() && now.After(r.stopped):
		return batch.EndStopped
	}
	return ""
}

func (w *life) finish(id batch.TaskID, r *run, how batch.How) {
	if how != batch.EndDone {
		w.host.s.breakGang(r, id)
	}
	delete(w.running, id)
	w.list(id, r.number, how, r.last)
	w.host.s.ledger.ended(w, id, r.number, how)
}

// list adds an end to those that are reported.
func (w *life) list(id batch.TaskID, number int, how batch.How, checkpoint string) {
	w.count++
	w.barred[id] = max(w.barred[id], number)
	w.ends = append(w.ends, end{RunEnd: sched.RunEnd{N: w.count, Task: id, Run: number, How: how, Checkpoint: checkpoint}})
}

// beats sends heartbeats until the life ends.
func (w *life) beats(ctx context.Context) {
	node, url := w.host.index, ""
	for seq := int64(1); ctx.Err() == nil; seq++ {
		address := url
		if address == "" {
			address = w.host.s.control(node)
		}
		report, ends := w.report(seq)
		sent := time.Now()
		try, cancel := context.WithTimeout(ctx, beatLimit)
		o, next, _, err := w.call.Heartbeat(try, address, report)
		cancel()
		pause := endPause
		if err != nil || o == nil {
			node, url = node+1, ""
		} else {
			url = next
			w.obey(o, sent)
			pause = max(endPause, time.Duration(o.RetryAfterMS)*time.Millisecond)
		}
		for until := time.Now().Add(pause); time.Now().Before(until) && ctx.Err() == nil; {
			sleep(ctx, tick)
			if w.ended() > ends && time.Since(sent) > endPause {
				break
			}
		}
	}
}

func (w *life) ended() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.count
}

func (w *life) report(seq int64) (sched.Beat, int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	b := sched.Beat{
		Worker: w.id, Service: service, Address: fmt.Sprintf("10.0.0.%d:80", w.host.index), DataCentre: w.host.dc, Machine: fmt.Sprintf("m-%d", w.host.index),
		Life: w.born, Seq: seq, Capacity: capacity, Labels: []string{"a", w.host.dc + "-r"}, Rack: w.host.dc + "-r",
	}
	if !w.draining.IsZero() {
		b.Draining, b.DrainLeftMS = true, max(0, (drainTime-time.Since(w.draining)).Milliseconds())
	}
	for id, r := range w.running {
		b.Running = append(b.Running, sched.RunState{Task: id, Run: r.number, Checkpoint: r.last, Percent: r.percent()})
	}
	for _, e := range w.ends {
		b.Ended = append(b.Ended, e.RunEnd)
	}
	return b, w.count
}

// percent returns a run's rough progress.
func (r *run) percent() int {
	began := r.began
	if r.gang != nil {
		began = r.gang.full
	}
	if began.IsZero() {
		return 0
	}
	return int(min(99, 100*(r.saved+time.Since(began))/r.work))
}

// obey carries out the orders in an answer.
func (w *life) obey(o *sched.Orders, sent time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.gone || o.Fence < w.fence || time.Since(sent) > beatLimit {
		return
	}
	w.fence = o.Fence
	for len(w.ends) > 0 && w.ends[0].N <= o.AckedThrough {
		e := w.ends[0]
		w.host.s.ledger.noted(e)
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
		w.barred[ref.Task] = max(w.barred[ref.Task], ref.Run)
		if r := w.running[ref.Task]; r != nil && r.number == ref.Run && r.stopped.IsZero() {
			r.stopped = time.Now().Add(rand.N(stopGrace))
		}
	}
	if o.HoldMS == 0 || time.Now().After(w.lease) {
		return
	}
	for _, st := range o.Starts {
		w.start(st)
	}
}

func (w *life) start(st sched.StartOrder) {
	if r := w.running[st.Task]; r != nil && r.number == st.Run {
		return
	}
	if slices.ContainsFunc(w.ends, func(e end) bool { return e.Task == st.Task && e.Run == st.Run }) {
		return
	}
	s := w.host.s
	step, need, ok := s.needOf(st.Task)
	free := capacity
	for _, r := range w.running {
		free = free.Minus(r.step.Need)
	}
	if ok && (st.Run <= w.barred[st.Task] || w.running[st.Task] != nil || !free.Fits(need)) {
		w.list(st.Task, st.Run, batch.EndRefused, "")
		return
	}
	w.host.starts.Add(1)
	s.ledger.started(w, st.Task, st.Run, st.Text, st.Checkpoint)
	if !ok {
		return
	}
	r := &run{number: st.Run, step: step, began: time.Now(), work: workOf(st.Task, step), saved: progressOf(st.Checkpoint), last: st.Checkpoint}
	r.fails = failsAt(st.Task, st.Run)
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

// workOf returns how long a task works; members of a gang work equally long.
func workOf(id batch.TaskID, step batch.Step) time.Duration {
	if step.Gang {
		id.Index = 0
	}
	return time.Duration(150+hash("work", id)%900) * time.Millisecond
}

const (
	hopelessShare = 40 // one job in so many can never be done
	failingShare  = 25 // one run in so many fails by its own fault
)

func failsAt(id batch.TaskID, run int) bool {
	return hash("hopeless", id.Job)%hopelessShare == 0 || hash("fails", id, run)%failingShare == 0
}

func checkpointOf(worked time.Duration) string { return fmt.Sprintf("%08x", worked.Milliseconds()) }

func progressOf(checkpoint string) time.Duration {
	var ms int64
	if _, err := fmt.Sscanf(checkpoint, "%x", &ms); err != nil {
		return 0 // none
	}
	return time.Duration(ms) * time.Millisecond
}
