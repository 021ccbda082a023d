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

const routeUsage = `Measures the request path on loopback in under 50 s. This process runs the entries, a
second one the fake executors and a third one the load generator. Each figure under load is
compared with a round-robin baseline without retry budgets in the same run. The last line
is the summary.`

const (
	entryInstances   = 9
	executorCount    = 48
	slotsPerExecutor = 8
	totalSlots       = executorCount * slotsPerExecutor
	// meanWorkUS is the mean service time at the executor in the phases under load, in microseconds.
	meanWorkUS = 100_000.0
	// maxWorkFactor bounds service times as a multiple of the mean, so that phases end.
	// boundedMeanShare is the mean of the bounded distribution as a share of meanWorkUS.
	maxWorkFactor    = 5.0
	boundedMeanShare = 1 - 0.00674
	// capacityPerSecond is the number of requests per second that all slots can serve.
	capacityPerSecond = totalSlots / (meanWorkUS * boundedMeanShare / 1e6)
)

var dataCentres = []string{"scl-1", "scl-2", "scl-3", "scl-4"}

func routeCommand() *ffcli.Command {
	fs := flag.NewFlagSet("bench route", flag.ContinueOnError)
	role := fs.String("role", "", "internal: the role of a child process (load or stand)")
	only := fs.String("only", "", "run only this phase: overhead, share, memory, keyed, load, overload, slow, leave, reset")
	return &ffcli.Command{
		Name: "route", ShortUsage: "bench route [-only phase]", ShortHelp: "measures the request path",
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

// routeBench holds the state that the phases share.
type routeBench struct {
	replica          *memoryReplica
	fakes            *child
	load             *child
	entryURLs        []string // base URLs of the entries
	baselineURLs     []string // base URLs of the baseline
	baselines        []*baseline
	entryMetrics     *metrics.Set
	baselineAttempts atomic.Int64 // requests sent to executors by the baseline
	upstreams        []model.Upstream
	summary          summary
}

// summary holds the figures of the summary line.
type summary struct {
	p50Ratio, p99Ratio, keyedP50Ratio float64
	goodputShare, amplification       float64
	fullShare, leavingSeconds         float64
	doubleRuns, falseNotRun           int
	wrongResponses                    int
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
		s.p50Ratio, s.p99Ratio, s.keyedP50Ratio, s.goodputShare, s.amplification, s.fullShare, s.leavingSeconds, s.doubleRuns, s.falseNotRun, s.wrongResponses)
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

// startEntries starts the entries and a baseline proxy for each, which run until ctx ends.
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
	go srv.Serve(l)                                //nolint:errcheck // runs until the process ends
	context.AfterFunc(ctx, func() { srv.Close() }) //nolint:errcheck // the process ends
	return "http://" + l.Addr().String() + "/v1/services/" + serviceName, nil
}

// startExecutors replaces the executors with n new ones and waits until all entries use them.
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
	// Entries apply changes within 50 ms and probe new executors immediately.
	time.Sleep(400 * time.Millisecond)
	debug.FreeOSMemory()
	return nil
}

// sendLoad runs one load request on the load generator, with a default timeout of 5 s, and counts wrong responses.
func (b *routeBench) sendLoad(req loadRequest) (loadResponse, error) {
	if req.Timeout == 0 {
		req.Timeout = 5 * time.Second
	}
	var resp loadResponse
	if err := b.load.call(req, &resp); err != nil {
		return resp, err
	}
	b.summary.wrongResponses += resp.Wrong
	return resp, nil
}

// readAndResetStats returns the statistics of the executors since the last reset and
// resets them. If count is set, it adds the violations to the summary.
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

// entryAttempts returns the number of requests that the entries have sent to executors.
func (b *routeBench) entryAttempts() int64 {
	return int64(b.entryMetrics.GetOrCreateCounter("turmericroute_entry_attempts_total").Get())
}
