package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"turmericroute/fault"
	"turmericroute/platform/stand"
)

const (
	// firstPort lies below the ports that the kernel gives out by itself.
	firstPort = 21000
	// peerPort is where processes listen for each other; a proxy stands at firstPort.
	peerPort = firstPort + 40
	// restartDelay is the platform's pause before it starts an ended process again.
	restartDelay = 150 * time.Millisecond
	dataCentres  = 3
)

// cluster is the processes under test and the links between them.
type cluster struct {
	cfg      Config
	ledger   *ledger
	machines []*machine
	wg       sync.WaitGroup
	stopping chan struct{}
}

// machine is one process with an address of its own; the control machines come first.
type machine struct {
	cluster               *cluster
	index                 int
	name, ip, dc          string
	dataDir, settingsPath string
	listener              net.Listener
	// inbound carries what each machine sends here over connections that it opened; the last one is for unknown senders.
	inbound []*fault.Proxy

	mu        sync.Mutex
	cmd       *exec.Cmd
	bootstrap bool
	// exitExpected means that the process was told to end; wipeOnExit that its files go first.
	exitExpected, wipeOnExit, tearOnExit bool
}

// subnet returns three bytes of an address that other runs at the same time rarely use.
func subnet(seed uint64) string {
	n := (uint64(os.Getpid()) + seed*7919) % (200 * 200)
	return fmt.Sprintf("127.%d.%d", 20+n/200, 20+n%200)
}

func newCluster(cfg Config, l *ledger) (*cluster, error) {
	f := &cluster{cfg: cfg, ledger: l, stopping: make(chan struct{})}
	net := subnet(cfg.Seed)
	count := cfg.Controls + cfg.Entries
	for i := range count {
		m := &machine{cluster: f, index: i, name: fmt.Sprintf("control-%d", i), ip: fmt.Sprintf("%s.%d", net, i+1), dc: dcName(i), bootstrap: true}
		m.settingsPath = filepath.Join(cfg.Dir, fmt.Sprintf("%d.yaml", i))
		if i < cfg.Controls {
			m.dataDir = filepath.Join(cfg.Dir, fmt.Sprintf("data-%d", i))
		} else {
			m.name = fmt.Sprintf("entry-%d", i)
		}
		f.machines = append(f.machines, m)
	}
	for _, m := range f.machines {
		if err := m.listenForPeers(count); err != nil {
			return nil, err
		}
	}
	for _, m := range f.machines {
		f.wg.Go(m.supervise)
	}
	return f, nil
}

// machine returns a machine by a number that may be past the last one.
func (f *cluster) machine(i int) *machine { return f.machines[i%len(f.machines)] }

func dcName(i int) string { return fmt.Sprintf("dc-%d", i%dataCentres) }

func (m *machine) listenForPeers(count int) error {
	for range count + 1 {
		m.inbound = append(m.inbound, fault.New(fmt.Sprintf("%s:%d", m.ip, peerPort)))
	}
	var err error
	if m.listener, err = net.Listen("tcp", fmt.Sprintf("%s:%d", m.ip, firstPort)); err != nil {
		return fmt.Errorf("listen for proxy of %s: %w", m.name, err)
	}
	m.cluster.wg.Go(func() {
		for {
			c, err := m.listener.Accept()
			if err != nil {
				return
			}
			m.inbound[m.cluster.senderOf(c.RemoteAddr(), count)].Forward(c)
		}
	})
	return nil
}

// senderOf returns the machine whose process opened a connection, or unknown.
func (f *cluster) senderOf(remote net.Addr, unknown int) int {
	pids := map[int]int{}
	for i, m := range f.machines {
		if pid := m.pid(); pid > 0 {
			pids[pid] = i
		}
	}
	if i, ok := processOf(remote, pids); ok {
		return i
	}
	return unknown
}

func (m *machine) pid() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd == nil || m.cmd.Process == nil {
		return 0
	}
	return m.cmd.Process.Pid
}

// supervise starts the process and starts it again whenever it ends, until the fleet is stopped.
func (m *machine) supervise() {
	for {
		exited, err := m.start()
		if err != nil {
			m.cluster.ledger.violate("%s does not start: %v", m.name, err)
			return
		}
		err = <-exited
		m.mu.Lock()
		expected, wiped, torn := m.exitExpected, m.wipeOnExit, m.tearOnExit
		m.cmd, m.exitExpected, m.wipeOnExit, m.tearOnExit, m.bootstrap = nil, false, false, false, false
		m.mu.Unlock()
		select {
		case <-m.cluster.stopping:
			return
		default:
		}
		if !expected {
			m.cluster.ledger.violate("%s ended by itself: %v", m.name, err)
		}
		if wiped {
			err = os.RemoveAll(m.dataDir)
		} else if torn {
			err = appendTornWrite(m.dataDir)
		}
		if (wiped || torn) && err != nil {
			m.cluster.ledger.violate("%s: cannot harm the files: %v", m.name, err)
		}
		select {
		case <-m.cluster.stopping:
			return
		case <-time.After(restartDelay):
		}
	}
}

// seeds returns the addresses that a process is told: control machines at its first start, later any that serve
// control, as the platform's list may name them by then.
func (f *cluster) seeds(bootstrap bool) []string {
	var ips []string
	for _, m := range f.machines {
		ips = append(ips, m.ip)
	}
	if !bootstrap {
		rand.Shuffle(len(ips), func(i, j int) { ips[i], ips[j] = ips[j], ips[i] })
	}
	return ips[:min(3, f.cfg.Controls)]
}

// start writes the settings and starts the process; the channel tells of its end.
func (m *machine) start() (<-chan error, error) {
	f := m.cluster
	seeds := f.seeds(m.bootstrap)
	err := stand.WriteSettings(m.settingsPath, stand.Process{
		Name: m.name, IP: m.ip, DataCentre: m.dc, FirstPort: firstPort, Seeds: seeds, DataDir: m.dataDir, ServesControl: true, Bootstrap: m.bootstrap,
		Bounds: stand.Bounds{Grace: workerGrace, MaxHold: maxHold, StopGrace: stopGrace, Reclaim: reclaim, KeepFinished: jobRetention, HandOver: machineLease},
	})
	if err != nil {
		return nil, err //nolint:wrapcheck // says what it wrote.
	}
	log, err := os.OpenFile(filepath.Join(f.cfg.Dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, fmt.Errorf("open log: %w", err)
	}
	cmd := exec.Command(f.cfg.Binary, "platform", "-peer-listen", fmt.Sprintf("%s:%d", m.ip, peerPort))
	cmd.Env = append(os.Environ(), stand.Environment(m.settingsPath))
	cmd.Stdout, cmd.Stderr = log, log
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("start process: %w", err)
	}
	m.cmd = cmd
	exited := make(chan error, 1)
	go func() { exited <- cmd.Wait(); log.Close() }()
	return exited, nil
}

// signal sends a signal to the process if it runs; ending says that it is to end by it.
func (m *machine) signal(s syscall.Signal, ending bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd == nil {
		return
	}
	m.exitExpected = m.exitExpected || ending
	_ = m.cmd.Process.Signal(s) // it may have ended by now
}

// terminate asks the process to end and kills it after the grace time.
func (m *machine) terminate() {
	pid := m.pid()
	m.signal(syscall.SIGTERM, true)
	time.AfterFunc(workerGrace, func() {
		if pid != 0 && m.pid() == pid {
			m.signal(syscall.SIGKILL, true)
		}
	})
}

// killAndDamage kills the process and loses its files, or the end of its newest one.
func (m *machine) killAndDamage(wipe bool) {
	m.mu.Lock()
	m.wipeOnExit, m.tearOnExit = wipe, !wipe
	m.mu.Unlock()
	m.signal(syscall.SIGKILL, true)
}

// appendTornWrite appends to the newest log file what an unfinished write can leave there.
func appendTornWrite(dir string) error {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return fmt.Errorf("list files: %w", err)
	}
	newest, at := "", time.Time{}
	for _, e := range entries {
		info, err := e.Info()
		if err == nil && info.Mode().IsRegular() && filepath.Ext(e.Name()) == ".seg" && info.ModTime().After(at) {
			newest, at = e.Name(), info.ModTime()
		}
	}
	if newest == "" {
		return nil
	}
	f, err := os.OpenFile(filepath.Join(dir, newest), os.O_APPEND|os.O_WRONLY, 0)
	if err != nil {
		return fmt.Errorf("open newest file: %w", err)
	}
	defer f.Close()
	if _, err := f.Write([]byte{0x7f, 0, 0, 0, 0x13, 0x37}); err != nil {
		return fmt.Errorf("append torn write: %w", err)
	}
	return nil
}

// withProxy calls f with the proxy for what a sends to b over connections that a opened.
func (f *cluster) withProxy(a, b int, do func(*fault.Proxy)) { do(f.machines[b].inbound[a]) }

// dropTraffic drops what a sends to b, over connections that either opened.
func (f *cluster) dropTraffic(a, b int) {
	f.withProxy(a, b, func(p *fault.Proxy) { p.SetRule(fault.Rule{DropForward: true}) })
	f.withProxy(b, a, func(p *fault.Proxy) { p.SetRule(fault.Rule{DropBack: true}) })
}

// restoreTraffic lets everything pass between a and b again. Connections that lost bytes end, as they would have after such a time.
func (f *cluster) restoreTraffic(a, b int) {
	for _, pair := range [][2]int{{a, b}, {b, a}} {
		f.withProxy(pair[0], pair[1], func(p *fault.Proxy) {
			p.SetRule(fault.Rule{})
			p.Reset()
		})
	}
}

// stop ends all processes and proxies.
func (f *cluster) stop() {
	close(f.stopping)
	for _, m := range f.machines {
		m.signal(syscall.SIGCONT, true)
		m.signal(syscall.SIGKILL, true)
		m.listener.Close()
		for _, p := range m.inbound {
			_ = p.Close() // proxies without a listener have nothing to fail
		}
	}
	f.wg.Wait()
}
