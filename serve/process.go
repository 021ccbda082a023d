package serve

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	stdlog "log"
	"math"
	"net"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"golang.org/x/net/netutil"

	"turmericroute/auth"
	"turmericroute/clock"
	"turmericroute/config"
	"turmericroute/entry"
	"turmericroute/model"
	"turmericroute/state"
	"turmericroute/webapi"
)

// closeTimeout bounds the transfer of leadership at the end of a shutdown; an election takes up to 800 ms.
const closeTimeout = 5 * time.Second

// Node is the process's member of the replicated log; package ctrl implements it.
type Node interface {
	webapi.Replica
	Start(ctx context.Context) error
	Close(ctx context.Context) error
	// Failed returns a channel that is closed when the log can no longer be written.
	Failed() <-chan struct{}
	Dump() any
}

// Services routes requests to upstreams; package entry implements it.
type Services interface {
	webapi.ServiceHandler
	Run(ctx context.Context)
	Drain(ctx context.Context) error
	Ready() error
	States() []entry.ServiceState
	Dump() any
}

// Components are the dependencies of a Process.
type Components struct {
	Node     Node
	Services Services
	Metrics  *metrics.Set
	Logger   log.Logger
	// Tokens authenticates callers; nil means that callers are not authenticated and may call everything.
	Tokens webapi.Authenticator
	// TLSKeys holds the certificate and key of the HTTP listener; nil means no TLS.
	TLSKeys *auth.TLSKeys
	// CheckConfig and CheckJob validate configurations and jobs for the HTTP API.
	CheckConfig func(config.Config) []string
	CheckJob    func(config.Config, model.JobSpec) error
}

// Process is one instance of the deployment.
type Process struct {
	settings      Settings
	components    Components
	server        *http.Server
	requests      *Requests
	started       time.Time
	configMetrics *configMetrics
	gaugedTeamsMu sync.Mutex
	// gaugedTeams holds the teams that have a gauge of queued requests.
	gaugedTeams map[string]bool
	// unready is set at the start of a shutdown, closing after the drain delay.
	unready, closing atomic.Bool
}

// NewProcess returns a process that is not running yet.
func NewProcess(s Settings, c Components) *Process {
	if c.Metrics == nil {
		c.Metrics = metrics.NewSet()
	}
	p := &Process{settings: s, components: c, requests: NewRequests(), started: time.Now(), gaugedTeams: map[string]bool{}}
	p.configMetrics = newConfigMetrics(c.Metrics, c.Node)
	api := webapi.New(webapi.Config{
		Replica: c.Node, Entry: c.Services, Logger: c.Logger, Metrics: c.Metrics, Dump: p.dump, Ready: p.ready,
		Closing: p.closing.Load, Tokens: c.Tokens, CheckConfig: c.CheckConfig, CheckJob: c.CheckJob,
		Peers: s.apiPeers(), Executors: p.executors, Refresh: p.refreshQueueGauges,
	})
	p.server = &http.Server{
		Handler: RecoverRequests(api, c.Logger, c.Metrics), ReadHeaderTimeout: s.Limits.ReadHeaderTimeout, IdleTimeout: s.Limits.IdleTimeout,
		MaxHeaderBytes: s.Limits.MaxHeaderBytes, BaseContext: p.requests.BaseContext,
		ErrorLog: stdlog.New(log.NewStdlibAdapter(level.Warn(c.Logger), log.MessageKey("err")), "", 0),
	}
	return p
}

// ready returns nil if the instance can serve requests, or else the reason why it can't.
func (p *Process) ready() error {
	if p.unready.Load() {
		return errors.New("shutting down")
	}
	switch age := p.components.Node.ViewAge(); {
	case age == math.MaxInt64:
		return errors.New("no contact with a leader since the start")
	case age > model.MaxViewAge:
		return fmt.Errorf("view of the state is %d ms old; the limit is %d ms", age.Milliseconds(), model.MaxViewAge.Milliseconds())
	}
	return p.components.Services.Ready()
}

// executors returns the executor counts of each service, as this instance observes them.
func (p *Process) executors() []webapi.ExecutorCounts {
	states := p.components.Services.States()
	counts := make([]webapi.ExecutorCounts, len(states))
	for i, st := range states {
		counts[i] = webapi.ExecutorCounts{Service: st.Service, Usable: st.Usable, Ejected: st.Ejected, Silent: st.Silent}
		for _, n := range st.Queued {
			counts[i].Queued += n
		}
	}
	return counts
}

// Run listens, serves until ctx ends and then shuts down gracefully.
func (p *Process) Run(ctx context.Context) error {
	l, err := net.Listen("tcp", p.settings.HTTP.Address)
	if err != nil {
		return fmt.Errorf("listen for HTTP: %w", err)
	}
	return p.Serve(ctx, l)
}

// Serve does the same as Run on an open listener. It also shuts down when the
// HTTP server or the replicated log fails, and returns the cause.
func (p *Process) Serve(ctx context.Context, l net.Listener) error {
	p.warnInsecure()
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	if err := p.components.Node.Start(runCtx); err != nil {
		l.Close()
		return fmt.Errorf("start replica: %w", err)
	}
	var background sync.WaitGroup
	background.Go(func() { p.components.Services.Run(runCtx) })
	background.Go(func() { p.configMetrics.watch(runCtx, p.components.Node) })
	listener := netutil.LimitListener(l, p.settings.Limits.MaxConnections)
	if p.components.TLSKeys != nil {
		listener = tls.NewListener(listener, p.components.TLSKeys.ServerConfig())
	}
	serveEnded := make(chan error, 1)
	go func() { serveEnded <- p.server.Serve(listener) }()
	level.Info(p.components.Logger).Log("event", "started", "name", p.settings.Name, "http", l.Addr(), "grpc", p.settings.GRPC.Address)
	var serveErr error
	select {
	case <-ctx.Done():
	case serveErr = <-serveEnded:
		serveErr = fmt.Errorf("serve HTTP: %w", serveErr)
	case <-p.components.Node.Failed():
		serveErr = errors.New("the replicated log can no longer be written; see the preceding log lines")
	}
	err := errors.Join(serveErr, p.shutdown(runCtx))
	cancel()
	background.Wait()
	return err
}

func (p *Process) warnInsecure() {
	if p.settings.Insecure && (p.settings.HTTP.TLS == nil || p.settings.Tokens == "" || p.settings.GRPC.TLS == nil) {
		level.Warn(p.components.Logger).Log("event", "insecure", "message", "TLS or tokens are missing; anyone who reaches the listeners can read and change everything")
	}
}

// shutdown reports not ready for the drain delay, so that the load balancer can
// react, then refuses new requests, waits for those in flight, transfers
// leadership and closes the node.
func (p *Process) shutdown(ctx context.Context) error {
	info := level.Info(p.components.Logger)
	p.unready.Store(true)
	info.Log("event", "shutdown_started", "drain_delay", p.settings.DrainDelay)
	clock.Sleep(ctx, p.settings.DrainDelay)
	p.closing.Store(true)
	p.server.SetKeepAlivesEnabled(false)
	info.Log("event", "shutdown_refusing", "shutdown_timeout", p.settings.ShutdownTimeout)
	drainCtx, cancelDrain := context.WithTimeout(ctx, p.settings.ShutdownTimeout)
	defer cancelDrain()
	var errs []error
	if err := p.components.Services.Drain(drainCtx); err != nil {
		errs = append(errs, fmt.Errorf("finish requests to upstreams: %w", err))
	}
	if err := p.requests.Finish(drainCtx, p.server); err != nil {
		errs = append(errs, err)
	}
	closeCtx, cancelClose := context.WithTimeout(ctx, closeTimeout)
	defer cancelClose()
	if err := p.components.Node.Close(closeCtx); err != nil {
		errs = append(errs, fmt.Errorf("close replica: %w", err))
	}
	err := errors.Join(errs...)
	info.Log("event", "shutdown_finished", "error", err)
	return err
}

// processDump is the response to GET /dump; it holds no secrets.
type processDump struct {
	Settings      any                 `json:"settings"`
	StartedMS     int64               `json:"started_ms"`
	Unready       bool                `json:"unready"`
	Closing       bool                `json:"closing"`
	Goroutines    int                 `json:"goroutines"`
	HeapBytes     uint64              `json:"heap_bytes"`
	Replica       state.ReplicaStatus `json:"replica"`
	ConfigVersion uint64              `json:"config_version"`
	Control       any                 `json:"control"`
	Entry         any                 `json:"entry"`
}

func (p *Process) dump() any {
	var mem runtime.MemStats
	runtime.ReadMemStats(&mem)
	return processDump{
		Settings: p.settings.asYAML(), StartedMS: p.started.UnixMilli(), Unready: p.unready.Load(), Closing: p.closing.Load(),
		Goroutines: runtime.NumGoroutine(), HeapBytes: mem.HeapAlloc,
		Replica: p.components.Node.Status(), ConfigVersion: p.components.Node.Machine().Config().Version,
		Control: p.components.Node.Dump(), Entry: p.components.Services.Dump(),
	}
}
