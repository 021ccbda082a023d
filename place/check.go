package place

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"turmericroute/config"
	"turmericroute/model"
	"turmericroute/quota"
)

// MaxGangTasks is the largest number of tasks of a gang.
const MaxGangTasks = 64

// Shortage is a guarantee of which some shapes do not fit.
type Shortage struct {
	Team string `json:"team"`
	// Guarantee is the index in the team's list of guarantees, from 0.
	Guarantee int         `json:"guarantee"`
	Shape     model.Shape `json:"shape"`
	// Missing is the number of shapes of this guarantee that do not fit.
	Missing int `json:"missing"`
}

// String describes the shortage for operators.
func (s Shortage) String() string {
	return fmt.Sprintf("team %s: %d of guarantee %d (%d tasks of %d gpus, %d cores, %d MB) do not fit",
		s.Team, s.Missing, s.Guarantee+1, s.Shape.Tasks, s.Shape.GPUs, s.Shape.Cores, s.Shape.MemoryMB)
}

// CheckGuarantees returns the guarantees that cannot all be met at once on the declared racks in
// service. Drains of workers are not considered.
func CheckGuarantees(cfg config.Config) []Shortage {
	p := New(Config{})
	p.maxSearchSteps = checkSearchSteps
	p.Step(time.Time{}, ConfigChanged{Config: cfg})
	for _, dc := range cfg.DataCentres {
		for _, r := range dc.Racks {
			for i := range r.Workers {
				p.Step(time.Time{}, WorkerJoined{Worker: model.Worker{
					Name:       fmt.Sprintf("%s/%s/%06d", dc.Name, r.Name, i),
					DataCentre: dc.Name, Rack: r.Name, Incarnation: "declared", Capacity: r.PerWorker,
				}})
			}
		}
	}
	p.repairIfNeeded()
	return p.Shortages()
}

// Shortages returns the guarantees that do not fit on the usable workers.
func (p *Policy) Shortages() []Shortage {
	var list []Shortage
	for _, c := range p.cells {
		if c.placement != nil {
			continue
		}
		if n := len(list); n > 0 && list[n-1].Team == c.team.name && list[n-1].Guarantee == c.guarantee {
			list[n-1].Missing++
			continue
		}
		list = append(list, Shortage{Team: c.team.name, Guarantee: c.guarantee, Shape: c.shape, Missing: 1})
	}
	return list
}

// CheckJob returns a *model.Error with code impossible if a job can never run on the declared
// racks.
func CheckJob(cfg config.Config, spec model.JobSpec) error {
	if reason := impossibleReason(cfg, spec); reason != "" {
		return model.NotRun(model.CodeImpossible, "job %s can never run: %s", spec.ID, reason)
	}
	return nil
}

// messageOf returns the message of a *model.Error, or the text of another error.
func messageOf(err error) string {
	var e *model.Error
	if errors.As(err, &e) {
		return e.Message
	}
	return err.Error()
}

// impossibleReason returns why a job can never run on the declared racks, or an empty string if it
// can.
func impossibleReason(cfg config.Config, spec model.JobSpec) string {
	t, ok := cfg.Team(spec.Team)
	s := spec.Shape
	switch {
	case !ok:
		return fmt.Sprintf("there is no team %q", spec.Team)
	case s.Tasks < 1 || s.Tasks > MaxGangTasks:
		return fmt.Sprintf("a gang has 1 to %d tasks, not %d", MaxGangTasks, s.Tasks)
	case s.GPUs < 0 || s.Cores < 0 || s.MemoryMB < 0 || s.GPUs+s.Cores+s.MemoryMB == 0:
		return "a task needs some resource, and none below zero"
	}
	if short, ok := t.Quota().Shortage(quota.Amounts{}, taskAmount(s).times(s.Tasks).quota()); ok {
		return fmt.Sprintf("it needs %s, the quota of team %s is %s", short.Resource.Format(short.Needed), t.Name, short.Resource.Format(short.Limit))
	}
	perTask, total, inRack, allowed := taskAmount(s), 0, 0, false
	for _, dc := range cfg.DataCentres {
		if !allows(t.DataCentres, dc.Name) || !allows(spec.DataCentres, dc.Name) {
			continue
		}
		allowed = true
		for _, r := range dc.Racks {
			n := r.Workers * perTask.countIn(amountOf(r.PerWorker), s.Tasks)
			total += n
			inRack = max(inRack, n)
		}
	}
	switch {
	case !allowed:
		return fmt.Sprintf("no declared data centre is allowed to both the job %v and team %s %v",
			spec.DataCentres, t.Name, slices.Clone(t.DataCentres))
	case total == 0:
		return fmt.Sprintf("no worker has %d gpus, %d cores and %d MB for one task", s.GPUs, s.Cores, s.MemoryMB)
	case s.SameRack && inRack < s.Tasks:
		return fmt.Sprintf("the largest rack holds %d of its %d tasks", inRack, s.Tasks)
	case total < s.Tasks:
		return fmt.Sprintf("all racks together hold %d of its %d tasks", total, s.Tasks)
	}
	return ""
}
