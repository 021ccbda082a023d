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

// result is how a run of the command line ended.
type result struct {
	Code     int
	Out, Err string
}

// command runs the program against the addresses.
func command(ctx context.Context, addresses []string, args ...string) result {
	GinkgoHelper()
	return commandIn(ctx, []string{"TURMERICROUTE_ADDRESSES=" + strings.Join(addresses, ","), "USER=ana"}, args...)
}

func commandIn(ctx context.Context, env []string, args ...string) result {
	GinkgoHelper()
	cmd := exec.CommandContext(ctx, binary, args...)
	cmd.Env = append([]string{"PATH=" + os.Getenv("PATH")}, env...)
	var out, errOut strings.Builder
	cmd.Stdout, cmd.Stderr = &out, &errOut
	if err := cmd.Run(); err != nil && !errors.As(err, new(*exec.ExitError)) {
		Fail(err.Error())
	}
	return result{Code: cmd.ProcessState.ExitCode(), Out: out.String(), Err: errOut.String()}
}

var _ = Describe("operators look at a deployment", func() {
	var c *itest.Cluster
	var site *itest.Site

	BeforeEach(func(ctx SpecContext) {
		c = start(ctx, five)
		site = populate(ctx, c, 1)
	})

	// status returns the screen as any one instance gives it.
	status := func(ctx context.Context, n *itest.Node) func() string {
		return func() string { return command(ctx, []string{n.HTTP}, "status").Out }
	}

	It("through any one instance, also while parts of it fail", func(ctx SpecContext) {
		entry := c.Node("c2")
		Eventually(status(ctx, entry), "10s").Should(And(
			MatchRegexp(`leader \w\w for \d+s, term \d+\nconfiguration version 1 of `),
			MatchRegexp(`a1 +dc1 +(leader|follower) +voter +0 +1 +\d+ +yes`), MatchRegexp(`c2 +dc3 +entry +- +0 +1 +\d+ +yes`),
			MatchRegexp(`dc1 +2 of 2 +2 +0 +0 +in service`), MatchRegexp(`owner +16/0 +0/0 +0/0 +16/0 +0 +0`),
			ContainSubstring("guarantees: all fit"), ContainSubstring("probation: no worker"), ContainSubstring("waiting: no job"),
			MatchRegexp(`plans +3 +0 +0 +0 +0`),
		))

		submit(ctx, c, "borrower", "borrower", all, 1000)
		Eventually(func() int { return site.Ledger.Running("borrower") }, "10s", "5ms").Should(Equal(6))
		submit(ctx, c, "second", "borrower", all, 1000)
		submit(ctx, c, "owner", "owner", whole, 1000)
		Eventually(status(ctx, entry), "10s").Should(And(
			MatchRegexp(`owner +16/0 +16/0 +0/0 +0/0 +0 +0`), ContainSubstring("2 jobs wait"), MatchRegexp(`second +borrower .* waiting: no place is free`),
		))
		for _, n := range c.Nodes {
			r := command(ctx, []string{n.HTTP}, "job", "explain", "borrower")
			Expect(r.Code).To(Equal(0), r.Err)
			Expect(r.Out).To(And(ContainSubstring("is waiting: waiting: no place is free"),
				MatchRegexp(`1 +\S+ +dc.* preempted for job owner: reclaimed for the guarantee of team owner`)), n.Spec.Name)
		}
		Expect(command(ctx, c.Addresses(), "job", "explain", "nothing").Code).To(Equal(3))

		GinkgoWriter.Println(status(ctx, entry)())
		site.KillWorker("dc2-r1-1")
		patchNow(ctx, c, inService("dc1", false), inService("dc3", false))
		victim := c.Node("b2")
		victim.Kill()
		Eventually(status(ctx, entry), "10s").Should(And(
			MatchRegexp(`b2 +- +- +voter +- +- +- +no answer: cannot reach`), MatchRegexp(`dc1 .*OUT: test`),
			ContainSubstring("SHORT: team owner: 1 of guarantee 1, 2x(8 gpus, 0 cores, 0 MiB) in one rack, fit nowhere now while out of service: dc1 dc3"),
			ContainSubstring("SILENT: 1 workers do not poll: dc2-r1-1"),
		))

		file := filepath.Join(tempDir(), "dump.json")
		r := command(ctx, []string{entry.HTTP}, "dump", "-o", file)
		Expect(r.Code).To(Equal(1))
		Expect(r.Err).To(ContainSubstring("1 of 6 instances gave no dump"))
		Expect(dumped(file)).To(HaveLen(6))
		Expect(victim.Start()).To(Succeed())
		Eventually(c.AllFresh, "20s", "20ms").WithContext(ctx).Should(Succeed())
		Expect(command(ctx, []string{entry.HTTP}, "dump", "-o", file).Code).To(Equal(0))
		for name, d := range dumped(file) {
			Expect(d).To(HaveKey("settings"), name)
			Expect(d["replica"]).To(HaveKeyWithValue("name", name))
		}
	}, NodeTimeout(90*time.Second))

	It("that has lost its majority, and are told so", func(ctx SpecContext) {
		for _, name := range []string{"a1", "a2", "b1"} {
			c.Node(name).Kill()
		}
		entry := c.Node("c2")
		Eventually(func() result { return command(ctx, []string{entry.HTTP}, "status") }, "20s").Should(And(
			HaveField("Code", 3), HaveField("Out", ContainSubstring("no leader answers")),
			HaveField("Out", MatchRegexp(`a1 .*no answer`)), HaveField("Out", MatchRegexp(`c1 +dc3 +\w+ +voter .* no: view of the state is \d+ ms old`)),
			HaveField("Err", ContainSubstring("3 of 6 instances answer; a majority of the voters must run")),
		))
		Expect(command(ctx, []string{entry.HTTP}, "job", "explain", "x").Code).To(Equal(3))
		Expect(command(ctx, []string{c.Node("a1").HTTP}, "status", "-timeout", "5s").Code).To(Equal(5))
	}, NodeTimeout(60*time.Second))
})

// dumped returns the dump of each instance in a collected file.
func dumped(path string) map[string]map[string]any {
	GinkgoHelper()
	b, err := os.ReadFile(path)
	Expect(err).NotTo(HaveOccurred())
	var f struct {
		Instances map[string]struct {
			Dump map[string]any `json:"dump"`
		} `json:"instances"`
	}
	Expect(json.Unmarshal(b, &f)).To(Succeed())
	out := map[string]map[string]any{}
	for name, i := range f.Instances {
		out[name] = i.Dump
	}
	return out
}

var _ = Describe("operators drain a data centre", func() {
	It("and what then happens is what the plan said", func(ctx SpecContext) {
		c := start(ctx, five)
		site := populate(ctx, c, 1)
		patchNow(ctx, c, config.Change{PutTeam: &config.Team{Name: "owner", Guarantees: []config.Guarantee{{Shape: whole, Count: 2}}}})
		ids := []string{"owner-1", "owner-2", "other"}
		submit(ctx, c, ids[0], "owner", whole, 1000)
		submit(ctx, c, ids[1], "owner", whole, 1000)
		submit(ctx, c, ids[2], "borrower", whole, 1000)
		for _, id := range ids {
			Eventually(func() int { return site.Ledger.Running(id) }, "10s", "5ms").Should(Equal(2), id)
		}
		job, err := c.Client().Job(ctx, "owner-1")
		Expect(err).NotTo(HaveOccurred())
		home := job.Placement.Workers[0][:3]

		r := command(ctx, c.Addresses(), "drain", "-plan", "-json", "-reason", "repair", "data-centre", home)
		Expect(r.Code).To(Equal(0), r.Err)
		var plan struct {
			Planned webapi.PlanResult `json:"planned"`
		}
		Expect(json.Unmarshal([]byte(r.Out), &plan)).To(Succeed())
		stopped := map[string]bool{}
		for _, p := range plan.Planned.Forecast.Preempted {
			stopped[p.ID] = p.Restarts
		}
		Expect(stopped).To(Equal(map[string]bool{"owner-1": true, "other": false}))
		Expect(plan.Planned.Forecast.Guarantees).To(ConsistOf(And(HaveField("Count", 2), HaveField("Before", 2), HaveField("After", 2))))
		Expect(plan.Planned.WithoutDataCentre).To(ContainElement(HaveField("Shortages", HaveLen(1))))

		r = command(ctx, c.Addresses(), "drain", "-reason", "repair", "data-centre", home)
		Expect(r.Code).To(Equal(0), r.Err)
		Expect(r.Out).To(ContainSubstring("no task runs on data-centre " + home))
		for _, run := range site.Ledger.Runs() {
			Expect(run.DataCentre == home && run.End.IsZero()).To(BeFalse(), "%+v", run)
		}
		Eventually(func() int { return site.Ledger.Running("owner-1") }, "10s", "5ms").Should(Equal(2))
		attempts := map[string]int{}
		for _, id := range ids {
			j, err := c.Client().Job(ctx, id)
			Expect(err).NotTo(HaveOccurred())
			attempts[id] = j.Attempt
		}
		Expect(attempts).To(Equal(map[string]int{"owner-1": 2, "owner-2": 1, "other": 1}))
		r = command(ctx, c.Addresses(), "undrain", "-reason", "repaired", "data-centre", home)
		Expect(r.Code).To(Equal(0), r.Err)
		for _, n := range c.Nodes {
			st, err := n.Status(ctx)
			Expect(err).NotTo(HaveOccurred())
			Expect(st.ConfigVersion).To(Equal(uint64(4)), n.Spec.Name)
		}
		Eventually(func() int { return site.Ledger.Running("other") }, "10s", "5ms").Should(Equal(2))
	}, NodeTimeout(60*time.Second))
})
