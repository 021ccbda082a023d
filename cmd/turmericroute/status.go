package main

import (
	"context"
	"flag"
	"fmt"
	"io"

	"turmericroute/client"
	"turmericroute/model"
	"turmericroute/state"
)

const statusUsage = `
Shows the whole deployment on one screen: the leader, the instances with their
lag and the configuration version in force on each, data centres, teams with
their guarantees, shortages, workers on probation, upstreams, and the jobs that
have waited longest. Asks every address of -addresses and every instance that
these name; one address is enough while it answers.

COLUMNS
  LAG          log entries that the instance is behind the leader
  VIEW_AGE_MS  age of its copy of the state; beyond 1600 it refuses requests
  GUARANTEED, USED   sums of accelerators/cores
  BORROWED     the part of USED beyond the guarantee; other teams may reclaim it
  RECLAIMABLE  the part of GUARANTEED that the team can have by asking
  SHORT        guaranteed shapes that fit nowhere now

With -wait it waits until all instances answer and are ready, all members of the
log are voters that have caught up, and there is a leader; when -timeout passes
first, it exits with 6.

Without a leader it shows what the instances say of themselves and exits with 3.

EXAMPLES
  turmericroute status -addresses 127.0.0.1:7101
  turmericroute status -wait -timeout 1m`

// caughtUp is how many entries a voter may be behind while commits go on.
const caughtUp = 256

// deployment is what status shows.
type deployment struct {
	Instances []instance `json:"instances"`
	// Overview is the leader's view, nil when no leader answered.
	Overview *state.Overview `json:"overview,omitempty"`
	// Latest is the patch that gave the configuration in force.
	Latest *state.Record `json:"latest_patch,omitempty"`
	Error  string        `json:"error,omitempty"`
}

func statusCommand() leaf {
	var wait bool
	return leaf{
		name: "status", short: "show the whole deployment", long: statusUsage,
		flags: func(fs *flag.FlagSet) { fs.BoolVar(&wait, "wait", false, "wait until all of it works") },
		run: call(func(ctx context.Context, s *session, _ *client.Client, _ []string) error {
			if wait {
				return s.awaitDeployment(ctx)
			}
			d, err := s.deployment(ctx)
			if err != nil {
				return err
			}
			if printErr := s.print(d, func(w io.Writer) error { return printStatus(w, d) }); printErr != nil {
				return printErr
			}
			return d.failure()
		}),
	}
}

// awaitDeployment waits until all of the deployment works, and then shows it.
func (s *session) awaitDeployment(ctx context.Context) error {
	last := ""
	for {
		d, err := s.deployment(ctx)
		if err != nil && final(err) {
			return err
		}
		missing := d.missing()
		if missing == "" {
			return s.print(d, func(w io.Writer) error { return printStatus(w, d) })
		}
		if ctx.Err() != nil {
			return &unfinished{message: "not all of the deployment works in time: " + orElse(last, missing), hint: "look at 'status' and at the log of the instance"}
		}
		if missing != last {
			fmt.Fprintln(s.err, "waiting: "+missing)
			last = missing
		}
		pause(ctx, progressInterval)
	}
}

// missing says what does not work, and nothing when all does.
func (d deployment) missing() string {
	for _, i := range d.Instances {
		switch {
		case i.Status == nil:
			return fmt.Sprintf("%s does not answer", orElse(i.Name, i.Address))
		case !i.Status.Ready:
			return fmt.Sprintf("%s is not ready: %s", i.Name, i.Status.NotReady)
		}
	}
	if d.Overview == nil {
		return "no leader answers"
	}
	for _, m := range d.Overview.Leader.Members {
		switch {
		case !m.Voter:
			return fmt.Sprintf("%s is a learner", m.Name)
		case m.Match+caughtUp < d.Overview.Leader.Commit:
			return fmt.Sprintf("%s is %d entries behind", m.Name, d.Overview.Leader.Commit-m.Match)
		}
	}
	return ""
}

// deployment asks all instances, and the leader through one of them.
func (s *session) deployment(ctx context.Context) (deployment, error) {
	list, err := s.instances(ctx)
	if err != nil {
		return deployment{}, err
	}
	d := deployment{Instances: list}
	alive := reached(list)
	if len(alive) == 0 {
		return d, noneReached(list)
	}
	c, err := s.clientOf(alive)
	if err != nil {
		return d, err
	}
	ctx, cancel := context.WithTimeout(ctx, 2*instanceTimeout)
	defer cancel()
	o, err := c.Overview(ctx)
	if err != nil {
		d.Error = model.AsError(err).Message
		return d, nil
	}
	d.Overview = &o
	if o.ConfigVersion > 0 {
		if records, err := c.History(ctx, o.ConfigVersion-1); err == nil && len(records) > 0 {
			d.Latest = &records[0]
		}
	}
	return d, nil
}

// noneReached is the error when no instance gave its status: a refusal if there was one.
func noneReached(list []instance) error {
	e := model.NotRun(model.CodeUnavailable, "no instance answers")
	for _, i := range list {
		if !client.Unreachable.Has(i.err) {
			return i.err
		}
		e.Faults = append(e.Faults, i.Address+": "+i.Error)
	}
	return client.Unreachable.Wrap(e)
}

// failure is the error of a status without the leader's view.
func (d deployment) failure() error {
	if d.Overview != nil {
		return nil
	}
	err := model.NotRun(model.CodeNoLeader, "the leader's view is missing: %s", d.Error)
	return &hinted{
		err:  err,
		hint: fmt.Sprintf("%d of %d instances answer; a majority of the voters must run and reach each other (docs/OPERATIONS.md, lost majority)", len(reached(d.Instances)), len(d.Instances)),
	}
}
