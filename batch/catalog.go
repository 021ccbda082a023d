package batch

import (
	"fmt"
	"slices"
	"strings"

	"turmericroute/model"
)

// Queue is where callers hand in jobs.
type Queue struct {
	Name string `json:"name"`
	// Host and Prefix are the address of the queue; the longest prefix of a path counts.
	Host   string `json:"host"`
	Prefix string `json:"prefix"`
	// Service names the workers that run its tasks.
	Service string `json:"service"`
	// Priority 0 comes first.
	Priority int `json:"priority"`
	// MaxFailures is how often a task or gang may fail before its job has failed.
	MaxFailures int     `json:"max_failures"`
	Stretch     float64 `json:"stretch"`
	TargetMS    int     `json:"target_ms"`
	// Public queues need no key.
	Public bool `json:"public,omitempty"`
	// Advice means that a policy service names the workers that may run a step.
	Advice *Advice `json:"advice,omitempty"`
}

// Advice is the timing of the policy service of a queue.
type Advice struct {
	DecisionMS int `json:"decision_ms"`
	PeriodMS   int `json:"period_ms"`
	ValidityMS int `json:"validity_ms"`
}

// Service is a set of workers.
type Service struct {
	Name string `json:"name"`
	// AdmissionControl workers refuse what exceeds their capacity.
	AdmissionControl bool `json:"guarded"`
	// Standby workers are off.
	Standby bool `json:"standby,omitempty"`
}

// Team is a customer with a guarantee.
type Team struct {
	Name string   `json:"name"`
	Keys []string `json:"keys"`
	// GuaranteedGPUs belong to the team's jobs of priority 0.
	GuaranteedGPUs int `json:"guaranteed_gpus"`
	Priority       int `json:"priority"`
}

// Catalog is one version of the operators' declarations; it is never modified.
type Catalog struct {
	Version  uint64    `json:"version"`
	Queues   []Queue   `json:"queues"`
	Services []Service `json:"services"`
	Teams    []Team    `json:"teams"`
	// MaxBodyBytes bounds what callers send; 0 means no bound beyond the server's own.
	MaxBodyBytes int `json:"max_body_bytes,omitempty"`
	// Source is the document that the operator sent, for reading back.
	Source []byte `json:"source"`
}

// Validate returns all faults as one error, nil when there are none.
func (c Catalog) Validate() error {
	var faults []string
	add := func(format string, args ...any) { faults = append(faults, fmt.Sprintf(format, args...)) }
	if c.Version == 0 {
		add("version must be positive")
	}
	services := map[string]bool{}
	for _, s := range c.Services {
		if services[s.Name] {
			add("service %q is declared twice", s.Name)
		}
		services[s.Name] = true
	}
	places := map[string]string{}
	for _, q := range c.Queues {
		if !services[q.Service] {
			add("queue %q names the unknown service %q", q.Name, q.Service)
		}
		place := q.Host + " " + q.Prefix
		if other, ok := places[place]; ok {
			add("queues %q and %q have the same address", other, q.Name)
		}
		places[place] = q.Name
		if !strings.HasPrefix(q.Prefix, "/") {
			add("queue %q has the prefix %q", q.Name, q.Prefix)
		}
	}
	owner := map[string]string{}
	for _, t := range c.Teams {
		for _, k := range t.Keys {
			if other, ok := owner[k]; ok && other != t.Name {
				add("teams %q and %q share a key", other, t.Name)
			}
			owner[k] = t.Name
		}
	}
	if len(faults) == 0 {
		return nil
	}
	return &model.Error{Code: model.CodeInvalid, Outcome: model.OutcomeNotRun, Message: "configuration is invalid", Faults: faults}
}

// QueueAt returns the queue with the longest prefix of path at host.
func (c Catalog) QueueAt(host, path string) (Queue, bool) {
	var best Queue
	found := false
	for _, q := range c.Queues {
		if q.Host == host && strings.HasPrefix(path, q.Prefix) && (!found || len(q.Prefix) > len(best.Prefix)) {
			best, found = q, true
		}
	}
	return best, found
}

// Queue returns the queue with the name.
func (c Catalog) Queue(name string) (Queue, bool) {
	i := slices.IndexFunc(c.Queues, func(q Queue) bool { return q.Name == name })
	if i < 0 {
		return Queue{}, false
	}
	return c.Queues[i], true
}

// TeamByKey returns the team that has the key.
func (c Catalog) TeamByKey(key string) (Team, bool) {
	for _, t := range c.Teams {
		if slices.Contains(t.Keys, key) {
			return t, true
		}
	}
	return Team{}, false
}

// Guarantee returns the accelerators guaranteed to a team.
func (c Catalog) Guarantee(team string) int {
	for _, t := range c.Teams {
		if t.Name == team {
			return t.GuaranteedGPUs
		}
	}
	return 0
}
