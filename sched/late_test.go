package sched_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// expectOneRunEach disturbs a simulation for a while, whose tasks must have one run at a time.
func expectOneRunEach(sim *simulation, lateness time.Duration, disturb func(*simulation)) {
	GinkgoHelper()
	sim.lateness, sim.silence = lateness, 9*time.Second
	sim.every(300*time.Millisecond, sim.stopOne)
	sim.every(400*time.Millisecond, func() { disturb(sim) })
	sim.run(40 * time.Second)
	fmt.Fprintf(GinkgoWriter, "jobs %d, formed %d, broken %d, twice %d\n", sim.jobs, sim.formed, sim.broken, sim.twice)
	Expect(sim.broken).To(BeNumerically(">", 10))
	Expect(sim.twice).To(BeZero())
}

var _ = Describe("single tasks of many workers", func() {
	// Guards against two runs of one task: a worker that was heard again was ordered to start a run whose end was not
	// committed yet.
	DescribeTable("have one run at a time",
		func(disturb func(*simulation)) {
			for seed := range uint64(12) {
				By(fmt.Sprint("seed ", seed))
				sim := newSimulation(seed, 100, 5*time.Second)
				sim.single = true
				expectOneRunEach(sim, 600*time.Millisecond, disturb)
			}
		},
		Entry("with ends that are committed late and workers that are silent", delayEndsAndSilence),
		Entry("with ends that are committed late and a leader that loses its lease for a while", delayEndsAndInterruptLeader),
		Entry("with ends that are committed late and leaders that change", delayEndsAndChangeLeader),
	)
})

var _ = Describe("gangs of many workers", func() {
	// Guards against two runs of one task: members of a gang that broke were given up while they could still start, or went
	// on where their worker was cut off.
	DescribeTable("have one run of each member at a time",
		func(lateness time.Duration, disturb func(*simulation)) {
			for seed := range uint64(5) {
				By(fmt.Sprint("seed ", seed))
				expectOneRunEach(newSimulation(seed, 100, 5*time.Second), lateness, disturb)
			}
		},
		Entry("with workers that are silent", 300*time.Millisecond, (*simulation).silenceOne),
		Entry("with a leader that is a second late and workers that are silent", time.Second, (*simulation).silenceOne),
		Entry("with leaders that change and workers that are silent", 600*time.Millisecond, changeLeaderAndSilence),
		Entry("with a leader that loses its lease for a while and workers that are silent", 600*time.Millisecond, interruptLeaderAndSilence),
	)

	// Guards against members that wait until their gang times out while the leader is late, or while members are
	// withheld or silent.
	DescribeTable("form or are withdrawn in time",
		func(workers int, timeout, lateness time.Duration, disturb func(*simulation)) {
			for seed := range uint64(3) {
				sim := newSimulation(seed, workers, timeout)
				sim.every(3*time.Second, func() {
					if sim.lateness = 0; sim.rand.IntN(3) > 0 {
						sim.lateness = lateness
					}
				})
				if disturb != nil {
					sim.every(400*time.Millisecond, func() { disturb(sim) })
				}
				sim.run(40 * time.Second)
				fmt.Fprintf(GinkgoWriter, "seed %d: jobs %d, formed %d, alone %d, broken %d, twice %d\n", seed, sim.jobs, sim.formed, sim.alone, sim.broken, sim.twice)
				Expect(sim.formed).To(BeNumerically(">", 20))
				Expect(sim.alone).To(BeZero(), "seed %d, of %d that formed", seed, sim.formed)
				Expect(sim.twice).To(BeZero(), "seed %d", seed)
			}
		},
		Entry("with an idle leader", 300, 5*time.Second, time.Duration(0), nil),
		Entry("with a leader that is 300 ms late", 300, 5*time.Second, 300*time.Millisecond, nil),
		Entry("with a leader that is 600 ms late", 300, 5*time.Second, 600*time.Millisecond, nil),
		Entry("with a leader that is a second late", 300, 5*time.Second, time.Second, nil),
		Entry("with a leader that is a second late and workers that drain", 300, 5*time.Second, time.Second, (*simulation).drainOne),
		Entry("with a leader that is 600 ms late and workers that are silent", 300, 5*time.Second, 600*time.Millisecond, (*simulation).silenceOne),
		Entry("with a leader that is a second late and workers that are silent", 300, 5*time.Second, time.Second, (*simulation).silenceOne),
		Entry("with 4 s to form, a leader that is 600 ms late and workers that are silent", 300, 4*time.Second, 600*time.Millisecond, (*simulation).silenceOne),
		Entry("with few workers, 3 s to form and a leader that is 300 ms late", 40, 3*time.Second, 300*time.Millisecond, (*simulation).silenceOne),
		Entry("with leaders that change", 300, 5*time.Second, 300*time.Millisecond, (*simulation).changeLeader),
		Entry("with leaders that change and 4 s to form", 300, 4*time.Second, 300*time.Millisecond, (*simulation).changeLeader),
		Entry("with leaders that change and workers that are silent", 300, 5*time.Second, 300*time.Millisecond, changeLeaderAndSilence),
		Entry("with few workers and leaders that change", 40, 3*time.Second, 300*time.Millisecond, (*simulation).changeLeader),
		Entry("with a leader that loses its lease for a while and workers that are silent", 300, 5*time.Second, 300*time.Millisecond, interruptLeaderAndSilence),
	)
})
