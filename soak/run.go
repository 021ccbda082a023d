package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"time"

	"turmericroute/batch"
	"turmericroute/platform/stand"
)

const (
	service       = "svc"
	clientHost    = "shop.example"
	clientKey     = "key-1"
	queuePrefix   = "/q/"
	callerCount   = 4
	operatorCount = 2
	// warmUp is how long workers and callers run before the first fault.
	warmUp = 2 * time.Second
	// jobPollInterval is how often accepted jobs are asked for at the end.
	jobPollInterval = 200 * time.Millisecond
)

var capacity = batch.Need{CPUMilli: 8000, MemoryMB: 8000, GPUs: 8}

// soak is one run.
type soak struct {
	cfg       Config
	cluster   *cluster
	ledger    *ledger
	hosts     []*host
	transport *http.Transport

	gangMu sync.Mutex
	gangs  map[string]*gang

	faults int // counted by the goroutine that injects them

	versionMu sync.Mutex
	version   uint64
}

// Run runs one soak; the error says why it could not be run at all.
func Run(ctx context.Context, cfg Config) (Report, error) {
	cfg = cfg.WithDefaults()
	if err := os.MkdirAll(cfg.Dir, 0o700); err != nil {
		return Report{}, fmt.Errorf("make folder: %w", err)
	}
	l := newLedger()
	f, err := newCluster(cfg, l)
	if err != nil {
		return Report{}, err
	}
	defer f.stop()
	s := &soak{cfg: cfg, cluster: f, ledger: l, gangs: map[string]*gang{}, transport: &http.Transport{MaxIdleConnsPerHost: cfg.Workers + callerCount}}
	defer s.transport.CloseIdleConnections()
	random := func(stream uint64) *rand.Rand { return rand.New(rand.NewPCG(cfg.Seed, stream)) }
	all, stop := context.WithCancel(ctx)
	traffic, quiet := context.WithCancel(all)
	var wg, submitting sync.WaitGroup
	defer wg.Wait()
	defer stop()
	defer quiet()
	if err := s.applyFirstConfig(ctx); err != nil {
		return Report{}, err
	}
	for i := range cfg.Workers {
		h := newHost(s, i)
		s.hosts = append(s.hosts, h)
		wg.Go(func() { h.run(all, random(100+uint64(i))) })
	}
	for i := range callerCount {
		submitting.Go(func() { s.submitJobs(traffic, i, random(200+uint64(i))) })
	}
	for i := range operatorCount {
		wg.Go(func() { s.changeConfigs(traffic, random(300+uint64(i))) })
	}
	wg.Go(func() { s.readConfigs(all, random(400)) })
	sleep(ctx, warmUp)
	s.injectFaults(ctx, random(1))
	s.checkOutage(ctx)
	quiet()
	submitting.Wait()
	s.waitForJobs(ctx)
	r := Report{Seed: cfg.Seed, Faults: s.faults}
	l.finalChecks(&r)
	return r, ctx.Err() //nolint:wrapcheck // the caller's own context.
}

// controlAddress returns the address at which a machine serves workers and operators, which all do.
func (s *soak) controlAddress(i int) string {
	return stand.ControlAddress(s.cluster.machine(i).ip, firstPort)
}

// entryAddress returns the address of an entry.
func (s *soak) entryAddress(i int) string {
	return stand.FrontAddress(s.cluster.machines[s.cfg.Controls+i%s.cfg.Entries].ip, firstPort)
}

// stepOf returns a task's step and need, false when no caller sent such a task.
func (s *soak) stepOf(id batch.TaskID) (batch.Step, batch.Need, bool) {
	s.ledger.mu.Lock()
	defer s.ledger.mu.Unlock()
	step, _, ok := s.ledger.step(id)
	return step, step.Need, ok
}

// joinGang notes that a member of a gang is present.
func (s *soak) joinGang(id batch.TaskID, run, size int) *gang {
	s.gangMu.Lock()
	defer s.gangMu.Unlock()
	key := fmt.Sprintf("%s.%d run %d", id.Job, id.Step, run)
	g := s.gangs[key]
	if g == nil {
		g = &gang{members: map[int]bool{}, size: size, createdAt: time.Now()}
		s.gangs[key] = g
	}
	g.members[id.Index] = true
	if len(g.members) == g.size && g.completeAt.IsZero() {
		g.completeAt = time.Now()
	}
	return g
}

// breakGang ends the gang of a run that ends without being done.
func (s *soak) breakGang(r *run, id batch.TaskID) {
	if r.gang == nil {
		return
	}
	s.gangMu.Lock()
	defer s.gangMu.Unlock()
	delete(r.gang.members, id.Index)
	r.gang.broken = !r.gang.done
}

// waitForJobs waits until all accepted jobs have ended, and reads the configuration back at every machine.
func (s *soak) waitForJobs(ctx context.Context) {
	deadline := time.Now().Add(s.cfg.SettleTimeout)
	caller := s.newCaller()
	for n := 0; ; n++ {
		open := s.ledger.unfinished()
		if len(open) == 0 || ctx.Err() != nil {
			break
		}
		if time.Now().After(deadline) {
			s.ledger.violate("LOST: %d accepted jobs have not ended %v after the last fault: %v", len(open), s.cfg.SettleTimeout, open[:min(len(open), 5)])
			break
		}
		for _, id := range open {
			s.ledger.mu.Lock()
			j := s.ledger.jobs[id]
			s.ledger.mu.Unlock()
			s.checkJobState(ctx, caller, j, n)
		}
		sleep(ctx, jobPollInterval)
	}
	for i := range s.cluster.machines {
		if !s.readConfig(ctx, caller, i) {
			s.ledger.violate("CONFIG: %s does not answer a read at the end", s.cluster.machines[i].name)
		}
	}
}
