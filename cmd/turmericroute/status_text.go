package main

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"turmericroute/model"
	"turmericroute/state"
	"turmericroute/webapi"
)

// maxListedNames bounds the number of names in one line.
const maxListedNames = 8

func printStatus(w io.Writer, d deployment) error {
	printLeader(w, d)
	if err := table(w, "INSTANCE DATA_CENTRE ROLE MEMBER LAG VERSION VIEW_AGE_MS READY", instanceRows(d)); err != nil {
		return err
	}
	if d.Overview != nil {
		if err := printOverview(w, *d.Overview); err != nil {
			return err
		}
	}
	if err := printExecutors(w, d.Instances); err != nil {
		return err
	}
	if d.Overview == nil {
		return nil
	}
	return printWaitingJobs(w, *d.Overview)
}

func printLeader(w io.Writer, d deployment) {
	o := d.Overview
	if o == nil {
		fmt.Fprintf(w, "no leader answers: %s\n\n", d.Error)
		return
	}
	fmt.Fprintf(w, "leader %s for %s, term %d\n", o.Leader.Name, formatDuration(o.LeadingMS), o.Leader.Term)
	fmt.Fprintf(w, "configuration version %d", o.ConfigVersion)
	if r := d.LatestPatch; r != nil {
		fmt.Fprintf(w, " of %s by %s: %s", formatTime(r.AtMS), orDash(r.Patch.Author), orDash(r.Patch.Reason))
	}
	fmt.Fprintf(w, "\n\n")
}

// instanceRows returns one row for each instance that was called and for each other member of the log.
func instanceRows(d deployment) [][]string {
	members := map[string]state.MemberStatus{}
	for _, i := range d.Instances {
		if i.Status != nil {
			for _, m := range i.Status.Replica.Members {
				members[m.Name] = m
			}
		}
	}
	if d.Overview != nil {
		for _, m := range d.Overview.Leader.Members {
			members[m.Name] = m
		}
	}
	var rows [][]string
	for _, i := range d.Instances {
		m, ok := members[i.Name]
		delete(members, i.Name)
		rows = append(rows, instanceRow(i, memberKind(m, ok), d.Overview))
	}
	for name, m := range members {
		rows = append(rows, instanceRow(instance{Name: name, Error: "its address is unknown"}, memberKind(m, true), d.Overview))
	}
	slices.SortFunc(rows, func(a, b []string) int { return strings.Compare(a[0], b[0]) })
	return rows
}

func memberKind(m state.MemberStatus, ok bool) string {
	switch {
	case !ok:
		return "-"
	case m.Voter:
		return "voter"
	default:
		return "learner"
	}
}

func instanceRow(i instance, member string, o *state.Overview) []string {
	if i.Status == nil {
		return []string{firstNonEmpty(i.Name, i.Address), "-", "-", member, "-", "-", "-", "no answer: " + i.Error}
	}
	r := i.Status.Replica
	ready := "yes"
	if !i.Status.Ready {
		ready = "no: " + i.Status.NotReady
	}
	role := r.Role
	if member == "-" {
		role = "entry"
	}
	return []string{
		i.Name, r.DataCentre, role, member, instanceLag(r, o), fmt.Sprint(i.Status.ConfigVersion), formatViewAge(r.ViewAgeMS), ready,
	}
}

// instanceLag returns the number of entries by which an instance is behind the
// leader: by its match index if the leader has one, otherwise by its applied index.
func instanceLag(r state.ReplicaStatus, o *state.Overview) string {
	if o == nil {
		return "-"
	}
	for _, m := range o.Leader.Members {
		if m.Name == r.Name && m.Match > 0 {
			return fmt.Sprint(o.Leader.Commit - min(m.Match, o.Leader.Commit))
		}
	}
	return fmt.Sprint(o.Leader.Commit - min(r.Applied, o.Leader.Commit))
}

// maxShownViewAge is the age above which an instance is taken to have never had a view.
const maxShownViewAge = 24 * time.Hour

func formatViewAge(ms int64) string {
	if ms > maxShownViewAge.Milliseconds() {
		return "never"
	}
	return fmt.Sprint(ms)
}

func printOverview(w io.Writer, o state.Overview) error {
	fmt.Fprintln(w)
	var rows [][]string
	for _, dc := range o.DataCentres {
		service := "in service"
		if dc.OutOfService {
			service = "OUT: " + orDash(dc.Reason)
		}
		rows = append(rows, []string{
			dc.Name, fmt.Sprintf("%d of %d", dc.Registered, dc.Declared), fmt.Sprint(dc.Usable), fmt.Sprint(dc.Jobs), fmt.Sprint(dc.Tasks), service,
		})
	}
	if err := table(w, "DATA_CENTRE WORKERS USABLE JOBS TASKS SERVICE", rows); err != nil {
		return err
	}
	fmt.Fprintln(w)
	rows = nil
	for _, t := range o.Teams {
		rows = append(rows, []string{
			t.Team, formatResources(t.Guaranteed), formatResources(t.Used), formatResources(t.Borrowed), formatResources(t.Reclaimable), fmt.Sprint(t.Short), fmt.Sprint(t.Waiting),
		})
	}
	if err := table(w, "TEAM GUARANTEED USED BORROWED RECLAIMABLE SHORT WAITING", rows); err != nil {
		return err
	}
	fmt.Fprintln(w)
	printProblems(w, o)
	return nil
}

// formatResources formats r as accelerators/cores.
func formatResources(r model.Resources) string { return fmt.Sprintf("%d/%d", r.GPUs, r.Cores) }

func printProblems(w io.Writer, o state.Overview) {
	if len(o.Shortages) == 0 {
		fmt.Fprintln(w, "guarantees: all fit")
	}
	for _, s := range o.Shortages {
		fmt.Fprintf(w, "SHORT: team %s: %d of guarantee %d, %s, fit nowhere now%s\n",
			s.Team, s.Missing, s.Guarantee, formatShape(s.Shape), formatOutOfService(o))
	}
	if len(o.Probation) == 0 {
		fmt.Fprintln(w, "probation: no worker")
	}
	for _, p := range o.Probation {
		fmt.Fprintf(w, "PROBATION: worker %s of %s for %s more: tasks failed there first of jobs %s\n",
			p.Worker, p.DataCentre, formatDuration(p.LeftMS), formatNames(p.FailedJobs))
	}
	if len(o.Silent) > 0 {
		fmt.Fprintf(w, "SILENT: %d workers do not poll: %s\n", len(o.Silent), formatNames(o.Silent))
	}
}

// formatOutOfService names the data centres that are out of service, as the likely cause of a shortage.
func formatOutOfService(o state.Overview) string {
	var out []string
	for _, dc := range o.DataCentres {
		if dc.OutOfService {
			out = append(out, dc.Name)
		}
	}
	if len(out) == 0 {
		return ""
	}
	return " while out of service: " + strings.Join(out, " ")
}

func formatNames(names []string) string {
	if len(names) <= maxListedNames {
		return strings.Join(names, " ")
	}
	return strings.Join(names[:maxListedNames], " ") + fmt.Sprintf(" and %d more", len(names)-maxListedNames)
}

// printExecutors prints the executor counts of each service, as reported by the ready instance with the fewest usable ones.
func printExecutors(w io.Writer, list []instance) error {
	type view struct {
		counts webapi.ExecutorCounts
		by     string
	}
	worst := map[string]view{}
	for _, i := range list {
		if i.Status == nil || !i.Status.Ready {
			continue
		}
		for _, c := range i.Status.Executors {
			if v, ok := worst[c.Service]; !ok || c.Usable < v.counts.Usable {
				worst[c.Service] = view{c, i.Name}
			}
		}
	}
	var rows [][]string
	for _, v := range worst {
		c := v.counts
		rows = append(rows, []string{
			c.Service, fmt.Sprint(c.Usable), fmt.Sprint(c.Ejected), fmt.Sprint(c.Silent), fmt.Sprint(c.Left), fmt.Sprint(c.Queued), v.by,
		})
	}
	slices.SortFunc(rows, func(a, b []string) int { return cmp.Compare(a[0], b[0]) })
	if len(rows) == 0 {
		return nil
	}
	fmt.Fprintln(w)
	return table(w, "SERVICE USABLE EJECTED SILENT LEFT QUEUED SEEN_BY", rows)
}

func printWaitingJobs(w io.Writer, o state.Overview) error {
	fmt.Fprintln(w)
	if o.WaitingCount == 0 {
		_, err := fmt.Fprintln(w, "waiting: no job")
		return err
	}
	fmt.Fprintf(w, "%d jobs wait, the longest first:\n", o.WaitingCount)
	var rows [][]string
	for _, j := range o.Waiting {
		id := j.ID
		if j.Urgent {
			id += " (urgent)"
		}
		rows = append(rows, []string{id, j.Team, formatShape(j.Shape), formatDuration(j.WaitedMS), j.Why})
	}
	return table(w, "JOB TEAM SHAPE WAITED WHY", rows)
}

// formatDuration formats a duration in milliseconds, rounded to seconds.
func formatDuration(ms int64) string {
	return (time.Duration(ms) * time.Millisecond).Round(time.Second).String()
}
