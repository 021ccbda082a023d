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
Takes a data centre or worker out of service and waits until no task runs there.
New tasks stop starting there within 3 s after the change is accepted. Running
gangs in a data centre are moved whole; those on a worker run to completion.
Progress goes to standard error. If -timeout expires first, the command exits
with 6; the change is in force, and repeating the command resumes the wait.
Draining twice is safe.

With -plan nothing is changed; it shows which guarantees would be short and which
jobs would be stopped.

EXAMPLES
  turmericroute drain -reason "cooling repair" data-centre norte
  turmericroute drain -plan -reason "cooling repair" data-centre norte
  turmericroute drain -reason "bad memory" -wait=false worker norte-r1-w3`

const (
	kindDataCentre = "data-centre"
	kindWorker     = "worker"
	// maxDrainAttempts bounds how often a patch is sent, rebased each time on an unrelated change that was accepted first.
	maxDrainAttempts = 5
	// drainTimeout is the default -timeout of drain and undrain: gangs on a lost worker
	// are moved once its lease of 10 s has expired, and large gangs start one at a time.
	drainTimeout = 2 * time.Minute
)

// drainFlags holds the flags of drain and undrain.
type drainFlags struct {
	patchFlags
	plan, wait bool
}

func (f *drainFlags) register(fs *flag.FlagSet) {
	f.registerReason(fs)
	fs.BoolVar(&f.plan, "plan", false, "show the effects without changing anything")
	fs.BoolVar(&f.wait, "wait", true, "wait until the change is complete")
}

func drainCommand() commandSpec {
	f := &drainFlags{}
	return commandSpec{
		name: "drain", args: "data-centre|worker NAME", short: "take a data centre or worker out of service",
		long: drainUsage, minArgs: 2, maxArgs: 2, flags: f.register, timeout: drainTimeout,
		run: withClient(func(ctx context.Context, s *session, c *client.Client, args []string) error {
			if f.reason == "" {
				return usagef(`add -reason "TEXT"`, "a drain needs a reason for the history")
			}
			return s.setDrained(ctx, c, f, drainTarget{kind: args[0], name: args[1], drain: true, reason: f.reason})
		}),
	}
}

// drainTarget is a data centre or worker and the desired state: drain takes it out of service.
type drainTarget struct {
	kind, name, reason string
	drain              bool
}

// lookUp reports whether the target exists and whether it is out of service. Every
// worker name counts as existing, since worker names are not declared.
func (t drainTarget) lookUp(cfg config.Config) (exists, drained bool) {
	if t.kind == kindWorker {
		return true, cfg.Drained(t.name)
	}
	dc, ok := cfg.DataCentre(t.name)
	return ok, dc.OutOfService
}

func (t drainTarget) change() config.Change {
	switch {
	case t.kind == kindDataCentre:
		return config.Change{SetDataCentre: &config.DataCentreState{Name: t.name, OutOfService: t.drain, Reason: t.reason}}
	case t.drain:
		return config.Change{DrainWorker: &config.Drain{Worker: t.name, Reason: t.reason}}
	default:
		return config.Change{UndrainWorker: t.name}
	}
}

// setDrained takes the target out of service or returns it, and with -wait waits until that is complete.
func (s *session) setDrained(ctx context.Context, c *client.Client, f *drainFlags, t drainTarget) error {
	if t.kind != kindDataCentre && t.kind != kindWorker {
		return usagef(suggestion(t.kind, []string{kindDataCentre, kindWorker}, "turmericroute drain -h"), "cannot drain a %q", t.kind)
	}
	cfg, err := c.Config(ctx)
	if err != nil {
		return err
	}
	exists, drained := t.lookUp(cfg)
	if !exists {
		return usagef("list them with: turmericroute config get", "no data centre is named %q", t.name)
	}
	patch := config.Patch{BaseVersion: cfg.Version}
	if drained != t.drain {
		if patch, err = config.NewPatch(cfg.Version, f.author, f.reason, []config.Change{t.change()}); err != nil {
			return err
		}
	}
	if f.plan {
		return s.showPlan(ctx, c, patch, cfg)
	}
	patch, res, err := s.commitDrain(ctx, c, f, t, patch)
	if err != nil {
		return err
	}
	if !s.json {
		printPatchResult(s.out, patch, res)
	}
	return s.finishDrain(ctx, c, f, t, res)
}

// commitDrain sends the patch for a target. If another change was accepted first,
// it sends a new patch against that version, unless the target already has the desired state.
func (s *session) commitDrain(ctx context.Context, c *client.Client, f *drainFlags, t drainTarget, patch config.Patch) (config.Patch, webapi.PatchResult, error) {
	for attempt := 1; ; attempt++ {
		res, err := s.applyPatch(ctx, c, patch)
		if err == nil || model.AsError(err).Code != model.CodeStaleVersion || attempt == maxDrainAttempts {
			return patch, res, err
		}
		cfg, err := c.Config(ctx)
		if err != nil {
			return patch, res, err
		}
		if _, drained := t.lookUp(cfg); drained == t.drain {
			empty := config.Patch{BaseVersion: cfg.Version}
			return empty, webapi.PatchResult{Version: cfg.Version}, nil
		}
		if patch, err = config.NewPatch(cfg.Version, f.author, f.reason, []config.Change{t.change()}); err != nil {
			return patch, res, err
		}
	}
}
