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

// Backends is the fake workers and upstreams around a cluster.
type Backends struct {
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

// NewBackends returns an empty set of backends whose workers and upstreams use the addresses.
func NewBackends(addresses []string) *Backends {
	ctx, cancel := context.WithCancel(context.Background())
	return &Backends{
		TaskRuns: fakes.NewLedger(), Workers: map[string]*fakes.Worker{}, Upstreams: map[string]*fakes.Upstream{},
		addresses: addresses, ctx: ctx, cancel: cancel, cancelWorker: map[string]context.CancelFunc{},
	}
}

// Close ends all workers and upstreams.
func (s *Backends) Close() {
	s.cancel()
	s.wg.Wait()
	for _, u := range s.Upstreams {
		u.Close()
	}
}

// AddWorkers starts the workers that a configuration declares.
func (s *Backends) AddWorkers(cfg config.Config, base fakes.WorkerConfig) {
	n := 0
	for _, dc := range cfg.DataCentres {
		for _, r := range dc.Racks {
			for i := range r.Workers {
				wc := base
				wc.Worker = model.Worker{
					Name: fmt.Sprintf("%s-%d", r.Name, i+1), DataCentre: dc.Name, Rack: r.Name,
					Incarnation: fmt.Sprint(time.Now().UnixNano()), Capacity: r.PerWorker,
				}
				s.AddWorker(wc, n)
				n++
			}
		}
	}
}

// AddWorker starts one worker, which begins with the n-th address.
func (s *Backends) AddWorker(wc fakes.WorkerConfig, firstAddress int) {
	wc.Ledger = s.TaskRuns
	for i := range s.addresses {
		wc.Addresses = append(wc.Addresses, s.addresses[(firstAddress+i)%len(s.addresses)])
	}
	ctx, cancel := context.WithCancel(s.ctx)
	w := fakes.NewWorker(wc)
	s.mu.Lock()
	s.Workers[wc.Worker.Name], s.cancelWorker[wc.Worker.Name] = w, cancel
	s.mu.Unlock()
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		w.Run(ctx)
	}()
}

// KillWorker ends a worker and its tasks without a word.
func (s *Backends) KillWorker(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancelWorker[name]()
}

// AddUpstreams starts n executors of a service, spread over data centres.
func (s *Backends) AddUpstreams(cfg config.Config, service config.Service, n int, b fakes.Behaviour) error {
	for i := range n {
		dc := cfg.DataCentres[i%len(cfg.DataCentres)].Name
		if err := s.AddUpstream(fmt.Sprintf("%s-%d", service.Name, i+1), dc, service, b); err != nil {
			return err
		}
	}
	return nil
}

// AddUpstream starts one executor, which announces itself until it leaves or the backends are closed.
func (s *Backends) AddUpstream(name, dc string, service config.Service, b fakes.Behaviour) error {
	var entries []string
	for _, a := range s.addresses {
		entries = append(entries, "http://"+a)
	}
	u, err := fakes.StartUpstream(fakes.UpstreamConfig{
		Upstream: model.Upstream{
			Name: name, Incarnation: uint64(time.Now().UnixNano()), Service: service.Name, DataCentre: dc,
			Slots: service.Slots, Connections: service.Connections,
		},
		Entries: entries, Behaviour: b,
	})
	if err != nil {
		return fmt.Errorf("start upstream %s: %w", name, err)
	}
	s.mu.Lock()
	s.Upstreams[name] = u
	s.mu.Unlock()
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		u.Heartbeat(s.ctx, time.Second)
	}()
	return nil
}

// RequestStarts returns how often all upstreams started the request with a key or request ID.
func (s *Backends) RequestStarts(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, u := range s.Upstreams {
		n += u.Ledger()[key].Started
	}
	return n
}
