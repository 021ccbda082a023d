package itest_test

import (
	"context"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"turmericroute/itest"
	"turmericroute/model"
)

// urgentBound is the stated bound on the start of urgent work.
const urgentBound = 2100 * time.Millisecond

// departureBound is the stated bound after which no task starts in a data centre out of service.
const departureBound = 3 * time.Second

var (
	all   = model.Shape{Tasks: 6, GPUs: 8}
	whole = model.Shape{Tasks: 2, GPUs: 8, SameRack: true}
)

var _ = Describe("gangs while control instances fail", func() {
	var c *itest.Cluster
	var site *itest.Site

	BeforeEach(func(ctx SpecContext) {
		c = start(ctx, five)
		site = populate(ctx, c, 1)
	})
	AfterEach(func() {
		// Two attempts of a job at one time mean a gang that ran twice or in part.
		Expect(site.Ledger.Overlaps()).To(BeEmpty())
	})

	running := func(id string) func() int { return func() int { return site.Ledger.Running(id) } }

	It("starts urgent work in time while the leader is killed during the reclaim", func(ctx SpecContext) {
		for i, after := range []time.Duration{0, 40 * time.Millisecond, 80 * time.Millisecond} {
			borrower, owner := fmt.Sprint("borrower-", i), fmt.Sprint("owner-", i)
			submit(ctx, c, borrower, "borrower", all, 1000)
			Eventually(running(borrower), "10s", "5ms").Should(Equal(6))
			old := leader(ctx, c)
			began := time.Now()
			submit(ctx, c, owner, "owner", whole, 1000)
			time.AfterFunc(after, old.Kill)
			Eventually(running(owner), "10s", "5ms").Should(Equal(2))
			Expect(time.Since(began)).To(BeNumerically("<", urgentBound), "leader killed after %s", after)
			Eventually(func() error { return old.Start() }, "5s").Should(Succeed())
			Eventually(c.AllFresh, "20s", "20ms").WithContext(ctx).Should(Succeed())
			cancelAll(ctx, c, borrower, owner)
		}
	}, NodeTimeout(90*time.Second))

	It("keeps gangs running whole while the leader is cut off silently and comes back", func(ctx SpecContext) {
		submit(ctx, c, "long", "owner", whole, 1000)
		Eventually(running("long"), "10s", "5ms").Should(Equal(2))
		old := leader(ctx, c)
		c.Isolate(old.Spec.Name)
		// Workers still reach the old leader; it must refuse by itself.
		Eventually(func() error { return old.Fresh(ctx) }, "4s", "20ms").ShouldNot(Succeed())
		submit(ctx, c, "second", "borrower", model.Shape{Tasks: 2, GPUs: 8}, 0.5)
		Eventually(func() (model.JobState, error) {
			j, err := c.Client().Job(ctx, "second")
			return j.State, err
		}, "15s").Should(Equal(model.JobDone))
		c.Heal(old.Spec.Name)
		Eventually(c.AllFresh, "20s", "20ms").WithContext(ctx).Should(Succeed())
		Expect(running("long")()).To(Equal(2))
		j, err := old.Client.Job(ctx, "long")
		Expect(err).NotTo(HaveOccurred())
		Expect(j.Attempt).To(Equal(1))
	}, NodeTimeout(60*time.Second))

	It("lets a frozen leader do no harm when it goes on", func(ctx SpecContext) {
		old := leader(ctx, c)
		submit(ctx, c, "long", "borrower", all, 1000)
		old.Freeze()
		Eventually(running("long"), "10s", "5ms").Should(Equal(6))
		submit(ctx, c, "owner", "owner", whole, 1000)
		Eventually(running("owner"), "10s", "5ms").Should(Equal(2))
		old.Resume()
		Eventually(c.AllFresh, "20s", "20ms").WithContext(ctx).Should(Succeed())
		Consistently(running("owner"), "1s", "10ms").Should(Equal(2))
	}, NodeTimeout(60*time.Second))

	It("starts nothing in a data centre out of service, also when the leader dies with the change", func(ctx SpecContext) {
		for i := range 4 {
			submit(ctx, c, fmt.Sprint("small-", i), "borrower", model.Shape{Tasks: 3, GPUs: 2}, 1000)
		}
		submit(ctx, c, "long", "owner", whole, 1000)
		Eventually(running("long"), "10s", "5ms").Should(Equal(2))
		old := leader(ctx, c)
		patchNow(ctx, c, inService("dc1", false))
		out := time.Now()
		old.Kill()
		for i := range 6 {
			submit(ctx, c, fmt.Sprint("late-", i), "borrower", model.Shape{Tasks: 1, GPUs: 1}, 0.2)
		}
		inside := func() int {
			n := 0
			for _, r := range site.Ledger.Runs() {
				if r.DataCentre == "dc1" && r.End.IsZero() {
					n++
				}
			}
			return n
		}
		Eventually(inside, "15s", "20ms").Should(BeZero())
		Consistently(func() int { return len(site.Ledger.StartsIn("dc1", out.Add(departureBound))) }, "2s").Should(BeZero())
		Expect(old.Start()).To(Succeed())
		patchNow(ctx, c, inService("dc1", true))
		submit(ctx, c, "fill", "borrower", model.Shape{Tasks: 6, GPUs: 4}, 1000)
		Eventually(inside, "15s", "20ms").Should(BeNumerically(">", 0))
	}, NodeTimeout(60*time.Second))

	It("goes on without a whole data centre of two voters", func(ctx SpecContext) {
		submit(ctx, c, "long", "owner", whole, 1000)
		Eventually(running("long"), "10s", "5ms").Should(Equal(2))
		home := ""
		for _, r := range site.Ledger.Runs() {
			home = r.DataCentre
		}
		for _, n := range c.Nodes {
			if n.Spec.DataCentre == home {
				n.Kill()
			}
		}
		for name := range site.Workers {
			if name[:3] == home {
				site.KillWorker(name)
			}
		}
		// The lost tasks are fenced by their leases of 10 s before the gang runs again.
		Eventually(func() (int, error) {
			j, err := c.Client().Job(ctx, "long")
			return j.Attempt, err
		}, "30s").Should(Equal(2))
		Eventually(running("long"), "10s").Should(Equal(2))
	}, NodeTimeout(90*time.Second))
})

func cancelAll(ctx context.Context, c *itest.Cluster, ids ...string) {
	for _, id := range ids {
		_, err := c.Client().CancelJob(ctx, id)
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() (model.JobState, error) {
			j, err := c.Client().Job(ctx, id)
			return j.State, err
		}, "20s").Should(Equal(model.JobCancelled))
	}
}
