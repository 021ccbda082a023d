package ctrl_test

import (
	"os"
	"path/filepath"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// flipLogBit flips a bit in the log of an instance; a second time repairs it.
func flipLogBit(dir string) {
	names, err := filepath.Glob(filepath.Join(dir, "log-*"))
	Expect(err).NotTo(HaveOccurred())
	b, err := os.ReadFile(names[0])
	Expect(err).NotTo(HaveOccurred())
	b[40] ^= 1
	Expect(os.WriteFile(names[0], b, 0o600)).To(Succeed())
}

var _ = Describe("instances with damaged data folders", func() {
	var c *cluster
	BeforeEach(func() {
		c = newCluster("a", "b", "c")
		c.start("a", "b", "c")
		for i := range 20 {
			registerWorker(c.nodes[c.leader()], i)
		}
		c.closeAll()
	})

	haveLeader := func() bool {
		for _, n := range c.nodes {
			if n.Status().Role == "leader" {
				return true
			}
		}
		return false
	}

	// Guards against a group that is lost for good, as two of three voters give up at once what no other has.
	It("keep them while they are a majority, and work again once one is repaired", func() {
		flipLogBit(c.dataDir("b"))
		flipLogBit(c.dataDir("c"))
		c.start("a", "b", "c")
		Consistently(haveLeader, 3*time.Second, 50*time.Millisecond).Should(BeFalse())
		Expect(c.nodes["b"].Status().Role).To(Equal("joining"))
		c.closeAll()
		flipLogBit(c.dataDir("b"))
		c.start("a", "b", "c")
		Expect(c.nodes[c.leader()].Machine().Workers()).To(HaveLen(20))
		Eventually(workerCount(c.nodes["c"]), waitTimeout).Should(Equal(20))
	})

	// Guards against a damaged folder that is kept although the others work without it.
	It("replace them once the others have a leader", func() {
		flipLogBit(c.dataDir("b"))
		c.start("a", "b")
		Consistently(haveLeader, 2*time.Second, 50*time.Millisecond).Should(BeFalse())
		Expect(filepath.Join(c.dataDir("b"), "damaged")).NotTo(BeADirectory())
		c.start("c")
		Expect(c.leader()).NotTo(Equal("b"))
		Eventually(workerCount(c.nodes["b"]), waitTimeout).Should(Equal(20))
		Expect(filepath.Join(c.dataDir("b"), "damaged")).To(BeADirectory())
	})
})
