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

// urgentStartBound is the required maximum time from the submission of an urgent job to the start of all its tasks.
const urgentStartBound = 2100 * time.Millisecond

// removalBound is the required maximum time after which a data centre taken out of service starts no task, and
// upstreams that left or are out of service receive no request.
const removalBound = 3 * time.Second

// wholeCluster and wholeRack need all workers of smallConfig and all workers of one of its racks.
var (
	wholeCluster = model.Shape{Tasks: 6, GPUs: 8}
	wholeRack    = model.Shape{Tasks: 2, GPUs: 8, SameRack: true}
)

var _ = Describe("gangs while control instances fail", func() {
	var c *itest.Cluster
	var backends *itest.Backends

	BeforeEach(func(ctx SpecContext) {
		c = startCluster(ctx, fiveVoters)
		backends = startBackends(ctx, c, 1)
	})
	AfterEach(func() {
		// Overlapping attempts of a job mean that a gang ran twice or that its tasks belonged to different attempts.
		Expect(backends.TaskRuns.Overlaps()).To(BeEmpty())
	})

	runningTasks := func(id string) func() int { return func() int { return backends.TaskRuns.Running(id) } }

	It("starts urgent jobs within the bound when the leader is killed while workers are reclaimed", func(ctx SpecContext) {
		for i, after := range []time.Duration{0, 40 * time.Millisecond, 80 * time.Millisecond} {
			borrower, owner := fmt.Sprint("borrower-", i), fmt.Sprint("owner-", i)
			submitJob(ctx, c, borrower, "borrower", wholeCluster, 1000)
			Eventually(runningTasks(borrower), "10s", "5ms").Should(Equal(6))
			oldLeader := waitForLeader(ctx, c)
			began := time.Now()
			submitJob(ctx, c, owner, "owner", wholeRack, 1000)
			time.AfterFunc(after, oldLeader.Kill)
			Eventually(runningTasks(owner), "10s", "5ms").Should(Equal(2))
			Expect(time.Since(began)).To(BeNumerically("<", urgentStartBound), "leader killed after %s", after)
			Eventually(func() error { return oldLeader.Start() }, "5s").Should(Succeed())
			Eventually(c.CheckReady, "20s", "20ms").WithContext(ctx).Should(Succeed())
			cancelJobs(ctx, c, borrower, owner)
		}
	}, NodeTimeout(90*time.Second))

	It("keeps all tasks of a gang running while the leader is isolated and after it reconnects", func(ctx SpecContext) {
		submitJob(ctx, c, "long", "owner", wholeRack, 1000)
		Eventually(runningTasks("long"), "10s", "5ms").Should(Equal(2))
		oldLeader := waitForLeader(ctx, c)
		c.Isolate(oldLeader.Spec.Name)
		// Workers still reach the old leader, which must stop serving without contact to the others.
		Eventually(func() error { return oldLeader.CheckReady(ctx) }, "4s", "20ms").ShouldNot(Succeed())
		submitJob(ctx, c, "second", "borrower", model.Shape{Tasks: 2, GPUs: 8}, 0.5)
		Eventually(func() (model.JobState, error) {
			j, err := c.Client().Job(ctx, "second")
			return j.State, err
		}, "15s").Should(Equal(model.JobDone))
		c.Heal(oldLeader.Spec.Name)
		Eventually(c.CheckReady, "20s", "20ms").WithContext(ctx).Should(Succeed())
		Expect(runningTasks("long")()).To(Equal(2))
		j, err := oldLeader.Client.Job(ctx, "long")
		Expect(err).NotTo(HaveOccurred())
		Expect(j.Attempt).To(Equal(1))
	}, NodeTimeout(60*time.Second))

	It("stops no running task when a suspended leader resumes", func(ctx SpecContext) {
		oldLeader := waitForLeader(ctx, c)
		submitJob(ctx, c, "long", "borrower", wholeCluster, 1000)
		oldLeader.Suspend()
		Eventually(runningTasks("long"), "10s", "5ms").Should(Equal(6))
		submitJob(ctx, c, "owner", "owner", wholeRack, 1000)
		Eventually(runningTasks("owner"), "10s", "5ms").Should(Equal(2))
		oldLeader.Resume()
		Eventually(c.CheckReady, "20s", "20ms").WithContext(ctx).Should(Succeed())
		Consistently(runningTasks("owner"), "1s", "10ms").Should(Equal(2))
	}, NodeTimeout(60*time.Second))

	It("starts no task in a data centre out of service, even if the leader is killed right after the change", func(ctx SpecContext) {
		for i := range 4 {
			submitJob(ctx, c, fmt.Sprint("small-", i), "borrower", model.Shape{Tasks: 3, GPUs: 2}, 1000)
		}
		submitJob(ctx, c, "long", "owner", wholeRack, 1000)
		Eventually(runningTasks("long"), "10s", "5ms").Should(Equal(2))
		oldLeader := waitForLeader(ctx, c)
		applyChanges(ctx, c, serviceChange("dc1", false))
		removedAt := time.Now()
		oldLeader.Kill()
		for i := range 6 {
			submitJob(ctx, c, fmt.Sprint("late-", i), "borrower", model.Shape{Tasks: 1, GPUs: 1}, 0.2)
		}
		runningInDC1 := func() int {
			n := 0
			for _, r := range backends.TaskRuns.Runs() {
				if r.DataCentre == "dc1" && r.End.IsZero() {
					n++
				}
			}
			return n
		}
		Eventually(runningInDC1, "15s", "20ms").Should(BeZero())
		Consistently(func() int { return len(backends.TaskRuns.StartsIn("dc1", removedAt.Add(removalBound))) }, "2s").Should(BeZero())
		Expect(oldLeader.Start()).To(Succeed())
		applyChanges(ctx, c, serviceChange("dc1", true))
		submitJob(ctx, c, "fill", "borrower", model.Shape{Tasks: 6, GPUs: 4}, 1000)
		Eventually(runningInDC1, "15s", "20ms").Should(BeNumerically(">", 0))
	}, NodeTimeout(60*time.Second))

	It("reruns a gang after the loss of its data centre, including up to two voters", func(ctx SpecContext) {
		submitJob(ctx, c, "long", "owner", wholeRack, 1000)
		Eventually(runningTasks("long"), "10s", "5ms").Should(Equal(2))
		dc := ""
		for _, r := range backends.TaskRuns.Runs() {
			dc = r.DataCentre
		}
		for _, n := range c.Nodes {
			if n.Spec.DataCentre == dc {
				n.Kill()
			}
		}
		for name := range backends.Workers {
			if name[:3] == dc {
				backends.KillWorker(name)
			}
		}
		// The gang runs again only after the leases of the lost tasks, 10 s long, have expired.
		Eventually(func() (int, error) {
			j, err := c.Client().Job(ctx, "long")
			return j.Attempt, err
		}, "30s").Should(Equal(2))
		Eventually(runningTasks("long"), "10s").Should(Equal(2))
	}, NodeTimeout(90*time.Second))
})

// cancelJobs cancels jobs one by one and waits until each is cancelled.
func cancelJobs(ctx context.Context, c *itest.Cluster, ids ...string) {
	for _, id := range ids {
		_, err := c.Client().CancelJob(ctx, id)
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() (model.JobState, error) {
			j, err := c.Client().Job(ctx, id)
			return j.State, err
		}, "20s").Should(Equal(model.JobCancelled))
	}
}
