package itest_test

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"turmericroute/batch"
	"turmericroute/platform/stand"
)

const (
	// ackLimit is the platform's limit on the time to acknowledge an order while the core is stable.
	ackLimit = 4 * time.Second
	// orderTimeout is how long an operator waits for a response before it tries another machine.
	orderTimeout = time.Second
	// orderPause is the increase of an operator's pause between attempts after each attempt, up to maxOrderPause.
	orderPause    = 100 * time.Millisecond
	maxOrderPause = 500 * time.Millisecond
)

// deployFile is the deployment file, which lists the kinds of callers that each role serves on the platform.
const deployFile = "../deploy/system.toml"

// retryingOperator sends orders as the platform's operators do: to randomly chosen machines, with a growing pause between
// attempts. It treats the first acknowledgement of each order as lost in transit; the attempts after that go to other
// machines.
type retryingOperator struct {
	addresses []string
	rng       *rand.Rand
}

// declareConfig sends a configuration until it is acknowledged, or for twice ackLimit, and returns the time it took.
func (o retryingOperator) declareConfig(version uint64) time.Duration {
	defer GinkgoRecover()
	document, err := stand.EncodeConfig(batch.Catalog{Version: version})
	Expect(err).NotTo(HaveOccurred())
	c := &stand.Client{HTTP: &http.Client{Timeout: orderTimeout, Transport: &http.Transport{DisableKeepAlives: true}}}
	sent := time.Now()
	lostFrom := "" // the address whose acknowledgement was lost
	for n := time.Duration(1); time.Since(sent) < 2*ackLimit; n++ {
		address := o.addresses[o.rng.IntN(len(o.addresses))]
		for address == lostFrom {
			address = o.addresses[o.rng.IntN(len(o.addresses))]
		}
		r, err := c.PutConfig(context.Background(), address, document)
		if err == nil && r.Status == http.StatusOK {
			if lostFrom != "" {
				break
			}
			lostFrom = address
		}
		time.Sleep(min(n*orderPause, maxOrderPause))
	}
	return time.Since(sent)
}

var _ = Describe("orders of operators", func() {
	// Guards against orders that wait for a second at each instance that knows no leader.
	It("are refused immediately by instances that have had no leader for a long time", func() {
		f := newPlatformFleet(1)
		f.configure(1)
		leader := f.leader()
		f.machines[leader].kill()
		f.machines[(leader+1)%3].kill()
		document, err := stand.EncodeConfig(batch.Catalog{Version: 2})
		Expect(err).NotTo(HaveOccurred())
		for _, i := range []int{(leader + 2) % 3, 3} {
			Eventually(func(g Gomega) {
				sent := time.Now()
				r, err := platformClient.PutConfig(context.Background(), f.controlAddress(i), document)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(r.Status).To(Equal(http.StatusServiceUnavailable))
				g.Expect(time.Since(sent)).To(BeNumerically("<", orderTimeout/2))
			}, "8s", "100ms").Should(Succeed())
		}
	})

	// Guards against orders that are not acknowledged because many of an operator's attempts go to a suspended machine and
	// time out there after a second.
	It("are acknowledged within the limit while a control machine is suspended and acknowledgements are lost", func() {
		f := newPlatformFleet(6)
		f.configure(1)
		leader := f.machines[f.leader()]
		Expect(leader.cmd.Process.Signal(syscall.SIGSTOP)).To(Succeed())
		f.configure(2)
		// The suspended machine comes first, so that the random choices do not depend on which machine led.
		addresses := []string{stand.ControlAddress(leader.ip, f.firstPort)}
		for _, m := range f.machines {
			if m.servesControl && m != leader {
				addresses = append(addresses, stand.ControlAddress(m.ip, f.firstPort))
			}
		}
		const orders = 24
		took := make([]time.Duration, orders)
		var wg sync.WaitGroup
		for i := range orders {
			o := retryingOperator{addresses: addresses, rng: rand.New(rand.NewPCG(uint64(i), 0))}
			wg.Go(func() { took[i] = o.declareConfig(uint64(3 + i)) })
		}
		wg.Wait()
		Expect(took).To(HaveEach(BeNumerically("<", ackLimit)))
	})
})
