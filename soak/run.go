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
	cluster   *cluster
	ledger    *ledger
	hosts     []*host
	transport *http.Transport

	gangMu sync.Mutex
	gangs  map[string]*gang // by job, step and run number

	faults int // number of injected faults; used by one goroutine only

	versionMu sync.Mutex
	version   uint64 // newest configuration version that was created
}

// Run runs one soak. It returns an error when the soak could not be run; violations
// are in the report.
func Run(ctx context.Context, cfg Config) (Report, error) {
	cfg = cfg.WithDefaults()
	if err := os.MkdirAll(cfg.Dir, 0o700); err != nil {
		return Report{}, fmt.Errorf("create folder: %w", err)
	}
	l := newLedger()
	c, err := newCluster(cfg, l)
	if err != nil {
		return Report{}, err
	}
	defer c.stop()
	s := &soak{cfg: cfg, cluster: c, ledger: l, gangs: map[string]*gang{}, transport: &http.Transport{MaxIdleConnsPerHost: cfg.Workers + callerCount}}
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
		wg.Go(func() { h.run(soakCtx, newRand(100+uint64(i))) })
	}
	for i := range callerCount {
		callers.Go(func() { s.submitJobs(trafficCtx, i, newRand(200+uint64(i))) })
	}
	for i := range operatorCount {
		wg.Go(func() { s.changeConfigs(trafficCtx, newRand(300+uint64(i))) })
	}
	wg.Go(func() { s.readConfigs(soakCtx, newRand(400)) })
	sleep(ctx, warmUp)
	s.injectFaults(ctx, newRand(1))
	s.checkOutage(ctx)
	stopTraffic()
	callers.Wait()
	s.checkCompletion(ctx)
	r := Report{Seed: cfg.Seed, Faults: s.faults}
	l.finalChecks(&r)
	return r, ctx.Err() //nolint:wrapcheck // the error of the caller's context.
}

// controlAddress returns the address at which machine i serves workers and operators; entries serve them too.
func (s *soak) controlAddress(i int) string {
	return stand.ControlAddress(s.cluster.machine(i).ip, firstPort)
}

// entryAddress returns the address at which entry i, modulo the number of entries, serves callers.
func (s *soak) entryAddress(i int) string {
	return stand.FrontAddress(s.cluster.machines[s.cfg.Controls+i%s.cfg.Entries].ip, firstPort)
}

// stepOf returns the step and the need of a task, and false when no caller submitted
// such a task.
func (s *soak) stepOf(id batch.TaskID) (batch.Step, batch.Resources, bool) {
	s.ledger.mu.Lock()
	defer s.ledger.mu.Unlock()
	step, _, ok := s.ledger.step(id)
	return step, step.Need, ok
}

// joinGang adds a member to its gang and returns the gang.
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

// breakGang removes a run that did not end as done from its gang, if it has one, and
// marks the gang as broken unless it is done.
func (s *soak) breakGang(r *run, id batch.TaskID) {
	if r.gang == nil {
		return
	}
	s.gangMu.Lock()
	defer s.gangMu.Unlock()
	delete(r.gang.members, id.Index)
	r.gang.broken = !r.gang.done
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
