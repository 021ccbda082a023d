package itest_test

import (
	"context"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"turmericroute/config"
	"turmericroute/fakes"
	"turmericroute/itest"
	"turmericroute/model"
)

var workerCapacity = model.Resources{GPUs: 8, Cores: 32, MemoryMB: 65536}

// smallConfig returns a configuration with three data centres of two workers each, a team with a guarantee, a team
// without one, and a service that both may use.
func smallConfig() config.Config {
	cfg := config.Config{
		Teams: []config.Team{
			{Name: "owner", Services: []string{"plans"}, Guarantees: []config.Guarantee{
				{Shape: model.Shape{Tasks: 2, GPUs: 8, SameRack: true}, Count: 1},
			}},
			{Name: "borrower", Services: []string{"plans"}},
		},
		Services: []config.Service{{Name: "plans", Slots: 8, Connections: 64}},
	}
	for _, dc := range []string{"dc1", "dc2", "dc3"} {
		cfg.DataCentres = append(cfg.DataCentres, config.DataCentre{
			Name: dc, Region: "home", Racks: []config.Rack{{Name: dc + "-r1", Workers: 2, PerWorker: workerCapacity}},
		})
	}
	return cfg
}

// fiveVoters specifies five control instances, at most two in a data centre, and one entry without a data folder.
var fiveVoters = []itest.Spec{
	{Name: "a1", DataCentre: "dc1", Control: true, Entry: true},
	{Name: "a2", DataCentre: "dc1", Control: true, Entry: true},
	{Name: "b1", DataCentre: "dc2", Control: true, Entry: true},
	{Name: "b2", DataCentre: "dc2", Control: true, Entry: true},
	{Name: "c1", DataCentre: "dc3", Control: true, Entry: true},
	{Name: "c2", DataCentre: "dc3", Entry: true},
}

// startCluster starts a cluster, waits until it is ready and applies smallConfig.
func startCluster(ctx context.Context, specs []itest.Spec) *itest.Cluster {
	c, err := itest.New(itest.Config{Binary: binary, Dir: tempDir(), Instances: specs, Delay: 1400 * time.Microsecond})
	Expect(err).NotTo(HaveOccurred())
	deferClose(c)
	Expect(c.Start()).To(Succeed())
	Eventually(c.CheckReady, "20s", "20ms").WithContext(ctx).Should(Succeed())
	_, err = c.Client().Patch(ctx, config.Patch{ID: "first", Changes: config.Diff(config.Config{}, smallConfig())})
	Expect(err).NotTo(HaveOccurred())
	return c
}

// startBackends starts the workers and n upstreams in each data centre, and waits until every entry can reach an upstream.
func startBackends(ctx context.Context, c *itest.Cluster, n int) *itest.Backends {
	backends := itest.NewBackends(c.Addresses())
	DeferCleanup(backends.Close)
	cfg := smallConfig()
	backends.AddWorkers(cfg, fakes.WorkerConfig{CheckpointDuration: 50 * time.Millisecond, StepInterval: 20 * time.Millisecond})
	Expect(backends.AddUpstreams(cfg, cfg.Services[0], 3*n, fakes.Behaviour{Delay: 10 * time.Millisecond})).To(Succeed())
	Eventually(func() (int, error) {
		ws, err := c.Client().Workers(ctx)
		return len(ws), err
	}, "10s").Should(Equal(6))
	Eventually(func() (int, error) {
		us, err := c.Client().Upstreams(ctx)
		return len(us), err
	}, "10s").Should(Equal(3 * n))
	for _, node := range c.Nodes {
		Eventually(func() int {
			status, _ := callService(ctx, node.HTTP, "plans", "borrower", "first")
			return status
		}, "10s", "10ms").Should(Equal(200), node.Spec.Name)
	}
	return backends
}

// submitJob submits a job that runs for work seconds; jobs of the team "owner" are urgent.
func submitJob(ctx context.Context, c *itest.Cluster, id, team string, shape model.Shape, work float64) {
	_, err := c.Client().SubmitJob(ctx, model.JobSpec{
		ID: id, Team: team, Shape: shape, Urgent: team == "owner", Payload: fmt.Sprintf(`{"work_seconds": %g}`, work),
	})
	Expect(err).NotTo(HaveOccurred())
}

// applyChanges patches the current configuration and returns the new version.
func applyChanges(ctx context.Context, c *itest.Cluster, changes ...config.Change) uint64 {
	cfg, err := c.Client().Config(ctx)
	Expect(err).NotTo(HaveOccurred())
	got, err := c.Client().Patch(ctx, config.Patch{ID: fmt.Sprint("patch-", cfg.Version), BaseVersion: cfg.Version, Changes: changes})
	Expect(err).NotTo(HaveOccurred())
	return got.Version
}

// serviceChange returns a change that takes a data centre out of service or returns it to service.
func serviceChange(dc string, available bool) config.Change {
	return config.Change{SetDataCentre: &config.DataCentreState{Name: dc, OutOfService: !available, Reason: "test"}}
}

// waitForLeader waits for a leader with an up-to-date view and returns it.
func waitForLeader(ctx context.Context, c *itest.Cluster) *itest.Node {
	var n *itest.Node
	Eventually(func() *itest.Node { n = c.Leader(ctx); return n }, "10s", "10ms").ShouldNot(BeNil())
	return n
}
