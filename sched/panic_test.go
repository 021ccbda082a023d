package sched_test

import (
	"slices"

	"github.com/go-kit/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"turmericroute/batch"
	"turmericroute/model"
	"turmericroute/sched"
)

var _ = Describe("a call that panics", func() {
	// Guards against one unexpected message ending the process, and against going on with what it has left half done.
	It("ends alone, and scheduling goes on without its sender", func() {
		f := newFixture(func(cfg *sched.Config) {
			next := cfg.Logger
			cfg.Logger = log.LoggerFunc(func(keyvals ...any) error {
				if slices.Contains(keyvals, any("worker_draining")) && slices.Contains(keyvals, any("w1")) {
					panic("unexpected")
				}
				return next.Log(keyvals...)
			})
		})
		f.addWorkers("r1", "dc1", "w1", "w2")
		f.submit("normal", "before", batch.Step{Count: 1, Need: gpus(8)})
		f.awaitRunning("before", 1)
		poison := f.workers["w1"].hb
		poison.Seq, poison.Draining = poison.Seq+1, true
		send := func() *model.Error { return model.AsError(f.call(sched.Call{Heartbeat: &poison}).err) }
		Expect(send()).To(And(HaveField("Code", model.CodeInternal), HaveField("Outcome", model.OutcomeUnknown)))
		Eventually(func() error { return f.call(sched.Call{Ping: true}).err }).Should(Succeed(), "scheduling starts anew")
		poison.Seq++
		Expect(send()).To(And(HaveField("Code", model.CodeInternal), HaveField("Outcome", model.OutcomeNotRun)))
		delete(f.workers, "w1")
		f.submit("normal", "after", batch.Step{Count: 1, Need: gpus(1)})
		f.addWorkers("r1", "dc1", "w3")
		f.awaitRunning("after", 1)
	})
})
