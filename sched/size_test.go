package sched_test

import (
	"maps"
	"slices"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"turmericroute/batch"
	"turmericroute/sched"
)

// farFactor is how much longer a gang takes that prefers a single rack and has been spread over several.
const farFactor = 3

var _ = Describe("a gang that would be slow elsewhere", func() {
	// newWaiting returns a fixture in which a gang of two whole workers, which takes 2 s in one rack, finds one in each.
	newWaiting := func() *fixture {
		f := newIdleFixture(func(c *sched.Config) { c.Limits.OffRackFactor = farFactor })
		f.addWorkers("r1", "dc1", "w1", "w2", "w3")
		f.addWorkers("r2", "dc1", "w4", "w5", "w6")
		f.label()
		for _, name := range []string{"w1", "w2", "w4", "w5"} {
			f.submit("normal", "on-"+name, batch.Step{Count: 1, Need: gpus(8), Label: "only-" + name, EstimateMS: 60_000})
		}
		f.turn()
		f.submit("normal", "gang", batch.Step{Count: 2, Need: gpus(8), EstimateMS: 2000, Gang: true, SameRack: true})
		for range 17 {
			f.turn() // 200 ms
		}
		return f
	}

	// Guards against gangs that leave their rack early, although to wait costs less, and then keep room from others for
	// three times as long.
	It("waits for a rack as long as it would lose elsewhere", func() {
		f := newWaiting()
		Expect(f.running("gang")).To(BeEmpty())
		f.workers["w2"].end(taskID("on-w2", 0, 0), batch.EndDone)
		f.turn()
		f.turn()
		Expect(slices.Collect(maps.Values(f.running("gang")))).To(ConsistOf("w2", "w3"))
	})

	It("runs elsewhere after that", func() {
		f := newWaiting()
		for range 5 {
			f.turn()
		}
		Expect(slices.Collect(maps.Values(f.running("gang")))).To(ConsistOf("w3", "w6"))
	})
})
