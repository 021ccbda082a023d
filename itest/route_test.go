package itest_test

import (
	"context"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"turmericroute/fakes"
	"turmericroute/itest"
)

// callResult is the result of a request as seen by the client; err is set if no complete response was received.
type callResult struct {
	status  int
	outcome string
	body    string
	err     error
}

// borrowerClient sends requests of the team "borrower". Connections are not reused after an instance restarts.
type borrowerClient struct{ http *http.Client }

func newBorrowerClient() *borrowerClient {
	return &borrowerClient{http: &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 32}}}
}

// send sends one request to the service "plans". A request with a key is marked as not idempotent.
func (c *borrowerClient) send(ctx context.Context, address, id, key string) callResult {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/services/plans/bend", strings.NewReader("sheet "+id))
	Expect(err).NotTo(HaveOccurred())
	// Without GetBody, the transport does not resend a request on its own.
	r.GetBody = nil
	r.Header.Set("Turmericroute-Team", "borrower")
	r.Header.Set("Turmericroute-Timeout-Ms", "3000")
	r.Header.Set("Turmericroute-Request-Id", id)
	if key != "" {
		r.Header.Set("Turmericroute-Idempotent", "false")
		r.Header.Set("Idempotency-Key", key)
		r.Header.Set("Turmericroute-Key-Time", fmt.Sprint(time.Now().UnixMilli()))
	}
	resp, err := c.http.Do(r)
	if err != nil {
		return callResult{err: err}
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return callResult{status: resp.StatusCode, outcome: resp.Header.Get("Turmericroute-Outcome"), body: string(b), err: err}
}

// sendWithRetries sends a non-idempotent request, again if it certainly did not run or got no response, until it is done
// or its outcome is unknown. It gives up after 60 attempts or when ctx ends. It returns the outcome.
func (c *borrowerClient) sendWithRetries(ctx context.Context, rnd *rand.Rand, addresses []string, key string) string {
	for range 60 {
		got := c.send(ctx, addresses[rnd.Intn(len(addresses))], key, key)
		switch {
		case got.err == nil && got.status == http.StatusOK && got.outcome == "done":
			if !strings.Contains(got.body, key) {
				return "wrong response: " + got.body
			}
			return "done"
		case got.err == nil && strings.Contains(got.body, "outcome_unknown"):
			return "unknown"
		}
		select {
		case <-ctx.Done():
			return "gave up"
		case <-time.After(time.Duration(20+rnd.Intn(40)) * time.Millisecond):
		}
	}
	return "gave up"
}

var _ = Describe("requests while instances fail", func() {
	var c *itest.Cluster
	var backends *itest.Backends

	BeforeEach(func(ctx SpecContext) {
		c = startCluster(ctx, fiveVoters)
		backends = startBackends(ctx, c, 2)
	})

	It("run at most once and get a correct response while entries and the leader are killed", func(ctx SpecContext) {
		const clients, requests, seed = 12, 30, 5
		results := make([]map[string]string, clients)
		var wg sync.WaitGroup
		for i := range clients {
			results[i] = map[string]string{}
			wg.Add(1)
			go func() {
				defer GinkgoRecover()
				defer wg.Done()
				rnd, cl := rand.New(rand.NewSource(seed+int64(i))), newBorrowerClient()
				for n := range requests {
					key := fmt.Sprintf("order-%d-%d", i, n)
					results[i][key] = cl.sendWithRetries(ctx, rnd, c.Addresses(), key)
				}
			}()
		}
		done := make(chan struct{})
		go func() { wg.Wait(); close(done) }()
		rnd := rand.New(rand.NewSource(seed))
		for kills := 0; ; kills++ {
			n := c.Nodes[rnd.Intn(len(c.Nodes))]
			if kills%3 == 0 {
				if l := c.Leader(ctx); l != nil {
					n = l
				}
			}
			n.Kill()
			Expect(n.Start()).To(Succeed())
			Eventually(n.CheckReady, "20s", "20ms").WithContext(ctx).Should(Succeed())
			select {
			case <-done:
			default:
				continue
			}
			break
		}
		count := map[string]int{}
		for _, r := range results {
			for key, outcome := range r {
				count[outcome]++
				runs := backends.RequestStarts(key)
				Expect(runs).To(BeNumerically("<=", 1), key)
				if outcome == "done" {
					Expect(runs).To(Equal(1), key)
				}
				Expect(outcome).To(BeElementOf("done", "unknown"), key)
			}
		}
		Expect(count["done"]).To(BeNumerically(">", clients*requests/2), "%v", count)
	}, NodeTimeout(120*time.Second))

	It("all succeed while instances are restarted one after another", func(ctx SpecContext) {
		var mu sync.Mutex
		ready := map[string]bool{}
		for _, a := range c.Addresses() {
			ready[a] = true
		}
		// pickReady selects a random ready instance, as the platform's load balancer does.
		pickReady := func(rnd *rand.Rand) string {
			mu.Lock()
			defer mu.Unlock()
			all := c.Addresses()
			for i, n := 0, rnd.Intn(len(all)); i < len(all); i++ {
				if a := all[(n+i)%len(all)]; ready[a] {
					return a
				}
			}
			return all[0]
		}
		probeCtx, stopProbes := context.WithCancel(ctx)
		defer stopProbes()
		for _, a := range c.Addresses() {
			go func() {
				for probeCtx.Err() == nil {
					resp, err := http.Get("http://" + a + "/readyz")
					ok := err == nil && resp.StatusCode == http.StatusOK
					if err == nil {
						resp.Body.Close()
					}
					mu.Lock()
					ready[a] = ok
					mu.Unlock()
					select {
					case <-probeCtx.Done():
					case <-time.After(20 * time.Millisecond):
					}
				}
			}()
		}
		loadCtx, stopLoad := context.WithCancel(ctx)
		defer stopLoad()
		var wg sync.WaitGroup
		failures := make(chan string, 1000)
		sent := make([]int, 8)
		for i := range sent {
			wg.Add(1)
			go func() {
				defer GinkgoRecover()
				defer wg.Done()
				rnd, cl := rand.New(rand.NewSource(int64(i))), newBorrowerClient()
				for n := 0; loadCtx.Err() == nil; n++ {
					id := fmt.Sprintf("rolling-%d-%d", i, n)
					got := cl.send(ctx, pickReady(rnd), id, "")
					if got.err != nil || got.status != http.StatusOK || !strings.Contains(got.body, id) {
						failures <- fmt.Sprintf("%s: status %d, %v: %s", id, got.status, got.err, got.body)
					}
					sent[i]++
				}
			}()
		}
		for _, n := range c.Nodes {
			Expect(n.Terminate()).To(Succeed())
			Expect(n.Start()).To(Succeed())
			Eventually(n.CheckReady, "20s", "20ms").WithContext(ctx).Should(Succeed())
		}
		stopLoad()
		wg.Wait()
		close(failures)
		var all []string
		for l := range failures {
			all = append(all, l)
		}
		Expect(all).To(BeEmpty())
		Expect(sent).To(HaveEach(BeNumerically(">", 10)))
	}, NodeTimeout(120*time.Second))

	DescribeTable("reach no upstream from an isolated entry more than 3 s after the upstream was removed", func(ctx SpecContext, leave func(context.Context) []string) {
		isolated := c.Node("c2")
		c.Isolate(isolated.Spec.Name)
		left := leave(ctx)
		leftAt := time.Now()
		cl := newBorrowerClient()
		lastRequest := func() time.Time {
			var at time.Time
			for _, name := range left {
				for _, r := range backends.Upstreams[name].Ledger() {
					if r.StartedAt.After(at) {
						at = r.StartedAt
					}
				}
			}
			return at
		}
		served := 0
		for i := 0; time.Since(leftAt) < 5*time.Second; i++ {
			if got := cl.send(ctx, isolated.HTTP, fmt.Sprint("cut-", i), ""); got.status == http.StatusOK {
				served++
			}
		}
		Expect(served).To(BeNumerically(">", 0), "the isolated entry must serve requests at first")
		Expect(lastRequest()).To(BeTemporally("<", leftAt.Add(removalBound)))
		c.Heal(isolated.Spec.Name)
		Eventually(isolated.CheckReady, "20s", "20ms").WithContext(ctx).Should(Succeed())
		healedAt := time.Now()
		for i := range 50 {
			got := cl.send(ctx, isolated.HTTP, fmt.Sprint("healed-", i), "")
			Expect(got.status).To(Equal(http.StatusOK), got.body)
		}
		Expect(lastRequest()).To(BeTemporally("<", healedAt))
	},
		Entry("itself", func(ctx context.Context) []string {
			Expect(backends.Upstreams["plans-1"].Leave(ctx)).To(Succeed())
			return []string{"plans-1"}
		}, NodeTimeout(60*time.Second)),
		Entry("with its data centre", func(ctx context.Context) []string {
			applyChanges(ctx, c, serviceChange("dc1", false))
			return []string{"plans-1", "plans-4"}
		}, NodeTimeout(60*time.Second)),
	)

	It("go to other upstreams when some are killed and replaced under load", func(ctx SpecContext) {
		cl, failed := newBorrowerClient(), 0
		for i := range 200 {
			switch i {
			case 40:
				backends.Upstreams["plans-1"].Close()
				backends.Upstreams["plans-2"].Close()
			case 120:
				Expect(backends.AddUpstream("plans-7", "dc1", smallConfig().Services[0], fakes.Behaviour{Delay: 10 * time.Millisecond})).To(Succeed())
			}
			got := cl.send(ctx, c.Nodes[i%len(c.Nodes)].HTTP, fmt.Sprint("swap-", i), "")
			// A request that is not marked idempotent may have run on a killed upstream, so it is not sent again.
			if got.status != http.StatusOK {
				failed++
				Expect(got.outcome).To(Equal("unknown"))
			}
		}
		Expect(failed).To(BeNumerically("<=", 4))
		Eventually(func() int {
			cl.send(ctx, c.Nodes[0].HTTP, fmt.Sprint("new-", time.Now().UnixNano()), "")
			return len(backends.Upstreams["plans-7"].Ledger())
		}, "10s", "10ms").Should(BeNumerically(">", 0))
	}, NodeTimeout(60*time.Second))
})
