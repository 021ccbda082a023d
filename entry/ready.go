package entry

import (
	"fmt"

	"turmericroute/model"
)

// Ready returns an error until a started entry can serve requests: until its view
// is fresh and it has probed every executor in that view. Afterwards it only
// checks the age of the view; other faults are reported to each request.
func (e *Entry) Ready() error {
	if err := e.checkViewAge(); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ready {
		return nil
	}
	if e.firstFreshIndex == 0 {
		e.firstFreshIndex = e.cfg.Replica.Machine().Applied()
	}
	if e.applied < e.firstFreshIndex {
		return model.NotRun(model.CodeUnavailable, "entry has applied the state up to index %d of %d", e.applied, e.firstFreshIndex)
	}
	for _, s := range e.services {
		for _, x := range s.executors() {
			if p := e.probes[x.Name]; p == nil || p.id != x.ID || !p.completed {
				return fmt.Errorf("executor %s has not been probed yet", x.Name)
			}
		}
	}
	e.ready = true
	return nil
}
