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
	// firstPort lies below the range of ephemeral ports. Proxies listen on it for
	// connections between processes.
	firstPort = 21000
	// peerPort is the port on which the process listens for the connections that its proxy forwards.
	peerPort = firstPort + 40
	// restartDelay is the delay before an ended process is started again, as the platform does.
	restartDelay = 150 * time.Millisecond
)

// cluster holds the processes under test and the proxies between them. The control machines come first.
type cluster struct {
	cfg      Config
	bounds   bounds
	ledger   *ledger
	machines []*machine
	byIP     map[string]int // index of each machine, by its IP address
	wg       sync.WaitGroup
	stopping chan struct{}
}

// machine is a simulated machine: one process under test with its own IP address.
type machine struct {
	cluster               *cluster
	index                 int
	name, ip, dc          string
	dataDir, settingsPath string // dataDir is empty on entries
	listener              net.Listener
	// inbound holds, by the index of the machine that opens a connection to this
	// one, the proxy that forwards it; the last proxy is for unknown senders.
	inbound []*fault.Proxy

	mu        sync.Mutex
	cmd       *exec.Cmd
	bootstrap bool
	starts    int // processes started
	// exitExpected reports whether the process was signalled to end.
	exitExpected bool
	// wipeOnExit removes the data folder before the process is started again,
	// tearOnExit appends a torn write to its log.
	wipeOnExit, tearOnExit bool
}

// subnet returns the first three bytes of the loopback addresses of a soak, in dotted notation.
// Soaks that run at the same time rarely get the same ones.
func subnet(seed uint64) string {
	n := (uint64(os.Getpid()) + seed*7919) % (200 * 200)
	return fmt.Sprintf("127.%d.%d", 20+n/200, 20+n%200)
}

// newCluster creates all machines, starts their proxies and then their processes.
func newCluster(cfg Config, l *ledger) (*cluster, error) {
	c := &cluster{cfg: cfg, bounds: boundsByName[cfg.Bounds], ledger: l, byIP: map[string]int{}, stopping: make(chan struct{})}
	prefix := subnet(cfg.Seed)
	machineCount := cfg.Controls + cfg.Entries
	for i := range machineCount {
		m := &machine{cluster: c, index: i, name: fmt.Sprintf("control-%d", i), ip: fmt.Sprintf("%s.%d", prefix, i+1), dc: c.bounds.dcName(i), bootstrap: true}
		m.settingsPath = filepath.Join(cfg.Dir, fmt.Sprintf("%d.yaml", i))
		if i < cfg.Controls {
			m.dataDir = filepath.Join(cfg.Dir, fmt.Sprintf("data-%d", i))
		} else {
			m.name = fmt.Sprintf("entry-%d", i)
		}
		c.byIP[m.ip] = i
		c.machines = append(c.machines, m)
	}
	for _, m := range c.machines {
		if err := m.listenForPeers(machineCount); err != nil {
			return nil, err
		}
	}
	for _, m := range c.machines {
		c.wg.Go(m.supervise)
	}
	return c, nil
}

// machine returns machine i modulo the number of machines.
func (c *cluster) machine(i int) *machine { return c.machines[i%len(c.machines)] }

// dcName returns the name of the data centre of machine or host i.
func (b bounds) dcName(i int) string { return fmt.Sprintf("dc-%d", i%b.dataCentres) }

// listenForPeers starts the proxies for connections to this machine. It needs to
// know the sender of each connection, so that links can fail one by one.
func (m *machine) listenForPeers(machineCount int) error {
	for range machineCount + 1 {
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
			m.inbound[m.cluster.senderOf(c.RemoteAddr(), machineCount)].Forward(c)
		}
	})
	return nil
}

// senderOf returns the index of the machine whose process opened the connection
// from remote, or unknown when there is none. Processes connect from the address
// of their machine.
func (c *cluster) senderOf(remote net.Addr, unknown int) int {
	host, _, err := net.SplitHostPort(remote.String())
	if err != nil {
		return unknown
	}
	if i, ok := c.byIP[host]; ok {
		return i
	}
	return unknown
}

// startCount returns how many processes were started on the machine.
func (m *machine) startCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.starts
}

// pid returns the process ID, 0 when no process runs.
func (m *machine) pid() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd == nil || m.cmd.Process == nil {
		return 0
	}
	return m.cmd.Process.Pid
}

// supervise starts the process and restarts it whenever it ends, until the cluster
// is stopped. An exit that no injected fault caused is a violation.
func (m *machine) supervise() {
	for {
		exited, err := m.start()
		if err != nil {
			m.cluster.ledger.recordViolation("%s cannot be started: %v", m.name, err)
			return
		}
		err = <-exited
		m.mu.Lock()
		expected, wipe, tear := m.exitExpected, m.wipeOnExit, m.tearOnExit
		m.cmd, m.exitExpected, m.wipeOnExit, m.tearOnExit, m.bootstrap = nil, false, false, false, false
		m.mu.Unlock()
		select {
		case <-m.cluster.stopping:
			return
		default:
		}
		if !expected {
			m.cluster.ledger.recordViolation("%s exited unexpectedly: %v", m.name, err)
		}
		if wipe {
			err = os.RemoveAll(m.dataDir)
		} else if tear {
			err = appendTornWrite(m.dataDir)
		}
		if (wipe || tear) && err != nil {
			m.cluster.ledger.recordViolation("%s: cannot damage its files: %v", m.name, err)
		}
		select {
		case <-m.cluster.stopping:
			return
		case <-time.After(restartDelay):
		}
	}
}

// seeds returns the IP addresses for the seed list of a process. At its first start
// they are control machines; later they are random machines, since all serve control
// and the platform's list may name any of them by then.
func (c *cluster) seeds(bootstrap bool) []string {
	var ips []string
	for _, m := range c.machines {
		ips = append(ips, m.ip)
	}
	if !bootstrap {
		rand.Shuffle(len(ips), func(i, j int) { ips[i], ips[j] = ips[j], ips[i] })
	}
	return ips[:min(3, c.cfg.Controls)]
}

// start writes the settings file and starts the process. The channel receives the
// result of its end.
func (m *machine) start() (<-chan error, error) {
	c := m.cluster
	seeds := c.seeds(m.bootstrap)
	err := stand.WriteSettings(m.settingsPath, stand.Process{
		Name: m.name, IP: m.ip, DataCentre: m.dc, FirstPort: firstPort, Seeds: seeds, DataDir: m.dataDir, ServesControl: true, Bootstrap: m.bootstrap, ToleratedLosses: lostDisks(c.cfg.Controls),
		Bounds: stand.Bounds{
			Grace: c.bounds.terminationGrace, MaxLease: c.bounds.maxHold, StopGrace: c.bounds.stopGrace, GangTimeout: c.bounds.gangTimeout,
			Reclaim: c.bounds.reclaim, FinishedRetention: jobRetention, HandoverDelay: c.bounds.machineLease,
		},
	})
	if err != nil {
		return nil, err //nolint:wrapcheck // the error names what was written.
	}
	log, err := os.OpenFile(filepath.Join(c.cfg.Dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, fmt.Errorf("open log: %w", err)
	}
	cmd := exec.Command(c.cfg.Binary, "platform", "-peer-listen", fmt.Sprintf("%s:%d", m.ip, peerPort), "-peer-source", m.ip)
	cmd.Env = append(os.Environ(), stand.Environment(m.settingsPath))
	if c.cfg.Procs > 0 {
		cmd.Env = append(cmd.Env, fmt.Sprintf("GOMAXPROCS=%d", c.cfg.Procs))
	}
	cmd.Stdout, cmd.Stderr = log, log
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("start process: %w", err)
	}
	m.cmd, m.starts = cmd, m.starts+1
	exited := make(chan error, 1)
	go func() { exited <- cmd.Wait(); log.Close() }()
	return exited, nil
}

// signal sends a signal to the process if it runs; ending marks its exit as expected.
func (m *machine) signal(s syscall.Signal, ending bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd == nil {
		return
	}
	m.exitExpected = m.exitExpected || ending
	_ = m.cmd.Process.Signal(s) // the process may have ended already
}

// terminate sends SIGTERM, and SIGKILL when the process still runs after the termination grace.
func (m *machine) terminate() {
	pid := m.pid()
	m.signal(syscall.SIGTERM, true)
	time.AfterFunc(m.cluster.bounds.terminationGrace, func() {
		if pid != 0 && m.pid() == pid {
			m.signal(syscall.SIGKILL, true)
		}
	})
}

// killAndDamage kills the process. Before its restart the data folder is removed
// (wipe) or a torn write is appended to the newest log file.
func (m *machine) killAndDamage(wipe bool) {
	m.mu.Lock()
	m.wipeOnExit, m.tearOnExit = wipe, !wipe
	m.mu.Unlock()
	m.signal(syscall.SIGKILL, true)
}

// appendTornWrite appends the kind of bytes that an unfinished write can leave to the
// newest log file in dir, if there is one.
func appendTornWrite(dir string) error {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return fmt.Errorf("list files: %w", err)
	}
	newest, modified := "", time.Time{}
	for _, e := range entries {
		info, err := e.Info()
		if err == nil && info.Mode().IsRegular() && filepath.Ext(e.Name()) == ".seg" && info.ModTime().After(modified) {
			newest, modified = e.Name(), info.ModTime()
		}
	}
	if newest == "" {
		return nil
	}
	f, err := os.OpenFile(filepath.Join(dir, newest), os.O_APPEND|os.O_WRONLY, 0)
	if err != nil {
		return fmt.Errorf("open newest log file: %w", err)
	}
	defer f.Close()
	if _, err := f.Write([]byte{0x7f, 0, 0, 0, 0x13, 0x37}); err != nil {
		return fmt.Errorf("append torn write: %w", err)
	}
	return nil
}

// withProxy calls f with the proxy for the connections that machine a opened to machine b.
func (c *cluster) withProxy(a, b int, f func(*fault.Proxy)) { f(c.machines[b].inbound[a]) }

// dropTraffic drops all bytes that machine a sends to machine b, on connections opened by either of them.
func (c *cluster) dropTraffic(a, b int) {
	c.withProxy(a, b, func(p *fault.Proxy) { p.SetRule(fault.Rule{DropForward: true}) })
	c.withProxy(b, a, func(p *fault.Proxy) { p.SetRule(fault.Rule{DropBack: true}) })
}

// restoreTraffic removes the rules between machines a and b. It resets their
// connections: those that lost bytes would have ended by a timeout anyway.
func (c *cluster) restoreTraffic(a, b int) {
	for _, pair := range [][2]int{{a, b}, {b, a}} {
		c.withProxy(pair[0], pair[1], func(p *fault.Proxy) {
			p.SetRule(fault.Rule{})
			p.Reset()
		})
	}
}

// stop kills all processes, closes the proxies and waits for their goroutines.
func (c *cluster) stop() {
	close(c.stopping)
	for _, m := range c.machines {
		m.signal(syscall.SIGCONT, true)
		m.signal(syscall.SIGKILL, true)
		m.listener.Close()
		for _, p := range m.inbound {
			_ = p.Close() // returns no error for a proxy without a listener
		}
	}
	c.wg.Wait()
}
