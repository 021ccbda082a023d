package main

import (
	"context"
	"flag"
	"fmt"
	"net"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/peterbourgon/ff/v3/ffcli"

	"turmericroute/config"
	"turmericroute/entry"
	"turmericroute/model"
	"turmericroute/state"
)

const routeUsage = `Measures the request path on loopback in under 50 s: this process holds the entries,
a second one the stand-ins for executors and a third one the load. Each figure under load
is set against a round-robin baseline without budgets in the same run. The last line is
the summary.`

const (
	entryInstances   = 9
	executorCount    = 48
	slotsPerExecutor = 8
	totalSlots       = executorCount * slotsPerExecutor
	// meanWorkUS is the mean time of a request at its executor in the phases under load.
	meanWorkUS = 100_000.0
	// maxWorkFactor bounds the time of a request in multiples of the mean, so that phases end;
	// boundedMeanShare is what the bound leaves of the mean.
	maxWorkFactor    = 5.0
	boundedMeanShare = 1 - 0.00674
	// capacityPerSecond is what all slots can serve.
	capacityPerSecond = totalSlots / (meanWorkUS * boundedMeanShare / 1e6)
)

var dataCentres = []string{"scl-1", "scl-2", "scl-3", "scl-4"}

func routeCommand() *ffcli.Command {
	fs := flag.NewFlagSet("bench route", flag.ContinueOnError)
	role := fs.String("role", "", "internal: the part of a second process (load or stand)")
	only := fs.String("only", "", "run only this phase: overhead, share, memory, keyed, load, overload, slow, leave, reset")
	return &ffcli.Command{
		Name: "route", ShortUsage: "bench route [-only phase]", ShortHelp: "measure the request path",
		LongHelp: routeUsage, FlagSet: fs,
		Exec: func(ctx context.Context, _ []string) error {
			switch *role {
			case "load":
				return runLoad()
			case "stand":
				return runFakes()
			}
			return runRoute(ctx, *only)
		},
	}
}

// routeBench holds what the phases share.
type routeBench struct {
	replica          *memoryReplica
	fakes            *child
	load             *child
	entryURLs        []string // base URLs
	baselineURLs     []string // base URLs of the baseline
	baselines        []*baseline
	entryMetrics     *metrics.Set
	baselineAttempts atomic.Int64 // of the baseline
	upstreams        []model.Upstream
	summary          summary
}

// summary holds the figures of the last line.
type summary struct {
	p50Ratio, p99Ratio, keyedP50Ratio float64
	goodputShare, amplification       float64
	fullShare, leavingSeconds         float64
	doubleRuns, falseNotRun           int
	wrongAnswers                      int
}

func runRoute(ctx context.Context, only string) error {
	b := &routeBench{replica: &memoryReplica{machine: state.New()}, entryMetrics: metrics.NewSet()}
	var err error
	if b.fakes, err = startChild("stand"); err != nil {
		return err
	}
	defer b.fakes.stop()
	if b.load, err = startChild("load"); err != nil {
		return err
	}
	defer b.load.stop()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	b.configure()
	if err := b.startEntries(ctx); err != nil {
		return err
	}
	phases := []struct {
		name string
		run  func() error
	}{
		{"overhead", b.measureOverhead}, {"share", b.measureThroughput}, {"memory", b.measureMemory}, {"keyed", b.measureKeyed},
		{"load", b.measureLoad}, {"overload", b.measureOverload}, {"slow", b.measureSlow}, {"leave", b.measureLeave}, {"reset", b.measureReset},
	}
	for _, p := range phases {
		if only != "" && only != p.name {
			continue
		}
		start := time.Now()
		if err := p.run(); err != nil {
			return fmt.Errorf("phase %s: %w", p.name, err)
		}
		fmt.Printf("# %s took %.1f s\n", p.name, time.Since(start).Seconds())
	}
	if only != "" {
		return nil
	}
	s := b.summary
	fmt.Printf("p50_ratio=%.2f p99_ratio=%.2f nonidempotent_p50_ratio=%.2f goodput_share=%.3f retry_amplification=%.3f "+
		"full_executor_share=%.4f leaving_s=%.3f double_runs=%d false_not_run=%d wrong_answers=%d\n",
		s.p50Ratio, s.p99Ratio, s.keyedP50Ratio, s.goodputShare, s.amplification, s.fullShare, s.leavingSeconds, s.doubleRuns, s.falseNotRun, s.wrongAnswers)
	return nil
}

// configure commits the configuration that all phases use.
func (b *routeBench) configure() {
	var changes []config.Change
	for _, dc := range dataCentres {
		changes = append(changes, config.Change{PutDataCentre: &config.DataCentre{Name: dc}})
	}
	changes = append(changes,
		config.Change{PutService: &config.Service{Name: serviceName, Connections: 64}},
		config.Change{PutTeam: &config.Team{Name: teamName, Services: []string{serviceName}}})
	b.applyPatch(changes...)
}

func (b *routeBench) applyPatch(changes ...config.Change) {
	v := b.replica.machine.Config().Version
	b.replica.apply(state.PatchConfig{Patch: config.Patch{ID: fmt.Sprint("p", v), BaseVersion: v, Changes: changes}})
}

// startEntries starts the entries and the baseline.
func (b *routeBench) startEntries(ctx context.Context) error {
	names := make([]string, entryInstances)
	for i := range names {
		names[i] = fmt.Sprintf("entry-%d", i)
	}
	for i, name := range names {
		e := entry.New(entry.Config{
			Replica: b.replica, Name: name, DataCentre: dataCentres[i%len(dataCentres)], Metrics: b.entryMetrics,
			Entries: func() []string { return names },
		})
		go e.Run(ctx)
		url, err := serveHTTP(ctx, http.HandlerFunc(e.ServeService))
		if err != nil {
			return err
		}
		b.entryURLs = append(b.entryURLs, url)
		base := newBaseline(b.replica.machine, &b.baselineAttempts)
		b.baselines = append(b.baselines, base)
		url, err = serveHTTP(ctx, base)
		if err != nil {
			return err
		}
		b.baselineURLs = append(b.baselineURLs, url)
	}
	return nil
}

func serveHTTP(ctx context.Context, h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("listen: %w", err)
	}
	mux := http.NewServeMux()
	mux.Handle("/v1/services/{service}/{path...}", h)
	srv := &http.Server{Handler: mux}
	go srv.Serve(l)                                //nolint:errcheck // ends with the process
	context.AfterFunc(ctx, func() { srv.Close() }) //nolint:errcheck // ends with the process
	return "http://" + l.Addr().String() + "/v1/services/" + serviceName, nil
}

// startExecutors starts n startExecutors in place of the present ones and waits until all entries use them.
func (b *routeBench) startExecutors(n, slots int) error {
	var resp fakesResponse
	for _, u := range b.upstreams {
		b.replica.apply(state.LeaveUpstream{Name: u.Name, Incarnation: u.Incarnation})
	}
	if err := b.fakes.call(fakesRequest{Op: "start", Count: n, Slots: slots, DataCentres: dataCentres}, &resp); err != nil {
		return err
	}
	b.upstreams = resp.Upstreams
	for _, u := range b.upstreams {
		b.replica.apply(state.AnnounceUpstream{Upstream: u})
	}
	// Entries take over changes within 50 ms and probe new executors at once.
	time.Sleep(400 * time.Millisecond)
	debug.FreeOSMemory()
	return nil
}

// sendLoad sends one piece of load.
func (b *routeBench) sendLoad(req loadRequest) (loadResponse, error) {
	if req.Timeout == 0 {
		req.Timeout = 5 * time.Second
	}
	var resp loadResponse
	if err := b.load.call(req, &resp); err != nil {
		return resp, err
	}
	b.summary.wrongAnswers += resp.Wrong
	return resp, nil
}

// readAndResetStats returns what the executors ran since the last reset of the readAndResetStats, and adds up violations.
func (b *routeBench) readAndResetStats(notRun []string, count bool) (fakesResponse, error) {
	var st fakesResponse
	if err := b.fakes.call(fakesRequest{Op: "stats", NotRun: notRun}, &st); err != nil {
		return st, err
	}
	if count {
		b.summary.doubleRuns += st.DoubleKeys
		b.summary.falseNotRun += st.FalseNotRun
	}
	var ignored fakesResponse
	return st, b.fakes.call(fakesRequest{Op: "reset"}, &ignored)
}

// entryAttempts returns the requests sent to executors by the entries so far.
func (b *routeBench) entryAttempts() int64 {
	return int64(b.entryMetrics.GetOrCreateCounter("turmericroute_entry_attempts_total").Get())
}
