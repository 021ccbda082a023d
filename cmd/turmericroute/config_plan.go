package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"

	"turmericroute/client"
	"turmericroute/config"
)

const configPlanUsage = `
Shows the patch that "config apply" would send, without sending it. Data centres
and workers that are out of service stay so unless -restore is given.

EXAMPLE
  turmericroute config plan -f declarations/`

// patchFlags are the flags that make a patch of declarations.
type patchFlags struct {
	path, author, reason string
	restore              bool
}

func (p *patchFlags) register(fs *flag.FlagSet) {
	declarationsFlag(fs, &p.path)
	p.registerReason(fs)
	fs.BoolVar(&p.restore, "restore", false, "also return to service what the declarations do not take out")
}

func (p *patchFlags) registerReason(fs *flag.FlagSet) {
	fs.StringVar(&p.author, "author", userName(), "`name` for the history")
	fs.StringVar(&p.reason, "reason", "", "`text` for the history")
}

// make returns the patch that turns the running configuration into the declared one.
func (p *patchFlags) make(ctx context.Context, c *client.Client) (config.Patch, config.Config, error) {
	declared, err := declarations(p.path)
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

func configPlanCommand() leaf {
	p := &patchFlags{}
	return leaf{
		name: "plan", short: "show the changes that apply would make", long: configPlanUsage, flags: p.register,
		run: call(func(ctx context.Context, s *session, c *client.Client, _ []string) error {
			patch, running, err := p.make(ctx, c)
			if err != nil {
				return err
			}
			return s.print(patch, func(w io.Writer) error { return printPlan(w, patch, running) })
		}),
	}
}

func printPlan(w io.Writer, p config.Patch, running config.Config) error {
	if len(p.Changes) == 0 {
		fmt.Fprintf(w, "no changes needed: version %d stays in force\n", p.BaseVersion)
		return nil
	}
	fmt.Fprintf(w, "patch %s for version %d:\n", p.ID, p.BaseVersion)
	for _, c := range p.Changes {
		fmt.Fprintf(w, "  %s\n", c)
		if err := printDetail(w, c, running); err != nil {
			return err
		}
	}
	return nil
}

// printDetail shows the lines of a value that a put changes.
func printDetail(w io.Writer, c config.Change, running config.Config) error {
	var from, to any
	switch {
	case c.PutDataCentre != nil:
		from, to = known(running.DataCentre(c.PutDataCentre.Name)), c.PutDataCentre
	case c.PutTeam != nil:
		from, to = known(running.Team(c.PutTeam.Name)), c.PutTeam
	case c.PutService != nil:
		from, to = known(running.Service(c.PutService.Name)), c.PutService
	default:
		return nil
	}
	before, err := jsonText(from)
	if err != nil {
		return err
	}
	after, err := jsonText(to)
	if err != nil {
		return err
	}
	for _, line := range diffLines(before, after) {
		if line[0] != ' ' {
			fmt.Fprintf(w, "    %s\n", line)
		}
	}
	return nil
}

func known[T any](v T, ok bool) any {
	if !ok {
		return nil
	}
	return v
}

func jsonText(v any) (string, error) {
	if v == nil {
		return "", nil
	}
	b, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return "", fmt.Errorf("encode value: %w", err)
	}
	return string(b), nil
}
