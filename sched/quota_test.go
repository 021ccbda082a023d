package sched_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"turmericroute/batch"
	"turmericroute/model"
	"turmericroute/sched"
)

// otherTeam is a second team without a quota.
var otherTeam = batch.Team{Name: "other", Keys: []string{"other-key"}}

// limited returns the fixture's team with a quota of accelerators.
func limited(gpus int) batch.Team {
	t := testTeam
	t.Maximum = batch.Resources{GPUs: gpus}
	return t
}

// newQuotaFixture returns an idle fixture whose team may use so many accelerators, beside another team without a quota,
// and workers with 8 accelerators each.
func newQuotaFixture(gpus int, workers ...string) *fixture {
	f := newIdleFixture()
	f.declareTeams(2, limited(gpus), otherTeam)
	f.addWorkers("r1", "dc1", workers...)
	return f
}

func (f *fixture) submitAs(key, queue, id string, steps ...batch.Step) {
	GinkgoHelper()
	ref := jobRef(queue, id)
	ref.Key = key
	Expect(f.call(sched.Call{Submit: &sched.Submit{JobRef: ref, Spec: batch.Spec{Text: "t", Steps: steps}}}).err).To(Succeed())
}

// heartbeatLost sends a worker's heartbeat, and loses the answer.
func (f *fixture) heartbeatLost(name string) {
	GinkgoHelper()
	w := f.workers[name]
	w.hb.Seq++
	hb := w.hb
	Expect(f.call(sched.Call{Heartbeat: &hb}).err).NotTo(HaveOccurred())
}

// place runs passes over 600 ms of clock time and returns how many runs they have started of each job.
func (f *fixture) place() map[string]int {
	GinkgoHelper()
	out := map[string]int{}
	for range 4 {
		f.advance(150 * time.Millisecond)
		starts, err := f.s.Pass(sched.InTime)
		Expect(err).NotTo(HaveOccurred())
		for _, st := range starts {
			out[st.Task.Job]++
		}
		Expect(f.s.CheckKept()).To(Succeed())
	}
	return out
}

// heartbeatsSoon sends heartbeats without waiting for passes.
func (f *fixture) heartbeatsSoon(names ...string) {
	GinkgoHelper()
	for _, n := range names {
		f.heartbeatSoon(n)
	}
}

// endRuns ends up to n runs of a job as done, and reports them.
func (f *fixture) endRuns(id string, n int) {
	GinkgoHelper()
	for task, name := range f.running(id) {
		if n--; n < 0 {
			break
		}
		f.workers[name].end(task, batch.EndDone)
		f.heartbeatsSoon(name)
	}
}

func singles(n, each int) batch.Step {
	return batch.Step{Count: n, Need: gpus(each), EstimateMS: 60_000}
}

func gangOf(n, each int) batch.Step {
	return batch.Step{Count: n, Need: gpus(each), EstimateMS: 60_000, Gang: true}
}

var _ = Describe("the quota of a team", func() {
	// Guards against a step that takes more than the quota because its tasks are placed one by one.
	It("lets a step without a gang run in waves", func() {
		f := newQuotaFixture(6, "w1", "w2")
		f.submit("normal", "j", singles(10, 1))
		Expect(f.place()).To(Equal(map[string]int{"j": 6}))
		f.heartbeatsSoon("w1", "w2")
		f.endRuns("j", 4)
		Expect(f.place()).To(Equal(map[string]int{"j": 4}))
	})

	// Guards against a gang of which a part has a place in the quota.
	It("lets a gang start whole or wait", func() {
		f := newQuotaFixture(8, "w1", "w2")
		f.submit("normal", "single", singles(1, 4))
		f.place()
		f.heartbeatsSoon("w1", "w2")
		f.submit("normal", "gang", gangOf(6, 1))
		Expect(f.place()).To(BeEmpty())
		f.endRuns("single", 1)
		Expect(f.place()).To(Equal(map[string]int{"gang": 6}))
	})

	// Guards against work of a team that keeps a larger gang of the team from ever starting.
	It("is kept for the step that ranks first", func() {
		f := newQuotaFixture(8, "w1", "w2")
		f.submit("normal", "first", singles(6, 1))
		f.place()
		f.heartbeatsSoon("w1", "w2")
		f.submit("normal", "gang", gangOf(4, 1))
		f.submit("normal", "later", singles(8, 1))
		Expect(f.place()).To(BeEmpty())
		f.endRuns("first", 2)
		Expect(f.place()).To(Equal(map[string]int{"gang": 4}))
	})

	// Guards against a team that idles below half of its quota behind a gang that does not fit yet.
	It("is not kept below its half", func() {
		f := newQuotaFixture(8, "w1", "w2")
		f.submit("normal", "first", singles(1, 1))
		f.place()
		f.heartbeatsSoon("w1", "w2")
		f.submit("normal", "gang", gangOf(8, 1))
		f.submit("normal", "later", singles(8, 1))
		Expect(f.place()).To(Equal(map[string]int{"later": 3}))
	})

	// Guards against a quota that counts the accelerators alone, or not the cores of best-effort tasks.
	It("counts cores and memory as well", func() {
		f := newIdleFixture()
		f.declareQuota(2, batch.Resources{CPUMilli: 3000, MemoryMB: 100_000})
		f.addWorkers("r1", "dc1", "w1", "w2")
		f.submit("normal", "j", batch.Step{Count: 8, Need: gpus(1), EstimateMS: 1000, BestEffort: true})
		Expect(f.place()).To(Equal(map[string]int{"j": 3}))
	})

	// Guards against runs that are forgotten while their worker may still have them.
	It("counts the runs of a silent worker until its lease has certainly expired", func() {
		f := newQuotaFixture(8, "w1", "w2")
		f.submit("normal", "held", gangOf(8, 1))
		f.place()
		f.heartbeatsSoon("w1", "w2")
		silent := f.running("held")[taskID("held", 0, 0)]
		sound := map[string]string{"w1": "w2", "w2": "w1"}[silent]
		f.submit("normal", "next", singles(8, 1))
		for range 3 {
			f.advance(700 * time.Millisecond)
			f.heartbeatsSoon(sound)
			Expect(f.s.Sweep()).To(Succeed())
			Expect(f.place()).To(BeEmpty())
		}
		f.advance(2 * time.Second)
		f.heartbeatsSoon(sound)
		Expect(f.s.Sweep()).To(Succeed())
		Expect(f.place()).NotTo(BeEmpty())
		Expect(f.s.Use("team").GPUs).To(Equal(8))
	})

	// Guards against a new leader that counts only what workers have reported to it.
	It("counts the runs that an earlier leader has placed", func() {
		f := newQuotaFixture(8, "w1", "w2")
		f.submit("normal", "wave", singles(12, 1))
		Expect(f.place()).To(Equal(map[string]int{"wave": 8}))
		f.heartbeatsSoon("w1")
		f.replaceLeader()
		f.heartbeatsSoon("w2")
		Expect(f.place()).To(BeEmpty())
		f.heartbeatsSoon("w1")
		Expect(f.place()).To(BeEmpty())
		Expect(f.running("wave")).To(HaveLen(8))
	})

	// Guards against a worker that comes back from behind a cut with runs that the ledger has given up.
	It("counts runs that the ledger does not have, until they end or their lease expires", func() {
		f := newQuotaFixture(8, "w1", "w2")
		f.submit("normal", "cut", gangOf(8, 1))
		f.place()
		f.heartbeatsSoon("w1", "w2")
		f.heartbeatsSoon("w1", "w2") // reports the runs
		name := f.running("cut")[taskID("cut", 0, 0)]
		for task := range f.running("cut") {
			Expect(f.r.change(batch.Change{Ends: []batch.End{{Task: task, Run: 1, Reason: batch.EndLost}}})).To(Succeed())
		}
		f.cancel("normal", "cut")
		f.submit("normal", "next", singles(8, 1))
		Expect(f.place()).To(BeEmpty())
		f.heartbeatsSoon(name) // gets the stops
		Expect(f.place()).To(BeEmpty())
		f.heartbeatsSoon(name) // reports the ends
		Expect(f.place()).To(Equal(map[string]int{"next": 8}))
	})

	// Guards against runs of a worker that died behind the cut, which would count for ever.
	It("drops runs that the ledger does not have once the lease of their worker has expired", func() {
		f := newQuotaFixture(8, "w1", "w2")
		f.submit("normal", "cut", gangOf(8, 1))
		f.place()
		f.heartbeatsSoon("w1", "w2")
		f.heartbeatsSoon("w1", "w2") // reports the runs
		for task := range f.running("cut") {
			Expect(f.r.change(batch.Change{Ends: []batch.End{{Task: task, Run: 1, Reason: batch.EndLost}}})).To(Succeed())
		}
		f.cancel("normal", "cut")
		f.submit("normal", "next", singles(8, 1))
		Expect(f.place()).To(BeEmpty())
		f.advance(6 * time.Second)
		f.addWorkers("r1", "dc1", "w3")
		Expect(f.place()).To(Equal(map[string]int{"next": 8}))
	})

	// Guards against a run whose commit the leader had given up: it would start without being counted.
	It("lets no run start that a pass has not counted", func() {
		f := newQuotaFixture(4, "w1")
		f.submit("normal", "late", singles(4, 1))
		f.advance(150 * time.Millisecond)
		Expect(f.s.Pass(sched.Late)).To(HaveLen(4))
		f.heartbeatsSoon("w1")
		Expect(f.running("late")).To(BeEmpty())
		f.place()
		f.heartbeatsSoon("w1")
		Expect(f.running("late")).To(HaveLen(4))
	})

	// Guards against a limit that stops what runs, and against one that takes effect only for later jobs.
	It("stops nothing when it is lowered, and lets nothing start until the use has fallen", func() {
		f := newQuotaFixture(0, "w1", "w2")
		f.submit("normal", "j", singles(12, 1))
		Expect(f.place()).To(Equal(map[string]int{"j": 12}))
		f.heartbeatsSoon("w1", "w2")
		f.submit("normal", "next", singles(4, 1))
		f.declareTeams(3, limited(6), otherTeam)
		f.heartbeatsSoon("w1", "w2")
		f.endRuns("j", 6)
		Expect(f.place()).To(BeEmpty())
		Expect(f.running("j")).To(HaveLen(6))
		f.endRuns("j", 2)
		Expect(f.place()).To(Equal(map[string]int{"next": 2}))
		f.declareTeams(4, limited(9), otherTeam)
		Expect(f.place()).To(HaveKeyWithValue("next", 2), "a raised limit counts at once")
	})

	// Guards against a start that was decided on under the earlier limit.
	It("withdraws runs that have not been ordered when it is lowered", func() {
		f := newQuotaFixture(12, "w1", "w2")
		f.advance(6 * time.Second) // the term is old enough to know what no worker has started
		f.heartbeatsSoon("w1", "w2")
		f.submit("normal", "j", singles(12, 1))
		f.place()
		f.heartbeatsSoon("w1")
		started := len(f.running("j"))
		Expect(started).To(BeNumerically("<", 12))
		f.declareTeams(3, limited(6), otherTeam)
		f.heartbeatsSoon("w2")
		Expect(f.running("j")).To(HaveLen(started))
		Expect(f.workers["w1"].stopped).To(BeEmpty())
		f.heartbeatsSoon("w2") // reports that the runs never started
		f.place()
		Expect(f.s.Use("team").GPUs).To(BeNumerically("<=", max(6, started)))
	})

	// Guards against members that wait for others whose start is withdrawn, until they end by themselves.
	It("withdraws a gang whole when it is lowered while the gang forms", func() {
		f := newIdleFixture(func(cfg *sched.Config) { cfg.Limits.GangTimeout = 3 * time.Second })
		f.declareTeams(2, limited(12), otherTeam)
		f.addWorkers("r1", "dc1", "w1", "w2")
		f.submit("normal", "gang", gangOf(12, 1))
		f.place()
		f.heartbeatsSoon("w1")
		Expect(f.running("gang")).NotTo(BeEmpty())
		f.declareTeams(3, limited(11), otherTeam)
		f.heartbeatsSoon("w2")
		f.heartbeatsSoon("w1")
		Expect(f.running("gang")).To(BeEmpty())
	})

	// Guards against a repeated start order that starts a run above the limit, if the first one was lost.
	It("holds back repeated start orders when it is lowered", func() {
		f := newQuotaFixture(4, "w1")
		f.submit("normal", "j", singles(4, 1))
		f.place()
		f.heartbeatsSoon("w1")
		w := f.workers["w1"]
		Expect(w.hb.Running).To(HaveLen(4))
		w.hb.Running = w.hb.Running[:2] // two orders were lost
		f.declareTeams(3, limited(1), otherTeam)
		f.heartbeatsSoon("w1")
		Expect(w.last.Starts).To(BeEmpty())
		Expect(w.last.Stops).To(BeEmpty())
		f.declareTeams(4, limited(4), otherTeam)
		f.heartbeatsSoon("w1")
		Expect(w.last.Starts).To(HaveLen(2))
	})

	// Guards against a new leader that orders what an earlier one has placed under a higher limit.
	It("holds back the runs of an earlier leader when it was lowered before", func() {
		f := newQuotaFixture(12, "w1", "w2")
		f.submit("normal", "j", singles(12, 1))
		f.place()
		f.heartbeatsSoon("w1")
		started := len(f.running("j"))
		f.replaceLeader()
		f.declareTeams(3, limited(4), otherTeam)
		f.place()
		f.heartbeatsSoon("w1", "w2")
		Expect(f.running("j")).To(HaveLen(started))
	})

	// Guards against a limit that is tied to the teams of the first configuration.
	It("applies to a team that is added, and no longer to one that is removed", func() {
		f := newQuotaFixture(2, "w1", "w2")
		f.declareTeams(3, otherTeam, batch.Team{Name: "new", Keys: []string{"new-key"}, Maximum: batch.Resources{GPUs: 3}})
		f.submitAs("new-key", "normal", "n", singles(4, 1))
		Expect(f.place()).To(Equal(map[string]int{"n": 3}))
		f.declareTeams(4, testTeam, otherTeam)
		Expect(f.place()).To(Equal(map[string]int{"n": 1}))
	})

	// Guards against a job that would never run again because its limit was too low for a while.
	It("lets a job wait that is larger than the limit, until the limit is raised", func() {
		f := newQuotaFixture(4, "w1", "w2")
		f.submit("normal", "large", gangOf(6, 1))
		f.submit("normal", "small", singles(4, 1))
		Expect(f.place()).To(Equal(map[string]int{"small": 4}), "nothing is kept for it")
		f.declareTeams(3, limited(10), otherTeam)
		Expect(f.place()).To(Equal(map[string]int{"large": 6}))
	})
})

var _ = Describe("the use of a team", func() {
	// Guards against a team that exceeds its quota: the runs that a worker reports beyond the ledger no longer counted once its
	// lease had expired, and not again when the worker was heard with the same runs.
	It("counts the runs that a worker still reports when it is heard after its lease", func() {
		f := newQuotaFixture(8, "w1")
		f.submit("normal", "j", batch.Step{Count: 1, Need: gpus(4), EstimateMS: 60_000})
		f.turn()
		Expect(f.running("j")).To(HaveLen(1))
		f.advance(10 * time.Second)
		Expect(f.s.Sweep()).To(Succeed())
		f.cancel("normal", "j")
		f.place()
		Expect(f.s.Use("team").GPUs).To(BeZero())
		f.heartbeatLost("w1")
		f.place()
		Expect(f.s.Use("team").GPUs).To(Equal(4))
	})
})

var _ = Describe("a job that waits for the quota of its team", func() {
	// Guards against work of other teams that is stopped in vain.
	It("preempts no runs of other teams", func() {
		f := newQuotaFixture(8, "w1", "w2")
		f.submit("urgent", "own", gangOf(8, 1))
		f.place()
		f.heartbeatsSoon("w1", "w2")
		f.submitAs("other-key", "normal", "other", singles(8, 1))
		f.place()
		f.heartbeatsSoon("w1", "w2")
		f.submit("urgent", "waits", batch.Step{Count: 4, Need: gpus(1), EstimateMS: 4000, Gang: true})
		for range 6 {
			f.advance(time.Second)
			Expect(f.place()).To(BeEmpty())
			f.heartbeatsSoon("w1", "w2")
		}
		Expect(f.running("other")).To(HaveLen(8))
		Expect(f.running("own")).To(HaveLen(8))
	})

	// Guards against operators who cannot tell whether a team waits for its quota or for room.
	It("is counted by its team, queue and reason", func() {
		set := metrics.NewSet()
		f := newFixture(func(cfg *sched.Config) { cfg.Metrics = set })
		f.declareTeams(2, limited(2), otherTeam)
		f.addWorkers("r1", "dc1", "w1")
		f.submit("normal", "j", singles(3, 1))
		f.submit("normal", "large", gangOf(4, 2))
		f.awaitRunning("j", 2)
		f.submitAs("other-key", "normal", "other", singles(9, 1))
		f.awaitRunning("other", 6)
		written := func() string {
			f.advance(time.Second)
			f.heartbeatAll()
			var b strings.Builder
			set.WritePrometheus(&b)
			return b.String()
		}
		Eventually(written, 5*time.Second, 50*time.Millisecond).Should(And(
			ContainSubstring(`turmericroute_sched_running_resources_count{team="team",resource="accelerators"} 2`),
			ContainSubstring(`turmericroute_sched_running_resources_count{team="other",resource="cores"} 6`),
			ContainSubstring(`turmericroute_sched_waiting_steps_count{team="team",queue="normal",reason="quota"} 2`),
			ContainSubstring(`turmericroute_sched_waiting_steps_count{team="other",queue="normal",reason="room"} 1`),
			ContainSubstring(`turmericroute_sched_quota_waits_total{team="team",resource="accelerators"} 2`),
		))
		dump, err := json.Marshal(f.s.Dump())
		Expect(err).NotTo(HaveOccurred())
		Expect(string(dump)).To(ContainSubstring(`"waiting":{"normal: quota":2}`))
	})

	// Guards against room that idles for a job that may not use it.
	It("reserves no room", func() {
		f := newQuotaFixture(8, "w1", "w2")
		f.submit("normal", "own", gangOf(8, 1))
		f.place()
		f.heartbeatsSoon("w1", "w2")
		f.submit("normal", "waits", gangOf(8, 1))
		Expect(f.place()).To(BeEmpty())
		f.submitAs("other-key", "normal", "other", singles(8, 1))
		Expect(f.place()).To(Equal(map[string]int{"other": 8}))
	})

	// Guards against a quota that costs a team its guarantee: other work of the team fills the quota.
	It("preempts other runs of its team if it is within the guarantee", func() {
		f := newQuotaFixture(guarantee, "w1", "w2", "w3")
		f.submit("normal", "filler", singles(guarantee, 1))
		f.place()
		f.heartbeatsSoon("w1", "w2", "w3")
		f.submitAs("other-key", "normal", "other", singles(8, 1))
		f.place()
		f.heartbeatsSoon("w1", "w2", "w3")
		f.advance(10 * time.Second) // much work would be lost
		f.heartbeatsSoon("w1", "w2", "w3")
		f.submit("urgent", "j", batch.Step{Count: 8, Need: gpus(1), EstimateMS: 2000, Gang: true})
		for range 4 {
			f.place()
			f.heartbeatsSoon("w1", "w2", "w3")
			f.heartbeatsSoon("w1", "w2", "w3")
		}
		Expect(f.running("j")).To(HaveLen(8), fmt.Sprint(f.s.Use("team")))
		Expect(f.running("other")).To(HaveLen(8))
		Expect(f.running("filler")).To(HaveLen(8))
	})

	// Guards against a job that no configuration in force lets run, and that keeps overdue jobs from being promoted.
	It("is not promoted when it is overdue", func() {
		f := newQuotaFixture(4, "w1")
		f.submit("normal", "never", gangOf(6, 1))
		f.place()
		f.advance(time.Hour)
		f.place()
		dump, err := json.Marshal(f.s.Dump())
		Expect(err).NotTo(HaveOccurred())
		Expect(string(dump)).NotTo(ContainSubstring(`"promoted"`))
	})

	// Guards against submissions that are turned away for work that takes no room from them.
	It("is not counted as work ahead of other teams", func() {
		f := newRacks()
		f.declareTeams(2, limited(2), otherTeam)
		for range 14 {
			f.advance(500 * time.Millisecond)
			f.pass()
		}
		f.submitAs("other-key", "normal", "done", batch.Step{Count: 40, Need: gpus(1), EstimateMS: 4000})
		f.pass()
		for task, w := range f.running("done") {
			f.workers[w].end(task, batch.EndDone)
		}
		f.pass()
		wide := batch.Spec{Text: "t", Steps: []batch.Step{{Count: 32, Need: gpus(2), EstimateMS: 4000}}}
		var err error
		for i := 0; err == nil; i++ {
			Expect(i).To(BeNumerically("<", 100))
			err = f.call(sched.Call{Submit: &sched.Submit{JobRef: jobRef("normal", fmt.Sprintf("j%d", i)), Spec: wide}}).err
			Expect(f.s.Pass(sched.InTime)).Error().NotTo(HaveOccurred())
		}
		Expect(model.AsError(err).Code).To(Equal(model.CodeOverloaded))
		f.submitAs("other-key", "normal", "other", wide.Steps...)
	})
})
