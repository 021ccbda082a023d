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
	// bindPort is where processes listen for each other; a proxy stands at firstPort.
	bindPort = firstPort + 40
	// restartDelay is the platform's pause before it starts an ended process again.
	restartDelay = 150 * time.Millisecond
	dataCentres  = 3
)

// fleet is the processes under test and the links between them.
type fleet struct {
	cfg      Config
	ledger   *ledger
	machines []*machine
	wg       sync.WaitGroup
	done     chan struct{}
}

// machine is one process with an address of its own; the control machines come first.
type machine struct {
	fleet          *fleet
	index          int
	name, ip, dc   string
	data, settings string
	peers          net.Listener
	// in carries what each machine sends here over connections that it opened; the last one is for unknown senders.
	in []*fault.Proxy

	mu        sync.Mutex
	cmd       *exec.Cmd
	bootstrap bool
	// expected means that the process was told to end; wiped that its files go first.
	expected, wiped, torn bool
}

// subnet returns three bytes of an address that other runs at the same time rarely use.
func subnet(seed uint64) string {
	n := (uint64(os.Getpid()) + seed*7919) % (200 * 200)
	return fmt.Sprintf("127.%d.%d", 20+n/200, 20+n%200)
}

func newFleet(cfg Config, l *ledger) (*fleet, error) {
	f := &fleet{cfg: cfg, ledger: l, done: make(chan struct{})}
	net := subnet(cfg.Seed)
	count := cfg.Controls + cfg.Entries
	for i := range count {
		m := &machine{fleet: f, index: i, name: fmt.Sprintf("control-%d", i), ip: fmt.Sprintf("%s.%d", net, i+1), dc: dcName(i), bootstrap: true}
		m.settings = filepath.Join(cfg.Dir, fmt.Sprintf("%d.yaml", i))
		if i < cfg.Controls {
			m.data = filepath.Join(cfg.Dir, fmt.Sprintf("data-%d", i))
		} else {
			m.name = fmt.Sprintf("entry-%d", i)
		}
		f.machines = append(f.machines, m)
	}
	for _, m := range f.machines {
		if err := m.listen(count); err != nil {
			return nil, err
		}
	}
	for _, m := range f.machines {
		f.wg.Go(m.supervise)
	}
	return f, nil
}

// machine returns a machine by a number that may be past the last one.
func (f *fleet) machine(i int) *machine { return f.machines[i%len(f.machines)] }

func dcName(i int) string { return fmt.Sprintf("dc-%d", i%dataCentres) }

func (m *machine) listen(count int) error {
	for range count + 1 {
		m.in = append(m.in, fault.New(fmt.Sprintf("%s:%d", m.ip, bindPort)))
	}
	var err error
	if m.peers, err = net.Listen("tcp", fmt.Sprintf("%s:%d", m.ip, firstPort)); err != nil {
		return fmt.Errorf("listen for proxy of %s: %w", m.name, err)
	}
	m.fleet.wg.Go(func() {
		for {
			c, err := m.peers.Accept()
			if err != nil {
				return
			}
			m.in[m.fleet.sender(c.RemoteAddr(), count)].Forward(c)
		}
	})
	return nil
}

// sender returns the machine whose process opened a connection, or unknown.
func (f *fleet) sender(remote net.Addr, unknown int) int {
	pids := map[int]int{}
	for i, m := range f.machines {
		if pid := m.pid(); pid > 0 {
			pids[pid] = i
		}
	}
	if i, ok := ownerOf(remote, pids); ok {
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
			m.fleet.ledger.violate("%s does not start: %v", m.name, err)
			return
		}
		err = <-exited
		m.mu.Lock()
		expected, wiped, torn := m.expected, m.wiped, m.torn
		m.cmd, m.expected, m.wiped, m.torn, m.bootstrap = nil, false, false, false, false
		m.mu.Unlock()
		select {
		case <-m.fleet.done:
			return
		default:
		}
		if !expected {
			m.fleet.ledger.violate("%s ended by itself: %v", m.name, err)
		}
		if wiped {
			err = os.RemoveAll(m.data)
		} else if torn {
			err = tear(m.data)
		}
		if (wiped || torn) && err != nil {
			m.fleet.ledger.violate("%s: cannot harm the files: %v", m.name, err)
		}
		select {
		case <-m.fleet.done:
			return
		case <-time.After(restartDelay):
		}
	}
}

// seeds returns the addresses that a process is told: control machines at its first start, later any that serve
// control, as the platform's list may name them by then.
func (f *fleet) seeds(bootstrap bool) []string {
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
	f := m.fleet
	seeds := f.seeds(m.bootstrap)
	err := stand.WriteSettings(m.settings, stand.Process{
		Name: m.name, IP: m.ip, DataCentre: m.dc, FirstPort: firstPort, Seeds: seeds, DataDir: m.data, ServesControl: true, Bootstrap: m.bootstrap,
		Bounds: stand.Bounds{Grace: grace, MaxHold: maxHold, StopGrace: stopGrace, Reclaim: reclaim, KeepFinished: keepJobs, HandOver: handOver},
	})
	if err != nil {
		return nil, err //nolint:wrapcheck // says what it wrote.
	}
	log, err := os.OpenFile(filepath.Join(f.cfg.Dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, fmt.Errorf("open log: %w", err)
	}
	cmd := exec.Command(f.cfg.Binary, "platform", "-peer-listen", fmt.Sprintf("%s:%d", m.ip, bindPort))
	cmd.Env = append(os.Environ(), stand.Environment(m.settings))
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
	m.expected = m.expected || ending
	_ = m.cmd.Process.Signal(s) // it may have ended by now
}

// terminate asks the process to end and kills it after the grace time.
func (m *machine) terminate() {
	pid := m.pid()
	m.signal(syscall.SIGTERM, true)
	time.AfterFunc(grace, func() {
		if pid != 0 && m.pid() == pid {
			m.signal(syscall.SIGKILL, true)
		}
	})
}

// harm kills the process and loses its files, or the end of its newest one.
func (m *machine) harm(wipe bool) {
	m.mu.Lock()
	m.wiped, m.torn = wipe, !wipe
	m.mu.Unlock()
	m.signal(syscall.SIGKILL, true)
}

// tear appends to the newest log file what an unfinished write can leave there.
func tear(dir string) error {
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

// between calls f with the proxy for what a sends to b over connections that a opened.
func (f *fleet) between(a, b int, do func(*fault.Proxy)) { do(f.machines[b].in[a]) }

// cut drops what a sends to b, over connections that either opened.
func (f *fleet) cut(a, b int) {
	f.between(a, b, func(p *fault.Proxy) { p.Set(fault.Rule{DropForward: true}) })
	f.between(b, a, func(p *fault.Proxy) { p.Set(fault.Rule{DropBack: true}) })
}

// heal lets everything pass between a and b again. Connections that lost bytes end, as they would have after such a time.
func (f *fleet) heal(a, b int) {
	for _, pair := range [][2]int{{a, b}, {b, a}} {
		f.between(pair[0], pair[1], func(p *fault.Proxy) {
			p.Set(fault.Rule{})
			p.Reset()
		})
	}
}

// stop ends all processes and proxies.
func (f *fleet) stop() {
	close(f.done)
	for _, m := range f.machines {
		m.signal(syscall.SIGCONT, true)
		m.signal(syscall.SIGKILL, true)
		m.peers.Close()
		for _, p := range m.in {
			_ = p.Close() // proxies without a listener have nothing to fail
		}
	}
	f.wg.Wait()
}
