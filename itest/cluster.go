package itest

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"go.yaml.in/yaml/v3"

	"turmericroute/client"
	"turmericroute/fakes"
	"turmericroute/fault"
	"turmericroute/model"
	"turmericroute/serve"
	"turmericroute/webapi"
)

// Spec describes one instance of a cluster.
type Spec struct {
	Name       string
	DataCentre string
	Control    bool
	Entry      bool
}

// Config describes a cluster of real processes.
type Config struct {
	// Binary is the path of the built program.
	Binary string
	// Command are the arguments before the path of the settings; nil means serve -settings.
	Command []string
	// Dir holds settings, data folders and logs.
	Dir       string
	Instances []Spec
	// Delay is the one-way delay between instances.
	Delay time.Duration
}

// Cluster is a set of processes whose links to each other go through proxies.
type Cluster struct {
	cfg   Config
	Nodes []*Node
	// links[a][b] carries what a sends to b over connections that a opened.
	links map[string]map[string]*fault.Proxy
}

// Node is one process.
type Node struct {
	Spec     Spec
	Settings serve.Settings
	// HTTP is the address of the API.
	HTTP string
	// Client calls this instance only.
	Client *client.Client

	// presetFile is the settings file; empty means that Start writes it.
	presetFile string
	cluster    *Cluster
	cmd        *exec.Cmd
	exited     chan struct{}
	exitErr    error
}

// New makes the settings and proxies of a cluster; Start starts its processes.
func New(cfg Config) (*Cluster, error) {
	c := &Cluster{cfg: cfg, links: map[string]map[string]*fault.Proxy{}}
	addresses, err := fakes.FreeAddresses(2 * len(cfg.Instances))
	if err != nil {
		return nil, fmt.Errorf("choose addresses: %w", err)
	}
	for i, s := range cfg.Instances {
		n := &Node{Spec: s, HTTP: addresses[2*i], cluster: c}
		n.Client = client.New(client.Config{Addresses: []string{n.HTTP}})
		n.Settings = serve.DefaultSettings()
		n.Settings.Name, n.Settings.DataCentre = s.Name, s.DataCentre
		n.Settings.HTTP.Address, n.Settings.GRPC.Address = addresses[2*i], addresses[2*i+1]
		n.Settings.DrainDelay, n.Settings.ShutdownTimeout = 200*time.Millisecond, 10*time.Second
		if s.Control {
			n.Settings.Roles = append(n.Settings.Roles, serve.RoleControl)
			n.Settings.DataFolder, n.Settings.Bootstrap = filepath.Join(cfg.Dir, s.Name), true
		}
		if s.Entry {
			n.Settings.Roles = append(n.Settings.Roles, serve.RoleEntry)
		}
		c.Nodes = append(c.Nodes, n)
	}
	return c, c.startProxies()
}

// FromFiles makes a cluster of the settings files of a deployment, without proxies.
func FromFiles(cfg Config, paths []string) (*Cluster, error) {
	c := &Cluster{cfg: cfg}
	for _, path := range paths {
		s, faults, err := serve.ReadSettings(path)
		if err != nil {
			return nil, fmt.Errorf("read settings: %w", err)
		}
		if len(faults) > 0 {
			return nil, fmt.Errorf("settings of %s: %v", path, faults)
		}
		spec := Spec{Name: s.Name, DataCentre: s.DataCentre, Control: s.Has(serve.RoleControl), Entry: s.Has(serve.RoleEntry)}
		n := &Node{Spec: spec, Settings: s, HTTP: s.HTTP.Address, presetFile: path, cluster: c}
		n.Client = client.New(client.Config{Addresses: []string{n.HTTP}})
		c.Nodes = append(c.Nodes, n)
	}
	return c, nil
}

// startProxies gives every instance its own proxied addresses of the others.
func (c *Cluster) startProxies() error {
	for _, a := range c.Nodes {
		c.links[a.Spec.Name] = map[string]*fault.Proxy{}
		for _, b := range c.Nodes {
			peer := serve.Peer{Name: b.Spec.Name, HTTPAddress: b.HTTP, GRPCAddress: b.Settings.GRPC.Address, Control: b.Spec.Control}
			if a != b {
				p, err := fault.Listen("127.0.0.1:0", b.Settings.GRPC.Address)
				if err != nil {
					return fmt.Errorf("proxy from %s to %s: %w", a.Spec.Name, b.Spec.Name, err)
				}
				p.Set(fault.Rule{Delay: c.cfg.Delay})
				c.links[a.Spec.Name][b.Spec.Name] = p
				peer.GRPCAddress = p.Address()
			}
			a.Settings.Peers = append(a.Settings.Peers, peer)
		}
	}
	return nil
}

// Start starts all processes.
func (c *Cluster) Start() error {
	for _, n := range c.Nodes {
		if err := n.Start(); err != nil {
			return err
		}
	}
	return nil
}

// Close kills all processes and stops the proxies.
func (c *Cluster) Close() {
	for _, n := range c.Nodes {
		n.Resume()
		n.Kill()
	}
	for _, links := range c.links {
		for _, p := range links {
			_ = p.Close()
		}
	}
}

// Node returns the instance with the name.
func (c *Cluster) Node(name string) *Node {
	for _, n := range c.Nodes {
		if n.Spec.Name == name {
			return n
		}
	}
	return nil
}

// Addresses returns the HTTP addresses of all instances.
func (c *Cluster) Addresses() []string {
	var all []string
	for _, n := range c.Nodes {
		all = append(all, n.HTTP)
	}
	return all
}

// Client returns a client that tries all instances.
func (c *Cluster) Client() *client.Client {
	return client.New(client.Config{Addresses: c.Addresses()})
}

// Leader returns the instance that says of itself that it leads with a fresh view, nil when none does.
func (c *Cluster) Leader(ctx context.Context) *Node {
	for _, n := range c.Nodes {
		st, err := n.Status(ctx)
		if err == nil && st.Replica.Role == "leader" && st.Replica.ViewAgeMS < model.MaxViewAge.Milliseconds() {
			return n
		}
	}
	return nil
}

// Isolate discards everything between one instance and all others silently.
func (c *Cluster) Isolate(name string) {
	c.eachLink(name, func(p *fault.Proxy) {
		p.Set(fault.Rule{Delay: c.cfg.Delay, DropForward: true, DropBack: true})
	})
}

// Heal ends the isolation of an instance and resets its connections, as a network does after a long cut.
func (c *Cluster) Heal(name string) {
	c.eachLink(name, func(p *fault.Proxy) {
		p.Set(fault.Rule{Delay: c.cfg.Delay})
		p.Reset()
	})
}

func (c *Cluster) eachLink(name string, apply func(*fault.Proxy)) {
	for a, links := range c.links {
		for b, p := range links {
			if a == name || b == name {
				apply(p)
			}
		}
	}
}

// TransferredBytes returns how many bytes passed between an instance and all others.
func (c *Cluster) TransferredBytes(name string) int64 {
	var n int64
	c.eachLink(name, func(p *fault.Proxy) { n += p.Bytes() })
	return n
}

// Start starts the process, also again after its end.
func (n *Node) Start() error {
	path, err := n.settingsFile()
	if err != nil {
		return err
	}
	log, err := os.OpenFile(n.LogPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("open log of %s: %w", n.Spec.Name, err)
	}
	defer log.Close()
	args := n.cluster.cfg.Command
	if args == nil {
		args = []string{"serve", "-settings"}
	}
	n.cmd = exec.Command(n.cluster.cfg.Binary, append(slices.Clone(args), path)...)
	n.cmd.Stdout, n.cmd.Stderr = log, log
	// Relative data folders of example files lie below the test's folder.
	n.cmd.Dir = n.cluster.cfg.Dir
	// The process ends with the test also when the test is killed.
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", n.Spec.Name, err)
	}
	n.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		n.exitErr = cmd.Wait()
		close(exited)
	}(n.cmd, n.exited)
	return nil
}

// settingsFile returns the path of the settings, written anew unless the cluster was made from files.
func (n *Node) settingsFile() (string, error) {
	if n.presetFile != "" {
		return n.presetFile, nil
	}
	b, err := yaml.Marshal(n.Settings)
	if err != nil {
		return "", fmt.Errorf("encode settings of %s: %w", n.Spec.Name, err)
	}
	path := filepath.Join(n.cluster.cfg.Dir, n.Spec.Name+".yaml")
	if err := os.WriteFile(path, b, 0o600); err != nil {
		return "", fmt.Errorf("write settings of %s: %w", n.Spec.Name, err)
	}
	return path, nil
}

// LogPath returns the file that holds the process's log.
func (n *Node) LogPath() string { return filepath.Join(n.cluster.cfg.Dir, n.Spec.Name+".log") }

// Log returns the process's log so far.
func (n *Node) Log() string {
	b, err := os.ReadFile(n.LogPath())
	if err != nil {
		return err.Error()
	}
	return string(b)
}

// PID returns the process ID.
func (n *Node) PID() int { return n.cmd.Process.Pid }

// Kill ends the process at once and waits for its end.
func (n *Node) Kill() {
	if n.cmd == nil {
		return
	}
	_ = n.cmd.Process.Kill()
	<-n.exited
}

// Terminate asks for a graceful shutdown and waits for its end.
func (n *Node) Terminate() error {
	if err := n.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return fmt.Errorf("signal %s: %w", n.Spec.Name, err)
	}
	<-n.exited
	if n.exitErr != nil {
		return fmt.Errorf("shutdown of %s: %w", n.Spec.Name, n.exitErr)
	}
	return nil
}

// Freeze stops the process without its notice.
func (n *Node) Freeze() { _ = n.cmd.Process.Signal(syscall.SIGSTOP) }

// Resume lets a frozen process go on.
func (n *Node) Resume() {
	if n.cmd != nil {
		_ = n.cmd.Process.Signal(syscall.SIGCONT)
	}
}

// Wipe removes the data folder of an ended process.
func (n *Node) Wipe() error {
	if err := os.RemoveAll(n.Settings.DataFolder); err != nil {
		return fmt.Errorf("wipe %s: %w", n.Spec.Name, err)
	}
	return nil
}

// statusTimeout bounds one look at an instance, which can be frozen.
const statusTimeout = 500 * time.Millisecond

// Status asks the instance for its status.
func (n *Node) Status(ctx context.Context) (webapi.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	return n.Client.Status(ctx)
}

// CheckReady returns why the instance does not serve, nil when it has a leader and a fresh view.
func (n *Node) CheckReady(ctx context.Context) error {
	st, err := n.Status(ctx)
	if err != nil {
		return fmt.Errorf("status of %s: %w", n.Spec.Name, err)
	}
	if st.Replica.Leader == "" || st.Replica.ViewAgeMS >= model.MaxViewAge.Milliseconds() {
		return fmt.Errorf("%s has leader %q and a view of %d ms", n.Spec.Name, st.Replica.Leader, st.Replica.ViewAgeMS)
	}
	return nil
}

// CheckReady returns why the cluster is not ready, nil when every instance has a fresh view.
func (c *Cluster) CheckReady(ctx context.Context) error {
	var errs []error
	for _, n := range c.Nodes {
		errs = append(errs, n.CheckReady(ctx))
	}
	return errors.Join(errs...)
}

// LogTails returns the last lines of every log, for failure messages.
func (c *Cluster) LogTails(lines int) string {
	var b strings.Builder
	for _, n := range c.Nodes {
		all := strings.Split(strings.TrimSpace(n.Log()), "\n")
		fmt.Fprintf(&b, "== %s\n%s\n", n.Spec.Name, strings.Join(all[max(0, len(all)-lines):], "\n"))
	}
	return b.String()
}
