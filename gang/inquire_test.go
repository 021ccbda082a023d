package gang_test

import (
	"fmt"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"turmericroute/config"
	"turmericroute/fakes"
	"turmericroute/model"
	"turmericroute/state"
)

// report returns the leader's answer, and retries until there is one.
func (s *cluster) report(q state.Inquiry) state.Report {
	GinkgoHelper()
	var r state.Report
	Eventually(func() (err error) {
		r, err = s.driver.Load().Report(s.ctx, q)
		return err
	}, "3s", "5ms").Should(Succeed())
	return r
}

// overview returns the leader's overview, which may be a cached one.
func (s *cluster) overview() state.Overview {
	GinkgoHelper()
	return *s.report(state.Inquiry{Overview: true}).Overview
}

func (s *cluster) teamStatus(name string) func() state.TeamStatus {
	return func() state.TeamStatus {
		for _, t := range s.overview().Teams {
			if t.Team == name {
				return t
			}
		}
		return state.TeamStatus{}
	}
}

// metricsText returns the metrics in the Prometheus text format.
func (s *cluster) metricsText() string {
	var b strings.Builder
	s.metrics.WritePrometheus(&b)
	return b.String()
}

func gpus(n int) OmegaMatcher { return HaveField("GPUs", n) }

var _ = Describe("leader reports", func() {
	allWorkers := model.Shape{Tasks: 4, GPUs: 8}
	gangShape := model.Shape{Tasks: 2, GPUs: 8, SameRack: true}
	var s *cluster

	BeforeEach(func() {
		s = newCluster()
		s.startWorkers(fakes.WorkerConfig{CheckpointDuration: time.Hour})
	})

	It("show guaranteed, used, borrowed and reclaimable resources", func() {
		s.submit("borrower", "small", allWorkers, 1000, nil)
		Eventually(s.running("borrower"), "3s", "5ms").Should(Equal(4))
		Eventually(s.teamStatus("small"), "3s").Should(And(HaveField("Used", gpus(32)), HaveField("Borrowed", gpus(32))))
		Expect(s.teamStatus("large")()).To(And(HaveField("Guaranteed", gpus(16)), HaveField("Reclaimable", gpus(16)), HaveField("Used", gpus(0))))
		s.submit("owner", "large", gangShape, 1000, nil)
		Eventually(s.running("owner"), "3s", "5ms").Should(Equal(2))
		Eventually(s.teamStatus("large"), "3s").Should(And(
			HaveField("Used", gpus(16)), HaveField("Borrowed", gpus(0)), HaveField("Reclaimable", gpus(0))))
		Eventually(s.teamStatus("small"), "3s").Should(And(HaveField("Used", gpus(0)), HaveField("Waiting", 1)))
		o := s.overview()
		Expect(o.Waiting).To(ConsistOf(And(HaveField("ID", "borrower"), HaveField("Why", ContainSubstring("no place is free")))))
		Expect(o.DataCentres).To(ContainElement(And(HaveField("Usable", 2), HaveField("Tasks", 2), HaveField("Jobs", 1))))
		Eventually(s.metricsText, "3s").Should(And(
			ContainSubstring("turmericroute_reclaim_seconds_count 1\n"), ContainSubstring(`turmericroute_preemptions_total{cause="reclaim"} 1`),
			ContainSubstring(`turmericroute_jobs_waiting_count{team="small"} 1`), ContainSubstring(`turmericroute_jobs_waiting_count{team="large"} 0`),
			MatchRegexp(`turmericroute_worker_lease_age_seconds 0\.\d+`)))
		s.endTerm()
		Eventually(s.metricsText, "3s").Should(And(
			ContainSubstring(`turmericroute_jobs_waiting_count{team="small"} 0`), ContainSubstring("turmericroute_worker_lease_age_seconds 0\n")),
			"only the leader exports values")
	})

	It("list shortages while a data centre is out of service", func() {
		s.patch(config.Change{PutTeam: &config.Team{Name: "large", Guarantees: []config.Guarantee{{Shape: gangShape, Count: 2}}}})
		Eventually(func() []state.Shortage { return s.overview().Shortages }, "3s").Should(BeEmpty())
		s.patch(config.Change{SetDataCentre: &config.DataCentreState{Name: "north", OutOfService: true, Reason: "cooling"}})
		Eventually(func() []state.Shortage { return s.overview().Shortages }, "3s").Should(
			ConsistOf(state.Shortage{Team: "large", Guarantee: 1, Shape: gangShape, Missing: 1}))
		Expect(s.overview().DataCentres).To(ContainElement(And(HaveField("Name", "north"), HaveField("Reason", "cooling"), HaveField("Usable", 0))))
	})

	It("show which jobs put a worker on probation and the ended attempts of a job", func() {
		for name, w := range s.workers {
			w.SetFailAll(name == "north-0")
		}
		for i, want := range []model.JobState{model.JobFailed, model.JobFailed, model.JobWaiting} {
			// The first failure of the third job puts the worker on probation.
			id := fmt.Sprint("j", i)
			s.submit(id, "small", allWorkers, 0.1, nil)
			Eventually(func() []state.EndedAttempt { return s.report(state.Inquiry{Job: id}).Job.EndedAttempts }, "5s").ShouldNot(BeEmpty())
			Eventually(s.state(id), "5s").Should(Equal(want))
		}
		Eventually(func() []state.WorkerProbation { return s.overview().Probation }, "3s").Should(
			ConsistOf(And(HaveField("Worker", "north-0"), HaveField("FailedJobs", HaveLen(3)), HaveField("LeftMS", BeNumerically(">", 0)))))
		r := s.report(state.Inquiry{Job: "j0"}).Job
		Expect(r.Why).To(ContainSubstring("the last of 3 attempts"))
		Expect(r.EndedAttempts).To(HaveLen(3))
		Expect(r.EndedAttempts[0]).To(And(HaveField("FailedOn", "north-0"), HaveField("Message", "worker fails every task"), HaveField("Workers", HaveLen(4))))
	})

	It("show the reservation of a job and the jobs that hold it", func() {
		s.submit("borrower", "small", allWorkers, 1000, nil)
		Eventually(s.running("borrower"), "3s", "5ms").Should(Equal(4))
		s.submit("owner", "large", gangShape, 1000, nil)
		var r *state.JobReport
		Eventually(func() []state.BlockingJob {
			r = s.report(state.Inquiry{Job: "owner"}).Job
			return r.WaitsFor
		}, "3s", "2ms").Should(ConsistOf(And(HaveField("ID", "borrower"), HaveField("Team", "small"), HaveField("Reclaim", "checkpoint"))))
		Expect(r.Reservation).NotTo(BeNil())
		Expect(r.Reservation.Guaranteed).To(BeTrue())
		Expect(r.Reservation.Workers).To(HaveLen(2))
		Expect(s.report(state.Inquiry{Job: "borrower"}).Job.Why).To(ContainSubstring("preempted for job owner"))
	})

	It("forecast the jobs that taking a data centre out of service stops, those that restart and the guarantees that do not fit, without changing anything", func() {
		s.submit("owner", "large", gangShape, 1000, nil)
		s.submit("other", "small", gangShape, 1000, nil)
		Eventually(s.running("owner"), "3s", "5ms").Should(Equal(2))
		Eventually(s.running("other"), "3s", "5ms").Should(Equal(2))
		dc := s.job("owner").Placement.Workers[0][:5]
		next := s.replica.Machine().Config()
		next, err := config.Apply(next, config.Patch{Changes: []config.Change{
			{SetDataCentre: &config.DataCentreState{Name: dc, OutOfService: true}},
			{PutTeam: &config.Team{Name: "small", Guarantees: []config.Guarantee{{Shape: gangShape}}}},
		}})
		Expect(err).NotTo(HaveOccurred())
		f := s.report(state.Inquiry{Plan: &next}).Plan
		Expect(f.Preempted).To(ConsistOf(
			And(HaveField("ID", "owner"), HaveField("Tasks", 2), HaveField("Reason", ContainSubstring("out of service")), HaveField("Restarts", true)),
			And(HaveField("ID", "other"), HaveField("Reason", ContainSubstring("for job owner")), HaveField("Restarts", false)),
		))
		Expect(f.Guarantees).To(ConsistOf(
			And(HaveField("Team", "large"), HaveField("Count", 1), HaveField("Before", 1), HaveField("After", 1)),
			And(HaveField("Team", "small"), HaveField("Count", 1), HaveField("Before", 0), HaveField("After", 0)),
		))
		Expect(s.running("owner")()).To(Equal(2))
		Expect(s.job("owner").Attempt).To(Equal(1))
	})

	It("are refused when the instance is not the leader", func() {
		s.endTerm()
		Eventually(func() model.Code {
			_, err := s.driver.Load().Report(s.ctx, state.Inquiry{Overview: true})
			return model.AsError(err).Code
		}, "3s").Should(Equal(model.CodeNoLeader))
	})
})
