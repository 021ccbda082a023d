package entry

import (
	"cmp"
	"slices"

	"turmericroute/route"
)

type entryDump struct {
	Name     string         `json:"name"`
	Draining bool           `json:"draining"`
	InFlight int            `json:"in_flight"`
	Teams    map[string]int `json:"teams"`
	Services []serviceDump  `json:"services"`
}

type serviceDump struct {
	Name        string         `json:"name"`
	Queued      map[string]int `json:"queued"`
	RetryTokens float64        `json:"retry_tokens"`
	LatencyMS   float64        `json:"latency_ms"`
	Executors   []route.View   `json:"executors"`
}

// Dump returns the state of the request path, sorted by service, without bodies, headers or keys.
func (e *Entry) Dump() any {
	now := e.cfg.Clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	d := entryDump{Name: e.cfg.Name, Draining: e.draining, InFlight: e.inFlight, Teams: map[string]int{}}
	for team, n := range e.teamInFlight {
		d.Teams[team] = n
	}
	for _, s := range e.services {
		s.mu.Lock()
		d.Services = append(d.Services, serviceDump{
			Name: s.name, Queued: s.queue.Lengths(), RetryTokens: s.budget.Tokens(),
			LatencyMS: float64(s.set.Latency().Microseconds()) / 1000, Executors: s.set.Views(now),
		})
		s.mu.Unlock()
	}
	slices.SortFunc(d.Services, func(a, b serviceDump) int { return cmp.Compare(a.Name, b.Name) })
	return d
}
