package itest_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// The stand-in for the users' platform: three control machines and an entry on
// loopback addresses of their own, and executors that speak the platform's calls.
const (
	platformHost = "shop.example"
	platformKey  = "key-1"
)

type machine struct {
	ip, settings string
	cmd          *exec.Cmd
	log          *os.File
}

type fleet struct {
	dir      string
	ports    int // the first port of every machine
	machines []*machine
}

// newFleet starts the machines; the first three are control machines and seeds.
func newFleet() *fleet {
	f := &fleet{dir: tempDir(), ports: 20000 + rand.IntN(4000)}
	net := 10 + rand.IntN(200)
	for i := range 4 {
		f.machines = append(f.machines, &machine{ip: fmt.Sprintf("127.0.%d.%d", net, i+1)})
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

func (f *fleet) control(i int) string { return fmt.Sprintf("%s:%d", f.machines[i].ip, f.ports+20) }
func (f *fleet) front() string        { return fmt.Sprintf("%s:%d", f.machines[3].ip, f.ports+21) }

func (f *fleet) start(i int, bootstrap bool) {
	m := f.machines[i]
	listen := fmt.Sprintf("{control: %q}", f.control(i))
	data := fmt.Sprintf("data-dir: %q", filepath.Join(f.dir, fmt.Sprint("data-", i)))
	if i == 3 {
		listen = fmt.Sprintf("{front: %q, ready: \"%s:%d\"}", f.front(), m.ip, f.ports+22)
		data = ""
	}
	m.settings = filepath.Join(f.dir, fmt.Sprintf("settings-%d.yaml", i))
	Expect(os.WriteFile(m.settings, fmt.Appendf(nil, `node: "machine-%d"
ip: %q
zone: "z1"
listen: %s
port-range: [%d, %d]
seeds: [%q, %q, %q]
bootstrap: %v
%s
bounds: {grace-s: 2, max-hold-ms: 2000, stop-grace-ms: 200, reclaim-ms: 6000, status_s: 60, lease-ms: 500}
an-unknown-field: 1
`, i, m.ip, listen, f.ports, f.ports+15, f.control(0), f.control(1), f.control(2), bootstrap, data), 0o600)).To(Succeed())
	log, err := os.OpenFile(filepath.Join(f.dir, fmt.Sprintf("%d.log", i)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	Expect(err).NotTo(HaveOccurred())
	m.log = log
	m.cmd = exec.Command(binary, "platform")
	m.cmd.Env = append(os.Environ(), "TURMERICROUTE_BOOT="+m.settings)
	m.cmd.Stdout, m.cmd.Stderr = log, log
	Expect(m.cmd.Start()).To(Succeed())
}

func (m *machine) kill() {
	if m.cmd != nil {
		_ = m.cmd.Process.Kill()
		_ = m.cmd.Wait()
		m.cmd = nil
	}
}

// ask makes a call and returns its status and body; 0 means that there was no answer.
func ask(method, address, path string, body any) (int, []byte) {
	data, err := json.Marshal(body)
	Expect(err).NotTo(HaveOccurred())
	r, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(data))
	Expect(err).NotTo(HaveOccurred())
	r.Host = platformHost
	r.Header.Set("Authorization", "Bearer "+platformKey)
	c := http.Client{Timeout: 3 * time.Second}
	resp, err := c.Do(r)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	out, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, out
}

// executor runs each task for a while and keeps a ledger.
type executor struct {
	f       *fleet
	id      string
	mu      sync.Mutex
	running map[string]time.Time // by task and run
	ended   [][]any
	nextEnd int
	starts  map[string]int
	lease   time.Time
	stop    chan struct{}
	done    chan struct{}
}

func newExecutor(f *fleet, id string) *executor {
	x := &executor{f: f, id: id, running: map[string]time.Time{}, starts: map[string]int{}, stop: make(chan struct{}), done: make(chan struct{})}
	go x.run()
	DeferCleanup(func() { close(x.stop); <-x.done })
	return x
}

const workTime = 400 * time.Millisecond

func (x *executor) run() {
	defer close(x.done)
	at := 0
	for seq := 1; ; seq++ {
		select {
		case <-x.stop:
			return
		case <-time.After(80 * time.Millisecond):
		}
		sent := time.Now()
		status, body := askBeat(x.f.control(at), "/instances/"+x.id, x.report(seq))
		if status != http.StatusOK || time.Since(sent) > time.Second {
			at = (at + 1) % 3
			continue
		}
		x.obey(sent, body)
	}
}

// askBeat is ask for goroutines that must not fail the test.
func askBeat(address, path string, body any) (int, []byte) {
	defer GinkgoRecover()
	return ask("PUT", address, path, body)
}

func (x *executor) report(seq int) map[string]any {
	x.mu.Lock()
	defer x.mu.Unlock()
	running := [][]any{}
	for key, since := range x.running {
		task, run, _ := strings.Cut(key, " ")
		how := ""
		switch {
		case time.Now().After(x.lease):
			how = "lapsed"
		case time.Since(since) >= workTime:
			how = "done"
		}
		if how == "" {
			running = append(running, []any{task, json.Number(run), "", 50})
			continue
		}
		delete(x.running, key)
		x.nextEnd++
		x.ended = append(x.ended, []any{x.nextEnd, task, json.Number(run), how, ""})
	}
	return map[string]any{
		"service": "svc", "address": x.id + ":1", "zone": "z1", "state": "ready", "born": 1, "seq": seq, "labels": []string{"a", "r1"},
		"capacity": map[string]int{"cpu": 8000, "mem-mb": 8000, "gpu": 8}, "running": running, "ended": x.ended,
	}
}

func (x *executor) obey(sent time.Time, body []byte) {
	var a struct {
		HoldMS int     `json:"hold-ms"`
		Acked  int     `json:"acked-through"`
		Start  [][]any `json:"start"`
		Stop   [][]any `json:"stop"`
	}
	if json.Unmarshal(body, &a) != nil {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	for len(x.ended) > 0 && x.ended[0][0].(int) <= a.Acked {
		x.ended = x.ended[1:]
	}
	if a.HoldMS == 0 {
		return
	}
	x.lease = sent.Add(time.Duration(a.HoldMS) * time.Millisecond)
	for _, s := range a.Start {
		key := fmt.Sprintf("%s %v", s[0], s[1])
		if _, ok := x.running[key]; !ok {
			x.running[key] = time.Now()
			x.starts[s[0].(string)]++
		}
	}
}

func (f *fleet) configure(version int) {
	try := 0
	Eventually(func() int {
		try++ // an operator goes on to another node when one does not answer
		status, _ := ask("PUT", f.control(try%3), "/config", map[string]any{
			"version": version, "services": []any{map[string]any{"name": "svc", "admission-control": true}},
			"routes":  []any{map[string]any{"name": "q", "host": platformHost, "path-prefix": "/q/", "service": "svc", "timeout-ms": 3000, "max-attempts": 2, "stretch": 3}},
			"tenants": []any{map[string]any{"name": "t", "api-keys": []string{platformKey}}},
		})
		return status
	}, "20s", "200ms").Should(Equal(200))
}

func (f *fleet) submit(id string) {
	Eventually(func() int {
		status, _ := ask("POST", f.front(), "/q/"+id, map[string]any{"spec": "s", "steps": []any{
			map[string]any{"count": 2, "gpu": 1, "gang": true, "estimate-ms": 400}, map[string]any{"count": 3, "gpu": 1, "depends-on": []int{0}, "estimate-ms": 400},
		}})
		return status
	}, "20s", "200ms").Should(Equal(200))
}

func (f *fleet) finished(ids ...string) {
	GinkgoHelper()
	for _, id := range ids {
		Eventually(func() string {
			_, body := ask("GET", f.front(), "/q/"+id, nil)
			return string(body)
		}, "30s", "200ms").Should(Equal(`{"state":"succeeded"}`))
	}
}

// leader returns the control machine that scheduled last, by the logs.
func (f *fleet) leader() int {
	best, term := -1, ""
	for i := range 3 {
		b, err := os.ReadFile(filepath.Join(f.dir, fmt.Sprintf("%d.log", i)))
		Expect(err).NotTo(HaveOccurred())
		at := strings.LastIndex(string(b), "event=scheduling_began term=")
		if at < 0 {
			continue
		}
		t := strings.Fields(string(b)[at:])[1]
		if best < 0 || t > term {
			best, term = i, t
		}
	}
	Expect(best).To(BeNumerically(">=", 0))
	return best
}

var _ = Describe("real processes on the platform's calls", func() {
	var f *fleet
	var executors []*executor
	BeforeEach(func() {
		f = newFleet()
		f.configure(1)
		executors = []*executor{newExecutor(f, "i-1"), newExecutor(f, "i-2")}
	})
	// once expects that no task started twice unless its first run was lost with a lease.
	once := func() {
		GinkgoHelper()
		seen := map[string]int{}
		for _, x := range executors {
			x.mu.Lock()
			for task, n := range x.starts {
				seen[task] += n
			}
			x.mu.Unlock()
		}
		for task, n := range seen {
			Expect(n).To(Equal(1), task)
		}
	}

	It("serve a job of two steps whose gang runs together, and answer the operator at every node", func() {
		f.submit("0a")
		f.finished("0a")
		once()
		for i := range 3 {
			Eventually(func() string { _, b := ask("GET", f.control(i), "/config", nil); return string(b) }, "5s").Should(ContainSubstring(`"version":1`))
		}
		status, _ := ask("POST", f.front(), "/none/0b", map[string]any{})
		Expect(status).To(Equal(404))
		status, _ = ask("GET", f.front(), "/q/ff", nil)
		Expect(status).To(Equal(410))
	})

	// Guards against jobs and runs that are forgotten or repeated when the leader is killed.
	It("keep accepted jobs and start no task twice when the leader is killed", func() {
		f.submit("0a")
		f.machines[f.leader()].kill()
		f.submit("0b")
		f.finished("0a", "0b")
		once()
	})

	It("admit a control machine whose disk was lost, and then bear the loss of another one", func() {
		f.submit("0a")
		leader := f.leader()
		lost, other := (leader+1)%3, (leader+2)%3
		f.machines[lost].kill()
		Expect(os.RemoveAll(filepath.Join(f.dir, fmt.Sprint("data-", lost)))).To(Succeed())
		before, err := os.ReadFile(f.machines[lost].log.Name())
		Expect(err).NotTo(HaveOccurred())
		f.start(lost, false)
		Eventually(func() string {
			b, _ := os.ReadFile(f.machines[lost].log.Name())
			return string(b[len(before):])
		}, "20s", "200ms").Should(MatchRegexp(`event=role_changed role=follower.* voters=3 learners=0`))
		f.machines[other].kill()
		f.configure(2)
		f.submit("0c")
		f.finished("0a", "0c")
	})

	It("end gracefully: the leader hands over and nothing is lost", func() {
		f.submit("0a")
		m := f.machines[f.leader()]
		Expect(m.cmd.Process.Signal(syscall.SIGTERM)).To(Succeed())
		Eventually(func() string { b, _ := os.ReadFile(m.log.Name()); return string(b) }, "10s", "100ms").Should(ContainSubstring("event=stopped"))
		f.submit("0d")
		f.finished("0a", "0d")
		once()
	})
})
