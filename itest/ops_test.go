package itest_test

import (
	"context"
	"encoding/json"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"turmericroute/config"
	"turmericroute/itest"
	"turmericroute/webapi"
)

// commandResult holds the exit code and the output of a command.
type commandResult struct {
	Code     int
	Out, Err string
}

// runCommand runs the program with the addresses of the instances to call.
func runCommand(ctx context.Context, addresses []string, args ...string) commandResult {
	GinkgoHelper()
	return runCommandEnv(ctx, []string{"TURMERICROUTE_ADDRESSES=" + strings.Join(addresses, ","), "USER=ana"}, args...)
}

// runCommandEnv runs the program with PATH and the given environment variables only.
func runCommandEnv(ctx context.Context, env []string, args ...string) commandResult {
	GinkgoHelper()
	cmd := exec.CommandContext(ctx, binary, args...)
	cmd.Env = append([]string{"PATH=" + os.Getenv("PATH")}, env...)
	var out, errOut strings.Builder
	cmd.Stdout, cmd.Stderr = &out, &errOut
	if err := cmd.Run(); err != nil && !errors.As(err, new(*exec.ExitError)) {
		Fail(err.Error())
	}
	return commandResult{Code: cmd.ProcessState.ExitCode(), Out: out.String(), Err: errOut.String()}
}

var _ = Describe("operators inspect a deployment", func() {
	var c *itest.Cluster
	var backends *itest.Backends

	BeforeEach(func(ctx SpecContext) {
		c = startCluster(ctx, fiveVoters)
		backends = startBackends(ctx, c, 1)
	})

	// status returns a function that returns the output of "status" from one instance.
	status := func(ctx context.Context, n *itest.Node) func() string {
		return func() string { return runCommand(ctx, []string{n.HTTP}, "status").Out }
	}

	It("through any one instance, even when parts of it have failed", func(ctx SpecContext) {
		entry := c.Node("c2")
		Eventually(status(ctx, entry), "10s").Should(And(
			MatchRegexp(`leader \w\w for \d+s, term \d+\nconfiguration version 1 of `),
			MatchRegexp(`a1 +dc1 +(leader|follower) +voter +0 +1 +\d+ +yes`), MatchRegexp(`c2 +dc3 +entry +- +0 +1 +\d+ +yes`),
			MatchRegexp(`dc1 +2 of 2 +2 +0 +0 +in service`), MatchRegexp(`owner +16/0 +0/0 +0/0 +16/0 +0 +0`),
			ContainSubstring("guarantees: all fit"), ContainSubstring("probation: no worker"), ContainSubstring("waiting: no job"),
			MatchRegexp(`plans +3 +0 +0 +0 +0`),
		))

		submitJob(ctx, c, "borrower", "borrower", wholeCluster, 1000)
		Eventually(func() int { return backends.TaskRuns.Running("borrower") }, "10s", "5ms").Should(Equal(6))
		submitJob(ctx, c, "second", "borrower", wholeCluster, 1000)
		submitJob(ctx, c, "owner", "owner", wholeRack, 1000)
		Eventually(status(ctx, entry), "10s").Should(And(
			MatchRegexp(`owner +16/0 +16/0 +0/0 +0/0 +0 +0`), ContainSubstring("2 jobs wait"), MatchRegexp(`second +borrower .* waiting: no place is free`),
		))
		for _, n := range c.Nodes {
			r := runCommand(ctx, []string{n.HTTP}, "job", "explain", "borrower")
			Expect(r.Code).To(Equal(0), r.Err)
			Expect(r.Out).To(And(ContainSubstring("is waiting: waiting: no place is free"),
				MatchRegexp(`1 +\S+ +dc.* preempted for job owner: reclaimed for the guarantee of team owner`)), n.Spec.Name)
		}
		Expect(runCommand(ctx, c.Addresses(), "job", "explain", "nothing").Code).To(Equal(3))

		GinkgoWriter.Println(status(ctx, entry)())
		backends.KillWorker("dc2-r1-1")
		applyChanges(ctx, c, serviceChange("dc1", false), serviceChange("dc3", false))
		victim := c.Node("b2")
		victim.Kill()
		Eventually(status(ctx, entry), "10s").Should(And(
			MatchRegexp(`b2 +- +- +voter +- +- +- +no answer: cannot reach`), MatchRegexp(`dc1 .*OUT: test`),
			ContainSubstring("SHORT: team owner: 1 of guarantee 1, 2x(8 gpus, 0 cores, 0 MiB) in one rack, fit nowhere now while out of service: dc1 dc3"),
			ContainSubstring("SILENT: 1 workers do not poll: dc2-r1-1"),
		))

		file := filepath.Join(tempDir(), "dump.json")
		r := runCommand(ctx, []string{entry.HTTP}, "dump", "-o", file)
		Expect(r.Code).To(Equal(1))
		Expect(r.Err).To(ContainSubstring("1 of 6 instances gave no dump"))
		Expect(readDumps(file)).To(HaveLen(6))
		Expect(victim.Start()).To(Succeed())
		Eventually(c.CheckReady, "20s", "20ms").WithContext(ctx).Should(Succeed())
		Expect(runCommand(ctx, []string{entry.HTTP}, "dump", "-o", file).Code).To(Equal(0))
		for name, d := range readDumps(file) {
			Expect(d).To(HaveKey("settings"), name)
			Expect(d["replica"]).To(HaveKeyWithValue("name", name))
		}
	}, NodeTimeout(90*time.Second))

	It("that has lost its majority, and are told about it", func(ctx SpecContext) {
		for _, name := range []string{"a1", "a2", "b1"} {
			c.Node(name).Kill()
		}
		entry := c.Node("c2")
		Eventually(func() commandResult { return runCommand(ctx, []string{entry.HTTP}, "status") }, "20s").Should(And(
			HaveField("Code", 3), HaveField("Out", ContainSubstring("no leader answers")),
			HaveField("Out", MatchRegexp(`a1 .*no answer`)), HaveField("Out", MatchRegexp(`c1 +dc3 +\w+ +voter .* no: view of the state is \d+ ms old`)),
			HaveField("Err", ContainSubstring("3 of 6 instances answer; a majority of the voters must run")),
		))
		Expect(runCommand(ctx, []string{entry.HTTP}, "job", "explain", "x").Code).To(Equal(3))
		Expect(runCommand(ctx, []string{c.Node("a1").HTTP}, "status", "-timeout", "5s").Code).To(Equal(5))
	}, NodeTimeout(60*time.Second))
})

// readDumps returns the dumps in a file written by "dump", by the name of the instance.
func readDumps(path string) map[string]map[string]any {
	GinkgoHelper()
	b, err := os.ReadFile(path)
	Expect(err).NotTo(HaveOccurred())
	var collected struct {
		Instances map[string]struct {
			Dump map[string]any `json:"dump"`
		} `json:"instances"`
	}
	Expect(json.Unmarshal(b, &collected)).To(Succeed())
	dumps := map[string]map[string]any{}
	for name, i := range collected.Instances {
		dumps[name] = i.Dump
	}
	return dumps
}

var _ = Describe("operators drain a data centre", func() {
	It("and get the effects that the plan predicted", func(ctx SpecContext) {
		c := startCluster(ctx, fiveVoters)
		backends := startBackends(ctx, c, 1)
		applyChanges(ctx, c, config.Change{PutTeam: &config.Team{Name: "owner", Guarantees: []config.Guarantee{{Shape: wholeRack, Count: 2}}}})
		ids := []string{"owner-1", "owner-2", "other"}
		submitJob(ctx, c, ids[0], "owner", wholeRack, 1000)
		submitJob(ctx, c, ids[1], "owner", wholeRack, 1000)
		submitJob(ctx, c, ids[2], "borrower", wholeRack, 1000)
		for _, id := range ids {
			Eventually(func() int { return backends.TaskRuns.Running(id) }, "10s", "5ms").Should(Equal(2), id)
		}
		job, err := c.Client().Job(ctx, "owner-1")
		Expect(err).NotTo(HaveOccurred())
		dc := job.Placement.Workers[0][:3]

		r := runCommand(ctx, c.Addresses(), "drain", "-plan", "-json", "-reason", "repair", "data-centre", dc)
		Expect(r.Code).To(Equal(0), r.Err)
		var plan struct {
			Planned webapi.PlanResult `json:"planned"`
		}
		Expect(json.Unmarshal([]byte(r.Out), &plan)).To(Succeed())
		restarts := map[string]bool{}
		for _, p := range plan.Planned.Forecast.Preempted {
			restarts[p.ID] = p.Restarts
		}
		Expect(restarts).To(Equal(map[string]bool{"owner-1": true, "other": false}))
		Expect(plan.Planned.Forecast.Guarantees).To(ConsistOf(And(HaveField("Count", 2), HaveField("Before", 2), HaveField("After", 2))))
		Expect(plan.Planned.WithoutDataCentre).To(ContainElement(HaveField("Shortages", HaveLen(1))))

		r = runCommand(ctx, c.Addresses(), "drain", "-reason", "repair", "data-centre", dc)
		Expect(r.Code).To(Equal(0), r.Err)
		Expect(r.Out).To(ContainSubstring("no task runs on data-centre " + dc))
		for _, run := range backends.TaskRuns.Runs() {
			Expect(run.DataCentre == dc && run.End.IsZero()).To(BeFalse(), "%+v", run)
		}
		Eventually(func() int { return backends.TaskRuns.Running("owner-1") }, "10s", "5ms").Should(Equal(2))
		attempts := map[string]int{}
		for _, id := range ids {
			j, err := c.Client().Job(ctx, id)
			Expect(err).NotTo(HaveOccurred())
			attempts[id] = j.Attempt
		}
		Expect(attempts).To(Equal(map[string]int{"owner-1": 2, "owner-2": 1, "other": 1}))
		r = runCommand(ctx, c.Addresses(), "undrain", "-reason", "repaired", "data-centre", dc)
		Expect(r.Code).To(Equal(0), r.Err)
		for _, n := range c.Nodes {
			st, err := n.Status(ctx)
			Expect(err).NotTo(HaveOccurred())
			Expect(st.ConfigVersion).To(Equal(uint64(4)), n.Spec.Name)
		}
		Eventually(func() int { return backends.TaskRuns.Running("other") }, "10s", "5ms").Should(Equal(2))
	}, NodeTimeout(60*time.Second))
})
