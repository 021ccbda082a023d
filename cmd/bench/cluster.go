package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"

	"turmericroute/config"
	"turmericroute/ctrl"
	"turmericroute/model"
	"turmericroute/state"
)

const (
	clusterTimeout      = 20 * time.Second
	clusterPollInterval = 5 * time.Millisecond
)

// cluster is a set of instances in this process that communicate over loopback.
type cluster struct {
	dir     string
	verbose bool
	peers   []ctrl.Peer
	nodes   map[string]*ctrl.Node
	metrics map[string]*metrics.Set
}

// start starts control instances c0, c1, ... and diskless instances d0, d1, ... and waits until they have a leader.
func (c *cluster) start(controls, diskless int) error {
	c.nodes, c.metrics = map[string]*ctrl.Node{}, map[string]*metrics.Set{}
	for i := range controls + diskless {
		p := ctrl.Peer{Name: fmt.Sprintf("c%d", i), Control: true}
		if i >= controls {
			p = ctrl.Peer{Name: fmt.Sprintf("d%d", i-controls)}
		}
		addr, err := freeAddress()
		if err != nil {
			return err
		}
		p.Address = addr
		c.peers = append(c.peers, p)
	}
	for _, p := range c.peers {
		if err := c.startInstance(p); err != nil {
			return err
		}
	}
	return c.waitForLeader()
}

// freeAddress returns a loopback address with a port below the ephemeral range, so
// that it is still free when its instance restarts.
func freeAddress() (string, error) {
	const lowest, count, tries = 15000, 15000, 100
	for range tries {
		lis, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", lowest+rand.IntN(count)))
		if err != nil {
			continue
		}
		defer lis.Close()
		return lis.Addr().String(), nil
	}
	return "", errors.New("no free port found")
}

func (c *cluster) startInstance(p ctrl.Peer) error {
	cfg := ctrl.Config{Name: p.Name, Address: p.Address, Peers: c.peers, Bootstrap: true, Metrics: metrics.NewSet()}
	if p.Control {
		cfg.DataDir = filepath.Join(c.dir, p.Name)
	}
	if c.verbose {
		cfg.Logger = log.With(log.NewLogfmtLogger(log.NewSyncWriter(os.Stderr)), "node", p.Name, "at", log.DefaultTimestampUTC)
	}
	n, err := ctrl.New(cfg)
	if err != nil {
		return fmt.Errorf("create instance: %w", err)
	}
	if err := n.Start(context.Background()); err != nil {
		return fmt.Errorf("start instance: %w", err)
	}
	c.nodes[p.Name], c.metrics[p.Name] = n, cfg.Metrics
	return nil
}

// waitForLeader waits until all instances have a view younger than 1 s, which takes
// a leader. It returns an error after clusterTimeout.
func (c *cluster) waitForLeader() error {
	deadline := time.Now().Add(clusterTimeout)
	for _, n := range c.nodes {
		for n.ViewAge() > time.Second {
			if time.Now().After(deadline) {
				return errors.New("instances have no leader")
			}
			time.Sleep(clusterPollInterval)
		}
	}
	return nil
}

func (c *cluster) leader() *ctrl.Node {
	for {
		for _, n := range c.nodes {
			if n.Status().Role == "leader" {
				return n
			}
		}
		time.Sleep(clusterPollInterval)
	}
}

func (c *cluster) close() {
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	var wg sync.WaitGroup
	for _, n := range c.nodes {
		wg.Go(func() { n.Close(cancelled) }) //nolint:errcheck // the folder is deleted.
	}
	wg.Wait()
}

func registerWorker(i int) state.Command {
	return state.RegisterWorker{Worker: model.Worker{
		Name: fmt.Sprintf("worker-%06d", i), Incarnation: "00112233", DataCentre: "dc-1", Rack: "rack-01",
		Capacity: model.Resources{GPUs: 8, Cores: 32, MemoryMB: 65536},
	}}
}

// teamPatch returns a patch against version base that sets the accelerator limit of one of 22 teams.
func teamPatch(base uint64) state.PatchConfig {
	return state.PatchConfig{Patch: config.Patch{
		ID: fmt.Sprintf("patch-%06d", base), BaseVersion: base, Author: "bench", Reason: "measurement",
		Changes: []config.Change{{PutTeam: &config.Team{
			Name: fmt.Sprintf("team-%02d", base%22), Weight: 1, MaxGPUs: int(base % 100),
			DataCentres: []string{"dc-1", "dc-2"}, Services: []string{"fabrication"},
		}}},
	}}
}

// commit executes a command and returns an error if it is refused.
func commit(n *ctrl.Node, c state.Command) error {
	ctx, cancel := context.WithTimeout(context.Background(), clusterTimeout)
	defer cancel()
	res, err := n.Execute(ctx, c)
	if err != nil {
		return fmt.Errorf("commit: %w", err)
	}
	if res.Failure != nil {
		return fmt.Errorf("commit: %w", res.Failure)
	}
	return nil
}
