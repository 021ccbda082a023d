package entry

import (
	"fmt"

	"turmericroute/model"
)

// Ready returns why this entry should not be sent requests yet after its start:
// its view is old, or it has not probed every executor that the view names.
// Later it stays ready; what goes wrong then is told to each request.
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
		return model.NotRun(model.CodeUnavailable, "entry has taken over index %d of %d", e.applied, e.firstFreshIndex)
	}
	for _, s := range e.services {
		for _, x := range s.executors() {
			if p := e.probes[x.Name]; p == nil || p.id != x.ID || !p.completed {
				return fmt.Errorf("executor %s is not probed yet", x.Name)
			}
		}
	}
	e.ready = true
	return nil
}
