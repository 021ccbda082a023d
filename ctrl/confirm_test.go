package ctrl_test

import (
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"turmericroute/ctrl"
)

var _ = Describe("Callers of the protocol loop", func() {
	// Guards against a leader that loses its lease since its loop answers callers for as long as there are any, and reads no
	// message meanwhile.
	It("don't keep it from its messages, however many there are", func() {
		c := newCluster("a", "b", "c")
		role := &countingRole{}
		startSlow(c, role)
		leader := c.nodes[c.leader()]
		registerWorker(leader, 0)
		Eventually(role.begun.Load).Should(BeNumerically(">", 0))
		sessions, term := role.begun.Load(), leader.Status().Term
		var stopped atomic.Bool
		var wg sync.WaitGroup
		for range 20000 {
			wg.Go(func() {
				for !stopped.Load() && ctrl.StallLoop(leader, 0) == nil {
				}
			})
		}
		time.Sleep(2 * time.Second)
		stopped.Store(true)
		wg.Wait()
		Expect(leader.Status().Term).To(Equal(term))
		Expect(role.begun.Load()).To(Equal(sessions))
	})

	// Guards against callers that ask the loop a hundred times a second each while the lease is not held, which takes a busy
	// leader the time to win it back.
	It("wait until the lease is held again without asking", func() {
		l := ctrl.NewLeadership()
		l.Update(true)
		Expect(l.Suspended()).To(BeNil())
		l.Update(false)
		resumed := l.Suspended()
		Expect(resumed).NotTo(BeNil())
		Consistently(resumed, "50ms").ShouldNot(BeClosed())
		l.Update(true)
		Expect(resumed).To(BeClosed())
		Expect(l.Suspended()).To(BeNil())
		l.Update(false)
		resumed = l.Suspended()
		l.End()
		Expect(resumed).To(BeClosed())
		Expect(l.Suspended()).To(BeNil())
	})
})
