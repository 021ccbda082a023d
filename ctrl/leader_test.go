package ctrl_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"turmericroute/model"
	"turmericroute/state"
)

var _ = Describe("the name of the leader", func() {
	// Guards against a leader that nobody finds for as long as it leads: a search that had begun before its election
	// named its predecessor, which it then failed to reach and forgot.
	It("is known to the leader itself, whatever an earlier search has found", func() {
		c := newCluster("a", "b", "c")
		c.start("a", "b", "c")
		leader := c.leader()
		for _, found := range []string{"", c.follower().Status().Name} {
			c.nodes[leader].SetLeaderName(found)
			Expect(c.nodes[leader].Status().Leader).To(Equal(leader))
		}
	})

	// Guards against taking an instance that has lost its disk for one that votes again: operators and tests wait for
	// the end of a repair by its role.
	It("is not known to a control instance that has not joined, which says that it joins", func() {
		c := newCluster("a", "b", "c")
		c.start("b")
		Expect(c.nodes["b"].Status().Role).To(Equal("joining"))
		c.start("a", "c")
		c.leader()
		Eventually(func() string { return c.nodes["b"].Status().Role }, waitTimeout).Should(BeElementOf("leader", "follower"))
	})

	It("is found again by all others after every instance has forgotten it", func() {
		c := newCluster("a", "b", "c")
		c.start("a", "b", "c")
		leader := c.leader()
		for _, n := range c.nodes {
			n.SetLeaderName("")
		}
		for name, n := range c.nodes {
			if name != leader {
				Eventually(func() string {
					_ = n.ViewAge() // the view is confirmed in the background, which needs the leader
					return n.Status().Leader
				}, 3*time.Second).Should(Equal(leader))
			}
		}
		execute(c.follower(), state.SubmitJob{Spec: model.JobSpec{ID: "j"}})
		Expect(c.leader()).To(Equal(leader))
	})
})
