package batch

// maxRecordedChanges bounds the names in Changes; beyond it everything counts as changed.
const maxRecordedChanges = 20000

// Changes is what has changed in a ledger since TakeChanges was last called.
type Changes struct {
	// All is set if anything may have changed; the sets are then incomplete.
	All bool
	// Workers holds the workers whose active runs have changed, Jobs the jobs that have been accepted, have made
	// progress or have ended.
	Workers, Jobs map[string]bool
}

func newChanges() *Changes { return &Changes{Workers: map[string]bool{}, Jobs: map[string]bool{}} }

// TakeChanges returns what has changed since the last call, and from then on records changes. The first call returns
// All. It must be called within View, so that the changes are those that the viewed state has, and by one caller.
func (l *Ledger) TakeChanges() Changes {
	l.changesMu.Lock()
	defer l.changesMu.Unlock()
	taken := l.state.changes
	l.state.changes = newChanges()
	if taken == nil {
		return Changes{All: true}
	}
	return *taken
}

// DropChanges ends the recording of changes.
func (l *Ledger) DropChanges() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state.changes = nil
}

func (c *Changes) markAll() {
	if c != nil {
		c.All = true
		clear(c.Workers)
		clear(c.Jobs)
	}
}

func (c *Changes) markWorker(id string) {
	if c == nil || c.All {
		return
	}
	c.Workers[id] = true
	c.bound()
}

func (c *Changes) markJob(id string) {
	if c == nil || c.All {
		return
	}
	c.Jobs[id] = true
	c.bound()
}

func (c *Changes) bound() {
	if len(c.Workers)+len(c.Jobs) > maxRecordedChanges {
		c.markAll()
	}
}
