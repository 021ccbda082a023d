package serve

import (
	"context"
	"errors"
	"fmt"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"turmericroute/auth"
	"turmericroute/ctrl"
	"turmericroute/entry"
	"turmericroute/gang"
	"turmericroute/place"
)

// Run runs an instance until ctx ends and then shuts it down gracefully.
func Run(ctx context.Context, s Settings, logger log.Logger) error {
	components, err := assemble(s, logger)
	if err != nil {
		return err
	}
	return NewProcess(s, components).Run(ctx)
}

// assemble creates the components of a process. Every process serves the whole
// HTTP API, so each routes requests to upstreams, whatever its roles.
func assemble(s Settings, logger log.Logger) (Components, error) {
	set := metrics.NewSet()
	cfg := ctrl.Config{
		Name: s.Name, DataCentre: s.DataCentre, Address: s.GRPC.Address, DataDir: s.DataFolder, Bootstrap: s.Bootstrap,
		Logger: log.With(logger, "part", "control"), Metrics: set,
	}
	for _, p := range s.Peers {
		cfg.Peers = append(cfg.Peers, ctrl.Peer{Name: p.Name, Address: p.GRPCAddress, Control: p.Control})
	}
	if s.Has(RoleControl) {
		cfg.Leader = gang.New(gang.Config{Logger: log.With(logger, "part", "gang"), Metrics: set, Place: place.Config{}})
	}
	c := Components{Metrics: set, Logger: logger, CheckConfig: Shortages, CheckJob: place.CheckJob}
	if err := addCredentials(s, &c, &cfg); err != nil {
		return Components{}, err
	}
	node, err := ctrl.New(cfg)
	if err != nil {
		return Components{}, fmt.Errorf("open replica: %w", err)
	}
	c.Node = node
	c.Services = entry.New(entry.Config{
		Replica: node, Name: s.Name, DataCentre: s.DataCentre, Logger: log.With(logger, "part", "entry"), Metrics: set,
		Entries: s.instanceNames, MaxBodyBytes: int64(s.Limits.MaxBodyBytes),
	})
	return c, nil
}

// addCredentials reads the TLS keys and the tokens and adds them to the
// components and to the configuration of the replica.
func addCredentials(s Settings, c *Components, cfg *ctrl.Config) error {
	opts := auth.ReloadOptions{OnError: func(err error) { level.Error(c.Logger).Log("event", "reload_failed", "err", err) }}
	if s.HTTP.TLS != nil {
		keys, err := auth.ReadTLSKeys(*s.HTTP.TLS, opts)
		if err != nil {
			return fmt.Errorf("set up TLS of the HTTP listener: %w", err)
		}
		c.TLSKeys = keys
	}
	if s.GRPC.TLS != nil {
		keys, err := auth.ReadTLSKeys(*s.GRPC.TLS, opts)
		if err != nil {
			return fmt.Errorf("set up TLS of the gRPC listener: %w", err)
		}
		cfg.Credentials = keys.PeerCredentials(s.instanceNames(), warnRefusedPeers(c.Logger))
	}
	if s.Tokens == "" {
		return nil
	}
	tokens, faults, err := auth.ReadTokens(s.Tokens, opts)
	if err == nil && len(faults) > 0 {
		err = errors.New(faults[0].String())
	}
	if err != nil {
		return fmt.Errorf("load tokens: %w", err)
	}
	c.Tokens = tokens
	return nil
}

// instanceNames returns the names of all instances, which share team limits and
// connections. An instance that is down keeps its share until the settings
// change, so limits hold without agreement on which instances are up.
func (s Settings) instanceNames() []string {
	names := make([]string, len(s.Peers))
	for i, p := range s.Peers {
		names[i] = p.Name
	}
	return names
}
