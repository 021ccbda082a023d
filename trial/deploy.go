package trial

import (
	"context"
	_ "embed" // for exampleConfig
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/go-kit/log"

	"turmericroute/client"
	"turmericroute/clock"
	"turmericroute/fakes"
	"turmericroute/model"
	"turmericroute/serve"
)

//go:embed config.yaml
var exampleConfig []byte

// instance is one instance of the deployment, run by a goroutine.
type instance struct {
	settings serve.Settings
	stop     context.CancelFunc
	done     chan error // receives the result of serve.Run
}

// deployment is three control instances and two entry instances with fake workers and upstreams.
type deployment struct {
	dir        string
	logger     log.Logger
	instances  []*instance
	addresses  []string
	api        *client.Client
	taskLedger *fakes.Ledger
	upstreams  []*fakes.Upstream
	stopFakes  context.CancelFunc
	wg         sync.WaitGroup
}

var (
	dataCentres    = []string{"north", "south", "east"}
	workerCapacity = model.Resources{GPUs: 8, Cores: 32, MemoryMB: 65536}
)

// deploy starts all instances and waits until they are ready. The caller must
// close the deployment, also after an error.
func deploy(ctx context.Context, logger log.Logger) (*deployment, error) {
	d := &deployment{logger: logger, taskLedger: fakes.NewLedger()}
	dir, err := os.MkdirTemp("", "turmericroute-try-")
	if err != nil {
		return d, fmt.Errorf("create data folder: %w", err)
	}
	d.dir = dir
	settings, err := d.instanceSettings()
	if err != nil {
		return d, err
	}
	for _, s := range settings {
		d.startInstance(s)
	}
	d.api = client.New(client.Config{Addresses: d.addresses})
	return d, d.waitReady(ctx)
}

// instanceSettings returns the settings of all instances and records their HTTP addresses.
func (d *deployment) instanceSettings() ([]serve.Settings, error) {
	type node struct {
		name, dc string
		role     serve.Role
	}
	nodes := []node{
		{"c1", "north", serve.RoleControl}, {"c2", "south", serve.RoleControl}, {"c3", "east", serve.RoleControl},
		{"e1", "north", serve.RoleEntry}, {"e2", "south", serve.RoleEntry},
	}
	addresses, err := fakes.FreeAddresses(2 * len(nodes))
	if err != nil {
		return nil, fmt.Errorf("choose addresses: %w", err)
	}
	var peers []serve.Peer
	for i, n := range nodes {
		peers = append(peers, serve.Peer{Name: n.name, HTTPAddress: addresses[2*i], GRPCAddress: addresses[2*i+1], Control: n.role == serve.RoleControl})
	}
	var settings []serve.Settings
	for i, n := range nodes {
		s := serve.DefaultSettings()
		s.Name, s.DataCentre, s.Roles, s.Peers = n.name, n.dc, []serve.Role{n.role}, peers
		s.HTTP.Address, s.GRPC.Address = addresses[2*i], addresses[2*i+1]
		s.DrainDelay, s.ShutdownTimeout = 100*time.Millisecond, 5*time.Second
		if n.role == serve.RoleControl {
			s.DataFolder, s.Bootstrap = filepath.Join(d.dir, n.name), true
		}
		settings = append(settings, s)
		d.addresses = append(d.addresses, addresses[2*i])
	}
	return settings, nil
}

func (d *deployment) startInstance(s serve.Settings) {
	ctx, cancel := context.WithCancel(context.Background())
	in := &instance{settings: s, stop: cancel, done: make(chan error, 1)}
	d.instances = append(d.instances, in)
	go func() { in.done <- serve.Run(ctx, s, log.With(d.logger, "instance", s.Name)) }()
}

// waitReady waits until every instance knows a leader and its view is at most model.MaxViewAge old.
func (d *deployment) waitReady(ctx context.Context) error {
	for _, a := range d.addresses {
		c := client.New(client.Config{Addresses: []string{a}})
		err := waitFor(ctx, func() error {
			st, err := c.Status(ctx)
			if err != nil {
				return fmt.Errorf("status of %s: %w", a, err)
			}
			if st.Replica.Leader == "" || st.Replica.ViewAgeMS > model.MaxViewAge.Milliseconds() {
				return fmt.Errorf("%s has no leader or its view is too old", a)
			}
			return nil
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// startWorkersAndUpstreams starts six workers and six upstreams and waits until
// they are registered and every instance answers requests.
func (d *deployment) startWorkersAndUpstreams(ctx context.Context) error {
	runCtx, cancel := context.WithCancel(context.Background())
	d.stopFakes = cancel
	for i := range 6 {
		dc := dataCentres[i%3]
		w := model.Worker{
			Name: fmt.Sprintf("%s-w%d", dc, i/3+1), DataCentre: dc, Rack: dc + "-r1",
			Incarnation: "1", Capacity: workerCapacity,
		}
		d.startWorker(runCtx, w)
		if err := d.startUpstream(runCtx, fmt.Sprintf("plans-%d", i+1), dc); err != nil {
			return err
		}
	}
	if err := d.waitRegistered(ctx); err != nil {
		return err
	}
	// Each instance probes an upstream before it forwards requests to it.
	for _, a := range d.addresses {
		err := waitFor(ctx, func() error {
			_, err := d.requestDone(ctx, a, "", "first plan")
			return err
		})
		if err != nil {
			return fmt.Errorf("instance %s: %w", a, err)
		}
	}
	return nil
}

// waitRegistered waits until all six workers and six upstreams are registered.
func (d *deployment) waitRegistered(ctx context.Context) error {
	return waitFor(ctx, func() error {
		ws, err := d.api.Workers(ctx)
		if err != nil {
			return fmt.Errorf("list workers: %w", err)
		}
		us, err := d.api.Upstreams(ctx)
		if err != nil {
			return fmt.Errorf("list upstreams: %w", err)
		}
		if len(ws) != 6 || len(us) != 6 {
			return fmt.Errorf("%d of 6 workers and %d of 6 upstreams are registered", len(ws), len(us))
		}
		return nil
	})
}

func (d *deployment) startWorker(ctx context.Context, w model.Worker) {
	fake := fakes.NewWorker(fakes.WorkerConfig{
		Worker: w, Addresses: d.addresses, Ledger: d.taskLedger, StepInterval: 20 * time.Millisecond, CheckpointDuration: 50 * time.Millisecond,
	})
	d.wg.Add(1)
	go func() {
		defer d.wg.Done()
		fake.Run(ctx)
	}()
}

func (d *deployment) startUpstream(ctx context.Context, name, dc string) error {
	var entries []string
	for _, a := range d.addresses {
		entries = append(entries, "http://"+a)
	}
	u, err := fakes.StartUpstream(fakes.UpstreamConfig{
		Upstream:  model.Upstream{Name: name, Incarnation: 1, Service: "plans", DataCentre: dc, Slots: 8, Connections: 64},
		Entries:   entries,
		Behaviour: fakes.Behaviour{Delay: 20 * time.Millisecond},
	})
	if err != nil {
		return fmt.Errorf("start upstream %s: %w", name, err)
	}
	d.upstreams = append(d.upstreams, u)
	d.wg.Add(1)
	go func() {
		defer d.wg.Done()
		u.Heartbeat(ctx, time.Second)
	}()
	return nil
}

// close stops workers, upstreams and instances and removes the data folder.
func (d *deployment) close() error {
	if d.stopFakes != nil {
		d.stopFakes()
	}
	d.wg.Wait()
	for _, u := range d.upstreams {
		u.Close()
	}
	for _, in := range d.instances {
		in.stop()
	}
	var errs []error
	for _, in := range d.instances {
		if err := <-in.done; err != nil {
			errs = append(errs, fmt.Errorf("instance %s: %w", in.settings.Name, err))
		}
	}
	if d.dir != "" {
		errs = append(errs, os.RemoveAll(d.dir))
	}
	return errors.Join(errs...)
}

// waitInterval is the pause between two checks of waitFor.
const waitInterval = 10 * time.Millisecond

// waitFor calls check until it succeeds. When ctx ends first, it returns the last error of check.
func waitFor(ctx context.Context, check func() error) error {
	return clock.Until(ctx, waitInterval, check)
}
