package ctrl_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"turmericroute/config"
	"turmericroute/ctrl"
	"turmericroute/model"
	"turmericroute/state"
)

const waitTimeout = 10 * time.Second

// cluster runs several instances in the test process over loopback.
type cluster struct {
	dir             string
	peers           []ctrl.Peer
	relays          map[string]map[string]*relay // by names of the connecting and the listening instance; nil for direct connections
	nodes           map[string]*ctrl.Node
	snapshotEntries int // Config.SnapshotEntries of all instances, 0 for the default
	role            *slowRole
}

func newCluster(controls ...string) *cluster {
	c := &cluster{dir: GinkgoT().TempDir(), nodes: map[string]*ctrl.Node{}}
	for _, name := range controls {
		c.peers = append(c.peers, ctrl.Peer{Name: name, Address: freeAddress(), Control: true})
	}
	DeferCleanup(c.closeAll)
	return c
}

// closeAll closes all instances.
func (c *cluster) closeAll() {
	var wg sync.WaitGroup
	for _, n := range c.nodes {
		wg.Go(func() { n.Close(context.Background()) })
	}
	wg.Wait()
	clear(c.nodes)
}

// usedAddresses holds the addresses that freeAddress has returned.
var usedAddresses sync.Map

// loopbackIP is a loopback address of this test process alone, so that processes that run at the same time don't take
// each other's ports.
var loopbackIP = fmt.Sprintf("127.%d.%d.1", 100+os.Getpid()/256%100, os.Getpid()%256)

// freeAddress returns a free loopback address with a port below the ephemeral
// range, so that no outgoing connection takes it before its instance restarts. It
// returns none twice: an instance may not listen on its own yet.
func freeAddress() string {
	for {
		l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", loopbackIP, 15000+rand.IntN(15000)))
		if err != nil {
			continue
		}
		l.Close()
		if _, used := usedAddresses.LoadOrStore(l.Addr().String(), true); !used {
			return l.Addr().String()
		}
	}
}

func (c *cluster) dataDir(name string) string { return filepath.Join(c.dir, name) }

func (c *cluster) start(names ...string) {
	for _, name := range names {
		for _, p := range c.peers {
			if p.Name == name {
				c.startWith(ctrl.Config{Name: name, Address: p.Address, DataDir: c.dataDir(name), Peers: c.peersFor(name), Bootstrap: true})
			}
		}
	}
}

// peersFor returns the peers with the addresses at which an instance reaches them.
func (c *cluster) peersFor(name string) []ctrl.Peer {
	peers := slices.Clone(c.peers)
	for i, p := range peers {
		if r, ok := c.relays[name][p.Name]; ok {
			peers[i].Address = r.Addr().String()
		}
	}
	return peers
}

func (c *cluster) startWith(cfg ctrl.Config) *ctrl.Node {
	cfg.Logger = log.With(log.NewLogfmtLogger(log.NewSyncWriter(GinkgoWriter)), "at", log.DefaultTimestampUTC, "node", cfg.Name)
	cfg.SnapshotEntries = c.snapshotEntries
	if c.role != nil {
		cfg.Leader = c.role
	}
	n, err := ctrl.New(cfg)
	Expect(err).NotTo(HaveOccurred())
	Expect(n.Start(context.Background())).To(Succeed())
	c.nodes[cfg.Name] = n
	return n
}

func (c *cluster) close(name string) {
	Expect(c.nodes[name].Close(context.Background())).To(Succeed())
	delete(c.nodes, name)
}

func (c *cluster) leader() string {
	var leader string
	Eventually(func() string {
		leader = ""
		for name, n := range c.nodes {
			if n.Status().Role == "leader" && n.ViewAge() < time.Second {
				leader = name
			}
		}
		return leader
	}, waitTimeout, 10*time.Millisecond).ShouldNot(BeEmpty())
	return leader
}

func (c *cluster) follower() *ctrl.Node {
	leader := c.leader()
	for name, n := range c.nodes {
		if name != leader {
			return n
		}
	}
	return nil
}

func execute(n *ctrl.Node, cmd state.Command) state.Result {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	res, err := n.Execute(ctx, cmd)
	Expect(err).NotTo(HaveOccurred())
	return res
}

// registerWorker registers worker i. An election may leave the outcome unknown,
// which state.Replica allows; registering again is idempotent.
func registerWorker(n *ctrl.Node, i int) {
	cmd := state.RegisterWorker{Worker: model.Worker{Name: fmt.Sprintf("worker-%04d", i), Incarnation: "1"}}
	Eventually(func() error {
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		defer cancel()
		_, err := n.Execute(ctx, cmd)
		return err
	}, 2*waitTimeout).Should(Succeed())
}

func patchConfig(id string, base uint64) state.PatchConfig {
	return state.PatchConfig{Patch: config.Patch{ID: id, BaseVersion: base, Changes: []config.Change{
		{PutTeam: &config.Team{Name: id}},
	}}}
}

func workerCount(n *ctrl.Node) func() int {
	return func() int { return len(n.Machine().Workers()) }
}

var _ = Describe("cluster", Ordered, func() {
	var c *cluster
	BeforeAll(func() {
		c = newCluster("a", "b", "c")
		c.snapshotEntries = 16
	})

	// Guards against forming a second cluster while a member of the existing one is only unreachable.
	It("forms only when all peers reply that they are fresh", func() {
		c.start("a", "b")
		Consistently(func() string { return c.nodes["a"].Status().Role }, 800*time.Millisecond).Should(Equal("joining"))
		Expect(c.nodes["a"].Status().Members).To(BeEmpty())
		c.start("c")
		for i := range 50 {
			registerWorker(c.follower(), i)
		}
	})

	It("accepts exactly one of several concurrent patches", func() {
		const patches = 24
		results := make([]state.Result, patches)
		var wg sync.WaitGroup
		for i := range patches {
			wg.Go(func() {
				defer GinkgoRecover()
				results[i] = execute(c.nodes[string(rune('a'+i%3))], patchConfig(fmt.Sprintf("patch-%d", i), 0))
			})
		}
		wg.Wait()
		accepted := 0
		for i, r := range results {
			if r.Failure == nil {
				accepted++
				Expect(execute(c.nodes["a"], patchConfig(fmt.Sprintf("patch-%d", i), 0)).Version).To(Equal(uint64(1)), "a resent patch gets its first result")
				continue
			}
			Expect(r.Failure.Code).To(Equal(model.CodeStaleVersion))
			Expect(r.Failure.Outcome).To(Equal(model.OutcomeNotRun))
		}
		Expect(accepted).To(Equal(1))
	})

	It("restarts from a snapshot on disk and the log after it", func() {
		for _, name := range []string{"a", "b", "c"} {
			c.close(name)
			Expect(filepath.Glob(filepath.Join(c.dataDir(name), "snap-*"))).NotTo(BeEmpty())
		}
		c.start("a", "b", "c")
		for _, n := range c.nodes {
			Expect(n.Barrier(context.Background())).To(Succeed())
			Expect(n.Machine().Workers()).To(HaveLen(50))
		}
	})

	DescribeTable("an instance that lost its log rejoins with a new ID and becomes a voter",
		func(lose func(dir string)) {
			lost := c.follower().Status().Name
			before := voterIDs(c.nodes[c.leader()])
			c.close(lost)
			lose(c.dataDir(lost))
			for i := range 40 {
				registerWorker(c.nodes[c.leader()], i)
			}
			c.start(lost)
			Eventually(workerCount(c.nodes[lost]), waitTimeout).Should(Equal(50))
			Eventually(func() map[string]string { return voterIDs(c.nodes[c.leader()]) }, waitTimeout).Should(And(
				HaveLen(3), HaveKeyWithValue(lost, Not(Equal(before[lost])))))
		},
		Entry("wiped", func(dir string) { Expect(os.RemoveAll(dir)).To(Succeed()) }),
		Entry("damaged", flipLogBit),
	)

	It("follows without a disk from a snapshot, and detects a silent partition", func() {
		var relays []*relay
		var peers []ctrl.Peer
		for _, p := range c.peers {
			r := newRelay(p.Address)
			relays = append(relays, r)
			peers = append(peers, ctrl.Peer{Name: p.Name, Address: r.Addr().String(), Control: true})
		}
		d := c.startWith(ctrl.Config{Name: "d", Address: freeAddress(), Peers: peers})
		Eventually(workerCount(d), waitTimeout).Should(Equal(50))
		Eventually(d.ViewAge, waitTimeout).Should(BeNumerically("<", time.Second))
		Expect(d.Status().Members).To(HaveLen(3))
		for _, r := range relays {
			r.freeze(true)
		}
		registerWorker(c.nodes[c.leader()], 50)
		Eventually(d.ViewAge, waitTimeout).Should(BeNumerically(">", model.MaxViewAge))
		ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
		defer cancel()
		Expect(d.Barrier(ctx)).NotTo(Succeed())
		Expect(workerCount(d)()).To(Equal(50))
		for _, r := range relays {
			r.freeze(false)
		}
		Eventually(workerCount(d), waitTimeout).Should(Equal(51))
		Eventually(d.ViewAge, waitTimeout).Should(BeNumerically("<", model.MaxViewAge))
		c.close("d")
	})

	// The repaired instances must count towards the quorum: the loss of another one must not stop the rest.
	It("keeps accepted commands when the leader closes", func() {
		old := c.leader()
		c.close(old)
		Expect(c.leader()).NotTo(Equal(old))
		for _, n := range c.nodes {
			Expect(n.Barrier(context.Background())).To(Succeed())
			Expect(n.Machine().Workers()).To(HaveLen(51))
		}
		for _, n := range c.nodes {
			registerWorker(n, 51)
		}
	})

	It("refuses commands with the true outcome when no majority is left", func() {
		leader := c.leader()
		for name := range c.nodes {
			if name != leader {
				c.close(name)
			}
		}
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		_, err := c.nodes[leader].Execute(ctx, state.RegisterWorker{Worker: model.Worker{Name: "late"}})
		Expect(err).To(HaveOccurred())
		Eventually(c.nodes[leader].ViewAge, waitTimeout).Should(BeNumerically(">", model.MaxViewAge))
		ctx, cancel = context.WithTimeout(context.Background(), 300*time.Millisecond)
		defer cancel()
		_, err = c.nodes[leader].Execute(ctx, state.RegisterWorker{Worker: model.Worker{Name: "later"}})
		Expect(model.AsError(err).Outcome).To(Equal(model.OutcomeNotRun))
		Expect(model.AsError(err).Code).To(Equal(model.CodeNoLeader))
	})
})

// voterIDs returns the IDs of the voters by name.
func voterIDs(n *ctrl.Node) map[string]string {
	ids := map[string]string{}
	for _, v := range ctrl.Voters(n) {
		ids[v.Name] = v.ID
	}
	return ids
}
