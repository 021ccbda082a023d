package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"

	"turmericroute/client"
	"turmericroute/config"
	"turmericroute/webapi"
)

const configPlanUsage = `
Shows the patch that "config apply" would send, without sending it, and its
effects: which guarantees fit before and after it on the workers that answer,
which would be short with any one data centre out of service, and which running
jobs would be stopped. Data centres and workers that are out of service stay so
unless -restore is given.

With -o the patch is also written to a file for "config apply -plan".

EXAMPLES
  turmericroute config plan -f declarations/
  turmericroute config plan -f declarations/ -reason "raise quota" -o quota.json`

// patchFlags holds the flags for a patch made from declarations.
type patchFlags struct {
	path, author, reason string
	restore              bool
}

func (p *patchFlags) register(fs *flag.FlagSet) {
	declarationsFlag(fs, &p.path)
	p.registerReason(fs)
	fs.BoolVar(&p.restore, "restore", false, "return data centres and workers to service unless the declarations take them out")
}

func (p *patchFlags) registerReason(fs *flag.FlagSet) {
	fs.StringVar(&p.author, "author", userName(), "author `name` recorded in the history")
	fs.StringVar(&p.reason, "reason", "", "reason `text` recorded in the history")
}

// newPatch returns the patch that changes the running configuration to the declared one, and the running one.
func (p *patchFlags) newPatch(ctx context.Context, c *client.Client) (config.Patch, config.Config, error) {
	declared, err := readDeclarations(p.path)
	if err != nil {
		return config.Patch{}, config.Config{}, err
	}
	running, err := c.Config(ctx)
	if err != nil {
		return config.Patch{}, config.Config{}, err
	}
	if !p.restore {
		declared = declared.WithDrainsOf(running)
	}
	patch, err := config.NewPatch(running.Version, p.author, p.reason, config.Diff(running, declared))
	if err != nil {
		return config.Patch{}, config.Config{}, fmt.Errorf("make patch: %w", err)
	}
	return patch, running, nil
}

// plan is a patch and its predicted effects.
type plan struct {
	Patch config.Patch `json:"patch"`
	// Planned is nil when the patch has no changes.
	Planned *webapi.PlanResult `json:"planned,omitempty"`
}

func configPlanCommand() commandSpec {
	p := &patchFlags{}
	var file string
	return commandSpec{
		name: "plan", short: "show what apply would do", long: configPlanUsage,
		flags: func(fs *flag.FlagSet) {
			p.register(fs)
			fs.StringVar(&file, "o", "", "`file` to write the patch to, for 'config apply -plan'")
		},
		run: withClient(func(ctx context.Context, s *session, c *client.Client, _ []string) error {
			patch, running, err := p.newPatch(ctx, c)
			if err != nil {
				return err
			}
			if err := s.showPlan(ctx, c, patch, running); err != nil {
				return err
			}
			return writePatch(file, patch)
		}),
	}
}

// showPlan fetches the effects of a patch from an instance and prints them.
func (s *session) showPlan(ctx context.Context, c *client.Client, patch config.Patch, running config.Config) error {
	pl := plan{Patch: patch}
	if len(patch.Changes) > 0 {
		planned, err := c.Plan(ctx, patch)
		if err != nil {
			return err
		}
		pl.Planned = &planned
	}
	return s.print(pl, func(w io.Writer) error { return printPlan(w, pl, running) })
}

// writePatch writes a patch for "config apply -plan" unless it has no changes.
func writePatch(file string, p config.Patch) error {
	if file == "" || len(p.Changes) == 0 {
		return nil
	}
	b, err := json.MarshalIndent(p, "", "  ")
	if err != nil {
		return fmt.Errorf("encode patch: %w", err)
	}
	if err := os.WriteFile(file, append(b, '\n'), 0o600); err != nil {
		return fmt.Errorf("write plan: %w", err)
	}
	return nil
}
