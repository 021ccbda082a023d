package gang_test

import (
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"turmericroute/gang"
	"turmericroute/model"
)

// scriptedWorker polls only as a test says, and reports what the test says.
type scriptedWorker struct {
	s      *cluster
	worker model.Worker
	epoch  uint64
	seq    uint64
	done   uint64
}

// newScriptedWorker registers a worker, whose first report is complete.
func newScriptedWorker(s *cluster, name string) *scriptedWorker {
	w := &scriptedWorker{s: s, worker: model.Worker{Name: name, DataCentre: "north", Rack: "north-r1", Incarnation: "1", Capacity: perWorker}}
	Eventually(func() error {
		w.seq++
		resp, err := s.replica.Poll(s.ctx, model.PollRequest{Worker: w.worker, Seq: w.seq})
		w.epoch = resp.Epoch
		return err
	}, "3s").Should(Succeed())
	w.poll()
	return w
}

// poll reports all tasks and acknowledges the commands of earlier responses.
func (w *scriptedWorker) poll(tasks ...model.TaskReport) []model.Command {
	GinkgoHelper()
	w.seq++
	resp, err := w.s.replica.Poll(w.s.ctx, model.PollRequest{Worker: w.worker, Epoch: w.epoch, Seq: w.seq, Done: w.done, Tasks: tasks})
	Expect(err).NotTo(HaveOccurred())
	return resp.Commands
}

// await polls with the given tasks until there is a command of the kind, and carries it out.
func (w *scriptedWorker) await(kind model.CommandKind, tasks ...model.TaskReport) {
	GinkgoHelper()
	Eventually(func() bool {
		found := false
		for _, c := range w.poll(tasks...) {
			w.done, found = max(w.done, c.Seq), found || c.Kind == kind
		}
		return found
	}, "5s", "5ms").Should(BeTrue())
}

var _ = Describe("reports of one worker", func() {
	// Guards against a job that stays in state stopping for good: the event of an earlier poll was handled after that of a
	// later one, and the leader went on taking a task that had failed as running.
	It("are handled in the order of its polls, whichever event comes first", func() {
		w := gang.NewSession("w")
		id := model.TaskID{Job: "j", Attempt: 1}
		Expect(w.Apply(model.PollRequest{Seq: 1, Tasks: []model.TaskReport{{ID: id, State: model.TaskRunning}}})).To(BeTrue())
		Expect(w.Apply(model.PollRequest{Seq: 2, Tasks: []model.TaskReport{{ID: id, State: model.TaskFailed}}})).To(BeTrue())
		Expect(w.TakeStates()).To(Equal([]model.TaskState{model.TaskRunning, model.TaskFailed}))
		Expect(w.TakeStates()).To(BeEmpty(), "the event of the other poll finds nothing")
	})

	// Guards against a job that stays in state stopping for good: a task that had failed counted as lost once its worker was
	// silent, and the worker did not report it anew afterwards.
	It("still count when it is silent after a task has failed", func() {
		s := newCluster()
		a, b := newScriptedWorker(s, "a"), newScriptedWorker(s, "b")
		s.submit("j", "small", model.Shape{Tasks: 2, GPUs: 8}, 1000, func(j *model.JobSpec) { j.MaxAttempts = 1 })
		task := func(w *scriptedWorker, st model.TaskState) model.TaskReport {
			return model.TaskReport{ID: model.TaskID{Job: "j", Attempt: 1, Index: slices.Index(s.job("j").Placement.Workers, w.worker.Name)}, State: st}
		}
		a.await(model.CommandPrepare)
		b.await(model.CommandPrepare)
		a.poll(task(a, model.TaskPrepared))
		b.await(model.CommandStart, task(b, model.TaskPrepared))
		a.await(model.CommandStart, task(a, model.TaskPrepared))
		b.poll(task(b, model.TaskRunning))
		a.poll(task(a, model.TaskFailed))
		Eventually(s.state("j"), "3s").Should(Equal(model.JobStopping))
		time.Sleep(4500 * time.Millisecond) // both are silent, for less than a lease
		Expect(s.job("j").State).To(Equal(model.JobStopping))
		a.poll(task(a, model.TaskFailed))
		b.poll(task(b, model.TaskStopped))
		Eventually(s.state("j"), "3s").Should(Equal(model.JobFailed))
	})
})
