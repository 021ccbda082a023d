package place

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// JobView describes one job in a dump.
type JobView struct {
	ID      string   `json:"id"`
	Team    string   `json:"team"`
	State   string   `json:"state"`
	Attempt int      `json:"attempt"`
	Workers []string `json:"workers,omitempty"`
	// Guarantee is the index of the guarantee that the job is charged to, or -1 for a borrower.
	Guarantee int    `json:"guarantee"`
	Reason    string `json:"why,omitempty"`
	// Reclaiming reports whether a placement is being freed for the job.
	Reclaiming bool `json:"reclaiming,omitempty"`
}

// WorkerView describes one worker in a dump.
type WorkerView struct {
	Name           string    `json:"name"`
	Usable         bool      `json:"usable"`
	Gangs          int       `json:"gangs"`
	ProbationUntil time.Time `json:"probation_until,omitzero"`
}

// View is the policy's state in a stable order.
type View struct {
	ConfigVersion uint64       `json:"config_version"`
	Shortages     []Shortage   `json:"shortages,omitempty"`
	Jobs          []JobView    `json:"jobs,omitempty"`
	Workers       []WorkerView `json:"workers,omitempty"`
}

// Dump returns the policy's state as a View.
func (p *Policy) Dump() any {
	v := View{ConfigVersion: p.siteCfg.Version, Shortages: p.Shortages()}
	for _, j := range p.jobs {
		v.Jobs = append(v.Jobs, j.view())
	}
	slices.SortFunc(v.Jobs, func(a, b JobView) int { return cmp.Compare(a.ID, b.ID) })
	for _, w := range p.allWorkers {
		wv := WorkerView{Name: w.name, Usable: p.usable(w), Gangs: len(w.gangs)}
		if w.health.onProbation(p.now) {
			wv.ProbationUntil = w.health.probationUntil
		}
		v.Workers = append(v.Workers, wv)
	}
	slices.SortFunc(v.Workers, func(a, b WorkerView) int { return cmp.Compare(a.Name, b.Name) })
	return v
}

func (j *job) view() JobView {
	v := JobView{
		ID: j.id(), Team: j.team.name, State: j.state.String(), Attempt: j.attempt,
		Guarantee: -1, Reason: j.reason, Reclaiming: j.claim != nil,
	}
	for _, w := range j.workers {
		v.Workers = append(v.Workers, w.name)
	}
	if j.cell != nil {
		v.Guarantee = j.cell.guarantee
	}
	return v
}

// Explain describes a job's placement, or why it waits, for operators.
func (p *Policy) Explain(id string) string {
	j, ok := p.jobs[id]
	switch {
	case !ok:
		return "the job is not known to the scheduler"
	case j.placed() && j.cell != nil:
		return fmt.Sprintf("%s within guarantee %d of team %s", j.state, j.cell.guarantee+1, j.team.name)
	case j.placed():
		return fmt.Sprintf("%s beyond the guarantees of team %s", j.state, j.team.name)
	case j.claim != nil:
		return fmt.Sprintf("waiting for %d gangs to stop in its guaranteed placement", len(j.claim.victims))
	case j.reservation != nil:
		return fmt.Sprintf("waiting for a reserved placement, expected to be free in %s", j.reservation.freeAt.Sub(p.now).Round(time.Second))
	case j.reason == "":
		return "waiting for the next decision"
	default:
		return "waiting: " + j.reason
	}
}
