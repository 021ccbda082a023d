package sched_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"turmericroute/batch"
	"turmericroute/sched"
	"turmericroute/state"
)

// provider is a sched.Provider that records the orders, and refuses those for the machines in refusal.
type provider struct {
	mu      sync.Mutex
	orders  []string
	fences  []uint64
	refusal map[string]sched.Refusal
}

func (p *provider) Maintain(_ context.Context, machine string, _ int64, _ string, fence uint64) (sched.Refusal, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r := p.refusal[machine]; r != "" {
		return r, nil
	}
	p.orders, p.fences = append(p.orders, machine), append(p.fences, fence)
	return "", nil
}

func (p *provider) ordered() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.orders)
}

var _ = Describe("maintenance waves", func() {
	var p *provider
	var f *fixture
	BeforeEach(func() {
		p = &provider{refusal: map[string]sched.Refusal{}}
		f = newFixture(func(c *sched.Config) { c.Provider = p })
	})
	wave := func(machines ...string) {
		Expect(f.call(sched.Call{Wave: &batch.Wave{Number: 1, Machines: machines, DurationMS: 60_000, MaxConcurrent: 1}}).err).To(Succeed())
	}
	done := func() bool {
		n := int64(1)
		return f.call(sched.Call{WaveStatus: &n}).WaveDone
	}

	It("take down at most the maximum at once, and end after the last machine is back", func() {
		f.addWorkers("r1", "dc1", "w1", "w2")
		wave("m-w1", "m-w2")
		Eventually(p.ordered, 5*time.Second).Should(HaveLen(1))
		Consistently(p.ordered, 700*time.Millisecond).Should(HaveLen(1))
		f.advance(4 * time.Second)
		Eventually(p.ordered, 5*time.Second).Should(HaveLen(2))
		Consistently(done, 700*time.Millisecond).Should(BeFalse())
		f.advance(4 * time.Second)
		Eventually(done, 5*time.Second).Should(BeTrue())
	})

	It("continue under a new leader with a higher fencing token, and repeat no machine", func() {
		f.addWorkers("r1", "dc1", "w1", "w2")
		wave("m-w1", "m-w2")
		Eventually(p.ordered, 5*time.Second).Should(HaveLen(1))
		f.changeLeader()
		f.addWorkers("r1", "dc1", "w1", "w2")
		f.advance(4 * time.Second)
		Eventually(func() int { f.advance(500 * time.Millisecond); return len(p.ordered()) }, 5*time.Second).Should(Equal(2))
		Expect(p.ordered()[0]).NotTo(Equal(p.ordered()[1]))
		Expect(p.fences[1]).To(BeNumerically(">", p.fences[0]))
	})

	// Guards against more than the maximum at once: the leader that took one down was lost before it could record that.
	It("wait under a new leader for machines whose maintenance may not be recorded", func() {
		f.addWorkers("r1", "dc1", "w1", "w2")
		f.submit("normal", "j", batch.Step{Count: 1, Need: gpus(8), Label: "a", EstimateMS: 1000})
		f.awaitRunning("j", 1)
		busy := f.running("j")[taskID("j", 0, 0)]
		f.r.setStallProgress(true)
		wave("m-"+busy, "m-"+map[string]string{"w1": "w2", "w2": "w1"}[busy])
		Eventually(f.r.stalledCount, 5*time.Second).Should(Equal(1))
		f.r.setStallProgress(false)
		f.changeLeader()
		f.workers[busy].end(taskID("j", 0, 0), batch.EndDone)
		f.heartbeatAll()
		Consistently(p.ordered, 3*time.Second).Should(HaveLen(1))
		f.advance(6 * time.Second)
		f.heartbeatAll()
		Eventually(p.ordered, 5*time.Second).Should(HaveLen(2))
	})

	// Guards against taking down more tasks of a long-running step at once than its MaxUnavailable.
	It("leave a machine up while other tasks of a long-running step are unavailable", func() {
		f.addWorkers("r1", "dc1", "w1", "w2")
		f.submit("normal", "j", batch.Step{Count: 2, Need: gpus(8), LongRunning: true, MaxUnavailable: 1, EstimateMS: 1000})
		f.awaitRunning("j", 2)
		for _, w := range f.workers {
			w.hb.Running[0].Percent = 100
		}
		f.workers["w2"].hb.Running[0].Percent = 0
		f.heartbeatAll()
		wave("m-w1")
		Consistently(p.ordered, time.Second).Should(BeEmpty())
		f.workers["w2"].hb.Running[0].Percent = 100
		f.heartbeatAll()
		Eventually(p.ordered, 5*time.Second).Should(Equal([]string{"m-w1"}))
	})
})

// adviser is a sched.Adviser that permits some workers and detects concurrent calls; it fails while permitted is nil.
type adviser struct {
	mu         sync.Mutex
	permitted  []string
	calls      int
	inCall     bool
	concurrent bool
	asked      map[string]int // how often each worker was asked for
}

func (a *adviser) Advise(_ context.Context, _ string, workers []string) (map[string]string, time.Duration, error) {
	a.mu.Lock()
	a.concurrent = a.concurrent || a.inCall
	a.inCall = true
	a.calls++
	if a.asked == nil {
		a.asked = map[string]int{}
	}
	for _, w := range workers {
		a.asked[w]++
	}
	permitted := a.permitted
	a.mu.Unlock()
	time.Sleep(30 * time.Millisecond)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.inCall = false
	if permitted == nil {
		return nil, 0, errors.New("busy")
	}
	out := map[string]string{}
	for _, w := range workers {
		if slices.Contains(permitted, w) {
			out[w] = "ticket-" + w
		}
	}
	return out, 3 * time.Second, nil
}

var _ = Describe("advice", func() {
	It("is requested for one step at a time, and runs start only on permitted workers, with their tickets", func() {
		a := &adviser{permitted: []string{"w2"}}
		f := newFixture(func(c *sched.Config) { c.Adviser = a })
		f.addWorkers("r1", "dc1", "w1", "w2")
		f.submit("advised", "j", batch.Step{Count: 2, Need: gpus(1)})
		f.submit("advised", "k", batch.Step{Count: 1, Need: gpus(1)})
		f.awaitRunning("j", 2)
		f.awaitRunning("k", 1)
		Expect(f.workers["w1"].started).To(BeEmpty())
		for _, s := range f.workers["w2"].started {
			Expect(s.Ticket).To(Equal("ticket-w2"))
		}
		Expect(a.concurrent).To(BeFalse())
	})

	// Guards against a step that never runs because the policy allows none of the workers with the most room, which
	// alone were asked for again and again.
	It("is requested for the other workers when the first ones are denied, and not again for those", func() {
		a := &adviser{permitted: []string{"w80"}}
		f := newFixture(func(c *sched.Config) { c.Adviser = a })
		for i := range 80 {
			f.addWorkers("r1", "dc1", fmt.Sprintf("w%02d", i+1))
		}
		f.submit("advised", "j", batch.Step{Count: 8, Need: gpus(1)})
		f.awaitRunning("j", 8)
		a.mu.Lock()
		defer a.mu.Unlock()
		Expect(a.asked).To(HaveLen(80))
		Expect(a.asked["w01"]).To(Equal(1))
		Expect(a.calls).To(Equal(3))
	})

	It("is requested for more workers when those with tickets have no room", func() {
		a := &adviser{permitted: []string{"w01", "w80"}}
		f := newFixture(func(c *sched.Config) { c.Adviser = a })
		for i := range 80 {
			f.addWorkers("r1", "dc1", fmt.Sprintf("w%02d", i+1))
		}
		f.submit("advised", "j", batch.Step{Count: 2, Need: gpus(8)})
		f.awaitRunning("j", 2)
		f.submit("advised", "k", batch.Step{Count: 1, Need: gpus(8)})
		f.expectNoStart("k")
		before := func() int { a.mu.Lock(); defer a.mu.Unlock(); return a.calls }()
		f.expectNoStart("k")
		Expect(func() int { a.mu.Lock(); defer a.mu.Unlock(); return a.calls }()).To(BeNumerically("<=", before+1), "all others are denied")
	})

	It("is requested anew for the next life of a worker that was denied", func() {
		a := &adviser{permitted: []string{}}
		f := newFixture(func(c *sched.Config) { c.Adviser = a })
		f.addWorkers("r1", "dc1", "w1")
		f.submit("advised", "j", batch.Step{Count: 1, Need: gpus(1)})
		f.expectNoStart("j")
		a.mu.Lock()
		a.permitted = []string{"w1"}
		a.mu.Unlock()
		f.expectNoStart("j")
		w := f.workers["w1"]
		w.hb.Incarnation, w.hb.Seq = 2, 0
		f.awaitRunning("j", 1)
	})

	// Guards against many steps that nobody may run and that keep a later one from being asked for.
	It("is requested for a step behind many for which all workers are denied", func() {
		a := &adviser{permitted: []string{}}
		f := newFixture(func(c *sched.Config) { c.Adviser = a })
		f.addWorkers("r1", "dc1", "w1")
		for i := range 20 {
			f.submit("advised", fmt.Sprintf("a%02d", i), batch.Step{Count: 1, Need: gpus(1)})
		}
		denied := func() int { a.mu.Lock(); defer a.mu.Unlock(); return a.calls }
		Eventually(denied, "5s").Should(Equal(20))
		a.mu.Lock()
		a.permitted = []string{"w1"}
		a.mu.Unlock()
		f.advance(10 * time.Second)
		f.submit("advised", "z", batch.Step{Count: 1, Need: gpus(1)})
		f.awaitRunning("z", 1)
	})

	// Guards against starts that a worker refuses until its former life's ticket has expired.
	It("is requested anew for the next life of a worker that had a ticket", func() {
		a := &adviser{permitted: []string{"w1"}}
		f := newFixture(func(c *sched.Config) { c.Adviser = a })
		f.addWorkers("r1", "dc1", "w1")
		f.submit("advised", "j", batch.Step{Count: 1, Need: gpus(1)})
		f.awaitRunning("j", 1)
		w := f.workers["w1"]
		w.hb.Incarnation, w.hb.Seq, w.hb.Running, w.started = 2, 0, nil, nil
		a.mu.Lock()
		calls := a.calls
		a.mu.Unlock()
		Eventually(func() int { f.heartbeat("w1"); return len(w.started) }, "2s").Should(Equal(1)) // the clock stands still
		a.mu.Lock()
		defer a.mu.Unlock()
		Expect(a.calls).To(Equal(calls + 1))
	})

	It("starts nothing when it is not available", func() {
		f := newFixture(func(c *sched.Config) { c.Adviser = &adviser{} })
		f.addWorkers("r1", "dc1", "w1")
		f.submit("advised", "j", batch.Step{Count: 1, Need: gpus(1)})
		f.expectNoStart("j")
	})
})

var _ = Describe("serving and best-effort tasks", func() {
	It("do not share a worker", func() {
		f := newFixture()
		f.addWorkers("r1", "dc1", "w1", "w2")
		f.submit("normal", "serve", batch.Step{Count: 1, Need: gpus(1), LongRunning: true, TargetMS: 50, MaxUnavailable: 0})
		f.awaitRunning("serve", 1)
		f.submit("normal", "fill", batch.Step{Count: 2, Need: gpus(1), BestEffort: true})
		f.awaitRunning("fill", 2)
		serving := f.running("serve")[taskID("serve", 0, 0)]
		for _, w := range f.running("fill") {
			Expect(w).NotTo(Equal(serving))
		}
	})

	// Guards against a serving task that has no place for as long as best-effort tasks run on all workers with room.
	It("share a worker when there is no other for the serving task", func() {
		f := newFixture()
		f.addWorkers("r1", "dc1", "w1", "w2", "w3")
		f.submit("normal", "serve", batch.Step{Count: 2, Need: gpus(4), LongRunning: true, TargetMS: 50, PerWorker: 1, MaxUnavailable: 0})
		f.awaitRunning("serve", 2)
		f.submit("normal", "fill", batch.Step{Count: 1, Need: gpus(1), BestEffort: true, LongRunning: true, MaxUnavailable: -1})
		f.awaitRunning("fill", 1)
		lost := f.running("serve")[taskID("serve", 0, 0)]
		delete(f.workers, lost)
		f.awaitRunning("serve", 2)
		Expect(f.running("serve")).To(ContainElement(f.running("fill")[taskID("fill", 0, 0)]))
		f.addWorkers("r1", "dc1", "w4")
		f.submit("normal", "more", batch.Step{Count: 1, Need: gpus(1), LongRunning: true, TargetMS: 50, MaxUnavailable: 0})
		f.awaitRunning("more", 1)
		Expect(f.running("more")).NotTo(ContainElement(f.running("fill")[taskID("fill", 0, 0)]), "there is another place")
	})

	// Guards against best-effort tasks that stay throttled because the leader that had throttled them is gone.
	It("go on at full speed under the next leader once the target is met", func() {
		f := newFixture()
		f.addWorkers("r1", "dc1", "w1")
		f.submit("normal", "fill", batch.Step{Count: 1, Need: gpus(1), BestEffort: true})
		f.awaitRunning("fill", 1)
		f.submit("normal", "serve", batch.Step{Count: 1, Need: gpus(1), LongRunning: true, TargetMS: 50, MaxUnavailable: 0})
		f.awaitRunning("serve", 1)
		w := f.workers["w1"]
		serving := slices.IndexFunc(w.hb.Running, func(r sched.RunState) bool { return r.Task.Job == "serve" })
		w.hb.Running[serving].Gauge = 90
		f.heartbeat("w1")
		f.advance(400 * time.Millisecond)
		Expect(f.heartbeat("w1").Rates).To(HaveLen(1))
		f.changeLeader()
		w.hb.Running[serving].Gauge = 20
		Expect(f.heartbeat("w1").Rates).To(BeEmpty())
		f.advance(4 * time.Second)
		Expect(f.heartbeat("w1").Rates).To(Equal([]sched.RateOrder{{RunRef: sched.RunRef{Task: taskID("fill", 0, 0), Run: 1}, Percent: 100}}))
	})

	It("on one worker nevertheless: best-effort tasks are throttled while the target latency is exceeded, and released after it is met", func() {
		f := newFixture()
		f.addWorkers("r1", "dc1", "w1")
		f.submit("normal", "fill", batch.Step{Count: 1, Need: gpus(1), BestEffort: true})
		f.awaitRunning("fill", 1)
		f.submit("normal", "serve", batch.Step{Count: 1, Need: gpus(1), LongRunning: true, TargetMS: 50, MaxUnavailable: 0})
		// As if an earlier leader had placed the serving task there.
		_, err := f.r.Execute(context.Background(), state.ChangeBatch{Change: batch.Change{Starts: []batch.Start{{Task: taskID("serve", 0, 0), Run: 1, Worker: "w1", Incarnation: 1}}}})
		Expect(err).NotTo(HaveOccurred())
		f.heartbeat("w1")
		w := f.workers["w1"]
		w.hb.Running[1].Percent, w.hb.Running[1].Gauge = 100, 90
		f.heartbeat("w1")
		f.advance(400 * time.Millisecond)
		Expect(f.heartbeat("w1").Rates).To(Equal([]sched.RateOrder{{RunRef: sched.RunRef{Task: taskID("fill", 0, 0), Run: 1}, Percent: 0}}))
		w.hb.Running[1].Gauge = 20
		f.advance(4 * time.Second)
		Expect(f.heartbeat("w1").Rates[0].Percent).To(Equal(100))
		f.advance(time.Second)
		Expect(f.heartbeat("w1").Rates[0].Percent).To(Equal(100), "the answer before may have been lost")
		f.advance(3 * time.Second)
		Expect(f.heartbeat("w1").Rates).To(BeEmpty())
	})
})
