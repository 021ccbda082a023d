package sched_test

import (
	"container/heap"
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/gomega"

	"turmericroute/batch"
	"turmericroute/sched"
)

const (
	// simAnswerTimeout is how long a simulated worker waits for the answer to a heartbeat.
	simAnswerTimeout = time.Second
	// simGaugeDelay is how long a member of a gang has worked before its worker reports resources in use.
	simGaugeDelay = 500 * time.Millisecond
	simWorkTime   = 2 * time.Second
	// simLossEvery is the least time between two answers to a worker that are lost.
	simLossEvery  = 5 * time.Second
	simPassEvery  = 50 * time.Millisecond
	simSweepEvery = 200 * time.Millisecond
)

// simulation runs gangs on simulated workers, whose heartbeats are answered late, and at times not at all.
type simulation struct {
	*fixture
	rand    *rand.Rand
	timeout time.Duration
	// lateness is how much later than the arrival of a heartbeat its answer arrives.
	lateness time.Duration
	// leaderless is set while no leader answers.
	leaderless bool
	// endsLate is set while commits of ends are late.
	endsLate bool
	// leadsUntil is the earliest time of the next change of leader.
	leadsUntil time.Duration
	events     simEvents
	fleet      map[string]*simWorker
	gangs      map[sched.RunRef]*simGang
	jobs       int
	// single makes the tasks of jobs run one by one; each counts as a gang of its own.
	single     bool
	turnedAway int // jobs that were refused for overload
	// silence is the longest time for which a worker is silent.
	silence time.Duration
	// running holds the worker of each active run.
	running map[sched.RunRef]*simWorker
	// formed counts the gang runs that have begun to work, alone the members that have waited in vain on workers that were
	// heard from all the while, broken the gang runs that were stopped at work, twice the runs that started while another
	// run of their task was active.
	formed, alone, broken, twice int
}

// simWorker is a worker, and what its executor does.
type simWorker struct {
	hb      sched.Heartbeat
	runs    map[batch.TaskID]*simRun
	highest map[batch.TaskID]int // the highest run that has ended
	nextEnd int64
	waiting bool // for an answer
	silent  bool
	// silentAt is when the worker was last silent, lostAt when an answer to it was last lost.
	silentAt, lostAt time.Duration
	beatAt           time.Duration
	// leaseEnd is when the worker's lease ends, by its own clock.
	leaseEnd time.Duration
}

type simRun struct {
	run       int
	startedAt time.Duration
	from      string
}

// simGang is a gang run on its workers.
type simGang struct {
	size     int
	members  map[batch.TaskID]*simWorker
	formedAt time.Duration
	over     bool
}

type simEvent struct {
	at time.Duration
	do func()
}

type simEvents []simEvent

func (e simEvents) Len() int           { return len(e) }
func (e simEvents) Less(i, j int) bool { return e[i].at < e[j].at }
func (e simEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(x any)        { *e = append(*e, x.(simEvent)) }
func (e *simEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func newSimulation(seed uint64, workers int, timeout time.Duration) *simulation {
	sim := &simulation{
		fixture: newIdleFixture(func(cfg *sched.Config) { cfg.Limits.GangTimeout, cfg.Logger = timeout, nil }),
		rand:    rand.New(rand.NewPCG(seed, 2)), timeout: timeout, fleet: map[string]*simWorker{}, gangs: map[sched.RunRef]*simGang{},
		silence: 4 * time.Second, running: map[sched.RunRef]*simWorker{},
	}
	for i := range workers {
		name := fmt.Sprintf("w%d", i)
		w := &simWorker{runs: map[batch.TaskID]*simRun{}, highest: map[batch.TaskID]int{}, hb: sched.Heartbeat{
			Worker: name, Service: "svc", Address: name + ":1", DataCentre: "dc1", Machine: "m-" + name, Incarnation: 1, Labels: []string{"a"}, Rack: fmt.Sprint(i / 8),
			Capacity: batch.Resources{CPUMilli: 32000, MemoryMB: 64000, GPUs: 8},
		}}
		sim.fleet[name] = w
		sim.beatIn(w, time.Duration(sim.rand.IntN(1000))*time.Millisecond)
	}
	sim.every(simPassEvery, sim.pass)
	sim.every(simSweepEvery, func() {
		if !sim.leaderless {
			Expect(sim.s.Sweep()).To(Or(Succeed(), MatchError(errLate)))
		}
	})
	sim.every(200*time.Millisecond, func() { sim.submitGang() })
	return sim
}

func (sim *simulation) clock() time.Duration { return time.Duration(sim.now.Load()) }

func (sim *simulation) after(d time.Duration, do func()) {
	heap.Push(&sim.events, simEvent{at: sim.clock() + d, do: do})
}

func (sim *simulation) every(d time.Duration, do func()) {
	sim.after(d, func() {
		do()
		sim.every(d, do)
	})
}

// run runs the simulation for a time.
func (sim *simulation) run(d time.Duration) {
	until := sim.clock() + d
	for len(sim.events) > 0 && sim.events[0].at <= until {
		e := heap.Pop(&sim.events).(simEvent)
		sim.now.Store(int64(e.at))
		e.do()
	}
	sim.now.Store(int64(until))
	Expect(sim.turnedAway).To(BeNumerically("<=", sim.jobs/4))
}

func (sim *simulation) pass() {
	if !sim.leaderless {
		Expect(sim.s.Pass(sched.InTime)).Error().NotTo(HaveOccurred())
	}
}

// submitGang submits a gang unless much is waiting.
func (sim *simulation) submitGang() {
	open := 0
	sim.r.machine.Batch().View(func(b *batch.State) { open = len(b.Open) })
	if sim.leaderless || open > len(sim.fleet)/8 {
		return
	}
	sim.jobs++
	gang := batch.Step{Count: 2 + sim.rand.IntN(12), Need: gpus(8), Gang: !sim.single, Checkpoints: true, EstimateMS: int(simWorkTime.Milliseconds())}
	if !sim.offer("normal", fmt.Sprintf("j%d", sim.jobs), batch.Spec{Text: "t", Steps: []batch.Step{gang}}) {
		sim.turnedAway++
	}
}

// beatIn sends the worker's next heartbeat after a delay, unless an earlier one is due.
func (sim *simulation) beatIn(w *simWorker, d time.Duration) {
	at := sim.clock() + d
	w.beatAt = at
	sim.after(d, func() {
		if w.beatAt == at && !w.waiting {
			sim.beat(w)
		}
	})
}

func (sim *simulation) beat(w *simWorker) {
	if w.silent {
		return
	}
	w.hb.Seq++
	hb := w.hb
	hb.Ended = slices.Clone(w.hb.Ended)
	hb.Running = nil
	for id, r := range w.runs {
		state := sched.RunState{Task: id, Run: r.run, Checkpoint: r.from}
		if r.from != "" {
			state.Percent = 40
		}
		if g := sim.gangs[sim.gangKey(id, r.run)]; g.formedAt != 0 && sim.clock()-g.formedAt >= simGaugeDelay {
			state.Gauge = 900
		}
		hb.Running = append(hb.Running, state)
	}
	w.waiting = true
	seq, sentAt := hb.Seq, sim.clock()
	retry := func() {
		if w.waiting && w.hb.Seq == seq {
			w.waiting = false
			sim.beat(w)
		}
	}
	if sim.leaderless {
		sim.after(300*time.Millisecond, retry)
		return
	}
	sim.after(simAnswerTimeout, retry)
	late := time.Duration(float64(sim.lateness) * sim.rand.Float64())
	before := time.Duration(float64(late) * sim.rand.Float64())
	leader := sim.s
	lost := sim.clock()-w.lostAt > simLossEvery && sim.rand.IntN(100) == 0
	if lost {
		w.lostAt = sim.clock()
	}
	sim.after(before+time.Millisecond, func() {
		if sim.s != leader || sim.leaderless {
			return
		}
		ctx, cancel := context.WithCancel(context.Background())
		cancel() // waits for no placement pass
		a, err := sim.s.Answer(ctx, sched.Call{Heartbeat: &hb})
		Expect(err).NotTo(HaveOccurred())
		if len(hb.Ended) > 0 {
			sim.pass()
		}
		sim.after(late-before, func() {
			if w.waiting && w.hb.Seq == seq && sim.s == leader && !sim.leaderless && !lost {
				w.waiting = false
				sim.carryOut(w, a.Orders, sentAt)
			}
		})
	})
}

func (sim *simulation) gangKey(id batch.TaskID, run int) sched.RunRef {
	if !sim.single {
		id.Index = 0
	}
	return sched.RunRef{Task: id, Run: run}
}

func (sim *simulation) carryOut(w *simWorker, o *sched.Orders, sentAt time.Duration) {
	sim.extendLease(w, sentAt+time.Duration(o.LeaseMS)*time.Millisecond)
	w.hb.Ended = slices.DeleteFunc(w.hb.Ended, func(e sched.RunEnd) bool { return e.Number <= o.AckedThrough })
	sim.beatIn(w, time.Duration(max(50, o.RetryAfterMS))*time.Millisecond)
	for _, ref := range o.Stops {
		if r := w.runs[ref.Task]; r != nil && r.run == ref.Run {
			sim.end(w, ref.Task, batch.EndStopped)
		}
	}
	for _, st := range o.Starts {
		sim.start(w, st)
	}
}

// extendLease extends a worker's lease, at whose end all of its runs end.
func (sim *simulation) extendLease(w *simWorker, end time.Duration) {
	if end <= w.leaseEnd {
		return
	}
	w.leaseEnd = end
	sim.after(end-sim.clock(), func() {
		if w.leaseEnd == end {
			sim.endAll(w, batch.EndLeaseExpired, func(*simRun, *simGang) bool { return true })
		}
	})
}

// endAll ends the chosen runs of a worker.
func (sim *simulation) endAll(w *simWorker, reason batch.EndReason, chosen func(*simRun, *simGang) bool) {
	for id, r := range maps.Clone(w.runs) {
		if w.runs[id] == r && chosen(r, sim.gangs[sim.gangKey(id, r.run)]) {
			sim.end(w, id, reason)
		}
	}
}

func (sim *simulation) start(w *simWorker, st sched.StartOrder) {
	if r := w.runs[st.Task]; r != nil || st.Run <= w.highest[st.Task] {
		return
	}
	for ref := range sim.running {
		if ref.Task == st.Task {
			sim.twice++
		}
	}
	sim.running[sched.RunRef{Task: st.Task, Run: st.Run}] = w
	key := sim.gangKey(st.Task, st.Run)
	g := sim.gangs[key]
	if g == nil {
		g = &simGang{members: map[batch.TaskID]*simWorker{}}
		sim.r.machine.Batch().View(func(b *batch.State) { g.size = b.Jobs[st.Task.Job].Spec.Steps[0].Count })
		if sim.single {
			g.size = 1
		}
		sim.gangs[key] = g
	}
	run := &simRun{run: st.Run, startedAt: sim.clock(), from: st.Checkpoint}
	w.runs[st.Task] = run
	g.members[st.Task] = w
	if len(g.members) == g.size {
		g.formedAt = sim.clock()
		sim.formed++
		sim.after(simWorkTime, func() {
			if !g.over {
				g.over = true
				for id, member := range maps.Clone(g.members) {
					sim.end(member, id, batch.EndDone)
				}
			}
		})
		return
	}
	sim.after(sim.timeout, func() {
		if w.runs[st.Task] == run && g.formedAt == 0 {
			if w.silentAt < run.startedAt && !w.silent {
				sim.alone++
			}
			sim.end(w, st.Task, batch.EndGangIncomplete)
		}
	})
}

// end ends a run, and with it the gang if that is at work.
func (sim *simulation) end(w *simWorker, id batch.TaskID, reason batch.EndReason) {
	r := w.runs[id]
	g := sim.gangs[sim.gangKey(id, r.run)]
	delete(sim.running, sched.RunRef{Task: id, Run: r.run})
	delete(w.runs, id)
	delete(g.members, id)
	w.highest[id] = r.run
	w.nextEnd++
	w.hb.Ended = append(w.hb.Ended, sched.RunEnd{Number: w.nextEnd, Task: id, Run: r.run, Reason: reason, Checkpoint: "c1"})
	if !w.waiting {
		sim.beatIn(w, 50*time.Millisecond)
	}
	if g.formedAt != 0 && !g.over {
		g.over = true
		sim.broken++
		for other, member := range maps.Clone(g.members) {
			if !member.silent {
				sim.end(member, other, batch.EndGangBroken)
			}
		}
	}
}

// drainOne makes a worker drain, and another one after a while.
func (sim *simulation) drainOne() {
	w := sim.fleet[fmt.Sprintf("w%d", sim.rand.IntN(len(sim.fleet)))]
	w.hb.Draining, w.hb.DrainLeftMS = true, 20_000
	sim.after(8*time.Second, func() { w.hb.Draining = false })
}

// silenceOne makes a worker silent for a while; its runs go on, and it doesn't hear that gangs break.
func (sim *simulation) silenceOne() {
	w := sim.fleet[fmt.Sprintf("w%d", sim.rand.IntN(len(sim.fleet)))]
	if w.silent {
		return
	}
	w.silent = true
	sim.after(time.Duration(1000+sim.rand.IntN(int(sim.silence.Milliseconds())-1000))*time.Millisecond, func() {
		w.silent, w.silentAt, w.waiting = false, sim.clock(), false
		sim.endAll(w, batch.EndGangBroken, func(_ *simRun, g *simGang) bool { return g.over })
		sim.beat(w)
	})
}

// changeLeader ends the leader's term; another one without its memory follows after a while.
func (sim *simulation) changeLeader() {
	if sim.clock() < sim.leadsUntil {
		return
	}
	sim.leaderless, sim.leadsUntil = true, sim.clock()+6*time.Second+time.Duration(sim.rand.IntN(4000))*time.Millisecond
	sim.after(time.Duration(500+sim.rand.IntN(700))*time.Millisecond, func() {
		sim.settleLate()
		sim.term++
		sim.s = sched.New(sim.cfg)
		sim.s.Begin(context.Background(), sim.term, sim.r)
		sim.leaderless = false
	})
}

// interruptLeader makes the leader lose its lease and regain it in the same term after a while.
func (sim *simulation) interruptLeader() {
	if sim.clock() < sim.leadsUntil {
		return
	}
	sim.leaderless, sim.leadsUntil = true, sim.clock()+2*time.Second+time.Duration(sim.rand.IntN(4000))*time.Millisecond
	sim.s.End()
	sim.after(time.Duration(200+sim.rand.IntN(800))*time.Millisecond, func() {
		sim.s.Begin(context.Background(), sim.term, sim.r)
		sim.leaderless = false
	})
}

// delayEnds makes commits of ends late for a while.
func (sim *simulation) delayEnds() {
	if sim.endsLate {
		return
	}
	sim.endsLate = true
	sim.r.delayEnds()
	sim.after(time.Duration(100+sim.rand.IntN(1400))*time.Millisecond, func() {
		sim.r.commitLate()
		sim.endsLate = false
	})
}

// settleLate commits what is late, or drops it, as the log does before the next leader begins.
func (sim *simulation) settleLate() {
	if sim.rand.IntN(2) == 0 {
		sim.r.dropLate()
	}
	sim.r.commitLate()
}

func delayEndsAndSilence(sim *simulation) {
	sim.delayEnds()
	sim.silenceOne()
}

func delayEndsAndInterruptLeader(sim *simulation) {
	sim.delayEnds()
	interruptLeaderAndSilence(sim)
}

func delayEndsAndChangeLeader(sim *simulation) {
	sim.delayEnds()
	changeLeaderAndSilence(sim)
}

func interruptLeaderAndSilence(sim *simulation) {
	sim.interruptLeader()
	sim.silenceOne()
}

func changeLeaderAndSilence(sim *simulation) {
	sim.changeLeader()
	sim.silenceOne()
}

// stopOne stops a run at work, which breaks its gang.
func (sim *simulation) stopOne() {
	for _, id := range slices.Sorted(maps.Keys(sim.fleet)) {
		w := sim.fleet[id]
		for task, r := range w.runs {
			if sim.gangs[sim.gangKey(task, r.run)].formedAt != 0 && !w.silent {
				sim.end(w, task, batch.EndStopped)
				return
			}
		}
	}
}
