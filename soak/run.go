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
	service     = "svc"
	clientHost  = "shop.example"
	clientKey   = "key-1"
	queuePrefix = "/q/"
	callers     = 4
	operators   = 2
	// warmUp is how long workers and callers run before the first fault.
	warmUp = 2 * time.Second
	// finishInterval is how often accepted jobs are asked for at the end.
	finishInterval = 200 * time.Millisecond
)

var capacity = batch.Resources{CPUMilli: 8000, MemoryMB: 8000, GPUs: 8}

// soak is one run.
type soak struct {
	cfg       Config
	fleet     *fleet
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
	f, err := newFleet(cfg, l)
	if err != nil {
		return Report{}, err
	}
	defer f.stop()
	s := &soak{cfg: cfg, fleet: f, ledger: l, gangs: map[string]*gang{}, transport: &http.Transport{MaxIdleConnsPerHost: cfg.Workers + callers}}
	defer s.transport.CloseIdleConnections()
	random := func(stream uint64) *rand.Rand { return rand.New(rand.NewPCG(cfg.Seed, stream)) }
	all, stop := context.WithCancel(ctx)
	traffic, quiet := context.WithCancel(all)
	var wg, submitting sync.WaitGroup
	defer wg.Wait()
	defer stop()
	defer quiet()
	if err := s.configure(ctx); err != nil {
		return Report{}, err
	}
	for i := range cfg.Workers {
		h := newHost(s, i)
		s.hosts = append(s.hosts, h)
		wg.Go(func() { h.live(all, random(100+uint64(i))) })
	}
	for i := range callers {
		submitting.Go(func() { s.submitJobs(traffic, i, random(200+uint64(i))) })
	}
	for i := range operators {
		wg.Go(func() { s.operate(traffic, random(300+uint64(i))) })
	}
	wg.Go(func() { s.read(all, random(400)) })
	sleep(ctx, warmUp)
	s.inject(ctx, random(1))
	s.calm(ctx)
	quiet()
	submitting.Wait()
	s.finish(ctx)
	r := Report{Seed: cfg.Seed, Faults: s.faults}
	l.conclude(&r)
	return r, ctx.Err() //nolint:wrapcheck // the caller's own context.
}

// control returns the address at which a machine serves workers and operators, which all do.
func (s *soak) control(i int) string {
	return stand.ControlAddress(s.fleet.machine(i).ip, firstPort)
}

// front returns the address of an entry.
func (s *soak) front(i int) string {
	return stand.FrontAddress(s.fleet.machines[s.cfg.Controls+i%s.cfg.Entries].ip, firstPort)
}

// needOf returns a task's step and need, false when no caller sent such a task.
func (s *soak) needOf(id batch.TaskID) (batch.Step, batch.Resources, bool) {
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
		g = &gang{members: map[int]bool{}, size: size, created: time.Now()}
		s.gangs[key] = g
	}
	g.members[id.Index] = true
	if len(g.members) == g.size && g.full.IsZero() {
		g.full = time.Now()
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

// finish waits until all accepted jobs have ended, and reads the configuration back at every machine.
func (s *soak) finish(ctx context.Context) {
	deadline := time.Now().Add(s.cfg.Settle)
	caller := s.caller()
	for n := 0; ; n++ {
		open := s.ledger.unfinished()
		if len(open) == 0 || ctx.Err() != nil {
			break
		}
		if time.Now().After(deadline) {
			s.ledger.violate("LOST: %d accepted jobs have not ended %v after the last fault: %v", len(open), s.cfg.Settle, open[:min(len(open), 5)])
			break
		}
		for _, id := range open {
			s.ledger.mu.Lock()
			j := s.ledger.jobs[id]
			s.ledger.mu.Unlock()
			s.ask(ctx, caller, j, n)
		}
		sleep(ctx, finishInterval)
	}
	for i := range s.fleet.machines {
		if !s.readAt(ctx, caller, i) {
			s.ledger.violate("CONFIG: %s does not answer a read at the end", s.fleet.machines[i].name)
		}
	}
}
