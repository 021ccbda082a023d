package ctrl_test

import (
	"context"
	"fmt"
	"maps"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"turmericroute/ctrl"
	"turmericroute/model"
	"turmericroute/state"
)

// slowDisks delays the syncs of single instances.
type slowDisks map[string]*atomic.Int64

// startSlow starts all instances of c with a leader role, on disks whose syncs can be delayed.
func startSlow(c *cluster, role ctrl.LeaderRole) slowDisks {
	d := slowDisks{}
	for _, p := range c.peers {
		delay := &atomic.Int64{}
		d[p.Name] = delay
		cfg := ctrl.Config{Name: p.Name, Address: p.Address, DataDir: c.dataDir(p.Name), Peers: c.peers, Bootstrap: true, Leader: role}
		c.startWith(cfg.WithSync(func(f *os.File) error {
			// Real syncs of a disk that other processes share would add to the delay and exceed the bounds that are tested.
			time.Sleep(time.Duration(delay.Load()))
			return nil
		}))
	}
	DeferCleanup(func() { d.set(0) })
	return d
}

// set delays the syncs of the named instances, of all if there is no name.
func (d slowDisks) set(delay time.Duration, names ...string) {
	for _, name := range names {
		d[name].Store(int64(delay))
	}
	if len(names) == 0 {
		for _, v := range d {
			v.Store(int64(delay))
		}
	}
}

// countingRole counts the sessions of the leader role.
type countingRole struct {
	slowRole
	begun atomic.Int64
}

func (r *countingRole) Lead(ctx context.Context, _ uint64, _ state.Replica) {
	r.begun.Add(1)
	<-ctx.Done()
}

// expectRead verifies that a read is answered within 300 ms. It may be refused meanwhile, as on a machine whose
// processors are busy enough to hold up the leader's loop.
func expectRead(n *ctrl.Node) {
	GinkgoHelper()
	Eventually(func() error {
		return n.WhileLeading(context.Background(), func(context.Context) error { return nil })
	}, 300*time.Millisecond, 10*time.Millisecond).Should(Succeed())
}

func worker(i int) model.Worker {
	return model.Worker{Name: fmt.Sprintf("worker-%04d", i), Incarnation: "1"}
}

var _ = Describe("A slow sync", func() {
	// Guards against the loss of a leader's office, and of all that its role has in memory, because a disk of its own or
	// of a majority takes longer than the lease: heartbeats were neither sent nor answered during a sync.
	DescribeTable("ends no leadership and delays no read", func(slow func(leader string, others []string) []string) {
		c := newCluster("a", "b", "c", "d", "e")
		role := &countingRole{}
		disks := startSlow(c, role)
		leader := c.leader()
		registerWorker(c.nodes[leader], 0)
		Eventually(role.begun.Load).Should(BeNumerically(">", 0))
		var others []string
		for name := range c.nodes {
			if name != leader {
				others = append(others, name)
			}
		}
		sessions, term := role.begun.Load(), c.nodes[leader].Status().Term
		disks.set(700*time.Millisecond, slow(leader, others)...)
		for range 3 {
			committed := make(chan error, 1)
			go func() {
				_, err := c.nodes[leader].Execute(context.Background(), state.RegisterWorker{Worker: worker(1)})
				committed <- err
			}()
			for range 50 {
				expectRead(c.nodes[leader])
				time.Sleep(10 * time.Millisecond)
			}
			Eventually(committed, waitTimeout).Should(Receive(BeNil()))
		}
		Expect(role.begun.Load()).To(Equal(sessions))
		Expect(c.nodes[leader].Status().Role).To(Equal("leader"))
		Expect(c.nodes[leader].Status().Term).To(Equal(term))
	},
		Entry("of the leader", func(l string, _ []string) []string { return []string{l} }),
		Entry("of a minority of followers", func(_ string, o []string) []string { return o[:2] }),
		Entry("of a majority of followers", func(_ string, o []string) []string { return o[:3] }),
		Entry("of all members", func(string, []string) []string { return nil }),
	)

	// Guards against a leader that answers heartbeats but commits nothing for as long as its disk hangs.
	It("of more than a second makes a leader give up its office", func() {
		c := newCluster("a", "b", "c")
		disks := startSlow(c, nil)
		old := c.leader()
		registerWorker(c.nodes[old], 0)
		disks.set(5*time.Second, old)
		go c.nodes[old].Execute(context.Background(), state.RegisterWorker{Worker: worker(1)})
		rest := &cluster{nodes: map[string]*ctrl.Node{}}
		for name, n := range c.nodes {
			if name != old {
				rest.nodes[name] = n
			}
		}
		Eventually(func() bool {
			for _, n := range rest.nodes {
				if n.Status().Role == "leader" {
					return true
				}
			}
			return false
		}, 4*time.Second, 10*time.Millisecond).Should(BeTrue())
		registerWorker(rest.nodes[rest.leader()], 2)
	})
})

var _ = Describe("A pause of the protocol loop", func() {
	stall := func(d time.Duration, nodes ...*ctrl.Node) *sync.WaitGroup {
		var wg sync.WaitGroup
		for _, n := range nodes {
			wg.Go(func() {
				defer GinkgoRecover()
				Expect(ctrl.StallLoop(n, d)).To(Succeed())
			})
		}
		return &wg
	}
	// led starts three instances and returns them with the leader, once its role runs.
	led := func() (*cluster, *countingRole, *ctrl.Node) {
		c := newCluster("a", "b", "c")
		role := &countingRole{}
		startSlow(c, role)
		leader := c.nodes[c.leader()]
		registerWorker(leader, 0)
		Eventually(role.begun.Load).Should(BeNumerically(">", 0))
		return c, role, leader
	}

	// Guards against a leader role that loses all that it has in memory because of a pause in which no other leader was
	// elected, and against answers that are refused although the lease is won back in the same term.
	DescribeTable("suspends the leader's session and does not end it", func(d time.Duration, all bool) {
		c, role, leader := led()
		sessions, term := role.begun.Load(), leader.Status().Term
		for range 3 {
			paused := []*ctrl.Node{leader}
			if all {
				paused = slices.Collect(maps.Values(c.nodes))
			}
			answered := make(chan error, 1)
			wg := stall(d, paused...)
			go func() {
				answered <- leader.WhileLeading(context.Background(), func(context.Context) error { return nil })
			}()
			wg.Wait()
			Eventually(answered, time.Second).Should(Receive(BeNil()))
			time.Sleep(200 * time.Millisecond)
		}
		Expect(role.begun.Load()).To(Equal(sessions))
		Expect(leader.Status().Term).To(Equal(term))
	},
		Entry("of the leader for 300 ms", 300*time.Millisecond, false),
		Entry("of all members for 900 ms", 900*time.Millisecond, true),
	)

	// Guards against two leaders that answer at the same time: one that is paused must refuse before another is elected,
	// and may not go on in its term once it is.
	It("that lasts until another leader is elected ends the session, and nothing is answered meanwhile", func() {
		c, role, leader := led()
		sessions, term := role.begun.Load(), leader.Status().Term
		wg := stall(2*time.Second, leader)
		time.Sleep(300 * time.Millisecond)
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		err := leader.WhileLeading(ctx, func(context.Context) error { return nil })
		Expect(model.AsError(err).Code).To(Equal(model.CodeNoLeader))
		Expect(model.AsError(err).Outcome).To(Equal(model.OutcomeNotRun))
		Eventually(role.begun.Load, 2*time.Second).Should(Equal(sessions+1), "another leads")
		wg.Wait()
		_, err = leader.ExecuteIn(context.Background(), term, state.RegisterWorker{Worker: worker(1)})
		Expect(model.AsError(err).Outcome).To(Equal(model.OutcomeNotRun))
		registerWorker(c.follower(), 2)
	})
})
