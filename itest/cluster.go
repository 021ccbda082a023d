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

// Config describes a cluster of processes.
type Config struct {
	// Binary is the path of the program.
	Binary string
	// Command holds the arguments that precede the path of the settings file; nil means "serve -settings".
	Command []string
	// Dir holds the settings files, data folders and logs.
	Dir       string
	Instances []Spec
	// Delay is the one-way network delay between instances.
	Delay time.Duration
}

// Cluster is a set of instances that run as processes and are connected through proxies.
type Cluster struct {
	cfg   Config
	Nodes []*Node
	// links[a][b] is the proxy for the gRPC connections that a opens to b.
	links map[string]map[string]*fault.Proxy
}

// Node is an instance that runs as a process.
type Node struct {
	Spec     Spec
	Settings serve.Settings
	// HTTP is the address of the HTTP API.
	HTTP string
	// Client calls only this instance.
	Client *client.Client

	// presetFile is the path of an existing settings file; if empty, Start writes one.
	presetFile string
	cluster    *Cluster
	cmd        *exec.Cmd
	exited     chan struct{}
	exitErr    error
}

// New returns a cluster with settings and running proxies; Start starts its processes.
func New(cfg Config) (*Cluster, error) {
	c := &Cluster{cfg: cfg, links: map[string]map[string]*fault.Proxy{}}
	addresses, err := fakes.FreeAddresses(2 * len(cfg.Instances))
	if err != nil {
		return nil, fmt.Errorf("find free addresses: %w", err)
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

// FromFiles returns a cluster without proxies that uses the settings files of a deployment.
func FromFiles(cfg Config, paths []string) (*Cluster, error) {
	c := &Cluster{cfg: cfg}
	for _, path := range paths {
		s, faults, err := serve.ReadSettings(path)
		if err != nil {
			return nil, fmt.Errorf("read settings: %w", err)
		}
		if len(faults) > 0 {
			return nil, fmt.Errorf("invalid settings in %s: %v", path, faults)
		}
		spec := Spec{Name: s.Name, DataCentre: s.DataCentre, Control: s.Has(serve.RoleControl), Entry: s.Has(serve.RoleEntry)}
		n := &Node{Spec: spec, Settings: s, HTTP: s.HTTP.Address, presetFile: path, cluster: c}
		n.Client = client.New(client.Config{Addresses: []string{n.HTTP}})
		c.Nodes = append(c.Nodes, n)
	}
	return c, nil
}

// startProxies starts a proxy for each ordered pair of instances and lists the proxies as the instances' peers.
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
				p.SetRule(fault.Rule{Delay: c.cfg.Delay})
				c.links[a.Spec.Name][b.Spec.Name] = p
				peer.GRPCAddress = p.Address()
			}
			a.Settings.Peers = append(a.Settings.Peers, peer)
		}
	}
	return nil
}

// Start starts all processes and returns the first error.
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

// Node returns the instance with the given name, or nil if there is none.
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

// Client returns a client that may call any instance.
func (c *Cluster) Client() *client.Client {
	return client.New(client.Config{Addresses: c.Addresses()})
}

// Leader returns an instance that reports the leader role and an up-to-date view, or nil if there is none.
func (c *Cluster) Leader(ctx context.Context) *Node {
	for _, n := range c.Nodes {
		st, err := n.Status(ctx)
		if err == nil && st.Replica.Role == "leader" && st.Replica.ViewAgeMS < model.MaxViewAge.Milliseconds() {
			return n
		}
	}
	return nil
}

// Isolate silently drops all traffic between one instance and all others, in both directions.
func (c *Cluster) Isolate(name string) {
	c.eachLink(name, func(p *fault.Proxy) {
		p.SetRule(fault.Rule{Delay: c.cfg.Delay, DropForward: true, DropBack: true})
	})
}

// Heal ends the isolation of an instance and resets its connections, as happens after a long network partition.
func (c *Cluster) Heal(name string) {
	c.eachLink(name, func(p *fault.Proxy) {
		p.SetRule(fault.Rule{Delay: c.cfg.Delay})
		p.Reset()
	})
}

// eachLink calls apply for each proxy to or from an instance.
func (c *Cluster) eachLink(name string, apply func(*fault.Proxy)) {
	for a, links := range c.links {
		for b, p := range links {
			if a == name || b == name {
				apply(p)
			}
		}
	}
}

// TransferredBytes returns the number of bytes sent between an instance and all others, in both directions.
func (c *Cluster) TransferredBytes(name string) int64 {
	var n int64
	c.eachLink(name, func(p *fault.Proxy) { n += p.Bytes() })
	return n
}

// Start starts the process, or restarts it after it has exited.
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
	// Relative data folders in the example settings are resolved below the test's folder.
	n.cmd.Dir = n.cluster.cfg.Dir
	// The kernel kills the process when the test is killed.
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

// settingsFile returns the path of the settings file. It writes the file unless the cluster was created by FromFiles.
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

// LogPath returns the path of the process's log file.
func (n *Node) LogPath() string { return filepath.Join(n.cluster.cfg.Dir, n.Spec.Name+".log") }

// Log returns the contents of the log file, or the error text if the file cannot be read.
func (n *Node) Log() string {
	b, err := os.ReadFile(n.LogPath())
	if err != nil {
		return err.Error()
	}
	return string(b)
}

// PID returns the process ID.
func (n *Node) PID() int { return n.cmd.Process.Pid }

// Kill sends SIGKILL and waits for the process to exit.
func (n *Node) Kill() {
	if n.cmd == nil {
		return
	}
	_ = n.cmd.Process.Kill()
	<-n.exited
}

// Terminate sends SIGTERM and waits for the process to exit. It returns an error if the exit code is not 0.
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

// Suspend suspends the process with SIGSTOP, which it cannot handle.
func (n *Node) Suspend() { _ = n.cmd.Process.Signal(syscall.SIGSTOP) }

// Resume continues a suspended process with SIGCONT.
func (n *Node) Resume() {
	if n.cmd != nil {
		_ = n.cmd.Process.Signal(syscall.SIGCONT)
	}
}

// Wipe removes the data folder; the process must have exited.
func (n *Node) Wipe() error {
	if err := os.RemoveAll(n.Settings.DataFolder); err != nil {
		return fmt.Errorf("wipe %s: %w", n.Spec.Name, err)
	}
	return nil
}

// statusTimeout limits a status request, since a suspended instance does not answer.
const statusTimeout = 500 * time.Millisecond

// Status requests the status of the instance.
func (n *Node) Status(ctx context.Context) (webapi.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	return n.Client.Status(ctx)
}

// CheckReady returns nil if the instance has a leader and an up-to-date view, and otherwise an error with the reason.
func (n *Node) CheckReady(ctx context.Context) error {
	st, err := n.Status(ctx)
	if err != nil {
		return fmt.Errorf("status of %s: %w", n.Spec.Name, err)
	}
	if st.Replica.Leader == "" || st.Replica.ViewAgeMS >= model.MaxViewAge.Milliseconds() {
		return fmt.Errorf("%s has leader %q and a view that is %d ms old", n.Spec.Name, st.Replica.Leader, st.Replica.ViewAgeMS)
	}
	return nil
}

// CheckReady returns the errors of all instances that are not ready, or nil.
func (c *Cluster) CheckReady(ctx context.Context) error {
	var errs []error
	for _, n := range c.Nodes {
		errs = append(errs, n.CheckReady(ctx))
	}
	return errors.Join(errs...)
}

// LogTails returns the last lines of every process's log, for failure messages.
func (c *Cluster) LogTails(lines int) string {
	var b strings.Builder
	for _, n := range c.Nodes {
		all := strings.Split(strings.TrimSpace(n.Log()), "\n")
		fmt.Fprintf(&b, "== %s\n%s\n", n.Spec.Name, strings.Join(all[max(0, len(all)-lines):], "\n"))
	}
	return b.String()
}
