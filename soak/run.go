package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"turmericroute/batch"
	"turmericroute/platform/stand"
)

const (
	service       = "svc"
	clientHost    = "shop.example"
	clientKey     = "key-1"
	queuePrefix   = "/q/"
	minCallers    = 4
	operatorCount = 2
	// workersPerCaller is the number of workers for each caller beyond the first minCallers.
	workersPerCaller = 100
	// warmUp is how long workers and callers run before the first fault is injected.
	warmUp = 2 * time.Second
	// jobPollInterval is the pause between two polls of the accepted jobs at the end.
	jobPollInterval = 200 * time.Millisecond
)

// capacity is the capacity of each worker.
var capacity = batch.Resources{CPUMilli: 8000, MemoryMB: 8000, GPUs: 8}

// soak is the state of one soak.
type soak struct {
	cfg       Config
	bounds    bounds
	cluster   *cluster
	ledger    *ledger
	hosts     []*host
	transport *http.Transport

	gangMu sync.Mutex
	gangs  map[string]*gang // by job, step and run number

	faults atomic.Int64 // number of injected faults

	// calmSince is when the current calm began, in Unix nanoseconds; 0 outside of it.
	calmSince atomic.Int64
	calm      span // the latest calm, once it has ended

	versionMu sync.Mutex
	version   uint64 // newest configuration version that was created
}

// Run runs one soak. It returns an error when the soak could not be run; violations
// are in the report.
func Run(ctx context.Context, cfg Config) (Report, error) {
	cfg = cfg.WithDefaults()
	if err := cfg.validate(); err != nil {
		return Report{}, err
	}
	if err := os.MkdirAll(cfg.Dir, 0o700); err != nil {
		return Report{}, fmt.Errorf("create folder: %w", err)
	}
	l := newLedger(boundsByName[cfg.Bounds].recovery)
	c, err := newCluster(cfg, l)
	if err != nil {
		return Report{}, err
	}
	defer c.stop()
	callerCount := max(minCallers, cfg.Workers/workersPerCaller)
	s := &soak{cfg: cfg, bounds: c.bounds, cluster: c, ledger: l, gangs: map[string]*gang{}, transport: &http.Transport{MaxIdleConnsPerHost: cfg.Workers + callerCount}}
	defer s.transport.CloseIdleConnections()
	newRand := func(stream uint64) *rand.Rand { return rand.New(rand.NewPCG(cfg.Seed, stream)) }
	soakCtx, stop := context.WithCancel(ctx)
	trafficCtx, stopTraffic := context.WithCancel(soakCtx)
	var wg, callers sync.WaitGroup
	defer wg.Wait()
	defer stop()
	defer stopTraffic()
	if err := s.applyFirstConfig(ctx); err != nil {
		return Report{}, err
	}
	for i := range cfg.Workers {
		h := newHost(s, i)
		s.hosts = append(s.hosts, h)
		wg.Go(func() { h.run(soakCtx, newRand(hostStream(i))) })
	}
	for i := range callerCount {
		callers.Go(func() { s.submitJobs(trafficCtx, i, newRand(200+uint64(i))) })
	}
	for i := range operatorCount {
		wg.Go(func() { s.changeConfigs(trafficCtx, newRand(300+uint64(i))) })
	}
	for i := range max(1, len(c.machines)/machinesPerReader) {
		wg.Go(func() { s.readConfigs(soakCtx, newRand(400+uint64(i))) })
	}
	wg.Go(func() { s.recordMetrics(soakCtx) })
	sleep(ctx, warmUp)
	faultCtx, stopFaults := context.WithCancel(ctx)
	var moreFaults sync.WaitGroup
	if !cfg.NoExpiryFaults {
		moreFaults.Go(func() { s.injectExpiryFaults(faultCtx, newRand(expiryStream)) })
	}
	if !cfg.NoIdleFaults {
		moreFaults.Go(func() { s.injectIdleFaults(faultCtx, newRand(idleStream)) })
	}
	s.injectFaults(ctx, newRand(1))
	stopFaults()
	moreFaults.Wait()
	sleep(ctx, s.bounds.recovery)
	s.keepCalm(ctx)
	s.checkOutage(ctx)
	s.closingFault(ctx, newRand(closingStream))
	stopTraffic()
	callers.Wait()
	s.checkCompletion(ctx)
	r := Report{Seed: cfg.Seed, Faults: int(s.faults.Load()), Closing: cfg.Closing}
	s.reportLeaders(&r)
	l.finalChecks(&r)
	return r, ctx.Err() //nolint:wrapcheck // the error of the caller's context.
}

// hostStream returns the stream of random numbers of a host. Streams 200 to 499 are those of callers and operators.
func hostStream(i int) uint64 {
	if i < 100 {
		return 100 + uint64(i)
	}
	return 1000 + uint64(i)
}

// controlAddress returns the address at which machine i serves workers and operators; entries serve them too.
func (s *soak) controlAddress(i int) string {
	return stand.ControlAddress(s.cluster.machine(i).ip, firstPort)
}

// entryAddress returns the address at which entry i, modulo the number of entries, serves callers.
func (s *soak) entryAddress(i int) string {
	return stand.FrontAddress(s.cluster.machines[s.cfg.Controls+i%s.cfg.Entries].ip, firstPort)
}

// checkCompletion checks that all accepted jobs end within SettleTimeout and that
// every machine returns the configuration.
func (s *soak) checkCompletion(ctx context.Context) {
	deadline := time.Now().Add(s.cfg.SettleTimeout)
	c := s.newClient()
	for n := 0; ; n++ {
		unfinished := s.ledger.unfinished()
		if len(unfinished) == 0 || ctx.Err() != nil {
			break
		}
		if time.Now().After(deadline) {
			s.ledger.recordViolation("LOST: %d accepted jobs have not ended %v after the last fault: %v", len(unfinished), s.cfg.SettleTimeout, unfinished[:min(len(unfinished), 5)])
			break
		}
		for _, id := range unfinished {
			s.ledger.mu.Lock()
			j := s.ledger.jobs[id]
			s.ledger.mu.Unlock()
			s.checkJobState(ctx, c, j, n)
		}
		sleep(ctx, jobPollInterval)
	}
	for i := range s.cluster.machines {
		if !s.readConfig(ctx, c, i) {
			s.ledger.recordViolation("CONFIG: %s does not return the configuration at the end", s.cluster.machines[i].name)
		}
	}
}
