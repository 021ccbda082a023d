package gang_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"turmericroute/config"
	"turmericroute/fakes"
	"turmericroute/gang"
	"turmericroute/model"
	"turmericroute/state"
)

// cluster runs one leader at a time on an in-memory replica, with fake workers that poll over HTTP.
type cluster struct {
	ctx     context.Context
	replica *fakes.Replica
	driver  atomic.Pointer[gang.Driver]
	term    uint64
	endTerm context.CancelFunc
	server  *httptest.Server
	ledger  *fakes.Ledger
	kill    map[string]context.CancelFunc // by worker name, like workers
	workers map[string]*fakes.Worker
	metrics *metrics.Set
	// abandoned is set while workers give up each poll before it is answered.
	abandoned atomic.Bool
	stalled   stalledCommands
	// ahead is how far the drivers' clock is ahead, in nanoseconds.
	ahead atomic.Int64
}

// stalledCommands holds commands that are proposed and not committed until the leader's next command is.
type stalledCommands struct {
	mu sync.Mutex
	// chosen reports whether a command is to be stalled; nil stalls none.
	chosen func(state.Command) bool
	held   []state.Command
}

// stallingReplica is the replica of a leader whose commands may be stalled.
type stallingReplica struct {
	*fakes.Replica
	stalled *stalledCommands
}

func (r stallingReplica) ExecuteIn(ctx context.Context, term uint64, c state.Command) (state.Result, error) {
	if r.stalled.hold(c) {
		<-ctx.Done()
		return state.Result{}, model.Unknown(model.CodeDeadline, "command was proposed but not applied in time")
	}
	for _, earlier := range r.stalled.take() {
		if _, err := r.Replica.ExecuteIn(ctx, term, earlier); err != nil {
			return state.Result{}, err
		}
	}
	return r.Replica.ExecuteIn(ctx, term, c)
}

// hold keeps a command from being committed if it is chosen, and reports whether it does.
func (p *stalledCommands) hold(c state.Command) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.chosen == nil || !p.chosen(c) {
		return false
	}
	p.held = append(p.held, c)
	return true
}

func (p *stalledCommands) take() []state.Command {
	p.mu.Lock()
	defer p.mu.Unlock()
	held := p.held
	p.held = nil
	return held
}

// set chooses the commands that are stalled from now on; nil ends that.
func (p *stalledCommands) set(chosen func(state.Command) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.chosen = chosen
}

func (p *stalledCommands) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.held)
}

var perWorker = model.Resources{GPUs: 8, Cores: 32, MemoryMB: 65536}

func newCluster() *cluster {
	ctx, cancel := context.WithCancel(context.Background())
	s := &cluster{metrics: metrics.NewSet(), ctx: ctx, replica: fakes.NewReplica(), ledger: fakes.NewLedger(), kill: map[string]context.CancelFunc{}, workers: map[string]*fakes.Worker{}}
	s.replica.PollFunc = func(ctx context.Context, req model.PollRequest) (model.PollResponse, error) {
		return s.driver.Load().Poll(ctx, req)
	}
	s.server = httptest.NewServer(http.HandlerFunc(s.poll))
	DeferCleanup(func() {
		cancel()
		s.server.CloseClientConnections()
		s.server.Close()
	})
	s.patch(config.Change{PutDataCentre: dataCentre("north")}, config.Change{PutDataCentre: dataCentre("south")},
		config.Change{PutTeam: &config.Team{Name: "large", Guarantees: []config.Guarantee{{Shape: model.Shape{Tasks: 2, GPUs: 8, SameRack: true}}}}},
		config.Change{PutTeam: &config.Team{Name: "small"}})
	s.elect()
	return s
}

func dataCentre(name string) *config.DataCentre {
	return &config.DataCentre{Name: name, Region: "one", Racks: []config.Rack{{Name: name + "-r1", Workers: 2, PerWorker: perWorker}}}
}

func (s *cluster) poll(w http.ResponseWriter, r *http.Request) {
	var req model.PollRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	if s.abandoned.Load() {
		cancel()
	}
	resp, err := s.replica.Poll(ctx, req)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	json.NewEncoder(w).Encode(resp)
}

// elect ends the current term and begins the next one with a new driver.
func (s *cluster) elect() { s.driver.Store(s.newTerm()) }

// newTerm ends the current term and begins the next one with the driver that it returns.
func (s *cluster) newTerm() *gang.Driver {
	if s.endTerm != nil {
		s.endTerm()
	}
	s.term++
	d := gang.New(gang.Config{Metrics: s.metrics, Now: func() time.Time { return time.Now().Add(time.Duration(s.ahead.Load())) }})
	s.lead(d)
	return d
}

// lead makes a driver lead until endTerm is called, which waits for its end.
func (s *cluster) lead(d *gang.Driver) {
	ctx, cancel := context.WithCancel(s.ctx)
	ended := make(chan struct{})
	s.endTerm = func() { cancel(); <-ended }
	go func() { defer close(ended); d.Lead(ctx, s.term, stallingReplica{s.replica, &s.stalled}) }()
}

// resume makes the driver lead again in the same term, without the memory of before.
func (s *cluster) resume() {
	s.endTerm()
	s.lead(s.driver.Load())
}

func (s *cluster) patch(changes ...config.Change) {
	v := s.replica.Machine().Config().Version
	p := config.Patch{ID: fmt.Sprint("patch-", v), BaseVersion: v, Changes: changes}
	res, err := s.replica.Execute(s.ctx, state.PatchConfig{Patch: p})
	Expect(err).NotTo(HaveOccurred())
	Expect(res.Failure).To(BeNil())
}

func (s *cluster) startWorkers(cfg fakes.WorkerConfig) {
	for _, dc := range []string{"north", "south"} {
		for i := range 2 {
			s.startWorker(fmt.Sprintf("%s-%d", dc, i), dc, cfg)
		}
	}
	Eventually(s.replica.Machine().Workers, "3s").Should(HaveLen(4))
}

func (s *cluster) startWorker(name, dc string, cfg fakes.WorkerConfig) {
	ctx, cancel := context.WithCancel(s.ctx)
	ended := make(chan struct{})
	s.kill[name] = func() { cancel(); <-ended }
	cfg.Worker = model.Worker{Name: name, DataCentre: dc, Rack: dc + "-r1", Incarnation: fmt.Sprint(name, "-", time.Now().UnixNano()), Capacity: perWorker}
	cfg.Addresses, cfg.Ledger, cfg.StepInterval = []string{s.server.Listener.Addr().String()}, s.ledger, 10*time.Millisecond
	s.workers[name] = fakes.NewWorker(cfg)
	w := s.workers[name]
	go func() { defer close(ended); w.Run(ctx) }()
}

func (s *cluster) submit(id, team string, shape model.Shape, work float64, change func(*model.JobSpec)) {
	payload, _ := json.Marshal(fakes.Payload{WorkSeconds: work})
	spec := model.JobSpec{ID: id, Team: team, Shape: shape, Payload: string(payload), DeclaredSeconds: work}
	if change != nil {
		change(&spec)
	}
	res, err := s.replica.Execute(s.ctx, state.SubmitJob{Spec: spec, AtMS: time.Now().UnixMilli()})
	Expect(err).NotTo(HaveOccurred())
	Expect(res.Failure).To(BeNil())
}

func (s *cluster) job(id string) model.Job {
	j, _ := s.replica.Machine().Job(id)
	return j
}

func (s *cluster) state(id string) func() model.JobState {
	return func() model.JobState { return s.job(id).State }
}

func (s *cluster) running(id string) func() int {
	return func() int { return s.ledger.Running(id) }
}

var _ = Describe("driver", func() {
	gangShape := model.Shape{Tasks: 2, GPUs: 8, SameRack: true}
	var s *cluster

	BeforeEach(func() { s = newCluster() })
	AfterEach(func() { Expect(s.ledger.Overlaps()).To(BeEmpty()) })

	It("starts all tasks of a gang and completes the job", func() {
		s.startWorkers(fakes.WorkerConfig{})
		s.submit("a", "large", gangShape, 0.5, nil)
		Eventually(s.running("a"), "3s", "5ms").Should(Equal(2))
		Eventually(s.state("a"), "3s").Should(Equal(model.JobDone))
		Expect(s.job("a").Attempt).To(Equal(1))
	})

	It("starts no task of a gang when a worker cannot prepare its task", func() {
		s.startWorkers(fakes.WorkerConfig{})
		s.submit("a", "small", model.Shape{Tasks: 4, GPUs: 8}, 0.3, func(j *model.JobSpec) { j.Payload = "not json" })
		Eventually(func() int { return s.job("a").Attempt }, "5s").Should(BeNumerically(">", 1))
		Expect(s.ledger.Runs()).To(BeEmpty())
	})

	It("reclaims the guaranteed shape from a borrower within 2.1 s", func() {
		s.startWorkers(fakes.WorkerConfig{CheckpointDuration: 100 * time.Millisecond})
		s.submit("borrower", "small", model.Shape{Tasks: 4, GPUs: 8}, 1000, nil)
		Eventually(s.running("borrower"), "3s", "5ms").Should(Equal(4))
		start := time.Now()
		s.submit("owner", "large", gangShape, 0.5, func(j *model.JobSpec) { j.Urgent = true })
		Eventually(s.running("owner"), "3s", "5ms").Should(Equal(2))
		Expect(time.Since(start)).To(BeNumerically("<", 2100*time.Millisecond))
		Expect(s.job("borrower").Checkpoint).To(BeNumerically(">", 0))
	})

	It("reclaims within 2.1 s when the borrower never completes its checkpoint", func() {
		s.startWorkers(fakes.WorkerConfig{CheckpointDuration: time.Hour})
		s.submit("borrower", "small", model.Shape{Tasks: 4, GPUs: 8}, 1000, nil)
		Eventually(s.running("borrower"), "3s", "5ms").Should(Equal(4))
		start := time.Now()
		s.submit("owner", "large", gangShape, 0.5, func(j *model.JobSpec) { j.Urgent = true })
		Eventually(s.running("owner"), "3s", "5ms").Should(Equal(2))
		Expect(time.Since(start)).To(BeNumerically("<", 2100*time.Millisecond))
	})

	It("stops the rest of a gang when one worker is lost and runs it again after the lease expires", func() {
		s.startWorkers(fakes.WorkerConfig{})
		s.submit("a", "large", gangShape, 1000, nil)
		Eventually(s.running("a"), "3s", "5ms").Should(Equal(2))
		lost := s.job("a").Placement.Workers[0]
		s.kill[lost]()
		Eventually(s.running("a"), "8s").Should(Equal(0))
		Eventually(s.running("a"), "20s").Should(Equal(2))
		Expect(s.job("a").Attempt).To(Equal(2))
		Expect(s.job("a").Placement.Workers).NotTo(ContainElement(lost))
	})

	// Guards against a job that stays in state stopping: what a worker reported in a poll that it gave up was recorded in its
	// session, but not passed on.
	It("learns what workers report in polls that they give up", func() {
		s.startWorkers(fakes.WorkerConfig{})
		s.abandoned.Store(true)
		for i := range 5 {
			id := fmt.Sprint("a", i)
			s.submit(id, "large", gangShape, 0.1, nil)
			Eventually(s.state(id), "5s").Should(Equal(model.JobDone))
			Expect(s.job(id).Attempt).To(Equal(1))
		}
	})

	// Guards against two attempts at once: a report from before the start of a task, which arrived late at the next leader,
	// counted as the worker's word that it does not have the task.
	It("keeps a task that a late report from before its start omits at the next leader", func() {
		s.startWorkers(fakes.WorkerConfig{})
		s.submit("a", "large", gangShape, 1000, nil)
		Eventually(s.running("a"), "3s", "5ms").Should(Equal(2))
		worker, _ := s.replica.Machine().Worker(s.job("a").Placement.Workers[0])
		next := s.newTerm()
		Eventually(func() error {
			_, err := next.Poll(s.ctx, model.PollRequest{Worker: worker, Epoch: s.term - 1, Seq: 1})
			return err
		}, "3s").Should(Succeed())
		s.driver.Store(next)
		Consistently(s.running("a"), "2s").Should(Equal(2))
		Expect(s.job("a").Attempt).To(Equal(1))
	})

	It("reruns a gang without waiting for the lease when a restarted worker has lost its task", func() {
		s.startWorkers(fakes.WorkerConfig{})
		s.submit("a", "large", gangShape, 1000, nil)
		Eventually(s.running("a"), "3s", "5ms").Should(Equal(2))
		lost := s.job("a").Placement.Workers[0]
		s.kill[lost]()
		s.startWorker(lost, s.ledger.Runs()[0].DataCentre, fakes.WorkerConfig{})
		Eventually(func() int { return s.job("a").Attempt }, "3s").Should(Equal(2))
		Eventually(s.running("a"), "3s").Should(Equal(2))
	})

	It("moves gangs out of a data centre that is taken out of service and starts none there", func() {
		s.startWorkers(fakes.WorkerConfig{})
		s.submit("a", "large", gangShape, 1000, nil)
		Eventually(s.running("a"), "3s", "5ms").Should(Equal(2))
		dc := s.ledger.Runs()[0].DataCentre
		s.patch(config.Change{SetDataCentre: &config.DataCentreState{Name: dc, OutOfService: true}})
		outAt := time.Now()
		Eventually(func() int { return s.job("a").Attempt }, "5s").Should(Equal(2))
		Eventually(s.running("a"), "5s").Should(Equal(2))
		s.submit("b", "small", model.Shape{Tasks: 1, GPUs: 1}, 0.1, nil)
		Consistently(func() []fakes.TaskRun { return s.ledger.StartsIn(dc, outAt) }, "1s").Should(BeEmpty())
		s.patch(config.Change{SetDataCentre: &config.DataCentreState{Name: dc}})
		Eventually(s.state("b"), "5s").Should(Equal(model.JobDone))
	})

	It("cancels a waiting, a running and a finished job", func() {
		s.startWorkers(fakes.WorkerConfig{})
		s.submit("a", "small", model.Shape{Tasks: 4, GPUs: 8}, 1000, nil)
		Eventually(s.running("a"), "3s", "5ms").Should(Equal(4))
		s.submit("b", "small", model.Shape{Tasks: 4, GPUs: 8}, 0.1, nil)
		s.submit("c", "small", model.Shape{Tasks: 4, GPUs: 8}, 0.1, nil)
		for _, id := range []string{"b", "a"} {
			_, err := s.replica.Execute(s.ctx, state.CancelJob{ID: id})
			Expect(err).NotTo(HaveOccurred())
			Eventually(s.state(id), "3s").Should(Equal(model.JobCancelled))
		}
		Eventually(s.state("c"), "3s").Should(Equal(model.JobDone))
		res, _ := s.replica.Execute(s.ctx, state.CancelJob{ID: "c"})
		Expect(res.Job.State).To(Equal(model.JobDone))
	})

	It("keeps a gang running across a change of leader and completes the job", func() {
		s.startWorkers(fakes.WorkerConfig{})
		s.submit("a", "large", gangShape, 2, nil)
		Eventually(s.running("a"), "3s", "5ms").Should(Equal(2))
		s.elect()
		Eventually(s.state("a"), "6s").Should(Equal(model.JobDone))
		Expect(s.job("a").Attempt).To(Equal(1))
	})

	// Guards against commands that never arrive: the leader numbered them anew, and the worker took them for those that it
	// had carried out before.
	DescribeTable("sends commands that a worker takes for new ones",
		func(between func()) {
			s.startWorkers(fakes.WorkerConfig{})
			for i := range 4 { // commands that the workers carry out before
				id := fmt.Sprint("before-", i)
				s.submit(id, "small", model.Shape{Tasks: 4, GPUs: 8}, 0.05, nil)
				Eventually(s.state(id), "3s").Should(Equal(model.JobDone))
			}
			s.submit("a", "large", gangShape, 1000, nil)
			Eventually(s.running("a"), "3s", "5ms").Should(Equal(2))
			between()
			_, err := s.replica.Execute(s.ctx, state.CancelJob{ID: "a"})
			Expect(err).NotTo(HaveOccurred())
			Eventually(s.state("a"), "3s").Should(Equal(model.JobCancelled))
		},
		Entry("after it has resumed its term", func() { s.resume() }),
		Entry("after the worker has been removed and has registered again", func() {
			for _, w := range s.replica.Machine().Workers() {
				_, err := s.replica.Execute(s.ctx, state.RemoveWorker{Name: w.Name, Incarnation: w.Incarnation})
				Expect(err).NotTo(HaveOccurred())
			}
			Eventually(s.replica.Machine().Workers, "3s").Should(HaveLen(4))
		}),
	)

	// Guards against jobs that are placed on workers that others hold: a placement of the earlier session was committed
	// after the next one had read the state, and its resources were not counted.
	It("counts a placement that it has proposed before it resumes its term", func() {
		s.startWorkers(fakes.WorkerConfig{})
		s.stalled.set(func(c state.Command) bool { _, ok := c.(state.PlaceJob); return ok })
		s.submit("a", "small", model.Shape{Tasks: 4, GPUs: 8}, 1000, nil)
		Eventually(s.stalled.count, "3s").Should(Equal(1))
		s.endTerm()
		s.stalled.set(nil)
		s.lead(s.driver.Load())
		s.submit("b", "small", model.Shape{Tasks: 4, GPUs: 8}, 1000, nil)
		Eventually(s.running("a"), "3s", "5ms").Should(Equal(4))
		Consistently(func() int { return s.job("b").Attempt }, "1s").Should(BeZero())
	})

	// Guards against a job that is placed on a worker whose removal is about to be committed, and is stopped for that.
	It("places nothing on a worker that is heard again while its removal is under way", func() {
		w := newScriptedWorker(s, "a")
		var removing atomic.Bool
		s.stalled.set(func(c state.Command) bool {
			switch c.(type) {
			case state.RemoveWorker:
				removing.Store(true)
				return true
			case state.ExpireKeys: // proposed at the first tick
				return true
			}
			return false
		})
		s.ahead.Store(int64(61 * time.Second))
		Eventually(removing.Load, "3s").Should(BeTrue())
		w.poll()
		s.submit("j", "small", model.Shape{Tasks: 1, GPUs: 8}, 1000, nil)
		w.await(model.CommandPrepare)
		task := model.TaskReport{ID: model.TaskID{Job: "j", Attempt: 1}, State: model.TaskPrepared}
		w.await(model.CommandStart, task)
		Expect(s.job("j")).To(And(HaveField("State", model.JobRunning), HaveField("Attempt", 1)))
	})

	It("loses no job when the leader changes at different moments of its start", func() {
		s.startWorkers(fakes.WorkerConfig{})
		for i := range 12 {
			s.submit(fmt.Sprint("j", i), "large", gangShape, 0.2, nil)
			<-time.After(time.Duration(i) * 3 * time.Millisecond)
			s.elect()
		}
		for i := range 12 {
			Eventually(s.state(fmt.Sprint("j", i)), "40s").Should(Equal(model.JobDone))
		}
	})

	It("fails a job when its tasks have failed in the allowed number of attempts", func() {
		s.startWorkers(fakes.WorkerConfig{})
		s.submit("a", "small", model.Shape{Tasks: 2, GPUs: 1}, 0.1, func(j *model.JobSpec) {
			j.Payload = `{"work_seconds":0.1,"fail":true}`
			j.MaxAttempts = 2
		})
		Eventually(s.state("a"), "5s").Should(Equal(model.JobFailed))
		Expect(s.job("a").Failures).To(Equal(2))
	})

	It("refuses a worker from a rack that is not declared", func() {
		Eventually(func() error {
			_, err := s.replica.Poll(s.ctx, model.PollRequest{Seq: 1, Worker: model.Worker{Name: "x", DataCentre: "north", Rack: "other"}})
			return err
		}, "3s").Should(MatchError(ContainSubstring("does not declare")))
	})

	It("expires idempotency keys after their retention time and not before", func() {
		id := func(n string) model.KeyID { return model.KeyID{Team: "small", Key: n} }
		for n, age := range map[string]time.Duration{"old": model.KeyLife + time.Minute, "young": model.KeyLife - time.Minute} {
			k := model.Key{ID: id(n), Claim: n, Hash: n, CreatedMS: time.Now().Add(-age).UnixMilli()}
			_, err := s.replica.Execute(s.ctx, state.ClaimKey{Key: k})
			Expect(err).NotTo(HaveOccurred())
		}
		s.elect()
		Eventually(func() bool { _, ok := s.replica.Machine().Key(id("old")); return ok }, "3s").Should(BeFalse())
		_, kept := s.replica.Machine().Key(id("young"))
		Expect(kept).To(BeTrue())
	})

	// A partial report made for another leader must not be taken as complete: tasks that it
	// leaves out would look lost.
	It("asks for a complete report before it builds on a partial one", func() {
		s.startWorkers(fakes.WorkerConfig{})
		w := model.Worker{Name: "extra", DataCentre: "north", Rack: "north-r1", Incarnation: "1", Capacity: perWorker}
		poll := func(req model.PollRequest) model.PollResponse {
			req.Worker = w
			resp, err := s.replica.Poll(s.ctx, req)
			Expect(err).NotTo(HaveOccurred())
			return resp
		}
		first := poll(model.PollRequest{Seq: 1, Partial: true})
		Expect(first.Full).To(BeTrue())
		Expect(poll(model.PollRequest{Seq: 2, Epoch: first.Epoch}).Full).To(BeFalse())
		Expect(poll(model.PollRequest{Seq: 3, Epoch: first.Epoch, Partial: true}).Full).To(BeFalse())
		Expect(poll(model.PollRequest{Seq: 4, Epoch: first.Epoch - 1, Partial: true}).Full).To(BeTrue())
	})
})
