package sched_test

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"turmericroute/batch"
	"turmericroute/model"
	"turmericroute/sched"
	"turmericroute/state"
)

// replica is a state.Replica that applies commands to a local state immediately.
type replica struct {
	mu      sync.Mutex
	machine *state.Machine
	index   uint64
	wall    func() time.Time
	// slow is set while ends are not committed in time; late holds them until they are.
	slow bool
	late []state.ChangeBatch
	// slowAccepts is set while acceptances of jobs are not committed in time.
	slowAccepts bool
	// stallStarts, stallEnds and stallProgress are set while starts, ends, or the progress of waves are proposed and not committed; stalled
	// holds them until the next command is.
	stallStarts, stallEnds, stallProgress bool
	stalled                               []state.ChangeBatch
}

// errLate is the error of a command that is committed late.
var errLate = model.Unknown(model.CodeDeadline, "command was proposed but not applied in time")

func (r *replica) Execute(ctx context.Context, c state.Command) (state.Result, error) {
	b := c.(state.ChangeBatch)
	b.Change.AtMS = r.wall().UnixMilli()
	if r.stall(b) {
		<-ctx.Done()
		return state.Result{}, errLate
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, earlier := range r.stalled {
		r.index++
		r.machine.Apply(r.index, earlier)
	}
	r.stalled = nil
	if r.slow && b.Change.Ends != nil || r.slowAccepts && b.Change.Accept != nil {
		r.late = append(r.late, b)
		return state.Result{}, errLate
	}
	r.index++
	return r.machine.Apply(r.index, b), nil
}

// stall keeps a change from being committed that is to be stalled, and reports whether it does.
func (r *replica) stall(b state.ChangeBatch) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if (!r.stallStarts || b.Change.Starts == nil) && (!r.stallEnds || b.Change.Ends == nil) && (!r.stallProgress || b.Change.WaveProgress == nil) {
		return false
	}
	r.stalled = append(r.stalled, b)
	return true
}

// setStallStarts stalls starts from now on, or ends that; those that are stalled are committed before the next command.
func (r *replica) setStallStarts(stall bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stallStarts = stall
}

// setStallEnds stalls ends from now on, or ends that.
func (r *replica) setStallEnds(stall bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stallEnds = stall
}

// setStallProgress stalls the progress of waves from now on, or ends that and drops what is stalled, as an election may.
func (r *replica) setStallProgress(stall bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stallProgress = stall
	if !stall {
		r.stalled = nil
	}
}

// stalledCount returns how many proposals are stalled.
func (r *replica) stalledCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.stalled)
}

// delayEnds makes commits of ends late until commitLate is called.
func (r *replica) delayEnds() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.slow = true
}

// delayAccepts makes commits of acceptances late, or ends that.
func (r *replica) delayAccepts(late bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.slowAccepts = late
}

// commitLate commits ends from now on in time, and those that were late.
func (r *replica) commitLate() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, b := range r.late {
		r.index++
		r.machine.Apply(r.index, b)
	}
	r.slow, r.late = false, nil
}

// dropLate drops what was to be committed late, and commits ends from now on in time.
func (r *replica) dropLate() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.slow, r.late = false, nil
}

func (r *replica) ExecuteIn(ctx context.Context, _ uint64, c state.Command) (state.Result, error) {
	return r.Execute(ctx, c)
}
func (r *replica) Barrier(context.Context) error { return nil }
func (r *replica) Machine() *state.Machine       { return r.machine }
func (r *replica) ViewAge() time.Duration        { return 0 }
func (r *replica) Status() state.ReplicaStatus   { return state.ReplicaStatus{} }
func (r *replica) Poll(context.Context, model.PollRequest) (model.PollResponse, error) {
	return model.PollResponse{}, nil
}

// fixture is a leading scheduler with fake workers, which carry out their orders when a test sends their heartbeats.
type fixture struct {
	s       *sched.Scheduler
	r       *replica
	now     atomic.Int64 // time of both clocks in nanoseconds
	term    uint64
	stop    context.CancelFunc
	ended   chan struct{}
	workers map[string]*fakeWorker
	cfg     sched.Config
}

// fakeWorker is a worker that records the orders that it got.
type fakeWorker struct {
	hb      sched.Heartbeat
	nextEnd int64
	started []sched.StartOrder
	stopped []sched.RunRef
	last    *sched.Orders
}

const (
	testHost  = "h.example"
	testKey   = "key"
	guarantee = 16
)

func newFixture(change ...func(*sched.Config)) *fixture {
	f := &fixture{workers: map[string]*fakeWorker{}}
	f.start(change...)
	f.declare(1)
	return f
}

// start makes a new scheduler lead, without a configuration.
func (f *fixture) start(change ...func(*sched.Config)) {
	f.now.Store(int64(1000 * time.Second))
	boot := func() time.Duration { return time.Duration(f.now.Load()) }
	wall := func() time.Time { return time.UnixMilli(0).Add(boot()) }
	f.cfg = sched.Config{
		Name: "control", BootClock: boot, WallClock: wall, Logger: log.NewLogfmtLogger(log.NewSyncWriter(GinkgoWriter)),
		Limits: sched.Limits{
			MaxLease: 6 * time.Second, StopGrace: 400 * time.Millisecond, Reclaim: 6 * time.Second,
			FinishedRetention: 2 * time.Minute, HandoverDelay: 0, MaintenanceTime: 2 * time.Second,
		},
	}
	for _, c := range change {
		c(&f.cfg)
	}
	f.r = &replica{machine: state.New(), wall: wall}
	f.s = sched.New(f.cfg)
	f.lead()
	DeferCleanup(func() { f.stop(); <-f.ended })
}

// lead makes the scheduler lead in a new term.
func (f *fixture) lead() {
	f.term++
	ctx, cancel := context.WithCancel(context.Background())
	f.stop, f.ended = cancel, make(chan struct{})
	ended := f.ended
	go func() { defer close(ended); f.s.Lead(ctx, f.term, f.r) }()
	Eventually(func() error { return f.call(sched.Call{Ping: true}).err }).Should(Succeed())
}

// changeLeader ends the term and makes a new scheduler, without in-memory state, lead in the next one.
func (f *fixture) changeLeader() {
	f.stop()
	<-f.ended
	f.s = sched.New(f.cfg)
	f.lead()
}

type reply struct {
	sched.Answer
	err error
}

func (f *fixture) call(c sched.Call) reply {
	a, err := f.s.Answer(context.Background(), c)
	return reply{a, err}
}

func (f *fixture) declare(version uint64) { f.declareTeams(version, testTeam) }

// testTeam is the team of the fixture, without a quota.
var testTeam = batch.Team{Name: "team", Keys: []string{testKey}, GuaranteedGPUs: guarantee}

// declareQuota declares the fixture's team with a quota.
func (f *fixture) declareQuota(version uint64, maximum batch.Resources) {
	t := testTeam
	t.Maximum = maximum
	f.declareTeams(version, t)
}

func (f *fixture) declareTeams(version uint64, teams ...batch.Team) {
	queue := func(name string, priority int, advice *batch.Advice) batch.Queue {
		return batch.Queue{Name: name, Host: testHost, Prefix: "/" + name + "/", Service: "svc", Priority: priority, MaxFailures: 2, Stretch: 3, TargetMS: 1000, Advice: advice}
	}
	Expect(f.call(sched.Call{Declare: &batch.Catalog{
		Version: version, Source: []byte(fmt.Sprint(version)), Services: []batch.Service{{Name: "svc", AdmissionControl: true}},
		Queues: []batch.Queue{queue("urgent", 0, nil), queue("normal", 1, nil), queue("advised", 1, &batch.Advice{})},
		Teams:  teams,
	}}).err).To(Succeed())
}

func jobRef(queue, id string) sched.JobRef {
	return sched.JobRef{Host: testHost, Path: "/" + queue + "/" + id, Key: testKey}
}

func (f *fixture) submit(queue, id string, steps ...batch.Step) {
	Expect(f.call(sched.Call{Submit: &sched.Submit{JobRef: jobRef(queue, id), Spec: batch.Spec{Text: "text of " + id, Steps: steps}}}).err).To(Succeed())
}

// offer submits a job and reports whether it was accepted. It may only be refused for overload, with a time to return.
func (f *fixture) offer(queue, id string, spec batch.Spec) bool {
	err := f.call(sched.Call{Submit: &sched.Submit{JobRef: jobRef(queue, id), Spec: spec}}).err
	if err == nil {
		return true
	}
	e := model.AsError(err)
	Expect(e.Code).To(Equal(model.CodeOverloaded))
	Expect(e.Outcome).To(Equal(model.OutcomeNotRun))
	Expect(e.RetryAfter).To(BeNumerically(">", 0))
	return false
}

func (f *fixture) state(queue, id string) sched.JobState {
	r := jobRef(queue, id)
	return f.call(sched.Call{Show: &r}).State
}

func (f *fixture) cancel(queue, id string) {
	r := jobRef(queue, id)
	Expect(f.call(sched.Call{Cancel: &r}).err).To(Succeed())
}

// setOutage takes a data centre out of service or back, with an order that is stamped just before.
func (f *fixture) setOutage(dc string, out bool) error {
	stamp := f.call(sched.Call{Ping: true}).Stamp
	return f.call(sched.Call{Outage: &batch.Outage{DataCentre: dc, Out: out}, Stamp: stamp}).err
}

// addWorkers adds workers with 8 accelerators in a rack and sends a heartbeat of each.
func (f *fixture) addWorkers(rack, dc string, names ...string) {
	for _, n := range names {
		f.workers[n] = &fakeWorker{hb: sched.Heartbeat{
			Worker: n, Service: "svc", Address: n + ":1", DataCentre: dc, Machine: "m-" + n, Incarnation: 1, Labels: []string{"a", rack}, Rack: rack,
			Capacity: batch.Resources{CPUMilli: 32000, MemoryMB: 64000, GPUs: 8},
		}}
		f.heartbeat(n)
	}
}

// heartbeat sends a worker's heartbeat and carries out the orders in the answer.
func (f *fixture) heartbeat(name string) *sched.Orders {
	return f.heartbeatIn(context.Background(), name)
}

func (f *fixture) heartbeatIn(ctx context.Context, name string) *sched.Orders {
	w := f.workers[name]
	w.hb.Seq++
	hb := w.hb
	hb.Running, hb.Ended = slices.Clone(hb.Running), slices.Clone(hb.Ended)
	a, err := f.s.Answer(ctx, sched.Call{Heartbeat: &hb})
	Expect(err).NotTo(HaveOccurred())
	w.last = a.Orders
	w.hb.Ended = slices.DeleteFunc(w.hb.Ended, func(e sched.RunEnd) bool { return e.Number <= a.Orders.AckedThrough })
	for _, s := range a.Orders.Stops {
		w.stopped = append(w.stopped, s)
		w.end(s.Task, batch.EndStopped)
	}
	if a.Orders.LeaseMS > 0 {
		for _, s := range a.Orders.Starts {
			w.started = append(w.started, s)
			w.hb.Running = append(w.hb.Running, sched.RunState{Task: s.Task, Run: s.Run})
		}
	}
	return a.Orders
}

// end ends a task that runs on the worker; it does nothing if the task does not run there.
func (w *fakeWorker) end(id batch.TaskID, reason batch.EndReason) {
	i := slices.IndexFunc(w.hb.Running, func(r sched.RunState) bool { return r.Task == id })
	if i < 0 {
		return
	}
	w.nextEnd++
	w.hb.Ended = append(w.hb.Ended, sched.RunEnd{Number: w.nextEnd, Task: id, Run: w.hb.Running[i].Run, Reason: reason})
	w.hb.Running = slices.Delete(w.hb.Running, i, i+1)
}

// heartbeatAll sends one heartbeat of each worker, in the order of their names.
func (f *fixture) heartbeatAll() {
	for _, n := range slices.Sorted(maps.Keys(f.workers)) {
		f.heartbeat(n)
	}
}

// running returns the worker of each running task of a job.
func (f *fixture) running(id string) map[batch.TaskID]string {
	out := map[batch.TaskID]string{}
	for name, w := range f.workers {
		for _, r := range w.hb.Running {
			if r.Task.Job == id {
				Expect(out).NotTo(HaveKey(r.Task), "two runs of one task")
				out[r.Task] = name
			}
		}
	}
	return out
}

// awaitRunning advances the clock and sends heartbeats until a job has count running tasks.
func (f *fixture) awaitRunning(id string, count int) {
	GinkgoHelper()
	Eventually(func() int {
		f.advance(100 * time.Millisecond)
		f.heartbeatAll()
		return len(f.running(id))
	}, 5*time.Second, 20*time.Millisecond).Should(Equal(count))
}

// starts returns the number of start orders for a job.
func (f *fixture) starts(id string) int {
	n := 0
	for _, w := range f.workers {
		for _, s := range w.started {
			if s.Task.Job == id {
				n++
			}
		}
	}
	return n
}

// expectNoStart sends heartbeats over 750 ms of clock time and expects no further start order for a job.
func (f *fixture) expectNoStart(id string) {
	GinkgoHelper()
	before := f.starts(id)
	for range 15 {
		f.advance(50 * time.Millisecond)
		f.heartbeatAll()
		time.Sleep(20 * time.Millisecond) // placement passes run in real time
	}
	Expect(f.starts(id)).To(Equal(before))
}

func (f *fixture) advance(d time.Duration) { f.now.Add(int64(d)) }

func gpus(n int) batch.Resources { return batch.Resources{CPUMilli: 1000, MemoryMB: 1000, GPUs: n} }
