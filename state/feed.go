package state

import "sync"

// feedSize is the number of changes kept; a reader that is further behind must read the whole state.
const feedSize = 8192

// Change identifies the part of the state that a command changed; its implementations are those in this file.
type Change interface{ change() }

// ConfigChange reports that the configuration has a new version.
type ConfigChange struct{ Version uint64 }

// JobChange reports that a job was added or changed.
type JobChange struct{ ID string }

// WorkerChange reports that a worker was registered or removed.
type WorkerChange struct{ Name string }

// UpstreamChange reports that an upstream was announced or left.
type UpstreamChange struct{ Name string }

func (ConfigChange) change()   {}
func (JobChange) change()      {}
func (WorkerChange) change()   {}
func (UpstreamChange) change() {}

// feed keeps the latest changes in a ring buffer; next is the position of the next change.
type feed struct {
	mu   sync.Mutex
	ring [feedSize]Change
	next uint64
}

func (f *feed) add(c Change) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ring[f.next%feedSize] = c
	f.next++
}

// reset invalidates all positions, so that every reader reads the whole state again.
func (f *feed) reset() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.next += feedSize + 1
}

// since returns the changes from a position on, the next position, and false if not all of them are kept.
func (f *feed) since(from uint64) ([]Change, uint64, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if from > f.next || f.next-from > feedSize {
		return nil, f.next, false
	}
	out := make([]Change, 0, f.next-from)
	for n := from; n < f.next; n++ {
		out = append(out, f.ring[n%feedSize])
	}
	return out, f.next, true
}

// Since returns the changes from a position on and the position after them. It
// returns false if they are no longer all kept: the caller must then store the new
// position first and read the whole state after that.
func (m *Machine) Since(from uint64) ([]Change, uint64, bool) { return m.feed.since(from) }

// publishChange adds the change made by a successful command to the feed.
func (m *Machine) publishChange(c Command, res Result) {
	if res.Failure != nil {
		return
	}
	switch c := c.(type) {
	case PatchConfig:
		m.feed.add(ConfigChange{Version: res.Version})
	case SubmitJob:
		m.feed.add(JobChange{ID: c.Spec.ID})
	case CancelJob:
		m.feed.add(JobChange{ID: c.ID})
	case PlaceJob:
		m.feed.add(JobChange{ID: c.ID})
	case MoveJob:
		m.feed.add(JobChange{ID: c.ID})
	case RegisterWorker:
		m.feed.add(WorkerChange{Name: c.Worker.Name})
	case RemoveWorker:
		m.feed.add(WorkerChange{Name: c.Name})
	case AnnounceUpstream:
		m.feed.add(UpstreamChange{Name: c.Upstream.Name})
	case LeaveUpstream:
		m.feed.add(UpstreamChange{Name: c.Name})
	}
}
