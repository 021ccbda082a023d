package ctrl_test

import (
	"context"
	"os"
	"path/filepath"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a snapshot from before the leader has lost its own disk", func() {
	// Guards against a member that installs a snapshot whose membership lacks the leader's new ID, and then has no way to
	// reply to the leader: it never votes again, and the next lost disk ends the majority.
	It("lets an instance with an empty disk catch up", func() {
		c := newCluster("a", "b", "c")
		c.snapshotEntries = 24
		c.start("a", "b", "c")
		for i := range c.snapshotEntries {
			registerWorker(c.nodes[c.leader()], i)
		}
		for name := range c.nodes {
			Eventually(func() ([]string, error) { return filepath.Glob(filepath.Join(c.dataDir(name), "snap-*")) }, waitTimeout).ShouldNot(BeEmpty())
		}
		replaceDisk := func(name string) {
			before := voterIDs(c.nodes[c.leader()])[name]
			c.close(name)
			Expect(os.RemoveAll(c.dataDir(name))).To(Succeed())
			c.start(name)
			Eventually(func() map[string]string { return voterIDs(c.nodes[c.leader()]) }, waitTimeout).Should(HaveKeyWithValue(name, Not(Equal(before))))
		}
		first := c.follower().Status().Name
		replaceDisk(first)
		for c.leader() != first {
			c.nodes[c.leader()].TransferLeadership(context.Background())
		}
		replaceDisk(c.follower().Status().Name)
	})
})

var _ = Describe("an instance that was away while the leader lost its disk", func() {
	// Guards against a member whose own log has only the leader's former ID, and which then has no way to reply to the leader.
	It("catches up with the leader's new ID", func() {
		c := newCluster("a", "b", "c", "d", "e")
		c.start("a", "b", "c", "d", "e")
		away := c.follower().Status().Name
		c.close(away)
		leader := c.follower().Status().Name
		before := voterIDs(c.nodes[c.leader()])[leader]
		c.close(leader)
		Expect(os.RemoveAll(c.dataDir(leader))).To(Succeed())
		c.start(leader)
		Eventually(func() map[string]string { return voterIDs(c.nodes[c.leader()]) }, waitTimeout).Should(HaveKeyWithValue(leader, Not(Equal(before))))
		for c.leader() != leader {
			c.nodes[c.leader()].TransferLeadership(context.Background())
		}
		c.start(away)
		Eventually(func() uint64 { return c.nodes[away].Machine().Applied() }, waitTimeout).Should(BeNumerically(">=", c.nodes[leader].Machine().Applied()))
	})
})
