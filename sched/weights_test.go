package sched_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"turmericroute/batch"
	"turmericroute/sched"
)

// newWeightsFixture returns an idle fixture whose team and the other team have weights.
func newWeightsFixture(team, other float64, workers ...string) *fixture {
	f := newIdleFixture()
	a, b := testTeam, otherTeam
	a.GuaranteedGPUs, a.Weight, b.Weight = 0, team, other
	f.declareTeams(2, a, b)
	f.addWorkers("r1", "dc1", workers...)
	return f
}

// onePass runs a single pass and returns how many runs it has started of each job.
func (f *fixture) onePass() map[string]int {
	GinkgoHelper()
	f.advance(150 * time.Millisecond)
	starts, err := f.s.Pass(sched.InTime)
	Expect(err).NotTo(HaveOccurred())
	out := map[string]int{}
	for _, st := range starts {
		out[st.Task.Job]++
	}
	return out
}

var _ = Describe("the weights of teams", func() {
	// Guards against shares that go by the order in which jobs come, for as long as both teams always wait.
	It("divide the room over time while all of it is in use", func() {
		const capacity = 32
		f := newWeightsFixture(1, 3, "w1", "w2", "w3", "w4")
		r := rand.New(rand.NewPCG(1, 1))
		sum := map[string]int{}
		jobs := 0
		for tick := range 600 {
			if tick%25 == 0 {
				jobs++
				f.submitAs(testKey, "normal", fmt.Sprintf("a%d", jobs), singles(60, 1))
				f.submitAs("other-key", "normal", fmt.Sprintf("b%d", jobs), singles(60, 1))
			}
			f.advance(50 * time.Millisecond)
			f.onePass()
			for name, w := range f.workers {
				for _, run := range append([]sched.RunState(nil), w.hb.Running...) {
					sum[run.Task.Job[:1]]++
					if r.IntN(10) == 0 {
						w.end(run.Task, batch.EndDone)
					}
				}
				f.heartbeatsSoon(name)
			}
		}
		Expect(sum["a"]+sum["b"]).To(BeNumerically(">", 600*capacity*8/10), "the room is in use")
		Expect(float64(sum["b"])/float64(sum["a"]+sum["b"])).To(BeNumerically("~", 0.75, 0.075), fmt.Sprint(sum))
	})

	// Guards against room that idles for the sake of a weight.
	It("leave all room to a team that is alone", func() {
		f := newWeightsFixture(1, 9, "w1", "w2")
		f.submit("normal", "j", singles(16, 1))
		Expect(f.onePass()).To(Equal(map[string]int{"j": 16}))
	})

	// Guards against a team that gets ahead of others by submitting more jobs than its weight allows, also after a change
	// of leader, when only the ledger tells when they were accepted.
	DescribeTable("put jobs beyond the rate of their team after the others",
		func(newLeader bool) {
			f := newWeightsFixture(1, 1)
			for i := range 6 {
				f.submit("normal", fmt.Sprintf("j%d", i), singles(1, 4))
				f.cancel("normal", fmt.Sprintf("j%d", i)) // an ended job counts as well
				f.advance(time.Millisecond)
			}
			f.submit("normal", "beyond", singles(1, 4))
			f.advance(time.Second)
			f.submitAs("other-key", "normal", "later", singles(2, 4))
			f.onePass() // there are no workers yet
			if newLeader {
				f.replaceLeader()
			}
			f.addWorkers("r1", "dc1", "w1")
			Expect(f.onePass()).To(Equal(map[string]int{"later": 2}))
		},
		Entry("in one term", false),
		Entry("in the term of the next leader", true),
	)

	// Guards against a change for operators that declare no weights.
	It("change nothing where no team has one", func() {
		f := newWeightsFixture(0, 0)
		for i := range 6 {
			f.submit("normal", fmt.Sprintf("j%d", i), singles(1, 4))
			f.cancel("normal", fmt.Sprintf("j%d", i))
		}
		f.submit("normal", "first", singles(2, 4))
		f.advance(time.Second)
		f.submitAs("other-key", "normal", "later", singles(2, 4))
		f.addWorkers("r1", "dc1", "w1")
		Expect(f.onePass()).To(Equal(map[string]int{"first": 2}))
	})
})
