package main

import (
	"context"
	"flag"
	"time"

	"turmericroute/client"
	"turmericroute/config"
	"turmericroute/model"
	"turmericroute/webapi"
)

const drainUsage = `
Takes a data centre or a worker out of service and waits until no task runs
there. No new task starts there 3 s after the change is accepted at the latest.
Running gangs in a data centre are moved whole; those on a worker run to their
end. Progress goes to standard error. When -timeout passes first, the command
exits with 6: the change is in force, and running the command again goes on
waiting. Draining twice is safe.

With -plan nothing is changed: it shows which guarantees would be short and
which jobs would be stopped.

EXAMPLES
  turmericroute drain -reason "cooling repair" data-centre norte
  turmericroute drain -plan -reason "cooling repair" data-centre norte
  turmericroute drain -reason "bad memory" -wait=false worker norte-r1-w3`

const (
	kindDataCentre = "data-centre"
	kindWorker     = "worker"
	// drainTries bounds how often a drain is made anew after an unrelated change came first.
	drainTries = 5
	// drainTimeout is the default wait of drain and undrain: gangs on a lost
	// worker leave after their lease of 10 s, and large ones start one after another.
	drainTimeout = 2 * time.Minute
)

// serviceFlags are the flags of drain and undrain.
type serviceFlags struct {
	patchFlags
	plan, wait bool
}

func (f *serviceFlags) register(fs *flag.FlagSet) {
	f.registerReason(fs)
	fs.BoolVar(&f.plan, "plan", false, "show what it would do and change nothing")
	fs.BoolVar(&f.wait, "wait", true, "wait until it is complete")
}

func drainCommand() leaf {
	f := &serviceFlags{}
	return leaf{
		name: "drain", args: "data-centre|worker NAME", short: "take a data centre or worker out of service",
		long: drainUsage, minArgs: 2, maxArgs: 2, flags: f.register, timeout: drainTimeout,
		run: call(func(ctx context.Context, s *session, c *client.Client, args []string) error {
			if f.reason == "" {
				return usagef(`add -reason "TEXT"`, "a drain needs a reason for the history")
			}
			return s.setService(ctx, c, f, target{kind: args[0], name: args[1], out: true, reason: f.reason})
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
		return config.Change{SetDataCentre: &config.DataCentreState{Name: t.name, OutOfService: t.out, Reason: t.reason}}
	case t.out:
		return config.Change{DrainWorker: &config.Drain{Worker: t.name, Reason: t.reason}}
	default:
		return config.Change{UndrainWorker: t.name}
	}
}

// setService takes the target out of service or returns it, and waits until that is complete.
func (s *session) setService(ctx context.Context, c *client.Client, f *serviceFlags, t target) error {
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
	patch := config.Patch{BaseVersion: cfg.Version}
	if before != t.out {
		if patch, err = config.NewPatch(cfg.Version, f.author, f.reason, []config.Change{t.change()}); err != nil {
			return err
		}
	}
	if f.plan {
		return s.showPlan(ctx, c, patch, cfg)
	}
	patch, res, err := s.commitService(ctx, c, f, t, patch)
	if err != nil {
		return err
	}
	if !s.json {
		patchedText(s.out, patch, res)
	}
	return s.finishService(ctx, c, f, t, res)
}

// commitService sends the patch for a target. When another change was accepted
// first, it is made anew only while the target itself is as it was at first.
func (s *session) commitService(ctx context.Context, c *client.Client, f *serviceFlags, t target, patch config.Patch) (config.Patch, webapi.PatchResult, error) {
	for try := 1; ; try++ {
		res, err := s.commit(ctx, c, patch)
		if err == nil || model.AsError(err).Code != model.CodeStaleVersion || try == drainTries {
			return patch, res, err
		}
		cfg, err := c.Config(ctx)
		if err != nil {
			return patch, res, err
		}
		if _, now := t.state(cfg); now == t.out {
			none := config.Patch{BaseVersion: cfg.Version}
			return none, webapi.PatchResult{Version: cfg.Version}, nil
		}
		if patch, err = config.NewPatch(cfg.Version, f.author, f.reason, []config.Change{t.change()}); err != nil {
			return patch, res, err
		}
	}
}
