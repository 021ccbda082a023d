package sched_test

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"turmericroute/batch"
	"turmericroute/sched"
)

// newIdleFixture returns a fixture whose scheduler acts only when the test makes it.
func newIdleFixture(change ...func(*sched.Config)) *fixture {
	f := newFixture(change...)
	f.stop()
	<-f.ended
	f.s = sched.New(f.cfg)
	f.s.Begin(context.Background(), f.term, f.r)
	return f
}

// history applies random events to a fixture.
type history struct {
	*fixture
	rand *rand.Rand
	jobs int
	// version is the version of the latest configuration.
	version uint64
	// turnedAway counts the jobs that were refused as the few workers have too much to do.
	turnedAway int
}

func (h *history) worker() string {
	names := slices.Sorted(maps.Keys(h.workers))
	return names[h.rand.IntN(len(names))]
}

func (h *history) job() string { return fmt.Sprintf("j%d", h.rand.IntN(h.jobs+1)) }

func (h *history) submitRandom() {
	h.jobs++
	step := batch.Step{
		Count: 1 + h.rand.IntN(6), Need: gpus(1 << h.rand.IntN(4)), EstimateMS: 1000, Gang: h.rand.IntN(2) == 0,
		SameRack: h.rand.IntN(3) == 0, BestEffort: h.rand.IntN(5) == 0, PerWorker: h.rand.IntN(3),
	}
	spec := batch.Spec{Text: "t", Steps: []batch.Step{step, {Count: 1, Need: gpus(1), After: []int{0}}}}
	if h.rand.IntN(4) == 0 {
		spec.Rounds, spec.EveryMS = 2, 700
		spec.FirstAtMS = time.Duration(h.now.Load()).Milliseconds() + int64(h.rand.IntN(900))
	}
	queue := []string{"urgent", "normal"}[h.rand.IntN(2)]
	if !h.offer(queue, fmt.Sprintf("j%d", h.jobs), spec) {
		h.turnedAway++
	}
}

func (h *history) endRandom() {
	w := h.workers[h.worker()]
	if len(w.hb.Running) > 0 {
		reasons := []batch.EndReason{batch.EndDone, batch.EndDone, batch.EndFailed, batch.EndGangBroken}
		w.end(w.hb.Running[h.rand.IntN(len(w.hb.Running))].Task, reasons[h.rand.IntN(len(reasons))])
	}
}

// restart replaces a worker by a later incarnation, under another name on the same machine or under its own, or by one
// on another machine that takes its address, while the former may go on.
func (h *history) restart() {
	name := h.worker()
	old := h.workers[name].hb
	next := old
	next.Incarnation, next.Seq, next.Running, next.Ended, next.Draining = old.Incarnation+1, 0, nil, nil, false
	goesOn := false
	switch h.rand.IntN(4) {
	case 0, 1:
		next.Worker = fmt.Sprintf("%s-%d", name[:2], next.Incarnation)
	case 2:
		next.Worker = fmt.Sprintf("%s-%d", name[:2], next.Incarnation)
		next.Machine = "m-" + next.Worker
		goesOn = h.rand.IntN(2) == 0
	}
	if !goesOn {
		delete(h.workers, name)
	}
	h.workers[next.Worker] = &fakeWorker{hb: next}
}

func (h *history) step() {
	switch h.rand.IntN(16) {
	case 0, 1:
		h.submitRandom()
	case 2, 3, 4:
		h.heartbeatSoon(h.worker())
	case 5, 6, 7:
		h.endRandom()
	case 8:
		h.advance(time.Duration(h.rand.IntN(1500)) * time.Millisecond)
	case 9:
		w := h.workers[h.worker()]
		w.hb.Draining = !w.hb.Draining
	case 10:
		h.restart()
	case 11:
		Expect(h.setOutage("dc2", h.rand.IntN(2) == 0)).To(Succeed())
	case 12:
		ref := jobRef("normal", h.job())
		h.call(sched.Call{Cancel: &ref}) // it may have ended or be in the other queue
		Expect(h.s.Sweep()).To(Succeed())
	case 13:
		h.call(sched.Call{Leave: &sched.Leave{Worker: h.worker()}})
	case 14:
		h.regainLease()
	case 15:
		h.version++
		h.declareQuota(h.version, batch.Resources{GPUs: []int{0, 4, 12, 24}[h.rand.IntN(4)], MemoryMB: h.rand.IntN(2) * 12000})
	}
	_, err := h.s.Pass([]sched.Commit{sched.InTime, sched.InTime, sched.InTime, sched.Late, sched.Never}[h.rand.IntN(5)])
	Expect(err).NotTo(HaveOccurred())
}

// regainLease ends the session and begins another one in the same term. A change that was under way is committed between.
func (h *history) regainLease() {
	h.s.End()
	h.advance(time.Duration(h.rand.IntN(1500)) * time.Millisecond)
	if h.rand.IntN(2) == 0 {
		Expect(h.r.change(batch.Change{Cancel: &batch.Cancel{ID: h.job()}})).To(Succeed())
	}
	h.s.Begin(context.Background(), h.term, h.r)
}

var _ = Describe("the kept room and waiting steps", func() {
	// Guards against updates that are left out: placement would use room that is taken, or leave room unused.
	It("are those that a fresh look gives, after random histories", func() {
		for seed := range uint64(80) {
			h := &history{fixture: newIdleFixture(), rand: rand.New(rand.NewPCG(seed, 1)), version: 1}
			h.addWorkers("r1", "dc1", "w1", "w2", "w3")
			h.addWorkers("r2", "dc2", "w4", "w5")
			for i := range 400 {
				h.step()
				Expect(h.s.CheckKept()).To(Succeed(), "seed %d, step %d", seed, i)
			}
			Expect(h.turnedAway).To(BeNumerically("<=", h.jobs/4), "seed %d", seed)
		}
	})

	// Guards against memory that grows with every amount of resources that a caller asks for.
	It("keep a bounded number of shapes", func() {
		f := newIdleFixture()
		for i := range 1100 {
			f.submit("normal", fmt.Sprintf("j%d", i), batch.Step{Count: 1, Need: batch.Resources{CPUMilli: 1 + i}})
		}
		Expect(f.s.Pass(sched.InTime)).Error().NotTo(HaveOccurred())
		Expect(f.s.Shapes()).To(And(BeNumerically(">", 0), BeNumerically("<=", 1000)))
	})

	// Guards against passes whose cost grows with all workers and steps. It counts what passes look at.
	It("let a pass look at what has changed only", func() {
		f := newIdleFixture()
		for i := range 60 {
			f.addWorkers(fmt.Sprintf("r%d", i/6), "dc1", fmt.Sprintf("w%d", i))
		}
		for i := range 40 {
			f.submit("normal", fmt.Sprintf("j%d", i), batch.Step{Count: 12, Need: gpus(4), Gang: true, SameRack: true, EstimateMS: 9000})
		}
		f.submit("normal", "single", batch.Step{Count: 2, Need: gpus(1), EstimateMS: 9000})
		visits := func(work func()) (workers, steps uint64) {
			w, s := f.s.Visited()
			work()
			w2, s2 := f.s.Visited()
			return w2 - w, s2 - s
		}
		pass := func() { Expect(f.s.Pass(sched.InTime)).Error().NotTo(HaveOccurred()) }
		pass()
		f.heartbeatAll()
		pass()
		f.advance(200 * time.Millisecond)
		pass()
		workers, steps := visits(pass)
		Expect([]uint64{workers, steps}).To(Equal([]uint64{0, 0}), "nothing has changed")

		w := f.workers[f.running("j0")[taskID("j0", 0, 0)]]
		grow := func() {
			w.hb.Capacity.GPUs += 2
			f.heartbeat(w.hb.Worker)
		}
		grow()
		_, steps = visits(pass)
		Expect(steps).To(BeEquivalentTo(31), "the first change after a while makes a full pass due")
		f.heartbeat(w.hb.Worker)
		Expect(f.running("single")).To(HaveLen(2))
		pass()
		grow()
		workers, steps = visits(pass)
		Expect(workers).To(BeEquivalentTo(1))
		Expect(steps).To(BeZero(), "no waiting step can use the new room")
	})
})
