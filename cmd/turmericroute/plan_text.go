package main

import (
	"encoding/json"
	"fmt"
	"io"

	"turmericroute/config"
	"turmericroute/state"
	"turmericroute/webapi"
)

func printPlan(w io.Writer, pl plan, running config.Config) error {
	p := pl.Patch
	if pl.Planned == nil {
		fmt.Fprintf(w, "no changes needed: version %d stays in force\n", p.BaseVersion)
		return nil
	}
	fmt.Fprintf(w, "patch %s for version %d:\n", p.ID, p.BaseVersion)
	for _, c := range p.Changes {
		fmt.Fprintf(w, "  %s\n", c)
		if err := printChangedLines(w, c, running); err != nil {
			return err
		}
	}
	return printForecast(w, *pl.Planned)
}

// printForecast prints the effects of a patch on guarantees and jobs.
func printForecast(w io.Writer, p webapi.PlanResult) error {
	for _, r := range p.Refused {
		fmt.Fprintf(w, "\nREFUSED: the declared racks cannot hold it: %s\n", r)
	}
	if err := printGuaranteeFits(w, p.Forecast.Guarantees); err != nil {
		return err
	}
	fmt.Fprintln(w)
	printShortages(w, "declared racks in service", p.Shortages)
	for _, dc := range p.WithoutDataCentre {
		printShortages(w, "also without "+dc.DataCentre, dc.Shortages)
	}
	return printPreempted(w, p.Forecast)
}

func printGuaranteeFits(w io.Writer, fits []state.GuaranteeFit) error {
	fmt.Fprintln(w, "\nguarantees on the workers that answer now:")
	var rows [][]string
	for _, g := range fits {
		verdict := "fits"
		switch {
		case g.Count == 0:
			verdict = "removed"
		case g.After < g.Count && g.Before < g.Count:
			verdict = fmt.Sprintf("SHORT of %d, as before the change", g.Count-g.After)
		case g.After < g.Count:
			verdict = fmt.Sprintf("SHORT of %d", g.Count-g.After)
		}
		rows = append(rows, []string{
			g.Team, fmt.Sprint(g.Guarantee), formatShape(g.Shape), fmt.Sprint(g.Count), fmt.Sprint(g.Before), fmt.Sprint(g.After), verdict,
		})
	}
	if len(rows) == 0 {
		_, err := fmt.Fprintln(w, "none")
		return err
	}
	return table(w, "TEAM GUARANTEE SHAPE COUNT FIT_BEFORE FIT_AFTER VERDICT", rows)
}

func printShortages(w io.Writer, where string, short []string) {
	if len(short) == 0 {
		fmt.Fprintf(w, "%s: all guarantees fit\n", where)
		return
	}
	for _, s := range short {
		fmt.Fprintf(w, "%s: SHORT: %s\n", where, s)
	}
}

func printPreempted(w io.Writer, f state.Forecast) error {
	fmt.Fprintln(w)
	if len(f.Preempted) == 0 {
		fmt.Fprintln(w, "running jobs: none would be stopped")
	} else {
		fmt.Fprintf(w, "running jobs: %d would be stopped:\n", len(f.Preempted))
		var rows [][]string
		for _, j := range f.Preempted {
			next := "waits"
			if j.Restarts {
				next = "restarts elsewhere"
			}
			rows = append(rows, []string{j.ID, j.Team, fmt.Sprint(j.Tasks), next, j.Reason})
		}
		if err := table(w, "JOB TEAM TASKS THEN REASON", rows); err != nil {
			return err
		}
	}
	for _, j := range f.Refused {
		fmt.Fprintf(w, "waiting job %s of team %s could never run: %s\n", j.ID, j.Team, j.Reason)
	}
	return nil
}

// printChangedLines prints the lines of a value that a put change would alter.
func printChangedLines(w io.Writer, c config.Change, running config.Config) error {
	var from, to any
	switch {
	case c.PutDataCentre != nil:
		from, to = valueOrNil(running.DataCentre(c.PutDataCentre.Name)), c.PutDataCentre
	case c.PutTeam != nil:
		from, to = valueOrNil(running.Team(c.PutTeam.Name)), c.PutTeam
	case c.PutService != nil:
		from, to = valueOrNil(running.Service(c.PutService.Name)), c.PutService
	default:
		return nil
	}
	before, err := formatJSON(from)
	if err != nil {
		return err
	}
	after, err := formatJSON(to)
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

func valueOrNil[T any](v T, ok bool) any {
	if !ok {
		return nil
	}
	return v
}

func formatJSON(v any) (string, error) {
	if v == nil {
		return "", nil
	}
	b, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return "", fmt.Errorf("encode value: %w", err)
	}
	return string(b), nil
}
