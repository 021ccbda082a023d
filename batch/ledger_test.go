package batch_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"turmericroute/batch"
	"turmericroute/model"
)

func accept(l *batch.Ledger, id string, steps ...batch.Step) batch.Result {
	return l.Apply(batch.Change{AtMS: 1000, Accept: &batch.Accept{ID: id, Queue: "q", Service: "s", MaxFailures: 2, Spec: batch.Spec{Text: "t", Steps: steps}}})
}

func task(id string, step, index int) batch.TaskID {
	return batch.TaskID{Job: id, Step: step, Index: index}
}

func start(l *batch.Ledger, worker string, run int, tasks ...batch.TaskID) {
	var list []batch.Start
	for _, t := range tasks {
		list = append(list, batch.Start{Task: t, Run: run, Worker: worker, Incarnation: 1})
	}
	l.Apply(batch.Change{Starts: list})
}

func end(l *batch.Ledger, reason batch.EndReason, run int, t batch.TaskID) {
	l.Apply(batch.Change{AtMS: 2000, Ends: []batch.End{{Task: t, Run: run, Reason: reason}}})
}

func state(l *batch.Ledger, id string) (s batch.JobState) {
	l.View(func(b *batch.State) { s = b.Jobs[id].State })
	return s
}

func active(l *batch.Ledger, worker string) (n int) {
	l.View(func(b *batch.State) { n = len(b.Runs[worker]) })
	return n
}

var _ = Describe("the ledger", func() {
	It("accepts a job once however often it is submitted", func() {
		l := batch.NewLedger()
		Expect(accept(l, "j", batch.Step{Count: 1}).Duplicate).To(BeFalse())
		Expect(accept(l, "j", batch.Step{Count: 7}).Duplicate).To(BeTrue())
		l.View(func(b *batch.State) { Expect(b.Jobs["j"].Spec.Steps[0].Count).To(Equal(1)) })
	})

	// Guards against active runs of a job that is gone: the orders for their worker look the job up.
	It("purges a job only when none of its runs is active", func() {
		l := batch.NewLedger()
		accept(l, "j", batch.Step{Count: 1})
		start(l, "w", 1, task("j", 0, 0))
		l.Apply(batch.Change{AtMS: 2000, Cancel: &batch.Cancel{ID: "j"}})
		l.Apply(batch.Change{Purge: []string{"j"}})
		Expect(state(l, "j")).To(Equal(batch.JobCancelled))
		end(l, batch.EndStopped, 1, task("j", 0, 0))
		l.Apply(batch.Change{Purge: []string{"j"}})
		l.View(func(b *batch.State) { Expect(b.Jobs).To(BeEmpty()) })
	})

	It("starts no run of a step before the steps that it depends on are complete", func() {
		l := batch.NewLedger()
		accept(l, "j", batch.Step{Count: 1}, batch.Step{Count: 1, After: []int{0}})
		start(l, "w", 1, task("j", 1, 0))
		Expect(active(l, "w")).To(BeZero())
		start(l, "w", 1, task("j", 0, 0))
		end(l, batch.EndDone, 1, task("j", 0, 0))
		start(l, "w", 1, task("j", 1, 0))
		Expect(active(l, "w")).To(Equal(1))
		end(l, batch.EndDone, 1, task("j", 1, 0))
		Expect(state(l, "j")).To(Equal(batch.JobSucceeded))
	})

	It("starts the runs of a gang together or not at all", func() {
		l := batch.NewLedger()
		accept(l, "j", batch.Step{Count: 2, Gang: true})
		start(l, "w", 1, task("j", 0, 0))
		end(l, batch.EndStopped, 1, task("j", 0, 0))
		start(l, "w", 1, task("j", 0, 0), task("j", 0, 1)) // the first task has already used run 1
		Expect(active(l, "w")).To(BeZero())
		start(l, "w", 2, task("j", 0, 0), task("j", 0, 1))
		Expect(active(l, "w")).To(Equal(2))
	})

	It("completes a gang when one member is done, and keeps the runs of the others active until they end", func() {
		l := batch.NewLedger()
		accept(l, "j", batch.Step{Count: 2, Gang: true})
		start(l, "w", 1, task("j", 0, 0), task("j", 0, 1))
		end(l, batch.EndDone, 1, task("j", 0, 0))
		Expect(state(l, "j")).To(Equal(batch.JobSucceeded))
		Expect(active(l, "w")).To(Equal(1))
		end(l, batch.EndDone, 1, task("j", 0, 1))
		Expect(active(l, "w")).To(BeZero())
	})

	It("counts only failures towards MaxFailures, and those of a gang once per run", func() {
		l := batch.NewLedger()
		accept(l, "j", batch.Step{Count: 2, Gang: true})
		for run := 1; run <= 2; run++ {
			start(l, "w", run, task("j", 0, 0), task("j", 0, 1))
			end(l, batch.EndFailed, run, task("j", 0, 0))
			if run == 1 {
				end(l, batch.EndFailed, run, task("j", 0, 1))
			} else {
				end(l, batch.EndGangBroken, run, task("j", 0, 1))
			}
			if run == 1 {
				Expect(state(l, "j")).To(Equal(batch.JobOpen))
			}
		}
		Expect(state(l, "j")).To(Equal(batch.JobFailed))
	})

	It("starts no run of a cancelled job or of a task that is done", func() {
		l := batch.NewLedger()
		accept(l, "j", batch.Step{Count: 2})
		start(l, "w", 1, task("j", 0, 0))
		end(l, batch.EndDone, 1, task("j", 0, 0))
		start(l, "w", 2, task("j", 0, 0))
		Expect(active(l, "w")).To(BeZero())
		l.Apply(batch.Change{Cancel: &batch.Cancel{ID: "j"}})
		start(l, "w", 1, task("j", 0, 1))
		Expect(active(l, "w")).To(BeZero())
		Expect(state(l, "j")).To(Equal(batch.JobCancelled))
	})

	It("accepts a late end as done of a run that was recorded as lost and not replaced", func() {
		l := batch.NewLedger()
		accept(l, "j", batch.Step{Count: 1})
		start(l, "w", 1, task("j", 0, 0))
		end(l, batch.EndLost, 1, task("j", 0, 0))
		end(l, batch.EndDone, 1, task("j", 0, 0))
		Expect(state(l, "j")).To(Equal(batch.JobSucceeded))
	})

	// Guards against ending the wrong run: the loss of a worker's runs was decided before the worker reported again, and
	// recorded after it had got a new run of the same task.
	It("ignores the end of a run that has been replaced", func() {
		l := batch.NewLedger()
		accept(l, "j", batch.Step{Count: 1})
		start(l, "w", 1, task("j", 0, 0))
		end(l, batch.EndLost, 1, task("j", 0, 0))
		start(l, "w", 2, task("j", 0, 0))
		end(l, batch.EndLost, 1, task("j", 0, 0))
		Expect(active(l, "w")).To(Equal(1))
	})

	It("restarts lasting tasks however they end and never completes them", func() {
		l := batch.NewLedger()
		accept(l, "j", batch.Step{Count: 1, LongRunning: true})
		for run := 1; run < 6; run++ {
			start(l, "w", run, task("j", 0, 0))
			Expect(active(l, "w")).To(Equal(1))
			end(l, batch.EndFailed, run, task("j", 0, 0))
		}
		Expect(state(l, "j")).To(Equal(batch.JobOpen))
	})

	It("keeps the catalog with the highest version", func() {
		l := batch.NewLedger()
		for _, v := range []uint64{3, 7, 5} {
			l.Apply(batch.Change{Catalog: &batch.Catalog{Version: v}})
		}
		l.View(func(b *batch.State) { Expect(b.Catalog.Version).To(Equal(uint64(7))) })
	})

	It("is the same after a snapshot, and never has two active runs of a task or a run of a task that is done", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			l := batch.NewLedger()
			gang := rapid.Bool().Draw(t, "gang")
			accept(l, "j", batch.Step{Count: 3, Gang: gang}, batch.Step{Count: 2, After: []int{0}})
			done := map[batch.TaskID]bool{}
			reasons := []batch.EndReason{batch.EndDone, batch.EndFailed, batch.EndStopped, batch.EndLost, batch.EndGangBroken, batch.EndNeverStarted}
			for range rapid.IntRange(1, 40).Draw(t, "changes") {
				id := task("j", rapid.IntRange(0, 1).Draw(t, "step"), rapid.IntRange(0, 2).Draw(t, "index"))
				run := rapid.IntRange(1, 4).Draw(t, "run")
				before := runs(l)
				if rapid.Bool().Draw(t, "start") {
					start(l, fmt.Sprint("w", rapid.IntRange(0, 2).Draw(t, "worker")), run, id)
				} else {
					reason := rapid.SampledFrom(reasons).Draw(t, "how")
					end(l, reason, run, id)
					if reason == batch.EndDone && before[id] == run {
						done[id] = true
					}
				}
				for id, run := range runs(l) {
					if done[id] && before[id] != run {
						t.Fatalf("%s has run %d after it was done", id, run)
					}
					if old, ok := before[id]; ok && old != run {
						t.Fatalf("%s has runs %d and %d at once", id, run, old)
					}
				}
				data, err := l.EncodeSnapshot()
				if err != nil {
					t.Fatal(err)
				}
				copied := batch.NewLedger()
				if err := copied.Restore(data); err != nil {
					t.Fatal(err)
				}
				again, err := copied.EncodeSnapshot()
				if err != nil || string(again) != string(data) || fmt.Sprint(runs(copied)) != fmt.Sprint(runs(l)) {
					t.Fatalf("snapshot differs: %s and %s, %v", data, again, err)
				}
			}
		})
	})
})

// runs returns the number of each task's active run; it panics if the index of a worker differs from the tasks.
func runs(l *batch.Ledger) map[batch.TaskID]int {
	out := map[batch.TaskID]int{}
	l.View(func(b *batch.State) {
		for worker, list := range b.Runs {
			for id, run := range list {
				if t := b.Jobs[id.Job].Task(id); !t.Active || t.Worker != worker || t.Run != run {
					panic(fmt.Sprintf("index of worker %s has a wrong run: %s run %d", worker, id, run))
				}
				out[id] = run
			}
		}
	})
	return out
}

var _ = DescribeTable("invalid specifications are refused with all faults",
	func(s batch.Spec, faults int) {
		err := s.Validate()
		Expect(err).To(HaveOccurred())
		Expect(model.AsError(err).Faults).To(HaveLen(faults))
	},
	Entry("no steps", batch.Spec{}, 1),
	Entry("a step that depends on itself and has no tasks", batch.Spec{Steps: []batch.Step{{After: []int{0}}}}, 2),
	Entry("too many tasks over all rounds", batch.Spec{Rounds: 3, Steps: []batch.Step{{Count: batch.MaxTasks / 2}}}, 1),
	Entry("a huge count does not overflow", batch.Spec{Rounds: 1 << 40, Steps: []batch.Step{{Count: 1 << 40}}}, 1),
)

var _ = Describe("a catalog", func() {
	base := batch.Catalog{
		Version: 1, Services: []batch.Service{{Name: "s"}},
		Queues: []batch.Queue{{Name: "a", Host: "h", Prefix: "/x/", Service: "s"}, {Name: "b", Host: "h", Prefix: "/x/y/", Service: "s"}},
		Teams:  []batch.Team{{Name: "t", Keys: []string{"k"}}},
	}

	It("finds the queue with the longest prefix", func() {
		q, ok := base.QueueAt("h", "/x/y/z")
		Expect(ok).To(BeTrue())
		Expect(q.Name).To(Equal("b"))
		_, ok = base.QueueAt("other", "/x/y/z")
		Expect(ok).To(BeFalse())
	})

	It("is refused with all faults: unknown service, same address, shared key", func() {
		c := base
		c.Queues = append(c.Queues[:2:2], batch.Queue{Name: "c", Host: "h", Prefix: "/x/", Service: "none"})
		c.Teams = append(c.Teams[:1:1], batch.Team{Name: "u", Keys: []string{"k"}})
		Expect(model.AsError(c.Validate()).Faults).To(HaveLen(3))
		Expect(base.Validate()).To(Succeed())
	})
})
