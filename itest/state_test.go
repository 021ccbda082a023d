package itest_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"turmericroute/client"
	"turmericroute/config"
	"turmericroute/fault"
	"turmericroute/itest"
	"turmericroute/model"
)

// weightPatch returns a patch that sets the weight of the team "borrower".
func weightPatch(id string, base uint64, w int) config.Patch {
	t := smallConfig().Teams[1]
	t.Weight = float64(w)
	return config.Patch{ID: id, BaseVersion: base, Changes: []config.Change{{PutTeam: &t}}}
}

// applyPatches sends n patches one after another and returns the last version.
func applyPatches(ctx context.Context, c *itest.Cluster, prefix string, n int) uint64 {
	cfg, err := c.Client().Config(ctx)
	Expect(err).NotTo(HaveOccurred())
	v := cfg.Version
	api := c.Client()
	for i := range n {
		got, err := api.Patch(ctx, weightPatch(fmt.Sprint(prefix, i), v, i+1))
		Expect(err).NotTo(HaveOccurred())
		Expect(got.Version).To(Equal(v + 1))
		v = got.Version
	}
	return v
}

// waitForVersion waits until every instance has applied version v or a later one.
func waitForVersion(ctx context.Context, c *itest.Cluster, v uint64) {
	for _, n := range c.Nodes {
		Eventually(func() (uint64, error) {
			st, err := n.Status(ctx)
			return st.ConfigVersion, err
		}, "20s", "20ms").Should(BeNumerically(">=", v), n.Spec.Name)
	}
}

var _ = Describe("accepted changes", func() {
	var c *itest.Cluster

	BeforeEach(func(ctx SpecContext) { c = startCluster(ctx, fiveVoters) })

	It("are kept when every process is killed and restarted after 500 patches", func(ctx SpecContext) {
		v := applyPatches(ctx, c, "p", 500)
		for _, n := range c.Nodes {
			n.Kill()
		}
		Expect(c.Start()).To(Succeed())
		Eventually(c.CheckReady, "20s", "20ms").WithContext(ctx).Should(Succeed())
		waitForVersion(ctx, c, v)
		resent, err := c.Client().Patch(ctx, weightPatch("p3", 4, 4))
		Expect(err).NotTo(HaveOccurred())
		Expect(resent.Version).To(Equal(uint64(5)), "a resent patch must get its original response")
	}, NodeTimeout(90*time.Second))

	It("survive kills of the leader during writes", func(ctx SpecContext) {
		api := c.Client()
		cfg, err := api.Config(ctx)
		Expect(err).NotTo(HaveOccurred())
		v := cfg.Version
		for round := range 3 {
			oldLeader := waitForLeader(ctx, c)
			time.AfterFunc(time.Duration(50+round*37)*time.Millisecond, oldLeader.Kill)
			for i := range 60 {
				got, err := api.Patch(ctx, weightPatch(fmt.Sprint("k", round, "-", i), v, i+1))
				Expect(err).NotTo(HaveOccurred())
				Expect(got.Version).To(Equal(v + 1))
				v = got.Version
			}
			Eventually(oldLeader.Start, "5s").Should(Succeed())
			Eventually(c.CheckReady, "20s", "20ms").WithContext(ctx).Should(Succeed())
		}
		waitForVersion(ctx, c, v)
	}, NodeTimeout(90*time.Second))

	It("are accepted by the majority while the leader is isolated, which refuses requests and later catches up", func(ctx SpecContext) {
		oldLeader := waitForLeader(ctx, c)
		before := applyPatches(ctx, c, "a", 3)
		c.Isolate(oldLeader.Spec.Name)
		_, err := oldLeader.Client.Patch(ctx, weightPatch("lost", before, 77))
		Expect(err).To(HaveOccurred())
		var others []string
		for _, n := range c.Nodes {
			if n != oldLeader {
				others = append(others, n.HTTP)
			}
		}
		majority := client.New(client.Config{Addresses: others})
		Eventually(func() error {
			_, err := majority.Patch(ctx, weightPatch("after", before, 88))
			return err
		}, "10s").Should(Succeed())
		_, err = oldLeader.Client.Config(ctx)
		var e *model.Error
		Expect(errors.As(err, &e)).To(BeTrue(), "an isolated instance must not answer from an outdated view: %v", err)
		c.Heal(oldLeader.Spec.Name)
		Eventually(c.CheckReady, "20s", "20ms").WithContext(ctx).Should(Succeed())
		waitForVersion(ctx, c, before+1)
		got, err := oldLeader.Client.Config(ctx)
		Expect(err).NotTo(HaveOccurred())
		team, _ := got.Team("borrower")
		Expect(team.Weight).To(BeEquivalentTo(88))
	}, NodeTimeout(60*time.Second))

	It("survive a lost disk and the loss of two more instances right after its repair", func(ctx SpecContext) {
		applyPatches(ctx, c, "a", 5)
		lost := c.Node("b1")
		lost.Kill()
		Expect(lost.Wipe()).To(Succeed())
		v := applyPatches(ctx, c, "b", 5)
		Expect(lost.Start()).To(Succeed())
		// The repair is complete when the instance votes under its new identity. Before that, there are also five voters,
		// because the old identity still counts, but one learner as well.
		Eventually(func() (bool, error) {
			st, err := waitForLeader(ctx, c).Status(ctx)
			if err != nil {
				return false, err
			}
			lostStatus, err := lost.Status(ctx)
			voters, learners := 0, 0
			for _, m := range st.Replica.Members {
				if m.Voter {
					voters++
				} else {
					learners++
				}
			}
			return voters == 5 && learners == 0 && lostStatus.Replica.Role == "follower", err
		}, "20s", "50ms").Should(BeTrue())
		Eventually(lost.CheckReady, "10s", "20ms").WithContext(ctx).Should(Succeed())
		waitForLeader(ctx, c).Kill()
		killed := 1
		for _, n := range c.Nodes {
			if _, err := n.Status(ctx); err == nil && n != lost && n.Spec.Control && killed < 2 {
				n.Kill()
				killed++
			}
		}
		// Three of five voters still run, and the repaired one is needed for the majority.
		Eventually(func() error {
			_, err := c.Client().Patch(ctx, weightPatch("c", v, 9))
			return err
		}, "15s").Should(Succeed())
		cfg, err := lost.Client.Config(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(cfg.Version).To(Equal(v + 1))
	}, NodeTimeout(90*time.Second))

	It("are linearizable when eight operators write concurrently and responses are lost", func(ctx SpecContext) {
		checkLinearizable(ctx, c)
	}, NodeTimeout(90*time.Second))
})

// checkLinearizable checks that the history of eight concurrent operators is linearizable. Each operator repeatedly reads
// the configuration version and sends a patch based on it through a proxy that drops some responses; a patch without a
// response is sent once more, to another instance and not through the proxy.
func checkLinearizable(ctx context.Context, c *itest.Cluster) {
	const operators, rounds, seed = 8, 25, 11
	var mu sync.Mutex
	var history []porcupine.Operation
	began := time.Now()
	var wg sync.WaitGroup
	for op := range operators {
		wg.Add(1)
		go func() {
			defer GinkgoRecover()
			defer wg.Done()
			p, err := fault.Listen("127.0.0.1:0", c.Nodes[op%len(c.Nodes)].HTTP)
			Expect(err).NotTo(HaveOccurred())
			defer p.Close()
			rnd := rand.New(rand.NewSource(seed + int64(op)))
			lossy := client.New(client.Config{Addresses: []string{p.Address()}})
			direct := client.New(client.Config{Addresses: []string{c.Nodes[(op+1)%len(c.Nodes)].HTTP}})
			record := func(in modelInput, run func() modelOutput) modelOutput {
				start := time.Since(began)
				out := run()
				end := time.Since(began)
				if out.unknown {
					// The patch may still take effect at any later time.
					end = time.Hour
				}
				mu.Lock()
				defer mu.Unlock()
				history = append(history, porcupine.Operation{ClientId: op, Input: in, Call: start.Nanoseconds(), Output: out, Return: end.Nanoseconds()})
				return out
			}
			for i := range rounds {
				base := record(modelInput{}, func() modelOutput { return readConfig(ctx, direct) })
				if base.unknown {
					continue
				}
				id := fmt.Sprintf("op%d-%d", op, i)
				loseResponse := rnd.Intn(3) == 0
				p.SetRule(fault.Rule{DropBack: loseResponse})
				first := record(modelInput{id, base.version}, func() modelOutput { return sendPatch(ctx, lossy, id, base.version) })
				p.SetRule(fault.Rule{})
				if loseResponse {
					p.Reset()
				}
				if first.unknown {
					record(modelInput{id, base.version}, func() modelOutput { return sendPatch(ctx, direct, id, base.version) })
				}
			}
		}()
	}
	wg.Wait()
	result, _ := porcupine.CheckOperationsVerbose(configModel, settleUnknown(history), 30*time.Second)
	Expect(result).To(Equal(porcupine.Ok))
	accepted := 0
	for _, o := range history {
		if a := o.Output.(modelOutput); o.Input.(modelInput).id != "" && !a.unknown && !a.stale {
			accepted++
		}
	}
	// A history without accepted patches would be trivially linearizable.
	Expect(accepted).To(BeNumerically(">=", rounds))
}

// readConfig reads the current configuration version.
func readConfig(ctx context.Context, api *client.Client) modelOutput {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	cfg, err := api.Config(ctx)
	if err != nil {
		return modelOutput{unknown: true}
	}
	return modelOutput{version: cfg.Version}
}

// sendPatch sends a patch and waits up to 300 ms for the response.
func sendPatch(ctx context.Context, api *client.Client, id string, base uint64) modelOutput {
	ctx, cancel := context.WithTimeout(ctx, 300*time.Millisecond)
	defer cancel()
	got, err := api.Patch(ctx, weightPatch(id, base, int(base)+2))
	var e *model.Error
	switch {
	case err == nil:
		return modelOutput{version: got.Version}
	case errors.As(err, &e) && e.Code == model.CodeStaleVersion:
		return modelOutput{version: e.Version, stale: true}
	default:
		return modelOutput{unknown: true}
	}
}
