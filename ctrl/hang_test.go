package ctrl_test

import (
	"context"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"turmericroute/model"
	"turmericroute/state"
	"turmericroute/store"
)

var _ = Describe("Syncs of several seconds", func() {
	// Guards against elections, each step of which needs a sync, while the disks of all members are equally slow: for
	// seconds nothing is answered, not even what needs no disk.
	It("of all members end no leadership and delay no read", func() {
		c := newCluster("a", "b", "c", "d", "e")
		role := &countingRole{}
		disks := startSlow(c, role)
		leader := c.nodes[c.leader()]
		registerWorker(leader, 0)
		Eventually(role.begun.Load).Should(BeNumerically(">", 0))
		sessions, term := role.begun.Load(), leader.Status().Term
		disks.set(2500 * time.Millisecond)
		committed := make(chan error, 1)
		go func() {
			_, err := leader.Execute(context.Background(), state.RegisterWorker{Worker: worker(1)})
			committed <- err
		}()
		for deadline := time.Now().Add(3 * time.Second); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
			expectRead(leader)
		}
		Eventually(committed, waitTimeout).Should(Receive(BeNil()))
		Expect(role.begun.Load()).To(Equal(sessions))
		Expect(leader.Status().Term).To(Equal(term))
	})

	// Guards against elections that never end while each of their steps takes as long as a sync: candidates and voters
	// began another one before the disks had saved their votes.
	It("of all members don't keep a leader from being elected", func() {
		c := newCluster("a", "b", "c", "d", "e")
		disks := startSlow(c, nil)
		old := c.leader()
		registerWorker(c.nodes[old], 0)
		disks.set(2500 * time.Millisecond)
		rest := &cluster{nodes: maps.Clone(c.nodes)}
		delete(rest.nodes, old)
		go c.nodes[old].Close(context.Background())
		leads := func() bool {
			for _, n := range rest.nodes {
				if n.WhileLeading(context.Background(), func(context.Context) error { return nil }) == nil {
					return true
				}
			}
			return false
		}
		start := time.Now()
		Eventually(leads, 30*time.Second, 20*time.Millisecond).Should(BeTrue())
		GinkgoWriter.Println("another leader after", time.Since(start))
	})

	// Guards against the loss of leadership when a new segment is started: its header, the folder and the entries are
	// synced one after the other.
	It("of all members end no leadership when a new segment is started", func() {
		c := newCluster("a", "b", "c", "d", "e")
		role := &countingRole{}
		disks := startSlow(c, role)
		leader := c.nodes[c.leader()]
		registerWorker(leader, 0)
		Eventually(role.begun.Load).Should(BeNumerically(">", 0))
		full := func() bool {
			for name := range c.nodes {
				names, err := filepath.Glob(filepath.Join(c.dataDir(name), "*.seg"))
				Expect(err).NotTo(HaveOccurred())
				if info, err := os.Stat(slices.Max(names)); err != nil || info.Size() < store.DefaultSegmentBytes {
					return false
				}
			}
			return true
		}
		for i := 0; !full() && i < 400; i++ {
			w := model.Worker{Name: "w", Incarnation: fmt.Sprint(i, strings.Repeat("x", 2000))}
			_, err := leader.Execute(context.Background(), state.RegisterWorker{Worker: w})
			Expect(err).NotTo(HaveOccurred())
			time.Sleep(5 * time.Millisecond)
		}
		Expect(full()).To(BeTrue())
		time.Sleep(time.Second)
		sessions, term := role.begun.Load(), leader.Status().Term
		disks.set(2500 * time.Millisecond)
		go leader.Execute(context.Background(), state.RegisterWorker{Worker: worker(1)})
		time.Sleep(11 * time.Second)
		Expect(leader.Status().Term).To(Equal(term))
		Expect(role.begun.Load()).To(Equal(sessions))
	})
})
