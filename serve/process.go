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

// closeTimeout bounds the hand-over of leadership at the end of a shutdown; an election takes up to 800 ms.
const closeTimeout = 5 * time.Second

// Node is the process's part in the replicated log; package ctrl implements it.
type Node interface {
	webapi.Replica
	Start(ctx context.Context) error
	Close(ctx context.Context) error
	// Failed returns a channel that is closed when the log can no longer be kept.
	Failed() <-chan struct{}
	Dump() any
}

// Services is the request path to upstreams; package entry implements it.
type Services interface {
	webapi.ServiceHandler
	Run(ctx context.Context)
	Drain(ctx context.Context) error
	Ready() error
	States() []entry.ServiceState
	Dump() any
}

// Components are what a process is assembled from.
type Components struct {
	Node     Node
	Services Services
	Metrics  *metrics.Set
	Logger   log.Logger
	// Tokens identifies callers; nil lets everyone do everything.
	Tokens webapi.Identifier
	// TLSKeys are the certificate of the HTTP listener; nil means no TLS.
	TLSKeys *auth.Keys
	// CheckConfig and CheckJob are handed to the HTTP API.
	CheckConfig func(config.Config) []string
	CheckJob    func(config.Config, model.JobSpec) error
}

// Process is one running instance.
type Process struct {
	settings      Settings
	components    Components
	server        *http.Server
	started       time.Time
	configMetrics *configMetrics
	// queues holds the teams that have a gauge of queued requests.
	gaugedTeamsMu sync.Mutex
	gaugedTeams   map[string]bool
	// unready is set first in a shutdown, closing after the drain delay.
	unready, closing atomic.Bool
}

// NewProcess returns a process that is not running yet.
func NewProcess(s Settings, p Components) *Process {
	if p.Metrics == nil {
		p.Metrics = metrics.NewSet()
	}
	proc := &Process{settings: s, components: p, started: time.Now(), gaugedTeams: map[string]bool{}}
	proc.configMetrics = newConfigMetrics(p.Metrics, p.Node)
	api := webapi.New(webapi.Config{
		Replica: p.Node, Entry: p.Services, Logger: p.Logger, Metrics: p.Metrics, Dump: proc.dump, Ready: proc.ready,
		Closing: proc.closing.Load, Tokens: p.Tokens, CheckConfig: p.CheckConfig, CheckJob: p.CheckJob,
		Peers: s.apiPeers(), Executors: proc.executors, Refresh: proc.refreshQueueGauges,
	})
	proc.server = &http.Server{
		Handler: api, ReadHeaderTimeout: s.Limits.ReadHeaderTimeout, IdleTimeout: s.Limits.IdleTimeout,
		MaxHeaderBytes: s.Limits.MaxHeaderBytes,
		ErrorLog:       stdlog.New(log.NewStdlibAdapter(level.Warn(p.Logger), log.MessageKey("err")), "", 0),
	}
	return proc
}

// ready returns why the load balancer should send no requests here.
func (p *Process) ready() error {
	if p.unready.Load() {
		return errors.New("shutting down")
	}
	switch age := p.components.Node.ViewAge(); {
	case age == math.MaxInt64:
		return errors.New("no leader has been heard of since the start")
	case age > model.MaxViewAge:
		return fmt.Errorf("view of the state is %d ms old, at most %d are allowed", age.Milliseconds(), model.MaxViewAge.Milliseconds())
	}
	return p.components.Services.Ready()
}

// executors returns what this instance observes of upstream executors.
func (p *Process) executors() []webapi.ExecutorCounts {
	states := p.components.Services.States()
	out := make([]webapi.ExecutorCounts, len(states))
	for i, st := range states {
		out[i] = webapi.ExecutorCounts{Service: st.Service, Usable: st.Usable, Ejected: st.Ejected, Silent: st.Silent}
		for _, n := range st.Queued {
			out[i].Queued += n
		}
	}
	return out
}

// Run serves until ctx ends and then shuts down gracefully.
func (p *Process) Run(ctx context.Context) error {
	l, err := net.Listen("tcp", p.settings.HTTP.Address)
	if err != nil {
		return fmt.Errorf("listen for HTTP: %w", err)
	}
	return p.Serve(ctx, l)
}

// Serve is Run on a listener that is open already.
func (p *Process) Serve(ctx context.Context, l net.Listener) error {
	p.warnInsecure()
	base, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	if err := p.components.Node.Start(base); err != nil {
		l.Close()
		return fmt.Errorf("start replica: %w", err)
	}
	var background sync.WaitGroup
	background.Go(func() { p.components.Services.Run(base) })
	background.Go(func() { p.configMetrics.watch(base, p.components.Node) })
	limited := netutil.LimitListener(l, p.settings.Limits.MaxConnections)
	if p.components.TLSKeys != nil {
		limited = tls.NewListener(limited, p.components.TLSKeys.Server())
	}
	failed := make(chan error, 1)
	go func() { failed <- p.server.Serve(limited) }()
	level.Info(p.components.Logger).Log("event", "started", "name", p.settings.Name, "http", l.Addr(), "grpc", p.settings.GRPC.Address)
	var serveErr error
	select {
	case <-ctx.Done():
	case serveErr = <-failed:
		serveErr = fmt.Errorf("serve HTTP: %w", serveErr)
	case <-p.components.Node.Failed():
		serveErr = errors.New("the replicated log can no longer be kept; the log lines above say why")
	}
	err := errors.Join(serveErr, p.shutdown(base))
	stop()
	background.Wait()
	return err
}

func (p *Process) warnInsecure() {
	if p.settings.Insecure && (p.settings.HTTP.TLS == nil || p.settings.Tokens == "" || p.settings.GRPC.TLS == nil) {
		level.Warn(p.components.Logger).Log("event", "insecure", "message", "TLS or tokens are missing; anyone who reaches the listeners can read and change everything")
	}
}

// shutdown lets the load balancer notice first, then refuses new requests,
// finishes those in flight, hands over leadership and closes.
func (p *Process) shutdown(ctx context.Context) error {
	info := level.Info(p.components.Logger)
	p.unready.Store(true)
	info.Log("event", "shutdown_started", "drain_delay", p.settings.DrainDelay)
	clock.Sleep(ctx, p.settings.DrainDelay)
	p.closing.Store(true)
	p.server.SetKeepAlivesEnabled(false)
	info.Log("event", "shutdown_refusing", "shutdown_timeout", p.settings.ShutdownTimeout)
	flight, cancel := context.WithTimeout(ctx, p.settings.ShutdownTimeout)
	defer cancel()
	var errs []error
	if err := p.components.Services.Drain(flight); err != nil {
		errs = append(errs, fmt.Errorf("finish requests to upstreams: %w", err))
	}
	if err := p.server.Shutdown(flight); err != nil {
		errs = append(errs, fmt.Errorf("finish requests: %w", err), p.server.Close())
	}
	closing, cancelClose := context.WithTimeout(ctx, closeTimeout)
	defer cancelClose()
	if err := p.components.Node.Close(closing); err != nil {
		errs = append(errs, fmt.Errorf("close replica: %w", err))
	}
	err := errors.Join(errs...)
	info.Log("event", "shutdown_finished", "error", err)
	return err
}

// processDump is the process state of GET /dump; it holds no secrets.
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
