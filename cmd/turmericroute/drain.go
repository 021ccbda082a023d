package main

import (
	"context"

	"turmericroute/client"
	"turmericroute/config"
	"turmericroute/model"
)

const drainUsage = `
Takes a data centre or a worker out of service. No new task starts there within
3 s; running gangs in a data centre are moved whole. Draining twice is safe.

EXAMPLES
  turmericroute drain -reason "cooling repair" data-centre norte
  turmericroute drain -reason "bad memory" worker norte-r1-w3`

const (
	kindDataCentre = "data-centre"
	kindWorker     = "worker"
	// drainTries bounds how often a drain is made anew after an unrelated change came first.
	drainTries = 5
)

func drainCommand() leaf {
	p := &patchFlags{}
	return leaf{
		name: "drain", args: "data-centre|worker NAME", short: "take a data centre or worker out of service",
		long: drainUsage, minArgs: 2, maxArgs: 2, flags: p.registerReason,
		run: call(func(ctx context.Context, s *session, c *client.Client, args []string) error {
			if p.reason == "" {
				return usagef(`add -reason "TEXT"`, "a drain needs a reason for the history")
			}
			return s.setService(ctx, c, p, target{kind: args[0], name: args[1], out: true, reason: p.reason})
		}),
	}
}

// target is a data centre or worker and whether it is to be out of service.
type target struct {
	kind, name, reason string
	out                bool
}

// state returns whether the target exists and is out of service.
func (t target) state(cfg config.Config) (exists, out bool) {
	if t.kind == kindWorker {
		return true, cfg.Drained(t.name)
	}
	dc, ok := cfg.DataCentre(t.name)
	return ok, dc.OutOfService
}

func (t target) change() config.Change {
	switch {
	case t.kind == kindDataCentre:
		return config.Change{SetDataCentre: &config.DataCentreInService{Name: t.name, OutOfService: t.out, Reason: t.reason}}
	case t.out:
		return config.Change{DrainWorker: &config.Drain{Worker: t.name, Reason: t.reason}}
	default:
		return config.Change{UndrainWorker: t.name}
	}
}

// setService sends the patch for a target. When another change was accepted
// first, it is made anew only while the target itself is as it was at first.
func (s *session) setService(ctx context.Context, c *client.Client, p *patchFlags, t target) error {
	if t.kind != kindDataCentre && t.kind != kindWorker {
		return usagef(suggestion(t.kind, []string{kindDataCentre, kindWorker}, "turmericroute drain -h"), "cannot drain a %q", t.kind)
	}
	cfg, err := c.Config(ctx)
	if err != nil {
		return err
	}
	exists, before := t.state(cfg)
	if !exists {
		return usagef("list them with: turmericroute config get", "no data centre is named %q", t.name)
	}
	if before == t.out {
		return s.send(ctx, c, config.Patch{BaseVersion: cfg.Version})
	}
	for try := 1; ; try++ {
		patch, err := config.NewPatch(cfg.Version, p.author, p.reason, []config.Change{t.change()})
		if err != nil {
			return err
		}
		err = s.send(ctx, c, patch)
		if err == nil || model.AsError(err).Code != model.CodeStaleVersion || try == drainTries {
			return err
		}
		if cfg, err = c.Config(ctx); err != nil {
			return err
		}
		if _, now := t.state(cfg); now != before {
			return s.send(ctx, c, config.Patch{BaseVersion: cfg.Version})
		}
	}
}
