package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"

	"turmericroute/client"
	"turmericroute/config"
	"turmericroute/model"
	"turmericroute/state"
	"turmericroute/webapi"
)

const configApplyUsage = `
Reads declarations, creates a patch against the version in force and sends it.
The patch is atomic and applies only to that version; if another change was
accepted first, it is refused and the intervening changes are listed. The patch
ID is the same for the same content and version, so an interrupted apply is safe
to repeat. Data centres and workers that are out of service stay so unless
-restore is given.

With -plan the patch that "config plan -o FILE" wrote is sent unchanged, so
exactly the reviewed patch is applied, or nothing.

EXAMPLES
  turmericroute config apply -f declarations/ -reason "raise quota of tejados"
  turmericroute config apply -plan quota.json`

func configApplyCommand() commandSpec {
	p := &patchFlags{}
	var plan string
	return commandSpec{
		name: "apply", short: "change the configuration to the declared one", long: configApplyUsage,
		flags: func(fs *flag.FlagSet) {
			p.register(fs)
			fs.StringVar(&plan, "plan", "", "`file` that 'config plan -o' wrote, instead of -f")
		},
		run: withClient(func(ctx context.Context, s *session, c *client.Client, _ []string) error {
			patch, err := p.resolvePatch(ctx, c, plan)
			if err != nil {
				return err
			}
			res, err := s.applyPatch(ctx, c, patch)
			if err != nil {
				return err
			}
			return s.showPatchResult(patch, res)
		}),
	}
}

// resolvePatch returns the patch in a plan file, or without one a new patch from the declarations.
func (p *patchFlags) resolvePatch(ctx context.Context, c *client.Client, plan string) (config.Patch, error) {
	if plan == "" {
		patch, _, err := p.newPatch(ctx, c)
		return patch, err
	}
	if p.path != "" || p.reason != "" || p.restore {
		return config.Patch{}, usagef("pass -f, -reason and -restore to 'config plan -o' instead", "-plan cannot be combined with -f, -reason or -restore")
	}
	b, err := os.ReadFile(plan)
	if err != nil {
		return config.Patch{}, usagef("check the path after -plan", "cannot read the plan: %v", err)
	}
	patch, err := config.DecodePatch(b)
	if err != nil {
		return config.Patch{}, usagef("write it again with 'config plan -o'", "%s is not a plan: %s", plan, model.AsError(err).Message)
	}
	return patch, nil
}

// applyPatch sends a patch unless it has no changes.
func (s *session) applyPatch(ctx context.Context, c *client.Client, p config.Patch) (webapi.PatchResult, error) {
	if len(p.Changes) == 0 {
		return webapi.PatchResult{Version: p.BaseVersion}, nil
	}
	res, err := c.Patch(ctx, p)
	if err == nil {
		return res, nil
	}
	e := model.AsError(err)
	switch {
	case e.Outcome == model.OutcomeUnknown:
		return res, &hintedError{err: err, hint: fmt.Sprintf("run the same command again, or look for patch %s in 'config history'", p.ID)}
	case e.Code == model.CodeStaleVersion:
		return res, staleError(ctx, c, p, err)
	}
	return res, err
}

// staleError adds the changes since the base version of the patch to the error that refused it as stale.
func staleError(ctx context.Context, c *client.Client, p config.Patch, err error) error {
	records, historyErr := c.History(ctx, p.BaseVersion)
	if historyErr != nil || len(records) == 0 {
		return err
	}
	h := &hintedError{err: err, hint: fmt.Sprintf("compare with 'config diff %d %d', then plan and apply again", p.BaseVersion, records[len(records)-1].Version)}
	for _, r := range records {
		h.details = append(h.details, "changed meanwhile: "+formatRecord(r))
	}
	return h
}

func formatRecord(r state.Record) string {
	var changes []string
	for _, c := range r.Patch.Changes {
		changes = append(changes, c.String())
	}
	return fmt.Sprintf("version %d at %s by %s, %s: %s",
		r.Version, formatTime(r.AtMS), orDash(r.Patch.Author), orDash(r.Patch.Reason), strings.Join(changes, "; "))
}

func (s *session) showPatchResult(p config.Patch, res webapi.PatchResult) error {
	return s.print(res, func(w io.Writer) error {
		printPatchResult(w, p, res)
		return nil
	})
}

// printPatchResult prints the version that a patch produced and the remaining shortages.
func printPatchResult(w io.Writer, p config.Patch, res webapi.PatchResult) {
	if len(p.Changes) == 0 {
		fmt.Fprintf(w, "no changes needed: version %d stays in force\n", res.Version)
		return
	}
	fmt.Fprintf(w, "patch %s is version %d\n", p.ID, res.Version)
	for _, short := range res.Shortages {
		fmt.Fprintf(w, "until more is in service, %s\n", short)
	}
}
