package state

import "sync"

// feedSize bounds the changes kept; a reader that is further behind reads the whole state.
const feedSize = 8192

// Change names one part of the state that a command changed; the set of changes is sealed.
type Change interface{ change() }

// ConfigChange says that the configuration has a new version.
type ConfigChange struct{ Version uint64 }

// JobChange says that a job was added or changed.
type JobChange struct{ ID string }

// WorkerChange says that a worker was registered or removed.
type WorkerChange struct{ Name string }

// UpstreamChange says that an upstream was announced or left.
type UpstreamChange struct{ Name string }

func (ConfigChange) change()   {}
func (JobChange) change()      {}
func (WorkerChange) change()   {}
func (UpstreamChange) change() {}

// feed keeps the last changes in a ring with consecutive numbers from 1.
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

// reset makes every reader read the whole state again.
func (f *feed) reset() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.next += feedSize + 1
}

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

// Since returns the changes after a position and the position after them. It
// returns false when they are no longer all kept: the caller must then read
// the whole state, after having taken the new position.
func (m *Machine) Since(from uint64) ([]Change, uint64, bool) { return m.feed.since(from) }

// publishChange adds the change that a successful command made to the feed.
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
