package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	controlCount = 3
	entryCount   = 3
	// ownPorts is the number of ports for the processes' own use; the HTTP ports follow them.
	ownPorts = 16
	// firstPort lies below the range of ephemeral ports.
	firstPort = 17000
	// restartDelay is the pause before the platform starts an ended process again.
	restartDelay = 300 * time.Millisecond
	// startTimeout bounds the start of the deployment until it has acknowledged the first configuration.
	startTimeout = 20 * time.Second
)

// play is one play of a case: a small deployment and the record.
type play struct {
	rec     *record
	trouble bool
	// entrySeeds makes the platform name three entries as seeds.
	entrySeeds bool
	binary     string
	dir        string
	prefix     string // first three bytes of the loopback addresses
	ctx        context.Context
	cancel     context.CancelFunc
	wg         sync.WaitGroup

	processes []*process
	runs      *runLog
}

// process is one process of the system, which is started again when it ends.
type process struct {
	play    *play
	name    string
	ip      string
	zone    string
	control bool

	mu        sync.Mutex
	cmd       *exec.Cmd
	restarted bool
}

// newPlay starts three control and three entry processes, as the deploy file says.
func newPlay(rec *record, binary string, trouble, entrySeeds bool) (*play, error) {
	path, err := filepath.Abs(binary)
	if err != nil {
		return nil, fmt.Errorf("find program: %w", err)
	}
	if _, err := os.Stat(path); err != nil {
		return nil, fmt.Errorf("find program: %w", err)
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, fmt.Errorf("create folder: %w", err)
	}
	p := &play{rec: rec, trouble: trouble, entrySeeds: entrySeeds, binary: path, dir: dir, runs: newRunLog(rec)}
	ctx, cancel := context.WithTimeout(context.Background(), caseTimeout)
	p.ctx, p.cancel = signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	context.AfterFunc(p.ctx, cancel)
	if p.prefix, err = freePrefix(); err != nil {
		return nil, err
	}
	for i := range controlCount + entryCount {
		m := &process{play: p, ip: fmt.Sprintf("%s.%d", p.prefix, i+1), zone: fmt.Sprintf("zone-%c", 'a'+i%3), control: i < controlCount}
		m.name = fmt.Sprintf("core-%s-%d", m.zone, i)
		if !m.control {
			m.name = fmt.Sprintf("edge-%s-%d", m.zone, i)
		}
		p.processes = append(p.processes, m)
	}
	rec.add("play", "trouble=%v, %d control and %d entry processes at %s.1 to .%d", trouble, controlCount, entryCount, p.prefix, controlCount+entryCount)
	for _, m := range p.processes {
		p.wg.Go(m.supervise)
	}
	return p, nil
}

// freePrefix returns the first three bytes of loopback addresses on which nothing listens at the ports of a play.
func freePrefix() (string, error) {
	for i := range 50 {
		prefix := fmt.Sprintf("127.%d.%d", 70+(os.Getpid()+i)%150, 1+(os.Getpid()/150+i)%250)
		free := true
		for _, port := range []int{firstPort, firstPort + 1, firstPort + ownPorts, firstPort + ownPorts + 1, firstPort + ownPorts + 2} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s.1:%d", prefix, port))
			if err != nil {
				free = false
				break
			}
			l.Close()
		}
		if free {
			return prefix, nil
		}
	}
	return "", fmt.Errorf("no free loopback addresses")
}

func (m *process) controlAddress() string { return fmt.Sprintf("%s:%d", m.ip, firstPort+ownPorts) }

func (m *process) frontAddress() string { return fmt.Sprintf("%s:%d", m.ip, firstPort+ownPorts+1) }

// adviceAddress returns the address of the service that knows which executors may run a step.
func (p *play) adviceAddress() string { return fmt.Sprintf("%s.100:%d", p.prefix, firstPort) }

// machinesAddress returns the address of the platform's service that has machines maintained.
func (p *play) machinesAddress() string { return fmt.Sprintf("%s.101:%d", p.prefix, firstPort) }

// controls and entries return the processes of each role.
func (p *play) controls() []*process { return p.processes[:controlCount] }

func (p *play) entries() []*process { return p.processes[controlCount:] }

// processAt returns the process with a control address, nil if there is none.
func (p *play) processAt(address string) *process {
	for _, m := range p.processes {
		if m.controlAddress() == address {
			return m
		}
	}
	return nil
}

// settings returns the settings file of the process, in the platform's format.
func (m *process) settings(bootstrap bool) string {
	listen := fmt.Sprintf("  control: %q\n", m.controlAddress())
	dataDir, class := "null", "edge"
	if m.control {
		dataDir, class = fmt.Sprintf("%q", filepath.Join(m.play.dir, m.name)), "core"
	} else {
		listen += fmt.Sprintf("  front: %q\n  ready: \"%s:%d\"\n", m.frontAddress(), m.ip, firstPort+ownPorts+2)
	}
	var seeds strings.Builder
	named := m.play.controls()
	if m.play.entrySeeds {
		named = m.play.entries()
	}
	for _, s := range named {
		fmt.Fprintf(&seeds, "  - %q\n", s.controlAddress())
	}
	return fmt.Sprintf(`node: %q
machine-class: %q
ip: %q
zone: %q
listen:
%sport-range:
  - %d
  - %d
seeds:
%sbootstrap: %v
data-dir: %s
discovery: "registry"
entry: "vip"
heartbeat-ms: 1500
bounds:
  contact-ms: 3000
  ack-ms: 4000
  drain-ms: 2000
  grace-s: 6
  config-apply-ms: 2000
  max-hold-ms: 6000
  stop-grace-ms: 400
  gang-timeout-ms: 3000
  cancel_ms: 3000
  finish_s: 14
  status_s: 120
  lease-ms: 3000
  maintenance-s: 2
  reclaim-ms: 5900
orders: "heartbeat"
advice: %q
cloud:
  address: %q
`, m.name, class, m.ip, m.zone, listen, firstPort, firstPort+ownPorts-1, seeds.String(), bootstrap, dataDir, m.play.adviceAddress(), m.play.machinesAddress())
}

// supervise starts the process, and starts it again whenever it ends, as the platform does.
func (m *process) supervise() {
	p := m.play
	for p.ctx.Err() == nil {
		done, err := m.start()
		if err != nil {
			p.rec.add("platform", "%s cannot be started: %v", m.name, err)
			return
		}
		err = <-done
		if p.ctx.Err() != nil {
			return
		}
		p.rec.add("platform", "%s has ended (%v)", m.name, err)
		sleep(p.ctx, restartDelay)
	}
}

// start writes the settings and starts the process with the command of the deploy file.
func (m *process) start() (<-chan error, error) {
	p := m.play
	m.mu.Lock()
	defer m.mu.Unlock()
	path := filepath.Join(p.dir, m.name+".yaml")
	if err := os.WriteFile(path, []byte(m.settings(!m.restarted)), 0o600); err != nil {
		return nil, fmt.Errorf("write settings: %w", err)
	}
	m.restarted = true
	out, err := os.OpenFile(filepath.Join(p.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, fmt.Errorf("open log: %w", err)
	}
	cmd := exec.Command(p.binary, "platform")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "TURMERICROUTE_BOOT=" + path}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		out.Close()
		return nil, fmt.Errorf("start process: %w", err)
	}
	m.cmd = cmd
	done := make(chan error, 1)
	go func() { done <- cmd.Wait(); out.Close() }()
	return done, nil
}

// signal sends a signal to the process.
func (m *process) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd != nil {
		_ = m.cmd.Process.Signal(s) // the process may have ended already
	}
}

// stop ends all processes and removes the folder, unless the environment asks to keep it.
func (p *play) stop() {
	p.cancel()
	for _, m := range p.processes {
		m.signal(syscall.SIGCONT)
		m.signal(syscall.SIGKILL)
	}
	p.wg.Wait()
	if os.Getenv("REVIEW_KEEP") == "" {
		_ = os.RemoveAll(p.dir) // a leftover in the temporary folder does no harm
	} else {
		p.rec.add("play", "the logs of the processes are kept in %s", filepath.Base(p.dir))
	}
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
