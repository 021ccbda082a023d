package gang_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"turmericroute/gang"
	"turmericroute/model"
)

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
})
