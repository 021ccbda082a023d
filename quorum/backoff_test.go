package quorum_test

import (
	"slices"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// ticksToLeader runs until a leader holds its lease, for at most limit ticks, and returns how long that took.
func (w *network) ticksToLeader(limit float64) float64 {
	start := w.now
	for w.now-start < limit {
		w.run(1)
		if l := w.leader(); l != nil && l.node.Status().Lease {
			break
		}
	}
	return w.now - start
}

// second is a second in ticks.
const second = 20

var _ = Describe("An election", func() {
	const seeds = 40

	// Guards against candidates that replace each other for as long as votes take longer than an election timeout.
	DescribeTable("succeeds", func(slow func(w *network)) {
		for seed := range int64(seeds) {
			w := newNetwork(failf, seed, 5, 0)
			slow(w)
			elected := false
			for range 60 * second {
				w.run(1)
				if elected = w.leader() != nil; elected {
					break
				}
			}
			Expect(elected).To(BeTrue(), "seed %d: no leader in 60 s", seed)
		}
	},
		Entry("although a round trip takes 1 s", func(w *network) { w.minDelay = second / 2 }),
		Entry("although messages take 1 s", func(w *network) { w.minDelay = second }),
		Entry("although a sync takes 1 s", func(w *network) { w.minSync = second }),
	)

	// Guards against a back-off that delays the first election after the loss of a leader.
	It("takes less than 2 s after the loss of a leader in 99 of 100 cases", func() {
		var took []float64
		for seed := range int64(500) {
			w := newNetwork(failf, seed, 5, 0)
			w.run(60)
			l := w.leader()
			Expect(l).NotTo(BeNil())
			w.crash(l)
			took = append(took, w.ticksToLeader(10*second))
		}
		slices.Sort(took)
		AddReportEntry("ticks until a lease is held, p50, p99, maximum", []float64{took[len(took)/2], took[len(took)*99/100], took[len(took)-1]})
		Expect(took[len(took)*99/100]).To(BeNumerically("<", 2*second))
	})
})
