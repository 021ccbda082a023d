package main_test

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"turmericroute/model"
	"turmericroute/state"
)

var _ = Describe("plans", func() {
	var r *runner
	var running string

	BeforeEach(func() {
		r = newRunner()
		r.ok("config", "apply", "-f", example)
		running = r.ok("config", "get")
	})

	change := func(from, to string) string {
		GinkgoHelper()
		Expect(running).To(ContainSubstring(from))
		return tempFile("c.yaml", strings.Replace(running, from, to, 1))
	}

	It("are applied unchanged and once, and a second plan for the same version is refused with the intervening changes", func() {
		dir := GinkgoT().TempDir()
		first, second := filepath.Join(dir, "first.json"), filepath.Join(dir, "second.json")
		r.ok("config", "plan", "-f", change("max_requests: 200", "max_requests: 201"), "-reason", "more for tejados", "-o", first)
		r.ok("config", "plan", "-f", change("max_requests: 160", "max_requests: 161"), "-o", second)
		Expect(r.ok("config", "apply", "-plan", first)).To(ContainSubstring("is version 2"))
		Expect(r.ok("config", "apply", "-plan", first)).To(ContainSubstring("is version 2"))
		res := r.run("config", "apply", "-plan", second)
		Expect(res.code).To(Equal(3))
		Expect(res.err).To(MatchRegexp(`changed meanwhile: version 2 at \S+ by ana, more for tejados: put team tejados`))
		Expect(res.err).To(ContainSubstring("config diff 1 2"))
		Expect(r.replica.Machine().Config().Version).To(Equal(uint64(2)))
		Expect(r.run("config", "apply", "-plan", second, "-f", example).code).To(Equal(2))
		Expect(r.run("config", "apply", "-plan", example).code).To(Equal(2))
	})

	It("list the jobs that would be stopped and the guarantees that would be short", func() {
		r.setReport(state.Report{Plan: &state.Forecast{Preempted: []state.AffectedJob{
			{ID: "bend-1", Team: "patina", Tasks: 4, Reason: "data centre norte is out of service", Restarts: true},
		}}})
		plan := r.ok("drain", "-plan", "-reason", "cooling", "data-centre", "norte")
		Expect(plan).To(MatchRegexp(`bend-1 +patina +4 +restarts elsewhere +data centre norte is out of service`))
		Expect(r.ok("config", "plan", "-f", change("max_requests: 200", "max_requests: 201"))).NotTo(ContainSubstring("without norte: SHORT"))
		Expect(r.replica.Machine().Config().Version).To(Equal(uint64(1)))
	})

	It("are refused without a leader, and no file is written", func() {
		r.report.Store(nil)
		file := filepath.Join(GinkgoT().TempDir(), "plan.json")
		Expect(r.run("config", "plan", "-f", change("max_requests: 200", "max_requests: 201"), "-o", file).code).To(Equal(3))
		Expect(file).NotTo(BeAnExistingFile())
	})
})

var _ = Describe("versions in the history", func() {
	It("are compared with each other, with files and with the one in force", func() {
		r := newRunner()
		r.ok("config", "apply", "-f", example)
		changed := tempFile("c.yaml", strings.Replace(r.ok("config", "get"), "max_requests: 200", "max_requests: 201", 1))
		r.ok("config", "apply", "-f", changed)
		want := "-    max_requests: 200\n+    max_requests: 201\n"
		Expect(r.ok("config", "diff", "1", "2")).To(Equal(want))
		Expect(r.ok("config", "diff", "1")).To(Equal(want))
		Expect(r.ok("config", "diff", "1", changed)).To(Equal(want))
		Expect(r.ok("config", "diff", "-f", changed, "1")).To(Equal(want))
		Expect(r.ok("config", "diff", example, "running")).To(Equal(want))
		Expect(r.ok("config", "diff", "2", changed)).To(BeEmpty())
		Expect(r.ok("config", "get", "-version", "1")).To(ContainSubstring("max_requests: 200"))
		Expect(r.run("config", "diff", "1", "7").code).To(Equal(3))
		Expect(r.run("config", "diff").code).To(Equal(2))
		Expect(r.run("config", "diff", "-f", changed, "1", "2").code).To(Equal(2))
	})

	It("are applied without changes after 'config get' while a data centre and a worker are out of service", func() {
		r := newRunner()
		r.ok("config", "apply", "-f", example)
		r.ok("drain", "-reason", "cooling repair", "data-centre", "norte")
		r.ok("drain", "-reason", "bad: memory # 3", "worker", "sur-r1-2")
		file := tempFile("running.yaml", r.ok("config", "get"))
		for _, args := range [][]string{{"config", "apply", "-f", file}, {"config", "apply", "-restore", "-f", file}} {
			Expect(r.ok(args...)).To(ContainSubstring("no changes needed: version 3"))
		}
	})
})

var _ = Describe("a drain", func() {
	var r *runner

	place := func(id string, workers ...string) {
		GinkgoHelper()
		ctx := context.Background()
		spec := model.JobSpec{ID: id, Team: "patina", Shape: model.Shape{Tasks: len(workers), GPUs: 1}}
		for _, c := range []state.Command{state.SubmitJob{Spec: spec}, state.PlaceJob{ID: id, Attempt: 1, Placement: model.Placement{Workers: workers}}} {
			res, err := r.replica.Execute(ctx, c)
			Expect(err).NotTo(HaveOccurred())
			Expect(res.Failure).To(BeNil())
		}
	}

	BeforeEach(func() {
		r = newRunner()
		r.ok("config", "apply", "-f", example)
		_, err := r.replica.Execute(context.Background(), state.RegisterWorker{Worker: model.Worker{Name: "w1", DataCentre: "norte"}})
		Expect(err).NotTo(HaveOccurred())
	})

	It("shows progress until no task is left, and resumes the wait when repeated", func() {
		place("j1", "w1", "w1")
		res := r.run("drain", "-reason", "cooling repair", "-timeout", "2s", "data-centre", "norte")
		Expect(res.code).To(Equal(6), res.err)
		Expect(res.out).To(ContainSubstring("is version 2"))
		Expect(res.err).To(MatchRegexp(`(?s)0s: 2 tasks of 1 jobs on data-centre norte, such as j1\n.*version 2 is accepted, but the change did not complete in time: 2 tasks`))
		_, err := r.replica.Execute(context.Background(), state.MoveJob{ID: "j1", Attempt: 1, From: []model.JobState{model.JobPreparing}, To: model.JobWaiting})
		Expect(err).NotTo(HaveOccurred())
		out := r.ok("drain", "-reason", "cooling repair", "data-centre", "norte")
		Expect(out).To(Equal("no changes needed: version 2 stays in force\nno task runs on data-centre norte\n"))
		r.ok("undrain", "-reason", "cooling repaired", "data-centre", "norte")
		history := r.ok("config", "history")
		Expect(history).To(MatchRegexp(`2 .* cooling repair +take data centre norte out of service`))
		Expect(history).To(MatchRegexp(`3 .* cooling repaired +return data centre norte to service`))
	})

	It("waits for a worker, or not at all with -wait=false", func() {
		place("j1", "w1")
		Expect(r.run("drain", "-reason", "x", "-timeout", "1s", "worker", "w1").code).To(Equal(6))
		Expect(r.ok("drain", "-reason", "x", "-wait=false", "-json", "worker", "w1")).To(ContainSubstring(`"complete": false`))
		Expect(r.ok("drain", "-reason", "x", "-json", "worker", "w2")).To(ContainSubstring(`"complete": true`))
	})
})

var _ = It("dump -o creates a file that only its owner can read", func() {
	r := newRunner()
	file := filepath.Join(GinkgoT().TempDir(), "dump.json")
	res := r.run("dump", "-o", file)
	Expect(res.code).To(Equal(1), "the fake instance has no dump")
	info, err := os.Stat(file)
	Expect(err).NotTo(HaveOccurred())
	Expect(info.Mode().Perm()).To(Equal(os.FileMode(0o600)))
})

var _ = It("status -wait waits until there is a leader and no learner", func() {
	r := newRunner()
	r.report.Store(nil)
	members := func(voter bool) state.Report {
		return state.Report{Overview: &state.Overview{Leader: state.ReplicaStatus{Name: "fake", Members: []state.MemberStatus{{Name: "fake", Voter: voter}}}}}
	}
	res := r.run("status", "-wait", "-timeout", "1s")
	Expect(res.code).To(Equal(6))
	Expect(res.err).To(ContainSubstring("waiting: no leader answers"))
	r.setReport(members(false))
	res = r.run("status", "-wait", "-timeout", "2s")
	Expect(res.code).To(Equal(6))
	Expect(res.err).To(ContainSubstring("fake is a learner"))
	time.AfterFunc(time.Second, func() { r.setReport(members(true)) })
	Expect(r.ok("status", "-wait")).To(ContainSubstring("leader fake"))
})
