package ctrl_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"turmericroute/ctrl"
)

// drawSeeds returns three of the addresses as seeds.
func drawSeeds(rng *rand.Rand, addresses []string) []ctrl.Peer {
	var seeds []ctrl.Peer
	for _, i := range rng.Perm(len(addresses))[:3] {
		seeds = append(seeds, ctrl.Peer{Name: addresses[i], Address: addresses[i], Control: true})
	}
	return seeds
}

var _ = Describe("a restart of all instances", func() {
	// Guards against instances that find no member, and lost disks that are not replaced, when each instance is told
	// three seeds drawn among all and most of them keep no state.
	It("ends with all in touch with the leader and with five voters", func() {
		const controls, stateless, lostDisks, restarts = 6, 60, 2, 3
		rng := rand.New(rand.NewPCG(1, 1))
		c := newOpenCluster(3)
		c.toleratedLosses = lostDisks
		var addresses []string
		for _, s := range c.seeds {
			addresses = append(addresses, s.Address)
		}
		for len(addresses) < controls+stateless {
			addresses = append(addresses, freeAddress())
		}
		disks := addresses[:controls]
		for _, a := range disks {
			c.startControl(a, a, true)
		}
		isComplete := func() bool {
			working, known := 0, 0
			for _, a := range disks {
				s := c.nodes[a].Status()
				if s.Role == "leader" || s.Role == "follower" {
					working++
				}
				if s.Role == "leader" {
					known = len(s.Members)
				}
			}
			return working == 5 && known == controls
		}
		Eventually(isComplete, waitTimeout).Should(BeTrue())
		for range restarts {
			c.closeAll()
			for _, i := range rng.Perm(controls)[:lostDisks] {
				Expect(os.RemoveAll(c.dataDir(disks[i]))).To(Succeed())
			}
			for _, a := range addresses {
				if slices.Contains(disks, a) {
					c.seeds = drawSeeds(rng, addresses)
					c.startControl(a, a, false)
					continue
				}
				c.startStatelessAt(a, drawSeeds(rng, addresses)...)
			}
			began := time.Now()
			var wg sync.WaitGroup
			for _, a := range addresses[controls:] {
				wg.Go(func() {
					defer GinkgoRecover()
					_, err := call(c.nodes[a], waitTimeout)
					Expect(err).NotTo(HaveOccurred())
				})
			}
			wg.Wait()
			reached := time.Since(began)
			Eventually(isComplete, waitTimeout).Should(BeTrue())
			fmt.Fprintf(GinkgoWriter, "all reached the leader after %v, five voters after %v\n", reached, time.Since(began))
		}
	})
})
