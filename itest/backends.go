package itest

import (
	"context"
	"fmt"
	"sync"
	"time"

	"turmericroute/config"
	"turmericroute/fakes"
	"turmericroute/model"
)

// Backends is the set of fake workers and upstreams that use a cluster.
type Backends struct {
	// TaskRuns records the tasks that the workers ran.
	TaskRuns  *fakes.Ledger
	Workers   map[string]*fakes.Worker
	Upstreams map[string]*fakes.Upstream

	addresses    []string
	ctx          context.Context
	cancel       context.CancelFunc
	wg           sync.WaitGroup
	mu           sync.Mutex
	cancelWorker map[string]context.CancelFunc
}

// NewBackends returns an empty set whose workers and upstreams call the instances at the HTTP addresses.
func NewBackends(addresses []string) *Backends {
	ctx, cancel := context.WithCancel(context.Background())
	return &Backends{
		TaskRuns: fakes.NewLedger(), Workers: map[string]*fakes.Worker{}, Upstreams: map[string]*fakes.Upstream{},
		addresses: addresses, ctx: ctx, cancel: cancel, cancelWorker: map[string]context.CancelFunc{},
	}
}

// Close stops all workers and upstreams.
func (b *Backends) Close() {
	b.cancel()
	b.wg.Wait()
	for _, u := range b.Upstreams {
		u.Close()
	}
}

// AddWorkers starts the workers that a configuration declares, each with the settings in base.
func (b *Backends) AddWorkers(cfg config.Config, base fakes.WorkerConfig) {
	n := 0
	for _, dc := range cfg.DataCentres {
		for _, r := range dc.Racks {
			for i := range r.Workers {
				wc := base
				wc.Worker = model.Worker{
					Name: fmt.Sprintf("%s-%d", r.Name, i+1), DataCentre: dc.Name, Rack: r.Name,
					Incarnation: fmt.Sprint(time.Now().UnixNano()), Capacity: r.PerWorker,
				}
				b.AddWorker(wc, n)
				n++
			}
		}
	}
}

// AddWorker starts a worker that tries the addresses in order, starting at the index firstAddress modulo their number.
func (b *Backends) AddWorker(wc fakes.WorkerConfig, firstAddress int) {
	wc.Ledger = b.TaskRuns
	for i := range b.addresses {
		wc.Addresses = append(wc.Addresses, b.addresses[(firstAddress+i)%len(b.addresses)])
	}
	ctx, cancel := context.WithCancel(b.ctx)
	w := fakes.NewWorker(wc)
	b.mu.Lock()
	b.Workers[wc.Worker.Name], b.cancelWorker[wc.Worker.Name] = w, cancel
	b.mu.Unlock()
	b.wg.Add(1)
	go func() {
		defer b.wg.Done()
		w.Run(ctx)
	}()
}

// KillWorker stops a worker and its tasks without notifying the cluster.
func (b *Backends) KillWorker(name string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cancelWorker[name]()
}

// AddUpstreams starts n upstreams of a service, distributed evenly over the data centres.
func (b *Backends) AddUpstreams(cfg config.Config, service config.Service, n int, behaviour fakes.Behaviour) error {
	for i := range n {
		dc := cfg.DataCentres[i%len(cfg.DataCentres)].Name
		if err := b.AddUpstream(fmt.Sprintf("%s-%d", service.Name, i+1), dc, service, behaviour); err != nil {
			return err
		}
	}
	return nil
}

// AddUpstream starts an upstream that announces itself every second until it leaves or the set is closed.
func (b *Backends) AddUpstream(name, dc string, service config.Service, behaviour fakes.Behaviour) error {
	var entries []string
	for _, a := range b.addresses {
		entries = append(entries, "http://"+a)
	}
	u, err := fakes.StartUpstream(fakes.UpstreamConfig{
		Upstream: model.Upstream{
			Name: name, Incarnation: uint64(time.Now().UnixNano()), Service: service.Name, DataCentre: dc,
			Slots: service.Slots, Connections: service.Connections,
		},
		Entries: entries, Behaviour: behaviour,
	})
	if err != nil {
		return fmt.Errorf("start upstream %s: %w", name, err)
	}
	b.mu.Lock()
	b.Upstreams[name] = u
	b.mu.Unlock()
	b.wg.Add(1)
	go func() {
		defer b.wg.Done()
		u.Heartbeat(b.ctx, time.Second)
	}()
	return nil
}

// RequestStarts returns how many times the upstreams, taken together, started the request with an idempotency key or request ID.
func (b *Backends) RequestStarts(key string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, u := range b.Upstreams {
		n += u.Ledger()[key].Started
	}
	return n
}
