package batch

import (
	"fmt"
	"slices"
	"strings"

	"turmericroute/model"
)

// Queue accepts jobs from callers.
type Queue struct {
	Name string `json:"name"`
	// Host and Prefix are the address of the queue; the longest matching path prefix wins.
	Host   string `json:"host"`
	Prefix string `json:"prefix"`
	// Service names the service whose workers run the tasks.
	Service string `json:"service"`
	// Priority is lower for more urgent queues; 0 is the highest priority.
	Priority int `json:"priority"`
	// MaxFailures is the number of failures of a task or gang at which its job fails.
	MaxFailures int `json:"max_failures"`
	// Stretch and TargetMS define the objective: a job should finish within Stretch times its estimated duration, plus
	// TargetMS milliseconds.
	Stretch  float64 `json:"stretch"`
	TargetMS int     `json:"target_ms"`
	// Public queues require no API key.
	Public bool `json:"public,omitempty"`
	// Advice is set if the policy service decides which workers may run a step.
	Advice *Advice `json:"advice,omitempty"`
}

// HasObjective reports whether the queue has an objective for its jobs.
func (q Queue) HasObjective() bool { return q.Stretch > 0 || q.TargetMS > 0 }

// Advice holds the timing of the policy service for a queue, in milliseconds.
type Advice struct {
	DecisionMS int `json:"decision_ms"`
	PeriodMS   int `json:"period_ms"`
	ValidityMS int `json:"validity_ms"`
}

// Service is a named set of workers.
type Service struct {
	Name string `json:"name"`
	// AdmissionControl means that workers refuse tasks that exceed their capacity.
	AdmissionControl bool `json:"guarded"`
	// Standby means that the workers are switched off.
	Standby bool `json:"standby,omitempty"`
}

// Team is a customer.
type Team struct {
	Name string `json:"name"`
	// Keys are the team's API keys.
	Keys []string `json:"keys"`
	// GuaranteedGPUs is the number of accelerators guaranteed to the team's jobs of priority 0.
	GuaranteedGPUs int `json:"guaranteed_gpus"`
	Priority       int `json:"priority"`
	// Weight is the team's share when there is too little room, in relation to the weights of other teams; 0 means none.
	Weight float64 `json:"weight,omitempty"`
	// Maximum bounds what the team may have running; 0 means that a resource is not limited.
	Maximum Resources `json:"maximum,omitzero"`
}

// Catalog is one version of the configuration that operators declare; it is immutable.
type Catalog struct {
	Version  uint64    `json:"version"`
	Queues   []Queue   `json:"queues"`
	Services []Service `json:"services"`
	Teams    []Team    `json:"teams"`
	// MaxBodyBytes bounds the request bodies of callers; 0 means that only the server's own bound applies.
	MaxBodyBytes int `json:"max_body_bytes,omitempty"`
	// Source is the document that the operator sent; it is returned unchanged to readers.
	Source []byte `json:"source"`

	// queueIndex holds the position of each queue by name, nil until indexed.
	queueIndex map[string]int
}

// indexed returns the catalog with an index of its queues.
func (c Catalog) indexed() Catalog {
	c.queueIndex = make(map[string]int, len(c.Queues))
	for i, q := range c.Queues {
		if _, ok := c.queueIndex[q.Name]; !ok {
			c.queueIndex[q.Name] = i
		}
	}
	return c
}

// Declares reports whether the catalog declares a service.
func (c Catalog) Declares(service string) bool {
	return slices.ContainsFunc(c.Services, func(s Service) bool { return s.Name == service })
}

// HasPriorities reports whether a service has queues with objectives and different priorities.
func (c Catalog) HasPriorities(service string) bool {
	first := -1
	for i, q := range c.Queues {
		switch {
		case q.Service != service || !q.HasObjective():
		case first < 0:
			first = i
		case q.Priority != c.Queues[first].Priority:
			return true
		}
	}
	return false
}

// Validate returns all faults of the catalog as one *model.Error, nil if there are none.
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
	queueAt := map[string]string{}
	for _, q := range c.Queues {
		if !services[q.Service] {
			add("queue %q names the unknown service %q", q.Name, q.Service)
		}
		address := q.Host + " " + q.Prefix
		if other, ok := queueAt[address]; ok {
			add("queues %q and %q have the same address", other, q.Name)
		}
		queueAt[address] = q.Name
		if !strings.HasPrefix(q.Prefix, "/") {
			add("queue %q has the prefix %q, which does not begin with a slash", q.Name, q.Prefix)
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

// QueueAt returns the queue on host with the longest prefix of path.
func (c *Catalog) QueueAt(host, path string) (Queue, bool) {
	var best Queue
	found := false
	for _, q := range c.Queues {
		if q.Host == host && strings.HasPrefix(path, q.Prefix) && (!found || len(q.Prefix) > len(best.Prefix)) {
			best, found = q, true
		}
	}
	return best, found
}

// Queue returns the queue with the given name.
func (c *Catalog) Queue(name string) (Queue, bool) {
	if c.queueIndex != nil {
		i, ok := c.queueIndex[name]
		if !ok {
			return Queue{}, false
		}
		return c.Queues[i], true
	}
	i := slices.IndexFunc(c.Queues, func(q Queue) bool { return q.Name == name })
	if i < 0 {
		return Queue{}, false
	}
	return c.Queues[i], true
}

// TeamByKey returns the team with the given API key.
func (c *Catalog) TeamByKey(key string) (Team, bool) {
	for _, t := range c.Teams {
		if slices.Contains(t.Keys, key) {
			return t, true
		}
	}
	return Team{}, false
}

// Team returns the team with the given name.
func (c *Catalog) Team(name string) (Team, bool) {
	for _, t := range c.Teams {
		if t.Name == name {
			return t, true
		}
	}
	return Team{}, false
}

// Guarantee returns the number of accelerators guaranteed to a team, 0 if the team is unknown.
func (c *Catalog) Guarantee(team string) int {
	t, _ := c.Team(team)
	return t.GuaranteedGPUs
}

// Maximum returns what a team may have running, without a limit if the team is unknown.
func (c *Catalog) Maximum(team string) Resources {
	t, _ := c.Team(team)
	return t.Maximum
}
