package ctrl_test

import (
	"context"
	"fmt"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"turmericroute/ctrl"
	"turmericroute/model"
	"turmericroute/state"
)

var _ = Describe("silent partition of the leader", func() {
	// Guards against two leaders that answer at the same time, an accepted command
	// that is lost, and a command that was refused as not run but is applied later.
	DescribeTable("ends its leadership and loses no command",
		func(both bool) {
			c := newCluster("a", "b", "c")
			c.addRelays()
			c.role = &slowRole{started: make(chan bool, 1), release: make(chan bool)}
			c.start("a", "b", "c")
			old := c.leader()
			registerWorker(c.nodes[old], 0)
			polled := make(chan error, 1)
			go func() {
				_, err := c.nodes[old].Poll(context.Background(), model.PollRequest{})
				polled <- err
			}()
			Eventually(c.role.started, waitTimeout).Should(Receive())
			By("isolating " + old)
			c.isolate(old, true, both)
			outcomes := executeMany(c.nodes[old], "cut", 10)
			Eventually(c.nodes[old].ViewAge, waitTimeout).Should(BeNumerically(">", model.MaxViewAge))
			Expect(c.nodes[old].Status().Role).NotTo(Equal("leader"))
			rest := &cluster{nodes: map[string]*ctrl.Node{}}
			for name, n := range c.nodes {
				if name != old {
					rest.nodes[name] = n
				}
			}
			registerWorker(rest.nodes[rest.leader()], 1)
			close(c.role.release)
			Eventually(polled, waitTimeout).Should(Receive(HaveOccurred()), "a poll answered after another leader was elected")
			By("healing")
			c.isolate(old, false, both)
			Eventually(c.nodes[old].ViewAge, waitTimeout).Should(BeNumerically("<", time.Second))
			By("healed")
			registerWorker(c.nodes[old], 2)
			for _, n := range c.nodes {
				Expect(n.Barrier(context.Background())).To(Succeed())
				for i := range 3 {
					_, ok := n.Machine().Worker(fmt.Sprintf("worker-%04d", i))
					Expect(ok).To(BeTrue())
				}
				for name, outcome := range outcomes {
					_, ran := n.Machine().Worker(name)
					Expect(ran && outcome == model.OutcomeNotRun).To(BeFalse(), "%s was refused as not run but was applied", name)
					Expect(ran || outcome != model.OutcomeDone).To(BeTrue(), "%s was accepted but is lost", name)
				}
			}
		},
		Entry("in both directions", true),
		Entry("of its outgoing connections", false),
	)
})

// slowRole blocks each poll until released, even if its context ends.
type slowRole struct{ started, release chan bool }

func (r *slowRole) Lead(ctx context.Context, _ uint64, _ state.Replica) { <-ctx.Done() }

func (r *slowRole) Poll(context.Context, model.PollRequest) (model.PollResponse, error) {
	r.started <- true
	<-r.release
	return model.PollResponse{}, nil
}

func (r *slowRole) Admit(*state.Machine, state.Command) *model.Error { return nil }

func (r *slowRole) Report(context.Context, state.Inquiry) (state.Report, error) {
	return state.Report{}, nil
}

func (r *slowRole) Dump() any { return nil }

// executeMany executes count commands concurrently and returns their outcomes by worker name.
func executeMany(n *ctrl.Node, prefix string, count int) map[string]model.Outcome {
	outcomes := map[string]model.Outcome{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i := range count {
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Duration(100*(i+1))*time.Millisecond)
			defer cancel()
			name := fmt.Sprintf("%s-%d", prefix, i)
			_, err := n.Execute(ctx, state.RegisterWorker{Worker: model.Worker{Name: name}})
			mu.Lock()
			defer mu.Unlock()
			outcomes[name] = model.OutcomeDone
			if err != nil {
				outcomes[name] = model.AsError(err).Outcome
			}
		})
	}
	wg.Wait()
	return outcomes
}
