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
Shows the whole deployment: the leader, the instances with their lag and
configuration version, data centres, teams with their guarantees, shortages,
workers on probation, upstreams, and the jobs that have waited longest. Calls
every instance of -addresses and every peer that these report; one address is
enough if it answers.

COLUMNS
  LAG          log entries by which the instance is behind the leader
  VIEW_AGE_MS  age of its copy of the state; it refuses requests above 1600
  GUARANTEED, USED   sums of accelerators/cores
  BORROWED     the part of USED beyond the guarantee; other teams may reclaim it
  RECLAIMABLE  the part of GUARANTEED that the team can reclaim on request
  SHORT        guaranteed shapes that fit nowhere at present

With -wait it waits until there is a leader, all instances answer and are ready,
and all members of the log are voters that have caught up; if -timeout expires
first, it exits with 6.

Without a leader it shows the status of each instance and exits with 3.

EXAMPLES
  turmericroute status -addresses 127.0.0.1:7101
  turmericroute status -wait -timeout 1m`

// maxVoterLag is the lag in entries up to which a voter counts as caught up, since commits go on during the check.
const maxVoterLag = 256

// deployment is the result of the status command.
type deployment struct {
	Instances []instance `json:"instances"`
	// Overview is the leader's view, nil when no leader answered.
	Overview *state.Overview `json:"overview,omitempty"`
	// LatestPatch is the patch that produced the configuration in force.
	LatestPatch *state.Record `json:"latest_patch,omitempty"`
	Error       string        `json:"error,omitempty"`
}

func statusCommand() commandSpec {
	var wait bool
	return commandSpec{
		name: "status", short: "show the whole deployment", long: statusUsage,
		flags: func(fs *flag.FlagSet) { fs.BoolVar(&wait, "wait", false, "wait until the whole deployment is ready") },
		run: withClient(func(ctx context.Context, s *session, _ *client.Client, _ []string) error {
			if wait {
				return s.waitForDeployment(ctx)
			}
			d, err := s.fetchDeployment(ctx)
			if err != nil {
				return err
			}
			if printErr := s.print(d, func(w io.Writer) error { return printStatus(w, d) }); printErr != nil {
				return printErr
			}
			return d.leaderError()
		}),
	}
}

// waitForDeployment waits until the whole deployment is ready, then prints its
// status. It returns an unfinishedError at the deadline.
func (s *session) waitForDeployment(ctx context.Context) error {
	lastReason := ""
	for {
		d, err := s.fetchDeployment(ctx)
		if err != nil && permanentError(err) {
			return err
		}
		reason := d.notReadyReason()
		if reason == "" {
			return s.print(d, func(w io.Writer) error { return printStatus(w, d) })
		}
		if ctx.Err() != nil {
			return &unfinishedError{message: "timed out waiting for the deployment: " + firstNonEmpty(lastReason, reason), hint: "check 'status' and the log of the instance"}
		}
		if reason != lastReason {
			fmt.Fprintln(s.err, "waiting: "+reason)
			lastReason = reason
		}
		sleep(ctx, progressInterval)
	}
}

// notReadyReason describes the first problem found, or returns "" when the deployment is ready.
func (d deployment) notReadyReason() string {
	for _, i := range d.Instances {
		switch {
		case i.Status == nil:
			return fmt.Sprintf("%s does not answer", firstNonEmpty(i.Name, i.Address))
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
		case m.Match+maxVoterLag < d.Overview.Leader.Commit:
			return fmt.Sprintf("%s is %d entries behind", m.Name, d.Overview.Leader.Commit-m.Match)
		}
	}
	return ""
}

// fetchDeployment fetches the status of all instances, and the leader's overview
// through one of them. Without a leader, Error is set instead of Overview.
func (s *session) fetchDeployment(ctx context.Context) (deployment, error) {
	list, err := s.fetchInstances(ctx)
	if err != nil {
		return deployment{}, err
	}
	d := deployment{Instances: list}
	reached := reachedAddresses(list)
	if len(reached) == 0 {
		return d, unreachableError(list)
	}
	c, err := s.clientFor(reached)
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
			d.LatestPatch = &records[0]
		}
	}
	return d, nil
}

// unreachableError returns the error for the case that no instance returned its
// status: the first error from an instance that was reached, otherwise one that lists all addresses.
func unreachableError(list []instance) error {
	e := model.NotRun(model.CodeUnavailable, "no instance answers")
	for _, i := range list {
		if !client.Unreachable.Has(i.err) {
			return i.err
		}
		e.Faults = append(e.Faults, i.Address+": "+i.Error)
	}
	return client.Unreachable.Wrap(e)
}

// leaderError returns an error when the leader's overview is missing.
func (d deployment) leaderError() error {
	if d.Overview != nil {
		return nil
	}
	err := model.NotRun(model.CodeNoLeader, "the leader's view is missing: %s", d.Error)
	return &hintedError{
		err:  err,
		hint: fmt.Sprintf("%d of %d instances answer; a majority of the voters must run and reach each other (docs/OPERATIONS.md, lost majority)", len(reachedAddresses(d.Instances)), len(d.Instances)),
	}
}
