package entry

import (
	"cmp"
	"slices"
)

// ServiceState counts the executors and queued requests of a service as this entry observes them.
type ServiceState struct {
	Service string
	// Usable executors receive requests. Ejected ones failed or were slow. Silent
	// ones have not answered a probe in time.
	Usable, Ejected, Silent int
	// Queued counts the queued requests by team.
	Queued map[string]int
}

// States returns the states of all services, sorted by name.
func (e *Entry) States() []ServiceState {
	now := e.cfg.Clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([]ServiceState, 0, len(e.services))
	for _, s := range e.services {
		s.mu.Lock()
		st := ServiceState{Service: s.name, Queued: s.queue.Lengths()}
		for _, v := range s.set.Views(now) {
			switch {
			case v.Usable:
				st.Usable++
			case v.Ejected:
				st.Ejected++
			default:
				st.Silent++
			}
		}
		s.mu.Unlock()
		out = append(out, st)
	}
	slices.SortFunc(out, func(a, b ServiceState) int { return cmp.Compare(a.Service, b.Service) })
	return out
}
