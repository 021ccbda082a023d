package main

import (
	"context"
	"fmt"
	"io"

	"turmericroute/client"
	"turmericroute/config"
	"turmericroute/model"
	"turmericroute/webapi"
)

const configApplyUsage = `
Reads declarations, makes a patch against the version in force and sends it. The
patch applies whole or not at all, and only to that version. Its ID is the same
for the same content and version, so an interrupted apply is safe to repeat.
Data centres and workers that are out of service stay so unless -restore is given.

EXAMPLE
  turmericroute config apply -f declarations/ -reason "raise quota of tejados"`

func configApplyCommand() leaf {
	p := &patchFlags{}
	return leaf{
		name: "apply", short: "make the configuration as declared", long: configApplyUsage, flags: p.register,
		run: call(func(ctx context.Context, s *session, c *client.Client, _ []string) error {
			patch, _, err := p.make(ctx, c)
			if err != nil {
				return err
			}
			return s.send(ctx, c, patch)
		}),
	}
}

// send sends a patch and prints the version that it gave.
func (s *session) send(ctx context.Context, c *client.Client, p config.Patch) error {
	res := webapi.Patched{Version: p.BaseVersion}
	if len(p.Changes) > 0 {
		var err error
		if res, err = c.Patch(ctx, p); err != nil {
			if model.AsError(err).Outcome == model.OutcomeUnknown {
				return &hinted{err: err, hint: fmt.Sprintf("run the same command again, or look for patch %s in 'config history'", p.ID)}
			}
			return err
		}
	}
	return s.print(res, func(w io.Writer) error {
		if len(p.Changes) == 0 {
			fmt.Fprintf(w, "no changes needed: version %d stays in force\n", res.Version)
			return nil
		}
		fmt.Fprintf(w, "patch %s is version %d\n", p.ID, res.Version)
		for _, short := range res.Shortages {
			fmt.Fprintf(w, "until more is in service, %s\n", short)
		}
		return nil
	})
}
