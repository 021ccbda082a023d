package itest_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"turmericroute/batch"
	"turmericroute/platform/stand"
	"turmericroute/sched"
)

// The tests in this file emulate the users' platform: three control machines and an entry, each with its own loopback
// address, and workers that call the platform's API.
const (
	platformHost = "shop.example"
	platformKey  = "key-1"
)

// platformMachine is a machine of the emulated platform, which runs one process of the program.
type platformMachine struct {
	ip, settingsPath string
	servesControl    bool
	cmd              *exec.Cmd
	log              *os.File
}

// platformFleet is the set of machines of the emulated platform.
type platformFleet struct {
	dir       string
	firstPort int // of the port range of every machine
	machines  []*platformMachine
}

// newPlatformFleet starts three control machines, which are the seeds, and the given number of entries after them.
func newPlatformFleet(entries int) *platformFleet {
	f := &platformFleet{dir: tempDir(), firstPort: 20000 + rand.IntN(4000)}
	subnet := 10 + rand.IntN(200)
	for i := range 3 + entries {
		f.machines = append(f.machines, &platformMachine{ip: fmt.Sprintf("127.0.%d.%d", subnet, i+1)})
	}
	for i := range f.machines {
		f.start(i, true)
	}
	DeferCleanup(func() {
		for _, m := range f.machines {
			m.kill()
			if CurrentSpecReport().Failed() {
				b, _ := os.ReadFile(m.log.Name())
				lines := strings.Split(strings.TrimSpace(string(b)), "\n")
				GinkgoWriter.Printf("== %s\n%s\n", m.ip, strings.Join(lines[max(0, len(lines)-30):], "\n"))
			}
		}
	})
	return f
}

func (f *platformFleet) controlAddress(i int) string {
	return stand.ControlAddress(f.machines[i].ip, f.firstPort)
}

func (f *platformFleet) frontAddress() string {
	return stand.FrontAddress(f.machines[3].ip, f.firstPort)
}

func (f *platformFleet) start(i int, bootstrap bool) {
	m := f.machines[i]
	p := stand.Process{
		Name: fmt.Sprintf("machine-%d", i), IP: m.ip, DataCentre: "z1", FirstPort: f.firstPort, Bootstrap: bootstrap,
		Bounds: stand.Bounds{Grace: 2 * time.Second, MaxLease: 2 * time.Second, StopGrace: 200 * time.Millisecond, Reclaim: 6 * time.Second, FinishedRetention: time.Minute, HandoverDelay: 500 * time.Millisecond},
	}
	for _, seed := range f.machines[:3] {
		p.Seeds = append(p.Seeds, seed.ip)
	}
	entriesServeControl, err := stand.RoleServesControl(deployFile, "entry")
	Expect(err).NotTo(HaveOccurred())
	m.servesControl = i < 3 || entriesServeControl
	p.ServesControl = m.servesControl
	if i < 3 {
		p.DataDir = filepath.Join(f.dir, fmt.Sprint("data-", i))
	}
	m.settingsPath = filepath.Join(f.dir, fmt.Sprintf("settings-%d.yaml", i))
	Expect(stand.WriteSettings(m.settingsPath, p)).To(Succeed())
	log, err := os.OpenFile(filepath.Join(f.dir, fmt.Sprintf("%d.log", i)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	Expect(err).NotTo(HaveOccurred())
	m.log = log
	m.cmd = exec.Command(binary, "platform")
	m.cmd.Env = append(os.Environ(), stand.Environment(m.settingsPath))
	m.cmd.Stdout, m.cmd.Stderr = log, log
	Expect(m.cmd.Start()).To(Succeed())
}

func (m *platformMachine) kill() {
	if m.cmd != nil {
		_ = m.cmd.Process.Kill()
		_ = m.cmd.Wait()
		m.cmd = nil
	}
}

// platformClient makes the calls of clients, operators and workers; a call without a response returns the status 0.
var platformClient = &stand.Client{HTTP: &http.Client{Timeout: 3 * time.Second}, Host: platformHost, Key: platformKey}

// platformWorker is a fake worker that runs each task for taskDuration and counts the starts of each task.
type platformWorker struct {
	fleet *platformFleet
	id    string
	mu    sync.Mutex
	// running maps the current runs to their start times.
	running map[sched.RunRef]time.Time
	// ended holds the ended runs that no heartbeat response has acknowledged.
	ended []sched.RunEnd
	// lastEnd is the number of the latest ended run.
	lastEnd int64
	// starts counts the runs started of each task.
	starts   map[string]int
	leaseEnd time.Time
	stop     chan struct{}
	done     chan struct{}
}

func newPlatformWorker(f *platformFleet, id string) *platformWorker {
	w := &platformWorker{fleet: f, id: id, running: map[sched.RunRef]time.Time{}, starts: map[string]int{}, stop: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	DeferCleanup(func() { close(w.stop); <-w.done })
	return w
}

const taskDuration = 400 * time.Millisecond

// run sends heartbeats and applies the orders in the responses; it moves on to the next control machine after an error or
// a response that took longer than a second.
func (w *platformWorker) run() {
	defer close(w.done)
	target := 0
	for seq := int64(1); ; seq++ {
		select {
		case <-w.stop:
			return
		case <-time.After(80 * time.Millisecond):
		}
		sent := time.Now()
		o, _, _, err := platformClient.Heartbeat(context.Background(), w.fleet.controlAddress(target), w.nextHeartbeat(seq))
		if err != nil || o == nil || time.Since(sent) > time.Second {
			target = (target + 1) % 3
			continue
		}
		w.applyOrders(sent, o)
	}
}

// nextHeartbeat ends the runs that are complete or whose lease has expired, and returns the next heartbeat.
func (w *platformWorker) nextHeartbeat(seq int64) sched.Heartbeat {
	w.mu.Lock()
	defer w.mu.Unlock()
	beat := sched.Heartbeat{
		Worker: w.id, Service: "svc", Address: w.id + ":1", DataCentre: "z1", Incarnation: 1, Seq: seq, Labels: []string{"a", "r1"},
		Capacity: batch.Resources{CPUMilli: 8000, MemoryMB: 8000, GPUs: 8},
	}
	for ref, since := range w.running {
		var reason batch.EndReason
		switch {
		case time.Now().After(w.leaseEnd):
			reason = batch.EndLeaseExpired
		case time.Since(since) >= taskDuration:
			reason = batch.EndDone
		}
		if reason == "" {
			beat.Running = append(beat.Running, sched.RunState{Task: ref.Task, Run: ref.Run, Percent: 50})
			continue
		}
		delete(w.running, ref)
		w.lastEnd++
		w.ended = append(w.ended, sched.RunEnd{Number: w.lastEnd, Task: ref.Task, Run: ref.Run, Reason: reason})
	}
	beat.Ended = slices.Clone(w.ended)
	return beat
}

// applyOrders removes acknowledged ended runs, renews the lease from the time the heartbeat was sent and starts runs.
func (w *platformWorker) applyOrders(sent time.Time, o *sched.Orders) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for len(w.ended) > 0 && w.ended[0].Number <= o.AckedThrough {
		w.ended = w.ended[1:]
	}
	if o.LeaseMS == 0 {
		return
	}
	w.leaseEnd = sent.Add(time.Duration(o.LeaseMS) * time.Millisecond)
	for _, s := range o.Starts {
		ref := sched.RunRef{Task: s.Task, Run: s.Run}
		if _, ok := w.running[ref]; !ok {
			w.running[ref] = time.Now()
			w.starts[s.Task.String()]++
		}
	}
}

// configure sends a configuration to the control machines in turn until one accepts it.
func (f *platformFleet) configure(version uint64) {
	document, err := stand.EncodeConfig(batch.Catalog{
		Version:  version,
		Queues:   []batch.Queue{{Name: "q", Host: platformHost, Prefix: "/q/", Service: "svc", MaxFailures: 2, Stretch: 3}},
		Services: []batch.Service{{Name: "svc", AdmissionControl: true}},
		Teams:    []batch.Team{{Name: "t", Keys: []string{platformKey}}},
	})
	Expect(err).NotTo(HaveOccurred())
	calls := 0
	Eventually(func() int {
		calls++ // operators try another machine when one does not answer
		r, _ := platformClient.PutConfig(context.Background(), f.controlAddress(calls%3), document)
		return r.Status
	}, "20s", "200ms").Should(Equal(200))
}

// submitJob submits a job whose first step is a gang of two tasks and whose second step has three tasks.
func (f *platformFleet) submitJob(id string) {
	Eventually(func() int {
		r, _ := platformClient.Submit(context.Background(), f.frontAddress(), "/q/", id, batch.Spec{Text: "s", Steps: []batch.Step{
			{Count: 2, Need: batch.Resources{GPUs: 1}, Gang: true, EstimateMS: 400}, {Count: 3, Need: batch.Resources{GPUs: 1}, After: []int{0}, EstimateMS: 400},
		}})
		return r.Status
	}, "20s", "200ms").Should(Equal(200))
}

// waitSucceeded waits until the jobs have succeeded.
func (f *platformFleet) waitSucceeded(ids ...string) {
	GinkgoHelper()
	for _, id := range ids {
		Eventually(func() string {
			state, _, _ := platformClient.State(context.Background(), f.frontAddress(), "/q/", id)
			return state
		}, "30s", "200ms").Should(Equal("succeeded"))
	}
}

// leader returns the index of the control machine that logged the start of scheduling with the latest term.
func (f *platformFleet) leader() int {
	latest, term := -1, ""
	for i := range 3 {
		b, err := os.ReadFile(filepath.Join(f.dir, fmt.Sprintf("%d.log", i)))
		Expect(err).NotTo(HaveOccurred())
		index := strings.LastIndex(string(b), "event=scheduling_began term=")
		if index < 0 {
			continue
		}
		t := strings.Fields(string(b)[index:])[1]
		if latest < 0 || t > term {
			latest, term = i, t
		}
	}
	Expect(latest).To(BeNumerically(">=", 0))
	return latest
}

var _ = Describe("processes that serve the platform's API", func() {
	var f *platformFleet
	var workers []*platformWorker
	BeforeEach(func() {
		f = newPlatformFleet(1)
		f.configure(1)
		workers = []*platformWorker{newPlatformWorker(f, "i-1"), newPlatformWorker(f, "i-2")}
	})
	// expectSingleStarts fails if a task was started more than once. A second start would be allowed only after the lease of
	// the first run expired.
	expectSingleStarts := func() {
		GinkgoHelper()
		starts := map[string]int{}
		for _, w := range workers {
			w.mu.Lock()
			for task, n := range w.starts {
				starts[task] += n
			}
			w.mu.Unlock()
		}
		for task, n := range starts {
			Expect(n).To(Equal(1), task)
		}
	}

	It("serve a job with a gang and a second step, and answer operators at every control machine", func() {
		f.submitJob("0a")
		f.waitSucceeded("0a")
		expectSingleStarts()
		for i := range 3 {
			Eventually(func() uint64 {
				v, _, _ := platformClient.ConfigVersion(context.Background(), f.controlAddress(i))
				return v
			}, "5s").Should(BeEquivalentTo(1))
		}
		r, err := platformClient.Submit(context.Background(), f.frontAddress(), "/none/", "0b", batch.Spec{})
		Expect(err).NotTo(HaveOccurred())
		Expect(r.Status).To(Equal(404))
		_, r, err = platformClient.State(context.Background(), f.frontAddress(), "/q/", "ff")
		Expect(err).NotTo(HaveOccurred())
		Expect(r.Status).To(Equal(410))
	})

	// Guards against jobs that are lost and tasks that run twice when the leader is killed.
	It("keep accepted jobs and start no task twice when the leader is killed", func() {
		f.submitJob("0a")
		f.machines[f.leader()].kill()
		f.submitJob("0b")
		f.waitSucceeded("0a", "0b")
		expectSingleStarts()
	})

	It("readmit a control machine whose disk was lost, and then tolerate the loss of another one", func() {
		f.submitJob("0a")
		leader := f.leader()
		lost, other := (leader+1)%3, (leader+2)%3
		f.machines[lost].kill()
		Expect(os.RemoveAll(filepath.Join(f.dir, fmt.Sprint("data-", lost)))).To(Succeed())
		oldLog, err := os.ReadFile(f.machines[lost].log.Name())
		Expect(err).NotTo(HaveOccurred())
		f.start(lost, false)
		Eventually(func() string {
			b, _ := os.ReadFile(f.machines[lost].log.Name())
			return string(b[len(oldLog):])
		}, "20s", "200ms").Should(MatchRegexp(`event=role_changed role=follower.* voters=3 learners=0`))
		f.machines[other].kill()
		f.configure(2)
		f.submitJob("0c")
		f.waitSucceeded("0a", "0c")
	})

	It("shut down gracefully: the leader transfers leadership and no job is lost", func() {
		f.submitJob("0a")
		m := f.machines[f.leader()]
		Expect(m.cmd.Process.Signal(syscall.SIGTERM)).To(Succeed())
		Eventually(func() string { b, _ := os.ReadFile(m.log.Name()); return string(b) }, "10s", "100ms").Should(ContainSubstring("event=stopped"))
		f.submitJob("0d")
		f.waitSucceeded("0a", "0d")
		expectSingleStarts()
	})
})

var _ = Describe("an entry that is terminated while there is no leader", func() {
	// Guards against callers whose connection ends without an answer: their requests waited for a leader for longer than
	// the shutdown waited for them.
	It("answers all requests that it has read", func() {
		f := newPlatformFleet(1)
		for _, m := range f.machines[:3] {
			m.kill()
		}
		entry := f.machines[3]
		Eventually(func() error {
			_, err := platformClient.Submit(context.Background(), f.frontAddress(), "/q/", "00", batch.Spec{})
			return err
		}, "5s", "100ms").Should(Succeed())
		Expect(entry.cmd.Process.Signal(syscall.SIGTERM)).To(Succeed())
		const callers, interval = 20, 50 * time.Millisecond // until the end of the drain delay, half of the grace time
		answers := make(chan error, callers)
		for i := range callers {
			time.Sleep(interval)
			go func() {
				r, err := platformClient.Submit(context.Background(), f.frontAddress(), "/q/", fmt.Sprintf("%02d", i), batch.Spec{})
				if err == nil && r.Status != http.StatusServiceUnavailable && r.Status != http.StatusGatewayTimeout {
					err = fmt.Errorf("status %d", r.Status)
				}
				answers <- err
			}()
		}
		for range callers {
			err := <-answers
			if err != nil && strings.Contains(err.Error(), "connection refused") {
				continue // after the listener was closed
			}
			Expect(err).NotTo(HaveOccurred())
		}
	})
})
